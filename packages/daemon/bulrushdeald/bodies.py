"""Reads callers' bodies: bounded, whole, and never with the key inside."""

from collections.abc import Iterator

import result

from bulrushdeal import httpd
from bulrushdeald import refusals
from bulrushdeald import services

_CHUNK_BYTES = 64 * 1024


class BodyError(Exception):
    """A caller's body ended early, was malformed, or held the key."""


def read_whole(
    request: httpd.Request, max_bytes: int
) -> result.Result[bytes, services.Refusal]:
    """Returns a body of at most `max_bytes` bytes.

    A longer one is refused before it is read, by its stated length, or else
    as soon as it is too long.
    """
    if request.length_bytes > max_bytes:
        return result.Err(_too_large(max_bytes))
    parts: list[bytes] = []
    size_bytes = 0
    try:
        for chunk in read_exactly(request):
            size_bytes += len(chunk)
            if size_bytes > max_bytes:
                return result.Err(_too_large(max_bytes))
            parts.append(chunk)
    except BodyError as error:
        return result.Err(refusals.bad_input(str(error), "body"))
    return result.Ok(b"".join(parts))


def read_exactly(request: httpd.Request) -> Iterator[bytes]:
    """Yields a body piece by piece.

    Raises:
        BodyError: The caller left, or sent less than it said. Without this
            an upstream would wait for the rest, or take a part as the whole.
    """
    left_bytes = request.length_bytes
    while left_bytes != 0:
        size_bytes = _CHUNK_BYTES
        if left_bytes > 0:
            size_bytes = min(left_bytes, _CHUNK_BYTES)
        try:
            chunk = request.body.read(size_bytes)
        except (OSError, ValueError) as error:
            raise BodyError(f"The body broke off: {error}") from error
        if not chunk and left_bytes > 0:
            raise BodyError("The body is shorter than its Content-Length.")
        if not chunk:
            return
        if left_bytes > 0:
            left_bytes -= len(chunk)
        yield chunk


def without_key(chunks: Iterator[bytes], key: str) -> Iterator[bytes]:
    """Yields a body as long as the key is not in it.

    Raises:
        BodyError: The next piece would have completed the key.
    """
    secret = key.encode()
    tail = b""
    for chunk in chunks:
        if secret in tail + chunk:
            raise BodyError("The body holds the key.")
        tail = (tail + chunk)[-len(secret) + 1 :] if len(secret) > 1 else b""
        yield chunk


def _too_large(max_bytes: int) -> services.Refusal:
    return services.Refusal(
        413,
        "body_too_large",
        f"The body is larger than {max_bytes} bytes.",
        field="body",
    )
