"""Tests for the process harness."""

import pathlib
import sys

import pytest

from standins import fleet as fleet_lib

PROGRAM = """
import signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: sys.exit(3))
print("listening 127.0.0.1:9")
time.sleep(60)
"""


def test_starts_reads_the_address_pauses_and_stops(
    tmp_path: pathlib.Path,
) -> None:
    with fleet_lib.Fleet(tmp_path) as fleet:
        process = fleet.start("talker", [sys.executable, "-c", PROGRAM])
        assert process.address() == "127.0.0.1:9"
        process.pause()
        process.terminate()
        assert process.is_running()
        process.resume()
        assert process.wait() == 3


def test_process_that_ended_is_reported_with_its_log(
    tmp_path: pathlib.Path,
) -> None:
    with fleet_lib.Fleet(tmp_path) as fleet:
        process = fleet.start("broken", [sys.executable, "-c", "print(1/0)"])
        with pytest.raises(fleet_lib.FleetError, match="ZeroDivisionError"):
            process.address()


def test_paused_process_is_ended_with_the_rest(
    tmp_path: pathlib.Path,
) -> None:
    fleet = fleet_lib.Fleet(tmp_path)
    process = fleet.start("talker", [sys.executable, "-c", PROGRAM])
    process.address()
    process.pause()
    fleet.stop()
    assert not process.is_running()
    assert fleet.processes == []


def test_an_address_that_a_process_has_yet_to_bind_is_not_given_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against two runs of tests that start servers at one address."""
    monkeypatch.setattr(fleet_lib, "_PORTS", range(31000, 31020))
    monkeypatch.setattr(fleet_lib, "_PORTS_TRIED", 20)
    given: list[str] = []
    with pytest.raises(fleet_lib.FleetError, match="is free"):
        while len(given) <= 20:
            given.append(fleet_lib.free_address())
    assert len(set(given)) == len(given)
