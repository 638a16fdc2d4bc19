"""The crashes that parts of prompts stand in."""

from collections.abc import Iterable
from typing import NamedTuple

# A run that had begun when another upstream crashed may have met the same
# cause, such as a loss of power, unless its own crashes so much later.
_SAME_CAUSE_S = 1.0
# An upstream whose start is not known takes longer to start again.
_SAME_CRASH_S = 1.0


class Accusation(NamedTuple):
    """A part in a run that had written nothing when its upstream crashed.

    Attributes:
        part: The part.
        request: Identifies the request.
        upstream: The upstream that crashed.
        started_ms: When the upstream had started; 0 if unknown.
        began_s: When the run began, by the monotonic clock.
        at_s: When the upstream crashed.
    """

    part: str
    request: str
    upstream: str
    started_ms: int
    began_s: float
    at_s: float


class Crash(NamedTuple):
    """A crash that a part stands in.

    Attributes:
        number: The same for all parts of one crash.
        began_s: When the last run with the part began.
        at_s: When it happened.
        requests: The requests with the part that ran on the upstream.
    """

    number: int
    began_s: float
    at_s: float
    requests: frozenset[str]


def group(rows: Iterable[Accusation]) -> dict[str, tuple[Crash, ...]]:
    """Returns the crashes that each part stands in."""
    found: dict[str, dict[int, list[Accusation]]] = {}
    for number, row in _number_crashes(rows):
        crashes = found.setdefault(row.part, {})
        crashes.setdefault(number, []).append(row)
    return {
        part: tuple(
            Crash(
                number,
                max(row.began_s for row in same),
                min(row.at_s for row in same),
                frozenset(row.request for row in same),
            )
            for number, same in crashes.items()
        )
        for part, crashes in found.items()
    }


def _number_crashes(
    rows: Iterable[Accusation],
) -> list[tuple[int, Accusation]]:
    """Returns the rows with numbers, which those of one crash share."""
    numbered: list[tuple[int, Accusation]] = []
    previous: Accusation | None = None
    number = 0
    for row in sorted(
        rows, key=lambda row: (row.upstream, row.started_ms, row.at_s)
    ):
        if previous is None or not _is_same_crash(previous, row):
            number += 1
        numbered.append((number, row))
        previous = row
    return numbered


def _is_same_crash(first: Accusation, second: Accusation) -> bool:
    if first.upstream != second.upstream:
        return False
    if first.started_ms != second.started_ms:
        return False
    if second.started_ms:
        return True
    return second.at_s - first.at_s <= _SAME_CRASH_S


def count_separate(crashes: Iterable[Crash]) -> int:
    """Counts the crashes that may have different causes."""
    count, last_s = 0, float("-inf")
    for crash in sorted(crashes, key=lambda crash: crash.at_s):
        middle_s = (crash.began_s + crash.at_s) / 2
        if middle_s >= last_s or crash.at_s - last_s > _SAME_CAUSE_S:
            count += 1
            last_s = crash.at_s
    return count
