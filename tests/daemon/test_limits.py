"""Tests of the limits over several VMs joined by small fakes."""

import pytest
import result

from bench import limitfakes
from bulrushdeal import records
from bulrushdeald import shares


def _fleet(domains: int, vms: int, *rows: records.Customer) -> limitfakes.Fleet:
    fleet = limitfakes.Fleet(rows)
    for domain in range(domains):
        for vm in range(vms):
            fleet.add(f"d{domain}v{vm}", f"d{domain}")
    fleet.settle(40)
    return fleet


def _take(fleet: limitfakes.Fleet, vm: str, customer: str = "acme") -> bool:
    taken = fleet.nodes[vm].limits.take(customer)
    return isinstance(taken, result.Ok)


def test_burst_at_one_vm_is_the_whole_row() -> None:
    fleet = _fleet(3, 3, records.Customer("acme", rate_per_s=2, burst=12))
    admitted = sum(_take(fleet, "d1v2") for _ in range(40))
    assert admitted == 12


@pytest.mark.parametrize(
    ("domains", "burst"),
    [(8, 1.0), (8, 2.0), (8, 5.0), (8, 20.0), (16, 5.0), (16, 20.0)],
)
def test_small_burst_over_many_domains_can_be_used_anywhere(
    domains: int, burst: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A customer is refused though nobody used its burst: the tokens stand
    # in many parts, and an owner pauses after asking several in vain.
    monkeypatch.setattr(shares, "PAGES", 1)
    fleet = _fleet(
        domains, 1, records.Customer("acme", rate_per_s=2, burst=burst)
    )
    assert sum(_take(fleet, "d3v0") for _ in range(40)) == burst


def test_refusal_says_when_to_come_back() -> None:
    fleet = _fleet(2, 2, records.Customer("acme", rate_per_s=4, burst=4))
    while _take(fleet, "d0v0"):
        pass
    taken = fleet.nodes["d0v0"].limits.take("acme")
    assert isinstance(taken, result.Err)
    refusal = taken.err_value
    assert refusal.code == "rate_limited"
    assert refusal.ran == "not_run"
    assert 0 < refusal.retry_after_s <= 0.25


def test_vm_replaced_in_an_outage_learns_the_owners_from_a_peer() -> None:
    # The platform is out when a VM is lost and its replacement starts. It
    # refused every request as unavailable until the outage was over, though
    # the other failure domain's owner has tokens. Cause: it knew no record.
    fleet = _fleet(2, 2, records.Customer("acme", rate_per_s=4, burst=8))
    fleet.kill("d0v0")
    fleet.keyvalue.is_out = True
    fleet.add("d0v0", "d0")
    fleet.nodes["d0v0"].limits.refresh()
    assert _take(fleet, "d0v0")


def test_new_failure_domain_can_serve_alone_soon() -> None:
    # A third failure domain is put into service and soon cut off from the
    # others. Its callers, inside their rates, were all refused. Cause: it
    # began with nothing of the rows and was given more only after demand.
    fleet = _fleet(2, 2, records.Customer("acme", rate_per_s=60, burst=60))
    fleet.add("d2v0", "d2")
    fleet.settle(20)
    fleet.net.is_cut = lambda one, other: (one == "d2v0") != (other == "d2v0")
    fleet.settle(5)
    assert sum(_take(fleet, "d2v0") for _ in range(40)) >= 60 / 3 / 2 - 1
