"""Reads request bodies with checks of their size, length and content."""

from collections.abc import Iterator

import result

from bulrushdeal import httpd
from bulrushdeald import refusals
from bulrushdeald import services

_CHUNK_BYTES = 64 * 1024


class BodyError(Exception):
    """A caller's body ended early, was malformed, or contained the key."""


def read_whole(
    request: httpd.Request, max_bytes: int
) -> result.Result[bytes, services.Refusal]:
    """Returns a body of at most `max_bytes` bytes.

    A larger body is refused by its `Content-Length` before it is read, or
    otherwise as soon as it exceeds the limit.
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
    """Yields a body in chunks and checks it against its `Content-Length`.

    Raises:
        BodyError: The caller left, or the body was too short or malformed.
            Otherwise an upstream would wait for the rest, or accept a partial
            body as complete.
    """
    remaining_bytes = request.length_bytes
    while remaining_bytes != 0:
        size_bytes = _CHUNK_BYTES
        if remaining_bytes > 0:
            size_bytes = min(remaining_bytes, _CHUNK_BYTES)
        try:
            chunk = request.body.read(size_bytes)
        except (OSError, ValueError) as error:
            raise BodyError(f"The body broke off: {error}") from error
        if not chunk and remaining_bytes > 0:
            raise BodyError("The body is shorter than its Content-Length.")
        if not chunk:
            return
        if remaining_bytes > 0:
            remaining_bytes -= len(chunk)
        yield chunk


def without_key(chunks: Iterator[bytes], key: str) -> Iterator[bytes]:
    """Yields the chunks of a body and stops before one completes the key.

    Raises:
        BodyError: The body contains the key.
    """
    secret = key.encode()
    tail = b""
    for chunk in chunks:
        if secret in tail + chunk:
            raise BodyError("The body contains the API key.")
        tail = (tail + chunk)[-len(secret) + 1 :] if len(secret) > 1 else b""
        yield chunk


def _too_large(max_bytes: int) -> services.Refusal:
    return services.Refusal(
        413,
        "body_too_large",
        f"The body is larger than {max_bytes} bytes.",
        field="body",
    )
