"""The body of an answer that is read within the memory budget."""

from magnoliatrail.memory_budget import Holding

NO_MEMORY = "no memory for the answer"


class HeldBody:
    """Collect a body as long as there is room for it, and then discard it."""

    def __init__(self, holding: Holding) -> None:
        self.holding = holding
        self.chunks: list[bytes] = []
        self.has_room = True

    def receive(self, chunk: bytes) -> None:
        """Keep a chunk if there is room for it."""
        if not self.has_room:
            return
        if self.holding.try_grow(len(chunk)):
            self.chunks.append(chunk)
            return
        self.has_room = False
        self.chunks.clear()
        self.holding.shrink(self.holding.size)

    def content(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.chunks)
