"""Forwards online requests to upstreams and repeats those that may be."""

from collections.abc import Iterator, Mapping
import http
import time
from typing import Any, NamedTuple

import result

from bulrushdeal import eventlog
from bulrushdeal import heldbytes
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import calls as caller_calls
from bulrushdeald import crashnotifier
from bulrushdeald import services
from gateway import eventstream
from gateway import grantlog
from gateway import heldslots
from gateway import metrics
from gateway import names
from gateway import opencalls
from gateway import placement
from gateway import records
from gateway import refusals
from gateway import streamorigins
from gateway import upstreamsender
from gateway.decisions import requestcosts
from gateway.decisions import requesters
from gateway.decisions import routehistory
from gateway.decisions import streamtimeouts

_events = eventlog.Events("requests")

# Sends per request, counting those that did not run, before it is refused.
_MAX_SENDS = 5
# How long a request that has already run retries to get a slot for its next
# run, and how long it pauses between tries.
_RERUN_SLOT_WAIT_S = 1.0
_RERUN_SLOT_POLL_S = 0.05
# Answers up to this size are read completely before the first byte is relayed,
# so that a request whose answer breaks can still be repeated or refused.
_MAX_BUFFERED_BYTES = 1 << 20
# Answers up to this size are sent to the caller at once.
_MAX_JOINED_BYTES = 64 * 1024
_BUSY_RETRY_S = 0.25
# Requests with a part that may crash upstreams run one at a time.
_PART_RETRY_S = 0.5
_FIRST_SERVER_ERROR = 500


class OnlineRequest(NamedTuple):
    """An online request and its routing.

    Attributes:
        outgoing: The request to send.
        route: The route that it matched.
        service: The service of the route that was chosen for it.
        last_event: The id of the last stream event that the caller has;
            `None` to start from the beginning.
        resumed_attempt: The attempt that got the first event of the stream
            that it resumes; empty if unknown.
        regions: The regions that it may be sent to; `None` for all.
        cost: What the request costs.
        requester: Who sends it; how long it can wait is set at each send.
        may_wait: Whether it may wait for a grant of the leader.
        past_routes: What its path's routes were lately; `None` if its stream
            may not be resumed.
    """

    outgoing: upstreamsender.UpstreamRequest
    route: records.Route
    service: str
    last_event: int | None
    resumed_attempt: str = ""
    regions: frozenset[str] | None = None
    cost: requestcosts.RequestCost = requestcosts.UNKNOWN
    requester: requesters.Requester = requesters.UNKNOWN
    may_wait: bool = False
    past_routes: routehistory.PastRoutes | None = None


class Forwarder:
    """Sends requests to upstreams until one answers or retries run out."""

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._stream_timeouts = streamtimeouts.StreamTimeouts()

    def start(self) -> None:
        """Looks up the services that the forwarder uses."""
        self._placement = self._kernel.find(
            names.PLACEMENT, placement.Placement
        )
        self._metrics = self._kernel.find(names.METRICS, metrics.Metrics)
        self._origins = self._kernel.find(
            names.STREAM_ORIGINS, streamorigins.StreamOrigins
        )
        self._sender = upstreamsender.Sender(self._kernel)

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        del grace_s

    def dump(self) -> Any:
        """See `kernel.Service`."""
        return {}

    def forward(
        self, request: OnlineRequest, call: opencalls.Call
    ) -> httpd.Response:
        """Forwards a request and returns the answer.

        The slot and the upstream connection are held until the answer's body
        is closed.
        """
        return _Forwarding(
            self._placement,
            self._sender,
            self._metrics,
            self._stream_timeouts,
            self._origins,
            request,
            call,
        ).run()


class _Forwarding:
    """The sends, retries and answer of one request."""

    def __init__(
        self,
        placer: placement.Placement,
        sender: upstreamsender.Sender,
        meter: metrics.Metrics,
        stream_timeouts: streamtimeouts.StreamTimeouts,
        origins: streamorigins.StreamOrigins,
        request: OnlineRequest,
        call: opencalls.Call,
    ) -> None:
        self._placement = placer
        self._sender = sender
        self._metrics = meter
        self._stream_timeouts = stream_timeouts
        self._origins = origins
        self._request = request
        self._route = request.route
        self._call = call
        self._tried_instances: list[str] = []
        self._slot: heldslots.Slot | None = None
        self._answer: services.UpstreamAnswer | None = None
        self._last_event = request.last_event
        self._has_events = False
        # Where the stream began; `None` before its first event.
        self._origin: records.StreamOrigin | None = None
        self._no_slot: placement.NoSlot | None = None
        self._slot_wait_until_s = 0.0
        self._sent_s = 0.0
        # Whether the next run may have a part that crashes upstreams.
        self._may_try_part = False
        # What tells other VMs of upstreams that crashed under the request.
        self._crash_notices: list[crashnotifier.Delivery] = []

    def run(self) -> httpd.Response:
        """Forwards the request and returns the answer or a refusal."""
        if self._request.last_event is not None and not self._find_origin():
            return self._refuse()
        while True:
            opened = self._open_answer()
            if opened is None:
                return self._refuse()
            if self._should_repeat(opened):
                self._release()
                continue
            response = self._relay(opened)
            if response is not None:
                return response

    def _find_origin(self) -> bool:
        """Finds where a stream began that its caller takes up; false if not.

        What two software versions write does not fit together. So a stream
        whose version is not known may not go on anywhere.
        """
        request = self._request
        if self._route.kind != "streaming":
            return True
        origin = self._origins.find(
            request.resumed_attempt,
            request.service,
            self._span_s(),
            is_only_service=self._has_had_one_service(),
        )
        if not origin.software_version:
            self._no_slot = placement.NoSlot(_BUSY_RETRY_S, _UNKNOWN_ORIGIN)
            return False
        may_serve = {row.service for row in self._route.services if row.weight}
        if origin.service not in may_serve:
            self._no_slot = placement.NoSlot(0.0, _MOVED)
            return False
        self._origin = origin
        self._request = request._replace(service=origin.service)
        return True

    def _span_s(self) -> float:
        """Returns how long a stream may last and be taken up, in seconds."""
        timeout_s = self._route.timeout_s
        past = self._request.past_routes
        if past is not None:
            # A stream that began under a longer timeout may go on for as long.
            timeout_s = max(timeout_s, past.longest_timeout_s)
        return routehistory.span_s(timeout_s)

    def _has_had_one_service(self) -> bool:
        """Returns whether the stream can have begun at one service only."""
        past = self._request.past_routes
        return (
            past is not None
            and len(past.services) == 1
            and past.known_s >= self._span_s()
        )

    def _scope(self) -> placement.Scope:
        """Returns the upstreams that the request may be sent to now."""
        version = "" if self._origin is None else self._origin.software_version
        return placement.Scope(self._request.regions, version)

    def _open_answer(self) -> upstreamsender.OpenAnswer | None:
        """Sends the request until an answer's head is accepted.

        A request that has not run is refused if there is no slot. One that has
        run waits up to `_RERUN_SLOT_WAIT_S` for a slot instead, because the
        caller can no longer be told that it did not run and to retry.

        Returns:
            The open answer; `None` if the request is given up.
        """
        while self._may_send():
            taken = self._placement.take(
                self._request.service,
                self._route.target_latency_s,
                self._tried_instances,
                self._scope(),
                self._request.cost,
                self._requester(),
                self._call,
            )
            if isinstance(taken, result.Err):
                self._no_slot = taken.err_value
                is_hopeless = self._no_slot.retry_after_s <= 0
                if is_hopeless or time.monotonic() >= self._slot_wait_until_s:
                    return None
                time.sleep(_RERUN_SLOT_POLL_S)
                continue
            slot = self._slot = taken.ok_value
            grantlog.log(slot, request=self._call.attempt)
            self._tried_instances.append(slot.upstream.instance)
            self._call.sends += 1
            if self._may_run_again(1):
                self._stream_timeouts.record_send()
            self._sent_s = time.monotonic()
            self._sender.begin_trial(self._request.outgoing)
            sent = self._sender.send(
                self._request.outgoing,
                slot,
                deadline_s=self._call.caller_remaining_s(),
                max_silence_s=self._silence_s(slot),
                last_event_id=self._last_event,
                on_connected=self._call.on_end,
            )
            if isinstance(sent, result.Ok):
                self._call.runs += 1
                self._answer = sent.ok_value.answer
                return sent.ok_value
            self._record_failure(sent.err_value)
            self._release()
        return None

    def _may_send(self) -> bool:
        call = self._call
        if call.reason or call.remaining_s() <= 0 or call.sends >= _MAX_SENDS:
            return False
        if call.runs and not self._may_run_again():
            return False
        return not self._is_quarantined() and self._may_run_parts()

    def _may_run_parts(self) -> bool:
        """Returns whether the parts of the prompt may run here now."""
        judged = self._sender.judge_parts(self._request.cost)
        if judged.verdict == "sound" or self._may_try_part:
            return True
        self._may_try_part = self._sender.may_try_part(
            judged.part, self._request.cost
        )
        if not self._may_try_part:
            retry_s = _PART_RETRY_S if judged.verdict == "doubtful" else 0.0
            self._no_slot = placement.NoSlot(retry_s, _DEADLY_PART)
        return self._may_try_part

    def _is_quarantined(self) -> bool:
        outgoing = self._request.outgoing
        return self._sender.is_refused(outgoing) or (
            self._sender.doubt_s(outgoing) > 0
        )

    def _requester(self) -> requesters.Requester:
        """Returns who sends the request and how long it can wait for a slot.

        One that has run does not wait in the line: it cannot be refused. Nor
        does any where the operators have not switched the line on.
        """
        patience_s = 0.0
        if self._request.may_wait and not self._call.runs:
            target_s = self._route.target_latency_s
            patience_s = min(target_s, self._call.remaining_s())
        return self._request.requester._replace(patience_s=patience_s)

    def _silence_s(self, slot: heldslots.Slot) -> float:
        """Returns how long in seconds the upstream may send no byte.

        Without this limit the caller of an upstream that was cut off would
        wait until its deadline, although another upstream could answer.
        """
        remaining_s = max(self._call.remaining_s(), 0.01)
        if not self._may_run_again(1) or not self._has_other_upstream():
            return remaining_s
        target_s = self._route.target_latency_s
        if self._route.kind != "streaming":
            return min(remaining_s, streamtimeouts.default_timeout_s(target_s))
        first_s = self._stream_timeouts.first_event_timeout_s(
            self._route.name, target_s, starts_at_once=slot.starts_at_once
        )
        return min(remaining_s, first_s)

    def _has_other_upstream(self) -> bool:
        """Returns whether an upstream is left that has not been tried."""
        request = self._request
        return self._placement.has_other_upstream(
            request.service, self._tried_instances, self._scope()
        )

    def _may_run_again(self, extra_runs: int = 0) -> bool:
        """Returns whether it may run once more after `extra_runs` more runs."""
        if self._origin is not None and not self._may_go_on():
            return False
        if self._origin is not None and not self._has_other_upstream():
            return False
        runs = self._call.runs + extra_runs
        return self._route.is_repeatable and runs < self._route.max_attempts

    def _may_go_on(self) -> bool:
        """Returns whether it is known after which event, and at which version.

        A stream without readable event ids would begin again.
        """
        origin = self._origin
        return (
            origin is not None
            and bool(origin.software_version)
            and self._last_event is not None
        )

    def _record_failure(self, failure: upstreamsender.Failure) -> None:
        slot = self._slot
        assert slot is not None
        if failure.may_have_run:
            self._call.runs += 1
            self._may_try_part = False
            self._slot_wait_until_s = time.monotonic() + _RERUN_SLOT_WAIT_S
        else:
            self._sender.end_trial(self._request.outgoing)
        self._crash_notices.append(failure.crash_notices)
        if failure.kind == "silent" and self._route.kind == "streaming":
            self._stream_timeouts.record_given_up()
        _events.warning(
            "send_failed",
            request=self._call.attempt,
            upstream=slot.upstream.instance,
            kind=failure.kind,
            has_run=failure.may_have_run,
            upstream_crashed=failure.has_upstream_crashed,
            address=failure.address_state,
            fingerprint=self._request.outgoing.fingerprint(),
            why=failure.why,
            sends=self._call.sends,
            runs=self._call.runs,
            max_attempts=self._route.max_attempts,
            age_s=round(self._call.age_s(), 3),
            left_s=round(self._call.caller_remaining_s(), 3),
        )

    def _record_break(self, error: services.UpstreamError) -> None:
        """Records that an answer broke after its head had come."""
        slot = self._slot
        assert slot is not None
        outgoing = self._request.outgoing
        failure = self._sender.record_failure(outgoing, slot, error)
        # The run was counted when the head came.
        self._call.runs -= 1
        self._record_failure(failure._replace(may_have_run=True))

    def _release(self) -> None:
        """Closes the current answer and releases its slot, if there are any."""
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.cancel()
            answer.close()
        slot, self._slot = self._slot, None
        if slot is not None:
            slot.release()

    def _should_repeat(self, opened: upstreamsender.OpenAnswer) -> bool:
        """Returns whether to repeat the request after a 5xx answer."""
        if opened.answer.status < _FIRST_SERVER_ERROR:
            return False
        return self._may_send() and self._placement.has_upstreams(
            self._request.service
        )

    def _relay(
        self, opened: upstreamsender.OpenAnswer
    ) -> httpd.Response | None:
        if self._is_stream(opened):
            return self._relay_stream(opened)
        return self._relay_whole(opened)

    def _is_stream(self, opened: upstreamsender.OpenAnswer) -> bool:
        return (
            self._route.kind == "streaming"
            and opened.answer.status == http.HTTPStatus.OK
        )

    def _relay_whole(
        self, opened: upstreamsender.OpenAnswer
    ) -> httpd.Response | None:
        """Reads the answer and returns it, or a refusal.

        An answer above `_MAX_BUFFERED_BYTES`, or for which there is no memory,
        is returned before it is read completely.

        Returns:
            The response; `None` if the answer broke and the request may be
            repeated.
        """
        held = heldbytes.HeldBytes()
        exchange = self._call.exchange
        before_bytes = exchange.held_bytes
        chunks = opened.answer.chunks()
        for piece in chunks:
            if isinstance(piece, result.Err):
                return self._handle_broken_answer(piece.err_value)
            held.add(piece.ok_value)
            # Without room the answer is relayed as it comes.
            has_room = exchange.grow(len(piece.ok_value), makes_room=False)
            if held.size_bytes > _MAX_BUFFERED_BYTES or not has_room:
                rest = self._remaining_body(held, chunks, before_bytes)
                body = caller_calls.Body(rest, self._release)
                answer = opened.answer
                return httpd.Response(answer.status, answer.headers, body)
        if self._call.reason:
            return self._refuse()
        self._call.mark_answered()
        self._sender.record_completion(self._request.outgoing)
        if self._slot is not None:
            self._sender.record_whole(self._slot)
        headers = opened.answer.headers
        opened.answer.close()
        self._release()
        # A long one is not joined: that would take its memory twice.
        is_long = held.size_bytes > _MAX_JOINED_BYTES
        pieces = _blocks(held) if is_long else (held.take_all(),)
        return httpd.Response(
            opened.answer.status, _with_length(headers, held.size_bytes), pieces
        )

    def _remaining_body(
        self,
        held: heldbytes.HeldBytes,
        chunks: Iterator[result.Result[bytes, services.UpstreamError]],
        request_bytes: int,
    ) -> Iterator[bytes]:
        """Yields what was read of an answer, then the rest as it comes.

        Args:
            held: What was read; its end may not be held in the account.
            chunks: The rest.
            request_bytes: What is held for the request itself.
        """
        exchange = self._call.exchange
        for block in _blocks(held):
            yield block
            left_bytes = exchange.held_bytes - len(block)
            exchange.shrink_to(max(left_bytes, request_bytes))
        for piece in chunks:
            if isinstance(piece, result.Err):
                self._record_break(piece.err_value)
                self._wait_for_crash_notices()
                raise caller_calls.BrokenAnswerError(piece.err_value.message)
            yield piece.ok_value
        self._sender.record_completion(self._request.outgoing)

    def _handle_broken_answer(
        self, error: services.UpstreamError
    ) -> httpd.Response | None:
        self._record_break(error)
        self._release()
        return None if self._may_send() else self._refuse()

    def _relay_stream(
        self, opened: upstreamsender.OpenAnswer
    ) -> httpd.Response | None:
        """Relays a stream's events as they arrive.

        The response head is held back until the first event, so that the
        caller gets a proper error response if none arrives.
        """
        headers = opened.answer.headers
        chunks = self._stream_events(opened)
        try:
            first = next(chunks, b"")
        except caller_calls.BrokenAnswerError:
            return self._refuse()

        self._record_first_event()

        def events() -> Iterator[bytes]:
            yield first
            yield from chunks

        body = caller_calls.Body(events(), self._release)
        return httpd.Response(opened.answer.status, headers, body)

    def _record_first_event(self) -> None:
        self._metrics.observe_first_event(self._call.age_s())
        if self._slot is not None and self._slot.starts_at_once:
            took_s = time.monotonic() - self._sent_s
            self._stream_timeouts.record_first_event(self._route.name, took_s)

    def _record_slot_event(self) -> None:
        """Records an event of the run that holds the slot."""
        slot = self._slot
        if slot is None or slot.first_event_s:
            return
        self._placement.record_first_event(slot)
        self._sender.record_written(slot.cost)
        figures = slot.figures
        if figures is not None and figures.expected_start_s is not None:
            self._metrics.observe_start_error(
                slot.first_event_s - figures.expected_start_s
            )

    def _stream_events(
        self, opened: upstreamsender.OpenAnswer
    ) -> Iterator[bytes]:
        """Yields complete events from each upstream that the stream runs on.

        Raises:
            BrokenAnswerError: The stream broke and cannot be resumed.
        """
        current: upstreamsender.OpenAnswer | None = opened
        while current is not None:
            splitter = eventstream.Splitter()
            error: services.UpstreamError | None = None
            self._limit_event(current, self._first_event_timeout_s())
            for piece in current.answer.chunks():
                if isinstance(piece, result.Err):
                    error = piece.err_value
                    break
                try:
                    whole_events = splitter.feed(piece.ok_value)
                except eventstream.EventTooLongError:
                    error = services.UpstreamError("endless", "ran", _ENDLESS)
                    break
                self._record_upstream_data()
                if whole_events:
                    self._has_events = True
                    self._record_slot_event()
                    self._limit_gap(current)
                    event_id = eventstream.last_event_id(whole_events)
                    if event_id is not None:
                        self._last_event = event_id
                    self._record_origin()
                    yield whole_events
            if error is None and self._ended_unbegun(current):
                error = services.UpstreamError("crashed", "ran", _UNBEGUN)
            if error is None and not splitter.has_partial_event:
                self._call.mark_answered()
                self._sender.record_completion(self._request.outgoing)
                self._close_answer()
                return
            current = self._resume(error)
        self._wait_for_crash_notices()
        raise caller_calls.BrokenAnswerError("the stream broke off")

    def _ended_unbegun(self, opened: upstreamsender.OpenAnswer) -> bool:
        """Returns whether a stream may have been cut before its first event.

        If nothing but the connection's end marks that of the stream, an
        upstream that closes after its head looks like an empty stream.
        """
        has_begun = self._has_events or self._request.last_event is not None
        return opened.answer.ends_with_connection and not has_begun

    def _first_event_timeout_s(self) -> float:
        """Returns how long bytes may come without an event, in seconds."""
        if self._slot is None:
            return max(self._call.remaining_s(), 0.01)
        return self._silence_s(self._slot)

    def _limit_event(
        self, opened: upstreamsender.OpenAnswer, within_s: float
    ) -> None:
        """Limits what comes until the next event.

        Bytes that are no answer may go on and on, and none of them is silence.
        """
        opened.answer.limit_reads(
            eventstream.MAX_UNFINISHED_BYTES, max(within_s, 0.01)
        )

    def _record_origin(self) -> None:
        """Records where the stream began, before its first event is relayed."""
        slot = self._slot
        if self._origin is not None or slot is None:
            return
        self._origin = slot.upstream.origin
        if self._route.is_resumable:
            self._origins.record(
                self._call.attempt,
                self._origin,
                self._span_s(),
                is_only_service=self._has_had_one_service(),
            )

    def _limit_gap(self, opened: upstreamsender.OpenAnswer) -> None:
        """Limits pauses in a stream that has begun, by the route's gap target.

        If the upstream is cut off or freezes in the middle of a stream, the
        caller would otherwise see a pause as long as a first event may take,
        although another upstream could continue at once.
        """
        self._limit_event(opened, self._call.remaining_s())
        if not self._route.gap_target_s or not self._may_run_again():
            return
        if not self._has_other_upstream():
            # The limit for the first event may be shorter than a pause.
            opened.answer.set_read_timeout(max(self._call.remaining_s(), 0.01))
            return
        gap_s = self._stream_timeouts.gap_timeout_s(
            self._route.gap_target_s, self._route.target_latency_s
        )
        opened.answer.set_read_timeout(gap_s)
        self._limit_event(opened, gap_s)

    def _record_upstream_data(self) -> None:
        if self._slot is not None:
            self._placement.health.record_data(self._slot.upstream.instance)

    def _close_answer(self) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.close()
        self._release()

    def _resume(
        self, error: services.UpstreamError | None
    ) -> upstreamsender.OpenAnswer | None:
        """Resumes a broken stream at another upstream, if that is allowed.

        Args:
            error: Why the stream broke; `None` if it ended inside an event.

        Returns:
            The open answer that continues the stream; `None` if there is none.
        """
        if error is None:
            error = services.UpstreamError("crashed", "ran", "cut in an event")
        self._record_break(error)
        self._release()
        opened = self._open_answer()
        if opened is None or self._is_stream(opened):
            return opened
        self._release()
        return None

    def _wait_for_crash_notices(self) -> None:
        """Waits until other VMs know; the caller may try again at any."""
        for notices in self._crash_notices:
            notices.wait()

    def _refuse(self) -> httpd.Response:
        refusal = self._refusal()
        self._release()
        self._wait_for_crash_notices()
        # Else a caller that reads the refusal and closes counts as one that
        # left before it had an answer.
        self._call.mark_answered()
        _events.warning(
            "refused",
            request=self._call.attempt,
            route=self._route.name,
            service=self._request.service,
            status=refusal.status,
            why=refusal.why,
            retry_after_s=round(refusal.retry_after_s, 3),
            sends=self._call.sends,
            runs=self._call.runs,
            age_s=round(self._call.age_s(), 3),
            left_s=round(self._call.remaining_s(), 3),
            tried=self._tried_instances,
            occupancy=self._occupancy(),
        )
        return refusals.refusal_response(refusal)

    def _occupancy(self) -> Mapping[str, float]:
        """Returns the engines' occupancy as their leader reported it."""
        occupancy = None if self._no_slot is None else self._no_slot.occupancy
        return {} if occupancy is None else occupancy._asdict()

    def _refusal(self) -> refusals.Refusal:
        call = self._call
        is_late = call.reason == "timeout" or call.remaining_s() <= 0
        if call.runs and is_late:
            return refusals.Refusal(504, "no answer in time")
        if call.runs:
            return refusals.Refusal(502, "the upstream's answer broke off")
        if self._sender.is_refused(self._request.outgoing):
            return _QUARANTINED
        doubt_s = self._sender.doubt_s(self._request.outgoing)
        if doubt_s > 0:
            return refusals.Refusal(503, _IN_DOUBT, doubt_s)
        if self._no_slot is not None:
            return refusals.Refusal(
                503, self._no_slot.reason, self._no_slot.retry_after_s
            )
        return refusals.Refusal(503, "no upstream took it", _BUSY_RETRY_S)


_MOVED = "the route has left the service that began the stream"
_UNBEGUN = "the connection ended before the first event"
_ENDLESS = "bytes without the end of an event"
_UNKNOWN_ORIGIN = "the software version that began the stream is not known"
_DEADLY_PART = "upstreams crashed as they answered a part of its prompt"
_IN_DOUBT = "several upstreams crashed while they ran this request"
# No time to come back at, since the request would be refused again.
_QUARANTINED = refusals.Refusal(
    503, "upstreams crashed each time that they ran this request"
)


def _blocks(held: heldbytes.HeldBytes) -> Iterator[bytes]:
    while held:
        yield held.take_block()


def _with_length(
    headers: tuple[tuple[str, str], ...], length: int
) -> tuple[tuple[str, str], ...]:
    kept = tuple(
        (name, value)
        for name, value in headers
        if name.lower() != "content-length"
    )
    return (*kept, ("Content-Length", str(length)))
