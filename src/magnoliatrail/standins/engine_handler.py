"""Base class of the engine stand-in's HTTP handlers."""

import msgspec

from magnoliatrail.standins.engine import FakeEngine, Refused
from magnoliatrail.standins.faults import FaultInjectingHandler


class EngineHandler(FaultInjectingHandler):
    """Serve a fake engine and send its refusals as HTTP errors."""

    def initialize(self, engine: FakeEngine) -> None:
        """Set the engine to serve."""
        self.engine = engine
        self.faults = engine.faults

    def refuse(self, refused: Refused) -> None:
        """Send a refusal."""
        self.set_status(refused.status)
        self.write_json(refused.refusal)

    def write_json(self, message: object) -> None:
        """Send a message as JSON."""
        self.set_header("Content-Type", "application/json")
        self.write(msgspec.json.encode(message))

    def fencing_number(self) -> int:
        """Return the fencing number of an order."""
        return int(self.request.headers.get("X-Fencing-Number", "0"))
