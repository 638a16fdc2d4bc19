"""Sends one request to one upstream and judges what comes back."""

from collections.abc import Callable, Mapping
import http
from typing import Literal, NamedTuple

import result

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records as core_records
from bulrushdeald import services
from gateway import dialect as dialect_lib
from gateway import heldslots
from gateway import names
from gateway import placement
from gateway import records
from gateway.decisions import slotledger

FailureKind = Literal["rejected", "unreachable", "broken", "silent", "ended"]
_SERVER_ERROR = 500
# Statuses that promise that a request did not run.
_PROMISES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class Outgoing(NamedTuple):
    """A request as it goes to any upstream.

    Attributes:
        attempt: Names it; an answer that names another is not its own.
        method: In capitals.
        target: Path and query as they came.
        headers: The caller's, names in lower case.
        body: The whole body.
        customer: Whom it runs for; empty for nobody.
    """

    attempt: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    customer: str


class Failure(NamedTuple):
    """A send that brought no answer for the caller.

    Attributes:
        kind: How it failed; `ended` is our own end.
        has_run: Whether the request may have run.
        why: For the log.
    """

    kind: FailureKind
    has_run: bool
    why: str


class Opened(NamedTuple):
    """An answer whose head is sound."""

    answer: services.UpstreamAnswer
    head: dialect_lib.AnswerHead


class Sender:
    """Sends a request once; what may be repeated is decided elsewhere."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._dialect = kernel.find(names.DIALECT, dialect_lib.Dialect)
        self._upstreams = kernel.find(services.UPSTREAMS, services.Upstreams)
        self._placement = kernel.find(names.PLACEMENT, placement.Placement)

    def send(
        self,
        outgoing: Outgoing,
        slot: heldslots.Slot,
        *,
        left_s: float,
        silence_s: float,
        last_event: int | None,
        on_open: Callable[[Callable[[], None]], None],
    ) -> result.Result[Opened, Failure]:
        """Sends a request and reads the head of the answer.

        Args:
            outgoing: The request.
            slot: Where to; it is told what comes of it.
            left_s: The deadline that the upstream is told; negative for
                none.
            silence_s: The longest silence, before the head and after.
            last_event: Where a stream goes on; `None` from the start.
            on_open: Is handed what cancels the send, from any thread.
        """
        upstream = slot.upstream
        headers = self._dialect.upstream_headers(
            outgoing.headers,
            left_s=left_s,
            instance=upstream.instance,
            customer=outgoing.customer,
            last_event=last_event,
        )
        row = core_records.Upstream(
            upstream.instance,
            "plain",
            upstream.address,
            upstream.instance,
            upstream.failure_domain,
        )
        sent = self._upstreams.send(
            row,
            outgoing.method,
            outgoing.target,
            headers,
            outgoing.body,
            silence_s,
            on_open=on_open,
        )
        if isinstance(sent, result.Err):
            return result.Err(self.failure(slot, sent.err_value))
        judged = self._judge(outgoing, upstream, sent.ok_value)
        slot.outcome = _outcome(judged)
        return judged

    def failure(
        self, slot: heldslots.Slot, error: services.UpstreamError
    ) -> Failure:
        """Notes an upstream's failure and returns what it means."""
        upstream, has_run = slot.upstream, error.ran != "not_run"
        if error.kind == "cancelled":
            return Failure("ended", has_run, error.message)
        slot.outcome = "failed"
        if error.kind == "unreachable":
            self._placement.health.failed(upstream.instance, error.message)
            return Failure("unreachable", has_run, error.message)
        if error.kind == "timeout":
            return Failure("silent", has_run, error.message)
        return Failure("broken", has_run, error.message)

    def _judge(
        self,
        outgoing: Outgoing,
        upstream: records.Upstream,
        answer: services.UpstreamAnswer,
    ) -> result.Result[Opened, Failure]:
        head = self._dialect.answer_head(answer.status, answer.headers)
        if head.attempt and head.attempt != outgoing.attempt:
            # A second answer to an earlier request on this connection; the
            # own one may come after it and must not meet the next request.
            answer.cancel()
            answer.close()
            return _broken("the answer belongs to another request")
        if head.has_not_run:
            why = f"status {answer.status}, not run"
            if head.is_other:
                self._placement.health.failed(upstream.instance, why)
            _drain(answer)
            return result.Err(Failure("rejected", False, why))
        self._placement.health.heard(upstream.instance)
        self._placement.health.worked(upstream.instance)
        if answer.status in _PROMISES or not head.is_signed:
            # Passed on, it would promise the caller what nobody promised,
            # or be taken for the upstream's word.
            answer.cancel()
            answer.close()
            return _broken(f"status {answer.status} without a promise")
        return result.Ok(Opened(answer, head))


def _outcome(judged: result.Result[Opened, Failure]) -> slotledger.Outcome:
    if isinstance(judged, result.Ok):
        status = judged.ok_value.answer.status
        return "failed" if status >= _SERVER_ERROR else "ok"
    # One that is full has not failed.
    return "unknown" if judged.err_value.kind == "rejected" else "failed"


def _broken(why: str) -> result.Err[Failure]:
    return result.Err(Failure("broken", True, why))


def _drain(answer: services.UpstreamAnswer) -> None:
    """Reads a short answer to its end, so that the connection is kept."""
    for piece in answer.chunks():
        if piece.is_err():
            break
    answer.close()
