"""A fleet of VMs with all services of the path; time moves by hand."""

from collections.abc import Callable, Iterator
import contextlib
from typing import Any

from bench import limitfakes
from bulrushdeal import records
from bulrushdeald import config
from bulrushdeald import edits
from bulrushdeald import pages
from bulrushdeald import services
from support import limitoracle
from support import mixedupstreams
from support import mixedvm


class Fleet:
    """All VMs, what they share, and one bucket for each customer."""

    def __init__(self, rows: tuple[records.Customer, ...]) -> None:
        self.world = limitfakes.World()
        self.world.on_sleep = self._collect
        self.clock = self.world
        self.keyvalue = mixedvm.KeyValue()
        self.network = self.net = mixedvm.Net()
        self.net.is_cut = self._is_cut
        self.upstreams = mixedupstreams.EchoUpstreams()
        self.events: list[services.UsageEvent] = []
        self.listed: dict[str, records.Vm] = {}
        self.domains: dict[str, str] = {}
        self.cut: set[str] = set()
        self.keys: dict[str, str] = {}
        self.vms: dict[str, mixedvm.MixedVm] = {}
        self.buckets = {
            row.customer: limitoracle.Bucket(row, self.world.now_s)
            for row in rows
        }
        # Whose request or item is at an upstream.
        self.active: mixedvm.MixedVm | None = None
        self._runs = 0

    @contextlib.contextmanager
    def acting(self, vm: mixedvm.MixedVm) -> Iterator[None]:
        """Notes whose request may be at an upstream."""
        outer, self.active = self.active, vm
        try:
            yield
        finally:
            self.active = outer

    def secrets_of(self, customer: str) -> list[str]:
        """Returns a customer's keys, the newest last."""
        return [key for key, owner in self.keys.items() if owner == customer]

    def _is_cut(self, one: str, other: str) -> bool:
        if one not in self.vms:
            return True
        ends = {self.domains[one], self.domains[other]}
        return len(ends) > 1 and bool(ends & self.cut)

    def _collect(self) -> None:
        for vm in self.awake():
            vm.limits.work()

    def add(self, name: str, domain: str, folder: str) -> mixedvm.MixedVm:
        """Starts and lists a VM, or the VM's next process."""
        if name in self.vms:
            self.vms[name].limits.stop(1.0)
            self.vms[name].intents.stop(1.0)
            self.lose(name)
        self._runs += 1
        row = records.Vm(
            name, domain, "entry", f"{name}:1", "live", bool(folder)
        )
        self.domains[name] = domain
        self.listed[name] = row
        vm = mixedvm.MixedVm(self, row, f"run{self._runs}", folder)
        vm.platform.is_cut = domain in self.cut
        self.vms[name] = vm
        return vm

    def lose(self, name: str) -> None:
        """Ends a VM without warning; the platform lists it for now."""
        vm = self.vms.pop(name)
        vm.platform.is_cut = True
        vm.close()
        self.net.handlers.pop(name)
        self.net.paused.discard(name)
        self.net.queued.pop(name, None)
        self.allow()

    def awake(self) -> list[mixedvm.MixedVm]:
        """Returns the VMs that run and are not paused."""
        paused = self.net.paused
        return [vm for name, vm in self.vms.items() if name not in paused]

    def allow(self) -> None:
        """Tells the buckets which rows are in force somewhere."""
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
        """Makes a key, which is still to be stored."""
        secret = f"secret-{len(self.upstreams.secrets)}-"
        self.upstreams.secrets.append(secret)
        self.keys[secret] = customer
        return records.Key(config.hash_key(secret), customer, "")

    def store_pages(self, rows: tuple[records.Customer, ...]) -> None:
        """Stores the upstreams, and the customers with a key each."""
        stored = {"config/upstreams": pages.Page(upstreams=mixedupstreams.ROWS)}
        for row in rows:
            name = pages.customer_key(row.customer)
            page = stored.get(name, pages.Page())
            keys = (*page.keys, self.new_key(row.customer))
            stored[name] = pages.Page((*page.customers, row), keys)
        for name, page in stored.items():
            self.keyvalue.put(name, pages.encode(page), 0)

    def edit(
        self, vm: mixedvm.MixedVm, customer: str, rewrite: edits.Rewrite
    ) -> str:
        """Edits a customer's page; returns `ok` or the error's kind."""
        key = pages.customer_key(customer)
        edited = edits.Editor(vm.keyvalue, vm.config).edit(key, rewrite)
        self.allow()
        return "ok" if edited.is_ok() else edited.unwrap_err().kind

    def run(self, rounds: int) -> None:
        """Lets seconds pass, in which each VM does what is due."""
        for _ in range(rounds):
            for vm in self.awake():
                vm.tend()
            for vm in self.awake():
                self.act(vm, vm.work)
            self._collect()
            self.world.now_s += 1.0

    def heal(self) -> None:
        """Ends all that fails, but for VMs that are paused."""
        self.upstreams.faults = []
        self.upstreams.meanwhile = self.keyvalue.meanwhile = None
        self.upstreams.leaving.clear()
        self.keyvalue.has_outage = False
        self.keyvalue.lose_answers = 0
        self.net.lose_next_answers = self.net.lose_next_messages = 0
        self.net.delay_next_messages = 0
        self.cut.clear()
        for vm in self.vms.values():
            vm.platform.is_cut = False

    def act(self, vm: mixedvm.MixedVm, action: Callable[[], Any]) -> None:
        """Lets a VM do something, unless it is lost."""
        with contextlib.suppress(mixedupstreams.VmLostError):
            if self.vms.get(vm.name) is vm:
                action()

    def unlist_dead(self) -> None:
        """The platform's list catches up."""
        for name in set(self.listed) - set(self.vms):
            del self.listed[name]

    def repair(self) -> None:
        """Lets the stores notice who is gone, and copy."""
        self.unlist_dead()
        for _ in range(2):
            for vm in self.awake():
                if vm.repair is not None:
                    vm.repair.tick()
            self.world.now_s += 31.0
