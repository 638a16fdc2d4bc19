"""Finds the VM that runs a batch job, through one directory VM per job."""

import collections
import queue
import threading
from typing import Any, NamedTuple

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from bulrushdeald import services
from gateway import members

_CALL_TIMEOUT_S = 0.3
_MAX_JOBS = 20_000


class RunsJob(NamedTuple):
    """Announces that the sender runs a job from now on."""

    job: str


class JobNoted(NamedTuple):
    """The answer to `RunsJob`."""


class FindJob(NamedTuple):
    """Asks which VM ran a job last."""

    job: str


class JobFound(NamedTuple):
    """The answer to `FindJob`; `vm` is empty if none is known."""

    vm: str


class JobDirectory:
    """Finds the VM that runs a job, or ran it last, without the store.

    For each job one VM, chosen by the job's id, keeps in memory which VM runs
    it. The listing of claims does not suffice: it is seconds old and lacks
    finished jobs, while a caller reads its job twice a second, each time at
    another VM. Each such read would cost three calls to the store, and their
    number grows with that of the VMs.
    """

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._lock = threading.Lock()
        # The VM that runs each job, the latest announcement last.
        self._vm_by_job: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._unannounced: queue.SimpleQueue[str | None] = queue.SimpleQueue()

    def start(self) -> None:
        """Starts answering other VMs and announcing jobs."""
        find = self._kernel.find
        self._members = find(services.MEMBERSHIP, members.Members)
        self._peers = find(services.PEERS, services.Peers)
        self._peers.register_handler(
            RunsJob, services.InlineHandler(self._on_runs_job)
        )
        self._peers.register_handler(
            FindJob, services.InlineHandler(self._on_find_job)
        )
        self._peers.register_answers(JobNoted, JobFound)
        threads.start(self._announce_jobs, "directory")

    def stop(self, grace_s: float) -> None:
        """Ends the thread."""
        del grace_s
        self._unannounced.put(None)

    def dump(self) -> Any:
        """Returns how many jobs this VM keeps the directory of."""
        return {"known": len(self._vm_by_job)}

    def announce(self, job: str) -> None:
        """Queues the announcement that this VM runs a job."""
        self._unannounced.put(job)

    def find(self, job: str) -> str:
        """Returns the VM that ran a job last.

        Empty if none is known, or if that VM is suspected to have failed.
        """
        found = self._peers.call(
            self._directory_vm(job), FindJob(job), _CALL_TIMEOUT_S
        )
        if found.is_err():
            return ""
        vm: str = found.unwrap().vm
        return "" if self._members.is_suspected(vm) else vm

    def _directory_vm(self, job: str) -> str:
        return self._members.leaders(f"job {job}")[0]

    def _announce_jobs(self) -> None:
        while (job := self._unannounced.get()) is not None:
            # A lost announcement only costs reads from the store.
            self._peers.call(
                self._directory_vm(job), RunsJob(job), _CALL_TIMEOUT_S
            )

    def _on_runs_job(self, vm: str, message: RunsJob) -> JobNoted:
        with self._lock:
            self._vm_by_job[message.job] = vm
            self._vm_by_job.move_to_end(message.job)
            while len(self._vm_by_job) > _MAX_JOBS:
                self._vm_by_job.popitem(last=False)
        return JobNoted()

    def _on_find_job(self, vm: str, message: FindJob) -> JobFound:
        del vm
        return JobFound(self._vm_by_job.get(message.job, ""))
