"""Formats batch jobs as OpenAI-style JSON for client libraries."""

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
    """The numbers of items that have succeeded and failed so far."""

    completed: int
    failed: int


def count(entries: Iterable[services.Entry]) -> Counts:
    """Returns the item counts of all chunks that are done."""
    chunk_results = [
        record.result
        for record in _load_chunks(entries)
        if record.result is not None
    ]
    return Counts(
        sum(done.completed for done in chunk_results),
        sum(done.failed for done in chunk_results),
    )


def holders(entries: Iterable[services.Entry]) -> tuple[str, ...]:
    """Returns the VMs that run chunks, sorted by name."""
    vms = {
        record.vm
        for record in _load_chunks(entries)
        if record.state == "running"
    }
    return tuple(sorted(vms))


def _load_chunks(
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
    """Returns a job in the JSON shape of the batch API.

    Args:
        record: The job's record.
        counts: The item counts so far; None takes them from `record`, where
            they are 0 until the job has ended.
    """
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
        records: All jobs to list.
        query: The URL query. It may have `limit`, the page size, and `after`,
            the ID of the last job of the previous page.
    """
    parameters = urllib.parse.parse_qs(query)
    page_size = _page_size(parameters.get("limit", [""])[0])
    newest = sorted(
        records, key=lambda listed: (-listed.created_wall_s, listed.job)
    )
    after = parameters.get("after", [""])[0]
    ids = [record.job for record in newest]
    begin = ids.index(after) + 1 if after in ids else 0
    shown = newest[begin : begin + page_size]
    return {
        "object": "list",
        "data": [
            {**describe(record, None), "customer": record.customer}
            for record in shown
        ],
        "first_id": shown[0].job if shown else None,
        "last_id": shown[-1].job if shown else None,
        "has_more": begin + page_size < len(newest),
    }


def _page_size(text: str) -> int:
    if not text.isdigit() or not int(text):
        return _DEFAULT_LIMIT
    return min(int(text), _MAX_LIMIT)
