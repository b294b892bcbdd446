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
    """Execute operations and count each by its key."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.executions: dict[str, int] = {}
        self.request_ids: set[str] = set()
        self.padding = ""

    def execute(self, method: str, path: str, key: str, body: bytes) -> bytes:
        """Execute one operation, counted by its idempotency key."""
        counted = key or f"{method} {path}"
        self.executions[counted] = self.executions.get(counted, 0) + 1
        digest = hashlib.sha256(body).hexdigest()[:16]
        answer = {
            "service": self.name,
            "path": path,
            "digest": digest,
            "execution": self.executions[counted],
            "padding": self.padding,
        }
        return msgspec.json.encode(answer)


class ServiceHandler(FaultInjectingHandler):
    """Serve every operation of a fake service."""

    def initialize(self, service: FakeService) -> None:
        """Take the service to serve."""
        self.service = service
        self.faults = service.faults

    async def execute(self, path: str) -> None:
        """Execute the operation and answer, or lose the answer."""
        key = self.request.headers.get("Idempotency-Key", "")
        method = self.request.method or ""
        self.service.request_ids.add(self.request.headers.get("X-Request-Id", ""))
        answer = self.service.execute(method, path, key, self.request.body)
        self.set_header("Content-Type", "application/json")
        await self.answer(answer)

    get = head = post = put = patch = delete = options = execute


class ExecutionsHandler(FaultInjectingHandler):
    """Serve `GET /executions`, the count for each key."""

    def initialize(self, service: FakeService) -> None:
        """Take the service to count."""
        self.service = service
        self.faults = Faults()

    def get(self) -> None:
        """Read the counts."""
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
