"""The frames between entry VMs: `[id, kind, fields]` in CBOR.

A request has a positive id and its answer the same id negated. The first
request of a connection is a `Hello`, answered by the other side's `Hello`.
"""

from typing import Any, NamedTuple

import cbor2

from bulrushdeal import codec

_FRAME_FIELDS = 3
# A page of customers may be as large as a value of the platform's.
MAX_FRAME_BYTES = 4_000_000


class Hello(NamedTuple):
    """Who is at one end of a connection."""

    vm: str
    incarnation: str
    failure_domain: str


class Refused(NamedTuple):
    """The answer to a request that has no handler, or whose handler failed."""

    message: str


class Frame(NamedTuple):
    """One message on the wire.

    Attributes:
        request_id: Positive for a request, negative for its answer.
        kind: The message type's name.
        fields: The message's fields, not checked yet.
    """

    request_id: int
    kind: str
    fields: Any


class Kinds:
    """Knows the message types that may arrive, by name."""

    def __init__(self) -> None:
        self._kinds: dict[str, type[Any]] = {}

    def add(self, *kinds: type[Any]) -> None:
        """Lets messages of these `NamedTuple` types be unpacked."""
        for kind in kinds:
            known = self._kinds.setdefault(kind.__name__, kind)
            if known is not kind:
                raise ValueError(f"two messages are named {kind.__name__}")

    def message(self, frame: Frame) -> Any:
        """Returns the message in a frame.

        Raises:
            codec.CodecError: An unknown type or a wrong field.
        """
        kind = self._kinds.get(frame.kind)
        if kind is None:
            raise codec.CodecError(f"unknown message {frame.kind!r}")
        return codec.from_plain(kind, frame.fields)


def pack(request_id: int, message: Any) -> bytes:
    """Returns the frame of a message."""
    return cbor2.dumps(
        [request_id, type(message).__name__, codec.to_array(message)]
    )


def unpack(data: bytes | str) -> Frame:
    """Returns the frame in `data`.

    Raises:
        codec.CodecError: Not a frame.
    """
    if isinstance(data, str):
        raise codec.CodecError("a text frame")
    try:
        frame = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise codec.CodecError(f"not a frame: {error}") from error
    if not isinstance(frame, list) or len(frame) != _FRAME_FIELDS:
        raise codec.CodecError("not a frame")
    request_id, kind, fields = frame
    if type(request_id) is not int or type(kind) is not str:
        raise codec.CodecError("not a frame")
    return Frame(request_id, kind, fields)
