"""Rate-limited, non-blocking log output on standard output."""

import os
import time
from collections import Counter, deque

import logbook

from magnoliatrail.logs import LINE_FORMAT, line_prefix

# Lines above this rate are dropped and counted by level.
MAX_LINES_PER_SECOND = 400
# The rest of the budget is reserved for warnings and errors.
MAX_LINES_PER_SECOND_BELOW_WARNING = 300
# Lines that are buffered while standard output does not accept data.
MAX_PENDING_LINES = 2_000


class BoundedOutput(logbook.Handler):  # type: ignore[misc]
    """Write lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int, level: str) -> None:
        super().__init__(level=level, bubble=False)
        self.descriptor = descriptor
        self.formatter = logbook.StringFormatter(LINE_FORMAT)
        self.pending: deque[bytes] = deque()
        self.second = 0
        self.written = 0
        self.dropped: Counter[str] = Counter()
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a line, or count it as dropped."""
        now = int(time.monotonic())
        if now != self.second:
            self.begin_second(now)
        ordinary = record.level < logbook.WARNING
        budget = (
            MAX_LINES_PER_SECOND_BELOW_WARNING if ordinary else MAX_LINES_PER_SECOND
        )
        if self.written >= budget or len(self.pending) >= MAX_PENDING_LINES:
            self.dropped[record.level_name] += 1
            return
        self.written += 1
        self.pending.append(f"{self.format(record)}\n".encode())
        self.flush()

    def begin_second(self, now: int) -> None:
        """Reset the budget, and log how many lines the last second dropped."""
        self.second, self.written = now, 0
        if self.dropped:
            counts = " ".join(f"{name}={count}" for name, count in self.dropped.items())
            self.dropped.clear()
            self.pending.append(f"{line_prefix('lines_dropped')} {counts}\n".encode())

    def flush(self) -> None:
        """Write pending lines until the descriptor would block."""
        while self.pending:
            line = self.pending[0]
            try:
                sent = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The output is closed, so the lines cannot be delivered.
                self.pending.clear()
                return
            if sent < len(line):
                self.pending[0] = line[sent:]
                return
            self.pending.popleft()
