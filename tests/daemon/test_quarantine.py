"""Tests of the count of crashes by request."""

from bulrushdeal import clock as clock_lib
from bulrushdeald import quarantine


def test_a_notice_that_comes_twice_counts_once() -> None:
    # An innocent request ran once on an engine that crashed and is refused
    # for good: its one crash came by way of two VMs and counted twice.
    known = quarantine.Quarantine(clock_lib.FakeClock())
    crash = quarantine.Crash("f", "crash-1")
    assert [known.add(crash), known.add(crash)] == [True, False]
    assert (known.is_suspect("f"), known.is_refused("f")) == (True, False)
    for number in range(2, quarantine.CRASHES_ALLOWED + 1):
        assert known.add(quarantine.Crash("f", f"crash-{number}"))
    assert known.is_refused("f")


def test_a_crash_is_forgotten_by_its_own_age() -> None:
    # A request stays refused although its engine was mended long ago: VMs
    # tell each other of a crash again and again, each time as if it were new.
    clock = clock_lib.FakeClock()
    known = quarantine.Quarantine(clock)
    known.add(quarantine.Crash("f", "crash-1", quarantine.KEEP_S - 1))
    assert known.crashes()[0].age_s == quarantine.KEEP_S - 1
    clock.sleep_s(2.0)
    (told,) = known.crashes()
    assert not quarantine.Quarantine(clock).add(told)
    known.add(quarantine.Crash("other", "crash-2"))
    assert not known.is_suspect("f")
