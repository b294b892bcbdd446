"""A stand-in for a plain service that counts its executions."""

import hashlib

import msgspec
from tornado.web import Application

from magnoliatrail.standins.faults import (
    FaultInjectingHandler,
    Faults,
    FaultSettingsHandler,
)


class FakeService:
    """A service that counts executions by idempotency key."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.executions: dict[str, int] = {}
        self.request_ids: set[str] = set()
        self.padding = ""

    def execute(self, method: str, path: str, key: str, body: bytes) -> bytes:
        """Execute an operation, counted by its key or else by its method and path."""
        count_key = key or f"{method} {path}"
        self.executions[count_key] = self.executions.get(count_key, 0) + 1
        digest = hashlib.sha256(body).hexdigest()[:16]
        answer = {
            "service": self.name,
            "path": path,
            "digest": digest,
            "execution": self.executions[count_key],
            "padding": self.padding,
        }
        return msgspec.json.encode(answer)


class ServiceHandler(FaultInjectingHandler):
    """Serve every operation of a fake service."""

    def initialize(self, service: FakeService) -> None:
        """Set the service to serve."""
        self.service = service
        self.faults = service.faults

    async def execute(self, path: str) -> None:
        """Execute the operation and send the answer, subject to faults."""
        key = self.request.headers.get("Idempotency-Key", "")
        method = self.request.method or ""
        self.service.request_ids.add(self.request.headers.get("X-Request-Id", ""))
        answer = self.service.execute(method, path, key, self.request.body)
        self.set_header("Content-Type", "application/json")
        await self.answer(answer)

    get = head = post = put = patch = delete = options = execute


class ExecutionsHandler(FaultInjectingHandler):
    """Serve `GET /executions`, the execution count of each key."""

    def initialize(self, service: FakeService) -> None:
        """Set the service whose executions are served."""
        self.service = service
        self.faults = Faults()

    def get(self) -> None:
        """Send the counts."""
        self.write(self.service.executions)


def service_application(service: FakeService) -> Application:
    """Return the HTTP application of a plain service."""
    return Application(
        [
            ("/executions", ExecutionsHandler, {"service": service}),
            ("/faults", FaultSettingsHandler, {"faults": service.faults}),
            (r"/(.*)", ServiceHandler, {"service": service}),
        ]
    )
