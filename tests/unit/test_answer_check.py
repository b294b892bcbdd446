from magnoliatrail.entry.answer_check import AnswerCheck, StreamProgress
from magnoliatrail.errors import ErrorKind
from magnoliatrail.ids import AdapterVersion, Handle, RequestId


def event(position, request="r", model="a@1~3", reason=b"null", text=b"t"):
    return (
        b'id: %d\ndata: {"id":"%s","object":"text_completion","model":"%s",'
        b'"choices":[{"index":0,"text":"%s","finish_reason":%s}]}\n\n'
        % (position, request.encode(), model.encode(), text, reason)
    )


LAST = b'"length"'
DONE = b"data: [DONE]\n\n"


def new_check(**options):
    return AnswerCheck(
        RequestId("r"), Handle("a@1~3"), AdapterVersion("a", "1"), **options
    )


def test_events_carry_the_callers_model_name():
    check = new_check()
    passed = check.feed(event(0) + event(1, reason=LAST) + DONE)
    assert passed == event(0, model="a@1") + event(1, model="a@1", reason=LAST) + DONE
    assert check.finished
    assert check.failure is None


def test_an_event_cut_by_a_read_passes_once_whole():
    data = event(0) + event(1)
    for cut in range(len(data)):
        check = new_check()
        passed = check.feed(data[:cut]) + check.feed(data[cut:])
        assert passed == event(0, model="a@1") + event(1, model="a@1")


def test_a_repeated_event_passes_once():
    check = new_check()
    check.feed(event(0))
    assert check.feed(event(0) + event(1)) == event(1, model="a@1")
    assert check.failure is None


def test_a_keepalive_comment_is_dropped():
    check = new_check()
    assert check.feed(b": ping\n\n" + event(0)) == event(0, model="a@1")
    assert check.failure is None


def test_a_late_event_after_the_end_is_dropped():
    check = new_check()
    check.feed(event(0, reason=LAST) + DONE)
    assert check.feed(event(1)) == b""


def test_a_missing_event_is_an_error():
    check = new_check()
    assert check.feed(event(1)) == b""
    assert check.failure.kind is ErrorKind.ANSWER_INVALID


def test_events_before_a_wrong_one_still_pass():
    check = new_check()
    assert check.feed(event(0) + event(2)) == event(0, model="a@1")
    check.reconnect()
    assert check.feed(event(1)) == event(1, model="a@1")


def test_an_event_of_another_request_is_an_error():
    check = new_check()
    assert check.feed(event(0, request="other")) == b""
    assert check.failure.kind is ErrorKind.ANSWER_INVALID


def test_an_event_of_another_adapter_is_an_error():
    check = new_check()
    assert check.feed(event(0, model="b@1~3")) == b""
    assert check.failure.kind is ErrorKind.ANSWER_INVALID


def test_an_end_without_a_finish_reason_is_an_error():
    check = new_check()
    assert check.feed(event(0) + DONE) == event(0, model="a@1")
    assert check.failure.kind is ErrorKind.ANSWER_INVALID
    assert not check.finished


def test_an_unusual_layout_is_checked_and_gets_the_callers_names():
    check = new_check()
    data = b'{"choices": [{"finish_reason": "stop"}], "model": "a@1~3", "id": "r"}'
    passed = check.feed(b"id: 0\ndata: " + data + b"\n\n" + DONE)
    assert b'"model":"a@1"' in passed
    assert b"~3" not in passed
    assert check.finished


def test_text_that_looks_like_a_model_field_is_unchanged():
    check = new_check()
    text = rb"\"model\":\"a@1~3\""
    assert check.feed(event(0, text=text)) == event(0, model="a@1", text=text)


def other_run(progress):
    return AnswerCheck(
        RequestId("r.1"),
        Handle("a@1~4"),
        AdapterVersion("a", "1"),
        caller_request_id=RequestId("r"),
        progress=progress,
    )


def test_another_run_continues_where_the_first_was_interrupted():
    progress = StreamProgress()
    new_check(progress=progress).feed(event(0) + event(1, text=b"u"))
    check = other_run(progress)
    names = {"request": "r.1", "model": "a@1~4"}
    replay = event(0, **names) + event(1, text=b"u", **names)
    passed = check.feed(replay + event(2, reason=LAST, **names) + DONE)
    assert passed == event(2, model="a@1", reason=LAST) + DONE


def test_another_run_with_another_text_is_an_error():
    progress = StreamProgress()
    new_check(progress=progress).feed(event(0) + event(1, text=b"u"))
    check = other_run(progress)
    names = {"request": "r.1", "model": "a@1~4"}
    assert check.feed(event(0, **names) + event(1, text=b"v", **names)) == b""
    assert check.replay_differs


def test_another_run_that_ends_earlier_is_an_error():
    progress = StreamProgress()
    new_check(progress=progress).feed(event(0) + event(1))
    check = other_run(progress)
    ended = event(0, request="r.1", model="a@1~4", reason=LAST) + DONE
    assert check.feed(ended) == b""
    assert check.replay_differs
