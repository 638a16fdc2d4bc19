"""A failure domain that is cut off, and what its age is worth.

Story: a domain is cut off from the platform and from all others. An
operator withdraws a key. Inside the cut the key goes on working; whether
that is wanted is the operators' setting, and a VM must not believe that it
is up to date only because it hears from a neighbour that is cut off too.
"""

import pytest

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import edits
from bulrushdeald import pages
from bulrushdeald import rewrites
from support import controlplane
from support import fakes
from support import platformfakes

VMS = ("a", "b", "c")
CUSTOMER = "kamau"
MAX_AGE_S = 30.0


class Domains:
    """Three VMs; `b` and `c` can be cut off together."""

    def __init__(self, max_age_s: float) -> None:
        self.store = platformfakes.Store()
        self.network = platformfakes.Network()
        self.clock = clock_lib.FakeClock()
        rows = [records.Vm(vm, vm, "entry", "x:1") for vm in VMS]
        self.clients = {vm: platformfakes.StoreClient(self.store) for vm in VMS}
        self.configs = {}
        key = records.Key(config.hash_key("secret"), CUSTOMER, "")
        page = pages.Page((records.Customer(CUSTOMER),), (key,))
        at = pages.customer_key(CUSTOMER)
        self.clients["a"].put(at, pages.encode(page), 0).unwrap()
        for vm in VMS:
            made = config.ConfigService(
                platformfakes.kernel(
                    keyvalue=self.clients[vm],
                    membership=platformfakes.FixedMembership(vm, rows),
                    peers=fakes.Peers(self.network, vm),
                ),
                controlplane.settings("x:1", config_max_age_s=max_age_s),
                self.clock,
                pool=platformfakes.InlineExecutor(),
            )
            made.attach()
            assert made.feed.read_all()
            self.configs[vm] = made

    def cut(self) -> None:
        for vm in ("b", "c"):
            self.clients[vm].is_cut = True
            self.network.cuts.add(frozenset(("a", vm)))

    def withdraw(self) -> None:
        at = pages.customer_key(CUSTOMER)
        entry = self.clients["a"].get(at).unwrap()
        stored = pages.decode(entry.value)
        gone = tuple(key._replace(withdrawn=True) for key in stored.keys)
        value = pages.encode(stored._replace(keys=gone))
        self.clients["a"].put(at, value, entry.revision).unwrap()
        assert self.configs["a"].watch(0.0)

    def serves(self, vm: str) -> bool:
        return self.configs[vm].authenticate("secret").is_ok()


@pytest.mark.parametrize("max_age_s", [0.0, MAX_AGE_S])
def test_a_cut_off_domain_serves_on_as_long_as_it_may(max_age_s: float) -> None:
    domains = Domains(max_age_s)
    domains.cut()
    domains.withdraw()
    assert not domains.serves("a")
    for _ in range(int(MAX_AGE_S)):
        domains.clock.now_s += 1.0
        # The two hear from each other all the time, and it proves nothing.
        domains.configs["b"].gossip.compare("c")
        domains.configs["c"].gossip.compare("b")
        assert domains.serves("b")
    domains.clock.now_s += 1.0
    assert domains.configs["b"].gossip.age_s() == MAX_AGE_S + 1
    assert domains.serves("b") == (max_age_s == 0.0)
    # The cut heals towards one neighbour that hears from the platform.
    domains.network.cuts.clear()
    assert domains.configs["a"].watch(0.0)
    assert domains.configs["b"].gossip.compare("a")
    assert domains.configs["b"].gossip.age_s() == 0.0
    error = domains.configs["b"].authenticate("secret").unwrap_err()
    assert error.kind == "unknown_key"


def test_an_edit_is_pushed_by_the_vm_that_made_it() -> None:
    """The editing VM is its domain's only watcher.

    Its own watch told it nothing new, so nobody pushed the edit on, and the
    others heard of it only by comparing.
    """
    domains = Domains(0.0)
    for vm in ("b", "c"):
        domains.clients[vm].is_cut = True
    editor = edits.Editor(domains.clients["a"], domains.configs["a"])
    row = records.Customer(CUSTOMER, burst=3.0)
    at = pages.customer_key(CUSTOMER)
    editor.edit(at, rewrites.put_customer(row, None)).unwrap()
    assert domains.configs["b"].customer(CUSTOMER) == row
    assert domains.configs["c"].customer(CUSTOMER) == row


def test_open_streams_hear_of_a_withdrawal() -> None:
    """A caller is still connected when its key is withdrawn."""
    domains = Domains(0.0)
    heard: list[bool] = []
    made = domains.configs["c"]
    key_hash = config.hash_key("secret")

    def fail() -> None:
        raise ValueError("a callback that fails must not stop the others")

    made.on_change(fail)
    made.on_change(lambda: heard.append(made.is_withdrawn(key_hash)))
    domains.withdraw()
    assert heard[-1]


def test_only_two_vms_of_a_domain_watch_unless_nobody_is_heard() -> None:
    rows = [records.Vm(vm, "d", "entry", "x:1") for vm in "abcde"]
    network, clock = platformfakes.Network(), clock_lib.FakeClock()
    found = {}
    for row in rows:
        made = config.ConfigService(
            platformfakes.kernel(
                keyvalue=platformfakes.StoreClient(platformfakes.Store()),
                membership=platformfakes.FixedMembership(row.vm, rows),
                peers=fakes.Peers(network, row.vm),
            ),
            controlplane.settings("x:1"),
            clock,
        )
        made.attach()
        found[row.vm] = made
    watching = [vm for vm, made in found.items() if made.is_watcher()]
    assert len(watching) == 2
    clock.now_s += 10.0
    assert all(made.is_watcher() for made in found.values())
    other = next(vm for vm in found if vm not in watching)
    found[other].gossip.compare(watching[0])
    assert not found[other].is_watcher()
