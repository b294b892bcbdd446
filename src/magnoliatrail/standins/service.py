"""A stand-in for a plain service that counts its executions."""

import hashlib

import msgspec
from tornado.web import Application

from magnoliatrail.standins.faults import FaultHandler, Faults, FaultyHandler


class FakeService:
    """Execute operations and count each by its key."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.executions: dict[str, int] = {}

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
        }
        return msgspec.json.encode(answer)


class ServiceHandler(FaultyHandler):
    """Serve every operation of a fake service."""

    def initialize(self, service: FakeService) -> None:
        """Take the service to serve."""
        self.service = service
        self.faults = service.faults

    def execute(self, path: str) -> None:
        """Execute the operation and answer, or lose the answer."""
        key = self.request.headers.get("Idempotency-Key", "")
        method = self.request.method or ""
        answer = self.service.execute(method, path, key, self.request.body)
        if self.loses_answer():
            self.drop_connection()
            return
        self.set_header("Content-Type", "application/json")
        self.write(answer)

    get = post = put = delete = execute


class ExecutionsHandler(FaultyHandler):
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
            ("/faults", FaultHandler, {"faults": service.faults}),
            (r"/(.*)", ServiceHandler, {"service": service}),
        ]
    )
