"""What VMs tell the leader of a service about its slots, and back."""

from typing import NamedTuple

from gateway.decisions import slotledger


class Take(NamedTuple):
    """Asks a service's leader for a slot for an online request."""

    service: str
    run: str
    target_s: float
    excluded: tuple[str, ...]
    domain: str


class Taken(NamedTuple):
    """The engine; empty if there is no room before `retry_after_s`.

    Attributes:
        instance: The engine's name.
        retry_after_s: When to come back.
        occupancy: How full the engines are if there is no room.
        is_queued: Whether the request has to wait inside the engine.
    """

    instance: str
    retry_after_s: float
    occupancy: slotledger.Occupancy | None
    is_queued: bool = False


class TakeBatch(NamedTuple):
    """Asks a service's leader for slots for batch items.

    Attributes:
        service: The service.
        runs: One for each slot asked for, those that come first in front.
        excluded: Upstreams that are not to be used.
    """

    service: str
    runs: tuple[slotledger.BatchRun, ...]
    excluded: tuple[str, ...]


class TakenBatch(NamedTuple):
    """The engines of the first of the runs asked for."""

    instances: tuple[str, ...]


class Released(NamedTuple):
    """A run that ended, and how."""

    run: str
    outcome: slotledger.Outcome


class News(NamedTuple):
    """Gives slots back, and tells what engines said of their load."""

    service: str
    released: tuple[Released, ...]
    loads: tuple[slotledger.Load, ...]


class Report(NamedTuple):
    """All that a VM runs on the engines of a service."""

    service: str
    rows: tuple[slotledger.ReportRow, ...]


class Yield(NamedTuple):
    """Asks a VM to end batch runs, whose slots are given to others."""

    runs: tuple[str, ...]


class Done(NamedTuple):
    """The answer to a message that asks nothing."""
