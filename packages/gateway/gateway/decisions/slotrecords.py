"""What VMs and the ledger of a service tell each other about its slots."""

from typing import Literal, NamedTuple

from gateway.decisions import batchorder
from gateway.decisions import placementfigures
from gateway.decisions import requestcosts
from gateway.decisions import requesters

# How a run ended, as a sign of its engine's health.
Outcome = Literal["unknown", "ok", "failed"]


class Run(NamedTuple):
    """A request that holds a slot.

    Attributes:
        vm: The VM that sends the request.
        instance: The engine it runs on.
        since_s: When it got the slot, by the monotonic clock.
        priority: The priority of a batch item; `None` for an online request.
        is_silent: See `ReportRow`.
        cost: What the request costs.
        customer: The customer of an online request; empty for none.
        charged_s: The slot time that the customer was charged for it.
    """

    vm: str
    instance: str
    since_s: float
    priority: batchorder.ItemPriority | None = None
    is_silent: bool = False
    cost: requestcosts.RequestCost = requestcosts.UNKNOWN
    customer: str = ""
    charged_s: float = 0.0


class BatchRun(NamedTuple):
    """A request for a slot for a batch item.

    Attributes:
        run: The unique name of the run.
        priority: The priority of the item.
        cost: What the item costs.
    """

    run: str
    priority: batchorder.ItemPriority
    cost: requestcosts.RequestCost = requestcosts.UNKNOWN


class Grant(NamedTuple):
    """A slot for a request.

    Attributes:
        instance: The engine.
        preempted: The batch runs that are preempted for it.
        is_queued: Whether the request has to wait in the engine's queue.
        figures: What the engine was chosen by, if it is known.
    """

    instance: str
    preempted: tuple[str, ...] = ()
    is_queued: bool = False
    figures: placementfigures.PlacementFigures | None = None


class Occupancy(NamedTuple):
    """How full the engines are that a request may use.

    Attributes:
        taken: The estimated number of requests on these engines.
        slots: The number of slots of these engines.
    """

    taken: float
    slots: int


class Refusal(NamedTuple):
    """No slot now: the request is refused, or waits for a grant.

    Attributes:
        retry_after_s: When to try again, in seconds from now; 0 if that is no
            use. If the request waits, counted from the end of its wait.
        occupancy: How full the engines were.
        is_too_large: Whether no engine can take the request.
        wait_s: How long the request waits for a grant, in seconds; 0 if it is
            refused.
        share_used: The usage of its customer in parts of its fair share.
    """

    retry_after_s: float
    occupancy: Occupancy
    is_too_large: bool = False
    wait_s: float = 0.0
    share_used: float = 0.0


class Answer(NamedTuple):
    """What became of a request that waited.

    Attributes:
        vm: The VM that sends the request.
        run: The unique name of its run.
        decision: The slot, or the refusal if another request displaced it.
    """

    vm: str
    run: str
    decision: Grant | Refusal


class WaitingState(NamedTuple):
    """A request that waits for a grant, as its VM reports it.

    Attributes:
        waited_s: How long it has waited, in seconds.
        target_s: The target latency of its answer, in seconds.
        excluded: Upstreams that are not to be used.
        domain: The failure domain of its VM.
    """

    waited_s: float
    target_s: float
    excluded: tuple[str, ...] = ()
    domain: str = ""


class ReportRow(NamedTuple):
    """One run as its VM reports it.

    Attributes:
        run: The unique name of the run.
        instance: The engine it runs on; empty if it waits for a grant.
        priority: The current priority of a batch item; `None` for an online
            request.
        is_silent: Whether an answer is outstanding and the engine has sent
            nothing recently.
        cost: What the request costs.
        requester: Who sends an online request. Its patience is the time left
            if the request waits.
        waiting: The request's wait for a grant; `None` if it has a slot.
    """

    run: str
    instance: str
    priority: batchorder.ItemPriority | None = None
    is_silent: bool = False
    cost: requestcosts.RequestCost = requestcosts.UNKNOWN
    requester: requesters.Requester = requesters.UNKNOWN
    waiting: WaitingState | None = None


class Load(NamedTuple):
    """The load that an engine has just reported.

    Attributes:
        instance: The engine.
        busy: The number of its running and waiting requests.
        pace: How long work takes on it now, 1.0 as usual; 0 if not reported.
    """

    instance: str
    busy: int
    pace: float = 0.0
