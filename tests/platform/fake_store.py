"""An in-memory row store and its clients, with injected faults."""

import asyncio

from expression import Error, Ok

from magnoliatrail.errors import ErrorKind, Failure
from magnoliatrail.platform.rows import RowsRead, StoredRow
from magnoliatrail.platform.store_versions import era_of, number_of, version_in_era


class FakeRows:
    """Rows shared by several instances, whose versions are the store's own numbers."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 0
        self.down = False
        # Faults of the next write: its answer is lost, or it is also carried out late.
        self.lose_next = False
        self.delay_next = False
        self.delayed = []
        self.calls = 0
        # The version at which each removed row was removed, and up to which version
        # the changes are forgotten.
        self.removed = {}
        self.forgotten = 0
        # Times the long polls.
        self.clock = None
        # Resolved at the next change.
        self.followers = []

    def client(self):
        """Return the client of one instance, which learns of eras from answers."""
        return FakeClient(self)

    def copy(self):
        """Return a copy to come back from."""
        return dict(self.rows), self.version

    def restore(self, copied):
        """Come back from a copy: later writes are lost, and versions go back."""
        rows, self.version = copied
        self.rows = dict(rows)
        self.removed.clear()
        self.forgotten = self.version
        self.era += 1

    def apply(self, writes, removals=()):
        """Apply writes whose conditions hold; they are judged by number alone."""
        for write in writes:
            _, version = self.rows.get((write.table, write.key), (b"", 0))
            if version != number_of(write.expected):
                return Error(Failure(ErrorKind.CONFLICT, "another came first"))
        self.version += 1
        for write in writes:
            self.rows[write.table, write.key] = (write.value, self.version)
            self.removed.pop((write.table, write.key), None)
        for removal in removals:
            if self.rows.pop((removal.table, removal.key), None):
                self.removed[removal.table, removal.key] = self.version
        for follower in self.followers:
            if not follower.done():
                follower.set_result(None)
        self.followers.clear()
        return Ok(version_in_era(self.era, self.version))

    def apply_delayed(self):
        """Apply the delayed writes whose expected versions still match."""
        for writes, removals in self.delayed:
            self.apply(writes, removals)
        self.delayed.clear()


class FakeClient:
    """What one instance knows of the store, as `RowStore` does."""

    def __init__(self, store):
        self.store = store
        self.era = 0

    def record_era(self, era):
        self.era = max(self.era, era)

    def superseded_at(self, version):
        """Return None: all reads are of the newest version."""

    async def changes(self, table, after, wait):
        """Answer with the next change, or when the wait is over."""
        self.store.calls += 1
        if self.store.down:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "down"))
        if wait and number_of(after) >= self.store.version:
            follower = asyncio.get_running_loop().create_future()
            self.store.followers.append(follower)
            waited = asyncio.ensure_future(self.store.clock.sleep(wait))
            await asyncio.wait({follower, waited}, return_when="FIRST_COMPLETED")
            waited.cancel()
        read = await self.read(table)
        self.store.calls -= 1
        if read.is_error():
            return read
        if era_of(read.ok.version) != era_of(after):
            return Ok(None)
        if number_of(after) < self.store.forgotten:
            return Ok(None)
        rows = [row for row in read.ok.rows if row.version > after]
        rows += [
            StoredRow(key, version_in_era(self.era, version), None)
            for (name, key), version in self.store.removed.items()
            if name == table and version > number_of(after)
        ]
        return Ok(RowsRead(tuple(rows), read.ok.version, whole=False))

    async def read(self, table, part=""):
        self.store.calls += 1
        if self.store.down:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "down"))
        self.record_era(self.store.era)
        rows = [
            StoredRow(key, version_in_era(self.era, version), value)
            for (name, key), (value, version) in sorted(self.store.rows.items())
            if name == table
        ]
        version = version_in_era(self.era, self.store.version)
        return Ok(RowsRead(tuple(rows), version, whole=True))

    async def commit(self, writes, *, removals=()):
        self.store.calls += 1
        if self.store.down:
            return Error(Failure(ErrorKind.TABLE_UNAVAILABLE, "down"))
        eras = {era_of(item.expected) for item in writes if number_of(item.expected)}
        if eras - {self.era}:
            return Error(Failure(ErrorKind.CONFLICT, "the row is of another era"))
        if self.store.delay_next:
            self.store.delay_next = False
            self.store.delayed.append((writes, removals))
            return unknown()
        done = self.store.apply(writes, removals)
        if self.store.lose_next:
            self.store.lose_next = False
            return unknown()
        self.record_era(self.store.era)
        if done.is_ok() and eras - {self.era}:
            return unknown()
        return done


def unknown():
    return Error(Failure(ErrorKind.TABLE_OUTCOME_UNKNOWN, "no answer"))
