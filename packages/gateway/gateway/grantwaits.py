"""The requests of this VM that wait for a grant of their service's leader."""

from collections.abc import Callable
import threading
import time

from bulrushdeal import eventlog
from gateway import opencalls
from gateway import slotmessages
from gateway.decisions import slotrecords

_events = eventlog.Events("waiting")

Send = Callable[[slotmessages.Take], slotmessages.Taken | None]


class _Wait:
    """One waiting request.

    Attributes:
        take: What it asked for.
        answer: What became of it; `None` as long as that is not known.
        is_over: Set when there is an answer, or when the caller has left.
        until_s: When it gives up, by the monotonic clock; 0 until the leader
            has said that it waits.
    """

    def __init__(self, take: slotmessages.Take) -> None:
        self.take = take
        self.answer: slotmessages.Taken | None = None
        self.is_over = threading.Event()
        self.until_s = 0.0
        self.since_s = time.monotonic()


class GrantWaits:
    """All waiting requests of this VM; thread-safe.

    Args:
        is_held: Returns whether a run holds a slot of this VM.
        give_back: Tells the leader of a service that a run is over.
    """

    def __init__(
        self,
        is_held: Callable[[str], bool],
        give_back: Callable[[str, str], None],
    ) -> None:
        self._is_held = is_held
        self._give_back = give_back
        self._lock = threading.Lock()
        self._waits: dict[str, _Wait] = {}

    def request(
        self,
        take: slotmessages.Take,
        send: Send,
        call: opencalls.Call | None,
    ) -> slotmessages.Taken | None:
        """Asks the leader for a slot and waits for the grant if it says so.

        Args:
            take: What to ask for.
            send: Sends it and returns the leader's answer.
            call: The caller's request; the wait ends with it.

        Returns:
            The answer; `None` if no leader answers.
        """
        wait = _Wait(take)
        # A grant may overtake the answer that says to wait for it.
        with self._lock:
            self._waits[take.run] = wait
        taken: slotmessages.Taken | None = None
        try:
            taken = send(take)
            if taken is not None and taken.wait_s > 0:
                self._wait(wait, taken, call)
        finally:
            with self._lock:
                del self._waits[take.run]
        if taken is None or taken.wait_s <= 0:
            return taken
        if wait.answer is None:
            self._give_back(take.service, take.run)
        answer = wait.answer or taken
        _log(wait, answer, call)
        return answer

    def on_granted(
        self, vm: str, message: slotmessages.Granted
    ) -> slotmessages.Done:
        """Ends the wait of a request; a grant that comes late is given back."""
        del vm
        with self._lock:
            wait = self._waits.get(message.run)
            if wait is not None:
                wait.answer = wait.answer or message.answer
                wait.is_over.set()
        is_late = wait is None and message.answer.instance != ""
        if is_late and not self._is_held(message.run):
            self._give_back(message.service, message.run)
        return slotmessages.Done()

    def services(self) -> set[str]:
        """Returns the services whose leaders know a waiting request."""
        with self._lock:
            return {
                wait.take.service
                for wait in self._waits.values()
                if wait.until_s
            }

    def report(self, service: str) -> tuple[slotrecords.ReportRow, ...]:
        """Returns the waiting requests that a service's leader has to know."""
        now_s = time.monotonic()
        with self._lock:
            return tuple(
                _report_row(wait, now_s)
                for wait in self._waits.values()
                if wait.take.service == service
                and wait.until_s > now_s
                and wait.answer is None
            )

    def _wait(
        self,
        wait: _Wait,
        taken: slotmessages.Taken,
        call: opencalls.Call | None,
    ) -> None:
        wait_s = min(taken.wait_s, wait.take.requester.wait_s)
        with self._lock:
            wait.until_s = time.monotonic() + wait_s
        if call is not None:
            call.on_end(wait.is_over.set)
        wait.is_over.wait(wait_s)


def _report_row(wait: _Wait, now_s: float) -> slotrecords.ReportRow:
    take = wait.take
    return slotrecords.ReportRow(
        take.run,
        "",
        cost=take.cost,
        requester=take.requester._replace(patience_s=wait.until_s - now_s),
        waiting=slotrecords.WaitingState(
            now_s - wait.since_s, take.target_s, take.excluded, take.domain
        ),
    )


def _log(
    wait: _Wait, answer: slotmessages.Taken, call: opencalls.Call | None
) -> None:
    """Logs how a wait ended; the rate of these lines is limited."""
    requester = wait.take.requester
    _events.sampled_info(
        "waited",
        request="" if call is None else call.attempt,
        customer=requester.customer,
        service=wait.take.service,
        customer_priority=requester.customer_priority,
        route_priority=requester.route_priority,
        waited_s=round(time.monotonic() - wait.since_s, 3),
        upstream=answer.instance,
        outcome=_outcome(wait, answer, call),
        share_used=round(answer.share_used, 2),
    )


def _outcome(
    wait: _Wait, answer: slotmessages.Taken, call: opencalls.Call | None
) -> str:
    if answer.instance:
        return "granted"
    if wait.answer is not None:
        return "displaced"
    return (call.reason if call is not None else "") or "timed_out"


def log_refusal(
    take: slotmessages.Take,
    taken: slotmessages.Taken,
    call: opencalls.Call | None,
) -> None:
    """Logs a request that was refused; the rate of the lines is limited."""
    requester = take.requester
    _events.sampled_info(
        "turned_away",
        request="" if call is None else call.attempt,
        service=take.service,
        customer=requester.customer,
        customer_priority=requester.customer_priority,
        route_priority=requester.route_priority,
        why="too_large" if taken.is_too_large else "full",
        share_used=round(taken.share_used, 2),
        retry_after_s=round(taken.retry_after_s, 3),
    )
