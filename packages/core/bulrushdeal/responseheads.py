"""Reads the heads of HTTP/1 responses, and refuses bytes that are none.

Readers that go on after a line that is no field disagree on what follows it.
`http.client` takes such a line for the end of the head, so that the length and
the coding of the body are lost if they are stated after it, and it ends lines
at a lone carriage return, so that a value can add a field. A sender that writes
one such line is in trouble, so nothing of its response is used.

The rules are those of RFC 9110, sections 5.1 and 5.5, and of RFC 9112, sections
2 to 6. Bytes above 0x7f in values, and lines that end with a line feed alone,
are taken: no two readers split these differently.
"""

import http
import http.client
import re
from typing import NamedTuple, Protocol

_MAX_LINE_BYTES = 65536
_MAX_FIELDS = 100
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: (" + _TEXT + rb"))?\r?\n"
)
# The name is a token, directly before the colon. A line that continues the one
# before it begins with a blank, and is refused, too.
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(" + _TEXT + rb")\r?\n"
)
_EMPTY_LINES = (b"\r\n", b"\n")
_WHITESPACE = b" \t"
_LENGTH = re.compile(r"[0-9]{1,18}")
# `http.client` writes versions in this way.
_HTTP_1_0 = 10
_HTTP_1_1 = 11


class HeadError(http.client.HTTPException):
    """The bytes are no head of a response, or do not say where it ends."""


class LineReader(Protocol):
    """What heads are read from."""

    def readline(self, limit: int, /) -> bytes:
        """Returns a line with its end, cut after `limit` bytes."""


class Head(NamedTuple):
    """The head of a response.

    Attributes:
        version: 10 for HTTP/1.0, 11 for later versions.
        status: The status, from 100 to 599.
        reason: The reason phrase, which may be empty.
        fields: The fields, in the order in which they came.
        is_chunked: Whether the body comes in chunks.
        length_bytes: The stated length of the body; `None` if it is chunked,
            or ends with the connection.
    """

    version: int
    status: int
    reason: str
    fields: http.client.HTTPMessage
    is_chunked: bool
    length_bytes: int | None


def read(reader: LineReader) -> Head:
    """Reads the head of a final response, after those of interim ones.

    The head of a protocol switch (101) counts as a final one.

    Raises:
        HeadError: The bytes are no head of a response.
    """
    while True:
        head = _read_one(reader)
        is_interim = head.status < http.HTTPStatus.OK
        if not is_interim or head.status == http.HTTPStatus.SWITCHING_PROTOCOLS:
            return head


def skip_trailers(reader: LineReader) -> None:
    """Reads the fields after a chunked body, up to the empty line.

    The body is whole without them, so the end of the connection may take the
    place of the next line.

    Raises:
        HeadError: One of the lines is no field, or there are too many.
    """
    for _ in range(_MAX_FIELDS + 1):
        line = reader.readline(_MAX_LINE_BYTES)
        if not line or line in _EMPTY_LINES:
            return
        _match(_FIELD_LINE, line)
    raise HeadError("There are too many trailers.")


def _read_one(reader: LineReader) -> Head:
    line = reader.readline(_MAX_LINE_BYTES)
    minor, status, reason = _match(_STATUS_LINE, line).groups(b"")
    fields = _read_fields(reader)
    is_chunked = _is_chunked(fields)
    return Head(
        _HTTP_1_0 if minor == b"0" else _HTTP_1_1,
        int(status),
        reason.strip(_WHITESPACE).decode("latin-1"),
        fields,
        is_chunked,
        None if is_chunked else _length_bytes(fields),
    )


def _read_fields(reader: LineReader) -> http.client.HTTPMessage:
    fields = http.client.HTTPMessage()
    for _ in range(_MAX_FIELDS + 1):
        line = reader.readline(_MAX_LINE_BYTES)
        if line in _EMPTY_LINES:
            return fields
        name, value = _match(_FIELD_LINE, line).groups()
        # This adds a field also if there is one of that name.
        fields[name.decode()] = value.strip(_WHITESPACE).decode("latin-1")
    raise HeadError("There are too many fields.")


def _match(pattern: re.Pattern[bytes], line: bytes) -> re.Match[bytes]:
    matched = pattern.fullmatch(line)
    if matched is None:
        raise HeadError(f"Unexpected line {line[:80]!r}.")
    return matched


def _is_chunked(fields: http.client.HTTPMessage) -> bool:
    codings = fields.get_all("Transfer-Encoding")
    if codings is None:
        return False
    if [coding.lower() for coding in codings] != ["chunked"]:
        raise HeadError(f"Unexpected coding {codings!r}.")
    return True


def _length_bytes(fields: http.client.HTTPMessage) -> int | None:
    """Returns the length that fields state, once or several times alike."""
    stated = fields.get_all("Content-Length")
    if stated is None:
        return None
    texts = {text.strip() for value in stated for text in value.split(",")}
    text = texts.pop()
    if texts or not _LENGTH.fullmatch(text):
        raise HeadError(f"Unexpected length {stated!r}.")
    return int(text)
