"""Tests of crash counts by request."""

import random

import hypothesis
from hypothesis import strategies as st
import pytest

from bulrushdeal import clock as clock_lib
from bulrushdeald import quarantine

_POISON = "poison"
_RUN_S = 0.1
# How long a crash takes to be known where upstreams write every 1.2 s.
_NOTICE_S = 5.6
# How long an item that is owed may lie idle while there is room.
_MAX_IDLE_S = 20.0
_REQUESTS = ("a", "b", "c", "d")


def _crash(
    name: str, upstream: str, age_s: float = 0.0, ran_s: float = _RUN_S
) -> quarantine.Crash:
    crash_id = f"{name}/{upstream}"
    return quarantine.Crash(name, crash_id, age_s, upstream, ran_s)


def _quarantine(*crashes: quarantine.Crash) -> quarantine.Quarantine:
    made = quarantine.Quarantine(clock_lib.FakeClock())
    for crash in crashes:
        made.add(crash)
    return made


def test_a_notice_that_comes_twice_counts_once() -> None:
    # Guards against the refusal of a request that saw only one crash: its
    # notice arrived through two VMs and was counted twice.
    crashes = quarantine.Quarantine(clock_lib.FakeClock())
    crash = quarantine.Crash("f", "crash-1")
    assert [crashes.add(crash), crashes.add(crash)] == [True, False]
    assert (crashes.is_suspect("f"), crashes.is_refused("f")) == (True, False)
    for number in range(2, quarantine.CRASHES_TO_REFUSE + 1):
        assert crashes.add(quarantine.Crash("f", f"crash-{number}"))
    assert crashes.is_refused("f")


def test_a_crash_is_forgotten_by_its_own_age() -> None:
    # Guards against a request that stays refused long after its engine was
    # repaired: VMs send each other the same crash repeatedly, and it must not
    # count as new each time.
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock)
    crashes.add(quarantine.Crash("f", "crash-1", quarantine.RETENTION_S - 1))
    assert crashes.crashes()[0].age_s == quarantine.RETENTION_S - 1
    clock.sleep_s(2.0)
    (reported,) = crashes.crashes()
    assert not quarantine.Quarantine(clock).add(reported)
    crashes.add(quarantine.Crash("other", "crash-2"))
    assert not crashes.is_suspect("f")


def test_a_bystander_of_two_crashes_is_not_refused() -> None:
    """Guards against refusing what only moved along with the cause."""
    crashes = _quarantine(
        _crash(_POISON, "e1", 3.0),
        _crash("bystander", "e1", 3.0, 1.5),
        _crash(_POISON, "e2", 2.0),
        _crash("bystander", "e2", 2.0, 0.9),
    )
    assert crashes.refused() == {_POISON}


def test_a_later_crash_corrects_whom_the_crashes_are_put_down_to() -> None:
    """Guards against a bystander that stays refused in place of the cause."""
    rows = [
        _crash(name, upstream, age_s, ran_s)
        for name, ran_s in ((_POISON, 0.2), ("bystander", 0.1))
        for upstream, age_s in (("e1", 3.0), ("e2", 2.0))
    ]
    crashes = _quarantine(*rows)
    assert crashes.refused() == {"bystander"}
    crashes.add(_crash(_POISON, "e3", 1.0, 0.2))
    assert crashes.refused() == {_POISON}


def test_upstreams_that_crash_together_count_once() -> None:
    """Guards against refusing a common request after a loss of power."""
    crashes = _quarantine(_crash("common", "e1"), _crash("common", "e2"))
    assert not crashes.is_refused("common")


def test_a_request_that_ran_to_its_end_is_cleared_for_good() -> None:
    """Guards against a cleared crash that a late notice brings back."""
    crashes = _quarantine(_crash("common", "e1", 9.0))
    cleared = crashes.clear("common")
    assert crashes.is_empty()
    assert not crashes.add(_crash("common", "e1", 9.0))
    crashes.add(_crash("common", "e2"))
    assert not crashes.is_refused("common")
    other = quarantine.Quarantine(clock_lib.FakeClock())
    other.discard(cleared)
    assert not other.add(_crash("common", "e1", 9.0))


def test_an_item_waits_longer_after_each_crash_up_to_a_bound() -> None:
    """Guards against an item that ends upstreams for ever, or never ends."""
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock)
    holds_s: list[float] = []
    for number in range(9):
        crashes.add(_crash("item", f"e{number}", ran_s=0.0))
        begin_s = clock.now_s
        while crashes.is_held_back("item"):
            clock.sleep_s(1.0)
        holds_s.append(clock.now_s - begin_s)
    assert holds_s == [0.0, 5.0, *[8.0] * 7]


def test_crashes_before_the_first_is_known_do_not_lengthen_the_wait() -> None:
    """Guards against a harmless item that is not done for minutes.

    It met several crashes in the seconds until the list showed the first.
    """
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock)
    for number in range(4):
        crashes.add(_crash("item", f"e{number}", 4.0 - number))
    assert 3.0 < _held_s(crashes, clock) < 5.0


@pytest.mark.parametrize("notice_s", [_NOTICE_S, 2 * _NOTICE_S])
@pytest.mark.parametrize("vm", ["vm0", "vm1", "vm2", "vm3"])
def test_an_item_that_met_many_crashes_is_owed(
    vm: str, notice_s: float
) -> None:
    """Guards against a sound item that is never placed again after bursts."""
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock, vm, notice_s)
    number = 0
    for pause_s in (30.0, 90.0, 280.0, 30.0):
        for _ in range(2):
            crash = _crash("item", f"e{number}", ran_s=0.2)
            crashes.add(crash._replace(crash_id=f"vm0/1/{number}"))
            number += 1
            clock.sleep_s(0.4)
        assert _held_s(crashes, clock) < _MAX_IDLE_S
        clock.sleep_s(pause_s)


def test_an_item_that_always_crashes_ends_few_upstreams_in_a_minute() -> None:
    """Guards against one that is tried again as soon as it has crashed."""
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock)
    for number in range(4):
        crashes.add(_crash("item", f"e{number}", 4.0 - number))
    late = 0
    for _ in range(60):
        clock.sleep_s(1.0)
        if not crashes.is_held_back("item"):
            crashes.add(_crash("item", f"late {late}", ran_s=0.0))
            late += 1
    assert 1 <= late <= 60.0 / 7.0


def _held_s(
    crashes: quarantine.Quarantine, clock: clock_lib.FakeClock
) -> float:
    """Returns for how long the item is held back from now on."""
    begin_s = clock.now_s
    while crashes.is_held_back("item"):
        clock.sleep_s(0.1)
    return clock.now_s - begin_s


def test_copies_of_an_item_run_one_after_the_other() -> None:
    """Guards against crashing as many upstreams as VMs have copies."""
    clock = clock_lib.FakeClock()
    notice_s = 5.0
    vms = [
        quarantine.Quarantine(clock, f"vm{number}", notice_s)
        for number in range(3)
    ]
    for number, upstream in enumerate(("e1", "e2")):
        crash = quarantine.Crash("item", f"vm{number}/1", 0.0, upstream, 0.1)
        for crashes in vms:
            crashes.add(crash)
        # The VM that had the item goes on with it.
        waits = [crashes.is_held_back("item") for crashes in vms]
        assert waits.count(False) == (0 if number else 1)
        clock.sleep_s(1.0)
    held_s = [_held_s(vms[number], clock) for number in (1, 0, 2)]
    assert held_s[0] < 15.0
    assert held_s[1] + held_s[2] >= notice_s - 0.1
    vms[1].begin_trial("item")
    assert _held_s(vms[1], clock) >= notice_s - 0.1
    vms[1].begin_trial("item")
    vms[1].end_trial("item")
    assert not vms[1].is_held_back("item")


def test_copies_of_a_request_that_others_explain_run_one_at_a_time() -> None:
    """Guards against many runs at once of one that is refused only later."""
    clock = clock_lib.FakeClock()
    vms = [
        quarantine.Quarantine(clock, f"vm{number}", 5.0) for number in range(2)
    ]
    for number in range(3):
        for name in ("more", "less"):
            if name == "more" or number < 2:
                crash = _crash(name, f"e{number}")
                for crashes in vms:
                    crashes.add(crash._replace(crash_id=f"vm0/{name}{number}"))
        clock.sleep_s(1.0)
    assert [row.is_refused("less") for row in vms] == [False, False]
    assert [row.doubt_s("less") > 0 for row in vms] == [False, True]
    vms[0].begin_trial("less")
    assert vms[0].doubt_s("less") == 5.0
    vms[0].end_trial("less")
    assert vms[0].doubt_s("less") == 0
    # Whether an upstream crashed is known at once if its address refuses.
    vms[0].begin_trial("less")
    clock.sleep_s(0.1)
    for name in ("more", "less"):
        crash = _crash(name, "e9")
        vms[0].add(crash._replace(crash_id=f"vm0/{name}9"))
    assert vms[0].doubt_s("less") == 0
    assert not vms[0].is_refused("less")
    clock.sleep_s(10.0)
    assert vms[1].doubt_s("less") == 0


def test_a_request_is_stopped_though_others_explain_its_crashes() -> None:
    """Guards against causes that crash upstreams together and in turns.

    The one with more crashes explains those of the other, again and again.
    """
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock)
    for number in range(12):
        for name in ("more", "less"):
            crashes.add(_crash(name, f"e{number}"))
        crashes.add(_crash("more", f"e{number} too", 0.3))
        clock.sleep_s(1.0)
        if crashes.is_refused("less"):
            break
    ends = sum(row.fingerprint == "less" for row in crashes.crashes())
    assert ends == quarantine.EXPLAINED_CRASHES_TO_REFUSE
    # What is known of others later says nothing of its own crashes.
    for number in range(20):
        crashes.add(_crash("more", f"late {number}", 0.2))
        assert crashes.is_refused("less")


@hypothesis.given(
    rounds=st.lists(
        st.lists(
            st.sets(st.sampled_from(_REQUESTS), min_size=1),
            min_size=1,
            max_size=4,
        ),
        max_size=10,
    ),
    news=st.integers(0, 3),
)
def test_no_cause_among_several_runs_on(
    rounds: list[list[set[str]]], news: int
) -> None:
    """Guards against a verdict that is taken back though no run ended well.

    Each request crashes upstreams, several at a time and on the same ones.
    Another VM, started at any time, comes to the same verdict.
    """
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock)
    for number, engines in enumerate(rounds):
        for engine, names in enumerate(engines):
            # Only the runs that a request is granted while it is not refused.
            for name in sorted(names):
                if not crashes.is_refused(name):
                    crashes.add(_crash(name, f"e{number}.{engine}"))
        clock.sleep_s(1.0)
    for name in _REQUESTS:
        met = {
            row.upstream for row in crashes.crashes() if row.fingerprint == name
        }
        numbers = {row.partition(".")[0] for row in met}
        most = quarantine.EXPLAINED_CRASHES_TO_REFUSE
        assert len(numbers) <= most
        if len(met) >= most and len(numbers) > 1:
            assert crashes.is_refused(name)
    started = quarantine.Quarantine(clock)
    for row in crashes.crashes()[news:]:
        started.add(row)
    for row in crashes.crashes():
        started.add(row)
    assert started.refused() == crashes.refused()


def test_an_item_that_others_explain_waits_as_one_just_refused() -> None:
    """Guards against minutes of waiting for an item that met bad company."""
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock)
    for number in range(quarantine.EXPLAINED_CRASHES_TO_REFUSE):
        crashes.add(_crash("item", f"e{number}", 0.0, 0.9))
        cause = f"cause {number % 2}"
        crashes.add(_crash(cause, f"e{number}"))
        for other in range(3):
            crashes.add(_crash(cause, f"e{number} other {other}", 0.3))
        clock.sleep_s(1.0)
    assert crashes.is_refused("item")
    begin_s = clock.now_s
    while crashes.is_held_back("item"):
        clock.sleep_s(1.0)
    assert clock.now_s - begin_s <= 15.0


@hypothesis.given(
    series=st.lists(st.sets(st.sampled_from(_REQUESTS)), max_size=8),
    seed=st.integers(0, 1000),
)
def test_the_request_in_all_crashes_is_stopped(
    series: list[set[str]], seed: int
) -> None:
    """Guards against bystanders that hide which request is the cause.

    Upstreams end one after the other under one request, each with other
    requests on it; those that are refused no longer run.
    """
    rng = random.Random(seed)
    clock = clock_lib.FakeClock()
    crashes = quarantine.Quarantine(clock)
    for number, bystanders in enumerate(series):
        if crashes.is_refused(_POISON):
            break
        for name in {_POISON, *bystanders}:
            if not crashes.is_refused(name):
                ran_s = _RUN_S if name == _POISON else rng.uniform(0.0, 1.0)
                crashes.add(_crash(name, f"e{number}", 0.0, ran_s))
        clock.sleep_s(1.0)
    # Each crash beyond the second has at least one bystander that all
    # crashes so far had in common and that is refused from then on.
    ends = sum(row.fingerprint == _POISON for row in crashes.crashes())
    assert ends <= quarantine.CRASHES_TO_REFUSE + len(_REQUESTS)
    if len(series) > quarantine.CRASHES_TO_REFUSE + len(_REQUESTS):
        assert crashes.is_refused(_POISON)
    if not any(series):
        assert ends <= quarantine.CRASHES_TO_REFUSE


@hypothesis.given(
    rows=st.lists(
        st.tuples(
            st.sampled_from(_REQUESTS),
            st.sampled_from(("e1", "e2", "e3")),
            st.integers(0, 5),
        ),
        max_size=12,
    ),
    cleared=st.sets(st.integers(0, 11)),
    seed=st.integers(0, 1000),
)
def test_vms_agree_in_whichever_order_notices_come(
    rows: list[tuple[str, str, int]], cleared: set[int], seed: int
) -> None:
    """Guards against VMs that refuse different requests for good."""
    notices = [
        quarantine.Crash(name, f"c{number}", float(age_s), upstream, _RUN_S)
        for number, (name, upstream, age_s) in enumerate(rows)
    ]
    rng = random.Random(seed)
    found = []
    for _ in range(2):
        crashes = quarantine.Quarantine(clock_lib.FakeClock())
        steps: list[quarantine.Crash | str] = [*notices, *notices]
        steps += [f"c{number}" for number in cleared]
        rng.shuffle(steps)
        for step in steps:
            if isinstance(step, str):
                crashes.discard([step])
            else:
                crashes.add(step)
        found.append((crashes.refused(), crashes.digest()))
    assert found[0] == found[1]


def test_what_was_sent_to_a_crashed_upstream_is_not_blamed() -> None:
    """Guards against refusing what a proxy broke off after the crash."""
    crashes = _quarantine(
        _crash(_POISON, "e1", 4.0),
        _crash("late", "e1", 3.5, 0.002),
        _crash(_POISON, "e2", 2.0),
        _crash("late", "e2", 1.5, 0.002),
    )
    assert crashes.refused() == {_POISON}


def test_a_time_by_a_clock_that_was_set_clears_nobody() -> None:
    """Guards against releasing the cause when a VM restarts with its clock off.

    What it reads from the store seems younger than what its peers tell.
    """
    stored = [
        _crash(_POISON, upstream, age_s)._replace(
            started_ms=1, is_age_exact=False
        )
        for upstream, age_s in (("e1", 4.0), ("e2", 2.0))
    ]
    victim = _crash("victim", "e1", 7.0, 0.002)._replace(started_ms=1)
    crashes = _quarantine(*stored, victim)
    assert crashes.refused() == {_POISON}
    assert not crashes.add(stored[0]._replace(is_age_exact=True, age_s=7.1))
    assert round(crashes.crashes()[0].age_s, 3) == 7.1
    assert crashes.refused() == {_POISON}


def test_all_breaks_of_one_start_are_one_crash() -> None:
    """Guards against counting late breaks at the same process anew."""
    rows = [
        _crash("r", "e1", age_s)._replace(
            crash_id=f"r/{age_s}", started_ms=started_ms
        )
        for age_s, started_ms in ((9.0, 1), (3.0, 1))
    ]
    assert not _quarantine(*rows).refused()
    again = rows[1]._replace(started_ms=2)
    assert _quarantine(rows[0], again).refused() == {"r"}
