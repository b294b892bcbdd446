"""The source layout matches the import layers and CONTRIBUTING.md."""

import tomllib

from tests.docs.pages import ROOT, SOURCE, page_name

MAX_MODULE_LINES = 400


def test_no_module_is_too_long():
    modules = [file for file in SOURCE.rglob("*.py") if file.parent.name != "generated"]
    lengths = {page_name(file): len(file.read_text().splitlines()) for file in modules}
    long = {name: lines for name, lines in lengths.items() if lines > MAX_MODULE_LINES}
    assert not long, "split these modules by responsibility"


def top_level_names() -> set[str]:
    """Return the top-level packages and modules."""
    return {file.stem for file in SOURCE.iterdir() if not file.name.startswith("_")}


def test_every_package_has_a_layer():
    settings = tomllib.loads((ROOT / "pyproject.toml").read_text())
    contracts = settings["tool"]["importlinter"]["contracts"]
    layers = next(item["layers"] for item in contracts if item["id"] == "layers")
    listed = {name.strip() for layer in layers for name in layer.split(":")}
    missing = top_level_names() - listed - {"standins"}
    assert not missing, "add these to the layers in pyproject.toml"


def test_every_package_is_on_the_developers_page():
    page = (ROOT / "CONTRIBUTING.md").read_text()
    missing = {name for name in top_level_names() if f"`{name}`" not in page}
    assert not missing, "add these to the table of the layout in CONTRIBUTING.md"
