"""The callers' HTTP server: authentication, routing and graceful shutdown."""

import collections
from collections.abc import Iterator
import resource
import threading
import time
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import exchanges
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import calls
from bulrushdeald import completions
from bulrushdeald import defaults
from bulrushdeald import departures
from bulrushdeald import dispatch
from bulrushdeald import headers as headers_lib
from bulrushdeald import heldreports
from bulrushdeald import modelcalls
from bulrushdeald import plainservices
from bulrushdeald import refusals
from bulrushdeald import services

LISTENER = "callers_listener"
HEALTH_PATH = "/healthz"
_log = logs.Log("callers")

# On the callers' address, bulk requests may hold one in four online threads.
_BULK_THREAD_DIVISOR = 4
# The threads of the listener on the bulk address.
_BULK_LISTENER_THREADS = 32
_BULK_RETRY_AFTER_S = 2.0
# How long a bulk request that yields may take to end.
_YIELD_WAIT_S = 0.5
_BYTES_PER_MB = 1_000_000
_NOT_READY_RETRY_AFTER_S = 1.0
# How long ended requests may take to close, and how long the HTTP library
# needs to end its threads once no request is open.
_CLOSE_TIMEOUT_S = 2.0


class _Route(NamedTuple):
    """A route that another service added.

    Attributes:
        method: The HTTP method in capitals, or `*` for any.
        path: An exact path, or a prefix if it ends in `/`.
        handler: Serves the requests that match.
        is_bulk: Whether requests may transfer much data and hold a thread for
            long.
    """

    method: str
    path: str
    handler: services.CallerHandler
    is_bulk: bool


class State(NamedTuple):
    """The server's part of the state dump."""

    state: Literal["waiting", "serving", "stopping"]
    open_calls: tuple[calls.State, ...]
    retries_left: dict[str, float]
    held: heldreports.Held


class CallersServer:
    """See `services.CallerRoutes`.

    The server is registered before the services that add routes, and it
    listens only from `listen` on: an earlier request would find no route.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._open_calls = calls.OpenCalls()
        self._departures = departures.Departures()
        self._routes: list[_Route] = []
        self._servers: list[httpd.Server] = []
        self._state: Literal["waiting", "serving", "stopping"] = "waiting"
        self._room = exchanges.Room(settings.callers_memory_mb * _BYTES_PER_MB)
        threads = settings.online_threads // _BULK_THREAD_DIVISOR
        self._bulk_slots = threading.BoundedSemaphore(max(threads, 1))

    @property
    def port(self) -> int:
        """The port of the callers' address, known after `listen`."""
        return self._servers[0].port

    def start(self) -> None:
        """See `kernel.Service`."""
        kernel, settings = self._kernel, self._settings
        self._config = kernel.find(services.CONFIG, services.Config)
        self._limits = kernel.find(services.LIMITS, services.Limits)
        self._dispatcher = dispatch.Dispatcher(kernel, settings)
        self._model_calls = modelcalls.ModelCalls(
            kernel, settings, self._dispatcher
        )
        self._plain_services = plainservices.PlainServices(
            kernel, settings, self._dispatcher
        )
        self._config.on_change(self._end_withdrawn)
        self._departures.start()
        self._reports = heldreports.HeldReports(
            self._held, settings.statsd_address, settings.usage_flush_s
        )
        self._reports.start()

    def listen(self) -> None:
        """Starts the listeners, after every service has added its routes."""
        settings = self._settings
        addresses = [(settings.callers_address, settings.online_threads)]
        if settings.bulk_address:
            addresses.append((settings.bulk_address, _BULK_LISTENER_THREADS))
        for address, threads in addresses:
            server = httpd.Server(
                address,
                self._serve,
                threads,
                refusals.response(_VM_BUSY),
                room=self._room,
                limits=httpd.DEFAULT_LIMITS._replace(
                    connections=self._max_connections(len(addresses))
                ),
            )
            server.start()
            self._servers.append(server)
        self._state = "serving"
        _log.info("Listening on port %d.", self.port)

    def _max_connections(self, listeners: int) -> int:
        """Returns how many connections of callers a listener may have open.

        Upstreams, peers and the platform need descriptors as well.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        most = self._settings.callers_connections
        if soft != resource.RLIM_INFINITY:
            most = min(most, soft // 2)
        return max(most // listeners, 1)

    def drain(self, grace_s: float) -> None:
        """Stops the server and lets open requests finish.

        For `unready_s` seconds the server still accepts requests, while its
        health check fails and each response carries `Connection: close`, so
        that the load balancer and the callers go elsewhere. Then it waits for
        the open requests.

        Args:
            grace_s: How long requests may take to finish, in seconds; those
                still open after it are ended.
        """
        if self._state != "serving":
            return
        end_s = time.monotonic() + grace_s
        self._state = "stopping"
        time.sleep(min(self._settings.unready_s, grace_s))
        if not self._open_calls.wait_until_none(end_s - time.monotonic()):
            count = self._open_calls.end_where(lambda call: True, "stopping")
            _log.warning(
                "The grace period expired; ended %d open requests.", count
            )
            self._open_calls.wait_until_none(_CLOSE_TIMEOUT_S)
        # Requests that arrived meanwhile get the rest of the grace period.
        left_s = max(end_s - time.monotonic(), _CLOSE_TIMEOUT_S)
        for server in self._servers:
            server.stop(left_s)

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        self.drain(grace_s)
        self._departures.stop()
        self._reports.stop()

    def dump(self) -> State:
        """See `kernel.Service`."""
        return State(
            self._state,
            tuple(call.state() for call in self._open_calls.all()),
            self._dispatcher.budget.state(),
            self._held(),
        )

    def _held(self) -> heldreports.Held:
        counts = collections.Counter(self._room.counts())
        for server in self._servers:
            counts.update(server.closed_early())
        return heldreports.Held(
            self._room.held_bytes(),
            self._room.limit_bytes,
            sum(server.open_connections() for server in self._servers),
            dict(counts),
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
        # On a connection kept alive, the caller's next request would reach a
        # server that no longer accepts requests.
        headers = (*response.headers, ("Connection", "close"))
        return response._replace(headers=headers)

    def _respond(self, request: httpd.Request) -> httpd.Response:
        if request.path == HEALTH_PATH:
            return self._health()
        authenticated = self._authenticate(request)
        if isinstance(authenticated, result.Err):
            return refusals.response(authenticated.err_value)
        principal = authenticated.ok_value
        call = self._open_calls.add(principal, request.path)
        # The key may have been withdrawn after the check and before the call
        # was added, when `_end_withdrawn` could not find the call.
        if self._config.is_withdrawn(call.key_hash):
            call.end("key_withdrawn")
        stop_watching = self._watch(request, call)

        def close() -> None:
            stop_watching()
            self._open_calls.remove(call)

        try:
            response = self._handle(request, principal, call)
        except Exception:  # noqa: BLE001 - the caller gets a response.
            _log.exception("Request %d failed.", call.number)
            response = refusals.response(_INTERNAL_ERROR)
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

    def _handle(
        self,
        request: httpd.Request,
        principal: services.Principal,
        call: calls.Call,
    ) -> httpd.Response:
        if request.path in completions.PATHS and request.method == "POST":
            return self._model_calls.complete(request, call)
        if request.path == modelcalls.MODELS_PATH and request.method == "GET":
            return self._model_calls.models(request, call)
        if request.path.startswith(plainservices.PREFIX):
            return self._plain_services.serve(request, call)
        for route in self._routes:
            if _matches(route, request):
                return self._serve_added_route(route, request, principal, call)
        return refusals.response(
            refusals.not_found(f"There is no {request.method} {request.path}.")
        )

    def _serve_added_route(
        self,
        route: _Route,
        request: httpd.Request,
        principal: services.Principal,
        call: calls.Call,
    ) -> httpd.Response:
        if not route.is_bulk:
            return _abort_on_end(call, route.handler(request, principal))
        # A slow transfer holds a thread. Without a bound, slow transfers could
        # hold all threads, and online requests would wait for one before this
        # server sees them.
        if not self._take_bulk_slot(request):
            return refusals.response(_BULK_FULL)
        try:
            response = route.handler(request, principal)
        except BaseException:
            self._bulk_slots.release()
            raise
        body = calls.Body(response.body, self._bulk_slots.release)
        return _abort_on_end(call, response._replace(body=body))

    def _take_bulk_slot(self, request: httpd.Request) -> bool:
        """Takes one of the slots for bulk requests, if one is free.

        A transfer that has stalled yields its slot.
        """
        exchange = request.exchange
        is_taken = self._bulk_slots.acquire(blocking=False)
        if not is_taken and self._room.make_thread_yield(self._bulk_slots):
            is_taken = self._bulk_slots.acquire(timeout=_YIELD_WAIT_S)
        if is_taken and exchange is not None:
            exchange.group = self._bulk_slots
        return is_taken

    def _end_withdrawn(self) -> None:
        self._open_calls.end_where(
            lambda call: self._config.is_withdrawn(call.key_hash),
            "key_withdrawn",
        )


class Listener:
    """Starts listening after all other services and drains before they stop."""

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


_INTERNAL_ERROR = services.Refusal(
    500, "internal_error", "This VM failed to serve the request.", "unknown"
)
_VM_BUSY = services.Refusal(
    503, "vm_busy", "This VM cannot take more requests now.", retry_after_s=1.0
)
_BULK_FULL = services.Refusal(
    503,
    "bulk_full",
    "Too many file and batch transfers are in progress on this VM.",
    retry_after_s=_BULK_RETRY_AFTER_S,
)


def _abort_on_end(call: calls.Call, response: httpd.Response) -> httpd.Response:
    """Returns a response whose body breaks off when the call is ended."""

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
