"""Admits or refuses one request, with credit held or granted by owners."""

from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeald import collector as collector_lib
from bulrushdeald import creditholder
from bulrushdeald import limitrecords
from bulrushdeald import limitrecordstore
from bulrushdeald import ownership as ownership_lib
from bulrushdeald import services

_RETRY_S = 1.0
# Most times that one request asks its part's owner. A round costs one or two
# messages, and a single request does not justify more.
_MAX_ROUNDS = 8
# If the owner in this VM's failure domain does not answer, the owners in this
# many other failure domains are asked, each up to `_ROUNDS_PER_DOMAIN` times: a
# granted token may be spent by another request of this VM first.
_MAX_OTHER_DOMAINS = 3
_ROUNDS_PER_DOMAIN = 3
# After a refusal, further requests of the customer are refused without asking
# an owner for at most this long.
_MAX_REFUSAL_CACHE_S = 0.1
_MIN_WAIT_S = 0.001

_UNAVAILABLE = services.Refusal(
    503,
    "limits_unavailable",
    "No VM that keeps this customer's limits can be reached.",
    retry_after_s=_RETRY_S,
)


class CachedRefusal(NamedTuple):
    """A refusal that is repeated for a short time without asking an owner.

    Attributes:
        expires_s: Monotonic time at which the entry expires.
        lifetime_s: Time from the refusal to its expiry.
        refusal: The refusal of the last request that asked.
    """

    expires_s: float
    lifetime_s: float
    refusal: services.Refusal


class Admission:
    """Takes tokens for one VM's requests, on the calling threads."""

    def __init__(
        self,
        config: services.Config,
        book: limitrecordstore.ShareBook,
        holder: creditholder.Holder,
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
        self._cached_refusals: dict[str, CachedRefusal] = {}

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
        cached = self._cached_refusal(customer)
        if cached is not None:
            return result.Err(cached)
        refusal = self._request_tokens(customer, count)
        if refusal is None:
            return result.Ok(None)
        self._cache_refusal(customer, refusal)
        return result.Err(refusal)

    def _cached_refusal(self, customer: str) -> services.Refusal | None:
        cached = self._cached_refusals.get(customer)
        if cached is None:
            return None
        left_s = cached.expires_s - self._clock.monotonic_s()
        if left_s <= 0:
            return None
        age_s = cached.lifetime_s - left_s
        wait_s = cached.refusal.retry_after_s - age_s
        return cached.refusal._replace(retry_after_s=max(wait_s, _MIN_WAIT_S))

    def _cache_refusal(self, customer: str, refusal: services.Refusal) -> None:
        lifetime_s = min(refusal.retry_after_s, _MAX_REFUSAL_CACHE_S)
        expires_s = self._clock.monotonic_s() + lifetime_s
        self._cached_refusals[customer] = CachedRefusal(
            expires_s, lifetime_s, refusal
        )

    def _request_tokens(
        self, customer: str, count: float
    ) -> services.Refusal | None:
        """Asks owners for credit and spends it.

        Returns:
            `None` if the tokens were spent, or else the refusal.
        """
        wait_s = _RETRY_S
        for _ in range(_MAX_ROUNDS):
            need = max(0.0, count - self._holder.available(customer))
            answer = self._holder.ask(
                self._domain, customer, need, prefetch=True
            )
            if self._holder.spend(customer, count):
                return None
            if not answer.is_answered:
                return self._ask_other_domains(customer, count)
            if answer.grant is None:
                continue
            wait_s = answer.grant.wait_s or wait_s
            if answer.grant.retry_after_s > 0:
                self._await_collection(customer, answer.grant.retry_after_s)
            elif answer.grant.granted <= 0:
                break
        return _rate_limited(wait_s)

    def _await_collection(self, customer: str, retry_after_s: float) -> None:
        owned = self._ownership.find(
            limitrecords.page_of(customer), self._domain
        )
        if owned is not None:
            self._collector.collect(owned)
            return
        self._clock.sleep_s(retry_after_s)

    def _ask_other_domains(
        self, customer: str, count: float
    ) -> services.Refusal | None:
        stored = self._book.get(limitrecords.page_of(customer))
        parts = () if stored is None else stored.page.parts
        domains = [
            part.failure_domain
            for part in parts
            if part.failure_domain != self._domain and part.vm
        ]
        domains = limitrecords.rank(f"{self._domain}/{customer}", domains)
        refusal = _UNAVAILABLE
        for failure_domain in domains[:_MAX_OTHER_DOMAINS]:
            for _ in range(_ROUNDS_PER_DOMAIN):
                need = max(0.0, count - self._holder.available(customer))
                answer = self._holder.ask(
                    failure_domain, customer, need, prefetch=False
                )
                if self._holder.spend(customer, count):
                    return None
                if answer.grant is None:
                    break
                refusal = _rate_limited(answer.grant.wait_s or _RETRY_S)
                if answer.grant.granted <= 0:
                    break
        return refusal


def _rate_limited(wait_s: float) -> services.Refusal:
    return services.Refusal(
        429,
        "rate_limited",
        "The customer's rate and burst are used up.",
        retry_after_s=max(wait_s, _MIN_WAIT_S),
    )
