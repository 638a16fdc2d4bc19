"""Hashes that identify a request however often it is sent."""

import hashlib


def fingerprint(customer: str, path: str, body: bytes) -> str:
    """Returns a hash that stays the same when the request is sent again."""
    digest = hashlib.sha256()
    for part in (customer.encode(), path.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
