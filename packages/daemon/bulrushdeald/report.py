"""Serves usage reports to operators from the durable sums."""

from collections.abc import Iterable
import math
from typing import Any, NamedTuple
from urllib import parse

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeald import ledger
from bulrushdeald import services

_HOUR_S = 3600
_DAY_S = 86_400
_MAX_RANGE_S = 32 * _DAY_S
_ATTEMPTS = 5


class Snapshot(NamedTuple):
    """All durable sums of a time range.

    Attributes:
        rows: The sums. An event counts once in a customer's row and, if it
            reached an upstream, once in an upstream's row.
        sources: The last batch taken from each source.
        is_settled: False if rows were being moved at each attempt, so that
            some may be missing or counted twice.
    """

    rows: tuple[ledger.Row, ...]
    sources: dict[str, ledger.SourceState]
    is_settled: bool


class _TimeRange(NamedTuple):
    from_s: float
    to_s: float


class Report:
    """Reads heads and pages and adds up their rows."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        membership: services.Membership,
        clock: clock_lib.Clock,
    ) -> None:
        self._keyvalue = keyvalue
        self._membership = membership
        self._clock = clock

    def serve(self, request: httpd.Request) -> httpd.Response:
        """Handles `GET /v1/usage`."""
        fields = dict(parse.parse_qsl(request.query))
        try:
            time_range = self._parse_range(fields)
        except ValueError as error:
            return _error_response(400, str(error))
        read = self.read(time_range.from_s, time_range.to_s)
        if read.is_err():
            return _error_response(503, read.unwrap_err().message)
        snapshot = read.unwrap()
        rows = [row for row in snapshot.rows if _matches(row, fields)]
        value = {
            "from_s": time_range.from_s,
            "to_s": time_range.to_s,
            "customers": _sum_groups(rows, "customer"),
            "upstreams": _sum_groups(rows, "upstream"),
            "sources": self._sources(snapshot),
            "notes": self._notes(snapshot, fields),
        }
        return httpd.json_response(200, value)

    def read(
        self, from_s: float, to_s: float
    ) -> result.Result[Snapshot, services.KeyValueError]:
        """Returns the durable sums of the buckets that begin in a time range.

        Rows may move from heads to pages during the read. The heads are
        therefore read both before and after the pages: if no head has moved
        rows in between, each row was seen in exactly one place.
        """
        before = self._heads()
        for attempt in range(_ATTEMPTS):
            if before.is_err():
                return result.Err(before.unwrap_err())
            pages = self._pages(from_s, to_s)
            after = self._heads()
            if pages.is_err():
                return result.Err(pages.unwrap_err())
            if after.is_err():
                return result.Err(after.unwrap_err())
            heads = after.unwrap()
            is_settled = _closing_states(before.unwrap()) == _closing_states(
                heads
            )
            if is_settled or attempt == _ATTEMPTS - 1:
                break
            before = after
        rows = ledger.merge(*_row_groups(heads, pages.unwrap()))
        sources: dict[str, ledger.SourceState] = {}
        for head in heads.values():
            sources.update(head.sources)
        within = tuple(row for row in rows if from_s <= row.bucket_s < to_s)
        return result.Ok(Snapshot(within, sources, is_settled))

    def _parse_range(self, fields: dict[str, str]) -> _TimeRange:
        now_s = self._clock.wall_s()
        to_s = _parse_number(fields, "to_s", math.floor(now_s) + 1)
        from_s = _parse_number(fields, "from_s", to_s - _DAY_S)
        # A bucket counts if it begins in the range, so the default range begins
        # at a full hour.
        if "from_s" not in fields:
            from_s -= from_s % _HOUR_S
        if not 0 <= from_s < to_s <= now_s + _DAY_S:
            raise ValueError("from_s and to_s: not a range of time.")
        if to_s - from_s > _MAX_RANGE_S:
            raise ValueError("from_s and to_s: at most 32 days at once.")
        return _TimeRange(from_s, to_s)

    def _heads(
        self,
    ) -> result.Result[dict[str, ledger.Head], services.KeyValueError]:
        listed = self._keyvalue.list(ledger.HEADS_PREFIX)
        if listed.is_err():
            return result.Err(listed.unwrap_err())
        try:
            heads = {
                entry.key.removeprefix(ledger.HEADS_PREFIX): ledger.unpack_head(
                    entry.value
                )
                for entry in listed.unwrap()
            }
        except codec.CodecError as error:
            return result.Err(services.KeyValueError("unavailable", str(error)))
        return result.Ok(heads)

    def _pages(
        self, from_s: float, to_s: float
    ) -> result.Result[dict[str, ledger.Page], services.KeyValueError]:
        pages: dict[str, ledger.Page] = {}
        hour_s = from_s - from_s % _HOUR_S
        while hour_s < to_s:
            listed = self._keyvalue.list(ledger.hour_prefix(hour_s))
            if listed.is_err():
                return result.Err(listed.unwrap_err())
            try:
                for entry in listed.unwrap():
                    pages[entry.key] = ledger.unpack_page(entry.value)
            except codec.CodecError as error:
                return result.Err(
                    services.KeyValueError("unavailable", str(error))
                )
            hour_s += _HOUR_S
        return result.Ok(pages)

    def _sources(self, snapshot: Snapshot) -> list[dict[str, Any]]:
        now_s = self._clock.wall_s()
        rows = []
        for source, state in sorted(snapshot.sources.items()):
            vm, _, incarnation = source.rpartition("/")
            if not self._membership.is_listed(vm):
                continue
            rows.append(
                {
                    "vm": vm,
                    "incarnation": incarnation,
                    "sums_until_s": round(state.until_wall_s, 1),
                    "age_s": round(now_s - state.until_wall_s, 1),
                    "uncounted": state.uncounted,
                }
            )
        return rows

    def _notes(self, snapshot: Snapshot, fields: dict[str, str]) -> list[str]:
        notes = [
            "Events after a VM's sums_until_s are not included yet; those of a"
            " lost VM never will be."
        ]
        if not snapshot.is_settled:
            notes.append(
                "Sums were being moved: repeat the request for exact ones."
            )
        if "customer" in fields:
            notes.append("Sums of upstreams cover all customers.")
        if any(state.uncounted for state in snapshot.sources.values()):
            notes.append("Some events could not be counted: see uncounted.")
        reporting = {source.rpartition("/")[0] for source in snapshot.sources}
        silent = [
            row.vm
            for row in self._membership.entry_vms()
            if row.vm not in reporting
        ]
        if silent:
            notes.append(f"No sums yet from: {', '.join(silent)}.")
        return notes


def _parse_number(fields: dict[str, str], name: str, default: float) -> float:
    try:
        value = float(fields.get(name, default))
    except ValueError:
        raise ValueError(f"{name}: {fields[name]!r} is no number.") from None
    if not math.isfinite(value):
        raise ValueError(f"{name}: {fields[name]!r} is no number.")
    return value


def _matches(row: ledger.Row, fields: dict[str, str]) -> bool:
    customer = fields.get("customer")
    return customer is None or row.kind != "customer" or row.name == customer


def _closing_states(
    heads: dict[str, ledger.Head],
) -> dict[str, tuple[int, bool]]:
    return {
        name: (head.number, bool(head.closing)) for name, head in heads.items()
    }


def _row_groups(
    heads: dict[str, ledger.Head], pages: dict[str, ledger.Page]
) -> Iterable[Iterable[ledger.Row]]:
    for page in pages.values():
        yield page.rows
    for name, head in heads.items():
        yield head.rows
        # A tuple is built at once; a generator expression would be evaluated
        # after the loop, with the last head.
        yield tuple(
            row
            for row in head.closing
            if not _has_moved(pages.get(ledger.page_key(row)), name, head)
        )


def _has_moved(page: ledger.Page | None, name: str, head: ledger.Head) -> bool:
    return page is not None and page.numbers.get(name, 0) >= head.number


def _sum_groups(
    rows: Iterable[ledger.Row], kind: ledger.RowKind
) -> list[dict[str, Any]]:
    chosen = (row._replace(bucket_s=0) for row in rows if row.kind == kind)
    return [
        {
            kind: row.name,
            "work_class": row.work_class,
            "model": row.model,
            "outcome": row.outcome,
            "requests": row.requests,
            "prompt_tokens": row.prompt_tokens,
            "completion_tokens": row.completion_tokens,
        }
        for row in sorted(ledger.merge(chosen))
    ]


def _error_response(status: int, message: str) -> httpd.Response:
    return httpd.json_response(status, {"error": {"message": message}})
