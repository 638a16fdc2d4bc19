"""Hashes that identify a request however often it is sent."""

import hashlib

# The length of a hash in hexadecimal digits.
_MAX_ID_CHARS = 64


def fingerprint(customer: str, path: str, body: bytes) -> str:
    """Returns a hash that stays the same when the request is sent again."""
    digest = hashlib.sha256()
    for part in (customer.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def short_id(caller_id: str) -> str:
    """Returns a caller's id, or a hash of it if it is long.

    What is kept of each request must be small, and callers choose their ids:
    one may fill a request's head.
    """
    if len(caller_id) <= _MAX_ID_CHARS:
        return caller_id
    return hashlib.sha256(caller_id.encode()).hexdigest()
