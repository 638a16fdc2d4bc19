"""Reads request bodies with checks of their size, length and content."""

from collections.abc import Iterator
import math

import result

from bulrushdeal import exchanges
from bulrushdeal import httpd
from bulrushdeald import refusals
from bulrushdeald import services

# Each thread that reads a body has up to so much that is not accounted for.
_CHUNK_BYTES = 16 * 1024
_NO_ROOM_RETRY_S = 0.5


class BodyError(Exception):
    """A caller's body ended early, was malformed, or contained the key."""


def read_whole(
    request: httpd.Request,
    max_bytes: int,
    memory_factor: int = 1,
    due_s: float = math.inf,
) -> result.Result[bytes, services.Refusal]:
    """Returns a body of at most `max_bytes` bytes.

    A larger body is refused by its `Content-Length` before it is read, or
    otherwise as soon as it exceeds the limit. One for which this VM has no
    memory is refused before it is held.

    Args:
        request: The request, whose exchange accounts for the memory.
        max_bytes: The largest body.
        memory_factor: How much memory is needed to serve the request, as a
            multiple of its body.
        due_s: When the body has to be whole, by the monotonic clock.
    """
    if request.length_bytes > max_bytes:
        return result.Err(_too_large(max_bytes))
    exchange = request.exchange or exchanges.detached()
    exchange.due_s = due_s
    # One block that grows: many small ones of bodies that come and go would
    # leave the heap full of holes.
    body = bytearray()
    try:
        for chunk in read_exactly(request):
            if len(body) + len(chunk) > max_bytes:
                return result.Err(_too_large(max_bytes))
            if not exchange.grow(len(chunk) * memory_factor):
                return result.Err(_NO_ROOM)
            body += chunk
    except BodyError as error:
        if isinstance(error.__cause__, TimeoutError):
            return result.Err(_LATE)
        return result.Err(refusal_of(request, str(error), "body"))
    return _as_bytes(body, exchange, memory_factor)


def refusal_of(
    request: httpd.Request, message: str, field: str = ""
) -> services.Refusal:
    """Returns the refusal of a request whose body broke off.

    Args:
        request: The request.
        message: What is wrong with the body, if the caller is the cause.
        field: The field that the message is about.
    """
    refused = refusals.bad_input(message, field)
    if request.exchange is None:
        return refused
    return _ENDED.get(request.exchange.end_reason, refused)


def _as_bytes(
    body: bytearray, exchange: exchanges.Exchange, memory_factor: int
) -> result.Result[bytes, services.Refusal]:
    if memory_factor > 1 or len(body) <= _CHUNK_BYTES:
        return result.Ok(bytes(body))
    held_bytes = exchange.held_bytes
    # For a moment the body is there twice.
    if not exchange.grow(len(body)):
        return result.Err(_NO_ROOM)
    copy = bytes(body)
    body.clear()
    exchange.shrink_to(held_bytes)
    return result.Ok(copy)


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


_NO_ROOM = services.Refusal(
    503,
    "vm_busy",
    "This VM has no memory for the request now.",
    retry_after_s=_NO_ROOM_RETRY_S,
)
_LATE = services.Refusal(
    408, "late_body", "The body of the request did not come in time."
)
# What is answered if the exchange was ended while the body arrived.
_ENDED: dict[exchanges.EndReason, services.Refusal] = {
    "overdue": _LATE,
    "yielded": _NO_ROOM,
}


def _too_large(max_bytes: int) -> services.Refusal:
    return services.Refusal(
        413,
        "body_too_large",
        f"The body is larger than {max_bytes} bytes.",
        field="body",
    )
