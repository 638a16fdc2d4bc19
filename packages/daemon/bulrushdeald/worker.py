"""Runs chunks of batch jobs on this VM."""

import threading
from typing import Any, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import threads
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
_MIN_REPORT_PERIOD_S = 1.0
_RETRY_S = 1.0
# After this time plus one report period without a coordinator's confirmation,
# the worker checks whether it still holds a chunk.
_UNCONFIRMED_S = 8.0
# How long a chunk may go without progress before it is given back. Longer
# than an item waits for a slot and than a short burst of online work.
_STALLED_S = 15.0
_IDLE_WAIT_S = 10.0
_RETRY_POLL_S = 0.5
# The worker claims no more chunks while this many results wait to be sealed,
# as they do when the platform is unavailable.
_MAX_SEALING = 8
_SEAL_THREADS = 2
# The fraction of the stop's grace time reserved for storing results.
_SAVE_FRACTION = 0.4


class Picked(NamedTuple):
    """An item to run next.

    Attributes:
        run: The item's chunk.
        number: The item's index in the chunk.
    """

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
        self._item_attempts = 0

    def connect(self) -> None:
        """Looks up the other services and registers the message handlers."""
        find = self._kernel.find
        keyvalue = find(services.KEYVALUE, services.KeyValue)
        membership = find(services.MEMBERSHIP, services.Membership)
        stores = find(replicas.NAME, replicas.Replicas)
        self._peers = find(services.PEERS, services.Peers)
        self._membership = membership
        self._coordinators = coordinators.Coordinators(membership, self._clock)
        vm, incarnation = membership.own_vm().vm, membership.incarnation()
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
        self._seal_queue = sealqueue.SealQueue(self._sealer, self._report_ended)
        config = find(services.CONFIG, services.Config)
        router = find(services.ROUTER, services.Router)
        self._models = usablemodels.UsableModels(config, router, self._clock)
        self._runner = items.Runner(
            router,
            find(services.UPSTREAMS, services.Upstreams),
            self._clock,
            self._settings.batch_item_timeout_s,
        )
        self._peers.register_answers(*batchmessages.ANSWERS)
        self._peers.register_handler(batchmessages.StopJob, self._on_stop_job)
        self._peers.register_handler(
            batchmessages.HoldQuery, self._on_hold_query
        )

    def start(self) -> None:
        """Starts the threads; does nothing more if `batch_threads` is 0."""
        self.connect()
        if not self._settings.batch_threads:
            return
        loops = [self._claim_loop] + [self._seal_loop] * _SEAL_THREADS
        loops += [self._item_loop] * self._settings.batch_threads
        for loop in loops:
            self._threads.append(threads.start(loop, NAME))

    def stop(self, grace_s: float) -> None:
        """Lets running items finish for a while, then gives chunks back.

        Args:
            grace_s: The time for the whole stop. A part of it is reserved for
                storing results.
        """
        until_s = self._clock.monotonic_s() + grace_s * (1 - _SAVE_FRACTION)
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
        """Seals complete chunks and lets other VMs claim the rest."""
        for run in runs:
            self._remove_run(run)
            self._give_back(run)
        self._seal_queue.seal_all_once()

    def _give_back(self, run: chunkrun.ChunkRun) -> None:
        run.stop(cancel_running=True)
        if run.is_complete:
            self._sealer.step(sealing.Sealing(run))
            return
        # Stores the answers so far, so that those items need not run again.
        partial = self._sealer.save_partial(run)
        given = self._claims.give_back(run.holding, partial)
        self._sealer.count(run, partial is not None and given.is_open)
        self._report_ended(given.ended)

    def dump(self) -> Any:
        """Returns the state of the chunks that this VM runs."""
        with self._wake:
            return {
                "chunks": [run.dump() for run in self._runs],
                "sealing": len(self._seal_queue),
                "items_ended": self._item_attempts,
            }

    def wake(self) -> None:
        """Makes the worker report and ask for work at once."""
        with self._wake:
            self._wake.notify_all()

    # Reporting to coordinators and claiming chunks.

    def _claim_loop(self) -> None:
        while not self._is_stopping:
            try:
                self.ask()
            except Exception:  # noqa: BLE001 - the loop must keep running.
                _log.exception("Asking for work failed.")
            with self._wake:
                self._wake.wait(self._report_period_s())

    def _report_period_s(self) -> float:
        vms = len(self._membership.entry_vms())
        return max(_MIN_REPORT_PERIOD_S, vms / coordinator.REPORTS_PER_S)

    def _wanted_chunks(self) -> int:
        own = self._membership.own_vm().vm
        with self._wake:
            if self._is_stopping or self._membership.is_leaving(own):
                return 0
            waiting = sum(run.waiting() for run in self._runs)
            free_chunks = self._settings.batch_chunks - len(self._runs)
        has_enough_items = waiting >= self._settings.batch_threads
        if (
            has_enough_items
            or len(self._seal_queue) >= _MAX_SEALING
            or free_chunks <= 0
        ):
            return 0
        return 1

    def ask(self) -> int:
        """Reports to all coordinators and claims chunks that they offer.

        The worker asks one coordinator after the other for work, in proportion
        to the total weight of the customers with chunks left there. Each
        coordinator shares out its chunks by weight too, so the customers'
        shares hold across all coordinators.

        Returns:
            The number of chunks claimed.
        """
        with self._wake:
            ended, self._ended = tuple(self._ended), []
        names = self._coordinators.all()
        self._check_unconfirmed()
        self._give_back_stalled()
        claimed = 0
        for vm in self._shares.order(sorted(names)):
            claimed += self._report_to(vm, ended, 0 if claimed else 1)
        while claimed and self._wanted_chunks():
            count = 0
            for vm in self._shares.order(sorted(names)):
                count = self._report_to(vm, (), 1)
                if count:
                    break
            if not count:
                break
            claimed += count
        return claimed

    def _report_to(
        self, vm: str, ended: tuple[batchmessages.Ended, ...], wanted: int
    ) -> int:
        with self._wake:
            holding = tuple(self._holdings())
        report = batchmessages.WorkReport(
            self._membership.incarnation(),
            holding,
            ended,
            min(wanted, self._wanted_chunks()),
            self._models.current(),
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
            self._drop_lost(lost)
        now_s = self._clock.monotonic_s()
        with self._wake:
            for run in self._runs:
                if run.holding.job in offers.known:
                    run.confirmed_s = now_s
        return sum(self._claim(offer, vm) for offer in offers.offers)

    def _give_back_stalled(self) -> None:
        # A chunk stalls when this VM has lost its upstreams to another VM or
        # has none for the models of the remaining items. Another VM may be
        # able to run them.
        now_s = self._clock.monotonic_s()
        with self._wake:
            runs = list(self._runs)
        for run in runs:
            if run.placed():
                run.progress_s = now_s
            if now_s - run.progress_s < _STALLED_S or not self._remove_run(run):
                continue
            self._give_back(run)

    def _check_unconfirmed(self) -> None:
        # No coordinator has confirmed these chunks for a while: this VM may
        # have been frozen or partitioned. Another VM may have claimed the
        # chunk since, or its job may be cancelled.
        limit_s = (
            self._clock.monotonic_s() - _UNCONFIRMED_S - self._report_period_s()
        )
        with self._wake:
            runs = [run for run in self._runs if run.confirmed_s < limit_s]
        for run in runs:
            verdict = self._claims.verify(run.holding)
            if verdict == "lost":
                self._drop_lost(run.holding)
            elif verdict == "cancelled":
                self._stop_job(run.holding.job)
            if verdict != "unsure":
                run.confirmed_s = self._clock.monotonic_s()

    def _drop_lost(self, holding: batchmessages.Holding) -> None:
        with self._wake:
            runs = [run for run in self._runs if run.holding == holding]
        for run in runs:
            self._remove_run(run)
            run.stop(cancel_running=True)
            self._sealer.count(run, is_kept=False)

    def _claim(self, offer: batchmessages.Offer, vm: str) -> int:
        run = self._claims.claim(offer)
        if isinstance(run, result.Err):
            self._report_ended(run.err_value.ended)
            return 0
        self._shares.charge(vm, len(run.ok_value.items))
        now_s = self._clock.monotonic_s()
        run.ok_value.confirmed_s = run.ok_value.progress_s = now_s
        with self._wake:
            self._runs.append(run.ok_value)
            self._wake.notify_all()
        if run.ok_value.is_complete:
            self._queue_sealing(run.ok_value)
        return 1

    # Running items.

    def _item_loop(self) -> None:
        while True:
            with self._wake:
                if self._is_stopping:
                    return
                picked = self.pick()
                if picked is None:
                    # Nothing signals the condition when a requeued item comes
                    # due, so the thread polls while there are chunks.
                    self._wake.wait(
                        _RETRY_POLL_S if self._runs else _IDLE_WAIT_S
                    )
                    continue
            self.run_item(picked.run, picked.number)

    def pick(self) -> Picked | None:
        """Returns the next item that is due, from the oldest chunk first."""
        now_s = self._clock.monotonic_s()
        with self._wake:
            for run in self._runs:
                number = run.next(now_s)
                if number is not None:
                    return Picked(run, number)
        return None

    def run_item(self, run: chunkrun.ChunkRun, number: int) -> None:
        """Runs one item and queues its chunk for sealing if it was the last."""
        ended = run.ended()
        try:
            has_ended = self._runner.run(run, number)
        except Exception:  # noqa: BLE001 - one item must not end the thread.
            _log.exception("Item %d of %s failed.", number, run.holding)
            due_s = self._clock.monotonic_s() + _RETRY_S
            has_ended = run.requeue(number, due_s)
        self._item_attempts += 1
        if run.ended() > ended:
            run.progress_s = self._clock.monotonic_s()
            self._models.mark_usable(run.items[number].call.model)
        if has_ended:
            self._queue_sealing(run)

    def _queue_sealing(self, run: chunkrun.ChunkRun) -> None:
        if self._is_stopping or not self._remove_run(run):
            return
        with self._wake:
            self._seal_queue.add(run)
            self._wake.notify_all()

    def _remove_run(self, run: chunkrun.ChunkRun) -> bool:
        with self._wake:
            if run not in self._runs:
                return False
            self._runs.remove(run)
            return True

    # Sealing results.

    def _seal_loop(self) -> None:
        while not self._is_stopping:
            with self._wake:
                if not self._seal_queue.has_waiting():
                    self._wake.wait(_IDLE_WAIT_S)
                    continue
            if not self.seal_one():
                self._clock.sleep_s(_RETRY_S)

    def has_results(self) -> bool:
        """Returns whether results wait to be sealed."""
        return self._seal_queue.has_waiting()

    def seal_one(self) -> bool:
        """Tries to seal the oldest result; returns whether that succeeded."""
        return self._seal_queue.seal_one()

    def _report_ended(self, ended: batchmessages.Ended) -> None:
        with self._wake:
            self._ended.append(ended)
            self._wake.notify_all()

    # Message handlers.

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
                self._queue_sealing(run)

    def _holdings(self) -> list[batchmessages.Holding]:
        held = [run.holding for run in self._runs]
        return held + self._seal_queue.held()

    def _on_hold_query(
        self, vm: str, query: batchmessages.HoldQuery
    ) -> batchmessages.HoldAnswer:
        del vm
        with self._wake:
            held = self._holdings()
        is_held = any(
            (holding.job, holding.chunk, holding.epoch)
            == (query.job, query.chunk, query.epoch)
            for holding in held
        )
        return batchmessages.HoldAnswer(self._membership.incarnation(), is_held)
