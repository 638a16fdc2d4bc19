"""Operators' edits of configuration pages, by compare-and-swap."""

from collections.abc import Callable
import re
import secrets
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import records
from bulrushdeald import config as config_lib
from bulrushdeald import pages
from bulrushdeald import services
from bulrushdeald import table

# So many writers may come between before an edit is given up on.
_MAX_ATTEMPTS = 20
_KEY_BYTES = 32
_ADDRESS = re.compile(r"^[0-9a-zA-Z_.\-]+:[0-9]{1,5}$")
_SEGMENT = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.\-]{0,99}$")


class EditError(NamedTuple):
    """An edit that was not accepted, or not surely.

    Attributes:
        kind: `conflict`: the thing was changed by somebody else, as
            `current` shows. `invalid`: the edit itself is wrong.
            `missing`: there is no such thing. `unavailable`: the platform
            does not answer; nothing was changed. `unknown`: it may or may
            not have been changed.
        message: For the operator.
        column: The column or field that is wrong.
        expected: What the operator saw, on a conflict.
        current: What is stored, on a conflict.
    """

    kind: Literal["conflict", "invalid", "missing", "unavailable", "unknown"]
    message: str
    column: str = ""
    expected: Any = None
    current: Any = None


class Stored(NamedTuple):
    """A page as the platform holds it; revision 0 if nothing was stored."""

    page: pages.Page
    revision: int


class CellEdit(NamedTuple):
    """One cell's change, and what the operator saw before.

    Attributes:
        customer: The row.
        column: The column.
        value: The new value.
        expected_value: The value seen; `None` if only the revision counts.
        expected_revision: The page's revision seen; `None` if not given.
    """

    customer: str
    column: str
    value: float
    expected_value: float | None
    expected_revision: int | None


class NewKey(NamedTuple):
    """A new key: `secret` is shown once and stored nowhere."""

    secret: str
    row: records.Key


Rewrite = Callable[[Stored], result.Result[pages.Page, EditError]]


class Editor:
    """Applies edits; an accepted one is in force on this VM at once."""

    def __init__(
        self, keyvalue: services.KeyValue, config: config_lib.ConfigService
    ) -> None:
        self._keyvalue = keyvalue
        self._config = config

    def edit(
        self, key: str, rewrite: Rewrite
    ) -> result.Result[Stored, EditError]:
        """Rewrites a page until no other writer came between.

        Accepted means that the platform holds the page as rewritten.
        """
        read = self._keyvalue.get(key)
        if read.is_err():
            return result.Err(_from_keyvalue(read.unwrap_err()))
        entry = read.unwrap()
        for _ in range(_MAX_ATTEMPTS):
            decoded = _decode(key, entry)
            if decoded.is_err():
                return result.Err(decoded.unwrap_err())
            stored = decoded.unwrap()
            rewritten = rewrite(stored)
            if rewritten.is_err():
                return result.Err(rewritten.unwrap_err())
            page = rewritten.unwrap()
            if page == stored.page:
                return result.Ok(stored)
            data = pages.encode(page)
            if len(data) > pages.MAX_PAGE_BYTES:
                return result.Err(EditError("invalid", f"{key} is full."))
            put = self._keyvalue.put(key, data, stored.revision)
            if put.is_ok():
                self._config.adopt(key, put.unwrap(), page)
                return result.Ok(Stored(page, put.unwrap()))
            error = put.unwrap_err()
            if error.kind != "conflict":
                return result.Err(_from_keyvalue(error))
            entry = error.current
        return result.Err(
            EditError("unavailable", f"{key} is being changed all the time.")
        )

    def put_customer(
        self, row: records.Customer, expected_revision: int | None
    ) -> result.Result[Stored, EditError]:
        """Adds a row or replaces it whole.

        Args:
            row: The checked row.
            expected_revision: The page's revision seen, 0 if the row is to
                be new; `None` to replace whatever is stored.
        """

        def rewrite(stored: Stored) -> result.Result[pages.Page, EditError]:
            rows = _customers(stored.page)
            held = rows.get(row.customer)
            is_expected = expected_revision in (None, stored.revision) or (
                expected_revision == 0 and held is None
            )
            if not is_expected and held != row:
                return result.Err(_changed(row.customer, "", row, held))
            rows[row.customer] = row
            return result.Ok(_with_customers(stored.page, rows))

        return self.edit(pages.customer_key(row.customer), rewrite)

    def set_cell(self, change: CellEdit) -> result.Result[Stored, EditError]:
        """Changes one cell if it still is as the operator saw it.

        A change to another cell of the page does not matter.
        """

        def rewrite(stored: Stored) -> result.Result[pages.Page, EditError]:
            rows = _customers(stored.page)
            row = rows.get(change.customer)
            if row is None:
                return result.Err(_missing(change.customer))
            current: float = getattr(row, change.column)
            if change.expected_value is not None:
                is_expected = current == change.expected_value
            else:
                is_expected = stored.revision == change.expected_revision
            if not is_expected:
                return result.Err(
                    _changed(
                        change.customer,
                        change.column,
                        change.expected_value,
                        current,
                    )
                )
            rows[change.customer] = table.with_cell(
                row, change.column, change.value
            )
            return result.Ok(_with_customers(stored.page, rows))

        return self.edit(pages.customer_key(change.customer), rewrite)

    def delete_customer(
        self, customer: str
    ) -> result.Result[Stored, EditError]:
        """Removes a row and withdraws its keys."""

        def rewrite(stored: Stored) -> result.Result[pages.Page, EditError]:
            rows = _customers(stored.page)
            if rows.pop(customer, None) is None:
                return result.Err(_missing(customer))
            keys = tuple(
                key._replace(withdrawn=True)
                if key.customer == customer
                else key
                for key in stored.page.keys
            )
            page = stored.page._replace(keys=keys)
            return result.Ok(_with_customers(page, rows))

        return self.edit(pages.customer_key(customer), rewrite)

    def put_rows(
        self,
        key: str,
        rows: tuple[records.Customer, ...],
        expected_revision: int | None,
    ) -> result.Result[Stored, EditError]:
        """Adds or replaces rows of one page, all or none."""

        def rewrite(stored: Stored) -> result.Result[pages.Page, EditError]:
            held = _customers(stored.page)
            changed = {row.customer: row for row in rows}
            if all(held.get(name) == row for name, row in changed.items()):
                return result.Ok(stored.page)
            if (
                expected_revision is not None
                and stored.revision > expected_revision
            ):
                message = f"{key} was changed since revision"
                return result.Err(
                    EditError(
                        "conflict",
                        f"{message} {expected_revision}; export again.",
                        "",
                        expected_revision,
                        stored.revision,
                    )
                )
            return result.Ok(_with_customers(stored.page, {**held, **changed}))

        return self.edit(key, rewrite)

    def add_key(
        self, customer: str, label: str
    ) -> result.Result[NewKey, EditError]:
        """Makes a key for a customer."""
        secret = "bd-" + secrets.token_urlsafe(_KEY_BYTES)
        row = records.Key(config_lib.hash_key(secret), customer, label)

        def rewrite(stored: Stored) -> result.Result[pages.Page, EditError]:
            if customer not in _customers(stored.page):
                return result.Err(_missing(customer))
            keys = sorted((*stored.page.keys, row))
            return result.Ok(stored.page._replace(keys=tuple(keys)))

        edited = self.edit(pages.customer_key(customer), rewrite)
        if edited.is_err():
            return result.Err(edited.unwrap_err())
        return result.Ok(NewKey(secret, row))

    def withdraw_key(
        self, row: records.Key
    ) -> result.Result[Stored, EditError]:
        """Withdraws a key; its row stays, so that nothing revives it."""

        def rewrite(stored: Stored) -> result.Result[pages.Page, EditError]:
            keys = {key.key_hash: key for key in stored.page.keys}
            held = keys.get(row.key_hash)
            if held is None:
                return result.Err(_missing(row.key_hash))
            keys[row.key_hash] = held._replace(withdrawn=True)
            in_order = tuple(keys[key_hash] for key_hash in sorted(keys))
            return result.Ok(stored.page._replace(keys=in_order))

        return self.edit(pages.customer_key(row.customer), rewrite)

    def put_upstream(
        self, row: records.Upstream
    ) -> result.Result[Stored, EditError]:
        """Adds an upstream or replaces it whole."""
        problem = check_upstream(row)
        if problem is not None:
            return result.Err(problem)

        def rewrite(stored: Stored) -> result.Result[pages.Page, EditError]:
            rows = {held.upstream: held for held in stored.page.upstreams}
            rows[row.upstream] = row
            return result.Ok(_with_upstreams(stored.page, rows))

        return self.edit(pages.UPSTREAMS_KEY, rewrite)

    def delete_upstream(
        self, upstream: str
    ) -> result.Result[Stored, EditError]:
        """Removes an upstream."""

        def rewrite(stored: Stored) -> result.Result[pages.Page, EditError]:
            rows = {held.upstream: held for held in stored.page.upstreams}
            if rows.pop(upstream, None) is None:
                return result.Err(_missing(upstream))
            return result.Ok(_with_upstreams(stored.page, rows))

        return self.edit(pages.UPSTREAMS_KEY, rewrite)


def check_upstream(row: records.Upstream) -> EditError | None:
    """Returns what is wrong with an upstream's row."""
    if not _SEGMENT.match(row.upstream):
        message = "A name has letters, digits, dots, dashes and underscores."
        return EditError("invalid", message, "upstream")
    if not _ADDRESS.match(row.address):
        return EditError("invalid", "An address is HOST:PORT.", "address")
    if row.slots < 1:
        return EditError("invalid", "There is at least one slot.", "slots")
    if not row.failure_domain:
        message = "A failure domain is required."
        return EditError("invalid", message, "failure_domain")
    if row.kind == "engine" and not row.models:
        return EditError("invalid", "An engine serves a model.", "models")
    if row.kind == "plain" and not _SEGMENT.match(row.service):
        message = "A plain service is called by a path segment."
        return EditError("invalid", message, "service")
    return None


def _decode(
    key: str, entry: services.Entry | None
) -> result.Result[Stored, EditError]:
    if entry is None:
        return result.Ok(Stored(pages.Page(), 0))
    try:
        return result.Ok(Stored(pages.decode(entry.value), entry.revision))
    except codec.CodecError as error:
        # To write over it would lose what a newer program may have stored.
        message = f"{key} cannot be read: {error}."
        return result.Err(EditError("unavailable", message))


def _from_keyvalue(error: services.KeyValueError) -> EditError:
    if error.kind == "unknown":
        message = "It is unknown whether the change was accepted."
        return EditError("unknown", f"{message} {error.message}")
    message = "The platform does not answer; nothing was changed."
    return EditError("unavailable", f"{message} {error.message}")


def _customers(page: pages.Page) -> dict[str, records.Customer]:
    return {row.customer: row for row in page.customers}


def _with_customers(
    page: pages.Page, rows: dict[str, records.Customer]
) -> pages.Page:
    in_order = tuple(rows[name] for name in sorted(rows))
    return page._replace(customers=in_order)


def _with_upstreams(
    page: pages.Page, rows: dict[str, records.Upstream]
) -> pages.Page:
    in_order = tuple(rows[name] for name in sorted(rows))
    return page._replace(upstreams=in_order)


def _missing(name: str) -> EditError:
    return EditError("missing", f"There is no {name!r}.")


def _changed(name: str, column: str, expected: Any, current: Any) -> EditError:
    return EditError(
        "conflict",
        f"{name!r} was changed by somebody else.",
        column,
        codec.to_object(expected),
        codec.to_object(current),
    )
