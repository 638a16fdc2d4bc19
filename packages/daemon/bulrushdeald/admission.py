"""Decides on one request: from what is in hand, or by asking owners."""

from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeald import collector as collector_lib
from bulrushdeald import holder as holder_lib
from bulrushdeald import ownership as ownership_lib
from bulrushdeald import services
from bulrushdeald import sharebook
from bulrushdeald import shares

_RETRY_S = 1.0
# Each round brings a message or two; a request is not worth more.
_MAX_ROUNDS = 8
# Other failure domains asked directly while the own one has no owner, and
# how often each: a token that came may go to another request of this VM.
_MAX_DIRECT = 3
_DIRECT_ROUNDS = 3
# A refused customer is refused here without asking for at most this long.
_MAX_PAUSE_S = 0.1
_LEAST_WAIT_S = 0.001

_UNAVAILABLE = services.Refusal(
    503,
    "limits_unavailable",
    "No VM that keeps this customer's limits can be reached.",
    retry_after_s=_RETRY_S,
)


class Pause(NamedTuple):
    """A customer that is refused without asking for a moment.

    Attributes:
        until_s: When that ends.
        pause_s: How long it lasts.
        refusal: What the last request was told.
    """

    until_s: float
    pause_s: float
    refusal: services.Refusal


class Admission:
    """Takes tokens for the requests of one VM, on the requests' threads."""

    def __init__(
        self,
        config: services.Config,
        book: sharebook.ShareBook,
        holder: holder_lib.Holder,
        collector: collector_lib.Collector,
        ownership: ownership_lib.Ownership,
        clock: clock_lib.Clock,
    ) -> None:
        self._config = config
        self._book = book
        self._holder = holder
        self._collector = collector
        self._ownership = ownership
        self._clock = clock
        self._domain = ownership.failure_domain
        self._pauses: dict[str, Pause] = {}

    def take(
        self, customer: str, count: float = 1.0
    ) -> result.Result[None, services.Refusal]:
        """See `services.Limits`."""
        row = self._config.customer(customer)
        if row is None:
            return result.Err(
                services.Refusal(403, "unknown_customer", "No such customer.")
            )
        if count > row.burst:
            return result.Err(
                services.Refusal(
                    429,
                    "rate_limited",
                    f"The request counts {count:g}, more than the customer's"
                    f" burst of {row.burst:g}.",
                )
            )
        self._holder.note_demand(customer, count)
        if self._holder.spend(customer, count):
            return result.Ok(None)
        paused = self._paused(customer)
        if paused is not None:
            return result.Err(paused)
        refusal = self._collect_for(customer, count)
        if refusal is None:
            return result.Ok(None)
        self._pause(customer, refusal)
        return result.Err(refusal)

    def _paused(self, customer: str) -> services.Refusal | None:
        pause = self._pauses.get(customer)
        if pause is None:
            return None
        left_s = pause.until_s - self._clock.monotonic_s()
        if left_s <= 0:
            return None
        passed_s = pause.pause_s - left_s
        wait_s = pause.refusal.retry_after_s - passed_s
        return pause.refusal._replace(retry_after_s=max(wait_s, _LEAST_WAIT_S))

    def _pause(self, customer: str, refusal: services.Refusal) -> None:
        pause_s = min(refusal.retry_after_s, _MAX_PAUSE_S)
        until_s = self._clock.monotonic_s() + pause_s
        self._pauses[customer] = Pause(until_s, pause_s, refusal)

    def _collect_for(
        self, customer: str, count: float
    ) -> services.Refusal | None:
        """Asks owners for credit and spends it.

        Returns:
            `None` if the tokens were spent.
        """
        wait_s = _RETRY_S
        for _ in range(_MAX_ROUNDS):
            need = max(0.0, count - self._holder.in_hand(customer))
            answer = self._holder.ask(self._domain, customer, need, ahead=True)
            if self._holder.spend(customer, count):
                return None
            if not answer.is_answered:
                return self._ask_directly(customer, count)
            if answer.grant is None:
                continue
            wait_s = answer.grant.wait_s or wait_s
            if answer.grant.again_s > 0:
                self._await_collection(customer, answer.grant.again_s)
            elif answer.grant.granted <= 0:
                break
        return _refusal(wait_s)

    def _await_collection(self, customer: str, again_s: float) -> None:
        owned = self._ownership.find(shares.page_of(customer), self._domain)
        if owned is not None:
            self._collector.collect(owned)
            return
        self._clock.sleep_s(again_s)

    def _ask_directly(
        self, customer: str, count: float
    ) -> services.Refusal | None:
        stored = self._book.get(shares.page_of(customer))
        parts = () if stored is None else stored.page.parts
        others = [
            part.failure_domain
            for part in parts
            if part.failure_domain != self._domain and part.vm
        ]
        others = shares.rank(f"{self._domain}/{customer}", others)
        refusal = _UNAVAILABLE
        for failure_domain in others[:_MAX_DIRECT]:
            for _ in range(_DIRECT_ROUNDS):
                need = max(0.0, count - self._holder.in_hand(customer))
                answer = self._holder.ask(
                    failure_domain, customer, need, ahead=False
                )
                if self._holder.spend(customer, count):
                    return None
                if answer.grant is None:
                    break
                refusal = _refusal(answer.grant.wait_s or _RETRY_S)
                if answer.grant.granted <= 0:
                    break
        return refusal


def _refusal(wait_s: float) -> services.Refusal:
    return services.Refusal(
        429,
        "rate_limited",
        "The customer's rate and burst are used up.",
        retry_after_s=max(wait_s, _LEAST_WAIT_S),
    )
