"""The pages that store the operators' configuration, and their changes.

A page is one value in the platform's key-value service and is replaced as a
whole, by compare-and-swap. VMs send each other the difference between two
revisions of a page, since an edit touches one or two of some hundred rows.
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
# The platform accepts values of up to one megabyte, including the envelope.
MAX_PAGE_BYTES = 950_000
_DIGEST_BYTES = 8


class Page(NamedTuple):
    """The value of one key under `config/`.

    Attributes:
        customers: Rows in order of name; empty in the page of upstreams.
        keys: The customers' keys in order of hash. A withdrawn key keeps its
            row, so that it cannot become valid again.
        upstreams: Rows in order of name; empty in a page of customers.
        openings: The initial tokens of recently added customers, in order of
            name.
    """

    customers: tuple[records.Customer, ...] = ()
    keys: tuple[records.Key, ...] = ()
    upstreams: tuple[records.Upstream, ...] = ()
    openings: tuple[records.InitialTokens, ...] = ()


class Change(NamedTuple):
    """The difference between two revisions of a page.

    Attributes:
        key: The page's key.
        base_revision: The revision it applies to; 0 for an empty page.
        revision: The resulting revision.
        digest: The digest of the resulting page, encoded.
        rows: The rows that were added or changed.
        gone_customers: Names of removed customers.
        gone_keys: Hashes of removed keys.
        gone_upstreams: Names of removed upstreams.
        gone_openings: Names of customers whose initial tokens were removed.
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
    """Returns the page as it is stored in the platform."""
    return cbor2.dumps(codec.to_array(page))


def decode(value: bytes) -> Page:
    """Returns the page in a stored value.

    Raises:
        codec.CodecError: The value is not an encoded page.
    """
    try:
        plain = cbor2.loads(value)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise codec.CodecError(f"not a page: {error}") from error
    return _with_interned_names(codec.from_plain(Page, plain))


def _with_interned_names(page: Page) -> Page:
    # A customer's name is in its row and in each of its keys. Interning
    # keeps one copy of it in memory.
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
    """Returns the change from `old` to `new`.

    Args:
        key: The page's key.
        old: The page at `base_revision`.
        base_revision: The revision of `old`; 0 for an empty page.
        new: The page at `revision`.
        revision: The revision of `new`.
    """
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
        _removed(
            [row.customer for row in old.customers],
            [row.customer for row in new.customers],
        ),
        _removed(
            [row.key_hash for row in old.keys],
            [row.key_hash for row in new.keys],
        ),
        _removed(
            [row.upstream for row in old.upstreams],
            [row.upstream for row in new.upstreams],
        ),
        _removed(
            [row.customer for row in old.openings],
            [row.customer for row in new.openings],
        ),
    )


def _removed(old: list[str], new: list[str]) -> tuple[str, ...]:
    return tuple(sorted(set(old) - set(new)))


def apply_change(page: Page, change: Change) -> Page:
    """Returns the page with a change applied; checks no revision."""
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
    return make_page(customers, keys, upstreams, openings)


def make_page(
    customers: dict[str, records.Customer],
    keys: dict[str, records.Key],
    upstreams: dict[str, records.Upstream],
    openings: dict[str, records.InitialTokens] | None = None,
) -> Page:
    """Returns a page with its rows sorted by name or hash."""
    openings_by_name = openings or {}
    return Page(
        tuple(customers[name] for name in sorted(customers)),
        tuple(keys[key_hash] for key_hash in sorted(keys)),
        tuple(upstreams[name] for name in sorted(upstreams)),
        tuple(openings_by_name[name] for name in sorted(openings_by_name)),
    )


def digest(data: bytes) -> bytes:
    """Returns the first bytes of the SHA-256 of `data`."""
    return hashlib.sha256(data).digest()[:_DIGEST_BYTES]
