from magnoliatrail.entry.answer_check import AnswerCheck
from magnoliatrail.errors import ErrorKind
from magnoliatrail.ids import AdapterVersion, Handle, RequestId


def event(position, request="r", model="a@1~3"):
    return b'id: %d\ndata: {"id":"%s","model":"%s","choices":[]}\n\n' % (
        position,
        request.encode(),
        model.encode(),
    )


def new_check():
    return AnswerCheck(RequestId("r"), Handle("a@1~3"), AdapterVersion("a", "1"))


def test_events_pass_with_the_callers_name_for_the_model():
    check = new_check()
    passed = check.take(event(0) + event(1) + b"data: [DONE]\n\n").ok
    assert passed == event(0, model="a@1") + event(1, model="a@1") + b"data: [DONE]\n\n"
    assert check.finished


def test_an_event_cut_by_a_read_passes_once_whole():
    check = new_check()
    data = event(0)
    assert check.take(data[:9]).ok == b""
    assert check.take(data[9:]).ok == event(0, model="a@1")


def test_a_repeated_event_passes_once():
    check = new_check()
    check.take(event(0))
    assert check.take(event(0)).ok == b""


def test_a_missing_event_is_an_error():
    assert new_check().take(event(1)).error.kind is ErrorKind.ANSWER_INVALID


def test_an_event_of_another_request_is_an_error():
    result = new_check().take(event(0, request="other"))
    assert result.error.kind is ErrorKind.ANSWER_INVALID


def test_an_event_of_another_adapter_is_an_error():
    result = new_check().take(event(0, model="b@1~3"))
    assert result.error.kind is ErrorKind.ANSWER_INVALID
