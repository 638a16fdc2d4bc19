"""Asks the owner of a part for credit, one message at a time."""

import threading
from typing import NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeald import credit
from bulrushdeald import services

# An owner answers from memory, so a longer delay is a fault, and a caller's
# request is waiting.
ASK_TIMEOUT_S = 0.1
# How long a VM is not asked again after a call to it had no answer.
BACKOFF_S = 0.5


class OwnerReply(NamedTuple):
    """The result of one message to an owner.

    Attributes:
        is_answered: Whether the VM answered and owns the part.
        grants: The grants by customer; empty if there is no such answer.
    """

    is_answered: bool
    grants: dict[str, credit.Grant]


class PendingAsk:
    """Requests for credit that are sent to an owner in one message.

    Attributes:
        needs: The largest need of any one request, in tokens by customer.
        wants: The sum of the tokens wanted, by customer.
        reply: The owner's reply; `None` until the message was sent.
    """

    def __init__(self) -> None:
        self.needs: dict[str, float] = {}
        self.wants: dict[str, float] = {}
        self.reply: OwnerReply | None = None

    def add(self, customer: str, need: float, want: float) -> None:
        """Adds a request, merged with earlier ones of the same customer."""
        self.needs[customer] = max(self.needs.get(customer, 0.0), need)
        self.wants[customer] = self.wants.get(customer, 0.0) + want


class Sender:
    """Sends one VM's messages to owners, with ascending sequence numbers."""

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
    ) -> OwnerReply:
        """Sends one message to a part's owner and waits for the answer.

        A caller must not have two messages to one part in flight.

        Args:
            vm: The owner.
            page: The page of the part.
            source: The part and its epoch.
            wants: One for each customer.
            lender_for: Set if an owner borrows: its own part and epoch.

        Returns:
            The owner's reply; not answered if the VM is backed off, the call
            fails, or the VM does not own the part.
        """
        if self.is_silent(vm):
            return OwnerReply(False, {})
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
                until_s = self._clock.monotonic_s() + BACKOFF_S
                self._silent_until_s[vm] = until_s
            return OwnerReply(False, {})
        grants = answer.ok_value
        if not isinstance(grants, credit.CreditGrants) or not grants.is_owner:
            return OwnerReply(False, {})
        names = [want.customer for want in wants]
        return OwnerReply(True, dict(zip(names, grants.grants, strict=True)))

    def is_silent(self, vm: str) -> bool:
        """Returns whether a recent call to a VM had no answer."""
        until_s = self._silent_until_s.get(vm, 0.0)
        return self._clock.monotonic_s() < until_s


class Coalescer:
    """Coalesces the requests of several threads to one owner.

    The owner replaces its count of the credit held here by the value in each
    message, so two messages must never be in flight at once. Threads that
    arrive while a message is in flight share the next one.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._is_busy = False
        self._next = PendingAsk()

    def join(self, customer: str, need: float, want: float) -> PendingAsk:
        """Adds a request to the next message and waits for its turn.

        Returns:
            The message that includes the request. If its `reply` is `None`,
            the caller must send it and then call `finish`.
        """
        with self._changed:
            pending = self._next
            pending.add(customer, need, want)
            while self._is_busy and pending.reply is None:
                self._changed.wait()
            return pending if pending.reply is not None else self._begin()

    def enter(self) -> PendingAsk:
        """Waits for a turn to send a message without adding a request.

        Returns:
            The message; the caller must send it and then call `finish`.
        """
        with self._changed:
            while self._is_busy:
                self._changed.wait()
            return self._begin()

    def _begin(self) -> PendingAsk:
        self._is_busy = True
        pending = self._next
        self._next = PendingAsk()
        return pending

    def finish(self, sent: PendingAsk, reply: OwnerReply) -> None:
        """Ends the caller's turn and gives the reply to waiting threads."""
        with self._changed:
            sent.reply = reply
            self._is_busy = False
            self._changed.notify_all()
