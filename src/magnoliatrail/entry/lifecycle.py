"""Whether an instance takes new requests, and how many are in flight."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.membership.pause import PauseGate


class Lifecycle:
    """Count the requests in flight and refuse new ones while stopping."""

    def __init__(self, configuration: ConfigurationInForce) -> None:
        self.configuration = configuration
        self.gate: PauseGate | None = None
        self.ready = False
        self.stopping = False
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def refusal(self) -> Failure | None:
        """Return why a new request is refused, None if it is not."""
        if self.stopping:
            message = "this instance is shutting down"
            return Failure(ErrorKind.SHUTTING_DOWN, message)
        if not self.configuration.is_confirmed:
            message = "this instance has not read the configuration yet"
            return Failure(ErrorKind.STARTING, message)
        if not self.configuration.configuration.defaults.accept_work:
            return Failure(ErrorKind.SWITCHED_OFF, "the fleet is switched off")
        return None

    async def admitted(self) -> None:
        """Return once nothing known here is older than the last pause."""
        if self.gate:
            await self.gate.passed()

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request as in flight."""
        self.in_flight += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()
