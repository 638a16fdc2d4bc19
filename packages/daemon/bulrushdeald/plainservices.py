"""Passes requests through to plain services, each at most once."""

from collections.abc import Iterator
import itertools
import time
from typing import NamedTuple
import urllib.parse

import result

from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
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

PREFIX = "/services/"
# Bodies up to this are read before the request is placed, so that the same
# request is known again; longer ones are relayed as they come.
_SMALL_BODY_BYTES = 64 * 1024


class _Request(NamedTuple):
    """A checked request to a plain service."""

    service: str
    sending: dispatch.Sending
    fingerprint: str


class _Body(NamedTuple):
    """A body to send, and what of it is known before."""

    content: bytes | Iterator[bytes]
    known: bytes


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
        """Passes one request through."""
        checked = self._check(request, call)
        if isinstance(checked, result.Err):
            return refusals.response(checked.err_value)
        plain = checked.ok_value
        taken = self._limits.take(call.customer)
        if isinstance(taken, result.Err):
            self._record(plain, call, taken.err_value.code)
            return refusals.response(taken.err_value)
        guarded = idempotency.look_up(
            self._intents, request, call, plain.fingerprint
        )
        if isinstance(guarded, result.Err):
            return guarded.err_value
        guard = guarded.ok_value
        started = self._dispatcher.run(
            self._work(plain, call), plain.sending, call, guard
        )
        if isinstance(started, result.Err):
            refusal = started.err_value.refusal
            self._record(plain, call, refusal.code)
            return refusals.response(refusal)
        relay = relays.Relay(
            started.ok_value,
            call,
            guard,
            lambda relay: self._record(plain, call, relay.code),
        )
        return httpd.Response(
            relay.answer.status,
            relay.answer.headers,
            calls.Body(_chunks(relay), relay.close),
        )

    def _check(
        self, request: httpd.Request, call: calls.Call
    ) -> result.Result[_Request, services.Refusal]:
        path, mark, query = request.target.partition("?")
        segment, _, rest = path.removeprefix(PREFIX).partition("/")
        service = urllib.parse.unquote(segment)
        if (
            not path.startswith(PREFIX)
            or service not in self._config.plain_services()
        ):
            return result.Err(
                refusals.not_found(f"There is no service {service!r}.")
            )
        key = headers_lib.bearer(request.headers)
        if headers_lib.holds(request.target, key=key):
            return result.Err(
                refusals.bad_input("The path holds the key.", "path")
            )
        if not request.target.isascii():
            return result.Err(
                refusals.bad_input("The path is not ASCII.", "path")
            )
        target = f"/{rest}{mark}{query}"
        headers = headers_lib.for_upstream(request.headers, key)
        body = self._body(request, key)
        if isinstance(body, result.Err):
            return body
        if request.length_bytes >= 0:
            headers["content-length"] = str(request.length_bytes)
        content, known = body.ok_value
        sending = dispatch.Sending(
            request.method, target, headers, content, is_idempotent=False
        )
        name = f"{request.method} {request.target} {request.length_bytes}"
        return result.Ok(
            _Request(
                service,
                sending,
                completions.fingerprint(call.customer, name, known),
            )
        )

    def _body(
        self, request: httpd.Request, key: str
    ) -> result.Result[_Body, services.Refusal]:
        max_bytes = _SMALL_BODY_BYTES
        is_keyed = idempotency.HEADER in request.headers
        if is_keyed:
            # The whole body must be known, to tell another request with
            # the same key.
            max_bytes = self._max_body_bytes
        is_chunked = "transfer-encoding" in request.headers
        is_long = is_chunked or request.length_bytes > max_bytes
        if is_long and not is_keyed:
            return _streamed(request, key)
        body = bodies.read_whole(request, max_bytes)
        if isinstance(body, result.Err):
            return body
        if key.encode() in body.ok_value:
            return result.Err(
                refusals.bad_input("The body holds the key.", "body")
            )
        return result.Ok(_Body(body.ok_value, body.ok_value))

    def _work(self, plain: _Request, call: calls.Call) -> services.Work:
        work_class: records.WorkClass = "online"
        return services.Work(
            call.customer,
            work_class,
            "",
            plain.service,
            b"",
            1,
            plain.fingerprint,
            self._deadline_s,
        )

    def _record(self, plain: _Request, call: calls.Call, outcome: str) -> None:
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


def _streamed(
    request: httpd.Request, key: str
) -> result.Result[_Body, services.Refusal]:
    chunks = bodies.without_key(bodies.read_exactly(request), key)
    try:
        # Without a piece of it all long bodies for a path would be one
        # request to the router, which remembers those that crash upstreams.
        first = next(chunks, b"")
    except bodies.BodyError as error:
        return result.Err(refusals.bad_input(str(error), "body"))
    return result.Ok(_Body(itertools.chain((first,), chunks), first))


def _chunks(relay: relays.Relay) -> Iterator[bytes]:
    for item in relay.items:
        if isinstance(item, result.Err):
            # The head is out, so only a broken connection can tell the
            # caller that this is not the whole answer.
            raise calls.BrokenAnswerError(item.err_value.message)
        yield item.ok_value
