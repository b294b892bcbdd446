"""Catalogue of the adapters that callers may request."""

from sys import intern

from expression import Error, Ok, Result

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.generated.platform import Catalogue
from magnoliatrail.ids import AdapterVersion, parse_adapter_version


class AdapterCatalogue:
    """The base model of each adapter version in the catalogue."""

    def __init__(self) -> None:
        self.base_models: dict[AdapterVersion, str] = {}
        self.known = False

    def replace(self, catalogue: Catalogue) -> None:
        """Replace the catalogue by a newer one."""
        self.known = True
        # Many adapters share few versions and base models: interning saves memory.
        self.base_models = {
            AdapterVersion(entry.adapter, intern(entry.version)): intern(
                entry.base_model
            )
            for entry in catalogue.adapters
        }

    def find(self, name: str) -> Result[AdapterVersion, Failure]:
        """Parse an adapter version and look it up in the catalogue."""
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
