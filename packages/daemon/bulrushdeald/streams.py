"""Relays server-sent events, only whole ones, and tells a cut from an end."""

from collections.abc import Iterable, Iterator
import json

import result

from bulrushdeald import refusals
from bulrushdeald import services

_DONE = b"data: [DONE]"
_MAX_EVENT_BYTES = 4_000_000
# How an event without choices looks, whether or not spaces are written.
_NO_CHOICES = b'"choices":[]'
_NO_CHOICES_SPACED = b'"choices": []'
_ENDS = (b"\n\n", b"\r\n\r\n")


def whole_events(
    chunks: Iterable[result.Result[bytes, services.UpstreamError]],
) -> Iterator[result.Result[bytes, services.UpstreamError]]:
    """Yields runs of whole events, and an error if the stream was cut.

    A part of an event is held back: if the upstream breaks off inside one,
    the client would read it together with our error as one broken event.
    A stream that ends without its last event is cut, however the connection
    ended: the end of a body without a length looks the same either way.
    """
    held = b""
    last = b""
    for item in chunks:
        if isinstance(item, result.Err):
            yield item
            return
        data = held + item.ok_value if held else item.ok_value
        if data.endswith(_ENDS):
            held = b""
            last = data
            yield result.Ok(data)
            continue
        cut = _last_end(data)
        held = data[cut:]
        if cut > 0:
            last = data[:cut]
            yield result.Ok(last)
        if len(held) > _MAX_EVENT_BYTES:
            yield result.Err(_cut("An event is too long."))
            return
    if not is_last(last) or held.strip():
        yield result.Err(_cut("The stream has no end."))


def is_last(data: bytes) -> bool:
    """Tells whether whole events end with the last one of a stream."""
    return data.rstrip().endswith(_DONE)


def without_usage(data: bytes) -> bytes:
    """Returns whole events without those that tell only the usage.

    The caller did not ask for them, and some clients expect a choice in
    each event.
    """
    # For each token, so no generator.
    if _NO_CHOICES not in data and _NO_CHOICES_SPACED not in data:
        return data
    kept = [event for event in _split(data) if not _tells_usage(event)]
    return b"".join(kept)


def _split(data: bytes) -> list[bytes]:
    end = b"\r\n\r\n" if b"\r\n\r\n" in data else b"\n\n"
    return [event + end for event in data.split(end) if event]


def _tells_usage(event: bytes) -> bool:
    try:
        value = json.loads(event.strip().removeprefix(b"data:"))
    except ValueError:
        return False
    if not isinstance(value, dict) or value.get("choices") != []:
        return False
    return isinstance(value.get("usage"), dict)


def _last_end(data: bytes) -> int:
    return max(
        data.rfind(end) + len(end) if end in data else 0 for end in _ENDS
    )


def error_event(refusal: services.Refusal) -> bytes:
    """Returns the event that ends a stream which could not be made whole."""
    data = json.dumps(refusals.body(refusal)).encode()
    return b"data: " + data + b"\n\n"


def _cut(message: str) -> services.UpstreamError:
    return services.UpstreamError("crashed", "ran", message)
