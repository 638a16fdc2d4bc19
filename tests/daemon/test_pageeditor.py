"""Tests of concurrent edits of the table.

Guards against lost updates: two operators see a rate of 10, one sets it to
20 and the other, who has not seen that, sets it to 5. The second edit must
fail with a conflict that shows both values, while edits of different cells
must not conflict.
"""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import pageeditor
from bulrushdeald import pageedits
from bulrushdeald import pages
from support import controlplane
from support import fakes
from support import platformfakes

NAMES = ("customer-15", "customer-20")
KEY = pages.customer_key(NAMES[0])
values = st.integers(1, 3).map(float)


class OperatorVm:
    """A VM through which one operator edits."""

    def __init__(self, store: platformfakes.Store, vm: str) -> None:
        self.client = platformfakes.StoreClient(store)
        rows = [records.Vm(vm, "d", "entry", "x:1")]
        kernel = platformfakes.kernel(
            keyvalue=self.client,
            membership=platformfakes.FixedMembership(vm, rows),
            peers=fakes.Peers(platformfakes.Network(), vm),
        )
        self.config = config.ConfigService(
            kernel,
            controlplane.settings("x:1", vm=vm),
            pool=platformfakes.InlineExecutor(),
        )
        self.config.attach()
        self.editor = pageeditor.Editor(self.client, self.config)

    def set_cell(
        self, name: str, column: str, value: float, seen: float
    ) -> Any:
        change = pageeditor.CellEdit(name, column, value, seen, None)
        return self.editor.edit(KEY, pageedits.set_cell(change))


def stored(store: platformfakes.Store) -> dict[str, records.Customer]:
    held = store.keyspace.get(KEY)
    assert held is not None
    return {row.customer: row for row in pages.decode(held.value).customers}


cells = st.tuples(st.sampled_from(NAMES), st.sampled_from(["weight", "burst"]))
changes = st.lists(st.tuples(cells, values, values), min_size=1, max_size=5)


@given(changes, changes)
def test_accepted_edits_expected_the_replaced_value(
    first: list[Any], second: list[Any]
) -> None:
    store = platformfakes.Store()
    one, other = OperatorVm(store, "vm-1"), OperatorVm(store, "vm-2")
    for name in NAMES:
        row = records.Customer(name, weight=1.0, burst=1.0)
        one.editor.edit(KEY, pageedits.put_customer(row, 0)).unwrap()
    expected_cells = {(n, c): 1.0 for n in NAMES for c in ("weight", "burst")}

    def submit(vm: OperatorVm, cell: Any, value: float, seen: float) -> None:
        name, column = cell
        edited = vm.set_cell(name, column, value, seen)
        if seen == expected_cells[cell]:
            edited.unwrap()
            expected_cells[cell] = value
            return
        error = edited.unwrap_err()
        assert error.kind == "conflict"
        assert (error.expected, error.current) == (seen, expected_cells[cell])
        assert error.yours == value

    for (cell, value, seen), race in zip(
        first, [*second, None, None, None, None], strict=False
    ):
        if race is not None:
            # The other operator writes between this one's read and write.
            one.client.before_put = lambda race=race: submit(other, *race)
        submit(one, cell, value, seen)
        one.client.before_put = None
        rows = stored(store)
        for (name, column), expected in expected_cells.items():
            assert getattr(rows[name], column) == expected


def test_new_customer_does_not_replace_one_added_meanwhile() -> None:
    """Two operators add a customer of the same name at the same time."""
    store = platformfakes.Store()
    one, other = OperatorVm(store, "vm-1"), OperatorVm(store, "vm-2")
    fast = records.Customer(NAMES[0], rate_per_s=7.0)
    slow = records.Customer(NAMES[0], rate_per_s=8.0)
    one.client.before_put = lambda: other.editor.edit(
        KEY, pageedits.put_customer(fast, 0)
    ).unwrap()
    lost = one.editor.edit(KEY, pageedits.put_customer(slow, 0)).unwrap_err()
    assert (lost.kind, lost.current["rate_per_s"]) == ("conflict", 7.0)
    assert stored(store)[NAMES[0]] == fast


def test_expected_revision_alone_detects_a_change() -> None:
    store = platformfakes.Store()
    vm = OperatorVm(store, "vm-1")
    row = records.Customer(NAMES[0], burst=1.0)
    at = vm.editor.edit(KEY, pageedits.put_customer(row, 0)).unwrap().revision
    for value, kind in ((2.0, "accepted"), (3.0, "conflict")):
        change = pageeditor.CellEdit(NAMES[0], "burst", value, None, at)
        edited = vm.editor.edit(KEY, pageedits.set_cell(change))
        if kind == "conflict":
            assert edited.unwrap_err().current == 2.0
        assert stored(store)[NAMES[0]].burst == 2.0


def test_keys_of_a_deleted_customer_stay_withdrawn() -> None:
    """A customer is deleted, and one of the same name is added later.

    The old keys must not work for the new customer.
    """
    vm = OperatorVm(platformfakes.Store(), "vm-1")
    vm.config.feed.read_all()
    row = records.Customer(NAMES[0])
    key = records.Key(config.hash_key("secret"), NAMES[0], "")
    for rewrite in (pageedits.put_customer(row, 0), pageedits.add_key(key)):
        vm.editor.edit(KEY, rewrite).unwrap()
    assert vm.config.authenticate("secret").is_ok()
    for rewrite in (
        pageedits.delete_customer(NAMES[0]),
        pageedits.put_customer(row, 0),
        pageedits.add_key(key),
    ):
        vm.editor.edit(KEY, rewrite).unwrap()
    assert vm.config.authenticate("secret").is_err()


def test_unreadable_page_is_not_overwritten() -> None:
    """A newer version stored a page that this version cannot decode."""
    store = platformfakes.Store()
    vm = OperatorVm(store, "vm-1")
    vm.client.put(KEY, b"from the future", 0).unwrap()
    row = records.Customer(NAMES[0])
    error = vm.editor.edit(KEY, pageedits.put_customer(row, None)).unwrap_err()
    assert error.kind == "unavailable"
    held = store.keyspace.get(KEY)
    assert held is not None
    assert held.value == b"from the future"


def test_customer_added_again_gets_no_second_burst() -> None:
    # A customer that has spent its burst is deleted and added again within a
    # minute. Treated as new, it would receive its burst a second time.
    store = platformfakes.Store()
    vm = OperatorVm(store, "v1")
    row = records.Customer(NAMES[0])
    initial_tokens = records.InitialTokens(NAMES[0], 20.0, 0.0, ())
    later = initial_tokens._replace(created_s=1.0)

    def openings() -> tuple[records.InitialTokens, ...]:
        held = store.keyspace.get(KEY)
        assert held is not None
        return pages.decode(held.value).openings

    make = pageedits.put_customer(row, 0, initial_tokens)
    assert vm.editor.edit(KEY, make).is_ok()
    assert openings() == (initial_tokens,)
    key = pageedits.add_key(records.Key("hash", NAMES[0], ""))
    assert vm.editor.edit(KEY, key).is_ok()
    assert vm.config.initial_tokens(NAMES[0]) == initial_tokens
    gone = pageedits.delete_customer(NAMES[0])
    assert vm.editor.edit(KEY, gone).is_ok()
    again = pageedits.put_rows((row,), None, (later,))
    assert vm.editor.edit(KEY, again).is_ok()
    assert openings() == ()
    assert vm.config.initial_tokens(NAMES[0]) is None
