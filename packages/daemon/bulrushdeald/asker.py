"""Asks one part's owner for credit, one message at a time."""

import threading
from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeald import credit
from bulrushdeald import services

# An owner answers from memory; a longer silence is a fault, and the caller
# is waiting.
ASK_TIMEOUT_S = 0.1
# How long an owner that gave no answer is not asked again.
SILENCE_S = 0.5


class Asked(NamedTuple):
    """What one message brought.

    Attributes:
        is_answered: Whether the owner answered as the owner.
        grants: By customer.
    """

    is_answered: bool
    grants: dict[str, credit.Grant]


class Round:
    """Wants that go in one message."""

    def __init__(self) -> None:
        self.needs: dict[str, float] = {}
        self.wants: dict[str, float] = {}
        self.asked: Asked | None = None

    def add(self, customer: str, need: float, want: float) -> None:
        """Adds a want; several of one customer become one."""
        self.needs[customer] = max(self.needs.get(customer, 0.0), need)
        self.wants[customer] = self.wants.get(customer, 0.0) + want


class Sender:
    """Sends messages of one holder to owners, numbered in order."""

    def __init__(
        self,
        peers: services.Peers,
        clock: clock_lib.Clock,
        incarnation: str,
        timeout_s: float = ASK_TIMEOUT_S,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._incarnation = incarnation
        self._timeout_s = timeout_s
        self._lock = threading.Lock()
        self._seq = 0
        self._silent_until_s: dict[str, float] = {}

    def send(
        self,
        vm: str,
        page: int,
        source: credit.Source,
        wants: tuple[credit.Want, ...],
        lender_for: credit.Source | None = None,
    ) -> Asked:
        """Sends one message; the caller serialises those to one part."""
        if self.is_silent(vm):
            return Asked(False, {})
        with self._lock:
            self._seq += 1
            seq = self._seq
        ask = credit.CreditAsk(
            page,
            source.failure_domain,
            source.epoch,
            self._incarnation,
            seq,
            wants,
            lender_for.failure_domain if lender_for else "",
            lender_for.epoch if lender_for else 0,
        )
        answer = self._peers.call(vm, ask, self._timeout_s)
        if isinstance(answer, result.Err):
            if answer.err_value.kind != "refused":
                until_s = self._clock.monotonic_s() + SILENCE_S
                self._silent_until_s[vm] = until_s
            return Asked(False, {})
        grants = answer.ok_value
        if not isinstance(grants, credit.CreditGrants) or not grants.is_owner:
            return Asked(False, {})
        names = [want.customer for want in wants]
        return Asked(True, dict(zip(names, grants.grants, strict=True)))

    def is_silent(self, vm: str) -> bool:
        """Tells whether a VM gave no answer a moment ago."""
        until_s = self._silent_until_s.get(vm, 0.0)
        return self._clock.monotonic_s() < until_s


class Turnstile:
    """Lets one round at a time go to an owner; others gather meanwhile.

    The owner takes what a message says is held as true, so two messages
    must never be under way at once. Threads that come while one is under
    way share the next.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._is_busy = False
        self._next = Round()

    def join(self, customer: str, need: float, want: float) -> Round:
        """Adds a want and waits for a turn.

        Returns:
            The round that the want is in. If it has not been asked, the
            caller has to send it and then `finish`.
        """
        with self._changed:
            mine = self._next
            mine.add(customer, need, want)
            while self._is_busy and mine.asked is None:
                self._changed.wait()
            return mine if mine.asked is not None else self._begin()

    def enter(self) -> Round:
        """Waits for a turn with nothing to add."""
        with self._changed:
            while self._is_busy:
                self._changed.wait()
            return self._begin()

    def _begin(self) -> Round:
        self._is_busy = True
        begun = self._next
        self._next = Round()
        return begun

    def finish(self, sent: Round, asked: Asked) -> None:
        """Ends the caller's turn."""
        with self._changed:
            sent.asked = asked
            self._is_busy = False
            self._changed.notify_all()
