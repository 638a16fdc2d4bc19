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
    is_stale: bool
    timeout_s: float


class Change(NamedTuple):
    """See `dialect.Store.commit`."""

    expected: tuple[dialect.Expected, ...]
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
    """The store's failure, as it was told to the VM that called it."""

    error: dialect.StoreError


class GotKey(NamedTuple):
    """What the key holds."""

    entry: dialect.Entry | None


class Changed(NamedTuple):
    """The revision, or why the change was not made."""

    revision: int
    conflict: dialect.Conflict | None


class Renewed(NamedTuple):
    """How long the lease runs from now on."""

    ttl_s: float


REQUESTS = (GetKey, ListKeys, Change, GrantLease, RenewLease)
ANSWERS = (Failed, GotKey, dialect.Page, Changed, dialect.Lease, Renewed)
Request = GetKey | ListKeys | Change | GrantLease | RenewLease
Answer = Failed | GotKey | dialect.Page | Changed | dialect.Lease | Renewed


def make(store: dialect.Store, request: Request) -> Answer:
    """Makes a call once."""
    if isinstance(request, GetKey):
        got = store.get(request.key, request.timeout_s)
        return GotKey(got.unwrap()) if got.is_ok() else _failed(got)
    if isinstance(request, ListKeys):
        listed = store.list(
            request.prefix,
            request.after,
            request.timeout_s,
            stale=request.is_stale,
        )
        return listed.unwrap() if listed.is_ok() else _failed(listed)
    if isinstance(request, Change):
        made = store.commit(
            request.expected,
            request.writes,
            request.deletes,
            request.timeout_s,
        )
        if made.is_err():
            return _failed(made)
        done = made.unwrap()
        if isinstance(done, dialect.Conflict):
            return Changed(0, done)
        return Changed(done, None)
    if isinstance(request, GrantLease):
        granted = store.grant(request.ttl_s, request.timeout_s)
        return granted.unwrap() if granted.is_ok() else _failed(granted)
    renewed = store.renew(request.lease, request.timeout_s)
    return Renewed(renewed.unwrap()) if renewed.is_ok() else _failed(renewed)


def _failed(made: result.Result[Any, dialect.StoreError]) -> Failed:
    return Failed(made.unwrap_err())
