"""Types that the batch job services share, and messages between VMs."""

from collections.abc import Iterable
from typing import Literal, NamedTuple, Protocol

from gateway import dialect as dialect_lib
from gateway import jobrecords
from gateway import jobstate

ErrorKind = Literal["missing", "unavailable", "unknown", "too_large", "no_room"]


class JobError(NamedTuple):
    """The failure of a call about a job.

    Attributes:
        kind: `missing`: there is no such job or item. `unavailable`:
            nothing was done, and the call can be repeated. `unknown`: the
            store may have made the change. `too_large`: the job exceeds what
            can be stored. `no_room`: the customer's backlog is full; nothing
            was done.
        message: A description for the caller and the log.
        retry_after_s: When to try again, in seconds; 0 if unknown.
    """

    kind: ErrorKind
    message: str
    retry_after_s: float = 0.0


NO_MEMORY = JobError("unavailable", "this VM has no memory for the answer now")


class Accepted(NamedTuple):
    """A job that this VM has accepted and claimed."""

    meta: jobrecords.JobMeta
    items: tuple[dialect_lib.JobItem, ...]
    claim: jobstate.HeldClaim


class EndJob(NamedTuple):
    """Notifies the VM that runs a job that the job was ended."""

    job: str


class Ended(NamedTuple):
    """The answer to `EndJob`."""


class FindRunning(NamedTuple):
    """Asks a VM which of some jobs it runs, whether it has their claims."""

    jobs: tuple[str, ...]


class Running(NamedTuple):
    """The answer to `FindRunning`."""

    jobs: tuple[str, ...]


class ReadJob(NamedTuple):
    """Asks the VM that runs a job for its results from a position on."""

    job: str
    after: int


class JobRead(NamedTuple):
    """The answer to `ReadJob`.

    Attributes:
        is_held: Whether the VM's results are up to date, because it holds the
            job's claim or has all results; if not, the store has to be read.
        rows: Results from the requested position on, as many as fit a page.
        meta: The job's metadata if the results from the start were requested.
    """

    is_held: bool
    rows: tuple[dialect_lib.ItemResult, ...]
    meta: jobrecords.JobMeta | None


class ReadInput(NamedTuple):
    """Asks the VM that runs a job for an item's body."""

    job: str
    item: str


class InputRead(NamedTuple):
    """The answer to `ReadInput`; `None` if the VM does not run the item."""

    body: bytes | None


class JobRunner(Protocol):
    """Runs the jobs that this VM has claimed."""

    def start_job(self, accepted: Accepted) -> None:
        """Starts running a job whose claim this VM holds."""

    def drop(self, job: str) -> None:
        """Stops running a job that was ended; idempotent."""

    def is_accepting(self) -> bool:
        """Returns whether this VM may run jobs that it accepts."""

    def running(self, jobs: Iterable[str]) -> frozenset[str]:
        """Returns which of some jobs this VM runs and goes on running."""

    def result_count(self, job: str) -> int | None:
        """Returns how many results a job that this VM runs has.

        `None` if this VM may no longer hold the job's claim.
        """

    def item_body(self, job: str, item: str) -> bytes | None:
        """Returns the body of an item without a result; `None` if not here."""

    def holder(self, job: str) -> str:
        """Returns the last known holder of a job's claim; empty if unknown."""
