"""Odd entries of the platform's instance list, among sound ones."""

import json

import pytest

from magnoliatrail.platform.instance_list import RawInstanceList, usable_entries
from magnoliatrail.wire import decode

ENGINE = {
    "id": "engine-0",
    "kind": "engine",
    "url": "http://127.0.0.1:9000",
    "failure_domain": "domain-0",
    "state": "live",
}


# Guards against a fleet without servers: one odd entry made the whole list unreadable.
@pytest.mark.parametrize(
    "odd",
    [
        {"id": "odd"},
        {**ENGINE, "id": 7},
        {**ENGINE, "state": "dreaming"},
        {**ENGINE, "url": "http://127.0.0.1:99999"},
        {**ENGINE, "url": "http://127.0.0.1:0"},
        {**ENGINE, "url": "http://[::1"},
        {**ENGINE, "url": "nowhere"},
        [[[]]],
        None,
    ],
)
def test_an_odd_entry_is_passed_over_and_the_others_hold(odd):
    last = {**ENGINE, "id": "engine-1"}
    body = json.dumps({"instances": [ENGINE, odd, last]}).encode()
    found = list(usable_entries(decode(body, RawInstanceList).ok))
    assert [item.id for item in found] == ["engine-0", "engine-1"]
