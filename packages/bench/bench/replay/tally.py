"""Results of the requests and items of a replay, and their statistics."""

from collections.abc import Iterable, Sequence
import statistics
from typing import Literal, NamedTuple

End = Literal["in_time", "late", "refused", "unfinished"]
ENDS: tuple[End, ...] = ("in_time", "late", "refused", "unfinished")


class Ended(NamedTuple):
    """The result of one request or item.

    Attributes:
        kind: The name of the kind of request or job.
        arrived_s: When it arrived, in seconds.
        end: How it ended.
        worth: The worth of its answer.
        max_worth: The worth of an answer in time.
        first_event_s: The time to the first event, in seconds; 0 for batch
            items and if there was no event.
        cuts: How often it lost its slot or was retried at another engine.
    """

    kind: str
    arrived_s: float
    end: End
    worth: float
    max_worth: float
    first_event_s: float = 0.0
    cuts: int = 0


class Row(NamedTuple):
    """The statistics of one kind in one replay.

    Attributes:
        kind: The name of the kind; "all" for all kinds together.
        total: The number of requests or items.
        in_time: The share of them that ended in time.
        late: The share that ended late.
        refused: The share that was refused.
        unfinished: The share that has not ended.
        worth: The worth of all answers, as a share of the largest possible.
        p50_s: The median time to the first event, in seconds.
        p95_s: The 95th percentile of the time to the first event, in seconds.
        cuts: The sum of `Ended.cuts`.
        max_cuts: The maximum of `Ended.cuts`.
    """

    kind: str
    total: int
    in_time: float
    late: float
    refused: float
    unfinished: float
    worth: float
    p50_s: float
    p95_s: float
    cuts: int
    max_cuts: int


class Spread(NamedTuple):
    """The mean, minimum and maximum of a figure over several replays."""

    mean: float
    least: float
    most: float


def rows(results: Iterable[Ended]) -> tuple[Row, ...]:
    """Returns a row for each kind, and one for all kinds together."""
    all_results = tuple(results)
    kinds = sorted({result.kind for result in all_results})
    kind_rows = [
        _row(kind, [result for result in all_results if result.kind == kind])
        for kind in kinds
    ]
    return (*kind_rows, _row("all", all_results))


def _row(kind: str, results: Sequence[Ended]) -> Row:
    count = max(1, len(results))
    shares = {
        end: sum(result.end == end for result in results) / count
        for end in ENDS
    }
    max_worth = sum(result.max_worth for result in results)
    first_event_times_s = sorted(
        result.first_event_s for result in results if result.first_event_s
    )
    return Row(
        kind,
        len(results),
        **shares,
        worth=sum(result.worth for result in results) / max_worth
        if max_worth
        else 0.0,
        p50_s=_quantile(first_event_times_s, 0.5),
        p95_s=_quantile(first_event_times_s, 0.95),
        cuts=sum(result.cuts for result in results),
        max_cuts=max((result.cuts for result in results), default=0),
    )


def _quantile(ordered: Sequence[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def spread(figures: Sequence[float]) -> Spread:
    """Returns the mean, minimum and maximum of figures."""
    return Spread(statistics.fmean(figures), min(figures), max(figures))
