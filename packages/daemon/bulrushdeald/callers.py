"""The callers' HTTP server: keys, routes, errors and the graceful stop."""

from collections.abc import Iterator
import threading
import time
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import calls
from bulrushdeald import completions
from bulrushdeald import defaults
from bulrushdeald import departures
from bulrushdeald import dispatch
from bulrushdeald import headers as headers_lib
from bulrushdeald import modelcalls
from bulrushdeald import plainservices
from bulrushdeald import refusals
from bulrushdeald import services

LISTENER = "callers_listener"
HEALTH_PATH = "/healthz"
_log = logs.Log("callers")

# The share of the online threads that bulk requests may hold.
_BULK_SHARE = 4
_BULK_THREADS = 32
_BULK_RETRY_AFTER_S = 2.0
_NOT_READY_RETRY_AFTER_S = 1.0
# What the library needs to end its threads once no request is open.
_CLOSE_S = 2.0


class _Route(NamedTuple):
    """One path and who serves it.

    Attributes:
        method: In capitals, or `*`.
        path: Exact, or a prefix if it ends in `/`.
        handler: Another service's; `None` for the built-in paths.
        serve: A built-in path's.
        is_bulk: Whether it may be slow.
    """

    method: str
    path: str
    handler: services.CallerHandler
    is_bulk: bool


class State(NamedTuple):
    """What the dump shows."""

    state: Literal["waiting", "serving", "stopping"]
    open_calls: tuple[calls.State, ...]
    retries_left: dict[str, float]


class CallersServer:
    """See `services.CallerRoutes`.

    It is registered before the services that add routes, and listens only
    when `listen` is called: a request before then would find no route.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._open = calls.OpenCalls()
        self._departures = departures.Departures()
        self._routes: list[_Route] = []
        self._servers: list[httpd.Server] = []
        self._state: Literal["waiting", "serving", "stopping"] = "waiting"
        threads = settings.online_threads // _BULK_SHARE
        self._bulk_slots = threading.BoundedSemaphore(max(threads, 1))

    @property
    def port(self) -> int:
        """The callers' port, known after `listen`."""
        return self._servers[0].port

    def start(self) -> None:
        """See `kernel.Service`."""
        kernel, settings = self._kernel, self._settings
        self._config = kernel.find(services.CONFIG, services.Config)
        self._limits = kernel.find(services.LIMITS, services.Limits)
        self._dispatcher = dispatch.Dispatcher(kernel, settings)
        self._models = modelcalls.ModelCalls(kernel, settings, self._dispatcher)
        self._plain = plainservices.PlainServices(
            kernel, settings, self._dispatcher
        )
        self._config.on_change(self._end_withdrawn)
        self._departures.start()

    def listen(self) -> None:
        """Begins to serve, once every service has added its routes."""
        settings = self._settings
        addresses = [(settings.callers_address, settings.online_threads)]
        if settings.bulk_address:
            addresses.append((settings.bulk_address, _BULK_THREADS))
        for address, threads in addresses:
            server = httpd.Server(
                address, self._serve, threads, refusals.response(_BUSY)
            )
            server.start()
            self._servers.append(server)
        self._state = "serving"
        _log.info("Listening on port %d.", self.port)

    def drain(self, grace_s: float) -> None:
        """Stops without cutting a request short, within `grace_s` seconds.

        First the balancer is told, and the callers by `Connection: close`,
        while all are still served; then open requests are waited for.
        """
        if self._state != "serving":
            return
        end_s = time.monotonic() + grace_s
        self._state = "stopping"
        time.sleep(min(self._settings.unready_s, grace_s))
        if not self._open.wait_until_none(end_s - time.monotonic()):
            count = self._open.end_where(lambda call: True, "stopping")
            _log.warning("The grace is over; ended %d requests.", count)
            self._open.wait_until_none(_CLOSE_S)
        # A request that came in just now has the rest of the grace.
        left_s = max(end_s - time.monotonic(), _CLOSE_S)
        for server in self._servers:
            server.stop(left_s)

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        self.drain(grace_s)
        self._departures.stop()

    def dump(self) -> State:
        """See `kernel.Service`."""
        return State(
            self._state,
            tuple(call.state() for call in self._open.all()),
            self._dispatcher.budget.state(),
        )

    def route(
        self,
        method: str,
        path: str,
        handler: services.CallerHandler,
        bulk: bool,
    ) -> None:
        """See `services.CallerRoutes`."""
        self._routes.append(_Route(method, path, handler, bulk))

    def _serve(self, request: httpd.Request) -> httpd.Response:
        response = self._respond(request)
        if self._state == "serving":
            return response
        # A caller that keeps its connection would send its next request
        # into the stop.
        headers = (*response.headers, ("Connection", "close"))
        return response._replace(headers=headers)

    def _respond(self, request: httpd.Request) -> httpd.Response:
        if request.path == HEALTH_PATH:
            return self._health()
        authenticated = self._authenticate(request)
        if isinstance(authenticated, result.Err):
            return refusals.response(authenticated.err_value)
        principal = authenticated.ok_value
        call = self._open.open(principal, request.path)
        # A key withdrawn between the check and the line above.
        if self._config.is_withdrawn(call.key_hash):
            call.end("key_withdrawn")
        forget = self._watch(request, call)

        def close() -> None:
            forget()
            self._open.close(call)

        try:
            response = self._dispatch(request, principal, call)
        except Exception:  # noqa: BLE001 - the caller gets an answer.
            _log.exception("Request %d failed.", call.number)
            response = refusals.response(_INTERNAL)
        return response._replace(body=calls.Body(response.body, close))

    def _health(self) -> httpd.Response:
        is_ready = (
            self._state == "serving"
            and self._config.revision() > 0
            and self._limits.is_ready()
        )
        status = 200 if is_ready else 503
        return httpd.json_response(status, {"state": self._state})

    def _authenticate(
        self, request: httpd.Request
    ) -> result.Result[services.Principal, services.Refusal]:
        key = headers_lib.bearer(request.headers)
        if not key:
            return result.Err(_unauthorized("A bearer key is required."))
        found = self._config.authenticate(key)
        if isinstance(found, result.Ok):
            return found
        error = found.err_value
        if error.kind == "unknown_key":
            return result.Err(_unauthorized(error.message))
        return result.Err(
            services.Refusal(
                503,
                "not_ready",
                error.message,
                retry_after_s=_NOT_READY_RETRY_AFTER_S,
            )
        )

    def _watch(self, request: httpd.Request, call: calls.Call) -> Any:
        if request.connection is None:
            return lambda: None
        return self._departures.watch(
            request.connection, lambda: call.end("caller_left")
        )

    def _dispatch(
        self,
        request: httpd.Request,
        principal: services.Principal,
        call: calls.Call,
    ) -> httpd.Response:
        if request.path in completions.PATHS and request.method == "POST":
            return self._models.complete(request, call)
        if request.path == modelcalls.MODELS_PATH and request.method == "GET":
            return self._models.models(request, call)
        if request.path.startswith(plainservices.PREFIX):
            return self._plain.serve(request, call)
        for route in self._routes:
            if _matches(route, request):
                return self._serve_route(route, request, principal, call)
        return refusals.response(
            refusals.not_found(f"There is no {request.method} {request.path}.")
        )

    def _serve_route(
        self,
        route: _Route,
        request: httpd.Request,
        principal: services.Principal,
        call: calls.Call,
    ) -> httpd.Response:
        if not route.is_bulk:
            return _ended_by(call, route.handler(request, principal))
        # A slow upload holds a thread; without a bound a few of them would
        # hold all, and online callers would wait unseen.
        if not self._bulk_slots.acquire(blocking=False):
            return refusals.response(_BULK_FULL)
        try:
            response = route.handler(request, principal)
        except BaseException:
            self._bulk_slots.release()
            raise
        body = calls.Body(response.body, self._bulk_slots.release)
        return _ended_by(call, response._replace(body=body))

    def _end_withdrawn(self) -> None:
        self._open.end_where(
            lambda call: self._config.is_withdrawn(call.key_hash),
            "key_withdrawn",
        )


class Listener:
    """Opens the callers' server last and closes it first."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        del settings
        self._kernel = kernel

    def start(self) -> None:
        """See `kernel.Service`."""
        self._server().listen()

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        self._server().drain(grace_s)

    def dump(self) -> Any:
        """See `kernel.Service`."""
        return {}

    def _server(self) -> CallersServer:
        return self._kernel.find(services.CALLERS, CallersServer)


_INTERNAL = services.Refusal(
    500, "internal_error", "This VM failed to serve the request.", "unknown"
)
_BUSY = services.Refusal(
    503, "vm_busy", "This VM has no room now.", retry_after_s=1.0
)
_BULK_FULL = services.Refusal(
    503,
    "bulk_full",
    "Too many files and batches are in transfer on this VM.",
    retry_after_s=_BULK_RETRY_AFTER_S,
)


def _ended_by(call: calls.Call, response: httpd.Response) -> httpd.Response:
    """Returns an answer that breaks off when its request is ended."""

    def chunks() -> Iterator[bytes]:
        for chunk in response.body:
            if call.reason:
                raise calls.BrokenAnswerError(call.reason)
            yield chunk

    def close() -> None:
        httpd.close_body(response.body)

    return response._replace(body=calls.Body(chunks(), close))


def _unauthorized(message: str) -> services.Refusal:
    return services.Refusal(401, "invalid_key", message)


def _matches(route: _Route, request: httpd.Request) -> bool:
    if route.method not in ("*", request.method):
        return False
    if route.path.endswith("/"):
        return request.path.startswith(route.path)
    return request.path == route.path
