"""How a customer page's limits are split between failure domains.

The platform's key-value service holds one record for each page. A record
changes only by compare-and-swap, and a part has one owner at a time.
"""

from collections.abc import Iterable
import functools
import hashlib
import json
from typing import NamedTuple

from bulrushdeal import codec

PAGES = 64
PREFIX = "limits/"
# At most this much of a part's capacity may be in the holders' hands, so
# that a new owner knows a bound on what it cannot see.
OUTSTANDING_FRACTION = 0.5
# But a whole request's token may always be out, where capacity allows.
OUTSTANDING_MIN = 1.0


class ShareError(Exception):
    """A record in the platform's service cannot be read."""


class Part(NamedTuple):
    """One failure domain's part of every row on a page.

    Attributes:
        failure_domain: Whose VMs it is for.
        fraction: Of each row's rate and burst; over a page at most 1.
        vm: The owner; empty if nobody owns it.
        incarnation: Which run of the owner's process.
        epoch: Grows with each owner; credit of an older epoch is void.
        takeovers: Owners lost whose credit may still be in somebody's
            hands, because not every listed VM has said that it dropped it.
    """

    failure_domain: str
    fraction: float
    vm: str = ""
    incarnation: str = ""
    epoch: int = 0
    takeovers: int = 0


class Page(NamedTuple):
    """The record of one page.

    Attributes:
        parts: One for each failure domain, by name.
        nonce: Differs with each write, so that a writer whose answer was
            lost can tell its own value from another's.
    """

    parts: tuple[Part, ...]
    nonce: str = ""

    def part(self, failure_domain: str) -> Part | None:
        """Returns a failure domain's part."""
        for part in self.parts:
            if part.failure_domain == failure_domain:
                return part
        return None

    def with_part(self, changed: Part, nonce: str) -> "Page":
        """Returns the page with one part changed or added."""
        others = [
            part
            for part in self.parts
            if part.failure_domain != changed.failure_domain
        ]
        parts = sorted([*others, changed], key=lambda p: p.failure_domain)
        return Page(tuple(parts), nonce)


@functools.lru_cache(maxsize=1 << 15)
def _hash(customer: str) -> int:
    digest = hashlib.sha256(customer.encode()).digest()
    return int.from_bytes(digest[:2], "big")


def page_of(customer: str) -> int:
    """Returns the page that a customer's row stands on."""
    return _hash(customer) % PAGES


def key_of(page: int) -> str:
    """Returns the key of a page's record."""
    return f"{PREFIX}{page:02d}"


def page_of_key(key: str) -> int:
    """Returns the page that a record's key names."""
    return int(key.removeprefix(PREFIX))


def to_bytes(page: Page) -> bytes:
    """Returns a record as JSON."""
    return json.dumps(codec.to_object(page)).encode()


def from_bytes(value: bytes) -> Page:
    """Reads a record.

    Raises:
        ShareError: The value is not a record.
    """
    try:
        return codec.from_plain(Page, json.loads(value))
    except (ValueError, codec.CodecError) as error:
        raise ShareError(f"not a record of limits: {error}") from error


def rank(name: str, vms: Iterable[str]) -> list[str]:
    """Orders VMs for a part by rendezvous hashing."""

    def weight(vm: str) -> bytes:
        return hashlib.sha256(f"{name}|{vm}".encode()).digest()

    return sorted(vms, key=weight)


def lendable(capacity: float) -> float:
    """Returns how much of a part's capacity may be in holders' hands."""
    most = max(capacity * OUTSTANDING_FRACTION, OUTSTANDING_MIN)
    return min(capacity, most)


def capacity(burst: float, takeovers: int) -> float:
    """Returns what an owner may count on beside credit that it cannot see.

    Each owner before it that was lost may have left `lendable` of its own
    capacity with holders.
    """
    left = burst
    for _ in range(takeovers):
        left -= lendable(left)
    return left
