"""Tests of the kernel: the order of start and stop, and lookups."""

from typing import Any

import pytest

from bulrushdeal import kernel as kernel_lib


class Recorder:
    def __init__(self, name: str, events: list[str], fails: bool = False):
        self.name = name
        self.events = events
        self.fails = fails

    def start(self) -> None:
        if self.fails:
            raise OSError("port taken")
        self.events.append(f"start {self.name}")

    def stop(self, grace_s: float) -> None:
        self.events.append(f"stop {self.name}")

    def dump(self) -> Any:
        return {"name": self.name}


def test_starts_in_order_and_stops_in_reverse() -> None:
    events: list[str] = []
    kernel = kernel_lib.Kernel()
    for name in ("a", "b"):
        kernel.register(name, Recorder(name, events))
    kernel.start()
    kernel.stop(1.0)
    kernel.stop(1.0)
    assert events == ["start a", "start b", "stop b", "stop a"]


def test_failed_start_stops_the_services_started_before() -> None:
    events: list[str] = []
    kernel = kernel_lib.Kernel()
    kernel.register("a", Recorder("a", events))
    kernel.register("b", Recorder("b", events, fails=True))
    with pytest.raises(OSError, match="port taken"):
        kernel.start()
    assert events == ["start a", "stop a"]


def test_unknown_service_is_an_error() -> None:
    with pytest.raises(kernel_lib.MissingServiceError):
        kernel_lib.Kernel().find("nothing", Recorder)
