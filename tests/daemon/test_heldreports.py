"""Tests the reports of what is held for callers."""

from typing import Any

import pytest

from bulrushdeal import metrics
from bulrushdeald import heldreports


class Metrics:
    def __init__(self) -> None:
        self.sent: list[tuple[str, float]] = []

    def increment(self, name: str, count: int = 1) -> None:
        self.sent.append((name, count))

    def gauge(self, name: str, value: float) -> None:
        self.sent.append((name, value))

    def timing_ms(self, name: str, duration_ms: float) -> None:
        raise AssertionError


def test_only_what_is_new_is_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a crowd that no figure shows, or that shows for ever.
    sent = Metrics()
    lines: list[Any] = []
    monkeypatch.setattr(metrics, "connect", lambda _: sent)
    monkeypatch.setattr(
        heldreports._log, "warning", lambda *words: lines.append(words)
    )
    rows = [
        heldreports.Held(10, 100, 2, {}),
        heldreports.Held(20, 100, 3, {"yielded": 2}),
        heldreports.Held(0, 100, 0, {"yielded": 2}),
        heldreports.Held(0, 100, 0, {"yielded": 3, "late_head": 1}),
    ]
    reports = heldreports.HeldReports(lambda: rows.pop(0), "", 1.0)
    for _ in range(4):
        reports.report()
    counted = [row for row in sent.sent if "cut_short" in row[0]]
    assert counted == [
        ("callers.cut_short.yielded", 2),
        ("callers.cut_short.yielded", 1),
        ("callers.cut_short.late_head", 1),
    ]
    assert ("callers.bytes", 20) in sent.sent
    assert len(lines) == 2
