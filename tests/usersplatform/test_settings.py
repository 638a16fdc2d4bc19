"""The settings file of the users' platform."""

import copy
import json
import pathlib
from typing import Any

import pytest

from bulrushdeal import errors
from bulrushplatform import settings
from gateway import dialect
from gateway import records

_VALID: dict[str, Any] = {
    "node": "front-a-1",
    "zone": "a",
    "ip": "10.1.0.5",
    "internal_ports": [7660, 7675],
    "listen": {"front": "10.1.0.5:8405", "ready": "10.1.0.5:8406"},
    "bounds": {"grace_s": 8, "quota_slack": 20, "quota_window_s": 5},
    "platform": {"address": "10.2.0.7:8408", "ttl_min_ms": 1000},
    "a_new_field": {"unknown": True},
}


def test_a_valid_file_is_decoded() -> None:
    read = settings.decode(_VALID)
    assert read.vm == "front-a-1"
    assert read.peers_address == "10.1.0.5:7660"
    assert read.min_lease_s == 1.0
    assert read.max_value_bytes == 1 << 20
    assert not read.is_first_start
    assert settings.decode({**_VALID, "first_start": True}).is_first_start


@pytest.mark.parametrize("name", ["node", "zone", "listen", "platform"])
def test_a_missing_field_is_named(name: str) -> None:
    data = copy.deepcopy(_VALID)
    del data[name]
    with pytest.raises(dialect.BadInputError, match=name):
        settings.decode(data)


@pytest.mark.parametrize("value", [-1, "8", True, float("nan")])
def test_a_wrong_value_is_named(value: Any) -> None:
    data = copy.deepcopy(_VALID)
    data["bounds"]["grace_s"] = value
    with pytest.raises(dialect.BadInputError, match="grace_s"):
        settings.decode(data)


def test_cold_limits_and_regions_are_decoded() -> None:
    assert settings.decode(_VALID).cold_limits is None
    assert settings.decode(_VALID).regions == {}
    bounds = {**_VALID["bounds"], "cold_overage": 1.5, "cold_slack": 5}
    data = {**_VALID, "bounds": bounds, "zones": {"a": "north"}}
    read = settings.decode(data)
    assert read.cold_limits == records.ColdLimits(1.5, 5)
    assert read.regions == {"a": "north"}


def test_an_unreadable_file_is_a_user_error(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text("node = ")
    with pytest.raises(errors.UserError, match=r"settings\.toml"):
        settings.read({settings.VARIABLE: str(path)})
    with pytest.raises(errors.UserError, match="is not set"):
        settings.read({})


def test_cores_are_the_share_of_a_core_times_its_speed() -> None:
    limits = {"cpu_share": 0.5, "cores": 3}
    assert settings.decode({**_VALID, "limits": limits}).cores == 1.5
    without = {name: row for name, row in _VALID.items() if name != "limits"}
    assert settings.decode(without).cores == 0.0


def test_the_waiting_line_is_switched_by_a_variable(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(
        'node = "n"\nzone = "a"\nip = "10.1.0.5"\ninternal_ports = [7660]\n'
        '[listen]\nfront = "h:1"\nready = "h:2"\n[bounds]\ngrace_s = 8\n'
        '[platform]\naddress = "h:3"\n'
    )
    variables = {settings.VARIABLE: str(path)}
    assert not settings.read(variables).has_waiting_line
    switch = settings.WAITING_LINE_VARIABLE
    assert settings.read({**variables, switch: "yes"}).has_waiting_line
    with pytest.raises(errors.UserError, match=switch):
        settings.read({**variables, switch: "1"})


@pytest.mark.parametrize(
    ("limits", "memory_bytes", "connections", "threads"),
    [
        ({"memory_mb": 300, "max_fds": 4200}, 45_000_000, 1373, 600),
        ({"memory_mb": 128, "max_fds": 1200}, 19_200_000, 500, 256),
        ({"memory_mb": 0, "max_fds": 0}, 19_200_000, 585, 256),
        ({"max_fds": 100}, 19_200_000, 16, 256),
        ({}, 19_200_000, 585, 256),
    ],
)
def test_what_callers_may_have_follows_from_the_vm(
    limits: dict[str, int], memory_bytes: int, connections: int, threads: int
) -> None:
    # Guards against limits that are larger than the VM.
    decoded = settings.decode({**_VALID, "limits": limits})
    assert decoded.callers_memory_bytes == memory_bytes
    assert decoded.callers_connections == connections
    assert decoded.callers_threads == threads


def test_operators_may_set_what_callers_have(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "settings.toml"
    rows = [
        f"{name} = {json.dumps(value)}"
        for name, value in _VALID.items()
        if not isinstance(value, dict)
    ]
    for name, table in _VALID.items():
        if isinstance(table, dict):
            rows.append(f"[{name}]")
            rows += [f"{key} = {json.dumps(row)}" for key, row in table.items()]
    path.write_text("\n".join(rows))
    environment = {settings.VARIABLE: str(path)}
    memory = {settings.CALLERS_MEMORY_VARIABLE: "48"}
    connections = {settings.CALLERS_CONNECTIONS_VARIABLE: "700"}
    read = settings.read({**environment, **memory, **connections})
    assert read.callers_memory_bytes == 48_000_000
    assert read.callers_connections == 700
    for wrong in ("0", "-1", "many", "1.5", "1" * 30):
        given = {settings.CALLERS_MEMORY_VARIABLE: wrong}
        with pytest.raises(errors.UserError, match="CALLERS_MEMORY"):
            settings.read({**environment, **given})
