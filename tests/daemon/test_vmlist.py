"""The list of VMs as told from VM to VM."""

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
    """A list that is read from the test, as old as the test says."""

    def __init__(self, vm: str, rows: list[records.Vm]) -> None:
        super().__init__(vm, rows)
        self.platform: tuple[records.Vm, ...] | None = None
        self.known: tuple[records.Vm, ...] = ()
        self.told_age_s: float | None = None

    def rows(self) -> tuple[records.Vm, ...]:
        return tuple(sorted(self.known))

    def age_s(self) -> float | None:
        return self.told_age_s

    def poll(self) -> bool:
        if self.platform is None:
            return False
        self.learn(self.platform, 0.0)
        return True

    def learn(self, rows: tuple[records.Vm, ...], age_s: float) -> None:
        self.known, self.told_age_s = rows, age_s

    def confirm(self, age_s: float) -> None:
        self.told_age_s = age_s


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
def test_who_asks_holds_what_the_reader_read(told: list[Any]) -> None:
    network = platformfakes.Network()
    source = records.Vm("reader", "d", "entry", "h:1")
    reader, reading = make(network, "reader", [])
    reader.vms = [source]
    asker, asking = make(network, "asker", [source])
    for rows, is_asked in told:
        reader.platform = tuple(rows)
        assert reading.update()
        if is_asked:
            assert asking.update()
            assert asker.rows() == reader.rows()
    if told:
        assert asking.update()
        assert asker.rows() == reader.rows()


def test_a_reader_that_is_behind_does_not_turn_the_list_back() -> None:
    """One of the two readers of a domain was cut off and holds an old list.

    A VM that has just started is not in it and would seem gone.
    """
    network = platformfakes.Network()
    source = records.Vm("reader", "d", "entry", "h:1")
    reader, reading = make(network, "reader", [])
    reader.vms = [source]
    reader.learn((records.Vm("old", "d", "entry"),), 60.0)
    reading.attach()
    asker, asking = make(network, "asker", [source])
    new = (records.Vm("new", "d", "entry"), records.Vm("old", "d", "entry"))
    asker.learn(new, 5.0)
    assert asking.update()
    assert asker.rows() == new
    # And who knows nothing yet takes even an old list over none, but goes
    # on to the platform.
    asker.learn((), 0.0)
    asker.told_age_s = None
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
