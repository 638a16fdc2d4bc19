"""Tests of the periodic writes of items' progress."""

import time
from typing import Any

import pytest

from gateway import progresswriter


class _SlowWriter(progresswriter.ProgressWriter):
    """Takes longer than an interval to write failures, and gets more."""

    def __init__(self) -> None:
        unused: Any = None
        super().__init__(unused, unused, 0)
        self.whole_writes = 0

    def _write_all(self, *, only_failures: bool) -> None:
        self.whole_writes += not only_failures
        if only_failures:
            time.sleep(0.4)
            self.write_failures()


def test_slow_writes_of_failures_do_not_put_off_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against output that is lost with its VM for want of a write."""
    monkeypatch.setattr(progresswriter, "_WRITE_INTERVAL_S", 0.3)
    writer = _SlowWriter()
    writer.write_failures()
    writer.start()
    time.sleep(2.5)
    writer.stop()
    assert writer.whole_writes >= 3
