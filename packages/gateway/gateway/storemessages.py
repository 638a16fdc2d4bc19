"""Calls to the platform's store that one VM makes for another."""

from typing import Any, NamedTuple

import result

from gateway import dialect


class GetKey(NamedTuple):
    """See `dialect.Store.get`."""

    key: str
    timeout_s: float


class ListKeys(NamedTuple):
    """See `dialect.Store.list`."""

    prefix: str
    after: str
    allow_stale: bool
    timeout_s: float


class Change(NamedTuple):
    """See `dialect.Store.commit`."""

    expected: tuple[dialect.RevisionCondition, ...]
    writes: tuple[dialect.Write, ...]
    deletes: tuple[str, ...]
    timeout_s: float


class GrantLease(NamedTuple):
    """See `dialect.Store.grant`."""

    ttl_s: float
    timeout_s: float


class RenewLease(NamedTuple):
    """See `dialect.Store.renew`."""

    lease: int
    timeout_s: float


class Failed(NamedTuple):
    """The error of the store call, as the VM that committed it received it."""

    error: dialect.StoreError


class GotKey(NamedTuple):
    """The answer to `GetKey`; `entry` is `None` if the key is absent."""

    entry: dialect.Entry | None


class Changed(NamedTuple):
    """The answer to `Change`.

    Attributes:
        revision: The store's new revision; 0 if the change was not committed.
        conflict: Why the change was not committed; `None` if it was.
    """

    revision: int
    conflict: dialect.Conflict | None


class Renewed(NamedTuple):
    """The answer to `RenewLease`: how long the lease runs from now on."""

    ttl_s: float


REQUESTS = (GetKey, ListKeys, Change, GrantLease, RenewLease)
ANSWERS = (Failed, GotKey, dialect.Page, Changed, dialect.Lease, Renewed)
Request = GetKey | ListKeys | Change | GrantLease | RenewLease
Answer = Failed | GotKey | dialect.Page | Changed | dialect.Lease | Renewed


def execute(store: dialect.Store, request: Request) -> Answer:
    """Makes the call to the store once and returns its answer."""
    if isinstance(request, GetKey):
        got = store.get(request.key, request.timeout_s)
        return GotKey(got.unwrap()) if got.is_ok() else _failed(got)
    if isinstance(request, ListKeys):
        listed = store.list(
            request.prefix,
            request.after,
            request.timeout_s,
            stale=request.allow_stale,
        )
        return listed.unwrap() if listed.is_ok() else _failed(listed)
    if isinstance(request, Change):
        committed = store.commit(
            request.expected,
            request.writes,
            request.deletes,
            request.timeout_s,
        )
        if committed.is_err():
            return _failed(committed)
        outcome = committed.unwrap()
        if isinstance(outcome, dialect.Conflict):
            return Changed(0, outcome)
        return Changed(outcome, None)
    if isinstance(request, GrantLease):
        granted = store.grant(request.ttl_s, request.timeout_s)
        return granted.unwrap() if granted.is_ok() else _failed(granted)
    renewed = store.renew(request.lease, request.timeout_s)
    return Renewed(renewed.unwrap()) if renewed.is_ok() else _failed(renewed)


def _failed(call: result.Result[Any, dialect.StoreError]) -> Failed:
    return Failed(call.unwrap_err())
