"""The memory that one process may hold for its clients, by what it is held for."""

from collections.abc import Callable
from enum import Enum
from types import TracebackType

MEGABYTE = 1_000_000
# Part of the process's memory that is held for clients. The rest is the process at
# rest, its connections, and copies that exist while a body is passed on.
SHARE_OF_MEMORY = 0.25
# Parts of the budget; the part for messages between instances is theirs alone.
UNFINISHED_SHARE = 0.4
CLIENT_SHARE = 0.8
MESSAGE_SHARE = 0.2


class HeldKind(Enum):
    """What memory is held for."""

    # Bodies that are being read.
    BODIES = "bodies"
    # Bodies of whole requests in progress.
    REQUESTS = "requests"
    # Answers that are buffered for callers.
    ANSWERS = "answers"
    # Messages and requests of other instances.
    MESSAGES = "messages"

    # Members are compared by identity; the hash of Enum costs a call of its own.
    __hash__ = object.__hash__


class MemoryBudget:
    """Count the bytes held for clients, and refuse what exceeds the budget."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.unfinished_size = int(size * UNFINISHED_SHARE)
        self.client_size = int(size * CLIENT_SHARE)
        self.message_size = int(size * MESSAGE_SHARE)
        self.held = dict.fromkeys(HeldKind, 0)
        # Called after each release, as what waits may fit now.
        self.released: list[Callable[[], None]] = []

    def room(self, kind: HeldKind) -> int:
        """Return how many more bytes may be held for a purpose."""
        held = self.held
        if kind is HeldKind.MESSAGES:
            return self.message_size - held[kind]
        unfinished = held[HeldKind.BODIES]
        of_clients = unfinished + held[HeldKind.REQUESTS] + held[HeldKind.ANSWERS]
        room = self.client_size - of_clients
        if kind is HeldKind.BODIES:
            return min(room, self.unfinished_size - unfinished)
        return room

    def try_reserve(self, kind: HeldKind, size: int, *, spare: int = 0) -> bool:
        """Hold bytes if there is room for them and `spare` more; return whether.

        Raises ValueError if the size is negative.
        """
        check_size(size)
        if size + spare > self.room(kind):
            return False
        self.held[kind] += size
        return True

    def release(self, kind: HeldKind, size: int) -> None:
        """Give back held bytes.

        Raises ValueError if the size is negative or more than is held.
        """
        check_size(size)
        if size > self.held[kind]:
            raise ValueError(
                f"size is {size}, but {self.held[kind]} bytes are held for "
                f"{kind.value}; release each reservation once"
            )
        self.held[kind] -= size
        if size:
            for call in self.released:
                call()

    def try_move(self, source: HeldKind, target: HeldKind, size: int) -> bool:
        """Count held bytes for another purpose if that has room; return whether.

        Raises ValueError if the size is negative or more than is held.
        """
        check_size(size)
        if size > self.held[source]:
            raise ValueError(
                f"size is {size}, but {self.held[source]} bytes are held for "
                f"{source.value}; move only what was reserved"
            )
        self.held[source] -= size
        if size > self.room(target):
            self.held[source] += size
            return False
        self.held[target] += size
        if size:
            for call in self.released:
                call()
        return True


def check_size(size: int) -> None:
    """Raise ValueError if a size is negative."""
    if size < 0:
        raise ValueError(f"size is {size}; pass a number of bytes of at least 0")


class Holding:
    """What one request holds of the budget; closing it gives everything back."""

    def __init__(self, budget: MemoryBudget, kind: HeldKind) -> None:
        self.budget = budget
        self.kind = kind
        self.size = 0
        self.closed = False

    def try_grow(self, size: int, *, spare: int = 0) -> bool:
        """Hold more bytes if there is room; return whether.

        Raises ValueError if the holding is closed or the size is negative.
        """
        if self.closed:
            raise ValueError("the holding is closed; open another one")
        if not self.budget.try_reserve(self.kind, size, spare=spare):
            return False
        self.size += size
        return True

    def shrink(self, size: int) -> None:
        """Give back some bytes.

        Raises ValueError if the size is negative or more than is held.
        """
        if size > self.size:
            raise ValueError(f"size is {size}, but {self.size} bytes are held")
        self.budget.release(self.kind, size)
        self.size -= size

    def commit(self, kind: HeldKind) -> bool:
        """Count what is held for another purpose if there is room; return whether.

        An unfinished body that became a whole request always has room.
        """
        if not self.budget.try_move(self.kind, kind, self.size):
            return False
        self.kind = kind
        return True

    def close(self) -> None:
        """Give back everything; closing twice does nothing."""
        size, self.size, self.closed = self.size, 0, True
        self.budget.release(self.kind, size)

    def __enter__(self) -> "Holding":
        """Return the holding."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Give back everything."""
        self.close()


def budget_of(memory_mb: float) -> MemoryBudget:
    """Return the budget of a process with so many megabytes of memory."""
    return MemoryBudget(int(memory_mb * MEGABYTE * SHARE_OF_MEMORY))
