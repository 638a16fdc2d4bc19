"""Runs batch items at upstreams and interprets the outcomes."""

from collections.abc import Callable
from typing import Any, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import jsontext
from bulrushdeald import chunkrun
from bulrushdeald import completions
from bulrushdeald import results
from bulrushdeald import services

# Kept low, because an item that crashes upstreams costs one per try.
MAX_TRIES = 3
# How long to wait for a slot. Kept short, because a thread that waits for a
# slot of one model cannot run items of another.
_SLOT_WAIT_S = 5.0
_RETRY_DELAY_S = 1.0
_MAX_ANSWER_BYTES = 8_000_000
# Identifies a stream to engines that can resume one: a cancelled stream then
# continues where it stopped. Other engines ignore the header and start over.
STREAM_HEADER = "X-Stream-Id"
_RETRIED_STATUSES = frozenset((408, 429, 500, 502, 503, 504))
_TOO_MANY_REQUESTS = 429
_FIRST_SERVER_ERROR = 500


class Retry(NamedTuple):
    """An item has to run again.

    Attributes:
        delay_s: The least time to wait before the next try.
        is_failure: Whether this try counts as failed.
        refusal: The item's error if it has no tries left.
    """

    delay_s: float
    is_failure: bool
    refusal: services.Refusal


class _Reply(NamedTuple):
    """An upstream's complete answer."""

    status: int
    body: bytes


class Runner:
    """Runs items on the calling thread."""

    def __init__(
        self,
        router: services.Router,
        upstreams: services.Upstreams,
        clock: clock_lib.Clock,
        timeout_s: float,
    ) -> None:
        self._router = router
        self._upstreams = upstreams
        self._clock = clock
        self._timeout_s = timeout_s

    def run(self, run: chunkrun.ChunkRun, number: int) -> bool:
        """Runs one item and returns whether its chunk has ended."""
        now_s = self._clock.wall_s()
        if now_s >= run.job.deadline_wall_s:
            return run.finish(
                number, self._error_answer(run, number, _expired_refusal())
            )
        outcome = self._attempt(run, number)
        if isinstance(outcome, chunkrun.Answer):
            return run.finish(number, outcome)
        run.tries[number] += outcome.is_failure
        if run.tries[number] >= MAX_TRIES:
            answer = self._error_answer(run, number, outcome.refusal)
            return run.finish(number, answer)
        due_s = self._clock.monotonic_s() + outcome.delay_s
        return run.requeue(number, due_s)

    def _attempt(
        self, run: chunkrun.ChunkRun, number: int
    ) -> chunkrun.Answer | Retry:
        call = run.items[number].call
        work = completions.work(call, run.job.customer, "batch", _SLOT_WAIT_S)
        resume_upstream = run.yielded_at.pop(number, "")
        slot = self._router.acquire(
            work._replace(resume_upstream=resume_upstream)
        )
        if isinstance(slot, result.Err):
            return self._handle_refusal(run, number, slot.err_value)
        return self._send(run, number, slot.ok_value)

    def _handle_refusal(
        self, run: chunkrun.ChunkRun, number: int, refusal: services.Refusal
    ) -> chunkrun.Answer | Retry:
        # A quarantined request, which crashes upstreams, and an invalid one
        # fail for good. All other refusals may be temporary.
        is_invalid = refusal.status < _FIRST_SERVER_ERROR
        if refusal.code == "quarantined" or (
            is_invalid and refusal.status != _TOO_MANY_REQUESTS
        ):
            return self._error_answer(run, number, refusal)
        return Retry(max(refusal.retry_after_s, _RETRY_DELAY_S), False, refusal)

    def _send(
        self, run: chunkrun.ChunkRun, number: int, slot: services.Slot
    ) -> chunkrun.Answer | Retry:
        outcome: services.Outcome = "crashed"
        try:
            reply = self._exchange(run, number, slot)
            if isinstance(reply, result.Err):
                outcome = _slot_outcome(run, reply.err_value)
                if outcome == "yielded":
                    run.yielded_at[number] = slot.upstream.upstream
                return _retry_for_error(reply.err_value)
            status = reply.ok_value.status
            outcome = "refused" if status in _RETRIED_STATUSES else "ok"
            return self._handle_reply(run, number, slot, reply.ok_value)
        finally:
            slot.release(outcome)

    def _exchange(
        self,
        run: chunkrun.ChunkRun,
        number: int,
        slot: services.Slot,
    ) -> result.Result[_Reply, services.UpstreamError]:
        call = run.items[number].call

        def on_connected(cancel: Callable[[], None]) -> None:
            # The stream is closed when online work needs the slot or when the
            # job is cancelled. The engine then stops running the item.
            slot.on_yield(cancel)
            run.on_cancel(number, cancel)

        answer = self._upstreams.send(
            slot.upstream,
            "POST",
            call.path,
            _headers(run, number),
            call.body,
            self._timeout_s,
            on_connected=on_connected,
        )
        if isinstance(answer, result.Err):
            return answer
        body = bytearray()
        try:
            for piece in answer.ok_value.chunks():
                if isinstance(piece, result.Err):
                    return piece
                body += piece.ok_value
                if len(body) > _MAX_ANSWER_BYTES:
                    answer.ok_value.cancel()
                    return result.Ok(_Reply(_FIRST_SERVER_ERROR, b""))
        finally:
            answer.ok_value.close()
        return result.Ok(_Reply(answer.ok_value.status, bytes(body)))

    def _handle_reply(
        self,
        run: chunkrun.ChunkRun,
        number: int,
        slot: services.Slot,
        reply: _Reply,
    ) -> chunkrun.Answer | Retry:
        try:
            body = jsontext.parse(reply.body)
        except ValueError:
            refusal = services.Refusal(
                502, "bad_answer", "The upstream's answer is not JSON.", "ran"
            )
            return Retry(_RETRY_DELAY_S, True, refusal)
        is_last = run.tries[number] + 1 >= MAX_TRIES
        if reply.status in _RETRIED_STATUSES and not is_last:
            refusal = services.Refusal(
                reply.status, "upstream_error", "The upstream failed.", "ran"
            )
            # An engine answers 429 when it is full and has not run the item.
            return Retry(
                _RETRY_DELAY_S, reply.status != _TOO_MANY_REQUESTS, refusal
            )
        item = run.items[number]
        line = results.answer_line(
            run.job.job,
            item.custom_id,
            _line_number(run, number),
            reply.status,
            body,
        )
        outcome = "ok" if line.is_success else "refused"
        usage = self._usage_event(
            run, number, slot.upstream.upstream, outcome, body
        )
        return chunkrun.Answer(line, usage)

    def _error_answer(
        self, run: chunkrun.ChunkRun, number: int, refusal: services.Refusal
    ) -> chunkrun.Answer:
        line = results.error_line(
            run.job.job,
            run.items[number].custom_id,
            _line_number(run, number),
            refusal,
        )
        usage = self._usage_event(run, number, "", refusal.code, None)
        return chunkrun.Answer(line, usage)

    def _usage_event(
        self,
        run: chunkrun.ChunkRun,
        number: int,
        upstream: str,
        outcome: str,
        body: Any,
    ) -> services.UsageEvent:
        counts = body.get("usage") if isinstance(body, dict) else None
        if not isinstance(counts, dict):
            counts = {}
        return services.UsageEvent(
            self._clock.wall_s(),
            run.job.customer,
            "batch",
            upstream,
            run.items[number].call.model,
            outcome,
            _token_count(counts, "prompt_tokens"),
            _token_count(counts, "completion_tokens"),
        )


def _headers(run: chunkrun.ChunkRun, number: int) -> dict[str, str]:
    holding = run.holding
    stream = f"{holding.job}/{holding.chunk}/{holding.epoch}/{number}"
    return {"Content-Type": "application/json", STREAM_HEADER: stream}


def _line_number(run: chunkrun.ChunkRun, number: int) -> int:
    return run.holding.chunk * 1000 + number


def _token_count(counts: dict[str, Any], name: str) -> int:
    value = counts.get(name)
    return value if type(value) is int else 0


def _retry_for_error(error: services.UpstreamError) -> Retry:
    if error.kind == "cancelled":
        # Online work took the slot, or the chunk was stopped. Neither is the
        # item's fault, so this never counts as a failed try.
        refusal = services.Refusal(503, "cancelled", error.message, error.ran)
        return Retry(0.0, False, refusal)
    refusal = services.Refusal(
        502, "upstream_failed", f"Each try failed: {error.kind}.", error.ran
    )
    return Retry(_RETRY_DELAY_S, error.kind != "unreachable", refusal)


def _slot_outcome(
    run: chunkrun.ChunkRun, error: services.UpstreamError
) -> services.Outcome:
    if error.kind == "cancelled":
        return "cancelled" if run.is_stopped else "yielded"
    return "refused" if error.kind == "unreachable" else "crashed"


def _expired_refusal() -> services.Refusal:
    return services.Refusal(
        504, "batch_expired", "The completion window has passed.", "unknown"
    )
