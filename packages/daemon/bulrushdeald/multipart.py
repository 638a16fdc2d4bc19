"""Parses `multipart/form-data` uploads as a stream."""

from collections.abc import Iterator
import email.message
import re
from typing import NamedTuple

from bulrushdeal import httpd

_READ_BYTES = 16 * 1024
_MAX_HEADERS_BYTES = 8 * 1024
_MAX_PARTS = 16


class MultipartError(Exception):
    """The upload is not a valid form; the message goes to the caller."""


class Part(NamedTuple):
    """One field of a form.

    Attributes:
        name: The field's name.
        filename: The file's name as the caller gave it, or empty.
        body: Yields the content. It is only valid until the next part is
            requested, which skips the rest.
    """

    name: str
    filename: str
    body: Iterator[bytes]


class Reader:
    """Parses one form."""

    def __init__(self, body: httpd.BodyReader, content_type: str) -> None:
        self._body = body
        # The first delimiter has no CRLF before it. Adding one lets the same
        # search find all delimiters.
        self._buffer = b"\r\n"
        self._delimiter = b"\r\n--" + _parse_boundary(content_type)
        self._has_ended = False

    def parts(self) -> Iterator[Part]:
        """Yields the parts in order.

        Raises:
            MultipartError: The form is cut off, malformed or has too many
                parts.
        """
        for _ in self._read_until_delimiter():
            pass
        for _ in range(_MAX_PARTS):
            if self._is_final_delimiter():
                return
            name, filename = _parse_disposition(self._read_headers())
            body = self._read_until_delimiter()
            yield Part(name, filename, body)
            for _ in body:
                pass
        raise MultipartError("The form has too many parts.")

    def _read_more(self) -> bool:
        try:
            data = self._body.read(_READ_BYTES)
        except (OSError, ValueError) as error:
            raise MultipartError(f"The form broke off: {error}") from error
        self._buffer += data
        return bool(data)

    def _read_until_delimiter(self) -> Iterator[bytes]:
        while True:
            end = self._buffer.find(self._delimiter)
            if end >= 0:
                data = self._buffer[:end]
                self._buffer = self._buffer[end + len(self._delimiter) :]
                if data:
                    yield data
                return
            # The end of the buffer may be the beginning of a delimiter.
            safe = len(self._buffer) - len(self._delimiter)
            if safe > 0:
                data = self._buffer[:safe]
                self._buffer = self._buffer[safe:]
                yield data
            if not self._read_more():
                raise MultipartError("The form is cut off.")

    def _is_final_delimiter(self) -> bool:
        while len(self._buffer) < 2:  # noqa: PLR2004 - "--" or CRLF.
            if not self._read_more():
                raise MultipartError("The form is cut off.")
        return self._buffer.startswith(b"--")

    def _read_headers(self) -> bytes:
        while (end := self._buffer.find(b"\r\n\r\n")) < 0:
            if len(self._buffer) > _MAX_HEADERS_BYTES or not self._read_more():
                raise MultipartError(
                    "The headers of a part are too long or cut off."
                )
        headers = self._buffer[:end]
        self._buffer = self._buffer[end + 4 :]
        return headers


def _parse_boundary(content_type: str) -> bytes:
    message = email.message.Message()
    message["Content-Type"] = content_type
    boundary = message.get_param("boundary")
    is_form = message.get_content_type() == "multipart/form-data"
    if not is_form or not isinstance(boundary, str) or not boundary:
        raise MultipartError("The body is not multipart/form-data.")
    return boundary.encode()


def _parse_disposition(headers: bytes) -> tuple[str, str]:
    text = headers.decode("utf-8", "replace")
    match = re.search(r"(?im)^content-disposition:(.*)$", text)
    if match is None:
        raise MultipartError("A part has no Content-Disposition.")
    message = email.message.Message()
    message["Content-Disposition"] = match.group(1).strip()
    name = message.get_param("name", "", "Content-Disposition")
    filename = message.get_param("filename", "", "Content-Disposition")
    return str(name), str(filename)
