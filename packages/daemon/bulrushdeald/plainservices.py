"""Forwards requests to plain services, each at most once."""

from collections.abc import Iterator
import itertools
import time
from typing import NamedTuple
import urllib.parse

import result

from bulrushdeal import fingerprints
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import bodies
from bulrushdeald import calls
from bulrushdeald import defaults
from bulrushdeald import dispatch
from bulrushdeald import headers as headers_lib
from bulrushdeald import idempotency
from bulrushdeald import intents
from bulrushdeald import refusals
from bulrushdeald import relays
from bulrushdeald import services

PREFIX = "/services/"
# Bodies up to this size are read before the request is placed, so that its
# fingerprint covers the whole body; longer ones are streamed.
_MAX_BUFFERED_BYTES = 64 * 1024


class _PlainRequest(NamedTuple):
    """A checked request to a plain service."""

    service: str
    sending: dispatch.Sending
    fingerprint: str


class _PlainBody(NamedTuple):
    """A body to send.

    Attributes:
        content: The whole body, or its chunks.
        fingerprinted: The part read before sending, for the fingerprint.
    """

    content: bytes | Iterator[bytes]
    fingerprinted: bytes


class PlainServices:
    """Serves `/services/NAME/...`."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        dispatcher: dispatch.Dispatcher,
    ) -> None:
        self._config = kernel.find(services.CONFIG, services.Config)
        self._limits = kernel.find(services.LIMITS, services.Limits)
        self._intents = kernel.find(services.INTENTS, intents.Intents)
        self._max_body_bytes = settings.max_body_bytes
        self._usage = kernel.find(services.USAGE, services.Usage)
        self._dispatcher = dispatcher
        self._deadline_s = settings.online_deadline_s

    def serve(self, request: httpd.Request, call: calls.Call) -> httpd.Response:
        """Forwards one request and streams its answer."""
        checked = self._read_request(request, call)
        if isinstance(checked, result.Err):
            return refusals.response(checked.err_value)
        plain = checked.ok_value
        taken = self._limits.take(call.customer)
        if isinstance(taken, result.Err):
            self._record_usage(plain, call, taken.err_value.code)
            return refusals.response(taken.err_value)
        looked_up = idempotency.look_up(
            self._intents, request, call, plain.fingerprint
        )
        if isinstance(looked_up, result.Err):
            return looked_up.err_value
        guard = looked_up.ok_value
        started = self._dispatcher.run(
            self._work(plain, call), plain.sending, call, guard
        )
        if isinstance(started, result.Err):
            refusal = started.err_value.refusal
            self._record_usage(plain, call, refusal.code)
            return refusals.response(refusal)
        relay = relays.Relay(
            started.ok_value,
            call,
            guard,
            lambda relay: self._record_usage(plain, call, relay.code),
        )
        return httpd.Response(
            relay.answer.status,
            relay.answer.headers,
            calls.Body(_answer_chunks(relay), relay.close),
        )

    def _read_request(
        self, request: httpd.Request, call: calls.Call
    ) -> result.Result[_PlainRequest, services.Refusal]:
        path, separator, query = request.target.partition("?")
        segment, _, rest = path.removeprefix(PREFIX).partition("/")
        service = urllib.parse.unquote(segment)
        if (
            not path.startswith(PREFIX)
            or service not in self._config.plain_service_names()
        ):
            return result.Err(
                refusals.not_found(f"There is no service {service!r}.")
            )
        key = headers_lib.bearer(request.headers)
        if headers_lib.holds(request.target, key=key):
            return result.Err(
                refusals.bad_input("The path contains the API key.", "path")
            )
        if not request.target.isascii():
            return result.Err(
                refusals.bad_input("The path is not ASCII.", "path")
            )
        target = f"/{rest}{separator}{query}"
        headers = headers_lib.for_upstream(request.headers, key)
        body = self._read_body(request, key)
        if isinstance(body, result.Err):
            return body
        if request.length_bytes >= 0:
            headers["content-length"] = str(request.length_bytes)
        content, fingerprinted = body.ok_value
        sending = dispatch.Sending(
            request.method, target, headers, content, is_idempotent=False
        )
        request_line = (
            f"{request.method} {request.target} {request.length_bytes}"
        )
        return result.Ok(
            _PlainRequest(
                service,
                sending,
                fingerprints.fingerprint(
                    call.customer, request_line, fingerprinted
                ),
            )
        )

    def _read_body(
        self, request: httpd.Request, key: str
    ) -> result.Result[_PlainBody, services.Refusal]:
        max_bytes = _MAX_BUFFERED_BYTES
        is_keyed = idempotency.HEADER in request.headers
        if is_keyed:
            # The fingerprint must cover the whole body, so that another
            # request with the same key is detected.
            max_bytes = self._max_body_bytes
        is_chunked = "transfer-encoding" in request.headers
        is_long = is_chunked or request.length_bytes > max_bytes
        if is_long and not is_keyed:
            return _streamed_body(request, key)
        due_s = time.monotonic() + self._deadline_s
        body = bodies.read_whole(request, max_bytes, due_s=due_s)
        if isinstance(body, result.Err):
            return body
        if key.encode() in body.ok_value:
            return result.Err(
                refusals.bad_input("The body contains the API key.", "body")
            )
        return result.Ok(_PlainBody(body.ok_value, body.ok_value))

    def _work(
        self, plain: _PlainRequest, call: calls.Call
    ) -> services.PlacementRequest:
        work_class: records.WorkClass = "online"
        return services.PlacementRequest(
            call.customer,
            work_class,
            "",
            plain.service,
            b"",
            1,
            plain.fingerprint,
            self._deadline_s,
        )

    def _record_usage(
        self, plain: _PlainRequest, call: calls.Call, outcome: str
    ) -> None:
        self._usage.record(
            services.UsageEvent(
                time.time(),
                call.customer,
                "online",
                call.upstream,
                plain.service,
                outcome,
            )
        )


def _streamed_body(
    request: httpd.Request, key: str
) -> result.Result[_PlainBody, services.Refusal]:
    chunks = bodies.without_key(bodies.read_exactly(request), key)
    try:
        # The first chunk is part of the fingerprint. Without it, all streamed
        # bodies of one path and length would be the same request to the
        # router, which quarantines requests that crash upstreams.
        first = next(chunks, b"")
    except bodies.BodyError as error:
        return result.Err(refusals.bad_input(str(error), "body"))
    return result.Ok(_PlainBody(itertools.chain((first,), chunks), first))


def _answer_chunks(relay: relays.Relay) -> Iterator[bytes]:
    for item in relay.items:
        if isinstance(item, result.Err):
            # The response headers were sent, so only a broken connection shows
            # the caller that the answer is incomplete.
            raise calls.BrokenAnswerError(item.err_value.message)
        yield item.ok_value
