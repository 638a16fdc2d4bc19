"""Sends one request to one upstream and checks its answer."""

from collections.abc import Callable, Mapping
import http
from typing import Literal, NamedTuple

import result

from bulrushdeal import fingerprints
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records as core_records
from bulrushdeald import crashnotifier
from bulrushdeald import services
from gateway import crashrecords
from gateway import dialect as dialect_lib
from gateway import heldslots
from gateway import names
from gateway import placement
from gateway import records
from gateway.decisions import deadlyparts
from gateway.decisions import requestcosts
from gateway.decisions import slotrecords

FailureKind = Literal["rejected", "unreachable", "broken", "silent", "ended"]
_FIRST_SERVER_ERROR = 500
# The most that a refusal may have, and how long it may take.
_MAX_REFUSAL_BYTES = 64 * 1024
_MAX_REFUSAL_S = 0.5
# A caller takes these statuses to mean that its request did not run.
_NOT_EXECUTED_STATUSES = frozenset(
    {
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


class UpstreamRequest(NamedTuple):
    """A request to send, independent of the upstream.

    Attributes:
        attempt: The attempt id; an answer with another id belongs to another
            request.
        method: The HTTP method in capitals.
        target: The path and query as received.
        headers: The caller's headers, with names in lower case.
        body: The whole body.
        customer: The customer that the request runs for; empty if none.
    """

    attempt: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    customer: str

    def fingerprint(self) -> str:
        """Returns a hash that the request has however often it is sent."""
        host = self.headers.get("host", "")
        line = f"{self.method} {host}{self.target}"
        return fingerprints.fingerprint(self.customer, line, self.body)


class Failure(NamedTuple):
    """A send that produced no answer to pass on to the caller.

    Attributes:
        kind: `rejected`: the upstream did not run the request.
            `unreachable`: the upstream could not be reached. `broken`: the
            connection broke or the answer is unusable. `silent`: the
            upstream sent nothing within the allowed silence. `ended`: this
            VM cancelled the send.
        may_have_run: Whether the request may have run.
        why: The reason for the log.
        status: The status of an answer that is not passed on; 0 without one.
        has_upstream_crashed: Whether the upstream crashed while it ran it.
        address_state: What the upstream's address did with a new connection
            just after a break; empty if it was not probed.
        crash_notices: What tells other VMs of this, on its way.
    """

    kind: FailureKind
    may_have_run: bool
    why: str
    status: int = 0
    has_upstream_crashed: bool = False
    address_state: services.AddressState | Literal[""] = ""
    crash_notices: crashnotifier.Delivery = crashnotifier.Delivery()


class OpenAnswer(NamedTuple):
    """An answer whose head was read and accepted; the body is still open."""

    answer: services.UpstreamAnswer
    head: dialect_lib.AnswerHeaders


class Sender:
    """Sends a request once; the callers of this class decide on retries."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._dialect = kernel.find(names.DIALECT, dialect_lib.Dialect)
        self._upstreams = kernel.find(services.UPSTREAMS, services.Upstreams)
        self._placement = kernel.find(names.PLACEMENT, placement.Placement)
        self._crashes = kernel.find(
            names.CRASH_RECORDS, crashrecords.CrashRecords
        )

    def send(
        self,
        outgoing: UpstreamRequest,
        slot: heldslots.Slot,
        *,
        deadline_s: float,
        max_silence_s: float,
        last_event_id: int | None,
        on_connected: Callable[[Callable[[], None]], None],
    ) -> result.Result[OpenAnswer, Failure]:
        """Sends a request and reads the head of the answer.

        Sets the slot's outcome, unless this VM cancelled the send.

        Args:
            outgoing: The request.
            slot: The slot on the upstream to send to.
            deadline_s: The deadline in seconds to state to the upstream;
                negative for none.
            max_silence_s: The longest time in seconds without a byte, before
                and after the head.
            last_event_id: The id of the event after which to resume a stream;
                `None` to start from the beginning.
            on_connected: Called with a function that cancels the send and may
                be called from any thread.

        Returns:
            The open answer, or why the send failed.
        """
        upstream = slot.upstream
        headers = self._dialect.upstream_headers(
            outgoing.headers,
            left_s=deadline_s,
            instance=upstream.instance,
            customer=outgoing.customer,
            last_event=last_event_id,
        )
        sent = self._upstreams.send(
            _target(upstream),
            outgoing.method,
            outgoing.target,
            headers,
            outgoing.body,
            max_silence_s,
            use=services.ConnectionUse(request_id=outgoing.attempt),
            on_connected=on_connected,
        )
        if isinstance(sent, result.Err):
            error = sent.err_value
            return result.Err(self.record_failure(outgoing, slot, error))
        checked = self._check_answer(outgoing, slot, sent.ok_value)
        slot.outcome = _outcome(checked)
        if isinstance(checked, result.Err) and checked.err_value.may_have_run:
            # A proxy may answer by itself for an upstream that has crashed.
            self._record_break(outgoing, slot)
        return checked

    def record_failure(
        self,
        outgoing: UpstreamRequest,
        slot: heldslots.Slot,
        error: services.UpstreamError,
    ) -> Failure:
        """Records an upstream's failure and classifies it.

        Sets the slot's outcome to `failed`, unless this VM cancelled the
        send, and marks an unreachable upstream as failed in health. A crash
        counts against the request, also one that the list shows only later.
        """
        upstream, may_have_run = slot.upstream, error.ran != "not_run"
        if error.kind == "cancelled":
            # Whoever waits for an upstream that is gone gives up in the end.
            if not slot.is_preempted:
                self._record_break(outgoing, slot, was_given_up=True)
            return Failure("ended", may_have_run, error.message)
        slot.outcome = "failed"
        if error.kind == "unreachable":
            self._placement.health.record_failure(
                upstream.instance, error.message
            )
            return Failure("unreachable", may_have_run, error.message)
        if error.kind == "endless":
            # It lives, so the request has not crashed it.
            self._placement.health.record_endless(
                upstream.instance, error.message
            )
            return Failure("broken", may_have_run, error.message)
        if error.kind == "timeout":
            self._record_break(outgoing, slot)
            return Failure("silent", may_have_run, error.message)
        self._placement.health.record_break(upstream.instance)
        failure = Failure("broken", may_have_run, error.message)
        # One that drains may exit while it still runs long requests.
        if self._placement.is_usable(upstream):
            address_state = self._upstreams.probe_address(_target(upstream))
            failure = failure._replace(address_state=address_state)
        if failure.address_state != "refuses":
            self._record_break(outgoing, slot)
            return failure
        notices = self._crashes.record_crash(outgoing.fingerprint(), slot)
        return failure._replace(
            has_upstream_crashed=True, crash_notices=notices
        )

    def _record_break(
        self,
        outgoing: UpstreamRequest,
        slot: heldslots.Slot,
        *,
        was_given_up: bool = False,
    ) -> None:
        """Has the upstream of a run that broke off watched."""
        was_silent = self._placement.health.is_silent(slot.upstream.instance)
        if was_given_up and not was_silent:
            self._crashes.record_given_up(outgoing.fingerprint(), slot)
            return
        self._crashes.record_break(
            outgoing.fingerprint(),
            slot,
            was_silent=was_silent,
            was_given_up=was_given_up,
        )

    def record_whole(self, slot: heldslots.Slot) -> None:
        """Records that an upstream has sent a whole answer."""
        self._placement.health.record_whole(slot.upstream.instance)

    def record_completion(self, outgoing: UpstreamRequest) -> None:
        """Records that a request ran to its end at an upstream."""
        if not self._crashes.is_empty():
            self._crashes.record_completion(outgoing.fingerprint())

    def is_refused(self, outgoing: UpstreamRequest) -> bool:
        """Returns whether a request has crashed too many upstreams."""
        return not self._crashes.is_empty() and self._crashes.is_refused(
            outgoing.fingerprint()
        )

    def doubt_s(self, outgoing: UpstreamRequest) -> float:
        """Returns how long a request that met several crashes has to wait."""
        if self._crashes.is_empty():
            return 0.0
        return self._crashes.doubt_s(outgoing.fingerprint())

    def judge_parts(
        self, cost: requestcosts.RequestCost
    ) -> deadlyparts.Judgement:
        """Returns whether a request may run, by the parts of its prompt."""
        if self._crashes.is_empty():
            return deadlyparts.SOUND
        return self._crashes.parts.judge(cost.shared_parts)

    def may_try_part(self, part: str, cost: requestcosts.RequestCost) -> bool:
        """Returns whether a single run with a part may begin here now."""
        return self._crashes.parts.may_try(part, cost.shared_parts)

    def record_written(self, cost: requestcosts.RequestCost) -> None:
        """Records that a run has written the first event of an answer."""
        self._crashes.parts.record_written(cost.shared_parts)

    def begin_trial(self, outgoing: UpstreamRequest) -> None:
        """Records that a request is about to run, if it is a suspect."""
        if not self._crashes.is_empty():
            self._crashes.begin_trial(outgoing.fingerprint())

    def end_trial(self, outgoing: UpstreamRequest) -> None:
        """Records that such a run ended without a crash."""
        if not self._crashes.is_empty():
            self._crashes.end_trial(outgoing.fingerprint())

    def _check_answer(
        self,
        outgoing: UpstreamRequest,
        slot: heldslots.Slot,
        answer: services.UpstreamAnswer,
    ) -> result.Result[OpenAnswer, Failure]:
        upstream = slot.upstream
        head = self._dialect.decode_answer_headers(
            answer.status, answer.headers
        )
        is_nameless = not head.attempt and answer.request_number == 1
        if head.attempt != outgoing.attempt and not is_nameless:
            # This may be a second answer to an earlier request on the
            # connection: one that says that a request has not run says nothing
            # of this one. The answer to this request may follow, so the
            # connection is dropped: the next request must not receive that
            # answer.
            answer.cancel()
            answer.close()
            return _broken(
                f"the answer to request {answer.request_number} on its "
                f"connection names {head.attempt or 'no'} request, not its own"
            )
        if head.cold_remaining_s:
            self._placement.record_cold(
                upstream.instance, head.cold_remaining_s
            )
        if head.is_not_executed:
            why = (
                f"status {answer.status}, not run, to request "
                f"{answer.request_number} on its connection"
            )
            if head.is_misdirected:
                self._placement.health.record_failure(upstream.instance, why)
            else:
                self._report_load(upstream, head)
            if not _read_to_end(answer):
                self._placement.health.record_endless(upstream.instance, why)
            return result.Err(Failure("rejected", False, why))
        self._placement.health.record_data(upstream.instance)
        self._placement.health.record_success(upstream.instance)
        self._crashes.record_answer(slot)
        if answer.status in _NOT_EXECUTED_STATUSES or not head.has_server_stamp:
            # The answer is not relayed. Its status may read as a guarantee
            # that the request did not run, which the upstream did not give, or
            # an unsigned answer may pass for one by the upstream.
            answer.cancel()
            answer.close()
            return _broken(
                f"status {answer.status}: no signature or no not-run header",
                answer.status,
            )
        self._report_load(upstream, head)
        return result.Ok(OpenAnswer(answer, head))

    def _report_load(
        self, upstream: records.Upstream, head: dialect_lib.AnswerHeaders
    ) -> None:
        if head.load is not None:
            self._placement.report_load(upstream, head.load)


def _target(upstream: records.Upstream) -> core_records.Upstream:
    """Returns an upstream as the HTTP client takes it."""
    return core_records.Upstream(
        upstream.instance,
        "plain",
        upstream.address,
        upstream.instance,
        upstream.failure_domain,
    )


def _outcome(
    checked: result.Result[OpenAnswer, Failure],
) -> slotrecords.Outcome:
    if isinstance(checked, result.Ok):
        status = checked.ok_value.answer.status
        return "failed" if status >= _FIRST_SERVER_ERROR else "ok"
    # An upstream that rejects requests because it is full has not failed.
    return "unknown" if checked.err_value.kind == "rejected" else "failed"


def _broken(why: str, status: int = 0) -> result.Err[Failure]:
    return result.Err(Failure("broken", True, why, status))


def _read_to_end(answer: services.UpstreamAnswer) -> bool:
    """Reads a short answer to its end, so that the connection is reusable.

    Returns:
        Whether it has an end; otherwise it is dropped.
    """
    answer.limit_reads(_MAX_REFUSAL_BYTES, _MAX_REFUSAL_S)
    has_end = True
    for piece in answer.chunks():
        if isinstance(piece, result.Err):
            has_end = piece.err_value.kind != "endless"
            break
    answer.close()
    return has_end
