"""Rendezvous hashing: all VMs pick the same member without messages."""

from collections.abc import Iterable
import hashlib


def score(key: str, member: str) -> int:
    """Returns the score of a member for a key; the highest one is picked."""
    digest = hashlib.blake2b(f"{key}\0{member}".encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def pick(key: str, members: Iterable[str]) -> str:
    """Returns the member for a key, or an empty string without members.

    When a member is added or removed, only that member's keys move.
    """
    return max(members, key=lambda member: score(key, member), default="")


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in order of their score for a key, highest first."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)
