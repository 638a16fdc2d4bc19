"""Logs why each request went to its upstream."""

from bulrushdeal import eventlog
from gateway import heldslots

_events = eventlog.Events("grants")


def log(slot: heldslots.Slot, **ids: str) -> None:
    """Logs a slot that was granted; the rate of these lines is limited.

    Args:
        slot: The slot.
        **ids: What identifies the request.
    """
    figures = slot.figures
    _events.sampled_info(
        "granted",
        **ids,
        upstream=slot.upstream.instance,
        input_tokens=slot.cost.input_tokens,
        output_tokens=slot.cost.output_tokens,
        by_leader=slot.is_granted_by_leader,
        is_queued=slot.is_queued,
        list_age_s=round(slot.list_age_s, 3),
        **({} if figures is None else figures.rounded()),
    )
