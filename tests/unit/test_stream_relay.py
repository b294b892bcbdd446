import asyncio

from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.entry.stream_relay import pass_events_on
from magnoliatrail.ids import AdapterVersion, Handle, RequestId

from .test_answer_check import DONE, LAST, event


class CountedReads:
    """Give one event for each read."""

    def __init__(self, events):
        self.events = events
        self.reads = 0

    async def read(self):
        self.reads += 1
        return self.events[self.reads - 1]


class SlowSink:
    """Take events only when told to."""

    def __init__(self):
        self.taken = []
        self.may_go_on = asyncio.Event()

    def write_events(self, data):
        self.taken.append(data)
        return self.may_go_on.wait()


def test_nothing_is_read_from_the_engine_while_the_caller_takes_nothing(run):
    async def scenario():
        stream = CountedReads([event(0), event(1), event(2, reason=LAST) + DONE])
        sink = SlowSink()
        check = AnswerCheck(RequestId("r"), Handle("a@1~3"), AdapterVersion("a", "1"))
        relay = asyncio.create_task(pass_events_on(stream, check, sink))
        for _ in range(20):
            await asyncio.sleep(0)
        assert stream.reads == 1
        sink.may_go_on.set()
        assert await relay is None
        assert stream.reads == 3
        assert len(sink.taken) == 3

    run(scenario())
