"""Interface for writing a checked answer to the caller's connection."""

from collections.abc import Awaitable
from typing import Protocol

from magnoliatrail.entry.answer_check import StreamProgress


class CallerGone(Exception):  # noqa: N818
    """Report that the caller has disconnected or stopped reading its answer."""


class AnswerSink(Protocol):
    """Write an answer to a caller and record the progress."""

    progress: StreamProgress

    def write_events(self, data: bytes) -> Awaitable[None] | None:
        """Write checked events; await the result, if any, for backpressure.

        Raises CallerGone if the caller has disconnected or stopped reading.
        """

    async def write_whole(self, body: bytes) -> None:
        """Write a checked answer that is not streamed."""
