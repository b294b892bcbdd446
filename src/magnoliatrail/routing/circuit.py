"""Circuit breakers, one for each engine."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from magnoliatrail.ids import EngineId


class CircuitState(Enum):
    """Whether an engine receives requests; half open admits a single probe."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, slots=True)
class CircuitSettings:
    """The consecutive failures that open a circuit, and how long it stays open."""

    failures_to_open: int = 3
    open_time: timedelta = timedelta(seconds=2)


@dataclass(slots=True)
class Circuit:
    """The failure state of one engine."""

    failures: int = 0
    open_until: timedelta = timedelta()
    probing: bool = False


class Circuits:
    """Stop sending requests to engines that fail repeatedly."""

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
        """Record the start of a request, the probe if the circuit is half open."""
        if self.state(engine, now) is CircuitState.HALF_OPEN:
            self.circuits[engine].probing = True

    def succeeded(self, engine: EngineId) -> None:
        """Close the circuit of an engine after a successful answer."""
        self.circuits.pop(engine, None)

    def ended(self, engine: EngineId) -> None:
        """Record a request that ended as neither a success nor a failure."""
        if engine in self.circuits:
            self.circuits[engine].probing = False

    def failed(self, engine: EngineId, now: timedelta) -> None:
        """Record a failure, and open the circuit after several in a row."""
        circuit = self.circuits.setdefault(engine, Circuit())
        circuit.failures += 1
        circuit.probing = False
        circuit.open_until = now + self.settings.open_time
