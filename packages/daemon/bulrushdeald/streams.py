"""Relays complete server-sent events and detects truncated streams."""

from collections.abc import Iterable, Iterator
import json

import result

from bulrushdeal import jsontext
from bulrushdeald import refusals
from bulrushdeald import services

_LAST_EVENT = b"data: [DONE]"
_MAX_EVENT_BYTES = 4_000_000
# An event without choices contains one of these, depending on the spacing.
_NO_CHOICES = b'"choices":[]'
_NO_CHOICES_SPACED = b'"choices": []'
_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


def whole_events(
    chunks: Iterable[result.Result[bytes, services.UpstreamError]],
) -> Iterator[result.Result[bytes, services.UpstreamError]]:
    """Yields runs of complete events, and an error if the stream is truncated.

    An incomplete event is held back until it is complete. If it were relayed
    and the upstream then failed, a client would read it and the error event
    that follows as one malformed event.

    A stream without `data: [DONE]` counts as truncated however its connection
    ended, because the end of a body without a length looks the same after a
    failure.
    """
    partial = b""
    last = b""
    for item in chunks:
        if isinstance(item, result.Err):
            yield item
            return
        data = partial + item.ok_value if partial else item.ok_value
        if data.endswith(_EVENT_TERMINATORS):
            partial = b""
            last = data
            yield result.Ok(data)
            continue
        end = _end_of_last_event(data)
        partial = data[end:]
        if end > 0:
            last = data[:end]
            yield result.Ok(last)
        if len(partial) > _MAX_EVENT_BYTES:
            yield result.Err(_stream_error("An event is too long."))
            return
    if not is_last(last) or partial.strip():
        yield result.Err(_stream_error("The stream ended early."))


def is_last(data: bytes) -> bool:
    """Returns whether a run of events ends with `data: [DONE]`."""
    return data.rstrip().endswith(_LAST_EVENT)


def without_usage(data: bytes) -> bytes:
    """Returns a run of events without those that report only the usage.

    It is for callers that did not request the usage: some clients expect a
    choice in each event.
    """
    # This runs for each token; `any` with a generator would be slower.
    if _NO_CHOICES not in data and _NO_CHOICES_SPACED not in data:
        return data
    kept = [event for event in _split(data) if not _is_usage_only(event)]
    return b"".join(kept)


def _split(data: bytes) -> list[bytes]:
    end = b"\r\n\r\n" if b"\r\n\r\n" in data else b"\n\n"
    return [event + end for event in data.split(end) if event]


def _is_usage_only(event: bytes) -> bool:
    try:
        value = jsontext.parse(event.strip().removeprefix(b"data:"))
    except ValueError:
        return False
    if not isinstance(value, dict) or value.get("choices") != []:
        return False
    return isinstance(value.get("usage"), dict)


def _end_of_last_event(data: bytes) -> int:
    return max(
        data.rfind(end) + len(end) if end in data else 0
        for end in _EVENT_TERMINATORS
    )


def error_event(refusal: services.Refusal) -> bytes:
    """Returns the event that ends a truncated stream with an error."""
    data = json.dumps(refusals.body(refusal)).encode()
    return b"data: " + data + b"\n\n"


def _stream_error(message: str) -> services.UpstreamError:
    return services.UpstreamError("crashed", "ran", message)
