"""Runs one batch item on an upstream, from its last event on."""

from collections.abc import Callable, Sequence
import time

import result

from bulrushdeal import eventlog
from bulrushdeald import services
from gateway import crashrecords
from gateway import dialect as dialect_lib
from gateway import eventstream
from gateway import grantlog
from gateway import heldslots
from gateway import jobstate
from gateway import outputroom
from gateway import placement
from gateway import resultwriter
from gateway import upstreamsender
from gateway.decisions import itemtimes
from gateway.decisions import requestcosts

_events = eventlog.Events("runner")

# An engine that sends nothing for this long has crashed or is unreachable.
_MAX_SILENCE_S = 2.0
# Once it has begun to send, an engine does not pause for this long.
_MAX_CHUNK_GAP_S = 0.6
# More than an item's result may have in the store.
_MAX_OUTPUT_BYTES = 1 << 20
_CUT = "cut in an event, or before the first"
_ENDLESS = "bytes without end"
_NO_ROOM = "this VM has no memory for its output"
_HTTP_OK = 200
_HTTP_UNPROCESSABLE = 422
_HTTP_SERVER_ERROR = 500


class ItemRun:
    """Sends items to upstreams, reads their output and writes their results.

    Args:
        on_failure: Called after each run that counts as failed.
        room: What the outputs of items may hold.

    Attributes:
        times: How long items take.
    """

    def __init__(
        self,
        dialect: dialect_lib.Dialect,
        sender: upstreamsender.Sender,
        placer: placement.Placement,
        writer: resultwriter.ResultWriter,
        crashes: crashrecords.CrashRecords,
        on_failure: Callable[[], None],
        room: outputroom.OutputRoom,
    ) -> None:
        self._room = room
        self._dialect = dialect
        self._crashes = crashes
        self._sender = sender
        self._placement = placer
        self._writer = writer
        self._on_failure = on_failure
        self.times = itemtimes.ItemTimes()

    def run(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        slot: heldslots.Slot,
    ) -> None:
        """Runs an item once, until its end, a failure or a preemption."""
        grantlog.log(slot, job=state.meta.job, item=item.item.item)
        outgoing = self._request(state, item)
        sent = self._sender.send(
            outgoing,
            slot,
            deadline_s=-1.0,
            max_silence_s=_MAX_SILENCE_S,
            last_event_id=item.last_event,
            on_connected=slot.set_cancel_callback,
        )
        if isinstance(sent, result.Err):
            failure = sent.err_value
            self._record_interruption(state, item, slot, outgoing, failure)
            return
        answer = sent.ok_value.answer
        try:
            if answer.status == _HTTP_OK:
                self._read_stream(state, item, slot, outgoing, answer)
            else:
                self._handle_error_status(state, item, answer)
        finally:
            answer.cancel()
            answer.close()

    def _request(
        self, state: jobstate.JobState, item: jobstate.ItemState
    ) -> upstreamsender.UpstreamRequest:
        return upstreamsender.UpstreamRequest(
            item.item.item,
            "POST",
            item.item.path,
            self._dialect.item_headers(item.item, state.meta.host),
            item.item.body,
            state.meta.customer,
        )

    def is_held_back(
        self, state: jobstate.JobState, item: jobstate.ItemState
    ) -> bool:
        """Returns whether an item waits because it may crash upstreams."""
        if self._crashes.is_empty():
            return False
        if self._crashes.is_held_back(self._fingerprint(state, item)):
            return True
        cost = self._cost(item)
        judged = self._sender.judge_parts(cost)
        return judged.verdict != "sound" and not self._sender.may_try_part(
            judged.part, cost
        )

    def _cost(self, item: jobstate.ItemState) -> requestcosts.RequestCost:
        if item.cost is None:
            item.cost = self._dialect.item_cost(item.item)
        return item.cost

    def is_suspect(
        self, state: jobstate.JobState, item: jobstate.ItemState
    ) -> bool:
        """Returns whether an upstream crashed while it ran the item."""
        return not self._crashes.is_empty() and self._crashes.is_suspect(
            self._fingerprint(state, item)
        )

    def begin_trial(
        self, state: jobstate.JobState, item: jobstate.ItemState
    ) -> None:
        """Records that a suspect item is about to run."""
        self._crashes.begin_trial(self._fingerprint(state, item))

    def _fingerprint(
        self, state: jobstate.JobState, item: jobstate.ItemState
    ) -> str:
        if not item.fingerprint:
            item.fingerprint = self._request(state, item).fingerprint()
        return item.fingerprint

    def _read_stream(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        slot: heldslots.Slot,
        outgoing: upstreamsender.UpstreamRequest,
        answer: services.UpstreamAnswer,
    ) -> None:
        splitter = eventstream.Splitter()
        error: services.UpstreamError | None = None
        answer.limit_reads(eventstream.MAX_UNFINISHED_BYTES, _MAX_SILENCE_S)
        for chunk in answer.chunks():
            if isinstance(chunk, result.Err):
                error = chunk.err_value
                break
            try:
                events = eventstream.parse(splitter.feed(chunk.ok_value))
            except eventstream.EventTooLongError:
                error = services.UpstreamError("endless", "ran", _ENDLESS)
                break
            except eventstream.EventEncodingError as bad:
                error = services.UpstreamError("crashed", "ran", str(bad))
                break
            event_bytes = sum(len(event.data or "") for event in events)
            if item.output_bytes + event_bytes > _MAX_OUTPUT_BYTES:
                error = services.UpstreamError("endless", "ran", _ENDLESS)
                item.discard_output()
                break
            if events:
                self._record_events(item, slot, answer, events)
            if not self._room.has_room(item):
                item.discard_output()
                failure = upstreamsender.Failure("ended", True, _NO_ROOM)
                self._record_interruption(state, item, slot, outgoing, failure)
                return
            answer.set_read_timeout(_MAX_CHUNK_GAP_S)
            item.consecutive_pauses = 0
            self._placement.health.record_data(slot.upstream.instance)
            if state.is_dropped:
                return
        is_cut = splitter.has_partial_event or (
            answer.ends_with_connection and not item.output
        )
        if error is None and is_cut:
            error = services.UpstreamError("crashed", "ran", _CUT)
        if error is not None:
            failure = self._sender.record_failure(outgoing, slot, error)
            self._record_interruption(state, item, slot, outgoing, failure)
            return
        answer.close()
        slot.release()
        self._sender.record_completion(outgoing)
        now_s = time.monotonic()
        self.times.record(item.elapsed_s(now_s), item.span_s(now_s))
        self._writer.write(state, item, item.completed(), "")

    def _record_events(
        self,
        item: jobstate.ItemState,
        slot: heldslots.Slot,
        answer: services.UpstreamAnswer,
        events: Sequence[eventstream.Event],
    ) -> None:
        answer.limit_reads(eventstream.MAX_UNFINISHED_BYTES, _MAX_SILENCE_S)
        if not slot.first_event_s:
            self._sender.record_written(slot.cost)
        item.is_answering = True
        item.origin = item.origin or slot.upstream.origin
        self._placement.record_first_event(slot)
        for event in events:
            if event.event_id is not None:
                item.last_event = event.event_id
            if event.data is not None:
                item.add_output(event.data)

    def _handle_error_status(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        answer: services.UpstreamAnswer,
    ) -> None:
        self._crashes.end_trial(self._fingerprint(state, item))
        if answer.status == _HTTP_UNPROCESSABLE:
            self._writer.write(state, item, item.errored(), "cannot be done")
            return
        if answer.status == _HTTP_SERVER_ERROR:
            item.failures += 1
            self._on_failure()
        if item.failures >= state.meta.max_attempts:
            self._writer.write(state, item, item.errored(), "attempts used up")
            return
        _events.warning(
            "item_refused",
            job=state.meta.job,
            item=item.item.item,
            status=answer.status,
            failures=item.failures,
        )
        item.pause()

    def _record_interruption(
        self,
        state: jobstate.JobState,
        item: jobstate.ItemState,
        slot: heldslots.Slot,
        outgoing: upstreamsender.UpstreamRequest,
        failure: upstreamsender.Failure,
    ) -> None:
        if failure.status in (_HTTP_UNPROCESSABLE, _HTTP_SERVER_ERROR):
            item.pause_after_unsigned_failure()
        elif not slot.is_preempted:
            item.pause()
        if slot.is_preempted or not failure.may_have_run:
            self._crashes.end_trial(outgoing.fingerprint())
        _events.info(
            "yielded" if slot.is_preempted else "broke_off",
            job=state.meta.job,
            item=item.item.item,
            upstream=slot.upstream.instance,
            last_event=item.last_event,
            upstream_crashed=failure.has_upstream_crashed,
            address=failure.address_state,
            failures=item.failures,
            fingerprint=outgoing.fingerprint(),
            why=failure.why,
        )
