"""A circuit breaker for each engine."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from magnoliatrail.ids import EngineId


class CircuitState(Enum):
    """Say whether an engine gets requests."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, slots=True)
class CircuitSettings:
    """Say when a circuit opens and when it is tried again."""

    failures_to_open: int = 3
    open_time: timedelta = timedelta(seconds=2)


@dataclass(slots=True)
class Circuit:
    """Hold what is known of one engine's failures."""

    failures: int = 0
    open_until: timedelta = timedelta()
    probing: bool = False


class Circuits:
    """Keep requests away from engines that fail again and again."""

    def __init__(self, settings: CircuitSettings) -> None:
        self.settings = settings
        self.circuits: dict[EngineId, Circuit] = {}

    def state(self, engine: EngineId, now: timedelta) -> CircuitState:
        """Return the state of an engine's circuit."""
        circuit = self.circuits.get(engine)
        if circuit is None or circuit.failures < self.settings.failures_to_open:
            return CircuitState.CLOSED
        if now < circuit.open_until or circuit.probing:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    def allows(self, engine: EngineId, now: timedelta) -> bool:
        """Return whether an engine may get a request."""
        return self.state(engine, now) is not CircuitState.OPEN

    def started(self, engine: EngineId, now: timedelta) -> None:
        """Count a request, which is the only one while the circuit is half open."""
        if self.state(engine, now) is CircuitState.HALF_OPEN:
            self.circuits[engine].probing = True

    def succeeded(self, engine: EngineId) -> None:
        """Close the circuit of an engine that answers."""
        self.circuits.pop(engine, None)

    def failed(self, engine: EngineId, now: timedelta) -> None:
        """Count a failure, and open the circuit after several in a row."""
        circuit = self.circuits.setdefault(engine, Circuit())
        circuit.failures += 1
        circuit.probing = False
        circuit.open_until = now + self.settings.open_time
