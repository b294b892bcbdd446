"""Identifiers, one type each so that they cannot be mixed up."""

from dataclasses import dataclass
from typing import NewType
from uuid import uuid4

InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", str)
EngineId = NewType("EngineId", str)
ServerId = NewType("ServerId", str)
CellId = NewType("CellId", str)
RequestId = NewType("RequestId", str)
CallerId = NewType("CallerId", str)
FailureDomain = NewType("FailureDomain", str)
Handle = NewType("Handle", str)
FencingNumber = NewType("FencingNumber", int)
Revision = NewType("Revision", int)
WriteId = NewType("WriteId", str)


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """Name one adapter at one version."""

    adapter: str
    version: str

    def __str__(self) -> str:
        """Return the name that callers use, `adapter@version`."""
        return f"{self.adapter}@{self.version}"


def parse_adapter_version(text: str) -> AdapterVersion | None:
    """Parse `adapter@version`, or return None if a part is missing."""
    adapter, separator, version = text.partition("@")
    if not (adapter and separator and version):
        return None
    return AdapterVersion(adapter, version)


def handle_for(
    model: AdapterVersion, fencing_number: FencingNumber, load: int
) -> Handle:
    """Name a loaded adapter by its owner's generation and by the load itself.

    A name is never used for a second load, because a holder may still have a permit
    for the first, of which an owner knows nothing after the engine restarted.
    """
    return Handle(f"{model}~{fencing_number}.{load}")


def new_request_id() -> RequestId:
    """Return a request id that was never used."""
    return RequestId(f"req-{uuid4().hex}")


def new_write_id() -> WriteId:
    """Return a write id by which a write with a lost answer is recognised."""
    return WriteId(uuid4().hex)


def new_incarnation() -> Incarnation:
    """Return the id of one run of a process."""
    return Incarnation(uuid4().hex)
