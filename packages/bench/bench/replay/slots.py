"""Slots in a replay: what a VM asks the leader, and what it sends upstream."""

from collections.abc import Callable, Mapping, Sequence
import functools
from typing import NamedTuple

from bench.replay import engine as engine_lib
from bench.replay import loads
from bench.replay import timeline as timeline_lib
from gateway import records
from gateway.decisions import slotledger

# Between two of a VM's reports of what it runs, and two of the ledger's looks
# for VMs that are silent.
_REPORT_S = 1.0
_SERVICE = "llm"

OnTaken = Callable[[slotledger.Grant | slotledger.Refusal], None]
OnEngines = Callable[[tuple[str, ...]], None]


class Held(NamedTuple):
    """A run that has a slot.

    Attributes:
        row: As its VM reports it.
        vm: Whose it is.
        on_cut: Called when it has to give its slot up.
    """

    row: slotledger.ReportRow
    vm: str
    on_cut: Callable[[], None]


class Slots:
    """The leader's ledger and the engines, each a message away.

    Args:
        timeline: Where messages arrive.
        load: How long they take.
        ledger: What decides.
        engines: By the names that the ledger knows.
    """

    def __init__(
        self,
        timeline: timeline_lib.Timeline,
        load: loads.Load,
        ledger: slotledger.Ledger,
        engines: Mapping[str, engine_lib.Engine],
    ) -> None:
        self.timeline = timeline
        self.tokens_per_event = load.engines.tokens_per_event
        self._message_s = load.message_s
        self._ledger = ledger
        self._engines = engines
        self._held: dict[str, Held] = {}
        self._runs = 0
        ledger.set_engines(
            records.Upstream(
                name, _SERVICE, "", "", load.engines.slots, False, 0
            )
            for name in engines
        )
        timeline.after(_REPORT_S, self._report)

    def name(self, vm: str) -> str:
        """Returns a name for a run."""
        self._runs += 1
        return f"{vm}.{self._runs}"

    def take_online(
        self,
        run: str,
        vm: str,
        target_s: float,
        excluded: Sequence[str],
        on_taken: OnTaken,
    ) -> None:
        """Asks for a slot for an online request."""

        def decide() -> None:
            taken = self._ledger.take_online(
                run,
                vm,
                self.timeline.now_s,
                target_s=target_s,
                excluded=excluded,
            )
            if isinstance(taken, slotledger.Grant):
                for victim in taken.preempted:
                    self._later(functools.partial(self._cut, victim))
            self._later(lambda: on_taken(taken))

        self._later(decide)

    def take_batch(
        self,
        vm: str,
        asked: Sequence[slotledger.BatchRun],
        on_engines: OnEngines,
    ) -> None:
        """Asks for slots for batch items."""

        def decide() -> None:
            found = self._ledger.take_batch(vm, asked, self.timeline.now_s)
            self._later(lambda: on_engines(found))

        self._later(decide)

    def hold(self, run: str, held: Held) -> None:
        """Notes that a VM has a slot and can be asked to give it up."""
        self._held[run] = held

    def is_held(self, run: str) -> bool:
        """Tells whether a run still has its slot, as its VM knows it."""
        return run in self._held

    def release(self, run: str, outcome: slotledger.Outcome) -> None:
        """Gives a slot back."""
        if self._held.pop(run, None) is None:
            return
        self._later(
            lambda: self._ledger.release(
                run, self.timeline.now_s, outcome=outcome
            )
        )

    def send(
        self,
        run: str,
        instance: str,
        work: engine_lib.Work,
        on_busy: Callable[[], None],
    ) -> None:
        """Sends a request to an engine; its events take as long back."""
        upstream = self._engines[instance]
        delayed = work._replace(
            on_event=lambda: self._later(work.on_event),
            on_end=lambda: self._later(work.on_end),
        )

        def arrive() -> None:
            if not upstream.submit(run, delayed):
                self._later(on_busy)
                return
            load = slotledger.Load(instance, upstream.busy())
            self._later(
                lambda: self._ledger.record_load(load, self.timeline.now_s)
            )

        self._later(arrive)

    def cancel(self, run: str, instance: str) -> None:
        """Breaks a request off."""
        self._later(lambda: self._engines[instance].cancel(run))

    def _cut(self, run: str) -> None:
        held = self._held.get(run)
        if held is not None:
            held.on_cut()

    def _later(self, action: timeline_lib.Action) -> None:
        self.timeline.after(self._message_s, action)

    def _report(self) -> None:
        now_s = self.timeline.now_s
        by_vm: dict[str, list[slotledger.ReportRow]] = {}
        for held in self._held.values():
            by_vm.setdefault(held.vm, []).append(held.row)
        for vm, rows in by_vm.items():
            self._ledger.report(vm, rows, now_s)
        self._ledger.expire(now_s)
        self.timeline.after(_REPORT_S, self._report)
