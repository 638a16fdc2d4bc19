"""The operators' HTTP server: its credential, its routes, and a dump."""

import hmac
import json
from typing import Any

from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import configroutes
from bulrushdeald import defaults
from bulrushdeald import replies

_log = logs.Log("operators")
_THREADS = 16


class OperatorsServer:
    """See `services.OperatorRoutes`.

    Other services add their routes in their own `start`, so it is
    registered after them; until it starts nothing is served.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._kernel = kernel
        self._token = settings.operator_token.encode()
        self._exact: dict[tuple[str, str], httpd.Handler] = {}
        self._prefixes: dict[tuple[str, str], httpd.Handler] = {}
        self._server = httpd.Server(
            settings.operators_address, self._serve, _THREADS
        )

    @property
    def port(self) -> int:
        """The port it listens on, known after `start`."""
        return self._server.port

    def start(self) -> None:
        """Adds the configuration's routes and listens."""
        self.route("GET", "/v1/dump", self._dump)
        configroutes.add(self._kernel, self)
        self._server.start()

    def stop(self, grace_s: float) -> None:
        """Lets open requests end and closes the address."""
        self._server.stop(grace_s)

    def dump(self) -> Any:
        """Returns the routes."""
        return {"routes": sorted([*self._exact, *self._prefixes])}

    def route(self, method: str, path: str, handler: httpd.Handler) -> None:
        """See `services.OperatorRoutes`; a path ending in `/` is a prefix."""
        routes = self._prefixes if path.endswith("/") else self._exact
        routes[method, path] = handler

    def _serve(self, request: httpd.Request) -> httpd.Response:
        if not self._is_allowed(request):
            message = "An operator token is required."
            return replies.error(401, "unauthorized", message)
        request = request._replace(path=_utf8(request.path))
        handler = self._find(request.method, request.path)
        if handler is None:
            message = f"Nothing is at {request.method} {request.path}."
            return replies.error(404, "not_found", message)
        try:
            return handler(request)
        except replies.BadRequestError as error:
            return replies.error(
                400, "invalid_request", str(error), field=error.field
            )
        except Exception:  # noqa: BLE001 - the operator gets an answer.
            _log.exception("%s %s failed.", request.method, request.path)
            return replies.error(500, "internal", "It failed; see the log.")

    def _is_allowed(self, request: httpd.Request) -> bool:
        given = request.headers.get("authorization", "")
        kind, _, token = given.partition(" ")
        # Without a token set, nobody is let in.
        is_same = hmac.compare_digest(token.strip().encode(), self._token)
        return kind.lower() == "bearer" and is_same and bool(self._token)

    def _find(self, method: str, path: str) -> httpd.Handler | None:
        exact = self._exact.get((method, path))
        if exact is not None:
            return exact
        found = [
            prefix
            for known, prefix in self._prefixes
            if known == method and path.startswith(prefix)
        ]
        if not found:
            return None
        return self._prefixes[method, max(found, key=len)]

    def _dump(self, request: httpd.Request) -> httpd.Response:
        del request
        state = json.dumps(codec.to_object(self._kernel.dump()), default=str)
        return httpd.json_response(200, json.loads(state))


def _utf8(path: str) -> str:
    # WSGI hands the path's bytes over as Latin-1.
    try:
        return path.encode("latin-1").decode()
    except UnicodeError:
        return path
