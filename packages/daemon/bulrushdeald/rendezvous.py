"""Rendezvous hashing: all VMs pick the same member without a message."""

from collections.abc import Iterable
import hashlib


def score(key: str, member: str) -> int:
    """Returns the rank of a member for a key; the highest one is picked."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def pick(key: str, members: Iterable[str]) -> str:
    """Returns the member for a key, or an empty string if there is none.

    When a member comes or goes, only the keys that it has are moved.
    """
    return max(members, key=lambda member: score(key, member), default="")


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members for a key, the first choice first."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)
