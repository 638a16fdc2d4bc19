"""Operators' edits of configuration pages, by compare-and-swap."""

from collections.abc import Callable
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeald import config as config_lib
from bulrushdeald import pages
from bulrushdeald import services

# An edit is given up after this many writes lost to concurrent writers.
_MAX_ATTEMPTS = 20


class EditError(NamedTuple):
    """An edit that was not accepted, or whose outcome is unknown.

    Attributes:
        kind: `conflict`: somebody else changed the edited item, as `current`
            shows. `invalid`: the edit itself is wrong. `missing`: the edited
            item does not exist. `unavailable`: the platform does not answer,
            the stored page cannot be read or it changes too often; nothing
            was changed. `unknown`: the edit may or may not have been stored.
        message: A sentence for the operator.
        column: The column or field that is wrong, empty if none is.
        expected: On a conflict, the value the operator saw.
        current: On a conflict, the stored value.
        yours: On a conflict, the value the operator submitted.
    """

    kind: Literal["conflict", "invalid", "missing", "unavailable", "unknown"]
    message: str
    column: str = ""
    expected: Any = None
    current: Any = None
    yours: Any = None


class Stored(NamedTuple):
    """A page as stored in the platform; revision 0 if it was never stored."""

    page: pages.Page
    revision: int


class CellEdit(NamedTuple):
    """A new value of one cell, and the state that the operator saw before.

    Attributes:
        customer: The name of the customer whose row is edited.
        column: The column's name.
        value: The new value.
        expected_value: The value that the operator saw; `None` to compare
            the revision instead.
        expected_revision: The page's revision that the operator saw; `None`
            if not given.
    """

    customer: str
    column: str
    value: float
    expected_value: float | None
    expected_revision: int | None


Rewrite = Callable[[Stored], result.Result[pages.Page, EditError]]


class Editor:
    """Writes edits to the platform and puts them in force on this VM."""

    def __init__(
        self, keyvalue: services.KeyValue, config: config_lib.ConfigService
    ) -> None:
        self._keyvalue = keyvalue
        self._config = config

    def edit(
        self, key: str, rewrite: Rewrite
    ) -> result.Result[Stored, EditError]:
        """Rewrites a page, and retries while other writers interfere.

        Args:
            key: The page's key.
            rewrite: Returns the new page for the stored one, or an error. It
                is called again with the newer page if another writer was
                faster.

        Returns:
            The page as stored after the edit, or why it was not accepted.
        """
        read = self._keyvalue.get(key)
        if read.is_err():
            return result.Err(_from_keyvalue_error(read.unwrap_err()))
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
                return result.Err(_from_keyvalue_error(error))
            entry = error.current
        return result.Err(
            EditError(
                "unavailable",
                f"{key} is being changed all the time; try again.",
            )
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
        self._config.put_written_page(key, put.unwrap(), page)
        return result.Ok(Stored(page, put.unwrap()))


def _decode(
    key: str, entry: services.Entry | None
) -> result.Result[Stored, EditError]:
    if entry is None:
        return result.Ok(Stored(pages.Page(), 0))
    try:
        return result.Ok(Stored(pages.decode(entry.value), entry.revision))
    except codec.CodecError as error:
        # Overwriting the page would lose what a newer version may have stored.
        message = f"{key} cannot be read: {error}."
        return result.Err(EditError("unavailable", message))


def _from_keyvalue_error(error: services.KeyValueError) -> EditError:
    if error.kind == "unknown":
        message = "It is unknown whether the change was accepted."
        return EditError("unknown", f"{message} {error.message}")
    message = "The platform does not answer; nothing was changed."
    return EditError("unavailable", f"{message} {error.message}")
