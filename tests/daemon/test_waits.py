"""Tests of the slots that a VM leaves to what waits at others."""

from typing import NamedTuple

import hypothesis
from hypothesis import strategies as st

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import waits

ENGINE = records.Upstream("e1", "engine", "127.0.0.1:1", "host", "d1", ("m",))


class Vm(NamedTuple):
    running: int
    waiting: waits.Waiting


vms = st.lists(
    st.builds(
        Vm,
        st.integers(0, 6),
        st.builds(
            waits.Waiting,
            st.just("m"),
            st.integers(1, 9),
            st.floats(0.01, 100.0),
        ),
    ),
    min_size=1,
    max_size=6,
)


@hypothesis.given(vms, st.integers(0, 6), st.integers(1, 20))
def test_a_free_slot_is_never_left_by_all(
    waiting: list[Vm], elsewhere: int, free: int
) -> None:
    # Each of the VMs that wait leaves a free slot to the others, and requests
    # time out beside an idle engine.
    running = elsewhere + sum(vm.running for vm in waiting)
    upstream = ENGINE._replace(slots=running + free)
    assert not all(
        waits.is_left(
            upstream,
            vm.running,
            free,
            vm.waiting.weight,
            waits.Waiting(
                "m",
                sum(o.waiting.requests for o in waiting if o is not vm),
                sum(o.waiting.weight for o in waiting if o is not vm),
            ),
        )
        for vm in waiting
    )


def test_what_a_lost_vm_waited_for_is_not_left_to_it() -> None:
    # A VM dies with requests waiting, and the others leave slots to it until
    # the platform's list drops it. Cause: what it told last stays in force.
    clock = clock_lib.FakeClock()
    told = waits.Waiting("m", 3, 1.0)
    owner = waits.Waits(clock, lambda: ())
    owner.take_report("lost", waits.WaitingReport((told,)))
    asker = waits.Waits(clock, lambda: ())
    asker.take_totals("owner", owner.totals("asker"))
    assert owner.others("owner", "owner", "m") == told
    assert asker.others("owner", "asker", "m") == told
    assert owner.totals("lost").waiting == ()
    clock.now_s += waits.EXPIRY_S + 0.1
    assert owner.others("owner", "owner", "m").requests == 0
    assert asker.others("owner", "asker", "m").requests == 0
