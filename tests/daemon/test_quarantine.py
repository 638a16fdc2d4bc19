"""Tests of crash counts by request."""

from bulrushdeal import clock as clock_lib
from bulrushdeald import quarantine


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
