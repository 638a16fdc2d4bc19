"""Tests of settings: precedence, and errors that name the setting."""

import pytest

from bulrushdeal import settings

TABLE = (
    settings.Setting("vm", "text", None, "Name."),
    settings.Setting("drain_s", "number", 5.0, "Time.", low=1, high=9),
    settings.Setting("peers_address", "address", "", "Where."),
    settings.Setting("level", "choice", "a", "Word.", choices=("a", "b")),
)


def test_flag_precedes_variable_and_variable_precedes_default() -> None:
    values = settings.read(
        TABLE,
        {"vm": "x"},
        {"BULRUSHDEAL_VM": "y", "BULRUSHDEAL_DRAIN_S": "2", "HOME": "z"},
    )
    assert values == {
        "vm": "x",
        "drain_s": 2.0,
        "peers_address": "",
        "level": "a",
    }


@pytest.mark.parametrize(
    ("flags", "environment", "message"),
    [
        ({}, {}, "--vm: missing"),
        ({"vm": "x", "drain-s": "0.5"}, {}, "--drain-s: '0.5'.*from 1 to 9"),
        ({"vm": "x", "drain-s": "soon"}, {}, "--drain-s: 'soon'"),
        ({"vm": "x", "peers-address": "here"}, {}, "HOST:PORT"),
        ({"vm": "x", "level": "c"}, {}, "one of a, b"),
        ({"vm": "x"}, {"BULRUSHDEAL_DRAIN": "2"}, "BULRUSHDEAL_DRAIN: unknown"),
    ],
)
def test_error_names_the_setting(
    flags: dict[str, str], environment: dict[str, str], message: str
) -> None:
    with pytest.raises(settings.SettingError, match=message):
        settings.read(TABLE, flags, environment)
