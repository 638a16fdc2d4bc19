"""Tests the limits over several VMs connected by small fakes."""

from concurrent import futures
from typing import Any

import pytest
import result

from bench import limitfakes
from bulrushdeal import records
from bulrushdeald import creditclient
from bulrushdeald import limitrecords
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
    # Guards against refusing a customer whose burst is unused: its tokens are
    # spread over many parts, and an owner pauses its collections after asking
    # several parts without success.
    monkeypatch.setattr(limitrecords, "PAGES", 1)
    fleet = _fleet(
        domains, 1, records.Customer("acme", rate_per_s=2, burst=burst)
    )
    assert sum(_take(fleet, "d3v0") for _ in range(40)) == burst


def test_requests_that_share_a_message_are_each_admitted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a 429 for one of two simultaneous requests well within
    # the rate. Both shared one message to the owner, whose answer granted
    # tokens for one; the other was refused instead of asking again, because
    # it did not receive the message's reply.
    joined: list[str] = []
    add = creditclient.PendingAsk.add

    def add_and_note(
        self: creditclient.PendingAsk, customer: str, need: float, want: float
    ) -> None:
        add(self, customer, need, want)
        joined.append(customer)

    monkeypatch.setattr(creditclient.PendingAsk, "add", add_and_note)
    fleet = _fleet(2, 2, records.Customer("acme", rate_per_s=2, burst=6))
    page = limitrecords.from_bytes(
        fleet.keyvalue.entries[
            limitrecords.key_of(limitrecords.page_of("acme"))
        ].value
    )
    owners = {part.vm for part in page.parts}
    vm = next(name for name in ("d0v0", "d0v1") if name not in owners)
    with futures.ThreadPoolExecutor(2) as pool:
        others: list[futures.Future[bool]] = []

        def submit_two_more() -> None:
            others.extend(pool.submit(_take, fleet, vm) for _ in range(2))
            controlplane.wait_until(lambda: len(joined) == 3)

        fleet.net.in_flight = submit_two_more
        assert _take(fleet, vm)
        assert [other.result() for other in others] == [True, True]


def test_new_customer_has_its_burst_at_once() -> None:
    # Guards against a 429 for a new customer's first requests, well within
    # its rate and burst. Its buckets started empty, because an owner could not
    # distinguish a newly created row from one it had not seen before.
    row = records.Customer("acme", rate_per_s=2, burst=12)
    fleet = _fleet(3, 2)
    initial_tokens = fleet.nodes["d2v1"].limits.initial_tokens(row)
    for node in fleet.nodes.values():
        node.config.apply(row, initial_tokens)
    assert sum(_take(fleet, "d1v0") for _ in range(40)) == 12


def test_customer_created_before_its_limits_are_owned_has_its_burst() -> None:
    # As above while a fleet starts: the operators create the first customer
    # before any VM owns a part.
    row = records.Customer("acme", rate_per_s=2, burst=12)
    fleet = limitfakes.Fleet(())
    for domain in range(3):
        fleet.add(f"d{domain}v0", f"d{domain}")
    initial_tokens = fleet.nodes["d2v0"].limits.initial_tokens(row)
    for node in fleet.nodes.values():
        node.config.apply(row, initial_tokens)
    fleet.settle(2)
    assert sum(_take(fleet, "d1v0") for _ in range(40)) == 12


def test_vm_is_ready_when_its_part_of_each_page_is_owned() -> None:
    # Guards against refusing all callers of a VM while a fleet starts. The VM
    # reported ready as soon as it had read any record, though its failure
    # domain's part had no owner yet, and the load balancer sent it requests.
    fleet = limitfakes.Fleet(())
    fleet.add("d0v0", "d0")
    fleet.settle(1)
    second = fleet.add("d1v0", "d1").limits
    second.refresh()
    assert not second.is_ready()
    fleet.settle(1)
    assert second.is_ready()
    fleet.kill("d0v0")
    del fleet.listed["d0v0"]
    assert second.is_ready()


def test_vm_is_ready_after_a_while_if_nobody_can_own_its_part() -> None:
    # The platform is unavailable while a failure domain's only VM is replaced:
    # the part stays without an owner, and the VM must take tokens from the
    # other parts instead of never becoming ready.
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


def test_claim_that_loses_to_another_is_retried_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against VMs that refuse their callers for many seconds while a
    # fleet of 16 failure domains starts. All claim their parts of a page at the
    # same time, one write wins, and the others waited a second per attempt.
    fleet = limitfakes.Fleet(())
    for domain in range(2):
        fleet.add(f"d{domain}v0", f"d{domain}")
    put = limitfakes.MemoryKeyValue.put
    competitors = [fleet.nodes["d1v0"].limits]

    def put_late(*arguments: Any) -> Any:
        for other in competitors[:]:
            competitors.clear()
            other.refresh()
            other.run_maintenance()
        return put(*arguments)

    monkeypatch.setattr(limitfakes.MemoryKeyValue, "put", put_late)
    limits = fleet.nodes["d0v0"].limits
    limits.refresh()
    limits.run_maintenance()
    assert len(limits.dump().owned) == limitrecords.PAGES


def test_customer_created_while_a_part_is_claimed_is_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a customer, created just as a VM becomes the owner of its
    # part, that gets 429 there until the table is next edited. The rows were
    # read before the claim and given to the part after it, so the part missed
    # the change between the two.
    fleet = limitfakes.Fleet(())
    node = fleet.add("d0v0", "d0")
    put = limitfakes.MemoryKeyValue.put

    def put_late(*arguments: Any) -> Any:
        if not node.config.rows:
            node.config.apply(records.Customer("acme", rate_per_s=2, burst=12))
        return put(*arguments)

    monkeypatch.setattr(limitfakes.MemoryKeyValue, "put", put_late)
    fleet.settle(10)
    assert _take(fleet, "d0v0")


def test_refusal_says_when_to_retry() -> None:
    fleet = _fleet(2, 2, records.Customer("acme", rate_per_s=4, burst=4))
    while _take(fleet, "d0v0"):
        pass
    taken = fleet.nodes["d0v0"].limits.take("acme")
    assert isinstance(taken, result.Err)
    refusal = taken.err_value
    assert refusal.code == "rate_limited"
    assert refusal.ran == "not_run"
    assert 0 < refusal.retry_after_s <= 0.25


def test_vm_replaced_in_an_outage_reads_the_owners_from_a_peer() -> None:
    # Guards against a VM, started during an outage of the platform, that
    # refuses every request as unavailable until the outage ends, though the
    # other failure domain's owner has tokens. It had read no record, so it
    # had no owner to ask.
    fleet = _fleet(2, 2, records.Customer("acme", rate_per_s=4, burst=8))
    fleet.kill("d0v0")
    fleet.keyvalue.is_out = True
    fleet.add("d0v0", "d0")
    fleet.nodes["d0v0"].limits.refresh()
    assert _take(fleet, "d0v0")


def test_new_failure_domain_can_serve_alone_soon() -> None:
    # Guards against refusing all callers, within their rates, in a new failure
    # domain that is soon cut off from the others. Its fraction of the rows
    # started at zero and grew only after demand was measured.
    fleet = _fleet(2, 2, records.Customer("acme", rate_per_s=60, burst=60))
    fleet.add("d2v0", "d2")
    fleet.settle(20)
    fleet.net.is_cut = lambda one, other: (one == "d2v0") != (other == "d2v0")
    fleet.settle(5)
    assert sum(_take(fleet, "d2v0") for _ in range(40)) >= 60 / 3 / 2 - 1
