"""Fair queue over callers: earliest deadline first, without starving batch requests.

Each request class is a start-time fair queue over its callers.
"""

import heapq
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Generic, TypeVar

from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import CallerId, RequestId

T = TypeVar("T")

INTERACTIVE_TURNS_PER_BATCH_TURN = 8


@dataclass(order=True, slots=True)
class QueueEntry(Generic[T]):
    """A queued item; entries sort by deadline, then in order of arrival."""

    deadline: timedelta
    order: int
    request_id: RequestId = field(compare=False)
    item: T = field(compare=False)


@dataclass(slots=True)
class ClassQueue(Generic[T]):
    """The queued items of one request class, by caller.

    `virtual_starts` holds the virtual start time of each caller's next item.
    """

    by_caller: dict[CallerId, list[QueueEntry[T]]] = field(default_factory=dict)
    virtual_starts: dict[CallerId, float] = field(default_factory=dict)
    virtual_time: float = 0.0

    def push(self, caller: CallerId, entry: QueueEntry[T]) -> None:
        """Queue an item; a caller gets no credit for the time in which it was idle."""
        if caller not in self.by_caller:
            self.virtual_starts[caller] = max(
                self.virtual_time, self.virtual_starts.get(caller, 0.0)
            )
        heapq.heappush(self.by_caller.setdefault(caller, []), entry)

    def pop(self) -> QueueEntry[T]:
        """Remove and return the most urgent item of the caller that starts first."""
        caller = min(
            self.by_caller,
            key=lambda name: (
                self.virtual_starts[name],
                self.by_caller[name][0].deadline,
            ),
        )
        self.virtual_time = self.virtual_starts[caller]
        self.virtual_starts[caller] += 1.0
        entries = self.by_caller[caller]
        entry = heapq.heappop(entries)
        if not entries:
            del self.by_caller[caller]
            self.virtual_starts = {
                name: start
                for name, start in self.virtual_starts.items()
                if name in self.by_caller or start > self.virtual_time
            }
        return entry

    def remove(self, caller: CallerId, request_id: RequestId) -> T | None:
        """Remove and return an item, None if it is not queued."""
        entries = self.by_caller.get(caller, [])
        for index, entry in enumerate(entries):
            if entry.request_id == request_id:
                del entries[index]
                heapq.heapify(entries)
                if not entries:
                    del self.by_caller[caller]
                return entry.item
        return None


class FairQueue(Generic[T]):
    """Queue requests until a batch slot is free."""

    def __init__(self) -> None:
        self.classes: dict[RequestClass, ClassQueue[T]] = {
            request_class: ClassQueue() for request_class in RequestClass
        }
        self.pushed = 0
        self.length = 0
        self.interactive_turns = 0

    def __len__(self) -> int:
        """Return the number of queued items."""
        return self.length

    def waiting(self, caller: CallerId, request_class: RequestClass) -> int:
        """Return how many requests of a class a caller has queued."""
        return len(self.classes[request_class].by_caller.get(caller, ()))

    def push(
        self,
        item: T,
        *,
        request_id: RequestId,
        caller: CallerId,
        request_class: RequestClass,
        deadline: timedelta,
    ) -> None:
        """Queue a request."""
        self.pushed += 1
        self.length += 1
        entry = QueueEntry(deadline, self.pushed, request_id, item)
        self.classes[request_class].push(caller, entry)

    def pop(self) -> T | None:
        """Remove and return the next request: mostly interactive, batch at times."""
        interactive = self.classes[RequestClass.INTERACTIVE]
        batch = self.classes[RequestClass.BATCH]
        if not self.length:
            return None
        self.length -= 1
        batch_due = self.interactive_turns >= INTERACTIVE_TURNS_PER_BATCH_TURN
        if batch.by_caller and (batch_due or not interactive.by_caller):
            self.interactive_turns = 0
            return batch.pop().item
        self.interactive_turns += 1
        return interactive.pop().item

    def remove(
        self, request_id: RequestId, caller: CallerId, request_class: RequestClass
    ) -> T | None:
        """Remove and return a request, None if it is not queued."""
        item = self.classes[request_class].remove(caller, request_id)
        if item is not None:
            self.length -= 1
        return item
