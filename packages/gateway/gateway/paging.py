"""Reads paged listings of the store."""

import math
import time

import result

from gateway import dialect


def read_all(
    store: dialect.Store,
    prefix: str,
    timeout_s: float,
    *,
    after: str = "",
    stale: bool = False,
    budget_s: float = math.inf,
) -> result.Result[dialect.Page, dialect.StoreError]:
    """Returns all entries under a prefix, reading one page after another.

    The pages are not a snapshot: an entry that is written during the read may
    be included or not.

    Args:
        store: The store to read from.
        prefix: The prefix of the keys.
        timeout_s: The timeout of the call for each page, in seconds.
        after: Only keys that sort after this one are read.
        stale: Whether the listing may be a few seconds old, which costs a
            tenth of an up-to-date one.
        budget_s: How long all pages may take together, in seconds.

    Returns:
        All entries in order of key, with the revision of the first page, or
        the error of the first call that failed. Changes after that revision
        may be included; a watch from it reports them again and misses none.
    """
    entries: list[dialect.Entry] = []
    revision: int | None = None
    end_s = time.monotonic() + budget_s
    while True:
        left_s = end_s - time.monotonic()
        if left_s <= 0:
            return result.Err(dialect.StoreError("unknown", "slow listing"))
        listed = store.list(prefix, after, min(timeout_s, left_s), stale=stale)
        if listed.is_err():
            return result.Err(listed.unwrap_err())
        page = listed.unwrap()
        entries.extend(page.entries)
        if revision is None:
            revision = page.revision
        if not page.has_more or not page.entries:
            return result.Ok(dialect.Page(tuple(entries), False, revision))
        after = page.entries[-1].key
