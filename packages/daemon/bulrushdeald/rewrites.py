"""What operators' edits make of a page, free of where it is stored."""

import re

import result

from bulrushdeal import codec
from bulrushdeal import records
from bulrushdeald import edits
from bulrushdeald import pages
from bulrushdeald import table

_ADDRESS = re.compile(r"^[0-9a-zA-Z_.\-]+:[0-9]{1,5}$")
_SEGMENT = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,99}$")

# Long after every VM has a row; an owner that sees it later begins empty.
_OPENING_KEPT_S = 600.0

_Rewritten = result.Result[pages.Page, edits.EditError]


def put_customer(
    row: records.Customer,
    expected_revision: int | None,
    opening: records.Opening | None = None,
) -> edits.Rewrite:
    """Adds a row or replaces it whole.

    Args:
        row: The checked row.
        expected_revision: The page's revision seen, 0 if the row is to be
            new; `None` to replace whatever is stored.
        opening: What the row begins with if it is new.
    """
    openings = () if opening is None else (opening,)

    def rewrite(stored: edits.Stored) -> _Rewritten:
        rows = _customers(stored.page)
        held = rows.get(row.customer)
        is_expected = expected_revision in (None, stored.revision) or (
            expected_revision == 0 and held is None
        )
        if not is_expected and held != row:
            problem = edits.EditError(
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


def set_cell(change: edits.CellEdit) -> edits.Rewrite:
    """Changes one cell if it still is as the operator saw it.

    A change to another cell of the page does not matter.
    """

    def rewrite(stored: edits.Stored) -> _Rewritten:
        rows = _customers(stored.page)
        row = rows.get(change.customer)
        if row is None:
            return result.Err(_missing(change.customer))
        current: float = getattr(row, change.column)
        # Another operator may have changed the cell since this one saw it;
        # without the comparison the later of the two would undo the first
        # and neither would be told.
        if change.expected_value is not None:
            is_expected = current == change.expected_value
            message = f"{change.customer!r} was changed by somebody else."
        else:
            is_expected = stored.revision == change.expected_revision
            message = (
                f"{change.customer!r}, or a row beside it, was changed since"
                f" revision {change.expected_revision}."
            )
        if not is_expected:
            problem = edits.EditError(
                "conflict",
                message,
                change.column,
                change.expected_value,
                current,
                change.value,
            )
            return result.Err(problem)
        rows[change.customer] = table.with_cell(
            row, change.column, change.value
        )
        return result.Ok(_with_customers(stored.page, rows))

    return rewrite


def delete_customer(customer: str) -> edits.Rewrite:
    """Removes a row and withdraws its keys."""

    def rewrite(stored: edits.Stored) -> _Rewritten:
        rows = _customers(stored.page)
        if rows.pop(customer, None) is None:
            return result.Err(_missing(customer))
        keys = tuple(
            key._replace(withdrawn=True) if key.customer == customer else key
            for key in stored.page.keys
        )
        openings = tuple(
            opening
            for opening in stored.page.openings
            if opening.customer != customer
        )
        page = stored.page._replace(keys=keys, openings=openings)
        return result.Ok(_with_customers(page, rows))

    return rewrite


def put_rows(
    changed: tuple[records.Customer, ...],
    expected_revision: int | None,
    openings: tuple[records.Opening, ...] = (),
) -> edits.Rewrite:
    """Adds or replaces rows of one page, all or none.

    Args:
        changed: The checked rows.
        expected_revision: The revision that the operator's table stood at;
            `None` to replace whatever is stored.
        openings: What rows that are new begin with.
    """

    def rewrite(stored: edits.Stored) -> _Rewritten:
        held = _customers(stored.page)
        rows = {**held, **{row.customer: row for row in changed}}
        if rows == held:
            return result.Ok(stored.page)
        is_later = (
            expected_revision is not None
            and stored.revision > expected_revision
        )
        if is_later:
            message = f"It was changed since revision {expected_revision}."
            return result.Err(
                edits.EditError(
                    "conflict", message, "", expected_revision, stored.revision
                )
            )
        page = _with_openings(stored.page, openings)
        return result.Ok(_with_customers(page, rows))

    return rewrite


def add_key(row: records.Key) -> edits.Rewrite:
    """Adds a key to its customer."""

    def rewrite(stored: edits.Stored) -> _Rewritten:
        if row.customer not in _customers(stored.page):
            return result.Err(_missing(row.customer))
        keys = {key.key_hash: key for key in stored.page.keys}
        keys.setdefault(row.key_hash, row)
        return result.Ok(_with_keys(stored.page, keys))

    return rewrite


def withdraw_key(key_hash: str) -> edits.Rewrite:
    """Withdraws a key; its row stays, so that nothing revives it."""

    def rewrite(stored: edits.Stored) -> _Rewritten:
        keys = {key.key_hash: key for key in stored.page.keys}
        held = keys.get(key_hash)
        if held is None:
            return result.Err(_missing(key_hash))
        keys[key_hash] = held._replace(withdrawn=True)
        return result.Ok(_with_keys(stored.page, keys))

    return rewrite


def put_upstream(row: records.Upstream) -> edits.Rewrite:
    """Adds an upstream or replaces it whole."""

    def rewrite(stored: edits.Stored) -> _Rewritten:
        problem = _check_upstream(row)
        if problem is not None:
            return result.Err(problem)
        rows = {held.upstream: held for held in stored.page.upstreams}
        rows[row.upstream] = row
        return result.Ok(_with_upstreams(stored.page, rows))

    return rewrite


def delete_upstream(upstream: str) -> edits.Rewrite:
    """Removes an upstream."""

    def rewrite(stored: edits.Stored) -> _Rewritten:
        rows = {held.upstream: held for held in stored.page.upstreams}
        if rows.pop(upstream, None) is None:
            return result.Err(_missing(upstream))
        return result.Ok(_with_upstreams(stored.page, rows))

    return rewrite


def _check_upstream(row: records.Upstream) -> edits.EditError | None:
    if not _SEGMENT.match(row.upstream):
        message = "A name has letters, digits, dots, dashes and underscores."
        return edits.EditError("invalid", message, "upstream")
    if not _ADDRESS.match(row.address):
        return edits.EditError("invalid", "An address is HOST:PORT.", "address")
    if row.slots < 1:
        return edits.EditError("invalid", "It has at least one slot.", "slots")
    if not row.failure_domain:
        message = "A failure domain is required."
        return edits.EditError("invalid", message, "failure_domain")
    if row.kind == "engine" and not row.models:
        return edits.EditError("invalid", "An engine serves a model.", "models")
    if row.kind == "plain" and not _SEGMENT.match(row.service):
        message = "A plain service is called by a path segment."
        return edits.EditError("invalid", message, "service")
    return None


def _customers(page: pages.Page) -> dict[str, records.Customer]:
    return {row.customer: row for row in page.customers}


def _with_customers(
    page: pages.Page, rows: dict[str, records.Customer]
) -> pages.Page:
    return page._replace(customers=tuple(rows[name] for name in sorted(rows)))


def _with_openings(
    page: pages.Page, made: tuple[records.Opening, ...]
) -> pages.Page:
    """Adds the openings of names that are new; drops those long known.

    The failure: a customer is deleted and made again, and has its burst a
    second time. A deleted customer's keys stay, so a name that ever had a
    key is not new; one that had none has spent nothing.
    """
    if not made:
        return page
    newest_s = max(opening.made_s for opening in made)
    known = {row.customer for row in page.customers}
    known |= {key.customer for key in page.keys}
    openings = {
        opening.customer: opening
        for opening in page.openings
        if opening.made_s > newest_s - _OPENING_KEPT_S
    }
    for opening in made:
        if opening.customer not in known:
            openings[opening.customer] = opening
    rows = tuple(openings[name] for name in sorted(openings))
    return page._replace(openings=rows)


def _with_keys(page: pages.Page, rows: dict[str, records.Key]) -> pages.Page:
    return page._replace(keys=tuple(rows[name] for name in sorted(rows)))


def _with_upstreams(
    page: pages.Page, rows: dict[str, records.Upstream]
) -> pages.Page:
    return page._replace(upstreams=tuple(rows[name] for name in sorted(rows)))


def _missing(name: str) -> edits.EditError:
    return edits.EditError("missing", f"There is no {name!r}.")
