"""The envelope around each value in the platform's key-value service.

It holds the nonces of the write that stored the value and of some earlier
writes, newest first. If the answer to a write is lost, the writer can tell
from the envelope whether the write took effect, even after later writes.
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
        nonces: Newest first; empty for a value stored without an envelope.
        value: The value that callers of `KeyValue` read and write.
    """

    nonces: tuple[bytes, ...]
    value: bytes


def new_nonce() -> bytes:
    """Returns a random nonce, unique to one write."""
    return secrets.token_bytes(NONCE_BYTES)


def seal(envelope: Envelope) -> bytes:
    """Encodes an envelope, dropping the oldest nonces above the limit."""
    nonces = envelope.nonces[:MAX_NONCES]
    head = _MAGIC + bytes([len(nonces)])
    return head + b"".join(nonces) + envelope.value


def unseal(data: bytes) -> Envelope:
    """Decodes stored bytes; bytes without an envelope are the value."""
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
