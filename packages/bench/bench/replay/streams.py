"""Online streams of a replay, at the VM that took them."""

from collections.abc import Callable
from typing import NamedTuple

from bench.replay import engine as engine_lib
from bench.replay import loads
from bench.replay import policies
from bench.replay import slots as slots_lib
from bench.replay import tally
from gateway.decisions import slotledger


class _Request:
    """A stream on its way.

    Attributes:
        spec: Its kind.
        events: That it will have.
        came_s: When its caller asked first.
        asked_s: When its caller asked last.
        returns: How often its caller came back.
        runs: At engines so far.
        tried: The engines.
        run: Names its run of now; empty if there is none.
        first_s: When its first event came; 0 if none did.
        last_s: When its latest event came.
        longest_s: The longest pause between two events.
        end: How it ended; `None` while it goes on.
    """

    def __init__(self, spec: loads.Streams, events: int, now_s: float) -> None:
        self.spec = spec
        self.events = events
        self.came_s = self.asked_s = now_s
        self.returns = 0
        self.runs = 0
        self.tried: list[str] = []
        self.run = ""
        self.first_s = self.last_s = self.longest_s = 0.0
        self.end: tally.End | None = None

    def may_run_again(self) -> bool:
        """Tells whether it may have a run besides the one it has."""
        return self.runs < self.spec.max_attempts

    def is_in_time(self) -> bool:
        """Tells whether it began in time and did not pause too long."""
        began_s = self.first_s - self.asked_s
        has_paused = self.longest_s > self.spec.pause_target_s
        return began_s <= self.spec.target_s and not has_paused


class _Sent(NamedTuple):
    """When a run was sent, and whether it waits inside its engine."""

    at_s: float
    is_queued: bool


class StreamVm:
    """Takes streams, gets slots for them and begins silent ones elsewhere."""

    def __init__(
        self, vm: str, slots: slots_lib.Slots, retries: policies.Retries
    ) -> None:
        self._vm = vm
        self._slots = slots
        self._timeline = slots.timeline
        self._retries = retries
        self._requests: list[_Request] = []

    def take(self, spec: loads.Streams, events: int) -> None:
        """Takes a request."""
        request = _Request(spec, events, self._timeline.now_s)
        self._requests.append(request)
        self._place(request)

    def ended(self) -> list[tally.Ended]:
        """Returns what came of each request."""
        return [_ended(request) for request in self._requests]

    def _place(self, request: _Request) -> None:
        run = self._slots.name(self._vm)

        def on_taken(taken: slotledger.Grant | slotledger.Refusal) -> None:
            if isinstance(taken, slotledger.Refusal):
                self._refuse(request, taken.retry_after_s)
                return
            self._send(request, run, taken)

        self._slots.take_online(
            run, self._vm, request.spec.target_s, request.tried, on_taken
        )

    def _refuse(self, request: _Request, retry_after_s: float) -> None:
        if request.runs or request.returns >= request.spec.returns:
            request.end = "refused"
            return
        request.returns += 1

        def come_back() -> None:
            request.asked_s = self._timeline.now_s
            self._place(request)

        self._timeline.after(retry_after_s, come_back)

    def _send(
        self, request: _Request, run: str, grant: slotledger.Grant
    ) -> None:
        request.run = run
        request.runs += 1
        request.tried.append(grant.instance)
        row = slotledger.ReportRow(run, grant.instance)
        held = slots_lib.Held(row, self._vm, lambda: None)
        self._slots.hold(run, held)

        sent = _Sent(self._timeline.now_s, grant.is_queued)
        work = engine_lib.Work(
            request.spec.prompt_tokens,
            request.events,
            self._for_run(request, run, lambda: self._hear(request, sent)),
            self._for_run(request, run, lambda: self._finish(request, run)),
        )
        self._slots.send(
            run,
            grant.instance,
            work,
            self._for_run(
                request,
                run,
                lambda: self._end(request, run, "refused", "failed"),
            ),
        )
        if not request.may_run_again():
            return
        self._retries.record_send()
        silence_s = self._retries.first_event_timeout_s(
            request.spec.name,
            request.spec.target_s,
            starts_at_once=not grant.is_queued,
        )
        self._timeline.after(
            silence_s,
            self._for_run(
                request,
                run,
                lambda: self._look(request, run, grant.instance),
            ),
        )

    def _for_run(
        self, request: _Request, run: str, action: Callable[[], None]
    ) -> Callable[[], None]:
        """Returns an action that does nothing once another run has begun."""

        def act() -> None:
            if request.run == run:
                action()

        return act

    def _hear(self, request: _Request, sent: _Sent) -> None:
        now_s = self._timeline.now_s
        if not request.first_s and not sent.is_queued:
            took_s = now_s - sent.at_s
            self._retries.record_first_event(request.spec.name, took_s)
        if request.first_s:
            pause_s = now_s - request.last_s
            request.longest_s = max(request.longest_s, pause_s)
        else:
            request.first_s = now_s
        request.last_s = now_s

    def _look(self, request: _Request, run: str, instance: str) -> None:
        """Begins a stream elsewhere that has not begun."""
        if request.first_s:
            return
        self._retries.record_given_up()
        self._slots.cancel(run, instance)
        self._slots.release(run, "failed")
        request.run = ""
        self._place(request)

    def _finish(self, request: _Request, run: str) -> None:
        end: tally.End = "in_time" if request.is_in_time() else "late"
        self._end(request, run, end, "ok")

    def _end(
        self,
        request: _Request,
        run: str,
        end: tally.End,
        outcome: slotledger.Outcome,
    ) -> None:
        request.end = end
        request.run = ""
        self._slots.release(run, outcome)


def _ended(request: _Request) -> tally.Ended:
    spec = request.spec
    end = request.end or "unfinished"
    worth = {"in_time": spec.worth, "late": spec.late_worth}.get(end, 0.0)
    first_s = request.first_s - request.asked_s if request.first_s else 0.0
    cuts = max(0, request.runs - 1)
    return tally.Ended(
        spec.name, request.came_s, end, worth, spec.worth, first_s, cuts
    )
