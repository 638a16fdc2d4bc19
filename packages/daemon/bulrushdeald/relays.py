"""Relays one upstream's answer and settles all that depends on its end."""

from collections.abc import Callable, Iterator

import result

from bulrushdeald import calls
from bulrushdeald import dispatch
from bulrushdeald import idempotency
from bulrushdeald import services

_CLIENT_ERROR = 400
# The one status by which an upstream says that it cannot serve anybody now.
# Any other error may be one caller's fault, and must not take the upstream
# from the others.
_UNAVAILABLE = 503


class Relay:
    """Holds a slot and an answer; gives both back exactly once.

    Attributes:
        answer: The upstream's.
        code: How it ended, for the usage: `ok` or a refusal's code.
    """

    def __init__(
        self,
        started: dispatch.Started,
        call: calls.Call,
        guard: idempotency.Guard,
        record: Callable[["Relay"], None],
    ) -> None:
        self.answer = started.answer
        self._slot = started.slot
        self._call = call
        self._guard = guard
        self._record = record
        # What holds if the caller's side ends first.
        self.code = "caller_left"
        self._outcome: services.Outcome = "cancelled"
        self._ran: services.Ran = "ran"
        self._is_whole = False
        self._is_closed = False
        self.items = self._items()

    def fail(self, error: services.UpstreamError) -> services.Refusal:
        """Notes a failure; returns what the caller is told of it."""
        refusal = dispatch.refusal_of(error, self._call)
        self._outcome = dispatch.outcome_of(error)
        self._ran = error.ran
        self._is_whole = False
        self.code = refusal.code
        return refusal

    def complete(self) -> None:
        """Notes that the caller has the whole answer.

        The failure: a caller leaves when it has a stream's last event, while
        the upstream's own end is still awaited, and counts as one that left
        without its answer. What breaks after the last event is not told.
        """
        status = self.answer.status
        self._outcome = "refused" if self.is_refusal else "ok"
        self.code = f"upstream_{status}" if status >= _CLIENT_ERROR else "ok"
        self._is_whole = True

    def close(self) -> None:
        """Gives the slot back, keeps the answer and reports the usage."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._guard.is_keyed and not self._call.reason:
            # The caller left, but will ask for this answer again.
            for _ in self.items:
                pass
        self.answer.close()
        self._slot.release(self._outcome)
        if self._is_whole:
            self._guard.answered(self.answer.status, self.answer.headers)
        else:
            self._guard.failed(self._ran)
        self._record(self)

    @property
    def is_refusal(self) -> bool:
        """Whether the upstream says that it cannot serve anybody now."""
        return self.answer.status == _UNAVAILABLE

    def refuse(self) -> None:
        """Closes unread, since another upstream is tried instead."""
        self._call.note_ran("ran")
        self._is_closed = True
        self.answer.close()
        self._slot.release("refused")

    def failure(self, error: services.UpstreamError) -> dispatch.Failure:
        """Closes without a record, since the request may be tried again."""
        refusal = self.fail(error)
        self._is_closed = True
        self.answer.close()
        self._slot.release(self._outcome)
        self._guard.failed(self._ran)
        return dispatch.Failure(refusal, self._slot.upstream.upstream, error)

    def _items(self) -> Iterator[result.Result[bytes, services.UpstreamError]]:
        for item in self.answer.chunks():
            if isinstance(item, result.Err) and self._is_whole:
                return
            if isinstance(item, result.Err):
                self.fail(item.err_value)
            else:
                self._guard.note(item.ok_value)
            yield item
            if isinstance(item, result.Err):
                return
        self.complete()
