"""The records that hold the usage sums, and the operations on them.

A source is one run of one VM. It hands over its sums in batches numbered from
1. A head is the durable record that takes the batches of some sources. It
holds the number of the last batch taken from each source, so that a batch
handed over twice is counted once. From time to time a head's rows are closed:
they get a closing number and are moved into pages. A page holds, for each
head, the number of the last closing moved into it. Every step is one
compare-and-swap of one record.
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
# These must never change: a source must hand all its batches to one head, and a
# row must always be moved to the same page.
SHARDS_PER_DOMAIN = 4
PAGES_PER_BUCKET = 8
# In trials a packed row took 16 bytes; a value may have at most one megabyte.
MAX_BATCH_ROWS = 2_000
CLOSE_ROWS = 15_000
MAX_ROWS_WHILE_CLOSING = 10_000

RowKind = Literal["customer", "upstream"]
Verdict = Literal["taken", "repeated", "later", "refused"]


class Row(NamedTuple):
    """The sums of one group of events.

    An event counts once in a row of its customer and, if it reached an
    upstream, once in a row of that upstream. Rows for each pair of customer
    and upstream would be more than the platform can hold.

    Attributes:
        kind: Whether `name` is a customer or an upstream.
        name: The customer or upstream.
        bucket_s: Start of the events' time bucket, in seconds since the epoch.
        work_class: Online or batch.
        model: The model or plain service.
        outcome: `ok`, or the code of a refusal.
        requests: Number of requests.
        prompt_tokens: Sum of their prompt tokens.
        completion_tokens: Sum of their completion tokens.
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
        """The group of events that the row counts."""
        return Group(*self[:6])


class Group(NamedTuple):
    """The fields of a `Row` that identify its group of events."""

    kind: RowKind
    name: str
    bucket_s: int
    work_class: records.WorkClass
    model: str
    outcome: str


class Batch(NamedTuple):
    """Sums of one source, sent again unchanged until they are durable.

    Attributes:
        head: Name of the head that takes the source's batches.
        source: VM, incarnation and number of the run.
        sequence: Number of the batch; 1 for the source's first.
        until_wall_s: Time, in seconds since the epoch, up to which all events
            are in this batch or earlier ones.
        rows: The sums.
        uncounted: Total number of events that the source could not count.
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
        sequence: Number of the source's last batch known to be durable; 0 if
            there is none.
        is_refused: Whether the head has no record of the source's previous
            batch, so that this one can never be taken.
    """

    sequence: int
    is_refused: bool = False


class SourceState(NamedTuple):
    """The last batch taken from a source; for the fields see `Batch`."""

    sequence: int
    until_wall_s: float
    uncounted: int = 0


class Head(NamedTuple):
    """The record that takes batches.

    Attributes:
        number: Number of the current closing, or else of the next one.
        opened_wall_s: When `rows` received its first row, in seconds since the
            epoch.
        rows: Sums taken since the last closing began.
        closing: Rows that are being moved into pages; none are added.
        sources: The last batch taken from each source.
    """

    number: int = 1
    opened_wall_s: float = 0.0
    rows: tuple[Row, ...] = ()
    closing: tuple[Row, ...] = ()
    sources: Mapping[str, SourceState] = {}


class Page(NamedTuple):
    """The record of one time bucket and some customers and upstreams.

    Attributes:
        numbers: For each head, the number of the last closing moved here.
        rows: The sums.
    """

    numbers: Mapping[str, int] = {}
    rows: tuple[Row, ...] = ()


class TakeResult(NamedTuple):
    """A head after batches were offered to it, and the verdict on each."""

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
    return f"{hour_prefix(row.bucket_s)}{_utc(row.bucket_s):%M%S}/{page}"


def hour_prefix(bucket_s: float) -> str:
    """Returns the prefix of all pages of a bucket's hour."""
    return f"{PAGES_PREFIX}{_utc(bucket_s):%Y-%m-%dT%H}/"


def _utc(wall_s: float) -> datetime.datetime:
    return datetime.datetime.fromtimestamp(wall_s, datetime.UTC)


def _hash(text: str) -> int:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def merge(*parts: Iterable[Row]) -> tuple[Row, ...]:
    """Returns the sums of all rows, with one row for each group."""
    sums: dict[Group, Row] = {}
    for part in parts:
        for row in part:
            existing = sums.get(row.group)
            sums[row.group] = row if existing is None else _add(existing, row)
    return tuple(sums.values())


def _add(one: Row, other: Row) -> Row:
    return one._replace(
        requests=one.requests + other.requests,
        prompt_tokens=one.prompt_tokens + other.prompt_tokens,
        completion_tokens=one.completion_tokens + other.completion_tokens,
    )


def take_batches(
    head: Head, batches: Iterable[Batch], now_wall_s: float
) -> TakeResult:
    """Adds batches of different sources to a head, each at most once."""
    states = dict(head.sources)
    parts = [head.rows]
    verdicts: list[Verdict] = []
    row_count = len(head.rows)
    limit = MAX_ROWS_WHILE_CLOSING if head.closing else CLOSE_ROWS
    for batch in batches:
        verdict = _verdict_on(states, batch)
        if verdict == "taken" and row_count >= limit:
            verdict = "later"
        verdicts.append(verdict)
        if verdict != "taken":
            continue
        states[batch.source] = SourceState(
            batch.sequence, batch.until_wall_s, batch.uncounted
        )
        parts.append(batch.rows)
        row_count += len(batch.rows)
    if "taken" not in verdicts:
        return TakeResult(head, tuple(verdicts))
    taken = head._replace(
        rows=merge(*parts),
        opened_wall_s=head.opened_wall_s if head.rows else now_wall_s,
        sources=states,
    )
    return TakeResult(taken, tuple(verdicts))


def _verdict_on(states: Mapping[str, SourceState], batch: Batch) -> Verdict:
    state = states.get(batch.source)
    last = state.sequence if state else 0
    if batch.sequence <= last:
        return "repeated"
    return "taken" if batch.sequence == last + 1 else "refused"


def begin_closing(head: Head, forgotten_sources: Iterable[str]) -> Head:
    """Closes a head's rows and removes sources that will not return.

    A source may be removed by mistake, and a batch that it sends again must
    not count twice. The head refuses such a batch unless it is the source's
    first, so a source of which only the first batch was taken stays.
    """
    states = {
        source: state
        for source, state in head.sources.items()
        if source not in set(forgotten_sources) or state.sequence == 1
    }
    return head._replace(rows=(), closing=head.rows, sources=states)


def end_closing(head: Head) -> Head:
    """Returns the head after all its closed rows were moved into pages."""
    return head._replace(number=head.number + 1, closing=())


def add_closed_rows(
    page: Page, head_name: str, number: int, rows: tuple[Row, ...]
) -> Page:
    """Adds a head's closed rows to a page, unless it already has them."""
    if page.numbers.get(head_name, 0) >= number:
        return page
    return Page({**page.numbers, head_name: number}, merge(page.rows, rows))


def pack_head(head: Head) -> bytes:
    """Returns a head as a value of the key-value service."""
    return _encode(
        [
            head.number,
            head.opened_wall_s,
            [list(row) for row in head.rows],
            [list(row) for row in head.closing],
            {name: list(state) for name, state in head.sources.items()},
        ]
    )


def unpack_head(data: bytes) -> Head:
    """Returns the head in a value of the key-value service.

    Raises:
        codec.CodecError: The value is not a head.
    """
    try:
        number, opened_s, rows, closing, states = _decode(data)
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
    """Returns a page as a value of the key-value service."""
    return _encode([dict(page.numbers), [list(row) for row in page.rows]])


def unpack_page(data: bytes) -> Page:
    """Returns the page in a value of the key-value service.

    Raises:
        codec.CodecError: The value is not a page.
    """
    try:
        numbers, rows = _decode(data)
        return Page(dict(numbers), tuple(Row._make(row) for row in rows))
    except (TypeError, ValueError) as error:
        raise codec.CodecError(f"not a usage page: {error}") from error


def _encode(value: Any) -> bytes:
    return zlib.compress(cbor2.dumps(value), 1)


def _decode(data: bytes) -> Any:
    try:
        return cbor2.loads(zlib.decompress(data))
    except (zlib.error, cbor2.CBORDecodeError) as error:
        raise codec.CodecError(f"not a usage record: {error}") from error
