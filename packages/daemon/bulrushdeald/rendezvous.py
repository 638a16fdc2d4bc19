"""Rendezvous hashing: every VM ranks the same names in the same order."""

from collections.abc import Iterable
import hashlib


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Returns `names`, the one that `key` belongs to first.

    A name that goes away moves only the keys that it held.
    """
    return sorted(names, key=lambda name: (_score(key, name), name))


def _score(key: str, name: str) -> bytes:
    text = f"{key}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()
