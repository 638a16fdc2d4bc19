"""Measures the size of customers in configuration pages and in memory."""

import gc
import time
import tracemalloc
from typing import NamedTuple

from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import configsync
from bulrushdeald import pages
from bulrushdeald import pageset
from bulrushdeald import wire

_KEYS_PER_CUSTOMER = 2
_ROUNDS = 20


def make_pages(customers: int) -> dict[str, pages.Page]:
    """Returns pages with a number of customers, each with two keys.

    Returns:
        The pages by their key at the platform.
    """
    rows: dict[str, list[records.Customer]] = {}
    keys: dict[str, list[records.Key]] = {}
    for number in range(customers):
        name = f"customer-{number}"
        key = pages.customer_key(name)
        rows.setdefault(key, []).append(records.Customer(name))
        for which in range(_KEYS_PER_CUSTOMER):
            key_hash = config.hash_key(f"{name}/{which}")
            row = records.Key(key_hash, name, f"key {which}")
            keys.setdefault(key, []).append(row)
    return {
        key: pages.Page(tuple(sorted(rows[key])), tuple(sorted(keys[key])))
        for key in sorted(rows)
    }


class PageRow(NamedTuple):
    """The cost of storing, holding and changing customers.

    Attributes:
        customers: Number of customers, each with two keys.
        held_bytes: Memory on each VM, per customer.
        largest_page_bytes: Size of the largest page at the platform.
        bytes_per_key: How much one more key adds to its page.
        decode_ms: Processor time to decode the largest page.
        change_ms: Processor time to apply a change of one row to it.
        push_bytes: Size of the message that carries this change to a peer.
    """

    customers: int
    held_bytes: float
    largest_page_bytes: int
    bytes_per_key: int
    decode_ms: float
    change_ms: float
    push_bytes: int


def measure_pages(customers: int) -> PageRow:
    """Measures the pages of a number of customers."""
    page_by_key = make_pages(customers)
    stored = {key: pages.encode(page) for key, page in page_by_key.items()}
    key = max(stored, key=lambda key: len(stored[key]))
    page = page_by_key[key]
    extra_key = records.Key("f" * 64, page.customers[0].customer, "key 9", True)
    longer_page = page._replace(keys=(*page.keys, extra_key))
    start_s = time.process_time()
    for _ in range(_ROUNDS):
        pages.decode(stored[key])
    decode_s = (time.process_time() - start_s) / _ROUNDS
    first, *rest = page.customers
    changed_page = page._replace(customers=(first._replace(weight=7.0), *rest))
    held = pageset.PageSet()
    held.put_if_newer(key, 1, page)
    change = pages.diff(key, page, 1, changed_page, 2)
    start_s = time.process_time()
    held.apply_change(change)
    change_s = time.process_time() - start_s
    return PageRow(
        customers,
        _held_bytes(stored) / customers,
        len(stored[key]),
        len(pages.encode(longer_page)) - len(stored[key]),
        1000 * decode_s,
        1000 * change_s,
        len(wire.pack(1, configsync.PushChanges((change,)))),
    )


def _held_bytes(stored: dict[str, bytes]) -> int:
    gc.collect()
    tracemalloc.start()
    held = pageset.PageSet()
    for key, value in stored.items():
        held.put_if_newer(key, 1, pages.decode(value))
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes
