"""Turns of the connections that cost much processor time for few bytes."""

import asyncio
from collections import deque

# Turns in one round of the event loop. A turn of 64 chunks takes about a millisecond.
TURNS_PER_ROUND = 8


class Turns:
    """Let a limited number of connections go on in each round of the event loop."""

    def __init__(self) -> None:
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.scheduled = False

    async def wait(self) -> None:
        """Wait for a turn; the first to come are the first to go on."""
        loop = asyncio.get_running_loop()
        turn = loop.create_future()
        self.waiting.append(turn)
        if not self.scheduled:
            self.scheduled = True
            loop.call_soon(self.give)
        await turn

    def give(self) -> None:
        """Give the turns of one round."""
        given = 0
        while self.waiting and given < TURNS_PER_ROUND:
            turn = self.waiting.popleft()
            # The connections of some may have been closed.
            if not turn.done():
                turn.set_result(None)
                given += 1
        self.scheduled = bool(self.waiting)
        if self.scheduled:
            asyncio.get_running_loop().call_soon(self.give)
