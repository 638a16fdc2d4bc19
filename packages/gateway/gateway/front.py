"""The HTTP server for callers, the readiness check and the graceful stop."""

from collections.abc import Callable
import socket
import threading
import time
from typing import Any, Literal

import result

from bulrushdeal import eventlog
from bulrushdeal import exchanges
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import threads
from bulrushdeald import bodies
from bulrushdeald import calls as caller_calls
from bulrushdeald import departures
from gateway import configuration
from gateway import deadlines
from gateway import dialect as dialect_lib
from gateway import forwarding
from gateway import jobfront
from gateway import metrics
from gateway import names
from gateway import opencalls
from gateway import placement
from gateway import rates
from gateway import records
from gateway import refusals
from gateway import stopgate
from gateway import upstreamlist
from gateway import upstreamsender
from gateway.decisions import regions
from gateway.decisions import requestcosts
from gateway.decisions import requesters
from gateway.decisions import stopping

_log = logs.Log("front")
_events = eventlog.Events("front")

_READY_THREADS = 4
_READY_LIMITS = httpd.DEFAULT_LIMITS._replace(
    connections=64, head_timeout_s=5.0
)
# However much memory the VM has.
_CALLER_THREADS = 320
# How long the server has to close, whatever is left of the grace period.
_MIN_CLOSE_S = 0.3
# Retries reach other VMs, so they need not wait.
_STOPPING_RETRY_S = 0.05
_CONFIGURATION_WAIT_S = 0.3
_CONFIGURATION_POLL_S = 0.005
_NOT_READY_RETRY_S = 0.5
_NO_UPSTREAM_RETRY_S = 0.5
_DEFAULT_DEADLINE_S = 60.0
_FIRST_ERROR_STATUS = 400
_READY_PATH = "/ready"


class Front:
    """Serves callers once this VM has a configuration.

    Until then it refuses their requests.

    Args:
        kernel: Finds the services that this class depends on.
        settings: The settings of the process.
        listener: The socket that callers connect to, if it listens already.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: records.Settings,
        listener: socket.socket | None = None,
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._listener = listener
        self._open_calls = opencalls.OpenCalls()
        self._room = exchanges.Room(settings.callers_memory_bytes)
        self._departures = departures.Departures()
        self._deadlines = deadlines.Deadlines()
        self._stop_gate = stopgate.StopGate()
        self._closer: threading.Thread | None = None
        self._server = httpd.Server(
            settings.callers_address,
            self._serve,
            min(settings.callers_threads, _CALLER_THREADS),
            refusals.refusal_response(_BUSY),
            listener,
            room=self._room,
            limits=httpd.DEFAULT_LIMITS._replace(
                connections=settings.callers_connections
            ),
            # Other VMs have room when the balancer sends most callers here.
            refuses_unread=True,
        )
        # The idle timeout of callers' connections in the current configuration.
        self._idle_s = 0.0

    def start(self) -> None:
        """Starts the HTTP servers for callers and for readiness checks."""
        find = self._kernel.find
        self._dialect = find(names.DIALECT, dialect_lib.Dialect)
        self._feed = find(names.CONFIGURATION, configuration.Feed)
        self._upstream_list = find(
            names.UPSTREAM_LIST, upstreamlist.UpstreamList
        )
        self._metrics = find(names.METRICS, metrics.Metrics)
        self._rates = find(names.RATES, rates.RateLimiter)
        self._placement = find(names.PLACEMENT, placement.Placement)
        self._forwarder = find(names.FORWARDER, forwarding.Forwarder)
        self._jobs = jobfront.JobFront(self._kernel)
        self._departures.start()
        self._deadlines.start()
        if self._listener is not None and not self._settings.is_first_start:
            self._wait_for_configuration()
        self._feed.on_change(self._apply_connection_limits)
        self._apply_connection_limits()
        self._server.start()
        self._ready_server = httpd.Server(
            self._settings.ready_address,
            self._serve_ready,
            _READY_THREADS,
            limits=_READY_LIMITS,
        )
        self._ready_server.start()

    def _wait_for_configuration(self) -> None:
        """Waits a moment for what requests need that were sent meanwhile.

        Their callers connected while this process started and would be refused
        some milliseconds before the store answers.
        """
        end_s = time.monotonic() + _CONFIGURATION_WAIT_S
        while not self._has_configuration() and time.monotonic() < end_s:
            time.sleep(_CONFIGURATION_POLL_S)

    def _has_configuration(self) -> bool:
        return (
            self._feed.current() is not None and self._upstream_list.is_known()
        )

    @property
    def port(self) -> int:
        """The port that callers connect to."""
        return self._server.port

    def _apply_connection_limits(self) -> None:
        """Applies the configured header size and idle timeout.

        The longer idle timeout of the last two configuration versions
        applies. If a shorter one applied at once, callers that still use the
        previous value would send on connections that are being closed.
        """
        active = self._feed.current()
        if active is None:
            return
        limits = active.configuration.caller_limits
        previous_s, self._idle_s = self._idle_s, limits.idle_timeout_s
        self._server.set_limits(
            limits.max_header_bytes,
            max(previous_s, limits.idle_timeout_s),
            limits.header_timeout_s,
        )

    def prepare_stop(self, grace_s: float) -> None:
        """Begins the stop; see `kernel.StopListener`.

        The readiness check fails at once, and responses carry
        `Connection: close`, while requests that can end in time are still
        served. Then the server closes and waits for open requests; those that
        still run shortly before the end of the grace period are ended. This
        goes on in the background, so that no other service delays it.

        Args:
            grace_s: The grace period in seconds.
        """
        times = self._stop_gate.begin(grace_s)
        if times is None:
            return
        self._closer = threads.start_once(self._close, "closing", times)

    def _close(self, times: stopping.StopTimes) -> None:
        time.sleep(max(times.close_s - time.monotonic(), 0.0))
        # Stopping the server closes idle connections now, with time left for
        # open requests. A request that arrived on an idle connection late in
        # the grace period would be cut off when the period ends.
        cancel_deadline = self._deadlines.add(times.cut_s, self._end_open_calls)
        self._server.stop(max(times.end_s - time.monotonic(), _MIN_CLOSE_S))
        cancel_deadline()

    def stop(self, grace_s: float) -> None:
        """Waits for the end of the stop, which begins now at the latest.

        Args:
            grace_s: What is left of the grace period, in seconds.
        """
        self.prepare_stop(grace_s)
        assert self._closer is not None
        self._closer.join(grace_s + _MIN_CLOSE_S)
        self._ready_server.stop(0.1)
        self._departures.stop()
        self._deadlines.stop()

    def _end_open_calls(self) -> None:
        count = self._open_calls.end_all("stopping")
        if count:
            _events.warning("cut", requests=count, why="the grace is over")

    def held(self) -> metrics.CallersHeld:
        """Returns what is held for callers now."""
        closed_early = self._server.closed_early()
        return metrics.CallersHeld(
            self._room.held_bytes(),
            self._room.limit_bytes,
            self._server.open_connections(),
            self._settings.callers_connections,
            {**closed_early, **self._room.counts()},
        )

    def dump(self) -> Any:
        """Returns the serving state and the number of open requests."""
        return {"state": self._state(), "open": self._open_calls.count()}

    def _state(self) -> Literal["serving", "stopping"]:
        return "stopping" if self._stop_gate.has_begun() else "serving"

    def is_ready(self) -> bool:
        """Returns whether the load balancer may send callers to this VM.

        A VM that is cut off from all upstreams of a service is not ready:
        callers may still reach it, and it would refuse requests that VMs in
        other failure domains can serve. Nor is one whose threads fail again
        and again: it would serve by what it knew before.
        """
        return (
            not self._stop_gate.has_begun()
            and self._has_configuration()
            and not self._placement.is_partitioned()
            and not threads.OWN.failing()
        )

    def _serve_ready(self, request: httpd.Request) -> httpd.Response:
        if request.path != _READY_PATH:
            return refusals.refusal_response(
                refusals.Refusal(404, "no such path")
            )
        status = 200 if self.is_ready() else 503
        return httpd.json_response(status, {"state": self._state()})

    def _serve(self, request: httpd.Request) -> httpd.Response:
        try:
            response = self._respond(request)
        except Exception:  # noqa: BLE001 - the caller gets a 500.
            _log.exception("Unhandled exception while serving a request.")
            response = refusals.refusal_response(_INTERNAL_ERROR)
        self._metrics.count_answer(response.status)
        is_stopping = self._stop_gate.has_begun()
        if not is_stopping and not self._placement.is_partitioned():
            return response
        # On a kept connection the caller's next request would reach a VM that
        # is stopping or cannot serve it.
        headers = (*response.headers, ("Connection", "close"))
        return response._replace(headers=headers)

    def _respond(self, request: httpd.Request) -> httpd.Response:
        active = self._feed.current()
        if active is None:
            return refusals.refusal_response(_NO_CONFIGURATION)
        try:
            head = self._dialect.decode_caller_headers(request.headers)
            job_call = self._dialect.decode_job_call(
                request.method, request.path, request.query, request.headers
            )
        except dialect_lib.BadInputError as error:
            return refusals.refusal_response(refusals.Refusal(400, str(error)))
        host = request.headers.get("host", "")
        if job_call is not None and active.has_host(host):
            return self._serve_job_call(request, active, head, job_call)
        route = active.route(host, request.path)
        if route is None:
            _events.warning(
                "no_route",
                request=head.attempt,
                host=host,
                path=request.path,
                version=active.version,
            )
            return refusals.refusal_response(
                refusals.Refusal(404, "no such route")
            )
        customer = self._authenticate(active, head, route)
        if isinstance(customer, refusals.Refusal):
            _events.warning(
                "unauthorized", request=head.attempt, version=active.version
            )
            return refusals.refusal_response(customer)
        return self._serve_route(request, active, head, route, customer)

    def _authenticate(
        self,
        active: configuration.ActiveConfiguration,
        head: dialect_lib.CallerHeaders,
        route: records.Route | None,
    ) -> records.Customer | refusals.Refusal | None:
        if not active.has_customers or (route is not None and route.is_public):
            return None
        customer = active.customer_of(head.key) if head.key else None
        if customer is None:
            return refusals.Refusal(401, "no such key")
        return customer

    def _serve_job_call(
        self,
        request: httpd.Request,
        active: configuration.ActiveConfiguration,
        head: dialect_lib.CallerHeaders,
        job_call: dialect_lib.JobCall,
    ) -> httpd.Response:
        customer = self._authenticate(active, head, None)
        if isinstance(customer, refusals.Refusal):
            return refusals.refusal_response(customer)
        name = "" if customer is None else customer.name
        if not self._stop_gate.may_begin_job_call(job_call.wait_s):
            return self._refuse_late(head.attempt)
        call = opencalls.Call(head.attempt, time.monotonic(), None)
        self._open_calls.add(call)
        try:
            exchange = request.exchange or exchanges.detached()
            return self._jobs.call(job_call, name, exchange)
        finally:
            self._open_calls.remove(call)

    def _serve_route(
        self,
        request: httpd.Request,
        active: configuration.ActiveConfiguration,
        head: dialect_lib.CallerHeaders,
        route: records.Route,
        customer: records.Customer | None,
    ) -> httpd.Response:
        started_s = time.monotonic()
        caller_deadline_s = None
        due_s = started_s + (route.timeout_s or _DEFAULT_DEADLINE_S)
        if head.deadline_s is not None:
            caller_deadline_s = started_s + head.deadline_s
            due_s = min(due_s, caller_deadline_s)
        call = opencalls.Call(
            head.attempt, due_s, caller_deadline_s, request.exchange
        )
        self._open_calls.add(call)
        try:
            response = self._read_body_and_dispatch(
                request, active, head, route, customer, call
            )
        except BaseException:
            self._open_calls.remove(call)
            raise
        return response

    def _read_body_and_dispatch(
        self,
        request: httpd.Request,
        active: configuration.ActiveConfiguration,
        head: dialect_lib.CallerHeaders,
        route: records.Route,
        customer: records.Customer | None,
        call: opencalls.Call,
    ) -> httpd.Response:
        body = bodies.read_whole(
            request,
            active.configuration.caller_limits.max_body_bytes,
            jobfront.MEMORY_FACTOR if route.kind == "batch" else 1,
            # Nobody waits any longer for an answer to what comes later.
            call.due_s,
        )
        name = "" if customer is None else customer.name
        if isinstance(body, result.Err):
            refused = body.err_value
            _events.sampled_info(
                "body_refused", request=head.attempt, why=refused.message
            )
            response = refusals.refusal_response(
                refusals.Refusal(
                    refused.status, refused.message, refused.retry_after_s
                )
            )
        elif not self._has_region(route, customer):
            _events.warning("refused", request=head.attempt, why=_NO_REGION.why)
            response = refusals.refusal_response(_NO_REGION)
        elif route.kind == "batch" and not self._stop_gate.may_begin_job_call(
            0.0
        ):
            response = self._refuse_late(head.attempt)
        elif route.kind == "batch":
            response = self._jobs.submit(
                head.attempt, name, route, request.path, body.ok_value
            )
        else:
            outgoing = upstreamsender.UpstreamRequest(
                head.attempt,
                request.method,
                request.target or request.path,
                request.headers,
                body.ok_value,
                name,
            )
            return self._forward_online(
                request, head, route, customer, call, outgoing
            )
        self._open_calls.remove(call)
        return response

    def _has_region(
        self, route: records.Route, customer: records.Customer | None
    ) -> bool:
        """Returns whether any region is left to which a request may go."""
        allowed = regions.allowed(route, customer)
        known = frozenset(self._settings.regions.values())
        return allowed is None or bool(allowed & known)

    def _forward_online(
        self,
        request: httpd.Request,
        head: dialect_lib.CallerHeaders,
        route: records.Route,
        customer: records.Customer | None,
        call: opencalls.Call,
        outgoing: upstreamsender.UpstreamRequest,
    ) -> httpd.Response:
        if not head.attempt:
            self._open_calls.remove(call)
            return refusals.refusal_response(
                refusals.Refusal(400, "the request has no attempt id")
            )
        cancel_deadline = self._deadlines.add(
            call.due_s, lambda: _end_late(call)
        )
        stop_watching_caller: Callable[[], None] = _no_op
        if request.connection is not None:
            stop_watching_caller = self._departures.watch(
                request.connection, lambda: call.end("caller_left")
            )

        def close() -> None:
            cancel_deadline()
            stop_watching_caller()
            self._open_calls.remove(call)
            self._record_end(call, route, outgoing.customer, response.status)

        try:
            response = self._admit_and_forward(
                route, customer, call, head, outgoing, request.path
            )
        except BaseException:
            cancel_deadline()
            stop_watching_caller()
            raise
        return response._replace(body=caller_calls.Body(response.body, close))

    def _admit_and_forward(
        self,
        route: records.Route,
        customer: records.Customer | None,
        call: opencalls.Call,
        head: dialect_lib.CallerHeaders,
        outgoing: upstreamsender.UpstreamRequest,
        path: str,
    ) -> httpd.Response:
        if not self._stop_gate.may_begin(route, call.due_s):
            call.mark_answered()
            return self._refuse_late(call.attempt)
        service = route.choose_service() or route.services[0].service
        if not self._placement.has_upstreams(service):
            why = self._upstream_list.why_none(service)
            _events.warning(
                "refused",
                request=call.attempt,
                service=service,
                why=why,
                list_age_s=round(self._upstream_list.age_s(), 3),
            )
            return _refuse(
                call, refusals.Refusal(503, why, _NO_UPSTREAM_RETRY_S)
            )
        if customer is not None:
            allowed = self._rates.take(customer)
            if isinstance(allowed, result.Err):
                denied = allowed.err_value
                _events.sampled_info(
                    "over_rate",
                    request=call.attempt,
                    customer=customer.name,
                    retry_after_s=round(denied.retry_after_s, 3),
                )
                return _refuse(
                    call,
                    refusals.Refusal(
                        429, "over the customer's rate", denied.retry_after_s
                    ),
                )
        request = forwarding.OnlineRequest(
            outgoing,
            route,
            service,
            head.last_event,
            head.resumed_attempt,
            regions.allowed(route, customer),
            requestcosts.UNKNOWN if head.prompt is None else head.prompt.cost(),
            _requester(route, customer),
            self._settings.has_waiting_line,
            self._feed.past_routes(route.host, path)
            if route.is_resumable
            else None,
        )
        return self._forwarder.forward(request, call)

    def _refuse_late(self, attempt: str) -> httpd.Response:
        _events.warning("refused", request=attempt, why=_STOPPING.why)
        return refusals.refusal_response(_STOPPING)

    def _record_end(
        self,
        call: opencalls.Call,
        route: records.Route,
        customer: str,
        status: int,
    ) -> None:
        fields = {
            "request": call.attempt,
            "route": route.name,
            "customer": customer,
            "status": status,
            "sends": call.sends,
            "took_s": round(call.age_s(), 3),
        }
        outcome = call.reason or (
            "ok" if status < _FIRST_ERROR_STATUS else "refused"
        )
        self._metrics.observe_request(route.kind, outcome, call.age_s())
        if outcome == "ok":
            self._stop_gate.record(route, call.age_s())
        if call.reason:
            _events.warning(
                "ended",
                why=call.reason,
                allowed_s=round(call.due_s - call.started_s, 3),
                caller_allowed_s=round(call.caller_timeout_s(), 3),
                **fields,
            )
            return
        _events.sampled_info("answered", **fields)


def _refuse(call: opencalls.Call, refusal: refusals.Refusal) -> httpd.Response:
    """Refuses a request; a caller that leaves from now on was answered."""
    call.mark_answered()
    return refusals.refusal_response(refusal)


def _requester(
    route: records.Route, customer: records.Customer | None
) -> requesters.Requester:
    """Returns who sends a request; requests without a customer share one."""
    if customer is None:
        return requesters.Requester(route_priority=route.priority)
    return requesters.Requester(
        customer.name, customer.priority, route.priority, customer.rate_per_s
    )


def _end_late(call: opencalls.Call) -> None:
    """Ends a request at its deadline, also if its caller does not read."""
    is_sending = call.exchange.phase == "sending"
    call.end("timeout")
    # The rest of the answer will not come, so the caller's connection holds a
    # thread and a place at the upstream for nothing.
    if is_sending and call.reason == "timeout":
        call.exchange.end_blocked_send()


def _no_op() -> None:
    """Does nothing; used when there is no connection to watch."""


_BUSY = refusals.Refusal(503, "this VM has no room now", 0.5)
_INTERNAL_ERROR = refusals.Refusal(500, "this VM failed to serve the request")
_STOPPING = refusals.Refusal(
    503, "this VM stops before the request could end", _STOPPING_RETRY_S
)
_NO_REGION = refusals.Refusal(
    503, "the route and the customer allow no region of this system"
)
_NO_CONFIGURATION = refusals.Refusal(
    503, "this VM has no configuration yet", _NOT_READY_RETRY_S
)
