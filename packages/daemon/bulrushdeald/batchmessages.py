"""Messages between the VMs that run batch chunks and their coordinators.

The class name of a message is its tag on the wire, and its fields are sent by
position.
"""

from typing import Literal, NamedTuple

from bulrushdeald import batchrecords

EndState = Literal["open", "done", "void", "unsure"]


class Holding(NamedTuple):
    """A VM's claim on a chunk.

    Attributes:
        job: The job's ID.
        chunk: The chunk's number.
        epoch: The epoch of the claim.
        revision: The revision of the chunk's record after the claim.
    """

    job: str
    chunk: int
    epoch: int
    revision: int


class Ended(NamedTuple):
    """A chunk that a VM no longer runs.

    Attributes:
        job: The job's ID.
        chunk: The chunk's number.
        state: The state of the chunk's record. `unsure` if the VM does not
            know it, so that the coordinator must read the record again.
        epoch: The epoch of the record; 0 if unknown.
        revision: The revision of the record; 0 if unknown.
    """

    job: str
    chunk: int
    state: EndState
    epoch: int = 0
    revision: int = 0


class WorkReport(NamedTuple):
    """A VM's report of its chunks and its demand for work to a coordinator.

    Attributes:
        incarnation: The random name of this run of the VM's process.
        holding: The chunks that the VM runs.
        ended: The chunks that ended there since the last report.
        wanted: How many more chunks it would claim.
        models: The models for which it has usable upstreams.
    """

    incarnation: str
    holding: tuple[Holding, ...]
    ended: tuple[Ended, ...]
    wanted: int
    models: tuple[str, ...]


class Offer(NamedTuple):
    """A chunk that a VM may try to claim.

    Several VMs may be offered the same chunk. The compare-and-swap of its
    record in the platform's key-value service decides which of them gets it.

    Attributes:
        job: The job's ID.
        chunk: The chunk's number.
        epoch: The epoch to claim it under.
        revision: The expected revision of its record; 0 if it has none.
    """

    job: str
    chunk: int
    epoch: int
    revision: int


class WorkOffers(NamedTuple):
    """A coordinator's answer to a report.

    Attributes:
        offers: Chunks to claim.
        stop: Jobs in the report that were cancelled.
        weight: The sum of the batch weights of the customers that have chunks
            left which the reporting VM could run.
        known: Jobs in the report that this coordinator has loaded.
        lost: Chunks in the report that another VM has claimed since.
    """

    offers: tuple[Offer, ...]
    stop: tuple[str, ...]
    weight: float
    known: tuple[str, ...] = ()
    lost: tuple[Holding, ...] = ()


class JobNotice(NamedTuple):
    """Notifies a coordinator of a new or a cancelled job."""

    entry: batchrecords.QueueEntry


class StopJob(NamedTuple):
    """Asks a VM to stop its chunks of a job that was cancelled."""

    job: str


class HoldQuery(NamedTuple):
    """Asks a VM whether it still holds a chunk under an epoch."""

    job: str
    chunk: int
    epoch: int


class HoldAnswer(NamedTuple):
    """The answer to a `HoldQuery`.

    Attributes:
        incarnation: The random name of this run of the VM's process.
        is_held: Whether this process holds the chunk under the epoch.
    """

    incarnation: str
    is_held: bool


class CoordinatorPing(NamedTuple):
    """Checks that a VM answers, so that it can coordinate jobs."""

    incarnation: str


class Noted(NamedTuple):
    """Acknowledges a message that needs no other answer."""


ANSWERS = (WorkOffers, HoldAnswer, Noted)
