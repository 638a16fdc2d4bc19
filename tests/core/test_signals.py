"""Tests of the wait for signals."""

from collections.abc import Iterator
import signal
import threading
import time

import pytest

from bulrushdeal import signals


@pytest.fixture
def received() -> Iterator[list[int]]:
    """Collects the signals that a handler gets."""
    numbers: list[int] = []
    previous = signal.signal(
        signal.SIGUSR2, lambda number, frame: numbers.append(number)
    )
    previous_fd = signal.set_wakeup_fd(-1)
    yield numbers
    signal.set_wakeup_fd(previous_fd)
    signal.signal(signal.SIGUSR2, previous)


def _signal_itself() -> None:
    time.sleep(0.05)
    signal.pthread_kill(threading.get_ident(), signal.SIGUSR2)


def test_a_signal_that_another_thread_receives_ends_the_wait(
    received: list[int],
) -> None:
    """Guards against a process that stops long after it was told to."""
    waiter = signals.SignalWaiter()
    threading.Thread(target=_signal_itself).start()
    start_s = time.monotonic()
    waiter.wait(10.0)
    assert received == [signal.SIGUSR2]
    assert time.monotonic() - start_s < 5.0


def test_a_wait_without_a_signal_ends_at_its_timeout(
    received: list[int],
) -> None:
    signals.SignalWaiter().wait(0.01)
    assert received == []
