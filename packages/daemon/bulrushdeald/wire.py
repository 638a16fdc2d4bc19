"""Frames between entry VMs: `[id, kind, fields]`, encoded as CBOR.

A request has a positive id, and its answer has the same id negated. The
first request on a connection is a `Hello`, and its answer is the other end's
`Hello`.
"""

from typing import Any, NamedTuple

import cbor2

from bulrushdeal import codec

_FRAME_FIELDS = 3
# A page of customers can be as large as a value in the platform's
# key-value service.
MAX_FRAME_BYTES = 4_000_000


class Hello(NamedTuple):
    """Identifies the VM at one end of a connection."""

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
        fields: The message's fields, not validated yet.
    """

    request_id: int
    kind: str
    fields: Any


class MessageTypes:
    """The message types that may arrive, by name."""

    def __init__(self) -> None:
        self._types: dict[str, type[Any]] = {}

    def add(self, *kinds: type[Any]) -> None:
        """Registers `NamedTuple` types whose messages may arrive."""
        for kind in kinds:
            known = self._types.setdefault(kind.__name__, kind)
            if known is not kind:
                raise ValueError(f"two message types are named {kind.__name__}")

    def decode(self, frame: Frame) -> Any:
        """Returns the validated message of a frame.

        Raises:
            codec.CodecError: The type is unknown or a field is invalid.
        """
        kind = self._types.get(frame.kind)
        if kind is None:
            raise codec.CodecError(f"unknown message type {frame.kind!r}")
        return codec.from_plain(kind, frame.fields)


def pack(request_id: int, message: Any) -> bytes:
    """Returns the encoded frame of a message.

    Raises:
        codec.CodecError: The message holds what has no encoding.
    """
    try:
        return cbor2.dumps(
            [request_id, type(message).__name__, codec.to_array(message)]
        )
    except (cbor2.CBOREncodeError, TypeError, ValueError) as error:
        raise codec.CodecError(f"no frame: {error!r}") from error


def unpack(data: bytes | str) -> Frame:
    """Decodes a frame.

    Raises:
        codec.CodecError: `data` is not a valid frame.
    """
    if isinstance(data, str):
        raise codec.CodecError("expected a binary frame, got text")
    try:
        frame = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise codec.CodecError(f"not a frame: {error}") from error
    if not isinstance(frame, list) or len(frame) != _FRAME_FIELDS:
        raise codec.CodecError("not a frame: expected an array of 3 items")
    request_id, kind, fields = frame
    if type(request_id) is not int or type(kind) is not str:
        raise codec.CodecError("not a frame: wrong type of id or kind")
    return Frame(request_id, kind, fields)
