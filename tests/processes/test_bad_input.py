from datetime import timedelta

import msgspec
import pytest
from tornado.httpclient import HTTPRequest

from magnoliatrail.generated.answers import ErrorAnswer, Outcome
from magnoliatrail.wire import CallLimits, call, encode

from .fleet import running_fleet

pytestmark = pytest.mark.processes

LIMITS = CallLimits(timedelta(seconds=5), timedelta(seconds=30))
GOOD = encode({"model": "adapter-0000@1", "prompt": "p", "max_tokens": 1})
PATH = "/v1/completions"

CASES = [
    ("POST", PATH, {}, encode({"model": "nobody@1", "prompt": "p"}), 404),
    ("POST", PATH, {}, encode({"model": "adapter-0000", "prompt": "p"}), 400),
    ("POST", PATH, {}, b"{", 400),
    ("POST", PATH, {}, b"\xff", 400),
    ("POST", PATH, {"X-Deadline-Seconds": "soon"}, GOOD, 400),
    ("POST", PATH, {"X-Deadline-Seconds": "nan"}, GOOD, 400),
    ("POST", PATH, {"X-Request-Class": "urgent"}, GOOD, 400),
    ("GET", PATH, {}, None, 405),
    ("GET", "/nowhere", {}, None, 404),
    ("GET", "/services/nobody/x", {}, None, 404),
]


def test_bad_input_gets_one_error_shape_and_dispatches_nothing(run):
    async def scenario():
        async with running_fleet(["one"]) as fleet:
            url = fleet.processes["one"].caller_url
            for method, path, headers, body, status in CASES:
                request = HTTPRequest(
                    url + path, method=method, headers=headers, body=body
                )
                response = await call(fleet.client, request, LIMITS)
                assert response.code == status, (path, response.body)
                answer = msgspec.json.decode(response.body, type=ErrorAnswer)
                assert answer.error.outcome is Outcome.NOT_RUN
                assert answer.error.remedy
            assert sum(engine.loads for engine in fleet.environment.engines) == 0

    run(scenario())
