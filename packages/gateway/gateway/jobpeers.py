"""Reads batch jobs from the VMs that run them instead of the store."""

from collections.abc import Callable, Iterable, Iterator
import contextlib
import time

from bulrushdeal import kernel as kernel_lib
from bulrushdeald import services
from gateway import dialect as dialect_lib
from gateway import jobdirectory
from gateway import jobmessages
from gateway import jobstore
from gateway import members
from gateway import names

_CALL_TIMEOUT_S = 0.3
_MAX_PAGE_BYTES = 900_000
# How often a waiting read polls the VM that runs the job.
_POLL_INTERVAL_S = 0.4


# Makes room for one read while its context is open; false without room.
BeginRead = Callable[[], contextlib.AbstractContextManager[bool]]


class JobPeers:
    """Queries the VMs that run jobs, and answers for the jobs run here."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        find = kernel.find
        self._job_store = find(names.JOB_STORE, jobstore.JobStore)
        self._directory = find(names.JOB_DIRECTORY, jobdirectory.JobDirectory)
        self._members = find(services.MEMBERSHIP, members.Members)
        self._vm = self._members.own_vm().vm
        self._runner: jobmessages.JobRunner | None = None
        self._peers = find(services.PEERS, services.Peers)
        self._peers.register_handler(
            jobmessages.ReadJob, services.InlineHandler(self._on_read_job)
        )
        self._peers.register_handler(
            jobmessages.ReadInput, services.InlineHandler(self._on_read_input)
        )
        self._peers.register_handler(
            jobmessages.FindRunning,
            services.InlineHandler(self._on_find_running),
        )
        self._peers.register_answers(
            jobmessages.JobRead, jobmessages.InputRead, jobmessages.Running
        )

    def set_runner(self, runner: jobmessages.JobRunner) -> None:
        """Sets the runner whose jobs this VM answers for."""
        self._runner = runner

    def fetch_job(self, job: str) -> None:
        """Caches a job and its results, asked from the VM that runs it."""
        for vm in self._candidate_vms(job):
            if vm == self._vm:
                continue
            read = self._read_from_vm(vm, job, 0)
            if read is not None and read.meta is not None:
                view = self._job_store.cache(read.meta)
                self._job_store.add_peer_results(view, 0, read.rows)
                return

    def _candidate_vms(self, job: str) -> Iterator[str]:
        """Yields the VMs that may run a job, or may have run it last."""
        if self._runner is None:
            return
        holder = self._runner.holder(job)
        if holder:
            yield holder
        found = self._directory.find(job)
        if found and found != holder:
            yield found

    def _read_from_vm(
        self, vm: str, job: str, after: int
    ) -> jobmessages.JobRead | None:
        """Asks a VM for a job's results; `None` if it may not be up to date."""
        answer = self._peers.call(
            vm, jobmessages.ReadJob(job, after), _CALL_TIMEOUT_S
        )
        if answer.is_err():
            return None
        read: jobmessages.JobRead = answer.unwrap()
        return read if read.is_held else None

    def fetch_results(
        self,
        view: jobstore.JobView,
        after: int,
        wait_s: float,
        begin_read: BeginRead,
    ) -> bool:
        """Caches new results from the VM that runs the job, and may wait.

        This spares the store: each read costs it, and most reads find no new
        results.

        Args:
            view: The job's cached view, which is extended.
            after: The position whose result ends the wait.
            wait_s: How long to wait for that result, in seconds.
            begin_read: Makes room for each answer.

        Returns:
            Whether a VM with up-to-date results answered; if not, the store
            has to be read.
        """
        end_s = time.monotonic() + wait_s
        while True:
            known = len(view.results)
            with begin_read() as has_room:
                if not has_room:
                    return False
                read = self._read_from_any(view.meta.job, known)
                if read is None:
                    return False
                self._job_store.add_peer_results(view, known, read.rows)
            if len(view.results) > after or view.is_whole():
                return True
            if read.rows:
                # They fill an answer, and there may be more behind them.
                continue
            left_s = end_s - time.monotonic()
            if left_s <= 0:
                return True
            time.sleep(min(_POLL_INTERVAL_S, left_s))

    def _read_from_any(
        self, job: str, after: int
    ) -> jobmessages.JobRead | None:
        for vm in self._candidate_vms(job):
            read = self._read_from_vm(vm, job, after)
            if read is not None:
                return read
        return None

    def _on_read_job(
        self, vm: str, message: jobmessages.ReadJob
    ) -> jobmessages.JobRead:
        del vm
        runner = self._runner
        view = self._job_store.cached(message.job)
        if runner is None or view is None:
            return jobmessages.JobRead(False, (), None)
        # All results are written under the claim, which is removed with the
        # lease: while this VM holds both, no other VM can have written any.
        # The cached results may still be incomplete, if the job was evicted
        # from the cache and read again in part.
        is_latest = (
            runner.result_count(message.job) == len(view.results)
            and self._members.has_valid_lease()
        )
        if not is_latest and not view.is_whole():
            return jobmessages.JobRead(False, (), None)
        meta = None if message.after else view.meta
        return jobmessages.JobRead(
            True, fit_page(view.results[message.after :]), meta
        )

    def running_at(self, vm: str, jobs: Iterable[str]) -> frozenset[str]:
        """Asks a VM which of some jobs it runs; none if it does not answer."""
        asked = jobmessages.FindRunning(tuple(jobs))
        answer = self._peers.call(vm, asked, _CALL_TIMEOUT_S)
        if answer.is_err():
            return frozenset()
        return frozenset(answer.unwrap().jobs)

    def _on_find_running(
        self, vm: str, message: jobmessages.FindRunning
    ) -> jobmessages.Running:
        del vm
        if self._runner is None:
            return jobmessages.Running(())
        return jobmessages.Running(tuple(self._runner.running(message.jobs)))

    def input(self, job: str, item: str) -> bytes | None:
        """Asks the VM that runs a job for an item's body."""
        for vm in self._candidate_vms(job):
            answer = self._peers.call(
                vm, jobmessages.ReadInput(job, item), _CALL_TIMEOUT_S
            )
            if answer.is_ok() and answer.unwrap().body is not None:
                body: bytes = answer.unwrap().body
                return body
        return None

    def _on_read_input(
        self, vm: str, message: jobmessages.ReadInput
    ) -> jobmessages.InputRead:
        del vm
        if self._runner is None:
            return jobmessages.InputRead(None)
        body = self._runner.item_body(message.job, message.item)
        return jobmessages.InputRead(body)


def fit_page(
    results: Iterable[dialect_lib.ItemResult],
) -> tuple[dialect_lib.ItemResult, ...]:
    """Returns the first results, as many as fit one answer.

    Returns at least one result if there is any, however large.
    """
    rows: list[dialect_lib.ItemResult] = []
    size_bytes = 0
    for row in results:
        size_bytes += len(row.output)
        if rows and size_bytes > _MAX_PAGE_BYTES:
            break
        rows.append(row)
    return tuple(rows)
