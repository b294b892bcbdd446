"""Generate the operators' table of settings from the schema."""

import sys
from pathlib import Path

import msgspec
from msgspec.structs import FieldInfo, fields

from magnoliatrail.cli.options import default_of, description_of, flag_of, variable_of
from magnoliatrail.generated.configuration import Defaults
from magnoliatrail.generated.settings import Settings
from scripts.generated_page import write_or_check

PAGE = Path(__file__).resolve().parent.parent / "docs" / "operations" / "settings.md"
HEADER = """# Settings and defaults

Written by `scripts/settings_table.py` from `schema/`; run `make tables` after a
change of the schema.

## Settings of one instance

Each is a flag of `magnoliatrail serve` and an environment variable; the flag goes
first. They are read at start. A wrong one ends the process with exit code 2 and a line
that names the flag, the value and the remedy.

| flag | variable | default | meaning |
| --- | --- | --- | --- |
"""
DEFAULTS_HEADER = """
## Defaults of the fleet

Kept in the configuration, changed at run time for all instances at once.

| setting | default | meaning |
| --- | --- | --- |
"""


def default_text(field: FieldInfo) -> str:
    """Format a setting's default for the table."""
    if field.required:
        return "required"
    default = default_of(field)
    return "empty" if default == "" else f"`{msgspec.json.encode(default).decode()}`"


def setting_row(field: FieldInfo) -> str:
    """Return the table row of one setting."""
    flag = f"`{flag_of(field.name)}`"
    variable = f"`{variable_of(field.name)}`"
    cells = [flag, variable, default_text(field), description_of(field.name)]
    return "| " + " | ".join(cells) + " |"


def default_row(field: FieldInfo) -> str:
    """Return the table row of one configuration default."""
    properties = msgspec.json.schema(Defaults)["$defs"]["Defaults"]["properties"]
    meaning = properties[field.name].get("description", "")
    cells = [f"`{field.name}`", default_text(field), meaning]
    return "| " + " | ".join(cells) + " |"


def page() -> str:
    """Return the whole page."""
    settings = "\n".join(setting_row(field) for field in fields(Settings))
    defaults = "\n".join(default_row(field) for field in fields(Defaults))
    return f"{HEADER}{settings}\n{DEFAULTS_HEADER}{defaults}\n"


def main() -> int:
    """Write the page, or with `--check` compare it with the committed one."""
    return write_or_check(PAGE, lambda committed: page(), __doc__)


if __name__ == "__main__":
    sys.exit(main())
