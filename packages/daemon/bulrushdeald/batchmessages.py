"""Messages between the VMs that run batch chunks and their coordinators."""

from typing import Literal, NamedTuple

from bulrushdeald import batchrecords

EndState = Literal["open", "done", "void", "unsure"]


class Holding(NamedTuple):
    """A chunk that a VM runs, as its record stands."""

    job: str
    chunk: int
    epoch: int
    revision: int


class Ended(NamedTuple):
    """A chunk that a VM no longer runs.

    Attributes:
        job: The job.
        chunk: Its number.
        state: As the record stands; `unsure` asks to read it again.
        epoch: The epoch of the record.
        revision: The record's revision.
    """

    job: str
    chunk: int
    state: EndState
    epoch: int = 0
    revision: int = 0


class WorkReport(NamedTuple):
    """What a VM runs and wants, told to a coordinator about its jobs.

    Attributes:
        incarnation: The run of the VM's process.
        holding: The chunks that it runs.
        ended: The chunks that it ran since the last report.
        wanted: How many more it would take.
        models: The models that it has free upstreams for.
    """

    incarnation: str
    holding: tuple[Holding, ...]
    ended: tuple[Ended, ...]
    wanted: int
    models: tuple[str, ...]


class Offer(NamedTuple):
    """A chunk that may be claimed; only the platform decides who gets it.

    Attributes:
        job: The job.
        chunk: Its number.
        epoch: The epoch to claim it under.
        revision: The revision that the record is expected to have.
    """

    job: str
    chunk: int
    epoch: int
    revision: int


class WorkOffers(NamedTuple):
    """A coordinator's answer to a report.

    Attributes:
        offers: Chunks to claim.
        stop: Jobs that were cancelled.
        weight: The batch weights of customers with chunks left, added up.
        known: Jobs of the report that it coordinates.
        lost: Chunks of the report that another VM has claimed since.
    """

    offers: tuple[Offer, ...]
    stop: tuple[str, ...]
    weight: float
    known: tuple[str, ...] = ()
    lost: tuple[Holding, ...] = ()


class JobNotice(NamedTuple):
    """Tells a coordinator of a new or a cancelled job."""

    entry: batchrecords.QueueEntry


class StopJob(NamedTuple):
    """Tells a VM that runs chunks of a job that it was cancelled."""

    job: str


class HoldQuery(NamedTuple):
    """Asks a VM whether it still runs a chunk."""

    job: str
    chunk: int
    epoch: int


class HoldAnswer(NamedTuple):
    """Whether the VM runs the chunk, in this run of its process."""

    incarnation: str
    is_held: bool


class CoordinatorPing(NamedTuple):
    """Asks whether a VM coordinates; any answer will do."""

    incarnation: str


class Noted(NamedTuple):
    """The message was taken in."""


ANSWERS = (WorkOffers, HoldAnswer, Noted)
