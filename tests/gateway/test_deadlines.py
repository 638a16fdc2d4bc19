"""Tests the callbacks at the deadlines of requests."""

from collections.abc import Iterator
import functools
import gc
import threading
import time
import weakref

import pytest

from gateway import deadlines

REQUESTS = 1000
LATER_S = 3600.0


class Request:
    """What a callback holds."""

    def end(self) -> None:
        """Does nothing."""


@pytest.fixture(name="timers")
def started_timers() -> Iterator[deadlines.Deadlines]:
    timers = deadlines.Deadlines()
    timers.start()
    yield timers
    timers.stop()


def test_a_request_that_ended_is_not_held_until_its_deadline(
    timers: deadlines.Deadlines,
) -> None:
    # Guards against memory that grows with all requests of the last minute as
    # long as one older request is open.
    timers.add(time.monotonic() + LATER_S, lambda: None)
    ended = []
    for _ in range(REQUESTS):
        request = Request()
        ended.append(weakref.ref(request))
        timers.add(time.monotonic() + LATER_S, request.end)()
    del request
    gc.collect()
    assert not [row for row in ended if row() is not None]


@pytest.mark.parametrize("open_requests", [1, 500])
def test_cancelled_timers_are_no_more_than_the_others(
    timers: deadlines.Deadlines, open_requests: int
) -> None:
    # Guards against a heap that keeps an entry for each request that ended.
    for _ in range(open_requests):
        timers.add(time.monotonic() + LATER_S, lambda: None)
    for _ in range(REQUESTS):
        timers.add(time.monotonic() + LATER_S, lambda: None)()
        allowed = open_requests + max(open_requests, 64)
        assert timers.timer_count() <= allowed + 1


def test_due_callbacks_run_in_order_without_those_cancelled(
    timers: deadlines.Deadlines,
) -> None:
    # Guards against a deadline that is lost when cancelled ones are removed.
    seen: list[int] = []
    may_go, done = threading.Event(), threading.Event()
    now_s = time.monotonic()

    def hold() -> None:
        # Else those that are cancelled late have been called already.
        may_go.wait(30)

    timers.add(now_s, hold)
    cancels = [
        timers.add(now_s + 0.2 + row / 1e6, functools.partial(seen.append, row))
        for row in range(REQUESTS)
    ]
    timers.add(now_s + 0.3, done.set)
    for row, cancel in enumerate(cancels):
        if row % 10:
            cancel()
    may_go.set()
    assert done.wait(30)
    assert seen == list(range(0, REQUESTS, 10))
    for cancel in cancels:
        cancel()


def test_one_that_cancels_twice_does_not_end_another(
    timers: deadlines.Deadlines,
) -> None:
    # Guards against a request whose deadline goes with that of another one.
    done = threading.Event()
    cancel = timers.add(time.monotonic() + LATER_S, lambda: None)
    cancel()
    timers.add(time.monotonic() + 0.05, done.set)
    cancel()
    assert done.wait(30)
