"""The jobs that a coordinator knows, and whose chunks are offered next."""

from collections.abc import Callable, Iterable, Mapping
import threading
from typing import Any, TypeVar

from bulrushdeald import batchmessages
from bulrushdeald import batchrecords
from bulrushdeald import jobview
from bulrushdeald import stride

T = TypeVar("T")


class JobTable:
    """Keeps jobs by customer; safe for threads, and never waits.

    Most queued jobs wait behind another of their customer. Only those whose
    chunks are offered or run are loaded, so that memory and reads of the
    platform's service follow the work that runs, not the queue.
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
        """Returns all jobs."""
        with self._lock:
            return frozenset(self._jobs)

    def add(self, entry: batchrecords.QueueEntry) -> None:
        """Takes in a queue entry; a changed one has its job read again."""
        with self._lock:
            view = self._jobs.get(entry.job)
            if view is None:
                view = jobview.JobView(entry)
                self._jobs[entry.job] = view
                self._index(view)
                return
            if entry.is_cancelled and not view.entry.is_cancelled:
                view.entry = entry
                view.has_to_reload = True
                self._index(view)

    def forget(self, jobs: Iterable[str]) -> None:
        """Drops jobs that ended or that another VM coordinates."""
        with self._lock:
            for job in jobs:
                view = self._jobs.pop(job, None)
                if view is not None:
                    self._unindex(view)

    def to_load(self) -> list[jobview.JobView]:
        """Returns jobs to read: the changed, and each customer's next."""
        with self._lock:
            changed = [
                view for view in self._loaded.values() if view.has_to_reload
            ]
            for customer, queued in self._queued.items():
                ready = self._ready.get(customer, {})
                # One job of each kind: a job whose models are all busy must
                # not hold up another one of its customer.
                kinds = {view.entry.models for view in ready.values()}
                for view in sorted(queued.values(), key=_due):
                    if view.is_cancelled or view.entry.models not in kinds:
                        kinds.add(view.entry.models)
                        changed.append(view)
            return changed

    def loaded(self) -> list[jobview.JobView]:
        """Returns the jobs that were read."""
        with self._lock:
            return list(self._loaded.values())

    def update(
        self,
        view: jobview.JobView,
        record: batchrecords.JobRecord,
        revision: int,
        known: Mapping[int, jobview.KnownRecord],
        now_s: float,
    ) -> None:
        """Takes in what was read of a job."""
        with self._lock:
            view.update(record, revision, known, now_s)
            self._index(view)

    def change(self, view: jobview.JobView, change: Callable[[], T]) -> T:
        """Reads or changes one job under the lock."""
        with self._lock:
            answer = change()
            self._index(view)
            return answer

    def report(
        self,
        vm: str,
        report: batchmessages.WorkReport,
        now_s: float,
        wall_s: float,
    ) -> batchmessages.WorkOffers:
        """Takes in what a VM runs, and offers it what it wants."""
        with self._lock:
            lost = []
            for holding in report.holding:
                view = self._loaded.get(holding.job)
                if view is None:
                    continue
                if not view.hold(holding, vm, report.incarnation, now_s):
                    lost.append(holding)
                self._index(view)
            for ended in report.ended:
                view = self._loaded.get(ended.job)
                if view is not None:
                    view.end(ended)
                    self._index(view)
            offers = self._choose(report, now_s, wall_s)
            held = {holding.job for holding in report.holding}
            known = sorted(held & set(self._loaded))
            stop = [job for job in known if self._loaded[job].is_cancelled]
            eligible = self._eligible(report.models, wall_s)
            weight = sum(self._weight(customer) for customer in eligible)
        return batchmessages.WorkOffers(
            offers, tuple(stop), weight, tuple(known), tuple(lost)
        )

    def dump(self) -> Any:
        """Returns the jobs by state."""
        with self._lock:
            return {
                "queued": len(self._jobs) - len(self._loaded),
                "loaded": {
                    job: view.dump() for job, view in self._loaded.items()
                },
                "customers_ready": sorted(self._ready),
            }

    def _choose(
        self, report: batchmessages.WorkReport, now_s: float, wall_s: float
    ) -> tuple[batchmessages.Offer, ...]:
        offers: list[batchmessages.Offer] = []
        while len(offers) < report.wanted:
            eligible = self._eligible(report.models, wall_s)
            if not eligible:
                break
            for customer in eligible:
                self._shares.set_weight(customer, self._weight(customer))
            # Who had least for its weight goes first. Of equals and within
            # a customer, what is due first.
            due = sorted(eligible, key=lambda one: _due(eligible[one]))
            customer = self._shares.order(due)[0]
            view = eligible[customer]
            offer = view.offer(now_s)
            self._index(view)
            if offer is None:
                continue
            offers.append(offer)
            items = view.entry.items / view.entry.chunk_count
            self._shares.charge(customer, items)
        return tuple(offers)

    def _eligible(
        self, models: Iterable[str], wall_s: float
    ) -> dict[str, jobview.JobView]:
        """Returns each customer's first job that a VM can run."""
        served = frozenset(models)
        eligible = {}
        for customer, views in self._ready.items():
            fit = [
                view
                for view in views.values()
                # Items that are overdue need no upstream to be given up.
                if not served.isdisjoint(view.entry.models)
                or view.entry.deadline_wall_s <= wall_s
            ]
            if fit:
                eligible[customer] = min(fit, key=_due)
        return eligible

    def _index(self, view: jobview.JobView) -> None:
        job, customer = view.entry.job, view.entry.customer
        if job not in self._jobs:
            return
        self._unindex(view)
        if view.record is None:
            self._queued.setdefault(customer, {})[job] = view
            return
        self._loaded[job] = view
        if view.has_free():
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


def _due(view: jobview.JobView) -> tuple[float, str]:
    return view.entry.deadline_wall_s, view.entry.job
