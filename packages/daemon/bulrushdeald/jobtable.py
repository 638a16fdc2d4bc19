"""A coordinator's jobs, and the choice of the chunks to offer next."""

from collections.abc import Callable, Iterable, Mapping
import threading
from typing import Any, TypeVar

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import jobview
from bulrushdeald import stride

T = TypeVar("T")


class JobTable:
    """Holds the jobs of a coordinator by customer.

    The table is thread-safe and does no I/O under its lock. Most queued jobs
    wait behind another job of the same customer. Only jobs whose chunks may
    be offered or run are loaded, so that memory use and reads of the
    platform's service grow with the running work, not with the queue.
    """

    def __init__(self, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self._lock = threading.Lock()
        self._jobs: dict[str, jobview.JobView] = {}
        self._loaded: dict[str, jobview.JobView] = {}
        self._queued: dict[str, dict[str, jobview.JobView]] = {}
        self._ready: dict[str, dict[str, jobview.JobView]] = {}
        self._shares = stride.Shares()

    def names(self) -> frozenset[str]:
        """Returns the IDs of all jobs."""
        with self._lock:
            return frozenset(self._jobs)

    def add(self, entry: batchrecords.QueueEntry) -> None:
        """Adds a job, or marks a newly cancelled one to be read again."""
        with self._lock:
            view = self._jobs.get(entry.job)
            if view is None:
                view = jobview.JobView(entry)
                self._jobs[entry.job] = view
                self._reindex(view)
                return
            if entry.is_cancelled and not view.entry.is_cancelled:
                view.entry = entry
                view.has_to_reload = True
                self._reindex(view)

    def forget(self, jobs: Iterable[str]) -> None:
        """Removes jobs that have ended or that another VM coordinates."""
        with self._lock:
            for job in jobs:
                view = self._jobs.pop(job, None)
                if view is not None:
                    self._unindex(view)

    def to_load(self) -> list[jobview.JobView]:
        """Returns the jobs whose records are to be read.

        These are loaded jobs that changed, queued jobs that were cancelled,
        and per customer the queued job with the earliest deadline for each
        set of models that no ready job of the customer has.
        """
        with self._lock:
            to_load = [
                view for view in self._loaded.values() if view.has_to_reload
            ]
            for customer, queued in self._queued.items():
                ready = self._ready.get(customer, {})
                # One job per set of models: a job whose models are all busy
                # must not block the customer's jobs for other models.
                model_sets = {view.entry.models for view in ready.values()}
                for view in sorted(queued.values(), key=_deadline_key):
                    if view.is_cancelled or view.entry.models not in model_sets:
                        model_sets.add(view.entry.models)
                        to_load.append(view)
            return to_load

    def loaded(self) -> list[jobview.JobView]:
        """Returns the jobs whose records were read."""
        with self._lock:
            return list(self._loaded.values())

    def update(
        self,
        view: jobview.JobView,
        record: batchrecords.JobRecord,
        revision: int,
        chunk_records: Mapping[int, jobview.KnownRecord],
        now_s: float,
    ) -> None:
        """Updates a job from the records that were read."""
        with self._lock:
            view.update(record, revision, chunk_records, now_s)
            self._reindex(view)

    def change(self, view: jobview.JobView, change: Callable[[], T]) -> T:
        """Calls `change`, which reads or changes `view`, under the lock."""
        with self._lock:
            outcome = change()
            self._reindex(view)
            return outcome

    def report(
        self,
        vm: str,
        report: batchmessages.WorkReport,
        now_s: float,
        wall_s: float,
    ) -> batchmessages.WorkOffers:
        """Records what a VM runs, and offers it as many chunks as it wants.

        Args:
            vm: The VM that sent the report.
            report: The chunks that it runs and has ended.
            now_s: Monotonic time.
            wall_s: Wall-clock time, for the jobs' deadlines.

        Returns:
            The chunks to claim, the jobs to stop and the chunks lost to
            another VM.
        """
        with self._lock:
            lost = []
            for holding in report.holding:
                view = self._loaded.get(holding.job)
                if view is None:
                    continue
                if not view.record_holding(
                    holding, vm, report.incarnation, now_s
                ):
                    lost.append(holding)
                self._reindex(view)
            for ended in report.ended:
                view = self._loaded.get(ended.job)
                if view is not None:
                    view.record_end(ended)
                    self._reindex(view)
            offers = self._choose_offers(report, now_s, wall_s)
            held_jobs = {holding.job for holding in report.holding}
            known = sorted(held_jobs & set(self._loaded))
            stop = [job for job in known if self._loaded[job].is_cancelled]
            eligible = self._most_urgent_jobs(report.models, wall_s)
            weight = sum(self._weight(customer) for customer in eligible)
        return batchmessages.WorkOffers(
            offers, tuple(stop), weight, tuple(known), tuple(lost)
        )

    def dump(self) -> Any:
        """Returns the number of queued jobs and the state of loaded ones."""
        with self._lock:
            return {
                "queued": len(self._jobs) - len(self._loaded),
                "loaded": {
                    job: view.dump() for job, view in self._loaded.items()
                },
                "customers_ready": sorted(self._ready),
            }

    def _choose_offers(
        self, report: batchmessages.WorkReport, now_s: float, wall_s: float
    ) -> tuple[batchmessages.Offer, ...]:
        offers: list[batchmessages.Offer] = []
        while len(offers) < report.wanted:
            eligible = self._most_urgent_jobs(report.models, wall_s)
            if not eligible:
                break
            for customer in eligible:
                self._shares.set_weight(customer, self._weight(customer))
            # The customer with the smallest share for its weight goes
            # first, of several the one whose job is due first. Within a
            # customer, the job with the earliest deadline goes first.
            due = sorted(
                eligible, key=lambda name: _deadline_key(eligible[name])
            )
            customer = self._shares.order(due)[0]
            view = eligible[customer]
            offer = view.offer(now_s)
            self._reindex(view)
            if offer is None:
                continue
            offers.append(offer)
            items = view.entry.items / view.entry.chunk_count
            self._shares.charge(customer, items)
        return tuple(offers)

    def _most_urgent_jobs(
        self, models: Iterable[str], wall_s: float
    ) -> dict[str, jobview.JobView]:
        """Returns each customer's most urgent job that a VM can run."""
        served_models = frozenset(models)
        eligible = {}
        for customer, views in self._ready.items():
            runnable = [
                view
                for view in views.values()
                # Overdue items are given up, which needs no upstream.
                if not served_models.isdisjoint(view.entry.models)
                or view.entry.deadline_wall_s <= wall_s
            ]
            if runnable:
                eligible[customer] = min(runnable, key=_deadline_key)
        return eligible

    def _reindex(self, view: jobview.JobView) -> None:
        job, customer = view.entry.job, view.entry.customer
        if job not in self._jobs:
            return
        self._unindex(view)
        if view.record is None:
            self._queued.setdefault(customer, {})[job] = view
            return
        self._loaded[job] = view
        if view.has_free_chunk():
            self._ready.setdefault(customer, {})[job] = view

    def _unindex(self, view: jobview.JobView) -> None:
        job, customer = view.entry.job, view.entry.customer
        self._loaded.pop(job, None)
        for index in (self._queued, self._ready):
            jobs = index.get(customer)
            if jobs is None:
                continue
            jobs.pop(job, None)
            if not jobs:
                del index[customer]


def _deadline_key(view: jobview.JobView) -> tuple[float, str]:
    return view.entry.deadline_wall_s, view.entry.job
