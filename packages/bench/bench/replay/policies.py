"""What is decided in a replay: as the gateway does, or one thing otherwise."""

from collections.abc import Callable, Iterable
import random
from typing import NamedTuple, Protocol

from gateway import records
from gateway.decisions import slotledger
from gateway.decisions import streamtimeouts

# Of a target.
_EARLY_SHARE = 0.6


class Retries(Protocol):
    """When a stream that does not begin is begun elsewhere."""

    def record_send(self) -> None:
        """Notes a stream that was sent to an upstream."""

    def record_given_up(self) -> None:
        """Notes a stream that was given up as silent."""

    def record_first_event(self, route: str, took_s: float) -> None:
        """Notes how long a stream with a free slot took to begin."""

    def first_event_timeout_s(
        self, route: str, target_s: float, *, starts_at_once: bool
    ) -> float:
        """Returns how long a stream may take to begin."""


class Policy(NamedTuple):
    """The decisions of one replay.

    Attributes:
        ledger: Makes what gives slots.
        retries: Makes a VM's retries with streams.
        has_late_last: Whether items that cannot be in time come last.
    """

    ledger: Callable[[random.Random], slotledger.Ledger]
    retries: Callable[[], Retries]
    has_late_last: bool = True


class _WithoutPreemption(slotledger.Ledger):
    """Never takes a slot from a batch item."""

    def _preemption_victim(
        self,
        choices: Iterable[records.Upstream],
        domain: str,
        now_s: float,
    ) -> str:
        del choices, domain, now_s
        return ""


class _EarlyRetries(streamtimeouts.StreamTimeouts):
    """Retries a stream early whatever is usual, without a budget."""

    def record_given_up(self) -> None:
        """See `Retries`."""

    def first_event_timeout_s(
        self, route: str, target_s: float, *, starts_at_once: bool
    ) -> float:
        """See `Retries`."""
        del route
        if not starts_at_once:
            return streamtimeouts.default_timeout_s(target_s)
        return target_s * _EARLY_SHARE


class _NoEarlyRetries(streamtimeouts.StreamTimeouts):
    """Never gives up a stream early."""

    def first_event_timeout_s(
        self, route: str, target_s: float, *, starts_at_once: bool
    ) -> float:
        """See `Retries`."""
        del route, starts_at_once
        return streamtimeouts.default_timeout_s(target_s)


_PRODUCT = Policy(slotledger.Ledger, streamtimeouts.StreamTimeouts)
POLICIES = {
    "product": _PRODUCT,
    "no-preemption": _PRODUCT._replace(ledger=_WithoutPreemption),
    "early-retry": _PRODUCT._replace(retries=_EarlyRetries),
    "no-early-retry": _PRODUCT._replace(retries=_NoEarlyRetries),
    "by-due-time": _PRODUCT._replace(has_late_last=False),
}
