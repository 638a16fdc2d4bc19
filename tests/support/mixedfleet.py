"""A fleet of VMs that run all services of the request path in one process.

The tests advance the clock and run the work that threads would do.
"""

from collections.abc import Callable, Iterator
import contextlib
from typing import Any

from bench import limitfakes
from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import pageeditor
from bulrushdeald import pages
from bulrushdeald import services
from support import limitoracle
from support import mixedupstreams
from support import mixedvm


class Fleet:
    """All VMs, the fakes that they share, and an oracle for each customer.

    Attributes:
        world: The true time, in seconds.
        clock: The same, under the name that `BatchMachine` uses.
        keyvalue: The platform's key-value service.
        net: The network between the VMs.
        network: The same, under the name that `BatchMachine` uses.
        upstreams: All upstreams.
        events: The usage events that the VMs recorded.
        listed: The VMs that the platform lists, by name.
        domains: The failure domain of each VM, also of lost ones.
        cut_domains: The failure domains that the others cannot reach.
        customers_by_key: The customer of each API key, the newest key last.
        vms: The VMs that run or are paused, by name.
        buckets: The limits' oracle of each customer.
        active: The VM that is serving a request or running batch items.
    """

    def __init__(self, rows: tuple[records.Customer, ...]) -> None:
        self.world = limitfakes.World()
        self.world.on_sleep = self._run_limits
        self.clock = self.world
        self.keyvalue = mixedvm.KeyValue()
        self.network = self.net = mixedvm.Net()
        self.net.is_cut = self._is_cut
        self.upstreams = mixedupstreams.EchoUpstreams()
        self.events: list[services.UsageEvent] = []
        self.listed: dict[str, records.Vm] = {}
        self.domains: dict[str, str] = {}
        self.cut_domains: set[str] = set()
        self.customers_by_key: dict[str, str] = {}
        self.vms: dict[str, mixedvm.MixedVm] = {}
        self.buckets = {
            row.customer: limitoracle.Bucket(row, self.world.now_s)
            for row in rows
        }
        self.active: mixedvm.MixedVm | None = None
        self._incarnations = 0

    @contextlib.contextmanager
    def activate(self, vm: mixedvm.MixedVm) -> Iterator[None]:
        """Marks a VM as active while it may wait for an upstream."""
        previous, self.active = self.active, vm
        try:
            yield
        finally:
            self.active = previous

    def secrets_of(self, customer: str) -> list[str]:
        """Returns a customer's API keys, the newest last."""
        return [
            key
            for key, owner in self.customers_by_key.items()
            if owner == customer
        ]

    def _is_cut(self, sender: str, receiver: str) -> bool:
        if sender not in self.vms:
            return True
        domains = {self.domains[sender], self.domains[receiver]}
        return len(domains) > 1 and bool(domains & self.cut_domains)

    def _run_limits(self) -> None:
        for vm in self.awake():
            vm.limits.run_urgent_tasks()

    def add(self, name: str, domain: str, folder: str) -> mixedvm.MixedVm:
        """Starts and lists a VM.

        If the VM already runs, its process is stopped gracefully first and
        the new one takes its place.

        Args:
            name: The VM.
            domain: Its failure domain.
            folder: The folder of its disk; empty if it has none.
        """
        if name in self.vms:
            self.vms[name].limits.stop(1.0)
            self.vms[name].intents.stop(1.0)
            self.lose(name)
        self._incarnations += 1
        row = records.Vm(
            name, domain, "entry", f"{name}:1", "live", bool(folder)
        )
        self.domains[name] = domain
        self.listed[name] = row
        vm = mixedvm.MixedVm(self, row, f"run{self._incarnations}", folder)
        vm.platform.is_cut = domain in self.cut_domains
        self.vms[name] = vm
        return vm

    def lose(self, name: str) -> None:
        """Ends a VM without warning; the platform still lists it."""
        vm = self.vms.pop(name)
        vm.platform.is_cut = True
        vm.close()
        self.net.handlers.pop(name)
        self.net.paused.discard(name)
        self.net.queued.pop(name, None)
        self.update_buckets()

    def awake(self) -> list[mixedvm.MixedVm]:
        """Returns the VMs that are not paused."""
        paused = self.net.paused
        return [vm for name, vm in self.vms.items() if name not in paused]

    def update_buckets(self) -> None:
        """Updates the buckets with the rows that are stored or in force."""
        for customer, bucket in self.buckets.items():
            key = pages.customer_key(customer)
            entry = self.keyvalue.entries.get(key)
            page = pages.decode(entry.value) if entry else pages.Page()
            rows = [row for row in page.customers if row.customer == customer]
            for vm in self.vms.values():
                row = vm.config.customer(customer)
                rows += [row] if row else []
            if rows:
                bucket.allow(rows, self.world.now_s)

    def new_key(self, customer: str) -> records.Key:
        """Makes an API key; the caller has to store it."""
        secret = f"secret-{len(self.upstreams.secrets)}-"
        self.upstreams.secrets.append(secret)
        self.customers_by_key[secret] = customer
        return records.Key(config.hash_key(secret), customer, "")

    def store_pages(self, rows: tuple[records.Customer, ...]) -> None:
        """Stores the upstreams and the customers, each with one API key."""
        stored = {"config/upstreams": pages.Page(upstreams=mixedupstreams.ROWS)}
        for row in rows:
            name = pages.customer_key(row.customer)
            page = stored.get(name, pages.Page())
            keys = (*page.keys, self.new_key(row.customer))
            stored[name] = pages.Page((*page.customers, row), keys)
        for name, page in stored.items():
            self.keyvalue.put(name, pages.encode(page), 0)

    def edit(
        self, vm: mixedvm.MixedVm, customer: str, rewrite: pageeditor.Rewrite
    ) -> str:
        """Edits a customer's configuration page from a VM.

        Returns:
            `ok`, or the kind of the error.
        """
        key = pages.customer_key(customer)
        edited = pageeditor.Editor(vm.keyvalue, vm.config).edit(key, rewrite)
        self.update_buckets()
        return "ok" if edited.is_ok() else edited.unwrap_err().kind

    def run(self, rounds: int) -> None:
        """Runs each VM's due work in rounds of one second each."""
        for _ in range(rounds):
            for vm in self.awake():
                vm.tend()
            for vm in self.awake():
                self.run_unless_lost(vm, vm.work)
            self._run_limits()
            self.world.now_s += 1.0

    def heal(self) -> None:
        """Ends all faults, except that paused VMs stay paused."""
        self.upstreams.faults = []
        self.upstreams.in_flight_action = self.keyvalue.in_flight_action = None
        self.upstreams.leaving.clear()
        self.keyvalue.has_outage = False
        self.keyvalue.lose_answers = 0
        self.net.lose_next_answers = self.net.lose_next_messages = 0
        self.net.delay_next_messages = 0
        self.cut_domains.clear()
        for vm in self.vms.values():
            vm.platform.is_cut = False

    def run_unless_lost(
        self, vm: mixedvm.MixedVm, action: Callable[[], Any]
    ) -> None:
        """Runs a VM's action unless the VM is lost, before or during it."""
        with contextlib.suppress(mixedupstreams.VmLostError):
            if self.vms.get(vm.name) is vm:
                action()

    def unlist_dead(self) -> None:
        """Removes the lost VMs from the platform's list."""
        for name in set(self.listed) - set(self.vms):
            del self.listed[name]

    def repair(self) -> None:
        """Lets the stores detect lost VMs and copy objects again."""
        self.unlist_dead()
        for _ in range(2):
            for vm in self.awake():
                if vm.repair is not None:
                    vm.repair.tick()
            self.world.now_s += 31.0
