"""Operators' edits as functions from a stored page to a new page."""

import re

import result

from bulrushdeal import codec
from bulrushdeal import records
from bulrushdeald import customertable
from bulrushdeald import pageeditor
from bulrushdeald import pages

_ADDRESS = re.compile(r"^[0-9a-zA-Z_.\-]+:[0-9]{1,5}$")
_SEGMENT = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,99}$")

# Initial tokens are dropped after this time, long after every VM has received
# the new row. An owner that sees the row even later starts it without tokens.
_INITIAL_TOKENS_RETENTION_S = 600.0

_RewriteResult = result.Result[pages.Page, pageeditor.EditError]


def put_customer(
    row: records.Customer,
    expected_revision: int | None,
    initial_tokens: records.InitialTokens | None = None,
) -> pageeditor.Rewrite:
    """Returns an edit that adds or replaces a whole row.

    Args:
        row: The checked row.
        expected_revision: The page's revision that the operator saw, 0 if
            the row must not exist yet; `None` to replace whatever is stored.
        initial_tokens: The tokens that the customer starts with if it is new.
    """
    openings = () if initial_tokens is None else (initial_tokens,)

    def rewrite(stored: pageeditor.Stored) -> _RewriteResult:
        rows = _customers(stored.page)
        held = rows.get(row.customer)
        is_expected = expected_revision in (None, stored.revision) or (
            expected_revision == 0 and held is None
        )
        if not is_expected and held != row:
            problem = pageeditor.EditError(
                "conflict",
                f"{row.customer!r} was changed by somebody else.",
                current=codec.to_object(held),
                yours=codec.to_object(row),
            )
            return result.Err(problem)
        rows[row.customer] = row
        page = _with_openings(stored.page, openings)
        return result.Ok(_with_customers(page, rows))

    return rewrite


def set_cell(change: pageeditor.CellEdit) -> pageeditor.Rewrite:
    """Returns an edit of one cell that fails if the cell has changed.

    With an expected value, changes of other cells do not matter; with only
    an expected revision, any change of the page is a conflict.
    """

    def rewrite(stored: pageeditor.Stored) -> _RewriteResult:
        rows = _customers(stored.page)
        row = rows.get(change.customer)
        if row is None:
            return result.Err(_missing_error(change.customer))
        current: float = getattr(row, change.column)
        # Another operator may have changed the cell since this one read it.
        # Without the comparison the second edit would silently undo the first.
        if change.expected_value is not None:
            is_expected = current == change.expected_value
            message = f"{change.customer!r} was changed by somebody else."
        else:
            is_expected = stored.revision == change.expected_revision
            message = (
                f"{change.customer!r}, or another row of its page, was changed"
                f" since revision {change.expected_revision}."
            )
        if not is_expected:
            problem = pageeditor.EditError(
                "conflict",
                message,
                change.column,
                change.expected_value,
                current,
                change.value,
            )
            return result.Err(problem)
        rows[change.customer] = customertable.with_cell(
            row, change.column, change.value
        )
        return result.Ok(_with_customers(stored.page, rows))

    return rewrite


def delete_customer(customer: str) -> pageeditor.Rewrite:
    """Returns an edit that removes a customer and withdraws its keys."""

    def rewrite(stored: pageeditor.Stored) -> _RewriteResult:
        rows = _customers(stored.page)
        if rows.pop(customer, None) is None:
            return result.Err(_missing_error(customer))
        keys = tuple(
            key._replace(withdrawn=True) if key.customer == customer else key
            for key in stored.page.keys
        )
        openings = tuple(
            initial_tokens
            for initial_tokens in stored.page.openings
            if initial_tokens.customer != customer
        )
        page = stored.page._replace(keys=keys, openings=openings)
        return result.Ok(_with_customers(page, rows))

    return rewrite


def put_rows(
    changed: tuple[records.Customer, ...],
    expected_revision: int | None,
    openings: tuple[records.InitialTokens, ...] = (),
) -> pageeditor.Rewrite:
    """Returns an edit that adds or replaces rows of a page, all or none.

    Args:
        changed: The checked rows.
        expected_revision: The revision of the table that the operator
            exported; a page changed after it is a conflict. `None` to
            replace whatever is stored.
        openings: The tokens that new customers start with.
    """

    def rewrite(stored: pageeditor.Stored) -> _RewriteResult:
        held = _customers(stored.page)
        rows = {**held, **{row.customer: row for row in changed}}
        if rows == held:
            return result.Ok(stored.page)
        is_later = (
            expected_revision is not None
            and stored.revision > expected_revision
        )
        if is_later:
            message = (
                f"The page was changed since revision {expected_revision}."
            )
            return result.Err(
                pageeditor.EditError(
                    "conflict", message, "", expected_revision, stored.revision
                )
            )
        page = _with_openings(stored.page, openings)
        return result.Ok(_with_customers(page, rows))

    return rewrite


def add_key(row: records.Key) -> pageeditor.Rewrite:
    """Returns an edit that adds a key to its customer."""

    def rewrite(stored: pageeditor.Stored) -> _RewriteResult:
        if row.customer not in _customers(stored.page):
            return result.Err(_missing_error(row.customer))
        keys = {key.key_hash: key for key in stored.page.keys}
        keys.setdefault(row.key_hash, row)
        return result.Ok(_with_keys(stored.page, keys))

    return rewrite


def withdraw_key(key_hash: str) -> pageeditor.Rewrite:
    """Returns an edit that withdraws a key.

    The key's row stays, so that the key cannot become valid again.
    """

    def rewrite(stored: pageeditor.Stored) -> _RewriteResult:
        keys = {key.key_hash: key for key in stored.page.keys}
        held = keys.get(key_hash)
        if held is None:
            return result.Err(_missing_error(key_hash))
        keys[key_hash] = held._replace(withdrawn=True)
        return result.Ok(_with_keys(stored.page, keys))

    return rewrite


def put_upstream(row: records.Upstream) -> pageeditor.Rewrite:
    """Returns an edit that adds or replaces a whole upstream."""

    def rewrite(stored: pageeditor.Stored) -> _RewriteResult:
        problem = _check_upstream(row)
        if problem is not None:
            return result.Err(problem)
        rows = {held.upstream: held for held in stored.page.upstreams}
        rows[row.upstream] = row
        return result.Ok(_with_upstreams(stored.page, rows))

    return rewrite


def delete_upstream(upstream: str) -> pageeditor.Rewrite:
    """Returns an edit that removes an upstream."""

    def rewrite(stored: pageeditor.Stored) -> _RewriteResult:
        rows = {held.upstream: held for held in stored.page.upstreams}
        if rows.pop(upstream, None) is None:
            return result.Err(_missing_error(upstream))
        return result.Ok(_with_upstreams(stored.page, rows))

    return rewrite


def _check_upstream(row: records.Upstream) -> pageeditor.EditError | None:
    if not _SEGMENT.match(row.upstream):
        message = "A name has letters, digits, dots, dashes and underscores."
        return pageeditor.EditError("invalid", message, "upstream")
    if not _ADDRESS.match(row.address):
        return pageeditor.EditError(
            "invalid", "An address is HOST:PORT.", "address"
        )
    if row.slots < 1:
        return pageeditor.EditError(
            "invalid", "An upstream has at least one slot.", "slots"
        )
    if not row.failure_domain:
        message = "A failure domain is required."
        return pageeditor.EditError("invalid", message, "failure_domain")
    if row.kind == "engine" and not row.models:
        return pageeditor.EditError(
            "invalid", "An engine serves a model.", "models"
        )
    if row.kind == "plain" and not _SEGMENT.match(row.service):
        message = "The name of a plain service is a URL path segment."
        return pageeditor.EditError("invalid", message, "service")
    return None


def _customers(page: pages.Page) -> dict[str, records.Customer]:
    return {row.customer: row for row in page.customers}


def _with_customers(
    page: pages.Page, rows: dict[str, records.Customer]
) -> pages.Page:
    return page._replace(customers=tuple(rows[name] for name in sorted(rows)))


def _with_openings(
    page: pages.Page, added: tuple[records.InitialTokens, ...]
) -> pages.Page:
    """Adds the initial tokens of new customers and drops expired ones.

    A customer that is deleted and added again must not receive its burst a
    second time. A deleted customer's keys stay in the page, so a name that
    ever had a key is not new; one that never had a key has spent nothing.
    """
    if not added:
        return page
    newest_created_s = max(initial_tokens.created_s for initial_tokens in added)
    known = {row.customer for row in page.customers}
    known |= {key.customer for key in page.keys}
    openings = {
        initial_tokens.customer: initial_tokens
        for initial_tokens in page.openings
        if initial_tokens.created_s
        > newest_created_s - _INITIAL_TOKENS_RETENTION_S
    }
    for initial_tokens in added:
        if initial_tokens.customer not in known:
            openings[initial_tokens.customer] = initial_tokens
    rows = tuple(openings[name] for name in sorted(openings))
    return page._replace(openings=rows)


def _with_keys(page: pages.Page, rows: dict[str, records.Key]) -> pages.Page:
    return page._replace(keys=tuple(rows[name] for name in sorted(rows)))


def _with_upstreams(
    page: pages.Page, rows: dict[str, records.Upstream]
) -> pages.Page:
    return page._replace(upstreams=tuple(rows[name] for name in sorted(rows)))


def _missing_error(name: str) -> pageeditor.EditError:
    return pageeditor.EditError("missing", f"There is no {name!r}.")
