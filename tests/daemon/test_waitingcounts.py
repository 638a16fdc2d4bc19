"""Tests of the slots that a VM leaves free for other waiting VMs."""

from typing import NamedTuple

import hypothesis
from hypothesis import strategies as st

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import waitingcounts

ENGINE = records.Upstream("e1", "engine", "127.0.0.1:1", "host", "d1", ("m",))


class Vm(NamedTuple):
    running: int
    waiting: waitingcounts.Waiting


vms = st.lists(
    st.builds(
        Vm,
        st.integers(0, 6),
        st.builds(
            waitingcounts.Waiting,
            st.just("m"),
            st.integers(1, 9),
            st.floats(0.01, 100.0),
        ),
    ),
    min_size=1,
    max_size=6,
)


@hypothesis.given(vms, st.integers(0, 6), st.integers(1, 20))
def test_a_free_slot_is_never_left_by_all_waiting_vms(
    waiting: list[Vm], elsewhere: int, free: int
) -> None:
    # If every waiting VM left a free slot to the others, requests would time
    # out beside an idle engine.
    running = elsewhere + sum(vm.running for vm in waiting)
    upstream = ENGINE._replace(slots=running + free)
    assert not all(
        waitingcounts.leaves_slot_to_others(
            upstream,
            vm.running,
            free,
            vm.waiting.weight,
            waitingcounts.Waiting(
                "m",
                sum(o.waiting.requests for o in waiting if o is not vm),
                sum(o.waiting.weight for o in waiting if o is not vm),
            ),
        )
        for vm in waiting
    )


def test_no_slots_are_left_to_a_lost_vm() -> None:
    # A VM is lost while requests wait there. If its last report did not expire,
    # the others would leave slots to it until the platform's list drops it.
    clock = clock_lib.FakeClock()
    waiting = waitingcounts.Waiting("m", 3, 1.0)
    owner = waitingcounts.Waits(clock, lambda: ())
    owner.store_report("lost", waitingcounts.WaitingReport((waiting,)))
    asker = waitingcounts.Waits(clock, lambda: ())
    asker.store_totals("owner", owner.totals("asker"))
    assert owner.waiting_elsewhere("owner", "owner", "m") == waiting
    assert asker.waiting_elsewhere("owner", "asker", "m") == waiting
    assert owner.totals("lost").waiting == ()
    clock.now_s += waitingcounts.EXPIRY_S + 0.1
    assert owner.waiting_elsewhere("owner", "owner", "m").requests == 0
    assert asker.waiting_elsewhere("owner", "asker", "m").requests == 0
