"""The operators' HTTP server: authentication, routes and a state dump."""

import hmac
import json
from typing import Any

from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import configroutes
from bulrushdeald import defaults
from bulrushdeald import operatorhttp

_log = logs.Log("operators")
_THREADS = 16
_LIMITS = httpd.DEFAULT_LIMITS._replace(connections=128, head_timeout_s=10.0)


class OperatorsServer:
    """See `services.OperatorRoutes`.

    Other services add their routes in their own `start`, so this one is
    registered after them. It serves nothing until it starts.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._kernel = kernel
        self._token = settings.operator_token.encode()
        self._exact_routes: dict[tuple[str, str], httpd.Handler] = {}
        self._prefix_routes: dict[tuple[str, str], httpd.Handler] = {}
        self._server = httpd.Server(
            settings.operators_address, self._serve, _THREADS, limits=_LIMITS
        )

    @property
    def port(self) -> int:
        """The port that the server listens on, known after `start`."""
        return self._server.port

    def start(self) -> None:
        """Adds the dump's and the configuration's routes and listens."""
        self.route("GET", "/v1/dump", self._dump)
        configroutes.add(self._kernel, self)
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Waits for open requests and stops listening."""
        self._server.stop(grace_s)

    def dump(self) -> Any:
        """Returns the routes."""
        return {"routes": sorted([*self._exact_routes, *self._prefix_routes])}

    def route(self, method: str, path: str, handler: httpd.Handler) -> None:
        """See `services.OperatorRoutes`; a path ending in `/` is a prefix."""
        routes = (
            self._prefix_routes if path.endswith("/") else self._exact_routes
        )
        routes[method, path] = handler

    def _serve(self, request: httpd.Request) -> httpd.Response:
        if not self._is_authorized(request):
            message = "An operator token is required."
            return operatorhttp.error(401, "unauthorized", message)
        request = request._replace(path=_decode_path(request.path))
        handler = self._find_handler(request.method, request.path)
        if handler is None:
            message = f"There is no route {request.method} {request.path}."
            return operatorhttp.error(404, "not_found", message)
        try:
            return handler(request)
        except operatorhttp.BadRequestError as error:
            return operatorhttp.error(
                400, "invalid_request", str(error), field=error.field
            )
        except Exception:  # noqa: BLE001 - the operator must get an answer.
            _log.exception("%s %s failed.", request.method, request.path)
            return operatorhttp.error(
                500, "internal", "The request failed; see the daemon's log."
            )

    def _is_authorized(self, request: httpd.Request) -> bool:
        given = request.headers.get("authorization", "")
        scheme, _, token = given.partition(" ")
        # If no token is configured, every request is rejected.
        is_same = hmac.compare_digest(token.strip().encode(), self._token)
        return scheme.lower() == "bearer" and is_same and bool(self._token)

    def _find_handler(self, method: str, path: str) -> httpd.Handler | None:
        exact = self._exact_routes.get((method, path))
        if exact is not None:
            return exact
        prefixes = [
            prefix
            for route_method, prefix in self._prefix_routes
            if route_method == method and path.startswith(prefix)
        ]
        if not prefixes:
            return None
        return self._prefix_routes[method, max(prefixes, key=len)]

    def _dump(self, request: httpd.Request) -> httpd.Response:
        del request
        state = json.dumps(codec.to_object(self._kernel.dump()), default=str)
        return httpd.json_response(200, json.loads(state))


def _decode_path(path: str) -> str:
    # WSGI passes the path's bytes decoded as Latin-1.
    try:
        return path.encode("latin-1").decode()
    except UnicodeError:
        return path
