"""Places a caller's request at an upstream, again only where that is safe."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import calls
from bulrushdeald import defaults
from bulrushdeald import idempotency
from bulrushdeald import retries
from bulrushdeald import services

_log = logs.Log("callers")

_MAX_TRIES = 2
_OUTCOMES: dict[str, services.Outcome] = {
    "unreachable": "refused",
    "crashed": "crashed",
    "timeout": "refused",
    "cancelled": "cancelled",
}
_REFUSALS = {
    "unreachable": services.Refusal(
        503, "upstream_unreachable", "No upstream could be reached.", "not_run"
    ),
    "crashed": services.Refusal(
        502, "upstream_crashed", "The upstream broke off.", "unknown"
    ),
    "timeout": services.Refusal(
        504, "upstream_timeout", "The upstream fell silent.", "unknown"
    ),
    "cancelled": services.Refusal(
        400, "body_broken", "The request's body broke off.", field="body"
    ),
}
_RETRY_AFTER_S = 1.0


class Sending(NamedTuple):
    """What is sent to an upstream.

    Attributes:
        method: In capitals.
        path: With the query.
        headers: As the upstream may see them.
        body: Whole, or piece by piece.
        is_idempotent: Whether it may run twice.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: Iterator[bytes] | bytes
    is_idempotent: bool


class Started(NamedTuple):
    """A request that an upstream began to answer."""

    slot: services.Slot
    answer: services.UpstreamAnswer


class Failure(NamedTuple):
    """A request that no upstream answered whole.

    Attributes:
        refusal: For the caller.
        upstream: Where it was tried; empty if nowhere.
        error: What happened there; `None` if nothing was tried.
    """

    refusal: services.Refusal
    upstream: str = ""
    error: services.UpstreamError | None = None


def refusal_of(
    error: services.UpstreamError, call: calls.Call
) -> services.Refusal:
    """Returns what a caller is told of an upstream's failure."""
    call.note_ran(error.ran)
    if call.reason:
        return calls.REFUSALS[call.reason]._replace(ran=call.ran)
    refusal = _REFUSALS[error.kind]._replace(ran=call.ran)
    if error.kind == "cancelled":
        return refusal
    return refusal._replace(retry_after_s=_RETRY_AFTER_S)


def _refused(refusal: services.Refusal, call: calls.Call) -> Failure:
    """Returns a try that was not placed, after others that may have run.

    The failure: a first try breaks off at its engine and the second finds
    no upstream. It shows as "not run" for a request that ran. The guard
    holds because each try's end is noted in the call before the next.
    """
    call.note_ran(refusal.ran)
    return Failure(refusal._replace(ran=call.ran))


def outcome_of(error: services.UpstreamError) -> services.Outcome:
    """Returns how a slot went whose request failed."""
    return _OUTCOMES[error.kind]


class Dispatcher:
    """Acquires slots and sends, for all kinds of callers' requests."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._router = kernel.find(services.ROUTER, services.Router)
        self._upstreams = kernel.find(services.UPSTREAMS, services.Upstreams)
        self._silence_s = settings.upstream_silence_s
        self.budget = retries.RetryBudget()

    def run(
        self,
        work: services.Work,
        sending: Sending,
        call: calls.Call,
        guard: idempotency.Guard,
    ) -> result.Result[Started, Failure]:
        """Sends until an upstream answers or no further try is allowed.

        Args:
            work: For the router.
            sending: What to send.
            call: The open request, which may be ended meanwhile.
            guard: Is asked, with a slot in hand, before any byte leaves; a
                refusal from it is final.
        """
        while True:
            tried = self._try(work, sending, call, guard)
            if isinstance(tried, result.Ok):
                return tried
            failure = tried.err_value
            if not self.may_retry(failure, sending, call):
                guard.failed(failure.refusal.ran)
                return tried
            _log.info("Retrying request %d.", call.number)

    def may_retry(
        self, failure: Failure, sending: Sending, call: calls.Call
    ) -> bool:
        """Tells whether a failed request may be sent again.

        It may not have run, or must be idempotent. A method's name proves
        neither: a GET of a plain service may book something.
        """
        error = failure.error
        if error is None:
            return False
        is_safe = error.ran == "not_run" or (
            sending.is_idempotent and error.kind == "crashed"
        )
        return is_safe and self.take_retry(failure.upstream, call)

    def take_retry(self, upstream: str, call: calls.Call) -> bool:
        """Takes a safe retry from the budget, if one is left."""
        if call.reason or call.tries >= _MAX_TRIES:
            return False
        return self.budget.take(upstream)

    def _try(
        self,
        work: services.Work,
        sending: Sending,
        call: calls.Call,
        guard: idempotency.Guard,
    ) -> result.Result[Started, Failure]:
        acquired = self._router.acquire(work)
        if isinstance(acquired, result.Err):
            return result.Err(_refused(acquired.err_value, call))
        slot = acquired.ok_value
        refusal = calls.REFUSALS[call.reason] if call.reason else None
        if refusal is None:
            refusal = guard.before_send()
        if refusal is not None:
            slot.release("cancelled")
            return result.Err(_refused(refusal, call))
        upstream = slot.upstream
        call.upstream = upstream.upstream
        call.tries += 1
        self.budget.note_request(upstream.upstream)
        sent = self._upstreams.send(
            upstream,
            sending.method,
            sending.path,
            sending.headers,
            sending.body,
            self._silence_s,
            is_fresh=not sending.is_idempotent,
            on_open=call.on_end,
        )
        if isinstance(sent, result.Ok):
            return result.Ok(Started(slot, sent.ok_value))
        error = sent.err_value
        slot.release(outcome_of(error))
        _log.info("%s: %s, %s.", upstream.upstream, error.kind, error.message)
        return result.Err(
            Failure(refusal_of(error, call), upstream.upstream, error)
        )
