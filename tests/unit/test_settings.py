import click
import pytest
from click.testing import CliRunner
from msgspec.structs import fields

from magnoliatrail.cli.main import main
from magnoliatrail.cli.options import flag_of, settings_from, variable_of
from magnoliatrail.generated.settings import Settings

VALID_SETTINGS = {
    "instance_id": "one",
    "failure_domain": "a",
    "peer_token": "x" * 16,
    "table_url": "http://127.0.0.1:1",
    "objects_url": "http://127.0.0.1:1",
    "weights_url": "http://127.0.0.1:1",
    "instance_list_url": "http://127.0.0.1:1",
}


def test_valid_settings_are_accepted():
    assert settings_from(VALID_SETTINGS).instance_id == "one"


@pytest.mark.parametrize(
    ("name", "value"),
    [("peer_token", "short"), ("table_url", "nowhere"), ("port", 70000)],
)
def test_an_invalid_setting_is_named_with_its_value(name, value):
    with pytest.raises(click.UsageError) as caught:
        settings_from({**VALID_SETTINGS, name: value})
    assert flag_of(name) in caught.value.message
    assert variable_of(name) in caught.value.message
    assert repr(value) in caught.value.message


def test_settings_that_contradict_each_other_are_refused():
    with pytest.raises(click.UsageError, match="renewal"):
        settings_from({**VALID_SETTINGS, "renewal_seconds": 9.0, "lease_seconds": 10.0})


def test_help_names_every_flag_and_variable():
    output = CliRunner().invoke(main, ["serve", "--help"]).output
    for field in fields(Settings):
        assert flag_of(field.name) in output
        assert variable_of(field.name) in output
