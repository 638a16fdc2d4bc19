"""Serves the calls of models: whole answers and streams of events."""

from collections.abc import Callable, Iterator
import json
import time
from typing import Any

import result

from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import bodies
from bulrushdeald import calls
from bulrushdeald import completions
from bulrushdeald import defaults
from bulrushdeald import dispatch
from bulrushdeald import headers as headers_lib
from bulrushdeald import refusals
from bulrushdeald import services
from bulrushdeald import streams

MODELS_PATH = "/v1/models"
_OK = 200
_SERVER_ERROR = 500
_MAX_TRIES = 2
_MAX_ANSWER_BYTES = 64_000_000


class ModelCalls:
    """Serves `completions.PATHS` and the list of models."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        self._config = kernel.find(services.CONFIG, services.Config)
        self._limits = kernel.find(services.LIMITS, services.Limits)
        self._usage = kernel.find(services.USAGE, services.Usage)
        self._dispatcher = dispatcher
        self._max_body_bytes = settings.max_body_bytes
        self._deadline_s = settings.online_deadline_s

    def models(
        self, request: httpd.Request, call: calls.Call
    ) -> httpd.Response:
        """Lists the models that some upstream serves."""
        del request, call
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": ""}
            for name in sorted(self._models())
        ]
        return httpd.json_response(_OK, {"object": "list", "data": data})

    def complete(
        self, request: httpd.Request, call: calls.Call
    ) -> httpd.Response:
        """Answers one call of a model."""
        checked = self._check(request)
        if isinstance(checked, result.Err):
            return refusals.response(checked.err_value)
        model_call = checked.ok_value
        taken = self._limits.take(call.customer)
        if isinstance(taken, result.Err):
            self._record(model_call, call, taken.err_value.code)
            return refusals.response(taken.err_value)
        answered = self._answer(request, model_call, call)
        if isinstance(answered, result.Err):
            self._record(model_call, call, answered.err_value.code)
            return refusals.response(answered.err_value)
        return answered.ok_value

    def _check(
        self, request: httpd.Request
    ) -> result.Result[completions.Call, services.Refusal]:
        body = bodies.read_whole(request, self._max_body_bytes)
        if isinstance(body, result.Err):
            return body
        key = headers_lib.bearer(request.headers)
        if key.encode() in body.ok_value:
            return result.Err(
                refusals.bad_input("The body holds the key.", "body")
            )
        checked = completions.read(request.path, body.ok_value)
        if isinstance(checked, result.Err):
            return checked
        if checked.ok_value.model not in self._models():
            return result.Err(
                services.Refusal(
                    404,
                    "model_not_found",
                    f"There is no model {checked.ok_value.model!r}.",
                    field="model",
                )
            )
        return checked

    def _models(self) -> set[str]:
        return {
            model
            for upstream in self._config.upstreams()
            for model in upstream.models
        }

    def _answer(
        self,
        request: httpd.Request,
        model_call: completions.Call,
        call: calls.Call,
    ) -> result.Result[httpd.Response, services.Refusal]:
        work = completions.work(
            model_call, call.customer, "online", self._deadline_s
        )
        key = headers_lib.bearer(request.headers)
        sending = dispatch.Sending(
            "POST",
            model_call.path,
            headers_lib.for_upstream(request.headers, key),
            model_call.body,
            is_idempotent=True,
        )
        for number in range(1, _MAX_TRIES + 1):
            started = self._dispatcher.run(work, sending, call)
            if isinstance(started, result.Err):
                return result.Err(started.err_value.refusal)
            relay = _Relay(
                started.ok_value, call, self._recorder(model_call, call)
            )
            answered = relay.answer(model_call.is_stream)
            if isinstance(answered, result.Ok):
                return answered
            failure = answered.err_value
            # No byte of this answer went to the caller yet.
            is_last = number == _MAX_TRIES
            if is_last or not self._dispatcher.may_retry(
                failure, sending, call
            ):
                return result.Err(failure.refusal)
        raise AssertionError("the last try returns")

    def _recorder(
        self, model_call: completions.Call, call: calls.Call
    ) -> Callable[[str, int, int], None]:
        def record(outcome: str, prompt: int, completion: int) -> None:
            self._record(model_call, call, outcome, prompt, completion)

        return record

    def _record(
        self,
        model_call: completions.Call,
        call: calls.Call,
        outcome: str,
        prompt_tokens: int = 0,
        completion_tokens: int = 0,
    ) -> None:
        self._usage.record(
            services.UsageEvent(
                time.time(),
                call.customer,
                "online",
                call.upstream,
                model_call.model,
                outcome,
                prompt_tokens,
                completion_tokens,
            )
        )


class _Relay:
    """Relays one upstream's answer; gives the slot back exactly once."""

    def __init__(
        self,
        started: dispatch.Started,
        call: calls.Call,
        record: Callable[[str, int, int], None],
    ) -> None:
        self._slot = started.slot
        self._answer = started.answer
        self._call = call
        self._record = record
        # What holds if the caller's side ends first.
        self._outcome: services.Outcome = "cancelled"
        self._code = "caller_left"
        self._events = 0
        self._usage_event = b""

    def answer(
        self, is_stream: bool
    ) -> result.Result[httpd.Response, dispatch.Failure]:
        """Returns the answer once its first bytes, or all, are there."""
        if is_stream and self._answer.status == _OK:
            return self._stream()
        return self._whole()

    def _whole(self) -> result.Result[httpd.Response, dispatch.Failure]:
        parts: list[bytes] = []
        size_bytes = 0
        for item in self._answer.chunks():
            if isinstance(item, result.Err):
                return result.Err(self._fail(item.err_value))
            size_bytes += len(item.ok_value)
            if size_bytes > _MAX_ANSWER_BYTES:
                return result.Err(self._fail(_TOO_LONG))
            parts.append(item.ok_value)
        body = b"".join(parts)
        is_refused = self._answer.status >= _SERVER_ERROR
        self._outcome = "refused" if is_refused else "ok"
        is_ok = self._answer.status == _OK
        self._code = "ok" if is_ok else f"upstream_{self._answer.status}"
        self._usage_event = body
        self._close()
        return result.Ok(
            httpd.Response(
                self._answer.status,
                _with_length(self._answer.headers, len(body)),
                (body,),
            )
        )

    def _stream(self) -> result.Result[httpd.Response, dispatch.Failure]:
        events = streams.whole_events(self._answer.chunks())
        first = next(events)
        if isinstance(first, result.Err):
            return result.Err(self._fail(first.err_value))
        return result.Ok(
            httpd.Response(
                self._answer.status,
                self._answer.headers,
                calls.Body(self._relay(first.ok_value, events), self._close),
            )
        )

    def _relay(
        self,
        first: bytes,
        events: Iterator[result.Result[bytes, services.UpstreamError]],
    ) -> Iterator[bytes]:
        self._note(first)
        yield first
        for item in events:
            if isinstance(item, result.Err):
                refusal = dispatch.refusal_of(item.err_value, self._call)
                self._outcome = dispatch.outcome_of(item.err_value)
                self._code = refusal.code
                yield streams.error_event(refusal)
                return
            self._note(item.ok_value)
            yield item.ok_value
        self._outcome = "ok"
        self._code = "ok"

    def _note(self, data: bytes) -> None:
        self._events += data.count(b"data:")
        if b'"usage"' in data:
            self._usage_event = data

    def _fail(self, error: services.UpstreamError) -> dispatch.Failure:
        refusal = dispatch.refusal_of(error, self._call)
        upstream = self._slot.upstream.upstream
        self._answer.close()
        self._slot.release(dispatch.outcome_of(error))
        return dispatch.Failure(refusal, upstream, error)

    def _close(self) -> None:
        self._answer.close()
        self._slot.release(self._outcome)
        usage = _usage(self._usage_event)
        completion = int(usage.get("completion_tokens") or self._events)
        prompt = int(usage.get("prompt_tokens") or 0)
        self._record(self._code, prompt, completion)


_TOO_LONG = services.UpstreamError("crashed", "ran", "The answer is too long.")


def _usage(data: bytes) -> dict[str, Any]:
    """Returns the usage that an engine told, empty if it did not."""
    for line in data.splitlines():
        text = line.removeprefix(b"data:").strip()
        if b'"usage"' not in text:
            continue
        try:
            usage = json.loads(text).get("usage")
        except (ValueError, AttributeError):
            return {}
        return usage if isinstance(usage, dict) else {}
    return {}


def _with_length(
    headers: tuple[tuple[str, str], ...], size_bytes: int
) -> tuple[tuple[str, str], ...]:
    kept = tuple(
        (name, value)
        for name, value in headers
        if name.lower() != "content-length"
    )
    return (*kept, ("Content-Length", str(size_bytes)))
