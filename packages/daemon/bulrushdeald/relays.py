"""Relays one upstream response, then releases its slot and records usage."""

from collections.abc import Callable, Iterator

import result

from bulrushdeald import calls
from bulrushdeald import dispatch
from bulrushdeald import idempotency
from bulrushdeald import services

_CLIENT_ERROR = 400
# The only status that means that an upstream cannot serve any request now. Any
# other error may be the fault of one caller's request and must not take the
# upstream out of service for other callers.
_UNAVAILABLE = 503
# What is read of an answer after its caller has left: far more than is kept,
# so that an upstream can finish what it would do only once.
_MAX_REST_BYTES = 16_000_000
# How long that may take; an answer without an end would keep its thread and
# its slot.
_MAX_REST_S = 600.0


class Relay:
    """Holds a slot and an upstream's response; releases both exactly once.

    Attributes:
        answer: The upstream's response.
        code: The outcome for the usage record: `ok`, `caller_left`,
            `upstream_` and an error status, or the code of a refusal.
        items: The pieces of the body; an error is the last of them.
    """

    def __init__(
        self,
        started: dispatch.Started,
        call: calls.Call,
        guard: idempotency.Guard,
        record_usage: Callable[["Relay"], None],
    ) -> None:
        self.answer = started.answer
        self._slot = started.slot
        self._call = call
        self._guard = guard
        self._record_usage = record_usage
        # These values apply if the caller leaves before the end.
        self.code = "caller_left"
        self._outcome: services.Outcome = "cancelled"
        self._ran: services.ExecutionStatus = "ran"
        self._is_complete = False
        self._is_closed = False
        self.items = self._items()

    def fail(self, error: services.UpstreamError) -> services.Refusal:
        """Records a failure and returns the refusal for the caller."""
        refusal = dispatch.refusal_of(error, self._call)
        self._outcome = dispatch.outcome_of(error)
        self._ran = error.ran
        self._is_complete = False
        self.code = refusal.code
        return refusal

    def complete(self) -> None:
        """Records that the caller has the complete response.

        A caller may leave once it has the last event of a stream, before the
        upstream has ended its response. Without this call it would count as
        `caller_left`. Errors after the last event are ignored.
        """
        status = self.answer.status
        self._outcome = "refused" if self.is_refusal else "ok"
        self.code = f"upstream_{status}" if status >= _CLIENT_ERROR else "ok"
        self._is_complete = True

    def close(self) -> None:
        """Releases the slot, stores the outcome and records the usage."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._guard.is_keyed and not self._call.reason:
            # The caller may have left and will repeat the request with its
            # key, so the rest of the response is read and kept.
            self.answer.limit_reads(_MAX_REST_BYTES, _MAX_REST_S)
            for _ in self.items:
                pass
        self.answer.close()
        self._slot.release(self._outcome)
        if self._is_complete:
            self._guard.answered(self.answer.status, self.answer.headers)
        else:
            self._guard.failed(self._ran)
        self._record_usage(self)

    @property
    def is_refusal(self) -> bool:
        """Whether the upstream responded that it cannot serve any request."""
        return self.answer.status == _UNAVAILABLE

    def refuse(self) -> None:
        """Closes the unread response before a try at another upstream."""
        self._call.note_ran("ran")
        self._is_closed = True
        self.answer.close()
        self._slot.release("refused")

    def failure(self, error: services.UpstreamError) -> dispatch.Failure:
        """Closes without a usage record, since the request may be retried."""
        refusal = self.fail(error)
        self._is_closed = True
        self.answer.close()
        self._slot.release(self._outcome)
        self._guard.failed(self._ran)
        return dispatch.Failure(refusal, self._slot.upstream.upstream, error)

    def _items(self) -> Iterator[result.Result[bytes, services.UpstreamError]]:
        for item in self.answer.chunks():
            if isinstance(item, result.Err) and self._is_complete:
                return
            if isinstance(item, result.Err):
                self.fail(item.err_value)
            else:
                self._guard.note(item.ok_value)
            yield item
            if isinstance(item, result.Err):
                return
        self.complete()
