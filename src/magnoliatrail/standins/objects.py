"""A stand-in for the platform's object store."""

from expression import Error, Ok, Result
from tornado.web import Application

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.standins.faults import (
    FaultInjectingHandler,
    Faults,
    FaultSettingsHandler,
)


class FakeObjects:
    """An in-memory `ObjectStore` with fault injection."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()

    async def get(self, name: str) -> Result[bytes | None, Failure]:
        """Read an object, None if there is none."""
        if self.faults.down:
            return Error(outage_failure())
        return Ok(self.objects.get(name))

    async def put(self, name: str, body: bytes) -> Result[None, Failure]:
        """Write an object."""
        if self.faults.down:
            return Error(outage_failure())
        self.objects[name] = body
        return Ok(None)

    async def delete(self, name: str) -> Result[None, Failure]:
        """Delete an object."""
        if self.faults.down:
            return Error(outage_failure())
        self.objects.pop(name, None)
        return Ok(None)


def outage_failure() -> Failure:
    """Return the failure of an object store that is down."""
    return Failure(ErrorKind.STORE_UNAVAILABLE, "the object store is down")


class ObjectHandler(FaultInjectingHandler):
    """Serve `GET`, `PUT` and `DELETE /objects/<name>`."""

    def initialize(self, store: FakeObjects) -> None:
        """Set the store to serve."""
        self.store = store
        self.faults = store.faults

    def get(self, name: str) -> None:
        """Send an object."""
        body = self.store.objects.get(name)
        if body is None:
            self.send_error(404)
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.write(body)

    async def put(self, name: str) -> None:
        """Write an object."""
        self.store.objects[name] = self.request.body
        await self.answer(b"")

    def delete(self, name: str) -> None:
        """Delete an object."""
        self.store.objects.pop(name, None)


def objects_application(store: FakeObjects) -> Application:
    """Return the HTTP application of an object store."""
    return Application(
        [
            (r"/objects/(.+)", ObjectHandler, {"store": store}),
            ("/faults", FaultSettingsHandler, {"faults": store.faults}),
        ]
    )
