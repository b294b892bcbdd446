"""Generate the message structs of `magnoliatrail.generated` from `schema/`."""

import argparse
import filecmp
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
GENERATED = ROOT / "src" / "magnoliatrail" / "generated"

OPTIONS = [
    "--input-file-type=jsonschema",
    "--output-model-type=msgspec.Struct",
    "--target-python-version=3.11",
    "--keyword-only",
    "--use-annotated",
    "--field-constraints",
    "--use-schema-description",
    "--use-single-line-docstring",
    "--use-standard-collections",
    "--use-union-operator",
    "--use-default",
    "--set-default-enum-member",
    "--use-msgspec-forbid-unknown-fields",
    "--capitalise-enum-members",
    "--disable-timestamp",
    "--formatters",
    "ruff-format",
    "ruff-check",
]


def generate(schema: Path, output: Path) -> None:
    """Generate the module of one schema file."""
    command = [sys.executable, "-m", "datamodel_code_generator"]
    inputs = [f"--input={schema}", f"--output={output}"]
    subprocess.run([*command, *inputs, *OPTIONS], check=True, cwd=ROOT)
    # The generator has no option for frozen msgspec structs.
    source = output.read_text().replace("kw_only=True", "frozen=True, kw_only=True")
    output.write_text(source)
    formatter = [sys.executable, "-m", "ruff", "format", "--quiet", "--isolated"]
    subprocess.run([*formatter, str(output)], check=True)


def module_of(schema: Path) -> str:
    """Return the file name of a schema's generated module."""
    return f"{schema.stem}.py"


def main() -> int:
    """Generate all modules, or with `--check` compare them with the committed ones."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    schemas = sorted(SCHEMA.glob("*.json"))
    if not arguments.check:
        for schema in schemas:
            generate(schema, GENERATED / module_of(schema))
        return 0
    stale = []
    with tempfile.TemporaryDirectory(dir=ROOT / "src") as directory:
        for schema in schemas:
            fresh = Path(directory) / module_of(schema)
            generate(schema, fresh)
            committed = GENERATED / module_of(schema)
            if not committed.exists() or not filecmp.cmp(fresh, committed, False):
                stale.append(committed.name)
    for name in stale:
        print(f"{name} does not match schema/: run `make generate`", file=sys.stderr)
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
