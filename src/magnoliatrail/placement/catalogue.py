"""The adapters that callers may name."""

from sys import intern

from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import Catalogue
from magnoliatrail.ids import AdapterVersion, parse_adapter_version


class AdapterCatalogue:
    """Keep the base model of each adapter version."""

    def __init__(self) -> None:
        self.base_models: dict[AdapterVersion, str] = {}
        self.known = False

    def replace(self, catalogue: Catalogue) -> None:
        """Take a newer catalogue."""
        self.known = True
        # Many adapters share few versions and base models: keep each text once.
        self.base_models = {
            AdapterVersion(entry.adapter, intern(entry.version)): intern(
                entry.base_model
            )
            for entry in catalogue.adapters
        }

    def find(self, name: str) -> Result[AdapterVersion, Failure]:
        """Return the adapter version that a caller names."""
        model = parse_adapter_version(name)
        if model is None:
            message = f"model {name!r} does not name a version"
            return Error(Failure(ErrorKind.VERSION_MISSING, message))
        if not self.known:
            message = "this instance has not read the catalogue of adapters yet"
            return Error(Failure(ErrorKind.STARTING, message))
        if model not in self.base_models:
            message = f"model {name!r} is not in the catalogue"
            return Error(Failure(ErrorKind.UNKNOWN_ADAPTER, message))
        return Ok(model)
