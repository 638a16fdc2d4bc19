"""Tests of the configuration in a failure domain that is cut off.

In a domain cut off from the platform and from all other domains, a key that
is withdrawn elsewhere continues to work. A setting limits for how long. A VM
must not count as up to date because it compares with a peer that is cut off
too.
"""

import pytest

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import pageeditor
from bulrushdeald import pageedits
from bulrushdeald import pages
from support import controlplane
from support import fakes
from support import platformfakes

VMS = ("a", "b", "c")
CUSTOMER = "kamau"
MAX_AGE_S = 30.0


class ConfigVms:
    """Three VMs in their own domains; `b` and `c` can be cut off together."""

    def __init__(self, max_age_s: float) -> None:
        self.store = platformfakes.Store()
        self.network = platformfakes.Network()
        self.clock = clock_lib.FakeClock()
        rows = [records.Vm(vm, vm, "entry", "x:1") for vm in VMS]
        self.clients = {vm: platformfakes.StoreClient(self.store) for vm in VMS}
        self.configs = {}
        key = records.Key(config.hash_key("secret"), CUSTOMER, "")
        page = pages.Page((records.Customer(CUSTOMER),), (key,))
        page_key = pages.customer_key(CUSTOMER)
        self.clients["a"].put(page_key, pages.encode(page), 0).unwrap()
        for vm in VMS:
            service = config.ConfigService(
                platformfakes.kernel(
                    keyvalue=self.clients[vm],
                    membership=platformfakes.FixedMembership(vm, rows),
                    peers=fakes.Peers(self.network, vm),
                ),
                controlplane.settings("x:1", config_max_age_s=max_age_s),
                self.clock,
                pool=platformfakes.InlineExecutor(),
            )
            service.attach()
            assert service.feed.read_all()
            self.configs[vm] = service

    def cut(self) -> None:
        for vm in ("b", "c"):
            self.clients[vm].is_cut = True
            self.network.cuts.add(frozenset(("a", vm)))

    def withdraw(self) -> None:
        page_key = pages.customer_key(CUSTOMER)
        entry = self.clients["a"].get(page_key).unwrap()
        stored = pages.decode(entry.value)
        gone = tuple(key._replace(withdrawn=True) for key in stored.keys)
        value = pages.encode(stored._replace(keys=gone))
        self.clients["a"].put(page_key, value, entry.revision).unwrap()
        assert self.configs["a"].watch(0.0)

    def serves(self, vm: str) -> bool:
        return self.configs[vm].authenticate("secret").is_ok()


@pytest.mark.parametrize("max_age_s", [0.0, MAX_AGE_S])
def test_cut_off_domain_serves_up_to_the_maximum_age(max_age_s: float) -> None:
    vms = ConfigVms(max_age_s)
    vms.cut()
    vms.withdraw()
    assert not vms.serves("a")
    for _ in range(int(MAX_AGE_S)):
        vms.clock.now_s += 1.0
        # Comparing with each other does not make them up to date.
        vms.configs["b"].gossip.compare("c")
        vms.configs["c"].gossip.compare("b")
        assert vms.serves("b")
    vms.clock.now_s += 1.0
    assert vms.configs["b"].gossip.age_s() == MAX_AGE_S + 1
    assert vms.serves("b") == (max_age_s == 0.0)
    # They can reach a peer again that has read from the platform.
    vms.network.cuts.clear()
    assert vms.configs["a"].watch(0.0)
    assert vms.configs["b"].gossip.compare("a")
    assert vms.configs["b"].gossip.age_s() == 0.0
    error = vms.configs["b"].authenticate("secret").unwrap_err()
    assert error.kind == "unknown_key"


def test_editing_vm_pushes_its_edit() -> None:
    """The editing VM is its domain's only watcher.

    Its watch returns nothing new after its own edit. If it did not push the
    edit itself, its peers would receive it only by comparing.
    """
    vms = ConfigVms(0.0)
    for vm in ("b", "c"):
        vms.clients[vm].is_cut = True
    editor = pageeditor.Editor(vms.clients["a"], vms.configs["a"])
    row = records.Customer(CUSTOMER, burst=3.0)
    page_key = pages.customer_key(CUSTOMER)
    editor.edit(page_key, pageedits.put_customer(row, None)).unwrap()
    assert vms.configs["b"].customer(CUSTOMER) == row
    assert vms.configs["c"].customer(CUSTOMER) == row


def test_withdrawal_runs_all_callbacks() -> None:
    """Callbacks run on a withdrawal, even if another callback fails.

    The open streams of a withdrawn key are ended by such a callback.
    """
    vms = ConfigVms(0.0)
    withdrawn_seen: list[bool] = []
    service = vms.configs["c"]
    key_hash = config.hash_key("secret")

    def fail() -> None:
        raise ValueError("a callback that fails must not stop the others")

    service.on_change(fail)
    service.on_change(
        lambda: withdrawn_seen.append(service.is_withdrawn(key_hash))
    )
    vms.withdraw()
    assert withdrawn_seen[-1]


def test_two_vms_of_a_domain_watch_unless_peers_are_silent() -> None:
    rows = [records.Vm(vm, "d", "entry", "x:1") for vm in "abcde"]
    network, clock = platformfakes.Network(), clock_lib.FakeClock()
    services = {}
    for row in rows:
        service = config.ConfigService(
            platformfakes.kernel(
                keyvalue=platformfakes.StoreClient(platformfakes.Store()),
                membership=platformfakes.FixedMembership(row.vm, rows),
                peers=fakes.Peers(network, row.vm),
            ),
            controlplane.settings("x:1"),
            clock,
        )
        service.attach()
        services[row.vm] = service
    watching = [vm for vm, service in services.items() if service.is_watcher()]
    assert len(watching) == 2
    clock.now_s += 10.0
    assert all(service.is_watcher() for service in services.values())
    other = next(vm for vm in services if vm not in watching)
    services[other].gossip.compare(watching[0])
    assert not services[other].is_watcher()
