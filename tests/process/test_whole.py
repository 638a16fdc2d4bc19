"""Tests the whole system with real processes by running the demo."""

from standins import demo


def test_demo_succeeds() -> None:
    assert demo.main() == 0
