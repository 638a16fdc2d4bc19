"""The records that split customers' limits between failure domains.

Customers are hashed onto pages, and the platform's key-value service holds
one record for each page. A record changes only by compare-and-swap, and a
part has at most one owner at a time.
"""

from collections.abc import Iterable
import functools
import hashlib
import json
from typing import NamedTuple

from bulrushdeal import codec
from bulrushdeal import jsontext

PAGES = 64
PREFIX = "limits/"
# At most this fraction of a part's capacity may be lent to holders, which
# bounds the credit that a new owner has no record of.
OUTSTANDING_FRACTION = 0.5
# The token of one whole request may always be lent, if the capacity is as
# much.
OUTSTANDING_MIN = 1.0


class ShareError(Exception):
    """A limits record in the key-value service can't be decoded."""


class Part(NamedTuple):
    """One failure domain's part of every row on a page.

    Attributes:
        failure_domain: The failure domain whose VMs the part serves.
        fraction: The part's fraction of each row's rate and burst; the
            fractions of a page add up to at most 1.
        vm: The owner; empty if the part has none.
        incarnation: Identifies the run of the owner's process.
        epoch: Increases with each owner; credit of older epochs is void.
        takeovers: The number of lost owners whose credit may still be held,
            because not every listed VM has confirmed that it dropped it.
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
        parts: One for each failure domain, sorted by its name.
        nonce: Differs with each write, so that a writer that got no answer
            can recognize its own value.
    """

    parts: tuple[Part, ...]
    nonce: str = ""

    def part(self, failure_domain: str) -> Part | None:
        """Returns a failure domain's part; `None` if it has none."""
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
def _customer_hash(customer: str) -> int:
    digest = hashlib.sha256(customer.encode()).digest()
    return int.from_bytes(digest[:2], "big")


def page_of(customer: str) -> int:
    """Returns the number of the page that a customer's row belongs to."""
    return _customer_hash(customer) % PAGES


def key_of(page: int) -> str:
    """Returns the key of a page's record."""
    return f"{PREFIX}{page:02d}"


def page_of_key(key: str) -> int:
    """Returns the page number in a record's key."""
    return int(key.removeprefix(PREFIX))


def to_bytes(page: Page) -> bytes:
    """Returns a record as JSON."""
    return json.dumps(codec.to_object(page)).encode()


def from_bytes(value: bytes) -> Page:
    """Decodes a record.

    Raises:
        ShareError: The value is not a valid record.
    """
    try:
        return codec.from_plain(Page, jsontext.parse(value))
    except (ValueError, codec.CodecError) as error:
        raise ShareError(f"invalid limits record: {error}") from error


def rank(name: str, vms: Iterable[str]) -> list[str]:
    """Orders VMs by rendezvous hashing, as candidates for `name`."""

    def weight(vm: str) -> bytes:
        return hashlib.sha256(f"{name}|{vm}".encode()).digest()

    return sorted(vms, key=weight)


def lendable(capacity: float) -> float:
    """Returns how much of a part's capacity may be lent to holders."""
    most = max(capacity * OUTSTANDING_FRACTION, OUTSTANDING_MIN)
    return min(capacity, most)


def remaining_capacity(burst: float, takeovers: int) -> float:
    """Returns the tokens of a part less credit its owner has no record of.

    Each lost owner may have lent `lendable` of its own capacity to holders.

    Args:
        burst: The part's share of the row's burst.
        takeovers: The number of lost owners; see `Part`.
    """
    left = burst
    for _ in range(takeovers):
        left -= lendable(left)
    return left
