"""What a value in the platform's key-value service is wrapped in.

The envelope holds the nonces of the write that made the value and of some
writes before it, newest first. A writer whose answer was lost finds in it
whether its write took effect, even when others have written since.
"""

import secrets
from typing import NamedTuple

NONCE_BYTES = 8
MAX_NONCES = 16
_MAGIC = b"BRD1"
_HEAD_BYTES = len(_MAGIC) + 1


class Envelope(NamedTuple):
    """A value with the nonces of the writes that led to it.

    Attributes:
        nonces: Newest first; empty for a value of another writer's make.
        value: What the caller of `KeyValue` reads and writes.
    """

    nonces: tuple[bytes, ...]
    value: bytes


def new_nonce() -> bytes:
    """Returns a nonce that no other write has."""
    return secrets.token_bytes(NONCE_BYTES)


def seal(envelope: Envelope) -> bytes:
    """Returns the bytes to store; the oldest nonces go beyond the limit."""
    nonces = envelope.nonces[:MAX_NONCES]
    head = _MAGIC + bytes([len(nonces)])
    return head + b"".join(nonces) + envelope.value


def unseal(data: bytes) -> Envelope:
    """Returns the envelope in stored bytes; bare bytes are a bare value."""
    if not data.startswith(_MAGIC) or len(data) < _HEAD_BYTES:
        return Envelope((), data)
    count = data[len(_MAGIC)]
    end = _HEAD_BYTES + count * NONCE_BYTES
    if len(data) < end:
        return Envelope((), data)
    nonces = tuple(
        data[start : start + NONCE_BYTES]
        for start in range(_HEAD_BYTES, end, NONCE_BYTES)
    )
    return Envelope(nonces, data[end:])
