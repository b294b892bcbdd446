"""Decoding of client accounts: odd ones are skipped, the others stay."""

import json
import math

import logbook
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliatrail.accounts.accounts import QuotaUnit
from magnoliatrail.accounts.keys import is_well_formed
from magnoliatrail.platform.account_rows import (
    AccountDecoder,
    without_unreadable_accounts,
)
from magnoliatrail.platform.configuration_rows import decode_configuration

SOUND = {"name": "sound", "keys": ["sound-key"]}
EXAMPLE = {
    "name": "hule930",
    "keys": ["asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"],
    "priority": 1,
    "unit": "tokens",
    "plain_tokens": 200,
    "rate_per_s": 126727,
    "burst": 126727,
}


def decode_text(tenants):
    """Decode a configuration with this text as its accounts."""
    value = f'{{"version":1,"routes":[],"services":[],"tenants":{tenants}}}'
    return decode_configuration(value.encode())


def table_of(*accounts):
    return decode_text(json.dumps(accounts)).ok.accounts


def account(**fields):
    return {"name": "odd", "keys": ["odd-key"], **fields}


def test_an_account_has_its_name_keys_priority_and_quota():
    table = table_of(EXAMPLE)
    found = table.find("k7b2ex5wa5xwyhks8nbk")
    assert table.find("asnmgkcuyj8pjbvk9m68") is found
    assert (found.name, found.priority) == ("hule930", 1)
    quota = found.quota
    assert (quota.per_second, quota.burst) == (126727, 126727)
    assert (quota.unit, quota.plain_tokens) == (QuotaUnit.TOKENS, 200)


def test_only_a_configuration_with_the_field_has_accounts_in_force():
    value = b'{"version":1,"routes":[],"services":[]}'
    assert decode_configuration(value).ok.accounts is None
    assert decode_text("[]").ok.accounts.accounts == {}


# Guards against an instance that checks no key, as a field that it cannot read counts
# as no field.
@pytest.mark.parametrize("text", ["null", "{}", '"x"', "7", "true", '{"a":[]}'])
def test_accounts_that_are_no_list_make_the_configuration_unreadable(text):
    assert decode_text(text).is_error()


def test_absent_fields_have_defaults():
    found = table_of(SOUND).find("sound-key")
    assert (found.priority, found.quota) == (0, None)
    limited = table_of({**SOUND, "rate_per_s": 5}).find("sound-key").quota
    assert (limited.burst, limited.unit) == (0, QuotaUnit.REQUESTS)


def test_a_rate_of_zero_is_no_limit():
    assert table_of({**SOUND, "rate_per_s": 0, "burst": 9}).find("sound-key").quota is (
        None
    )


def test_unknown_fields_are_ignored():
    assert table_of({**SOUND, "owner": {"team": ["x"]}}).find("sound-key")


ODD_ACCOUNTS = {
    "no object": '"odd"',
    "null": "null",
    "no name": json.dumps({"keys": ["odd-key"]}),
    "empty name": json.dumps(account(name="")),
    "long name": json.dumps(account(name="n" * 201)),
    "name with a line break": json.dumps(account(name="a\r\nb")),
    "name with NUL": json.dumps(account(name="a\0")),
    "name beyond ASCII": json.dumps(account(name="höhe")),
    "name that begins with a space": json.dumps(account(name=" a")),
    "name of a space": json.dumps(account(name=" ")),
    "name is a number": json.dumps(account(name=7)),
    "taken name": json.dumps(account(name="sound")),
    "no keys": json.dumps({"name": "odd"}),
    "empty keys": json.dumps(account(keys=[])),
    "keys are a string": json.dumps(account(keys="odd-key")),
    "only invalid keys": json.dumps(account(keys=["", "\n", 7, None, "x" * 201])),
    "too many keys": json.dumps(account(keys=[f"k{i}" for i in range(1001)])),
    "negative rate": json.dumps(account(rate_per_s=-1)),
    "negative burst": json.dumps(account(rate_per_s=1, burst=-0.1)),
    "negative burst without a limit": json.dumps(account(burst=-1)),
    "large rate": json.dumps(account(rate_per_s=1.1e12)),
    "large burst": json.dumps(account(rate_per_s=1, burst=1e13)),
    "rate NaN": json.dumps(account(rate_per_s=math.nan)),
    "rate Infinity": json.dumps(account(rate_per_s=math.inf)),
    "rate beyond floats": '{"name":"odd","keys":["odd-key"],"rate_per_s":1e999}',
    "rate of many digits": json.dumps(account(rate_per_s=10**400)),
    "rate is a string": json.dumps(account(rate_per_s="7")),
    "negative tokens": json.dumps(account(plain_tokens=-1)),
    "unknown unit": json.dumps(account(unit="bytes")),
    "priority beyond 64 bits": json.dumps(account(priority=10**30)),
    "nested": '{"name":"odd","keys":["odd-key"],"x":' + "[" * 40 + "]" * 40 + "}",
    "nested deeply": '{"name":"odd","keys":["odd-key"],"x":'
    + "[" * 9000
    + "]" * 9000
    + "}",
    "number with a leading zero": '{"name":"odd","keys":["odd-key"],"burst":01}',
}


# Guards against one odd account that costs others their access, or the whole
# configuration, and against a key in the line that names it.
@pytest.mark.parametrize("text", ODD_ACCOUNTS.values(), ids=ODD_ACCOUNTS.keys())
def test_an_odd_account_is_skipped_alone_and_logged_without_its_keys(text):
    after = json.dumps({"name": "after", "keys": ["after-key"]})
    with logbook.TestHandler() as logged:
        table = decode_text(f"[{json.dumps(SOUND)},{text},{after}]").ok.accounts
    assert sorted(table.accounts) == ["after", "sound"]
    assert table.find("sound-key") and table.find("after-key")
    assert table.find("odd-key") is None
    (line,) = [item.message for item in logged.records if "_skipped" in item.message]
    assert "event=account_skipped number=1" in line
    assert "odd-key" not in line


@pytest.mark.parametrize("key", ["", "x" * 201, "a\nb", "ö", "\x7f", 7, None, ["k"]])
def test_an_account_keeps_its_other_keys_without_an_invalid_one(key):
    with logbook.TestHandler() as logged:
        table = table_of(account(keys=["odd-key", key]))
    assert table.find("odd-key").name == "odd"
    assert len(table.by_key) == 1
    (line,) = [item.message for item in logged.records]
    assert "account_keys_skipped account=odd keys=1" in line


@pytest.mark.parametrize("key", ["x" * 200, "a b", "~", "{}", "a,b"])
def test_every_printable_key_of_200_letters_is_valid(key):
    assert table_of(account(keys=[key])).find(key).name == "odd"


def test_a_thousand_keys_are_not_too_many():
    assert len(table_of(account(keys=[f"k{i}" for i in range(1000)])).by_key) == 1000


# Guards against a key that gives access to another customer's account.
@pytest.mark.parametrize("accounts", [2, 3])
def test_a_key_of_several_accounts_belongs_to_none(accounts):
    names = [f"a{number}" for number in range(accounts)]
    with logbook.TestHandler() as logged:
        table = table_of(*({"name": n, "keys": ["common", f"{n}-key"]} for n in names))
    assert table.find("common") is None
    assert [table.find(f"{name}-key").name for name in names] == names
    (line,) = [item.message for item in logged.records]
    assert f"accounts={','.join(names)}" in line
    assert "common" not in line


def test_a_key_that_one_account_names_twice_is_its_own():
    assert table_of(account(keys=["k", "k"])).find("k").name == "odd"


def test_a_skipped_account_takes_no_key_and_no_name():
    table = table_of(account(unit="bytes"), account(name="other"), account(keys=["k"]))
    assert table.find("odd-key").name == "other"
    assert table.find("k").name == "odd"


# Guards against a table that mixes two configurations, by what is kept of the last one.
def test_a_changed_account_is_decoded_anew_and_others_are_kept():
    decoder = AccountDecoder()
    one = json.dumps([SOUND, account(keys=["k1"])]).encode()
    two = json.dumps([SOUND, account(keys=["k2"])]).encode()
    first, second = decoder.decode(one).ok, decoder.decode(two).ok
    assert first.find("k1") and not first.find("k2")
    assert second.find("k2") and not second.find("k1")
    assert second.accounts["sound"] is first.accounts["sound"]
    assert decoder.decode(two).ok is second
    assert len(decoder.known) == 2


# Guards against a skipped account that only the first of several versions names.
def test_an_unchanged_odd_account_is_logged_again():
    decoder = AccountDecoder()
    field = json.dumps([account(unit="bytes")]).encode()
    with logbook.TestHandler() as logged:
        decoder.decode(field)
        decoder.decode(field)
    assert len(logged.records) == 2


def test_removed_accounts_are_not_kept():
    decoder = AccountDecoder()
    decoder.decode(json.dumps([SOUND, account()]).encode())
    assert decoder.decode(b"[]").ok.accounts == {}
    assert not decoder.known


def test_only_the_list_of_accounts_is_repaired():
    value = b'{"x":{"tenants":[NaN]},"tenants":[NaN,{"k":["]",NaN]},[],{}],"y":[NaN]}'
    repaired = b'{"x":{"tenants":[NaN]},"tenants":[null,null,[],{}],"y":[NaN]}'
    assert without_unreadable_accounts(value) == repaired


def test_a_route_may_be_public():
    route = {"name": "r", "host": "h", "prefix": "/", "kind": "safe", "timeout_ms": 1}
    value = {"version": 1, "services": [], "routes": [{**route, "public": True}, route]}
    routes = decode_configuration(json.dumps(value).encode()).ok.routes
    assert [item.public for item in routes] == [True, False]


ODD_VALUES = [
    *(None, True, -1, 0, 1, 2**63, 10**30, -1e300, 1e300, math.inf, math.nan, 1e-300),
    *(
        "",
        "a",
        "sound",
        "sound-key",
        "tokens",
        "k" * 300,
        "\n",
        "ö",
        "\ud800",
        "]",
        '"',
    ),
    *([], [None], ["a"], ["sound-key"], ["a", "a", 1], [[["a"]]], {}, {"a": ["x"]}),
]
ODD_OBJECTS = st.dictionaries(
    st.sampled_from([*EXAMPLE, "tenants", "x"]), st.sampled_from(ODD_VALUES)
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


# Guards against an odd account that raises, or that takes a sound one with it.
@settings(derandomize=True, max_examples=400)
@given(
    st.lists(ODD_OBJECTS | st.sampled_from(ODD_VALUES) | JSON, max_size=4), st.data()
)
def test_whatever_stands_beside_it_a_sound_account_is_found(others, data):
    place = data.draw(st.integers(0, len(others)))
    sound = {"name": "certain", "keys": ["certain-key"]}
    accounts = [*others[:place], sound, *others[place:]]
    table = decode_text(json.dumps(accounts)).ok.accounts
    assert table.find("certain-key").name == "certain"
    for name, found in table.accounts.items():
        assert 0 < len(name) <= 200 and name.isascii() and name.isprintable()
        if found.quota:
            assert 0 < found.quota.per_second <= 1e12
            assert 0 <= found.quota.burst <= 1e12


@settings(derandomize=True, max_examples=200)
@given(st.text())
def test_a_well_formed_key_is_printable_ascii(text):
    expected = 0 < len(text) <= 200 and all(" " <= letter <= "~" for letter in text)
    assert is_well_formed(text) is expected
