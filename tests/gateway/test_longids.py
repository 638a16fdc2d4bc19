"""Tests what is kept of requests whose callers chose long ids."""

from collections.abc import Callable
import tracemalloc

from hypothesis import given
from hypothesis import strategies
import pytest

from bulrushdeal import fingerprints
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import connections
from gateway import records
from gateway import streamorigins

REQUESTS = 1000
# Nearly all of a head, of which the configuration allows 16 kB.
ID_CHARS = 14_000
# Far less than the ids take, and more than anything short does.
ALLOWED_BYTES = 1_000_000
ORIGIN = records.StreamOrigin("llm", "v1")


def _record_at_a_connection() -> Callable[[str], object]:
    connection = connections.Connection("127.0.0.1")
    return connection.record_request


def _record_as_begun() -> Callable[[str], object]:
    origins = streamorigins.StreamOrigins(kernel_lib.Kernel())

    class NoVersions:
        def only_version(self, service: str, span_s: float) -> str:
            del service, span_s
            return ""

    origins._list = NoVersions()  # type: ignore[assignment]

    def record(attempt: str) -> None:
        origins.record(attempt, ORIGIN, 1.0)

    return record


@pytest.mark.parametrize(
    "begin",
    [_record_at_a_connection, _record_as_begun],
    ids=["connection", "origins"],
)
def test_ids_of_past_requests_take_little_memory(
    begin: Callable[[], Callable[[str], object]],
) -> None:
    # Guards against a VM that callers with long ids fill, a request at a time.
    record = begin()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        for number in range(REQUESTS):
            record(f"{number}".ljust(ID_CHARS, "x"))
        after_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert after_bytes - before_bytes < ALLOWED_BYTES


def test_a_connection_tells_long_ids_apart() -> None:
    # Guards against a late answer that is taken for that of the next request.
    connection = connections.Connection("127.0.0.1")
    long_id = "x" * ID_CHARS
    connection.record_request(long_id)
    assert not connection.may_carry(long_id)
    assert connection.may_carry(long_id + "y")
    assert connection.may_carry("x")


@given(strategies.text(max_size=200), strategies.text(max_size=200))
def test_short_ids_differ_as_the_ids_do(first: str, second: str) -> None:
    # Guards against two requests that are taken for one.
    short = [fingerprints.short_id(text) for text in (first, second, first * 3)]
    assert (short[0] == short[1]) == (first == second)
    assert all(len(row) <= 64 for row in short)
