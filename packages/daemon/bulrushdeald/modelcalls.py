"""Serves calls to models, answered whole or as an event stream."""

from collections.abc import Iterator
import time
from typing import Any

import result

from bulrushdeal import exchanges
from bulrushdeal import fingerprints
from bulrushdeal import heldbytes
from bulrushdeal import httpd
from bulrushdeal import jsontext
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import bodies
from bulrushdeald import calls
from bulrushdeald import completions
from bulrushdeald import defaults
from bulrushdeald import dispatch
from bulrushdeald import headers as headers_lib
from bulrushdeald import idempotency
from bulrushdeald import intents
from bulrushdeald import refusals
from bulrushdeald import relays
from bulrushdeald import services
from bulrushdeald import streams

MODELS_PATH = "/v1/models"
_OK = 200
# The last two events of a stream carry no token: the one with the finish
# reason, and `[DONE]`.
_EVENTS_WITHOUT_TOKEN = 2
_MAX_ANSWER_BYTES = 64_000_000
# The memory to decode a call and to change it, as a multiple of its body.
_MEMORY_FACTOR = 4


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
        self._intents = kernel.find(services.INTENTS, intents.Intents)
        self._usage = kernel.find(services.USAGE, services.Usage)
        self._dispatcher = dispatcher
        self._max_body_bytes = settings.max_body_bytes
        self._deadline_s = settings.online_deadline_s

    def models(
        self, request: httpd.Request, call: calls.Call
    ) -> httpd.Response:
        """Lists the models that at least one upstream serves."""
        del request, call
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": ""}
            for name in sorted(self._config.models())
        ]
        return httpd.json_response(_OK, {"object": "list", "data": data})

    def complete(
        self, request: httpd.Request, call: calls.Call
    ) -> httpd.Response:
        """Serves one call to a model."""
        checked = self._read_call(request)
        if isinstance(checked, result.Err):
            return refusals.response(checked.err_value)
        model_call = checked.ok_value
        taken = self._limits.take(call.customer)
        if isinstance(taken, result.Err):
            self._record_usage(model_call, call, taken.err_value.code)
            return refusals.response(taken.err_value)
        looked_up = idempotency.look_up(
            self._intents, request, call, _fingerprint(model_call, call)
        )
        if isinstance(looked_up, result.Err):
            return looked_up.err_value
        answered = self._answer(request, model_call, call, looked_up.ok_value)
        if isinstance(answered, result.Err):
            self._record_usage(model_call, call, answered.err_value.code)
            return refusals.response(answered.err_value)
        return answered.ok_value

    def _read_call(
        self, request: httpd.Request
    ) -> result.Result[completions.Call, services.Refusal]:
        body = bodies.read_whole(
            request,
            self._max_body_bytes,
            _MEMORY_FACTOR,
            time.monotonic() + self._deadline_s,
        )
        if isinstance(body, result.Err):
            return body
        key = headers_lib.bearer(request.headers)
        if key.encode() in body.ok_value:
            return result.Err(
                refusals.bad_input("The body contains the API key.", "body")
            )
        checked = completions.parse(request.path, body.ok_value)
        if isinstance(checked, result.Err):
            return checked
        if checked.ok_value.model not in self._config.models():
            return result.Err(
                services.Refusal(
                    404,
                    "model_not_found",
                    f"There is no model {checked.ok_value.model!r}.",
                    field="model",
                )
            )
        return checked

    def _answer(
        self,
        request: httpd.Request,
        model_call: completions.Call,
        call: calls.Call,
        guard: idempotency.Guard,
    ) -> result.Result[httpd.Response, services.Refusal]:
        work = completions.work(
            model_call, call.customer, "online", self._deadline_s
        )
        key = headers_lib.bearer(request.headers)
        # An answer for an idempotency key is stored as received, so a usage
        # event that the caller did not ask for would show when it is replayed.
        hides_usage = model_call.is_stream and not (
            model_call.asks_usage or guard.is_keyed
        )
        sending = dispatch.Sending(
            "POST",
            model_call.path,
            headers_lib.for_upstream(request.headers, key),
            completions.body_with_usage(model_call)
            if hides_usage
            else model_call.body,
            # A request with an idempotency key may run at most once.
            is_idempotent=not guard.is_keyed,
        )
        while True:
            started = self._dispatcher.run(work, sending, call, guard)
            if isinstance(started, result.Err):
                return result.Err(started.err_value.refusal)
            tokens = _TokenCounter()
            relay = self._relay(
                started.ok_value, model_call, call, guard, tokens
            )
            if self._may_retry_refusal(relay, call, guard):
                relay.refuse()
                continue
            exchange = request.exchange or exchanges.detached()
            builder = _ResponseBuilder(relay, tokens, hides_usage, exchange)
            answered = builder.build(model_call.is_stream)
            if isinstance(answered, result.Ok):
                return answered
            failure = answered.err_value
            # The caller has received no byte of this answer yet.
            if not self._dispatcher.may_retry(failure, sending, call):
                return result.Err(failure.refusal)

    def _may_retry_refusal(
        self, relay: relays.Relay, call: calls.Call, guard: idempotency.Guard
    ) -> bool:
        if not relay.is_refusal or guard.is_keyed:
            return False
        return self._dispatcher.take_retry(call.upstream, call)

    def _relay(
        self,
        started: dispatch.Started,
        model_call: completions.Call,
        call: calls.Call,
        guard: idempotency.Guard,
        tokens: "_TokenCounter",
    ) -> relays.Relay:
        return relays.Relay(
            started,
            call,
            guard,
            lambda relay: self._record_usage(
                model_call, call, relay.code, *tokens.counts()
            ),
        )

    def _record_usage(
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


class _ResponseBuilder:
    """Builds the response to a call from one upstream's answer."""

    def __init__(
        self,
        relay: relays.Relay,
        tokens: "_TokenCounter",
        hides_usage: bool,
        exchange: exchanges.Exchange,
    ) -> None:
        self._relay = relay
        self._tokens = tokens
        self._hides_usage = hides_usage
        self._exchange = exchange

    def build(
        self, is_stream: bool
    ) -> result.Result[httpd.Response, dispatch.Failure]:
        """Returns a whole response, or a stream of a successful answer."""
        if is_stream and self._relay.answer.status == _OK:
            return self._build_stream()
        return self._build_whole()

    def _build_whole(self) -> result.Result[httpd.Response, dispatch.Failure]:
        """Returns a whole response once the whole answer was received.

        One for which there is no memory is relayed as it comes.
        """
        held = heldbytes.HeldBytes()
        for item in self._relay.items:
            if isinstance(item, result.Err):
                return result.Err(self._relay.failure(item.err_value))
            held.add(item.ok_value)
            if held.size_bytes > _MAX_ANSWER_BYTES:
                return result.Err(self._relay.failure(_ANSWER_TOO_LONG))
            # Its blocks are joined, which takes their memory twice.
            if not self._exchange.grow(2 * len(item.ok_value)):
                rest = calls.Body(self._rest(held), self._relay.close)
                answer = self._relay.answer
                return result.Ok(
                    httpd.Response(answer.status, answer.headers, rest)
                )
        body = held.take_all()
        self._tokens.usage_event = body
        answer = self._relay.answer
        self._relay.close()
        headers = _with_content_length(answer.headers, len(body))
        return result.Ok(httpd.Response(answer.status, headers, (body,)))

    def _rest(self, held: heldbytes.HeldBytes) -> Iterator[bytes]:
        """Yields what has come of an answer, and then the rest.

        The usage that it reports is not found, as it is never whole here.

        Raises:
            BrokenAnswerError: The answer broke off.
        """
        while held:
            yield held.take_block()
        for item in self._relay.items:
            if isinstance(item, result.Err):
                refusal = self._relay.fail(item.err_value)
                raise calls.BrokenAnswerError(refusal.message)
            yield item.ok_value

    def _build_stream(self) -> result.Result[httpd.Response, dispatch.Failure]:
        """Returns a streamed response once its first event was received."""
        events = streams.whole_events(self._relay.items)
        first = next(events)
        if isinstance(first, result.Err):
            return result.Err(self._relay.failure(first.err_value))
        answer = self._relay.answer
        body = calls.Body(
            self._events(first.ok_value, events), self._relay.close
        )
        return result.Ok(httpd.Response(answer.status, answer.headers, body))

    def _events(
        self,
        first: bytes,
        events: Iterator[result.Result[bytes, services.UpstreamError]],
    ) -> Iterator[bytes]:
        if shown := self._events_for_caller(first):
            yield shown
        self._complete_if_last(first)
        for item in events:
            if isinstance(item, result.Err):
                yield streams.error_event(self._relay.fail(item.err_value))
                return
            if shown := self._events_for_caller(item.ok_value):
                yield shown
            self._complete_if_last(item.ok_value)

    def _complete_if_last(self, data: bytes) -> None:
        # Called after the last event was yielded to the server, so the caller
        # has the whole stream.
        if streams.is_last(data):
            self._relay.complete()

    def _events_for_caller(self, data: bytes) -> bytes:
        """Counts the events and returns those that the caller asked for."""
        self._tokens.note(data)
        return streams.without_usage(data) if self._hides_usage else data


class _TokenCounter:
    """Counts tokens by the usage that the engine reports, or else by events."""

    def __init__(self) -> None:
        self._events = 0
        self.usage_event = b""

    def note(self, data: bytes) -> None:
        """Counts the events in a chunk of a stream."""
        self._events += data.count(b"data:")
        if b'"usage"' in data:
            self.usage_event = data

    def counts(self) -> tuple[int, int]:
        """Returns the number of prompt tokens and of completion tokens."""
        usage = _reported_usage(self.usage_event)
        estimate = max(self._events - _EVENTS_WITHOUT_TOKEN, 0)
        completion = int(usage.get("completion_tokens") or estimate)
        return int(usage.get("prompt_tokens") or 0), completion


_ANSWER_TOO_LONG = services.UpstreamError(
    "crashed", "ran", "The answer is too long."
)


def _fingerprint(model_call: completions.Call, call: calls.Call) -> str:
    return fingerprints.fingerprint(
        call.customer, model_call.path, model_call.body
    )


def _reported_usage(data: bytes) -> dict[str, Any]:
    """Returns the usage that an engine reported, empty if it did not."""
    for line in data.splitlines():
        text = line.removeprefix(b"data:").strip()
        if b'"usage"' not in text:
            continue
        try:
            usage = jsontext.parse(text).get("usage")
        except (ValueError, AttributeError):
            return {}
        return usage if isinstance(usage, dict) else {}
    return {}


def _with_content_length(
    headers: tuple[tuple[str, str], ...], size_bytes: int
) -> tuple[tuple[str, str], ...]:
    kept = tuple(
        (name, value)
        for name, value in headers
        if name.lower() != "content-length"
    )
    return (*kept, ("Content-Length", str(size_bytes)))
