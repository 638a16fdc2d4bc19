"""Tests of the limits over several VMs joined by small fakes."""

from concurrent import futures
from typing import Any

import pytest
import result

from bench import limitfakes
from bulrushdeal import records
from bulrushdeald import asker
from bulrushdeald import shares
from support import controlplane


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


def test_requests_that_share_a_message_are_each_admitted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Two teachers ask at the same moment, far inside their school's rate,
    # and one of them is refused with 429. Both requests went to the owner in
    # one message, its answer held tokens for one, and the other was told
    # "used up" though it could have asked again. Cause: a request that
    # shared a message never saw what the message brought.
    joined: list[str] = []
    add = asker.Round.add

    def count(
        self: asker.Round, customer: str, need: float, want: float
    ) -> None:
        add(self, customer, need, want)
        joined.append(customer)

    monkeypatch.setattr(asker.Round, "add", count)
    fleet = _fleet(2, 2, records.Customer("acme", rate_per_s=2, burst=6))
    page = shares.from_bytes(
        fleet.keyvalue.entries[shares.key_of(shares.page_of("acme"))].value
    )
    owners = {part.vm for part in page.parts}
    vm = next(name for name in ("d0v0", "d0v1") if name not in owners)
    with futures.ThreadPoolExecutor(2) as pool:
        others: list[futures.Future[bool]] = []

        def meanwhile() -> None:
            others.extend(pool.submit(_take, fleet, vm) for _ in range(2))
            controlplane.wait_until(lambda: len(joined) == 3)

        fleet.net.in_flight = meanwhile
        assert _take(fleet, vm)
        assert [other.result() for other in others] == [True, True]


def test_new_customer_has_its_burst_at_once() -> None:
    # A customer is created and its first requests, far inside its rate and
    # burst, are refused with 429. Cause: its buckets began empty, as an
    # owner could not tell a row that is new from one that is new to it.
    row = records.Customer("acme", rate_per_s=2, burst=12)
    fleet = _fleet(3, 2)
    opening = fleet.nodes["d2v1"].limits.opening(row)
    for node in fleet.nodes.values():
        node.config.apply(row, opening)
    assert sum(_take(fleet, "d1v0") for _ in range(40)) == 12


def test_customer_made_before_its_limits_are_owned_has_its_burst() -> None:
    # The same on the day a fleet starts: its operators make the first
    # customer before any VM has come to own a part.
    row = records.Customer("acme", rate_per_s=2, burst=12)
    fleet = limitfakes.Fleet(())
    for domain in range(3):
        fleet.add(f"d{domain}v0", f"d{domain}")
    opening = fleet.nodes["d2v0"].limits.opening(row)
    for node in fleet.nodes.values():
        node.config.apply(row, opening)
    fleet.settle(2)
    assert sum(_take(fleet, "d1v0") for _ in range(40)) == 12


def test_vm_is_ready_when_its_part_of_each_page_is_owned() -> None:
    # A fleet starts, the balancer sends callers to a VM at once, and all of
    # them are refused. Cause: it said that it was ready when it knew any
    # record, though nobody owned its failure domain's part yet.
    fleet = limitfakes.Fleet(())
    fleet.add("d0v0", "d0")
    fleet.settle(1)
    late = fleet.add("d1v0", "d1").limits
    late.refresh()
    assert not late.is_ready()
    fleet.settle(1)
    assert late.is_ready()
    fleet.kill("d0v0")
    del fleet.listed["d0v0"]
    assert late.is_ready()


def test_vm_is_ready_after_a_while_if_nobody_can_own_its_part() -> None:
    # The platform is out when a failure domain's only VM is replaced: its
    # part stays without an owner, and the others' have to do.
    fleet = _fleet(2, 1)
    fleet.nodes["d0v0"].limits.stop(0.0)
    fleet.kill("d0v0")
    fleet.nodes["d1v0"].limits.refresh()
    fleet.keyvalue.is_out = True
    replaced = fleet.add("d0v0", "d0").limits
    replaced.refresh()
    assert not replaced.is_ready()
    fleet.settle(6)
    assert replaced.is_ready()


def test_claim_that_meets_another_is_tried_again_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # A fleet of 16 failure domains starts, and some VMs refuse their callers
    # for many seconds. All claim their parts of a page in the same moment,
    # one of them wins the write, and the others waited a second each time.
    fleet = limitfakes.Fleet(())
    for domain in range(2):
        fleet.add(f"d{domain}v0", f"d{domain}")
    put = limitfakes.MemoryKeyValue.put
    meanwhile = [fleet.nodes["d1v0"].limits]

    def put_late(*arguments: Any) -> Any:
        for other in meanwhile[:]:
            meanwhile.clear()
            other.refresh()
            other.tend()
        return put(*arguments)

    monkeypatch.setattr(limitfakes.MemoryKeyValue, "put", put_late)
    limits = fleet.nodes["d0v0"].limits
    limits.refresh()
    limits.tend()
    assert len(limits.dump().owned) == shares.PAGES


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
