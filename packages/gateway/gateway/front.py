"""The callers' HTTP server, readiness, and the graceful stop."""

from collections.abc import Callable
import time
from typing import Any, Literal

import result

from bulrushdeal import eventlog
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import bodies
from bulrushdeald import calls as caller_calls
from bulrushdeald import departures
from gateway import calls
from gateway import configuration
from gateway import deadlines
from gateway import dialect as dialect_lib
from gateway import forwarding
from gateway import jobfront
from gateway import metrics
from gateway import names
from gateway import placement
from gateway import rates
from gateway import records
from gateway import replies
from gateway import sending
from gateway import upstreamlist

_log = logs.Log("front")
_events = eventlog.Events("front")

# A thread for each request that is open; each takes about 40 kB.
_THREADS = 160
_READY_THREADS = 4
# The balancer asks each second and takes a VM out after two misses; until
# then it sends new connections, which must find a listener.
_UNREADY_S = 3.2
# Of the grace, what is left for closing when requests still run.
_CLOSE_S = 0.3
_NOT_READY_RETRY_S = 0.5
_DEFAULT_DEADLINE_S = 60.0
_FAILED = 400
_READY_PATH = "/ready"


class Front:
    """Serves callers from the first configuration on."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._open = calls.OpenCalls()
        self._departures = departures.Departures()
        self._deadlines = deadlines.Deadlines()
        self._state: Literal["serving", "stopping"] = "serving"
        # How long callers' connections may rest, by the version in force.
        self._idle_s = 0.0

    def start(self) -> None:
        """Listens."""
        find = self._kernel.find
        self._dialect = find(names.DIALECT, dialect_lib.Dialect)
        self._feed = find(names.CONFIGURATION, configuration.Feed)
        self._list = find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
        self._metrics = find(names.METRICS, metrics.Metrics)
        self._rates = find(names.RATES, rates.Rates)
        self._placement = find(names.PLACEMENT, placement.Placement)
        self._forwarder = find(names.FORWARDER, forwarding.Forwarder)
        self._jobs = jobfront.JobFront(self._kernel)
        self._departures.start()
        self._deadlines.start()
        self._server = httpd.Server(
            self._settings.callers_address,
            self._serve,
            _THREADS,
            replies.refusal(_BUSY),
        )
        self._feed.on_change(self._bound)
        self._bound()
        self._server.start()
        self._ready = httpd.Server(
            self._settings.ready_address, self._serve_ready, _READY_THREADS
        )
        self._ready.start()

    @property
    def port(self) -> int:
        """The callers' port."""
        return self._server.port

    def _bound(self) -> None:
        """Applies what operators set for callers' connections.

        The failure: a new version shortens the time that a connection may
        rest, and callers that know the one before send on connections that
        are being closed. So the longer one of the last two versions counts.
        """
        held = self._feed.current()
        if held is None:
            return
        bounds = held.configuration.bounds
        before_s, self._idle_s = self._idle_s, bounds.idle_timeout_s
        self._server.bound(
            bounds.max_header_bytes, max(before_s, bounds.idle_timeout_s)
        )

    def stop(self, grace_s: float) -> None:
        """Stops without cutting a request short, within `grace_s` seconds.

        First the balancer is told, and callers by `Connection: close`,
        while all are still served; then open requests are waited for.
        """
        end_s = time.monotonic() + grace_s
        self._state = "stopping"
        time.sleep(min(_UNREADY_S, grace_s / 2))
        # Callers keep connections that were idle all the while: a request
        # that came over one late in the grace would be cut by its end. So
        # idle ones are closed while there is time for what is open.
        cut = self._deadlines.add(end_s - _CLOSE_S, self._cut_all)
        self._server.stop(max(end_s - time.monotonic(), _CLOSE_S))
        cut()
        self._ready.stop(0.1)
        self._departures.stop()
        self._deadlines.stop()

    def _cut_all(self) -> None:
        count = self._open.end_all("stopping")
        if count:
            _events.warning("cut", requests=count, why="the grace is over")

    def dump(self) -> Any:
        """Returns the state and how many requests are open."""
        return {"state": self._state, "open": self._open.count()}

    def is_ready(self) -> bool:
        """Tells whether the balancer may send callers.

        The failure: a failure domain is cut off from the upstreams of a
        service and callers still reach it; each of them would be refused
        although VMs of other domains could serve it.
        """
        return (
            self._state == "serving"
            and self._feed.current() is not None
            and self._list.is_known()
            and not self._placement.is_cut_off()
        )

    def _serve_ready(self, request: httpd.Request) -> httpd.Response:
        if request.path != _READY_PATH:
            return replies.refusal(replies.Refusal(404, "no such path"))
        status = 200 if self.is_ready() else 503
        return httpd.json_response(status, {"state": self._state})

    def _serve(self, request: httpd.Request) -> httpd.Response:
        try:
            response = self._respond(request)
        except Exception:  # noqa: BLE001 - the caller gets an answer.
            _log.exception("A request failed.")
            response = replies.refusal(_INTERNAL)
        self._metrics.answered(response.status)
        if self._state == "serving" and not self._placement.is_cut_off():
            return response
        # A caller that keeps its connection would send its next request
        # into the stop, or to a VM that cannot serve it.
        headers = (*response.headers, ("Connection", "close"))
        return response._replace(headers=headers)

    def _respond(self, request: httpd.Request) -> httpd.Response:
        held = self._feed.current()
        if held is None:
            return replies.refusal(_NO_CONFIGURATION)
        try:
            head = self._dialect.caller_head(request.headers)
            job_call = self._dialect.job_call(
                request.method, request.path, request.query, request.headers
            )
        except dialect_lib.BadInputError as error:
            return replies.refusal(replies.Refusal(400, str(error)))
        host = request.headers.get("host", "")
        if job_call is not None and held.has_host(host):
            return self._serve_job_call(held, head, job_call)
        route = held.route(host, request.path)
        if route is None:
            _events.warning(
                "no_route",
                request=head.attempt,
                host=host,
                path=request.path,
                version=held.version,
            )
            return replies.refusal(replies.Refusal(404, "no such route"))
        customer = self._customer(held, head, route)
        if isinstance(customer, replies.Refusal):
            _events.warning(
                "unauthorized", request=head.attempt, version=held.version
            )
            return replies.refusal(customer)
        return self._serve_route(request, held, head, route, customer)

    def _customer(
        self,
        held: configuration.InForce,
        head: dialect_lib.CallerHead,
        route: records.Route | None,
    ) -> records.Customer | replies.Refusal | None:
        if not held.has_customers or (route is not None and route.is_public):
            return None
        customer = held.customer_of(head.key) if head.key else None
        if customer is None:
            return replies.Refusal(401, "no such key")
        return customer

    def _serve_job_call(
        self,
        held: configuration.InForce,
        head: dialect_lib.CallerHead,
        job_call: dialect_lib.JobCall,
    ) -> httpd.Response:
        customer = self._customer(held, head, None)
        if isinstance(customer, replies.Refusal):
            return replies.refusal(customer)
        name = "" if customer is None else customer.name
        call = calls.Call(head.attempt, time.monotonic(), None)
        self._open.add(call)
        try:
            return self._jobs.call(job_call, name)
        finally:
            self._open.remove(call)

    def _serve_route(
        self,
        request: httpd.Request,
        held: configuration.InForce,
        head: dialect_lib.CallerHead,
        route: records.Route,
        customer: records.Customer | None,
    ) -> httpd.Response:
        begun_s = time.monotonic()
        caller_end_s = None
        end_s = begun_s + (route.timeout_s or _DEFAULT_DEADLINE_S)
        if head.deadline_s is not None:
            caller_end_s = begun_s + head.deadline_s
            end_s = min(end_s, caller_end_s)
        call = calls.Call(head.attempt, end_s, caller_end_s)
        self._open.add(call)
        try:
            response = self._answer(request, held, head, route, customer, call)
        except BaseException:
            self._open.remove(call)
            raise
        return response

    def _answer(
        self,
        request: httpd.Request,
        held: configuration.InForce,
        head: dialect_lib.CallerHead,
        route: records.Route,
        customer: records.Customer | None,
        call: calls.Call,
    ) -> httpd.Response:
        read = bodies.read_whole(
            request, held.configuration.bounds.max_body_bytes
        )
        name = "" if customer is None else customer.name
        if isinstance(read, result.Err):
            refused = read.err_value
            response = replies.refusal(
                replies.Refusal(refused.status, refused.message)
            )
        elif route.kind == "batch":
            response = self._jobs.submit(
                head.attempt, name, route, request.path, read.ok_value
            )
        else:
            outgoing = sending.Outgoing(
                head.attempt,
                request.method,
                request.target or request.path,
                request.headers,
                read.ok_value,
                name,
            )
            return self._forward(request, head, route, customer, call, outgoing)
        self._open.remove(call)
        return response

    def _forward(
        self,
        request: httpd.Request,
        head: dialect_lib.CallerHead,
        route: records.Route,
        customer: records.Customer | None,
        call: calls.Call,
        outgoing: sending.Outgoing,
    ) -> httpd.Response:
        if not head.attempt:
            self._open.remove(call)
            return replies.refusal(replies.Refusal(400, "it has no id"))
        forget_deadline = self._deadlines.add(
            call.end_s, lambda: call.end("timeout")
        )
        forget_caller: Callable[[], None] = _nothing
        if request.connection is not None:
            forget_caller = self._departures.watch(
                request.connection, lambda: call.end("caller_left")
            )

        def close() -> None:
            forget_deadline()
            forget_caller()
            self._open.remove(call)
            self._note_end(call, route, outgoing.customer, response.status)

        try:
            response = self._admit_and_forward(
                route, customer, call, head, outgoing
            )
        except BaseException:
            forget_deadline()
            forget_caller()
            raise
        return response._replace(body=caller_calls.Body(response.body, close))

    def _admit_and_forward(
        self,
        route: records.Route,
        customer: records.Customer | None,
        call: calls.Call,
        head: dialect_lib.CallerHead,
        outgoing: sending.Outgoing,
    ) -> httpd.Response:
        service = route.choose_service() or route.services[0].service
        if not self._placement.has_upstreams(service):
            _events.warning(
                "refused",
                request=call.attempt,
                service=service,
                why="no upstream",
                list_age_s=round(self._list.age_s(), 3),
            )
            return replies.refusal(_NO_UPSTREAM)
        if customer is not None:
            allowed = self._rates.take(customer)
            if isinstance(allowed, result.Err):
                denied = allowed.err_value
                _events.good_end(
                    "over_rate",
                    request=call.attempt,
                    customer=customer.name,
                    retry_after_s=round(denied.retry_after_s, 3),
                )
                return replies.refusal(
                    replies.Refusal(
                        429, "over the customer's rate", denied.retry_after_s
                    )
                )
        request = forwarding.Forwarded(
            outgoing, route, service, head.last_event
        )
        return self._forwarder.forward(request, call)

    def _note_end(
        self, call: calls.Call, route: records.Route, customer: str, status: int
    ) -> None:
        fields = {
            "request": call.attempt,
            "route": route.name,
            "customer": customer,
            "status": status,
            "sends": call.sends,
            "took_s": round(call.age_s(), 3),
        }
        outcome = call.reason or ("ok" if status < _FAILED else "refused")
        self._metrics.ended(route.kind, outcome, call.age_s())
        if call.reason:
            _events.warning(
                "ended",
                why=call.reason,
                allowed_s=round(call.end_s - call.begun_s, 3),
                caller_allowed_s=round(call.caller_allowed_s(), 3),
                **fields,
            )
            return
        _events.good_end("answered", **fields)


def _nothing() -> None:
    """Stands for a watch that was never set up."""


_BUSY = replies.Refusal(503, "this VM has no room now", 0.5)
_INTERNAL = replies.Refusal(500, "this VM failed to serve the request")
_NO_CONFIGURATION = replies.Refusal(
    503, "this VM knows no configuration yet", _NOT_READY_RETRY_S
)
_NO_UPSTREAM = replies.Refusal(503, "no upstream is listed", 0.5)
