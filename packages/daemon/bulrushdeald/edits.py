"""Operators' edits of configuration pages, by compare-and-swap."""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeald import config as config_lib
from bulrushdeald import pages
from bulrushdeald import services

# So many writers may come between before an edit is given up on.
_MAX_ATTEMPTS = 20


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
        yours: What the operator wanted, on a conflict.
    """

    kind: Literal["conflict", "invalid", "missing", "unavailable", "unknown"]
    message: str
    column: str = ""
    expected: Any = None
    current: Any = None
    yours: Any = None


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

        Args:
            key: The page.
            rewrite: Makes the new page of the stored one, or refuses; it is
                called again with the newer page if another writer was
                faster.

        Returns:
            The page as the platform holds it now: the edit was accepted.
        """
        read = self._keyvalue.get(key)
        if read.is_err():
            return result.Err(_from_keyvalue(read.unwrap_err()))
        entry = read.unwrap()
        for _ in range(_MAX_ATTEMPTS):
            decoded = _decode(key, entry)
            if decoded.is_err():
                return decoded
            written = self._write(key, decoded.unwrap(), rewrite)
            if written.is_ok():
                return result.Ok(written.unwrap())
            error = written.unwrap_err()
            if isinstance(error, EditError):
                return result.Err(error)
            if error.kind != "conflict":
                return result.Err(_from_keyvalue(error))
            entry = error.current
        return result.Err(
            EditError("unavailable", f"{key} is being changed all the time.")
        )

    def _write(
        self, key: str, stored: Stored, rewrite: Rewrite
    ) -> result.Result[Stored, EditError | services.KeyValueError]:
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
        if put.is_err():
            return result.Err(put.unwrap_err())
        self._config.adopt(key, put.unwrap(), page)
        return result.Ok(Stored(page, put.unwrap()))


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
