"""A store and the parts that keep records of begun streams in it."""

import json
from random import Random

from magnoliatrail.clock import ManualClock, SystemClock
from magnoliatrail.generated.cells import BegunStream
from magnoliatrail.ids import Incarnation, InstanceId
from magnoliatrail.membership.stream_records import (
    StreamRecordReader,
    StreamRecordWriter,
)
from magnoliatrail.metrics import NoMetrics
from magnoliatrail.platform.protocol import STREAMS_TABLE
from tests.platform.fake_store import FakeRows


def begun(request, version="v1"):
    return BegunStream(request=request, software_version=version, instance="i0")


class Records:
    """A store, the writer of one instance and a manual clock."""

    def __init__(self):
        self.clock = ManualClock()
        self.rows = FakeRows()
        self.writer = self.new_writer("i0")

    def new_writer(self, name):
        return StreamRecordWriter(
            clock=self.clock,
            metrics=NoMetrics(),
            store=self.rows.client(),
            instance=InstanceId(name),
            incarnation=Incarnation(f"{name}-1"),
            generator=Random(1),
        )

    def new_reader(self):
        return StreamRecordReader(self.rows.client(), SystemClock())

    async def write(self, *requests, writer=None):
        writer = writer or self.writer
        writer.add([begun(request) for request in requests])
        return await writer.write_row()

    async def find(self, request):
        found = (await self.new_reader().find(request)).ok
        return found and found[0].version

    def keys(self):
        return {key for table, key in self.rows.rows if table == STREAMS_TABLE}

    def digests(self):
        """Return the digests in the table, once for each row that has them."""
        return [
            digest
            for (table, _), (value, _) in self.rows.rows.items()
            if table == STREAMS_TABLE
            for version in json.loads(value)["versions"]
            for digest in version["streams"]
        ]
