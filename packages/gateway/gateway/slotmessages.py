"""Messages between VMs and the leader of a service about its slots."""

from typing import NamedTuple

from gateway.decisions import placementfigures
from gateway.decisions import requestcosts
from gateway.decisions import requesters
from gateway.decisions import slotrecords


class Take(NamedTuple):
    """Asks a service's leader for a slot for an online request.

    Attributes:
        service: The service.
        run: The run's name, unique over all VMs.
        target_s: The time in which the answer should begin, in seconds.
        excluded: Upstreams that are not to be used.
        domain: The failure domain of the requesting VM.
        cost: What the request costs.
        requester: Who sends the request, and how long it can wait.
    """

    service: str
    run: str
    target_s: float
    excluded: tuple[str, ...]
    domain: str
    cost: requestcosts.RequestCost = requestcosts.UNKNOWN
    requester: requesters.Requester = requesters.UNKNOWN


class Taken(NamedTuple):
    """The answer to `Take`: the engine whose slot is granted, if any.

    Attributes:
        instance: The engine's name; empty if no slot is granted.
        retry_after_s: Seconds until a retry, if no slot is granted; 0 if a
            retry is no use.
        occupancy: How full the engines are, if no slot is granted.
        is_queued: Whether the request has to wait inside the engine.
        figures: What the engine was chosen by, if it is known.
        is_too_large: Whether no engine can take the request.
        wait_s: How long the request waits for `Granted`, in seconds; 0 if it
            does not wait. Then it is refused with the retry stated here.
        share_used: The usage of the customer in parts of its fair share, if no
            slot is granted.
    """

    instance: str
    retry_after_s: float
    occupancy: slotrecords.Occupancy | None
    is_queued: bool = False
    figures: placementfigures.PlacementFigures | None = None
    is_too_large: bool = False
    wait_s: float = 0.0
    share_used: float = 0.0


class Granted(NamedTuple):
    """Tells a VM what became of a request that waited for a slot.

    Attributes:
        service: The service.
        run: The run's name.
        answer: The slot, or a refusal if another request displaced it.
    """

    service: str
    run: str
    answer: Taken


class TakeBatch(NamedTuple):
    """Asks a service's leader for slots for batch items.

    Attributes:
        service: The service.
        runs: One run for each requested slot, in the order of their turn.
        excluded: Upstreams that are not to be used.
    """

    service: str
    runs: tuple[slotrecords.BatchRun, ...]
    excluded: tuple[str, ...]


class TakenBatch(NamedTuple):
    """The answer to `TakeBatch`.

    Attributes:
        instances: The engines for the first of the requested runs, in order;
            empty for a run that no engine has memory for. The other runs find
            no slot.
    """

    instances: tuple[str, ...]


class Released(NamedTuple):
    """A run that has ended.

    Attributes:
        run: The run's name.
        outcome: How it ended.
        first_event_s: From the grant to the first event, in seconds; 0 if
            unknown or if the run waited in the engine's queue.
    """

    run: str
    outcome: slotrecords.Outcome
    first_event_s: float = 0.0


class Began(NamedTuple):
    """A run with a long prompt that has sent its first event."""

    run: str


class News(NamedTuple):
    """Reports released slots, engines' loads and prompts that were read."""

    service: str
    released: tuple[Released, ...]
    loads: tuple[slotrecords.Load, ...]
    began: tuple[Began, ...] = ()


class Report(NamedTuple):
    """All runs of a VM on the engines of a service."""

    service: str
    rows: tuple[slotrecords.ReportRow, ...]


class Yield(NamedTuple):
    """Asks a VM to end batch runs whose slots were granted to others."""

    runs: tuple[str, ...]


class Done(NamedTuple):
    """The answer to a message that needs no reply data."""
