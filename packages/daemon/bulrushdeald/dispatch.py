"""Sends callers' requests to upstreams and retries where that is safe."""

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
_OUTCOMES_BY_KIND: dict[str, services.Outcome] = {
    "unreachable": "refused",
    "crashed": "crashed",
    "timeout": "refused",
    "cancelled": "cancelled",
    "endless": "refused",
}
_REFUSALS_BY_KIND = {
    "unreachable": services.Refusal(
        503, "upstream_unreachable", "No upstream could be reached.", "not_run"
    ),
    "crashed": services.Refusal(
        502, "upstream_crashed", "The upstream broke off.", "unknown"
    ),
    "timeout": services.Refusal(
        504, "upstream_timeout", "The upstream fell silent.", "unknown"
    ),
    "endless": services.Refusal(
        502, "upstream_endless", "The upstream's answer has no end.", "unknown"
    ),
    "cancelled": services.Refusal(
        400, "body_broken", "The request's body broke off.", field="body"
    ),
}
_RETRY_AFTER_S = 1.0


class Sending(NamedTuple):
    """A request as it is sent to an upstream.

    Attributes:
        method: The HTTP method, in capitals.
        path: The path with the query.
        headers: The headers that the upstream may see.
        body: The whole body, or an iterator over its pieces.
        is_idempotent: Whether the request may run twice.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: Iterator[bytes] | bytes
    is_idempotent: bool


class Started(NamedTuple):
    """A request whose response has begun, with the slot that it holds."""

    slot: services.Slot
    answer: services.UpstreamAnswer


class Failure(NamedTuple):
    """A request that got no complete response from an upstream.

    Attributes:
        refusal: The error response for the caller.
        upstream: The upstream of the failed try; empty if it was not sent.
        error: The upstream's error; `None` if the try was not sent.
    """

    refusal: services.Refusal
    upstream: str = ""
    error: services.UpstreamError | None = None


def refusal_of(
    error: services.UpstreamError, call: calls.Call
) -> services.Refusal:
    """Returns the refusal that a caller gets for an upstream's error.

    Notes the error's `ran` in `call` first, so that the refusal's `ran`
    covers all tries of the request.
    """
    call.note_ran(error.ran)
    if call.reason:
        return calls.REFUSALS[call.reason]._replace(ran=call.ran)
    refusal = _REFUSALS_BY_KIND[error.kind]._replace(ran=call.ran)
    if error.kind == "cancelled":
        return refusal
    return refusal._replace(retry_after_s=_RETRY_AFTER_S)


def _unsent_failure(refusal: services.Refusal, call: calls.Call) -> Failure:
    """Returns the failure of a try that was not sent.

    An earlier try may have run. Its outcome is already noted in `call`, so
    the failure does not report `not_run` for a request whose first try broke
    off at an engine and whose second try found no upstream.
    """
    call.note_ran(refusal.ran)
    return Failure(refusal._replace(ran=call.ran))


def outcome_of(error: services.UpstreamError) -> services.Outcome:
    """Returns the outcome for the slot of a failed request."""
    return _OUTCOMES_BY_KIND[error.kind]


class Dispatcher:
    """Acquires slots and sends all kinds of callers' requests."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._router = kernel.find(services.ROUTER, services.Router)
        self._upstreams = kernel.find(services.UPSTREAMS, services.Upstreams)
        self._max_silence_s = settings.upstream_silence_s
        self.budget = retries.RetryBudget()

    def run(
        self,
        work: services.PlacementRequest,
        sending: Sending,
        call: calls.Call,
        guard: idempotency.Guard,
    ) -> result.Result[Started, Failure]:
        """Sends until an upstream answers or no further try is allowed.

        Args:
            work: The description of the request for the router.
            sending: The request to send.
            call: The open request, which another thread may end meanwhile.
            guard: The idempotency guard. It is consulted after a slot is
                acquired and before any byte is sent; its refusal is final.
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
        """Returns whether a failed request may be sent again.

        Either the request has not run, or it is idempotent and its connection
        broke. The HTTP method does not show this: a GET of a plain service
        may book something. A permitted retry is taken from the budget.
        """
        error = failure.error
        if error is None:
            return False
        is_safe = error.ran == "not_run" or (
            sending.is_idempotent and error.kind in ("crashed", "endless")
        )
        return is_safe and self.take_retry(failure.upstream, call)

    def take_retry(self, upstream: str, call: calls.Call) -> bool:
        """Takes a retry from the budget; returns whether one was available."""
        if call.reason or call.tries >= _MAX_TRIES:
            return False
        return self.budget.take(upstream)

    def _try(
        self,
        work: services.PlacementRequest,
        sending: Sending,
        call: calls.Call,
        guard: idempotency.Guard,
    ) -> result.Result[Started, Failure]:
        acquired = self._router.acquire(work)
        if isinstance(acquired, result.Err):
            return result.Err(_unsent_failure(acquired.err_value, call))
        slot = acquired.ok_value
        refusal = calls.REFUSALS[call.reason] if call.reason else None
        if refusal is None:
            refusal = guard.before_send()
        if refusal is not None:
            slot.release("cancelled")
            return result.Err(_unsent_failure(refusal, call))
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
            self._max_silence_s,
            use=services.ConnectionUse(not sending.is_idempotent),
            on_connected=call.on_end,
        )
        if isinstance(sent, result.Ok):
            return result.Ok(Started(slot, sent.ok_value))
        error = sent.err_value
        slot.release(outcome_of(error))
        _log.info(
            "Upstream %s failed: %s, %s.",
            upstream.upstream,
            error.kind,
            error.message,
        )
        return result.Err(
            Failure(refusal_of(error, call), upstream.upstream, error)
        )
