from datetime import timedelta

from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.ids import AdapterVersion
from magnoliatrail.placement.load_queue import (
    ClassWeights,
    LoadKey,
    LoadQueue,
    Waiter,
    urgency,
)
from magnoliatrail.placement.load_rate_limiter import LoadLimits, LoadRateLimiter
from magnoliatrail.routing.admission import LoadForecast, shed

INTERACTIVE, BATCH = RequestClass.INTERACTIVE, RequestClass.BATCH
NOW = timedelta()
FORECAST = LoadForecast(loads_per_second=1.0, load_time=timedelta(seconds=0.25))


def key(name):
    return LoadKey("engine", AdapterVersion(name, "1"))


def waiter(name, *, caller="one", request_class=INTERACTIVE, seconds=20):
    deadline = timedelta(seconds=seconds)
    return Waiter(name, caller, request_class, NOW, deadline)


def new_queue():
    return LoadQueue(urgency(ClassWeights()))


def can_start_anywhere(name):
    return True


def test_requests_for_one_adapter_share_a_load():
    queue = new_queue()
    queue.join(key("a"), waiter("1"))
    queue.join(key("a"), waiter("2"))
    load = queue.take(NOW, can_start_anywhere)
    assert set(load.waiters) == {"1", "2"}
    assert queue.take(NOW, can_start_anywhere) is None


def test_more_and_more_urgent_waiters_go_first():
    queue = new_queue()
    queue.join(key("batch"), waiter("1", request_class=BATCH))
    queue.join(key("one"), waiter("2"))
    queue.join(key("urgent"), waiter("3", seconds=5))
    queue.join(key("two"), waiter("4"))
    queue.join(key("two"), waiter("5"))
    order = [queue.take(NOW, can_start_anywhere).key.model.adapter for _ in range(4)]
    assert order == ["urgent", "two", "one", "batch"]


def test_a_load_that_cannot_start_does_not_block_the_next():
    queue = new_queue()
    queue.join(key("full"), waiter("1", seconds=1))
    queue.join(key("free"), waiter("2"))
    load = queue.take(NOW, lambda name: name == key("free"))
    assert load.key == key("free")
    assert key("full") in queue.pending


def test_a_load_without_waiters_is_dropped():
    queue = new_queue()
    queue.join(key("a"), waiter("1"))
    queue.leave(key("a"), "1")
    assert not queue.pending


def test_a_load_that_was_put_back_waits_until_its_start_time():
    queue = new_queue()
    queue.join(key("a"), waiter("1"))
    load = queue.take(NOW, can_start_anywhere)
    queue.join(key("a"), waiter("2"))
    queue.put_back(load, timedelta(seconds=1))
    assert queue.take(NOW, can_start_anywhere) is None
    assert set(queue.take(timedelta(seconds=1), can_start_anywhere).waiters) == {
        "1",
        "2",
    }


def test_what_cannot_be_loaded_in_time_is_refused_at_once():
    queue = new_queue()
    for number in range(20):
        queue.join(key(str(number)), waiter(str(number)))
    refusals = shed(queue, NOW, FORECAST)
    assert len(queue.pending) == 8
    assert len(refusals) == 12
    assert all(item.retry_after >= timedelta(seconds=1) for item in refusals)


def test_the_busiest_caller_is_refused_first():
    queue = new_queue()
    for number in range(16):
        caller = "calm" if number % 8 == 0 else "busy"
        queue.join(key(str(number)), waiter(str(number), caller=caller))
    refusals = shed(queue, NOW, FORECAST)
    assert {item.waiter.caller for item in refusals} == {"busy"}


def test_starts_keep_to_the_rate_and_the_burst():
    limiter = LoadRateLimiter(LoadLimits(loads_per_second=2.0, burst=2, in_flight=3))
    starts = []
    now = timedelta(seconds=10)
    for _ in range(3):
        now += limiter.wait(now)
        starts.append(now.total_seconds())
        limiter.start(now)
    assert starts == [10.0, 10.0, 10.5]


def test_no_load_starts_beyond_the_limit_in_flight():
    limiter = LoadRateLimiter(LoadLimits(loads_per_second=9.0, burst=9, in_flight=1))
    limiter.start(NOW)
    assert limiter.wait(timedelta(seconds=9)) is None
    limiter.end()
    assert limiter.wait(timedelta(seconds=9)) == timedelta()
