"""Reads a `multipart/form-data` upload piece by piece."""

from collections.abc import Iterator
import email.message
import re
from typing import NamedTuple

from bulrushdeal import httpd

_READ_BYTES = 64 * 1024
_MAX_HEAD_BYTES = 8 * 1024
_MAX_PARTS = 16


class MultipartError(Exception):
    """The upload is not what its content type says; told to the caller."""


class Part(NamedTuple):
    """One field of a form; its body has to be read before the next part.

    Attributes:
        name: The field's name.
        filename: The file's name as the caller gave it, or empty.
        body: Yields the content.
    """

    name: str
    filename: str
    body: Iterator[bytes]


class Reader:
    """Yields the parts of one form."""

    def __init__(self, body: httpd.BodyReader, content_type: str) -> None:
        self._body = body
        # The first delimiter has no line end before it; add one, so that
        # all look the same.
        self._held = b"\r\n"
        self._delimiter = b"\r\n--" + _boundary(content_type)
        self._has_ended = False

    def parts(self) -> Iterator[Part]:
        """Yields each part.

        Raises:
            MultipartError: The form is cut off or malformed.
        """
        for _ in self._until_delimiter():
            pass
        for _ in range(_MAX_PARTS):
            if self._is_last():
                return
            name, filename = _disposition(self._head())
            body = self._until_delimiter()
            yield Part(name, filename, body)
            for _ in body:
                pass
        raise MultipartError("The form has too many parts.")

    def _more(self) -> bool:
        data = self._body.read(_READ_BYTES)
        self._held += data
        return bool(data)

    def _until_delimiter(self) -> Iterator[bytes]:
        while True:
            end = self._held.find(self._delimiter)
            if end >= 0:
                data = self._held[:end]
                self._held = self._held[end + len(self._delimiter) :]
                if data:
                    yield data
                return
            # The held end may be the beginning of a delimiter.
            safe = len(self._held) - len(self._delimiter)
            if safe > 0:
                data = self._held[:safe]
                self._held = self._held[safe:]
                yield data
            if not self._more():
                raise MultipartError("The form is cut off.")

    def _is_last(self) -> bool:
        while len(self._held) < 2:  # noqa: PLR2004 - two bytes tell.
            if not self._more():
                raise MultipartError("The form is cut off.")
        return self._held.startswith(b"--")

    def _head(self) -> bytes:
        while (end := self._held.find(b"\r\n\r\n")) < 0:
            if len(self._held) > _MAX_HEAD_BYTES or not self._more():
                raise MultipartError("A part has no readable head.")
        head = self._held[:end]
        self._held = self._held[end + 4 :]
        return head


def _boundary(content_type: str) -> bytes:
    message = email.message.Message()
    message["Content-Type"] = content_type
    boundary = message.get_param("boundary")
    is_form = message.get_content_type() == "multipart/form-data"
    if not is_form or not isinstance(boundary, str) or not boundary:
        raise MultipartError("The body is not multipart/form-data.")
    return boundary.encode()


def _disposition(head: bytes) -> tuple[str, str]:
    text = head.decode("utf-8", "replace")
    match = re.search(r"(?im)^content-disposition:(.*)$", text)
    if match is None:
        raise MultipartError("A part has no Content-Disposition.")
    message = email.message.Message()
    message["Content-Disposition"] = match.group(1).strip()
    name = message.get_param("name", "", "Content-Disposition")
    filename = message.get_param("filename", "", "Content-Disposition")
    return str(name), str(filename)
