"""Measures what customers cost in their pages and in memory."""

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
    """Returns pages with so many customers and two keys for each."""
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
    """What customers cost where they are stored and held.

    Attributes:
        customers: Customers with two keys each.
        held_bytes: In memory on each VM, for each customer.
        largest_page_bytes: The largest value at the platform.
        bytes_per_key: What one more key adds to its page.
        decode_ms: Processor time to read the largest page.
        change_ms: Processor time to apply a change of one row to it.
        push_bytes: The message that carries this change to a peer.
    """

    customers: int
    held_bytes: float
    largest_page_bytes: int
    bytes_per_key: int
    decode_ms: float
    change_ms: float
    push_bytes: int


def measure_pages(customers: int) -> PageRow:
    """Stores, reads and changes the pages of so many customers."""
    made = make_pages(customers)
    stored = {key: pages.encode(page) for key, page in made.items()}
    key = max(stored, key=lambda key: len(stored[key]))
    page = made[key]
    extra = records.Key("f" * 64, page.customers[0].customer, "key 9", True)
    longer = page._replace(keys=(*page.keys, extra))
    began_s = time.process_time()
    for _ in range(_ROUNDS):
        pages.decode(stored[key])
    decode_s = (time.process_time() - began_s) / _ROUNDS
    first, *rest = page.customers
    other = page._replace(customers=(first._replace(weight=7.0), *rest))
    held = pageset.PageSet()
    held.offer(key, 1, page)
    change = pages.diff(key, page, 1, other, 2)
    began_s = time.process_time()
    held.change(change)
    change_s = time.process_time() - began_s
    return PageRow(
        customers,
        _held_bytes(stored) / customers,
        len(stored[key]),
        len(pages.encode(longer)) - len(stored[key]),
        1000 * decode_s,
        1000 * change_s,
        len(wire.pack(1, configsync.PushChanges((change,)))),
    )


def _held_bytes(stored: dict[str, bytes]) -> int:
    gc.collect()
    tracemalloc.start()
    held = pageset.PageSet()
    for key, value in stored.items():
        held.offer(key, 1, pages.decode(value))
    gc.collect()
    size_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size_bytes
