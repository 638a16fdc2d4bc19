"""Draws series of overlapping faults from a seed and injects them."""

from collections.abc import Callable, Iterable
import random
import signal
import threading
import time
from typing import NamedTuple

from soak import budget
from soak import crowding
from soak import fleet as fleet_lib
from soak import links
from soak import parts
from support import gatewayengine

_MIN_FAULT_S = 0.3
_MAX_FAULT_S = 4.0
_SLOWDOWN = 4.0
_SLOW_S = 1.0
# How long a burst of long prompts lasts before its leader is disturbed.
_BURST_LEAD_S = 0.5
# Crashes of engines in a burst, and the pause between them.
_BURST_CRASHES = 8
_BURST_PAUSE_S = 0.4
_BURST_EVENT_INTERVAL_S = 0.15
_ENDLESS_ANSWERS = 30
# Faults after which no VM need do in time what it has to.
_STORE_FAULTS = ("store", "forget", "replace", "swallow", "lapse")
# Answers that hang at each engine that is told so.
_HUNG_ANSWERS = 4
_HANG_INTERVAL_S = 2.0
# For how long an engine answers twice before it leaves.
_COPIES_S = 1.2
# The statuses of the answers that come twice.
_COPIED = frozenset({503, 500, 422})
# Longer than a claim lasts, with the time in which others see that it is gone.
_SLEEP_S = 6.0


class Fault(NamedTuple):
    """A fault to inject.

    Attributes:
        at_s: When it begins, in seconds since the start of the series.
        for_s: How long it lasts, in seconds.
        kind: A key of `GENERAL`, `CAPACITY`, `ANSWERS`, `POISON`, `NEWER`,
            `LIMITS`, `CLAIMS`, `HANGS`, `COPIES` or `CROWDS`.
        number: Selects the affected VM, link or upstream, and details of some
            kinds.
        how: The variant of the kind, from `_VARIANTS`; empty without variants.
    """

    at_s: float
    for_s: float
    kind: str
    number: int
    how: str


def draw(
    rng: random.Random, length_s: float, kinds: Iterable[str]
) -> list[Fault]:
    """Returns the faults of a series, ordered by the time they begin.

    Some begin in bursts, so that several overlap in every seed.

    Args:
        rng: The generator from which the faults are drawn.
        length_s: The period in which bursts begin, in seconds.
        kinds: The kinds of the faults.
    """
    names = sorted(kinds)
    faults: list[Fault] = []
    at_s = 1.0
    while at_s < length_s:
        for _ in range(rng.choice((1, 1, 2, 3))):
            kind = rng.choice(names)
            faults.append(
                Fault(
                    round(at_s + rng.uniform(0, 0.5), 2),
                    round(rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S), 2),
                    kind,
                    rng.randrange(100),
                    rng.choice(_VARIANTS.get(kind, ("",))),
                )
            )
        at_s += rng.uniform(0.5, 3.0)
    return sorted(faults)


def draw_newer(rng: random.Random, length_s: float) -> list[Fault]:
    """Returns one fault of each of the kinds in `NEWER`."""
    return [
        Fault(
            round(rng.uniform(0.5, length_s / 2), 2),
            round(rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S), 2),
            kind,
            rng.randrange(100),
            "",
        )
        for kind in sorted(NEWER)
    ]


def draw_hangs(rng: random.Random, length_s: float) -> list[Fault]:
    """Returns faults of the kind `hang`, each at an engine that goes on."""
    return [
        Fault(
            round(rng.uniform(0.5, length_s), 2),
            0.0,
            "hang",
            rng.randrange(100),
            "",
        )
        for _ in range(round(length_s / _HANG_INTERVAL_S))
    ]


def draw_copies(
    rng: random.Random, length_s: float, interval_s: float
) -> list[Fault]:
    """Returns faults of the kind `copy`, one for each interval."""
    return [
        Fault(
            round(rng.uniform(0.5, length_s), 2),
            _MAX_FAULT_S,
            "copy",
            rng.randrange(100),
            "",
        )
        for _ in range(round(length_s / interval_s))
    ]


def draw_crowds(rng: random.Random, length_s: float) -> list[Fault]:
    """Returns faults of the kind `crowd`; two of them may overlap."""
    return [
        Fault(
            round(rng.uniform(1.0, length_s), 2),
            round(rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S), 2),
            "crowd",
            rng.randrange(100),
            "",
        )
        for _ in range(2)
    ]


def draw_claims(rng: random.Random, length_s: float) -> list[Fault]:
    """Returns faults of each of the kinds in `CLAIMS`, each three times.

    Those of one kind may overlap.
    """
    return [
        Fault(
            round(rng.uniform(1.0, length_s), 2),
            _MAX_FAULT_S,
            kind,
            rng.randrange(100),
            "",
        )
        for kind in sorted(CLAIMS)
        for _ in range(3)
    ]


def draw_limits(rng: random.Random, length_s: float) -> list[Fault]:
    """Returns faults of each of the kinds in `LIMITS`, each twice.

    Two of a kind may fall into one window of a customer's rate.
    """
    return [
        Fault(
            round(rng.uniform(1.0, length_s), 2),
            round(rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S / 2), 2),
            kind,
            rng.randrange(100),
            "",
        )
        for kind in sorted(LIMITS)
        for _ in range(2)
    ]


def draw_poison(rng: random.Random, length_s: float) -> list[Fault]:
    """Returns one or two faults of the kind `poison`.

    More would leave the fleet without engines.
    """
    kinds = rng.sample(_VARIANTS["poison"], rng.choice((1, 2)))
    return [
        Fault(round(rng.uniform(1.0, length_s / 2), 2), 0.0, "poison", 0, kind)
        for kind in kinds
    ]


class Player:
    """Injects faults, each on its own thread.

    Attributes:
        revoked_s: When each withdrawn key was removed from the configuration,
            on the monotonic clock.
        disturbances: When processes and their links to upstreams were
            disturbed.
        losses: When VMs, any of their links or the store were disturbed, so
            that they may not do in time what they have to.
    """

    def __init__(self, fleet: fleet_lib.Fleet) -> None:
        self._fleet = fleet
        # One lock per VM: signals and restarts of one process must not
        # overlap, for example a kill by one thread and a pause by another.
        self._locks = {vm.name: threading.Lock() for vm in fleet.vms}
        self.revoked_s: dict[str, float] = {}
        self.disturbances: list[budget.Disturbance] = []
        self.losses: list[budget.Disturbance] = []

    def play(self, faults: list[Fault]) -> None:
        """Injects all faults and returns when the last one is over."""
        start_s = time.monotonic()
        threads = []
        for fault in faults:
            time.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
            self._restart_exited()
            thread = threading.Thread(target=self._run, args=(fault,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    def _restart_exited(self) -> None:
        for vm in self._fleet.vms:
            if self._locks[vm.name].acquire(blocking=False):
                try:
                    self._fleet.restart_if_exited(vm)
                finally:
                    self._locks[vm.name].release()

    def _run(self, fault: Fault) -> None:
        start_s = time.monotonic()
        _ALL[fault.kind](self, fault)
        vm = self._disturbed_vm(fault)
        if vm is not None:
            span = budget.Disturbance(vm, start_s, time.monotonic())
            self.disturbances.append(span)
        if vm is None and fault.kind == "cut":
            vm = self._target_vm(fault).name
        if vm is None and fault.kind == "crowd":
            vm = self._target_vm(fault).name
        if vm is None and fault.kind in _STORE_FAULTS:
            vm = ""
        if vm is not None:
            span = budget.Disturbance(vm, start_s, time.monotonic())
            self.losses.append(span)

    def _disturbed_vm(self, fault: Fault) -> str | None:
        """Returns the VM that a fault disturbs, `""` for all of them."""
        if fault.kind in ("crash", "bursts", "away"):
            return ""
        if fault.kind == "freeze":
            return self._fleet.limiter().name
        if fault.kind == "leader":
            return self._fleet.leader().name
        if fault.kind in ("stop", "pause", "link", "clock", "sleep"):
            return self._target_vm(fault).name
        return None

    def _target_vm(self, fault: Fault) -> fleet_lib.Vm:
        return self._fleet.vms[fault.number % len(self._fleet.vms)]

    def _restart(self, fault: Fault) -> None:
        self._restart_vm(self._target_vm(fault), fault)

    def _restart_vm(self, vm: fleet_lib.Vm, fault: Fault) -> None:
        with self._locks[vm.name]:
            if fault.how == "term":
                self._fleet.terminate(vm)
            else:
                self._fleet.kill(vm)
            time.sleep(fault.for_s / 4)
            self._fleet.start(vm)

    def _pause(self, fault: Fault) -> None:
        self._pause_vm(self._target_vm(fault), fault.for_s)

    def _pause_vm(self, vm: fleet_lib.Vm, for_s: float) -> None:
        with self._locks[vm.name]:
            assert vm.process is not None
            # A stop may follow the pause.
            self._fleet.wait_interpreter(vm)
            vm.process.send_signal(signal.SIGSTOP)
            time.sleep(for_s)
            vm.process.send_signal(signal.SIGCONT)

    def _reload(self, fault: Fault) -> None:
        vm = self._target_vm(fault)
        with self._locks[vm.name]:
            assert vm.process is not None
            self._fleet.wait_interpreter(vm)
            vm.process.send_signal(signal.SIGHUP)

    def _step_clock(self, fault: Fault) -> None:
        clock_file = self._fleet.clock_file(self._target_vm(fault))
        clock_file.write_text("3.0" if fault.number % 2 else "-3.0")
        time.sleep(fault.for_s)
        clock_file.write_text("0.0")

    def _disturb_link(self, fault: Fault) -> None:
        vm = self._target_vm(fault)
        candidates = [*vm.outgoing_links(), vm.front]
        link = candidates[fault.number % len(candidates)]
        _disturb([link], fault.how, fault.for_s)

    def _cut_vm(self, fault: Fault) -> None:
        vm = self._target_vm(fault)
        targets = [
            *vm.peers.values(),
            *(row.peers[vm.name] for row in self._fleet.vms if row is not vm),
        ]
        if fault.number % 2:
            targets.append(vm.store)
        _disturb(targets, fault.how, fault.for_s)

    def _disturb_store(self, fault: Fault) -> None:
        vms = self._fleet.vms
        if fault.number % 2:
            vms = [vm for vm in vms if (fault.number + len(vm.name)) % 2 == 0]
            vms = vms or [self._target_vm(fault)]
        for vm in vms:
            vm.store_server.fault = fault.how  # type: ignore[assignment]
        time.sleep(fault.for_s)
        for vm in vms:
            vm.store_server.fault = ""

    def _discard_history(self, fault: Fault) -> None:
        self._fleet.store.rows.forget_history()
        if fault.how == "lapse":
            self._fleet.store.end_all()

    def _crash_upstream(self, fault: Fault) -> None:
        upstream = self._target_upstream(fault)
        targets = self._fleet.links_to(upstream)
        for link in targets:
            link.mode = "silent" if fault.how == "dark" else "refuse"
            if fault.how != "dark":
                link.reset()
        time.sleep(fault.for_s)
        for link in targets:
            link.mode = "pass"

    def _replace_upstream(self, fault: Fault) -> None:
        upstream = self._target_upstream(fault)
        if fault.how == "drain":
            self._leave(upstream, fault.for_s)
            return
        self._fleet.unlist(upstream.name)
        self._fleet.replace(upstream)

    def _leave(self, upstream: fleet_lib.Upstream, for_s: float) -> None:
        """Has an engine drain for a while, unless it has left meanwhile."""
        if upstream in self._fleet.upstreams:
            self._fleet.list_upstream(upstream, "draining")
            time.sleep(for_s)
        self._fleet.unlist(upstream.name)
        self._fleet.replace(upstream)

    def _corrupt_answers(self, fault: Fault) -> None:
        upstream = self._target_upstream(fault)
        upstream.engine.faults += [
            gatewayengine.Fault(fault.how, fault.number % 8)
        ] * (1 + fault.number % 4)

    def _send_endless(self, fault: Fault) -> None:
        """Has an engine send bytes without end, to items as to streams."""
        upstream = self._target_upstream(fault)
        endless = gatewayengine.Fault("endless", fault.number % 8)
        upstream.engine.faults += [endless] * _ENDLESS_ANSWERS

    def _hang(self, fault: Fault) -> None:
        """Has an engine's streams pause for longer than they may."""
        upstream = self._target_upstream(fault)
        for number in range(_HUNG_ANSWERS):
            hung = gatewayengine.Fault("hang", 1 + number % 4)
            upstream.engine.faults.append(hung)

    def _send_copies(self, fault: Fault) -> None:
        """Has an engine first reject requests, say so twice, and then leave.

        What runs there by mistake goes on as it drains, and what was sent
        there goes elsewhere.
        """
        upstream = self._target_upstream(fault)
        engine = upstream.engine
        engine.copied, engine.rejects_first = _COPIED, True
        time.sleep(_COPIES_S)
        self._leave(upstream, fault.for_s)
        engine.copied, engine.rejects_first = frozenset(), False

    def _swallow_answers(self, fault: Fault) -> None:
        """Has a VM's changes made in the store, and none of them answered."""
        server = self._target_vm(fault).store_server
        server.fault = "swallow"
        time.sleep(fault.for_s)
        server.fault = ""

    def _sleep(self, fault: Fault) -> None:
        """Pauses a VM until others have taken over what it runs."""
        self._pause_vm(self._target_vm(fault), _SLEEP_S)

    def _end_leases(self, fault: Fault) -> None:
        """Ends all claims while those that have them go on."""
        del fault
        self._fleet.store.end_all()

    def _target_upstream(self, fault: Fault) -> fleet_lib.Upstream:
        upstreams = self._fleet.upstreams
        return upstreams[fault.number % len(upstreams)]

    def _restart_upstream(self, fault: Fault) -> None:
        self._fleet.restart_upstream(self._target_upstream(fault))

    def _slow_upstreams(self, fault: Fault) -> None:
        upstreams = self._fleet.upstreams
        count = max(1, len(upstreams) // 4)
        first = fault.number % len(upstreams)
        slow = (upstreams * 2)[first : first + count]
        for upstream in slow:
            upstream.capacity.slowdown = _SLOWDOWN
        time.sleep(_SLOW_S)
        for upstream in slow:
            upstream.capacity.slowdown = 1.0

    def _state_false_load(self, fault: Fault) -> None:
        upstream = self._target_upstream(fault)
        upstream.engine.load = fault.how
        time.sleep(fault.for_s)
        upstream.engine.load = ""

    def _disturb_leader(self, fault: Fault) -> None:
        self._fleet.long_prompts.set()
        time.sleep(_BURST_LEAD_S)
        leader = self._fleet.leader()
        if fault.how == "pause":
            self._pause_vm(leader, fault.for_s)
        else:
            self._restart_vm(leader, fault)
        self._fleet.long_prompts.clear()

    def _send_poison(self, fault: Fault) -> None:
        if fault.how == "batch":
            # Items never crash engines by themselves; they meet bursts.
            self._crash_in_bursts(fault)
            return
        self._fleet.poisons.add(f"poison {fault.how}".encode())

    def _crash_in_bursts(self, fault: Fault) -> None:
        """Crashes engines one after the other, under whatever they run.

        They are slow meanwhile, so that items meet several crashes.
        """
        upstreams = self._fleet.upstreams
        for upstream in upstreams:
            upstream.engine.pause_s = _BURST_EVENT_INTERVAL_S
        for number in range(_BURST_CRASHES):
            upstreams[(fault.number + number) % len(upstreams)].engine.crash()
            time.sleep(_BURST_PAUSE_S)
        for upstream in upstreams:
            upstream.engine.pause_s = self._fleet.event_interval_s

    def _send_deadly_part(self, fault: Fault) -> None:
        del fault
        self._fleet.deadly_parts.add(parts.BAD_PART)

    def _freeze_limiter(self, fault: Fault) -> None:
        """Pauses the VM that serves the customer beyond its rate."""
        self._pause_vm(self._fleet.limiter(), fault.for_s)

    def _start_while_away(self, fault: Fault) -> None:
        """Kills VMs, which start again while the store is away."""
        vms = self._fleet.vms[fault.number % 2 :: 2]
        for row in self._fleet.vms:
            row.store_server.fault = "busy"
        threads = [
            threading.Thread(target=self._restart_vm, args=(vm, fault))
            for vm in vms
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(fault.for_s)
        for row in self._fleet.vms:
            row.store_server.fault = ""

    def _press(self, fault: Fault) -> None:
        crowding.press(self._fleet, self._target_vm(fault), fault.for_s)

    def _surge(self, fault: Fault) -> None:
        self._fleet.surged_vm = self._target_vm(fault)
        time.sleep(fault.for_s)
        self._fleet.surged_vm = None

    def _withdraw_key(self, fault: Fault) -> None:
        if "key-1" in self.revoked_s:
            return
        if "key-1" not in self._fleet.keys["school"]:
            self._fleet.configure(school=["key-0", "key-1"])
            time.sleep(max(fault.for_s, 2.0))
        self._fleet.configure(school=["key-0"])
        self.revoked_s["key-1"] = time.monotonic()


def _disturb(targets: list[links.Link], how: str, for_s: float) -> None:
    """Disturbs links for a time, or their open connections once.

    Args:
        targets: The links.
        how: One of `_LINK_VARIANTS`.
        for_s: How long, in seconds; unused for `reset` and `strand`, which act
            once on the open connections.
    """
    if how == "reset":
        for link in targets:
            link.reset()
        return
    if how == "strand":
        for link in targets:
            link.stall_open()
        return
    for link in targets:
        if how == "delay":
            link.delay_s = 0.05
        else:
            link.mode = how  # type: ignore[assignment]
    time.sleep(for_s)
    for link in targets:
        link.delay_s = 0.0
        link.mode = "pass"


_LINK_VARIANTS = (
    "delay",
    "reset",
    "silent",
    "deaf",
    "mute",
    "refuse",
    "strand",
)
_VARIANTS = {
    "stop": ("term", "kill"),
    "link": _LINK_VARIANTS,
    "cut": ("silent", "deaf", "mute", "reset", "strand"),
    "store": ("busy", "silent", "lost", "slow"),
    "forget": ("", "lapse"),
    "crash": ("dark", "reset"),
    "replace": ("drain", "gone"),
    "lie": ("0,0,8,25", "99,99,8,800", "8,0,8,0", f"-1,{'9' * 18},8,x"),
    "leader": ("pause", "kill"),
    "poison": ("safe", "unsafe", "once", "resumed", "batch"),
    "answer": ("late", "mute", "error"),
    "spoil": ("cut", "part", "busy", "error", "other", "unsigned"),
}
GENERAL: dict[str, Callable[[Player, Fault], None]] = {
    "stop": Player._restart,
    "pause": Player._pause,
    "reload": Player._reload,
    "clock": Player._step_clock,
    "link": Player._disturb_link,
    "cut": Player._cut_vm,
    "store": Player._disturb_store,
    "forget": Player._discard_history,
    "crash": Player._crash_upstream,
    "replace": Player._replace_upstream,
    "spoil": Player._corrupt_answers,
    "keys": Player._withdraw_key,
}
# Faults of engines with a memory; they are drawn apart, so that the seeds that
# failed before still have the same faults of the other kinds.
CAPACITY: dict[str, Callable[[Player, Fault], None]] = {
    "restart": Player._restart_upstream,
    "slow": Player._slow_upstreams,
    "lie": Player._state_false_load,
    "leader": Player._disturb_leader,
}
# Engines that are silent for a while or answer 500, drawn apart as well.
ANSWERS: dict[str, Callable[[Player, Fault], None]] = {
    "answer": Player._corrupt_answers,
}
# Faults that came later, drawn apart for the same reason.
NEWER: dict[str, Callable[[Player, Fault], None]] = {
    "bursts": Player._crash_in_bursts,
    "endless": Player._send_endless,
    "part": Player._send_deadly_part,
    "surge": Player._surge,
}
# Requests that crash engines, drawn apart for the same reason.
POISON: dict[str, Callable[[Player, Fault], None]] = {
    "poison": Player._send_poison,
}
# Faults of the limits of customers, drawn apart for the same reason.
LIMITS: dict[str, Callable[[Player, Fault], None]] = {
    "away": Player._start_while_away,
    "freeze": Player._freeze_limiter,
}
# Claims and changes that their VMs cannot be sure of, drawn apart as well.
CLAIMS: dict[str, Callable[[Player, Fault], None]] = {
    "swallow": Player._swallow_answers,
    "lapse": Player._end_leases,
    "sleep": Player._sleep,
}
# Streams that hang while their engines go on, drawn apart for the same reason.
HANGS: dict[str, Callable[[Player, Fault], None]] = {
    "hang": Player._hang,
}
# Answers that come twice, drawn apart for the same reason.
COPIES: dict[str, Callable[[Player, Fault], None]] = {
    "copy": Player._send_copies,
}
# Clients that do not behave, drawn apart for the same reason.
CROWDS: dict[str, Callable[[Player, Fault], None]] = {
    "crowd": Player._press,
}
# Faults of upstreams alone, of which their VMs can end each run in time.
UPSTREAMS: dict[str, Callable[[Player, Fault], None]] = {
    "answer": Player._corrupt_answers,
    "spoil": Player._corrupt_answers,
    "replace": Player._replace_upstream,
    "bursts": Player._crash_in_bursts,
    "endless": Player._send_endless,
}
_ALL = (
    GENERAL
    | CAPACITY
    | ANSWERS
    | POISON
    | NEWER
    | LIMITS
    | CLAIMS
    | HANGS
    | COPIES
    | CROWDS
)
