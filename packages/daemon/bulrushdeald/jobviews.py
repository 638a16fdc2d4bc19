"""Batch jobs in the shape that the usual client libraries know."""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple
import urllib.parse

from bulrushdeal import codec
from bulrushdeald import batchrecords
from bulrushdeald import results
from bulrushdeald import services

_DEFAULT_LIMIT = 20
_MAX_LIMIT = 100


class Counts(NamedTuple):
    """Items that have ended so far."""

    completed: int
    failed: int


def count(entries: Iterable[services.Entry]) -> Counts:
    """Adds up the chunks that are done."""
    done = [
        record.result
        for record in _records(entries)
        if record.result is not None
    ]
    return Counts(
        sum(one.completed for one in done), sum(one.failed for one in done)
    )


def holders(entries: Iterable[services.Entry]) -> tuple[str, ...]:
    """Returns the VMs that run chunks."""
    vms = {
        record.vm for record in _records(entries) if record.state == "running"
    }
    return tuple(sorted(vms))


def _records(
    entries: Iterable[services.Entry],
) -> list[batchrecords.ChunkRecord]:
    records = []
    for entry in entries:
        try:
            record = batchrecords.load(batchrecords.ChunkRecord, entry.value)
        except codec.CodecError:
            continue
        records.append(record)
    return records


def describe(
    record: batchrecords.JobRecord, counts: Counts | None
) -> dict[str, Any]:
    """Returns a job; `counts` are needed while it has not ended."""
    counted = counts or Counts(record.completed, record.failed)
    has_results = record.results is not None
    ended = int(record.ended_wall_s) or None
    return {
        "id": record.job,
        "object": "batch",
        "endpoint": record.path,
        "errors": None,
        "input_file_id": record.input_file,
        "completion_window": record.window,
        "status": record.state,
        "output_file_id": (
            results.output_file(record.job)
            if has_results and record.completed
            else None
        ),
        "error_file_id": (
            results.error_file(record.job)
            if has_results and record.failed
            else None
        ),
        "created_at": int(record.created_wall_s),
        "in_progress_at": int(record.created_wall_s),
        "expires_at": int(record.deadline_wall_s),
        "finalizing_at": ended,
        "completed_at": ended if record.state == "completed" else None,
        "failed_at": None,
        "expired_at": None,
        "cancelling_at": int(record.cancelling_wall_s) or None,
        "cancelled_at": ended if record.state == "cancelled" else None,
        "request_counts": {
            "total": record.items,
            "completed": counted.completed,
            "failed": counted.failed,
        },
        "metadata": dict(record.metadata) or None,
    }


def page(
    records: Sequence[batchrecords.JobRecord], query: str
) -> dict[str, Any]:
    """Returns one page of jobs, the newest first.

    Args:
        records: All of them.
        query: May have `limit` and `after`, the last job seen.
    """
    asked = urllib.parse.parse_qs(query)
    limit = _limit(asked.get("limit", [""])[0])
    newest = sorted(records, key=lambda one: (-one.created_wall_s, one.job))
    after = asked.get("after", [""])[0]
    names = [record.job for record in newest]
    begin = names.index(after) + 1 if after in names else 0
    shown = newest[begin : begin + limit]
    return {
        "object": "list",
        "data": [
            {**describe(record, None), "customer": record.customer}
            for record in shown
        ],
        "first_id": shown[0].job if shown else None,
        "last_id": shown[-1].job if shown else None,
        "has_more": begin + limit < len(newest),
    }


def _limit(text: str) -> int:
    if not text.isdigit() or not int(text):
        return _DEFAULT_LIMIT
    return min(int(text), _MAX_LIMIT)
