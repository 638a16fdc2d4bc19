"""Tests of passing the list of VMs between VMs."""

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from bulrushdeal import records
from bulrushdeald import vmlist
from support import controlplane
from support import fakes
from support import platformfakes

VMS = tuple("abcdef")


class FakeMembership(platformfakes.FixedMembership):
    """A list whose rows and age the test sets."""

    def __init__(self, vm: str, rows: list[records.Vm]) -> None:
        super().__init__(vm, rows)
        self.platform: tuple[records.Vm, ...] | None = None
        self.known: tuple[records.Vm, ...] = ()
        self.list_age_s: float | None = None

    def rows(self) -> tuple[records.Vm, ...]:
        return tuple(sorted(self.known))

    def age_s(self) -> float | None:
        return self.list_age_s

    def poll(self) -> bool:
        if self.platform is None:
            return False
        self.replace_list(self.platform, 0.0)
        return True

    def replace_list(self, rows: tuple[records.Vm, ...], age_s: float) -> None:
        self.known, self.list_age_s = rows, age_s

    def confirm_list(self, age_s: float) -> None:
        self.list_age_s = age_s


def make(
    network: platformfakes.Network, vm: str, sources: list[records.Vm]
) -> tuple[FakeMembership, vmlist.VmListFeed]:
    own = records.Vm(vm, "d", "entry", "h:1", "leaving")
    held = FakeMembership(vm, [own, *sources])
    kernel = platformfakes.kernel(
        membership=held, peers=fakes.Peers(network, vm)
    )
    feed = vmlist.VmListFeed(kernel, controlplane.settings("x:1", vm=vm))
    feed.attach()
    return held, feed


lists = st.lists(
    st.builds(
        lambda vm, state: records.Vm(vm, "d", "entry", "h:1", state),
        st.sampled_from(VMS),
        st.sampled_from(["live", "leaving"]),
    ),
    unique_by=lambda row: row.vm,
)


@given(st.lists(st.tuples(lists, st.booleans()), max_size=8))
def test_an_asking_vm_gets_the_readers_list(reads: list[Any]) -> None:
    network = platformfakes.Network()
    source = records.Vm("reader", "d", "entry", "h:1")
    reader, reading = make(network, "reader", [])
    reader.vms = [source]
    asker, asking = make(network, "asker", [source])
    for rows, is_asked in reads:
        reader.platform = tuple(rows)
        assert reading.update()
        if is_asked:
            assert asking.update()
            assert asker.rows() == reader.rows()
    if reads:
        assert asking.update()
        assert asker.rows() == reader.rows()


def test_an_outdated_reader_does_not_revert_the_list() -> None:
    """One of the two readers of a domain was cut off and has an old list.

    The old list lacks a VM that has just started, which would then seem gone.
    """
    network = platformfakes.Network()
    source = records.Vm("reader", "d", "entry", "h:1")
    reader, reading = make(network, "reader", [])
    reader.vms = [source]
    reader.replace_list((records.Vm("old", "d", "entry"),), 60.0)
    reading.attach()
    asker, asking = make(network, "asker", [source])
    new = (records.Vm("new", "d", "entry"), records.Vm("old", "d", "entry"))
    asker.replace_list(new, 5.0)
    assert asking.update()
    assert asker.rows() == new
    # A VM without a list takes even an old one, but still reads the
    # platform.
    asker.replace_list((), 0.0)
    asker.list_age_s = None
    asker.platform = new
    assert asking.update()
    assert asker.rows() == new


def test_the_platform_is_read_when_no_reader_answers() -> None:
    network = platformfakes.Network()
    source = records.Vm("reader", "d", "entry", "h:1")
    asker, asking = make(network, "asker", [source])
    network.cuts.add(frozenset(("asker", "reader")))
    assert not asking.update()
    asker.platform = (source,)
    assert asking.update()
    assert asker.rows() == (source,)
