"""Identifiers, with a separate type each so that they cannot be mixed up."""

from dataclasses import dataclass
from typing import NewType
from uuid import uuid4

InstanceId = NewType("InstanceId", str)
Incarnation = NewType("Incarnation", str)
EngineId = NewType("EngineId", str)
ServerId = NewType("ServerId", str)
CellId = NewType("CellId", str)
RequestId = NewType("RequestId", str)
PartId = NewType("PartId", str)
CallerId = NewType("CallerId", str)
AccountName = NewType("AccountName", str)
KeyDigest = NewType("KeyDigest", bytes)
FailureDomain = NewType("FailureDomain", str)
Handle = NewType("Handle", str)
FencingNumber = NewType("FencingNumber", int)
Revision = NewType("Revision", int)
WriteId = NewType("WriteId", str)


@dataclass(frozen=True, slots=True)
class AdapterVersion:
    """An adapter and one of its versions."""

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
    """Return the name of a loaded adapter, unique to its owner and to this load.

    A handle is never reused for a later load: after an engine restart, a holder may
    still have a permit for the earlier load that the owner has no record of.
    """
    return Handle(f"{model}~{fencing_number}.{load}")


def new_request_id() -> RequestId:
    """Return a new, unique request id."""
    return RequestId(f"req-{uuid4().hex}")


def new_write_id() -> WriteId:
    """Return an id that identifies a write whose answer was lost."""
    return WriteId(uuid4().hex)


def new_incarnation() -> Incarnation:
    """Return a new id for one run of a process."""
    return Incarnation(uuid4().hex)
