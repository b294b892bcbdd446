"""Where a checked answer goes: the caller's connection."""

from collections.abc import Awaitable
from typing import Protocol

from magnoliatrail.entry.answer_check import StreamProgress


class CallerGone(Exception):  # noqa: N818
    """Carry that a caller does not take its answer any more."""


class AnswerSink(Protocol):
    """Take an answer for a caller, and remember how much of it was passed on."""

    progress: StreamProgress

    def write_events(self, data: bytes) -> Awaitable[None] | None:
        """Pass checked events on; what is returned ends once they have left.

        Raises CallerGone if the caller takes nothing any more.
        """

    async def write_whole(self, body: bytes) -> None:
        """Pass a checked whole answer on."""
