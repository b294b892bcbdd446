"""Admission of new requests to an instance, and the count in flight."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from magnoliatrail.config.in_force import ConfigurationInForce
from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.membership.pause import PauseGate


class Lifecycle:
    """Count the requests in flight, and refuse new ones while shutting down."""

    def __init__(self, configuration: ConfigurationInForce) -> None:
        self.configuration = configuration
        self.gate: PauseGate | None = None
        self.ready = False
        self.stopping = False
        self.in_flight = 0
        self.idle = asyncio.Event()
        self.idle.set()

    def refusal(self) -> Failure | None:
        """Return the failure for new requests, None if they are accepted."""
        if self.stopping:
            message = "this instance is shutting down"
            return Failure(ErrorKind.SHUTTING_DOWN, message)
        if not self.configuration.is_confirmed:
            message = "this instance has not read the configuration yet"
            return Failure(ErrorKind.STARTING, message)
        if not self.configuration.configuration.defaults.accept_work:
            return Failure(ErrorKind.SWITCHED_OFF, "the fleet is switched off")
        return None

    async def wait_until_admitted(self) -> None:
        """Wait until all state has been refreshed since the last pause."""
        if self.gate:
            await self.gate.wait_until_open()

    @contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in flight."""
        self.in_flight += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.in_flight -= 1
            if not self.in_flight:
                self.idle.set()
