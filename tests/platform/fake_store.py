"""An in-memory client of the row store, with injected faults."""

from expression import Error, Ok

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.platform.rows import RowsRead, StoredRow


class FakeRows:
    """Rows shared by several instances."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.down = False
        # Faults of the next write: its answer is lost, or it is also carried out late.
        self.lose_next = False
        self.delay_next = False
        self.delayed = []

    async def read(self, table):
        if self.down:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "down"))
        rows = [
            StoredRow(key, version, value)
            for (name, key), (value, version) in sorted(self.rows.items())
            if name == table
        ]
        return Ok(RowsRead(tuple(rows), self.version, whole=True))

    async def commit(self, writes):
        if self.down:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "down"))
        if self.delay_next:
            self.delay_next = False
            self.delayed.append(writes)
            return unknown()
        done = self.apply(writes)
        if self.lose_next:
            self.lose_next = False
            return unknown()
        return done

    def apply(self, writes):
        for write in writes:
            _, version = self.rows.get((write.table, write.key), (b"", 0))
            if version != write.expected:
                return Error(Failure(ErrorKind.CONFLICT, "another came first"))
        self.version += 1
        for write in writes:
            self.rows[write.table, write.key] = (write.value, self.version)
        return Ok(self.version)

    def apply_delayed(self):
        """Apply the delayed writes whose expected versions still match."""
        for writes in self.delayed:
            self.apply(writes)
        self.delayed.clear()


def unknown():
    return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, "no answer"))
