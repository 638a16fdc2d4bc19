"""Runs chunks of batch jobs on this VM."""

import threading
from typing import Any, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import batchmessages
from bulrushdeald import chunkrun
from bulrushdeald import claims
from bulrushdeald import coordinator
from bulrushdeald import coordinators
from bulrushdeald import defaults
from bulrushdeald import items
from bulrushdeald import replicas
from bulrushdeald import sealing
from bulrushdeald import sealqueue
from bulrushdeald import services
from bulrushdeald import stride
from bulrushdeald import usablemodels

_log = logs.Log("worker")

NAME = "worker"
_CALL_TIMEOUT_S = 2.0
_MIN_PERIOD_S = 1.0
_RETRY_S = 1.0
_UNCONFIRMED_S = 8.0
# Longer than an item waits for a slot, and than a short burst of online work.
_STALLED_S = 15.0
_IDLE_S = 10.0
_DUE_S = 0.5
# Chunks whose results wait for the platform; more work is not claimed then.
_MAX_SEALING = 8
_SEALERS = 2
# Of the grace, what is kept for storing what was done.
_SAVE_SHARE = 0.4


class Picked(NamedTuple):
    """An item that was handed out to be run."""

    run: chunkrun.ChunkRun
    number: int


class Worker:
    """Claims chunks, runs their items and seals their results."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._clock = clock or clock_lib.SystemClock()
        self._wake = threading.Condition()
        self._is_stopping = False
        self._runs: list[chunkrun.ChunkRun] = []
        self._ended: list[batchmessages.Ended] = []
        self._shares = stride.Shares()
        self._threads: list[threading.Thread] = []
        self._items = 0

    def connect(self) -> None:
        """Looks the other services up and answers peers."""
        find = self._kernel.find
        keyvalue = find(services.KEYVALUE, services.KeyValue)
        membership = find(services.MEMBERSHIP, services.Membership)
        stores = find(replicas.NAME, replicas.Replicas)
        self._peers = find(services.PEERS, services.Peers)
        self._membership = membership
        self._coordinators = coordinators.Coordinators(membership, self._clock)
        vm, incarnation = membership.own().vm, membership.incarnation()
        self._claims = claims.Claims(
            keyvalue, stores, self._clock, vm, incarnation
        )
        self._sealer = sealing.Sealer(
            keyvalue,
            stores,
            find(services.USAGE, services.Usage),
            vm,
            incarnation,
        )
        self._results = sealqueue.SealQueue(self._sealer, self._note_ended)
        config = find(services.CONFIG, services.Config)
        router = find(services.ROUTER, services.Router)
        self._models = usablemodels.UsableModels(config, router, self._clock)
        self._runner = items.Runner(
            router,
            find(services.UPSTREAMS, services.Upstreams),
            self._clock,
            self._settings.batch_item_timeout_s,
        )
        self._peers.understand(*batchmessages.ANSWERS)
        self._peers.handle(batchmessages.StopJob, self._on_stop_job)
        self._peers.handle(batchmessages.HoldQuery, self._on_hold_query)

    def start(self) -> None:
        """Begins to ask for work."""
        self.connect()
        if not self._settings.batch_threads:
            return
        loops = [self._claim_loop] + [self._seal_loop] * _SEALERS
        loops += [self._item_loop] * self._settings.batch_threads
        for loop in loops:
            thread = threading.Thread(target=loop, name=NAME, daemon=True)
            self._threads.append(thread)
            thread.start()

    def stop(self, grace_s: float) -> None:
        """Lets items finish for a while, then gives chunks back."""
        until_s = self._clock.monotonic_s() + grace_s * (1 - _SAVE_SHARE)
        with self._wake:
            self._is_stopping = True
            runs = tuple(self._runs)
            self._wake.notify_all()
        for run in runs:
            run.stop(cancel_running=False)
        while self._clock.monotonic_s() < until_s and any(
            run.running() for run in runs
        ):
            self._clock.sleep_s(0.05)
        self.give_all_back(runs)

    def give_all_back(self, runs: tuple[chunkrun.ChunkRun, ...]) -> None:
        """Seals what is complete and lets other VMs claim the rest."""
        for run in runs:
            self._leave(run)
            self._give_back(run)
        self._results.seal_all_once()

    def _give_back(self, run: chunkrun.ChunkRun) -> None:
        run.stop(cancel_running=True)
        if run.is_complete:
            self._sealer.step(sealing.Sealing(run))
            return
        # What was answered is kept, so that it need not run again.
        partial = self._sealer.save_partial(run)
        given = self._claims.give_back(run.holding, partial)
        self._sealer.count(run, partial is not None and given.is_open)
        self._note_ended(given.ended)

    def dump(self) -> Any:
        """Returns what runs here."""
        with self._wake:
            return {
                "chunks": [run.dump() for run in self._runs],
                "sealing": len(self._results),
                "items_ended": self._items,
            }

    def wake(self) -> None:
        """Makes the worker ask for work at once."""
        with self._wake:
            self._wake.notify_all()

    # Asking for work.

    def _claim_loop(self) -> None:
        while not self._is_stopping:
            try:
                self.ask()
            except Exception:  # noqa: BLE001 - the loop has to live on.
                _log.exception("Asking for work failed.")
            with self._wake:
                self._wake.wait(self._period_s())

    def _period_s(self) -> float:
        vms = len(self._membership.entry_vms())
        return max(_MIN_PERIOD_S, vms / coordinator.REPORTS_PER_S)

    def _wanted(self) -> int:
        own = self._membership.own().vm
        with self._wake:
            if self._is_stopping or self._membership.is_leaving(own):
                return 0
            waiting = sum(run.waiting() for run in self._runs)
            room = self._settings.batch_chunks - len(self._runs)
        has_enough = waiting >= self._settings.batch_threads
        if has_enough or len(self._results) >= _MAX_SEALING or room <= 0:
            return 0
        return 1

    def ask(self) -> int:
        """Reports to all coordinators; returns how many chunks it claimed.

        Work is asked of one coordinator after the other, in proportion to
        the weights of the customers that wait there; each divides its own
        in the same way, so the shares hold over all coordinators together.
        """
        with self._wake:
            ended, self._ended = tuple(self._ended), []
        names = self._coordinators.all()
        self._check_unconfirmed()
        self._give_back_stalled()
        claimed = 0
        for vm in self._shares.order(names):
            claimed += self._ask_one(vm, ended, 0 if claimed else 1)
        while claimed and self._wanted():
            more = 0
            for vm in self._shares.order(names):
                more = self._ask_one(vm, (), 1)
                if more:
                    break
            if not more:
                break
            claimed += more
        return claimed

    def _ask_one(
        self, vm: str, ended: tuple[batchmessages.Ended, ...], wanted: int
    ) -> int:
        with self._wake:
            holding = tuple(self._held())
        report = batchmessages.WorkReport(
            self._membership.incarnation(),
            holding,
            ended,
            min(wanted, self._wanted()),
            self._models.now(),
        )
        answer = self._peers.call(vm, report, _CALL_TIMEOUT_S)
        if isinstance(answer, result.Err):
            self._coordinators.suspect(vm)
            return 0
        offers: batchmessages.WorkOffers = answer.ok_value
        self._shares.set_weight(vm, offers.weight)
        for job in offers.stop:
            self._stop_job(job)
        for lost in offers.lost:
            self._drop(lost)
        now_s = self._clock.monotonic_s()
        with self._wake:
            for run in self._runs:
                if run.holding.job in offers.known:
                    run.confirmed_s = now_s
        return sum(self._claim(offer, vm) for offer in offers.offers)

    def _give_back_stalled(self) -> None:
        # The VM lost its upstreams to another, or the chunk's items left
        # are for models that it has none of: another VM may go on.
        now_s = self._clock.monotonic_s()
        with self._wake:
            runs = list(self._runs)
        for run in runs:
            if run.placed():
                run.progress_s = now_s
            if now_s - run.progress_s < _STALLED_S or not self._leave(run):
                continue
            self._give_back(run)

    def _check_unconfirmed(self) -> None:
        # No coordinator spoke of the chunk for long: this VM was frozen or
        # cut off, and the chunk may be another's or its job cancelled.
        limit_s = self._clock.monotonic_s() - _UNCONFIRMED_S - self._period_s()
        with self._wake:
            runs = [run for run in self._runs if run.confirmed_s < limit_s]
        for run in runs:
            verdict = self._claims.verify(run.holding)
            if verdict == "lost":
                self._drop(run.holding)
            elif verdict == "cancelled":
                self._stop_job(run.holding.job)
            if verdict != "unsure":
                run.confirmed_s = self._clock.monotonic_s()

    def _drop(self, holding: batchmessages.Holding) -> None:
        with self._wake:
            runs = [run for run in self._runs if run.holding == holding]
        for run in runs:
            self._leave(run)
            run.stop(cancel_running=True)
            self._sealer.count(run, is_kept=False)

    def _claim(self, offer: batchmessages.Offer, vm: str) -> int:
        run = self._claims.claim(offer)
        if isinstance(run, result.Err):
            self._note_ended(run.err_value.ended)
            return 0
        self._shares.charge(vm, len(run.ok_value.items))
        now_s = self._clock.monotonic_s()
        run.ok_value.confirmed_s = run.ok_value.progress_s = now_s
        with self._wake:
            self._runs.append(run.ok_value)
            self._wake.notify_all()
        if run.ok_value.is_complete:
            self._to_sealing(run.ok_value)
        return 1

    # Running items.

    def _item_loop(self) -> None:
        while True:
            with self._wake:
                if self._is_stopping:
                    return
                picked = self.pick()
                if picked is None:
                    # Items that wait for another try come due unannounced.
                    self._wake.wait(_DUE_S if self._runs else _IDLE_S)
                    continue
            self.run_item(picked.run, picked.number)

    def pick(self) -> Picked | None:
        """Hands out the next item that is due, of the oldest chunk first."""
        now_s = self._clock.monotonic_s()
        with self._wake:
            for run in self._runs:
                number = run.next(now_s)
                if number is not None:
                    return Picked(run, number)
        return None

    def run_item(self, run: chunkrun.ChunkRun, number: int) -> None:
        """Runs one item, and has the chunk sealed if it was the last."""
        ended = run.ended()
        try:
            has_ended = self._runner.run(run, number)
        except Exception:  # noqa: BLE001 - one item must not end the thread.
            _log.exception("Item %d of %s failed.", number, run.holding)
            due_s = self._clock.monotonic_s() + _RETRY_S
            has_ended = run.requeue(number, due_s)
        self._items += 1
        if run.ended() > ended:
            run.progress_s = self._clock.monotonic_s()
            self._models.note(run.items[number].call.model)
        if has_ended:
            self._to_sealing(run)

    def _to_sealing(self, run: chunkrun.ChunkRun) -> None:
        if self._is_stopping or not self._leave(run):
            return
        with self._wake:
            self._results.add(run)
            self._wake.notify_all()

    def _leave(self, run: chunkrun.ChunkRun) -> bool:
        with self._wake:
            if run not in self._runs:
                return False
            self._runs.remove(run)
            return True

    # Sealing results.

    def _seal_loop(self) -> None:
        while not self._is_stopping:
            with self._wake:
                if not self._results.has_waiting():
                    self._wake.wait(_IDLE_S)
                    continue
            if not self.seal_one():
                self._clock.sleep_s(_RETRY_S)

    def has_results(self) -> bool:
        """Tells whether results wait to be sealed."""
        return self._results.has_waiting()

    def seal_one(self) -> bool:
        """Tries to seal the oldest result; returns whether it is sealed."""
        return self._results.seal_one()

    def _note_ended(self, ended: batchmessages.Ended) -> None:
        with self._wake:
            self._ended.append(ended)
            self._wake.notify_all()

    # Messages.

    def _on_stop_job(
        self, vm: str, stop: batchmessages.StopJob
    ) -> batchmessages.Noted:
        del vm
        self._stop_job(stop.job)
        return batchmessages.Noted()

    def _stop_job(self, job: str) -> None:
        with self._wake:
            runs = [run for run in self._runs if run.holding.job == job]
        for run in runs:
            if run.stop(cancel_running=True):
                self._to_sealing(run)

    def _held(self) -> list[batchmessages.Holding]:
        held = [run.holding for run in self._runs]
        return held + self._results.held()

    def _on_hold_query(
        self, vm: str, query: batchmessages.HoldQuery
    ) -> batchmessages.HoldAnswer:
        del vm
        with self._wake:
            held = self._held()
        is_held = any(
            (one.job, one.chunk, one.epoch)
            == (query.job, query.chunk, query.epoch)
            for one in held
        )
        return batchmessages.HoldAnswer(self._membership.incarnation(), is_held)
