"""Decoding of the rows that backend servers write about themselves."""

from dataclasses import dataclass
from datetime import timedelta
from ipaddress import IPv4Address
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta

from magnoliatrail.backends import (
    BackendServer,
    LoadedAdapter,
    LoadedModel,
    ServerState,
)
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.ids import FailureDomain, ServerId
from magnoliatrail.wire import decode

STATES = {"ready": ServerState.READY, "draining": ServerState.LEAVING}
MAX_PORT = 65_535
# Rows also come from writers that are no servers; what no server says is refused.
MAX_SLOTS = 65_536
MAX_INTEGER = 2**63 - 1
MAX_DURATION_MS = 1e9
# Digits of the largest version of an adapter.
MAX_VERSION_DIGITS = 18

Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]


class WireLoadedModel(msgspec.Struct):
    """Base weights in a server's row; adapters have the form NAME@VERSION."""

    name: str
    version: Count = 0
    adapters: list[str] = []


class WireServer(msgspec.Struct):
    """A server's row; `sequence` is the number of orders that it accepted."""

    service: str
    address: str
    zone: str
    state: str
    born: Count
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)] = 1
    sequence: Count = 0
    models: list[WireLoadedModel] = []
    remaining_ms: Annotated[float, Meta(ge=0, le=MAX_DURATION_MS)] | None = None
    version: str = ""


class WireDeparture(msgspec.Struct):
    """The fields of a server's row that matter if the server leaves."""

    state: object = None
    born: object = None


@dataclass(frozen=True, slots=True)
class RowDeparture:
    """What a row that describes no usable server says of its departure."""

    # Start time of the run, None if it can't be read.
    born: int | None


def decode_departure(value: bytes) -> RowDeparture | None:
    """Return that a row says that its server leaves, whatever else it says."""
    match decode(value, WireDeparture):
        case Result(tag="ok", ok=WireDeparture(state=str(state), born=born)):
            if STATES.get(state) is not ServerState.LEAVING:
                return None
            return RowDeparture(start_time(born))
    return None


def start_time(value: object) -> int | None:
    """Return a start time as a server writes it, None if it is no such."""
    if not isinstance(value, int) or isinstance(value, bool):
        return None
    return value if 0 <= value <= MAX_INTEGER else None


def decode_server(key: str, value: bytes) -> Result[BackendServer, Failure]:
    """Decode a server's row; an invalid row is an error."""
    match decode(value, WireServer):
        case Result(tag="ok", ok=found):
            return server_of(key, found)
        case Result(error=failure):
            return Error(invalid_row(key, failure.message))


def invalid_row(key: str, reason: str) -> Failure:
    """Build the failure for a row that describes no usable server."""
    return Failure(ErrorKind.MALFORMED_REQUEST, f"server row {key}: {reason}")


def server_of(key: str, found: WireServer) -> Result[BackendServer, Failure]:
    """Convert a server's row to the internal form."""
    state = STATES.get(found.state)
    if state is None:
        return Error(invalid_row(key, f"state {found.state[:80]!r}"))
    if not is_address(found.address):
        return Error(invalid_row(key, f"address {found.address[:80]!r}"))
    left = found.remaining_ms
    return Ok(
        BackendServer(
            id=ServerId(key),
            born=found.born,
            service=found.service,
            address=found.address,
            failure_domain=FailureDomain(found.zone),
            batch_slots=found.slots,
            state=state,
            models=tuple(loaded_model(model) for model in found.models),
            orders_accepted=found.sequence,
            software_version=found.version,
            time_until_removal=None if left is None else timedelta(milliseconds=left),
        )
    )


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port, HOST:PORT."""
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdecimal() and len(port) <= len(str(MAX_PORT))):
        return False
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return 0 < int(port) <= MAX_PORT


def loaded_model(model: WireLoadedModel) -> LoadedModel:
    """Convert loaded base weights to the internal form."""
    adapters = tuple(parse_adapter(model.name, text) for text in model.adapters)
    return LoadedModel(model.name, model.version, adapters)


def parse_adapter(model: str, text: str) -> LoadedAdapter:
    """Parse NAME@VERSION; without a usable version it is 0."""
    name, _, version = text.partition("@")
    usable = version.isdecimal() and len(version) <= MAX_VERSION_DIGITS
    return LoadedAdapter(model, name, int(version) if usable else 0)
