"""Faults drawn from a seed, in series that overlap."""

from collections.abc import Callable
import random
import signal
import threading
import time
from typing import NamedTuple

from soak import fleet as fleet_lib
from soak import links
from support import gatewayengine

_SHORTEST_S = 0.3
_LONGEST_S = 4.0
_INTERPRETER_S = 0.1


class Fault(NamedTuple):
    """What happens, when, for how long and to whom."""

    at_s: float
    for_s: float
    kind: str
    number: int
    how: str


def draw(rng: random.Random, length_s: float) -> list[Fault]:
    """Returns the faults of a seed, in the order of their times.

    Some come in bursts, so that several overlap in every seed.
    """
    faults: list[Fault] = []
    at_s = 1.0
    while at_s < length_s:
        for _ in range(rng.choice((1, 1, 2, 3))):
            kind = rng.choice(sorted(_ACTIONS))
            faults.append(
                Fault(
                    round(at_s + rng.uniform(0, 0.5), 2),
                    round(rng.uniform(_SHORTEST_S, _LONGEST_S), 2),
                    kind,
                    rng.randrange(100),
                    rng.choice(_HOWS.get(kind, ("",))),
                )
            )
        at_s += rng.uniform(0.5, 3.0)
    return sorted(faults)


class Player:
    """Plays faults, each on a thread of its own."""

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        # One process is not killed and paused at the same moment by two
        # threads; series on one process come one after the other.
        self._locks = {vm.name: threading.Lock() for vm in fleet.vms}
        self.revoked_s: dict[str, float] = {}

    def play(self, faults: list[Fault]) -> None:
        """Plays all and returns when the last one is over."""
        begun_s = time.monotonic()
        threads = []
        for fault in faults:
            time.sleep(max(0.0, begun_s + fault.at_s - time.monotonic()))
            self._note_ends()
            thread = threading.Thread(target=self._run, args=(fault,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _note_ends(self) -> None:
        for vm in self._fleet.vms:
            if self._locks[vm.name].acquire(blocking=False):
                try:
                    self._fleet.note_end(vm)
                finally:
                    self._locks[vm.name].release()

    def _run(self, fault: Fault) -> None:
        _ACTIONS[fault.kind](self, fault)

    def _vm(self, fault: Fault) -> fleet_lib.Vm:
        return self._fleet.vms[fault.number % len(self._fleet.vms)]

    def _stop(self, fault: Fault) -> None:
        vm = self._vm(fault)
        with self._locks[vm.name]:
            if fault.how == "term":
                self._fleet.terminate(vm)
            else:
                self._fleet.kill(vm)
            time.sleep(fault.for_s / 4)
            self._fleet.start(vm)

    def _pause(self, fault: Fault) -> None:
        vm = self._vm(fault)
        with self._locks[vm.name]:
            assert vm.process is not None
            vm.process.send_signal(signal.SIGSTOP)
            time.sleep(fault.for_s)
            vm.process.send_signal(signal.SIGCONT)

    def _reload(self, fault: Fault) -> None:
        vm = self._vm(fault)
        with self._locks[vm.name]:
            assert vm.process is not None
            # No program can catch a signal before its first line runs.
            age_s = time.monotonic() - vm.started_s
            time.sleep(max(0.0, _INTERPRETER_S - age_s))
            vm.process.send_signal(signal.SIGHUP)

    def _step_clock(self, fault: Fault) -> None:
        clock = self._fleet.clock(self._vm(fault))
        clock.write_text("3.0" if fault.number % 2 else "-3.0")
        time.sleep(fault.for_s)
        clock.write_text("0.0")

    def _trouble_link(self, fault: Fault) -> None:
        vm = self._vm(fault)
        chosen = [*vm.all_links(), vm.front]
        link = chosen[fault.number % len(chosen)]
        _trouble([link], fault.how, fault.for_s)

    def _cut_vm(self, fault: Fault) -> None:
        vm = self._vm(fault)
        ways = [
            *vm.peers.values(),
            *(row.peers[vm.name] for row in self._fleet.vms if row is not vm),
        ]
        if fault.number % 2:
            ways.append(vm.store)
        _trouble(ways, fault.how, fault.for_s)

    def _trouble_store(self, fault: Fault) -> None:
        vms = self._fleet.vms
        if fault.number % 2:
            vms = [vm for vm in vms if (fault.number + len(vm.name)) % 2 == 0]
            vms = vms or [self._vm(fault)]
        for vm in vms:
            vm.face.trouble = fault.how  # type: ignore[assignment]
        time.sleep(fault.for_s)
        for vm in vms:
            vm.face.trouble = ""

    def _forget(self, fault: Fault) -> None:
        self._fleet.store.rows.forget_history()
        if fault.how == "lapse":
            self._fleet.store.lapse()

    def _crash_upstream(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        ways = [
            vm.upstreams[upstream.name]
            for vm in self._fleet.vms
            if upstream.name in vm.upstreams
        ]
        for link in ways:
            link.mode = "silent" if fault.how == "dark" else "refuse"
            if fault.how != "dark":
                link.reset()
        time.sleep(fault.for_s)
        for link in ways:
            link.mode = "pass"

    def _replace_upstream(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        if fault.how == "drain":
            self._fleet.list_upstream(upstream, "draining")
            time.sleep(fault.for_s)
        self._fleet.unlist(upstream.name)
        self._fleet.replace(upstream)

    def _spoil_answers(self, fault: Fault) -> None:
        upstream = self._upstream(fault)
        upstream.engine.faults += [
            gatewayengine.Fault(fault.how, fault.number % 8)
        ] * (1 + fault.number % 4)

    def _upstream(self, fault: Fault) -> fleet_lib.Upstream:
        upstreams = self._fleet.upstreams
        return upstreams[fault.number % len(upstreams)]

    def _change_keys(self, fault: Fault) -> None:
        if "key-1" in self.revoked_s:
            return
        if "key-1" not in self._fleet.keys["school"]:
            self._fleet.configure(school=["key-0", "key-1"])
            time.sleep(max(fault.for_s, 2.0))
        self._fleet.configure(school=["key-0"])
        self.revoked_s["key-1"] = time.monotonic()


def _trouble(ways: list[links.Link], how: str, for_s: float) -> None:
    if how == "reset":
        for link in ways:
            link.reset()
        return
    if how == "strand":
        for link in ways:
            link.strand()
        return
    for link in ways:
        if how == "delay":
            link.delay_s = 0.05
        else:
            link.mode = how  # type: ignore[assignment]
    time.sleep(for_s)
    for link in ways:
        link.delay_s = 0.0
        link.mode = "pass"


_LINK_HOWS = ("delay", "reset", "silent", "deaf", "mute", "refuse", "strand")
_HOWS = {
    "stop": ("term", "kill"),
    "link": _LINK_HOWS,
    "cut": ("silent", "deaf", "mute", "reset", "strand"),
    "store": ("busy", "silent", "lost", "slow"),
    "forget": ("", "lapse"),
    "crash": ("dark", "reset"),
    "replace": ("drain", "gone"),
    "spoil": ("cut", "part", "busy", "error", "other", "unsigned"),
}
_ACTIONS: dict[str, Callable[[Player, Fault], None]] = {
    "stop": Player._stop,
    "pause": Player._pause,
    "reload": Player._reload,
    "clock": Player._step_clock,
    "link": Player._trouble_link,
    "cut": Player._cut_vm,
    "store": Player._trouble_store,
    "forget": Player._forget,
    "crash": Player._crash_upstream,
    "replace": Player._replace_upstream,
    "spoil": Player._spoil_answers,
    "keys": Player._change_keys,
}
