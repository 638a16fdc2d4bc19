"""Reads listings of the store that come in pages."""

import result

from gateway import dialect


def read_all(
    store: dialect.Store,
    prefix: str,
    timeout_s: float,
    *,
    after: str = "",
    stale: bool = False,
) -> result.Result[dialect.Page, dialect.StoreError]:
    """Returns all entries under a prefix, page after page.

    Pages are not a snapshot: what is written meanwhile may be in it or not.

    Args:
        store: Where to read.
        prefix: Of the keys.
        timeout_s: For each page.
        after: Only keys that follow this one.
        stale: Whether the listing may be seconds old, for a tenth of the
            price.

    Returns:
        The entries by key, as of the revision of the last page.
    """
    entries: list[dialect.Entry] = []
    while True:
        listed = store.list(prefix, after, timeout_s, stale=stale)
        if listed.is_err():
            return result.Err(listed.unwrap_err())
        page = listed.unwrap()
        entries.extend(page.entries)
        if not page.has_more or not page.entries:
            return result.Ok(dialect.Page(tuple(entries), False, page.revision))
        after = page.entries[-1].key
