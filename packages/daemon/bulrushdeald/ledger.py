"""The records that usage is kept in, and what may be done to them.

A source is one run of one VM. It hands its sums over in batches numbered
from 1. A head is the durable record that takes the batches of some sources:
it holds the last number taken from each, so that a batch handed over twice
is counted once. From time to time a head's rows are closed under a number
of their own and moved into pages, which hold the last number moved from each
head. Every step is one compare-and-swap of one record.
"""

from collections.abc import Iterable, Mapping
import datetime
import hashlib
from typing import Any, Literal, NamedTuple
import zlib

import cbor2

from bulrushdeal import codec
from bulrushdeal import records

HEADS_PREFIX = "usage/heads/"
PAGES_PREFIX = "usage/pages/"
# Fixed for ever: a source must hand all its batches to one head, and a row
# must always be moved to the same page.
SHARDS_PER_DOMAIN = 4
PAGES_PER_BUCKET = 8
# A packed row took 16 bytes in trials, a value may have a megabyte.
MAX_BATCH_ROWS = 2_000
CLOSE_ROWS = 15_000
MAX_ROWS_WHILE_CLOSING = 10_000

RowKind = Literal["customer", "upstream"]
Verdict = Literal["taken", "repeated", "later", "refused"]


class Row(NamedTuple):
    """Counts of one group of events.

    Each event counts once in a row of its customer, and once in a row of its
    upstream if it reached one: the product of both would have more rows than
    the platform can hold.

    Attributes:
        kind: Whether `name` is a customer or an upstream.
        name: The customer or upstream.
        bucket_s: When the events were, rounded down, since the epoch.
        work_class: Online or batch.
        model: The model or plain service.
        outcome: `ok`, or a refusal's code.
        requests: How many.
        prompt_tokens: Their sum.
        completion_tokens: Their sum.
    """

    kind: RowKind
    name: str
    bucket_s: int
    work_class: records.WorkClass
    model: str
    outcome: str
    requests: int
    prompt_tokens: int
    completion_tokens: int

    @property
    def group(self) -> "Group":
        """What the row counts."""
        return Group(*self[:6])


class Group(NamedTuple):
    """The fields of a `Row` that tell it from others."""

    kind: RowKind
    name: str
    bucket_s: int
    work_class: records.WorkClass
    model: str
    outcome: str


class Batch(NamedTuple):
    """Sums of one source; sent again unchanged until it is durable.

    Attributes:
        head: The head that takes the source's batches.
        source: VM and incarnation.
        sequence: 1 for the source's first batch.
        until_wall_s: All events up to here are in this batch or earlier.
        rows: The sums.
        uncounted: Events that the source could not count, all in all.
    """

    head: str
    source: str
    sequence: int
    until_wall_s: float
    rows: tuple[Row, ...]
    uncounted: int = 0


class Taken(NamedTuple):
    """The answer to a `Batch`.

    Attributes:
        sequence: The last of the source's batches known to be durable.
        is_refused: The head knows nothing of the source's earlier batches,
            so this one can never be taken.
    """

    sequence: int
    is_refused: bool = False


class SourceState(NamedTuple):
    """How far the batches of one source were taken; see `Batch`."""

    sequence: int
    until_wall_s: float
    uncounted: int = 0


class Head(NamedTuple):
    """The record that takes batches.

    Attributes:
        number: Of the rows that are closed now or will be closed next.
        opened_wall_s: When `rows` had its first.
        rows: What was taken since the last closing.
        closing: Rows on their way into pages; none are added.
        sources: How far each source's batches were taken.
    """

    number: int = 1
    opened_wall_s: float = 0.0
    rows: tuple[Row, ...] = ()
    closing: tuple[Row, ...] = ()
    sources: Mapping[str, SourceState] = {}


class Page(NamedTuple):
    """The record of one bucket and some names.

    Attributes:
        numbers: The last closing moved here from each head.
        rows: The sums.
    """

    numbers: Mapping[str, int] = {}
    rows: tuple[Row, ...] = ()


class TakeResult(NamedTuple):
    """A head after batches were offered to it, and what became of each."""

    head: Head
    verdicts: tuple[Verdict, ...]


def head_of(failure_domain: str, vm: str) -> str:
    """Returns the name of the head that takes a VM's batches."""
    return f"{failure_domain}/{_hash(vm) % SHARDS_PER_DOMAIN}"


def heads_of(failure_domain: str) -> tuple[str, ...]:
    """Returns the names of all heads of a failure domain."""
    return tuple(
        f"{failure_domain}/{shard}" for shard in range(SHARDS_PER_DOMAIN)
    )


def page_key(row: Row) -> str:
    """Returns the key of the page that a row is moved to."""
    page = _hash(f"{row.kind} {row.name}") % PAGES_PER_BUCKET
    return f"{hour_prefix(row.bucket_s)}{_moment(row.bucket_s):%M%S}/{page}"


def hour_prefix(bucket_s: float) -> str:
    """Returns the prefix of all pages of the hour of a bucket."""
    return f"{PAGES_PREFIX}{_moment(bucket_s):%Y-%m-%dT%H}/"


def _moment(wall_s: float) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(wall_s, datetime.UTC)


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def merge(*parts: Iterable[Row]) -> tuple[Row, ...]:
    """Returns the sums of several rows, one row for each group."""
    sums: dict[Group, Row] = {}
    for part in parts:
        for row in part:
            held = sums.get(row.group)
            sums[row.group] = row if held is None else _add(held, row)
    return tuple(sums.values())


def _add(one: Row, other: Row) -> Row:
    return one._replace(
        requests=one.requests + other.requests,
        prompt_tokens=one.prompt_tokens + other.prompt_tokens,
        completion_tokens=one.completion_tokens + other.completion_tokens,
    )


def take(head: Head, batches: Iterable[Batch], now_wall_s: float) -> TakeResult:
    """Adds batches of different sources to a head, each only once."""
    states = dict(head.sources)
    parts = [head.rows]
    verdicts: list[Verdict] = []
    rows_count = len(head.rows)
    limit = MAX_ROWS_WHILE_CLOSING if head.closing else CLOSE_ROWS
    for batch in batches:
        verdict = _judge(states, batch)
        if verdict == "taken" and rows_count >= limit:
            verdict = "later"
        verdicts.append(verdict)
        if verdict != "taken":
            continue
        states[batch.source] = SourceState(
            batch.sequence, batch.until_wall_s, batch.uncounted
        )
        parts.append(batch.rows)
        rows_count += len(batch.rows)
    if "taken" not in verdicts:
        return TakeResult(head, tuple(verdicts))
    taken = head._replace(
        rows=merge(*parts),
        opened_wall_s=head.opened_wall_s if head.rows else now_wall_s,
        sources=states,
    )
    return TakeResult(taken, tuple(verdicts))


def _judge(states: Mapping[str, SourceState], batch: Batch) -> Verdict:
    state = states.get(batch.source)
    last = state.sequence if state else 0
    if batch.sequence <= last:
        return "repeated"
    return "taken" if batch.sequence == last + 1 else "refused"


def begin_closing(head: Head, forgotten: Iterable[str]) -> Head:
    """Closes a head's rows, and forgets sources that will not come back.

    A source that was forgotten by mistake must not begin anew, or a batch
    sent again would count twice. So one whose only batch is its first,
    which would be taken again, is never forgotten; later ones are refused.
    """
    states = {
        source: state
        for source, state in head.sources.items()
        if source not in set(forgotten) or state.sequence == 1
    }
    return head._replace(rows=(), closing=head.rows, sources=states)


def end_closing(head: Head) -> Head:
    """Returns the head after its closed rows stand in all their pages."""
    return head._replace(number=head.number + 1, closing=())


def move(
    page: Page, head_name: str, number: int, rows: tuple[Row, ...]
) -> Page:
    """Adds a head's closed rows to a page, unless they stand there already."""
    if page.numbers.get(head_name, 0) >= number:
        return page
    return Page({**page.numbers, head_name: number}, merge(page.rows, rows))


def pack_head(head: Head) -> bytes:
    """Returns a head as the platform holds it."""
    return _compress(
        [
            head.number,
            head.opened_wall_s,
            [list(row) for row in head.rows],
            [list(row) for row in head.closing],
            {name: list(state) for name, state in head.sources.items()},
        ]
    )


def unpack_head(data: bytes) -> Head:
    """Returns the head in a value of the platform.

    Raises:
        codec.CodecError: It is not one.
    """
    try:
        number, opened_s, rows, closing, states = _expand(data)
        return Head(
            number,
            opened_s,
            tuple(Row._make(row) for row in rows),
            tuple(Row._make(row) for row in closing),
            {
                source: SourceState._make(state)
                for source, state in states.items()
            },
        )
    except (TypeError, ValueError, AttributeError) as error:
        raise codec.CodecError(f"not a usage head: {error}") from error


def pack_page(page: Page) -> bytes:
    """Returns a page as the platform holds it."""
    return _compress([dict(page.numbers), [list(row) for row in page.rows]])


def unpack_page(data: bytes) -> Page:
    """Returns the page in a value of the platform.

    Raises:
        codec.CodecError: It is not one.
    """
    try:
        numbers, rows = _expand(data)
        return Page(dict(numbers), tuple(Row._make(row) for row in rows))
    except (TypeError, ValueError) as error:
        raise codec.CodecError(f"not a usage page: {error}") from error


def _compress(value: Any) -> bytes:
    return zlib.compress(cbor2.dumps(value), 1)


def _expand(data: bytes) -> Any:
    try:
        return cbor2.loads(zlib.decompress(data))
    except (zlib.error, cbor2.CBORDecodeError) as error:
        raise codec.CodecError(f"not a usage record: {error}") from error
