from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.ids import AdapterVersion, Handle, RequestId

from .test_answer_check import DONE, LAST, event

LENGTH = 6


def answer_event(position, **names):
    reason = LAST if position == LENGTH - 1 else b"null"
    return event(position, reason=reason, text=b"t%d" % position, **names)


WHOLE = b"".join(answer_event(p, model="a@1") for p in range(LENGTH)) + DONE

# One connection delivers any events in any order, split into reads anywhere.
deliveries = st.lists(
    st.one_of(
        st.integers(0, LENGTH - 1).map(answer_event),
        st.integers(0, LENGTH - 1).map(lambda p: answer_event(p, request="other")),
        st.integers(0, LENGTH - 1).map(lambda p: answer_event(p, model="b@1~3")),
        st.just(DONE),
        st.just(b"data: no position\n\n"),
    ),
    max_size=LENGTH * 2,
)


@settings(derandomize=True, max_examples=500)
@given(st.lists(st.tuples(deliveries, st.integers(1, 200)), max_size=5))
def test_any_deliveries_pass_on_only_the_answer_in_order(connections):
    check = AnswerCheck(RequestId("r"), Handle("a@1~3"), AdapterVersion("a", "1"))
    passed = b""
    for delivered, size in connections:
        check.reconnect()
        data = b"".join(delivered)
        for start in range(0, len(data), size):
            passed += check.feed(data[start : start + size])
        assert WHOLE.startswith(passed)
    check.reconnect()
    rest = b"".join(answer_event(p) for p in range(check.next_position, LENGTH)) + DONE
    passed += check.feed(rest)
    assert passed == WHOLE
    assert check.finished
