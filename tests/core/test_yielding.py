"""Tests which exchange yields when room runs out."""

from typing import NamedTuple

import pytest

from bulrushdeal import yielding


class Row(NamedTuple):
    name: str
    phase: yielding.Phase
    progressed_s: float


READER = Row("reader", "reading", 5.0)
OLDER_READER = Row("older reader", "reading", 4.0)
YOUNG_READER = Row("young reader", "reading", 9.5)
SENDER = Row("sender", "sending", 1.0)
SERVED = Row("served", "serving", 0.0)


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        ((), None),
        ((SERVED,), None),
        ((YOUNG_READER, SERVED), None),
        ((READER, OLDER_READER), OLDER_READER),
        ((SENDER, READER), READER),
        ((SENDER, YOUNG_READER), SENDER),
    ],
)
def test_the_transfer_that_stalled_longest_yields(
    rows: tuple[Row, ...], expected: Row | None
) -> None:
    # Guards against ending sound requests, and answers before requests that
    # can be sent again.
    assert yielding.first_to_yield(rows, 10.0) == expected
