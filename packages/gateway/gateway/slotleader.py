"""Grants all VMs slots on the engines of the services led by this VM."""

from collections.abc import Callable, Mapping
import queue
import threading
import time
from typing import Any

from bulrushdeal import eventlog
from bulrushdeal import threads
from bulrushdeald import services
from gateway import records
from gateway import slotmessages
from gateway import upstreamlist
from gateway.decisions import coldstarts
from gateway.decisions import placementfigures
from gateway.decisions import slotledger
from gateway.decisions import slotrecords

_events = eventlog.Events("leading")

_YIELD_TIMEOUT_S = 0.3
_GRANT_TIMEOUT_S = 0.3


class SlotLeader:
    """Holds the slot ledgers of the services that this VM leads.

    Any VM answers for any service; the requesting VM chooses the leader.

    Args:
        upstreams: The engines of the services.
        peers: The connections to other VMs.
        cold_start: Returns the cold start of a service, if it has one.
        engine: Returns the capacity of a service's engines; `None` if its
            upstreams are no engines.
    """

    def __init__(
        self,
        upstreams: upstreamlist.UpstreamList,
        peers: services.Peers,
        cold_start: Callable[[str], coldstarts.ColdStart | None],
        engine: Callable[[str], records.Engine | None],
    ) -> None:
        self._upstreams = upstreams
        self._cold_start = cold_start
        self._engine = engine
        self._peers = peers
        self._ledger_lock = threading.Lock()
        self._ledgers: dict[str, slotledger.Ledger] = {}
        # The VM and the name of each batch run that has to yield.
        self._pending_yields: queue.SimpleQueue[tuple[str, str] | None] = (
            queue.SimpleQueue()
        )
        # The VM of each request that no longer waits, and what became of it.
        self._pending_grants: queue.SimpleQueue[
            tuple[str, slotmessages.Granted] | None
        ] = queue.SimpleQueue()

    def start(self) -> None:
        """Starts to answer other VMs."""
        handle = self._peers.register_handler
        # All handlers run on the thread that reads the connection, so that a
        # VM's messages keep their order: a report sent before a release must
        # not be applied after it.
        for kind, handler in (
            (slotmessages.Take, self._on_take),
            (slotmessages.TakeBatch, self._on_take_batch),
            (slotmessages.News, self._on_news),
            (slotmessages.Report, self._on_report),
        ):
            handle(kind, services.InlineHandler(handler))
        for name, target in (
            ("yields", self._send_yields),
            ("grants", self._send_grants),
        ):
            threads.start(target, name, is_vital=True)

    def stop(self) -> None:
        """Stops the threads."""
        self._pending_yields.put(None)
        self._pending_grants.put(None)

    def dump(self) -> Any:
        """Returns how many runs each engine has, by service."""
        with self._ledger_lock:
            return {
                name: dict(ledger.counts())
                for name, ledger in self._ledgers.items()
            }

    def engine_states(
        self,
    ) -> Mapping[str, Mapping[str, placementfigures.EngineState]]:
        """Returns what is known of the engines of each service led here.

        A service without any known run is left out: another VM may lead it.
        """
        now_s = time.monotonic()
        with self._ledger_lock:
            for ledger in self._ledgers.values():
                ledger.expire(now_s)
            return {
                service: dict(ledger.engine_states(now_s))
                for service, ledger in self._ledgers.items()
                if ledger.counts()
            }

    def waiting_counts(self) -> Mapping[str, int]:
        """Returns how many requests wait here for a grant, by service."""
        now_s = time.monotonic()
        with self._ledger_lock:
            for ledger in self._ledgers.values():
                ledger.expire(now_s)
            return {
                service: ledger.waiting_count()
                for service, ledger in self._ledgers.items()
            }

    def refresh(self) -> None:
        """Updates all ledgers to the engines that are listed now."""
        with self._ledger_lock:
            for service, ledger in self._ledgers.items():
                self._set_engines(service, ledger)
                self._queue_answers(service, ledger)

    def _queue_answers(self, service: str, ledger: slotledger.Ledger) -> None:
        """Lets the VMs of requests that no longer wait know it soon."""
        for answer in ledger.pop_answers(time.monotonic()):
            taken = self._taken(answer.decision)
            granted = slotmessages.Granted(service, answer.run, taken)
            self._pending_grants.put((answer.vm, granted))

    def _taken(
        self, decision: slotrecords.Grant | slotrecords.Refusal
    ) -> slotmessages.Taken:
        """Returns the answer to a request; its victims get to know it soon."""
        if isinstance(decision, slotrecords.Refusal):
            return slotmessages.Taken(
                "",
                decision.retry_after_s,
                decision.occupancy,
                is_too_large=decision.is_too_large,
                wait_s=decision.wait_s,
                share_used=decision.share_used,
            )
        for run in decision.preempted:
            # A run's name begins with the name of its VM.
            self._pending_yields.put((run.rsplit(".", 2)[0], run))
        return slotmessages.Taken(
            decision.instance, 0.0, None, decision.is_queued, decision.figures
        )

    def _set_engines(self, service: str, ledger: slotledger.Ledger) -> None:
        ledger.set_engines(
            self._upstreams.usable(service),
            self._cold_start(service),
            self._engine(service),
        )

    def _ledger(self, service: str) -> slotledger.Ledger:
        ledger = self._ledgers.get(service)
        if ledger is None:
            ledger = self._ledgers[service] = slotledger.Ledger()
            self._set_engines(service, ledger)
            _events.info("leads", service=service)
        return ledger

    def _on_take(
        self, vm: str, message: slotmessages.Take
    ) -> slotmessages.Taken:
        with self._ledger_lock:
            ledger = self._ledger(message.service)
            taken = ledger.take_online(
                message.run,
                vm,
                time.monotonic(),
                target_s=message.target_s,
                excluded=message.excluded,
                domain=message.domain,
                cost=message.cost,
                requester=message.requester,
            )
            self._queue_answers(message.service, ledger)
        return self._taken(taken)

    def _on_take_batch(
        self, vm: str, message: slotmessages.TakeBatch
    ) -> slotmessages.TakenBatch:
        now_s = time.monotonic()
        with self._ledger_lock:
            ledger = self._ledger(message.service)
            ledger.expire(now_s)
            instances = ledger.take_batch(
                vm, message.runs, now_s, message.excluded
            )
            self._queue_answers(message.service, ledger)
        return slotmessages.TakenBatch(instances)

    def _on_news(
        self, vm: str, message: slotmessages.News
    ) -> slotmessages.Done:
        del vm
        now_s = time.monotonic()
        with self._ledger_lock:
            ledger = self._ledger(message.service)
            for row in message.released:
                ledger.release(
                    row.run,
                    now_s,
                    outcome=row.outcome,
                    first_event_s=row.first_event_s,
                )
            for began in message.began:
                ledger.record_began(began.run, now_s)
            for load in message.loads:
                ledger.record_load(load, now_s)
            self._queue_answers(message.service, ledger)
        return slotmessages.Done()

    def _on_report(
        self, vm: str, message: slotmessages.Report
    ) -> slotmessages.Done:
        now_s = time.monotonic()
        with self._ledger_lock:
            ledger = self._ledger(message.service)
            ledger.report(vm, message.rows, now_s)
            ledger.expire(now_s)
            self._queue_answers(message.service, ledger)
        return slotmessages.Done()

    def _send_yields(self) -> None:
        while (row := self._pending_yields.get()) is not None:
            vm, run = row
            answer = self._peers.call(
                vm, slotmessages.Yield((run,)), _YIELD_TIMEOUT_S
            )
            if answer.is_err():
                _events.warning("yield_lost", peer=vm, run=run)

    def _send_grants(self) -> None:
        while (row := self._pending_grants.get()) is not None:
            vm, granted = row
            answer = self._peers.call(vm, granted, _GRANT_TIMEOUT_S)
            if answer.is_err():
                # The VM's next report shows that it still waits.
                _events.warning("grant_lost", peer=vm, run=granted.run)
