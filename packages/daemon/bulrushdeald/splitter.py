"""Validates the lines of a batch input file and groups them into chunks."""

from collections.abc import Iterable, Iterator
import hashlib
import json
from typing import Any, NamedTuple

import result

from bulrushdeal import jsontext
from bulrushdeald import batchrecords
from bulrushdeald import completions
from bulrushdeald import refusals
from bulrushdeald import services

_MAX_LINE_BYTES = batchrecords.MAX_CHUNK_BYTES
_MAX_ID_LENGTH = 512
_MAX_MODELS = 32


class Item(NamedTuple):
    """One line of an input file.

    Attributes:
        custom_id: The caller's ID for the item, unique within the file.
        call: The API call to make.
    """

    custom_id: str
    call: completions.Call


class Chunk(NamedTuple):
    """Consecutive lines of an input file.

    Attributes:
        data: The lines, byte for byte as they were uploaded.
        items: The number of lines that are not blank.
    """

    data: bytes
    items: int


class SplitError(Exception):
    """The input file is invalid.

    Attributes:
        refusal: Names the invalid line, unless the file as a whole is at
            fault.
    """

    def __init__(self, refusal: services.Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class Splitter:
    """Splits one file into chunks.

    The attributes are complete when `chunks` is exhausted.

    Attributes:
        size_bytes: The file's length.
        items: The number of items.
        paths: The API paths that the items call.
        models: The models that the items call.
    """

    def __init__(self) -> None:
        self.size_bytes = 0
        self.items = 0
        self.paths: set[str] = set()
        self.models: set[str] = set()
        self._line_number = 0
        self._digest = hashlib.sha256()
        # Hashes of the IDs: 88,000 long IDs would take far more memory.
        self._id_hashes: set[bytes] = set()

    @property
    def digest(self) -> str:
        """The SHA-256 of the file's content in hexadecimal."""
        return self._digest.hexdigest()

    def chunks(self, body: Iterable[bytes]) -> Iterator[Chunk]:
        """Yields the chunks of a file.

        Args:
            body: The file's content, cut anywhere.

        Raises:
            SplitError: A line is invalid, or the file has no items or too
                many items or models.
        """
        lines: list[bytes] = []
        size = items = 0
        for line in self._lines(body):
            is_item = self._check_line(line)
            is_full = (
                items + is_item > batchrecords.MAX_CHUNK_ITEMS
                or size + len(line) > batchrecords.MAX_CHUNK_BYTES
            )
            if items and is_full:
                yield Chunk(b"".join(lines), items)
                lines, size, items = [], 0, 0
            lines.append(line)
            size += len(line)
            items += is_item
        if not self.items:
            raise SplitError(refusals.bad_input("The file has no items."))
        yield Chunk(b"".join(lines), items)

    def _lines(self, body: Iterable[bytes]) -> Iterator[bytes]:
        rest = b""
        for data in body:
            self.size_bytes += len(data)
            self._digest.update(data)
            *whole, rest = (rest + data).split(b"\n")
            for line in whole:
                yield line + b"\n"
            if len(rest) > _MAX_LINE_BYTES:
                raise self._line_error(
                    "The line is too long.", self._line_number + 1
                )
        if rest:
            yield rest

    def _check_line(self, line: bytes) -> bool:
        self._line_number += 1
        if not line.strip():
            return False
        if len(line) > _MAX_LINE_BYTES:
            raise self._line_error("The line is too long.", self._line_number)
        item = parse(line)
        if isinstance(item, result.Err):
            raise self._line_error(item.err_value.message, self._line_number)
        self._check_unique(item.ok_value.custom_id)
        self.paths.add(item.ok_value.call.path)
        self.models.add(item.ok_value.call.model)
        if len(self.models) > _MAX_MODELS:
            message = f"More than {_MAX_MODELS} models."
            raise self._line_error(message, self._line_number)
        self.items += 1
        if self.items > batchrecords.MAX_JOB_ITEMS:
            limit = batchrecords.MAX_JOB_ITEMS
            raise self._line_error(
                f"More than {limit} items.", self._line_number
            )
        return True

    def _check_unique(self, custom_id: str) -> None:
        id_hash = hashlib.blake2b(
            custom_id.encode("utf-8", "surrogatepass"), digest_size=16
        ).digest()
        if id_hash in self._id_hashes:
            raise self._line_error(
                "The custom_id is used twice.", self._line_number
            )
        self._id_hashes.add(id_hash)

    def _line_error(self, message: str, line: int) -> SplitError:
        refusal = refusals.bad_input(f"Line {line}: {message}", f"line {line}")
        return SplitError(refusal)


def items_of(data: bytes) -> tuple[Item, ...]:
    """Returns the items of a chunk that passed a `Splitter`."""
    lines = data.split(b"\n")
    return tuple(parse(line).unwrap() for line in lines if line.strip())


def parse(line: bytes) -> result.Result[Item, services.Refusal]:
    """Parses and validates one line that is not blank."""
    try:
        value = jsontext.parse(line)
    except ValueError as error:
        return result.Err(refusals.bad_input(f"not JSON: {error}"))
    if not isinstance(value, dict):
        return result.Err(refusals.bad_input("not a JSON object"))
    problem = _find_problem(value)
    if problem:
        return result.Err(refusals.bad_input(problem))
    try:
        body = json.dumps(
            value["body"], separators=(",", ":"), allow_nan=False
        ).encode()
    except ValueError:
        return result.Err(refusals.bad_input("a number is not finite"))
    call = completions.check(value["url"], value["body"], body)
    if isinstance(call, result.Err):
        return call
    if call.ok_value.is_stream:
        return result.Err(refusals.bad_input("A batch item cannot stream."))
    return result.Ok(Item(value["custom_id"], call.ok_value))


def _find_problem(value: dict[str, Any]) -> str:
    custom_id = value.get("custom_id")
    if not isinstance(custom_id, str) or not custom_id:
        return "custom_id is required"
    if len(custom_id) > _MAX_ID_LENGTH:
        return f"custom_id is longer than {_MAX_ID_LENGTH}"
    if value.get("method") != "POST":
        return "method must be POST"
    if value.get("url") not in completions.PATHS:
        return "url must be one of " + ", ".join(completions.PATHS)
    if not isinstance(value.get("body"), dict):
        return "body must be an object"
    return ""
