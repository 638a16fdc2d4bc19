"""The pages that the operators' configuration is kept in, and changes.

A page is one value of the platform's key-value service and changes as a
whole, by compare-and-swap. What goes between VMs is the difference of two
revisions of a page, since an edit touches a row or two of some hundred.
"""

import hashlib
import sys
from typing import NamedTuple

import cbor2

from bulrushdeal import codec
from bulrushdeal import records

PREFIX = "config/"
CUSTOMER_PAGES = 64
UPSTREAMS_KEY = "config/upstreams"
_CUSTOMERS_PREFIX = "config/customers/"
# The platform holds values up to a megabyte; the envelope needs some.
MAX_PAGE_BYTES = 950_000
_DIGEST_BYTES = 8


class Page(NamedTuple):
    """What one key under `config/` holds.

    Attributes:
        customers: Rows by name; empty in the page of upstreams.
        keys: The customers' keys by hash, withdrawn ones too: a withdrawn
            key stays, so that nothing can bring it back.
        upstreams: Rows by name; empty in a customers' page.
        openings: Of customers made lately, by name.
    """

    customers: tuple[records.Customer, ...] = ()
    keys: tuple[records.Key, ...] = ()
    upstreams: tuple[records.Upstream, ...] = ()
    openings: tuple[records.Opening, ...] = ()


class Change(NamedTuple):
    """What turns one revision of a page into a later one.

    Attributes:
        key: The page.
        base_revision: What it applies to; 0 for an empty page.
        revision: What it leads to.
        digest: Of the page that it leads to.
        rows: The rows that are new or other.
        gone_customers: Names of rows that are no longer there.
        gone_keys: Hashes of keys that are no longer there.
        gone_upstreams: Names of rows that are no longer there.
        gone_openings: Names of customers whose opening is no longer there.
    """

    key: str
    base_revision: int
    revision: int
    digest: bytes
    rows: Page
    gone_customers: tuple[str, ...] = ()
    gone_keys: tuple[str, ...] = ()
    gone_upstreams: tuple[str, ...] = ()
    gone_openings: tuple[str, ...] = ()


def all_keys() -> tuple[str, ...]:
    """Returns the keys of all pages in a fixed order."""
    numbers = range(CUSTOMER_PAGES)
    return (*(f"{_CUSTOMERS_PREFIX}{n:02d}" for n in numbers), UPSTREAMS_KEY)


def customer_key(customer: str) -> str:
    """Returns the key of the page that holds a customer."""
    digest = hashlib.sha256(customer.encode()).digest()
    number = int.from_bytes(digest[:4], "big") % CUSTOMER_PAGES
    return f"{_CUSTOMERS_PREFIX}{number:02d}"


def encode(page: Page) -> bytes:
    """Returns the value to store."""
    return cbor2.dumps(codec.to_array(page))


def decode(value: bytes) -> Page:
    """Returns the page in a stored value.

    Raises:
        codec.CodecError: Not a page.
    """
    try:
        plain = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise codec.CodecError(f"not a page: {error}") from error
    return _with_shared_names(codec.from_plain(Page, plain))


def _with_shared_names(page: Page) -> Page:
    # A customer's name stands in its row and in each of its keys; shared,
    # it is held once.
    intern = sys.intern
    customers = tuple(
        row._replace(customer=intern(row.customer)) for row in page.customers
    )
    keys = tuple(
        row._replace(customer=intern(row.customer), label=intern(row.label))
        for row in page.keys
    )
    return page._replace(customers=customers, keys=keys)


def diff(
    key: str, old: Page, base_revision: int, new: Page, revision: int
) -> Change:
    """Returns what turns `old` into `new`."""
    rows = Page(
        tuple(sorted(set(new.customers) - set(old.customers))),
        tuple(sorted(set(new.keys) - set(old.keys))),
        tuple(sorted(set(new.upstreams) - set(old.upstreams))),
        tuple(sorted(set(new.openings) - set(old.openings))),
    )
    return Change(
        key,
        base_revision,
        revision,
        digest(encode(new)),
        rows,
        _gone(
            [row.customer for row in old.customers],
            [row.customer for row in new.customers],
        ),
        _gone(
            [row.key_hash for row in old.keys],
            [row.key_hash for row in new.keys],
        ),
        _gone(
            [row.upstream for row in old.upstreams],
            [row.upstream for row in new.upstreams],
        ),
        _gone(
            [row.customer for row in old.openings],
            [row.customer for row in new.openings],
        ),
    )


def _gone(old: list[str], new: list[str]) -> tuple[str, ...]:
    return tuple(sorted(set(old) - set(new)))


def apply(page: Page, change: Change) -> Page:
    """Returns the page after a change."""
    customers = {row.customer: row for row in page.customers}
    customers.update({row.customer: row for row in change.rows.customers})
    keys = {row.key_hash: row for row in page.keys}
    keys.update({row.key_hash: row for row in change.rows.keys})
    upstreams = {row.upstream: row for row in page.upstreams}
    upstreams.update({row.upstream: row for row in change.rows.upstreams})
    openings = {row.customer: row for row in page.openings}
    openings.update({row.customer: row for row in change.rows.openings})
    for name in change.gone_customers:
        customers.pop(name, None)
    for key_hash in change.gone_keys:
        keys.pop(key_hash, None)
    for name in change.gone_upstreams:
        upstreams.pop(name, None)
    for name in change.gone_openings:
        openings.pop(name, None)
    return make(customers, keys, upstreams, openings)


def make(
    customers: dict[str, records.Customer],
    keys: dict[str, records.Key],
    upstreams: dict[str, records.Upstream],
    openings: dict[str, records.Opening] | None = None,
) -> Page:
    """Returns a page with its rows in order."""
    opened = openings or {}
    return Page(
        tuple(customers[name] for name in sorted(customers)),
        tuple(keys[key_hash] for key_hash in sorted(keys)),
        tuple(upstreams[name] for name in sorted(upstreams)),
        tuple(opened[name] for name in sorted(opened)),
    )


def digest(data: bytes) -> bytes:
    """Returns a short name of some bytes."""
    return hashlib.sha256(data).digest()[:_DIGEST_BYTES]
