"""The intervals at which VMs probe a store that one or all have lost."""

from gateway.decisions import storeprobing


def _probes(for_s: float, *, is_outage: bool, is_prober: bool) -> int:
    count, at_s = 0, 0.0
    while at_s < for_s:
        at_s += storeprobing.pause_s(
            at_s, is_outage=is_outage, is_prober=is_prober
        )
        count += 1
    return count


def test_an_unreachable_store_is_not_probed_by_the_whole_fleet() -> None:
    """165 VMs probed the store 2.5 times a second each, and each call costs.

    The store limits the calls of a fleet, not of each VM: in an outage the
    calls must not grow faster than one per VM in two seconds.
    """
    by_probers = (
        _probes(7.0, is_outage=True, is_prober=True) * storeprobing.PROBERS
    )
    by_another = _probes(7.0, is_outage=True, is_prober=False)
    assert by_another <= 4
    assert by_probers <= 80


def test_the_return_of_the_store_is_noticed_within_a_second() -> None:
    """Entries have to be restored in two seconds; renewing takes one."""
    assert storeprobing.pause_s(6.0, is_outage=True, is_prober=True) < 0.5


def test_a_vm_that_others_help_probes_less_and_less() -> None:
    assert _probes(9.0, is_outage=False, is_prober=False) <= 5
    assert storeprobing.pause_s(0.0, is_outage=False, is_prober=False) <= 1.0
