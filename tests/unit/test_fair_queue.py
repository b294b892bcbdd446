from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.generated.permits import RequestClass
from magnoliatrail.routing.fair_queue import FairQueue

INTERACTIVE, BATCH = RequestClass.INTERACTIVE, RequestClass.BATCH


def push(queue, name, *, caller="one", request_class=INTERACTIVE, deadline=10):
    queue.push(
        name,
        request_id=name,
        caller=caller,
        request_class=request_class,
        deadline=timedelta(seconds=deadline),
    )


def drained(queue):
    return [queue.pop() for _ in range(len(queue))]


def test_the_earliest_deadline_goes_first():
    queue = FairQueue()
    push(queue, "late", deadline=9)
    push(queue, "early", deadline=3)
    assert drained(queue) == ["early", "late"]


def test_a_busy_caller_does_not_delay_another():
    queue = FairQueue()
    for number in range(10):
        push(queue, f"busy-{number}", caller="busy", deadline=1)
    push(queue, "calm", caller="calm", deadline=100)
    assert drained(queue).index("calm") <= 1


def test_batch_waits_but_does_not_starve():
    queue = FairQueue()
    push(queue, "batch", request_class=BATCH)
    for number in range(100):
        push(queue, f"interactive-{number}")
    assert 1 <= drained(queue).index("batch") <= 8


def test_a_returning_caller_has_no_credit_for_idle_time():
    queue = FairQueue()
    for number in range(20):
        push(queue, f"a{number}", caller="a")
        assert queue.pop() == f"a{number}"
    for number in range(4):
        push(queue, f"old{number}", caller="a")
        push(queue, f"new{number}", caller="b")
    first = drained(queue)[:4]
    assert sum(name.startswith("old") for name in first) == 2


requests = st.lists(
    st.tuples(st.sampled_from("abc"), st.sampled_from(RequestClass), st.integers(0, 9)),
    max_size=30,
)


@settings(derandomize=True)
@given(requests, st.data())
def test_every_request_comes_out_once(items, data):
    queue = FairQueue()
    for number, (caller, request_class, deadline) in enumerate(items):
        push(
            queue,
            str(number),
            caller=caller,
            request_class=request_class,
            deadline=deadline,
        )
    numbers = range(len(items))
    removed = data.draw(st.sets(st.sampled_from(numbers)) if items else st.just(set()))
    for number in removed:
        caller, request_class, _ = items[number]
        assert queue.remove(str(number), caller, request_class) == str(number)
    left = {str(number) for number in numbers if number not in removed}
    out = drained(queue)
    assert set(out) == left
    assert len(out) == len(left)
    assert queue.pop() is None
