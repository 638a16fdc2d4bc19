"""The operators' HTTP routes for orders to engines."""

import re
from typing import Any

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeald import modelrecords
from bulrushdeald import operatorhttp
from bulrushdeald import services

_UPSTREAMS = "/v1/upstreams/"
_SUFFIX = "/orders"
_ORDERS = "/v1/orders"
_MAX_ATTEMPTS = 20
_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9_.:/\-]{0,199}$")
_FIELDS = {
    "load": ("model", "version", "base"),
    "unload": ("model",),
    "role": ("role",),
}
_REQUIRED = {"load": "model", "unload": "model", "role": "role"}
_ROLES = ("mixed", "prefill", "decode")


class ModelRoutes:
    """Accepts orders and shows their state."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        config: services.Config,
        clock: clock_lib.Clock,
    ) -> None:
        self._keyvalue = keyvalue
        self._config = config
        self._clock = clock

    def post(self, request: httpd.Request) -> httpd.Response:
        """Accepts an order.

        The order is stored before the answer is sent, and is either carried
        out or fails.
        """
        upstream = _upstream_name(request)
        if upstream is None:
            return operatorhttp.error(
                404, "not_found", "There is no such route."
            )
        asked = _read_order(operatorhttp.body_object(request))
        rows = {row.upstream: row for row in self._config.upstreams()}
        row = rows.get(upstream)
        if row is None:
            message = f"There is no upstream {upstream!r}."
            return operatorhttp.error(404, "missing", message)
        if row.kind != "engine":
            message = f"{upstream!r} is a plain service and takes no orders."
            return operatorhttp.error(400, "invalid_request", message)
        return self._accept(
            upstream, asked._replace(accepted_wall_s=self._clock.wall_s())
        )

    def _accept(
        self, upstream: str, asked: modelrecords.Order
    ) -> httpd.Response:
        read = self._keyvalue.get(modelrecords.key(upstream))
        if isinstance(read, result.Err):
            return _unavailable(read.err_value)
        entry = read.ok_value
        for _ in range(_MAX_ATTEMPTS):
            record = modelrecords.EngineOrders(upstream)
            try:
                if entry is not None:
                    record = modelrecords.load(entry.value)
            except codec.CodecError as error:
                # Overwriting the record would restart its numbers.
                message = f"The orders of {upstream!r} are unreadable: {error}"
                return operatorhttp.error(503, "unavailable", message)
            same = modelrecords.find_duplicate(record, asked)
            if same is not None:
                return _accepted(upstream, same)
            count = sum(order.is_open for order in record.orders)
            if count >= modelrecords.MAX_OPEN:
                message = (
                    f"{upstream!r} has {count} open orders; try again later."
                )
                return operatorhttp.error(409, "full", message)
            changed = modelrecords.append_order(record, asked)
            put = self._keyvalue.put(
                modelrecords.key(upstream),
                modelrecords.dump(changed),
                entry.revision if entry else 0,
            )
            if isinstance(put, result.Ok):
                return _accepted(upstream, changed.orders[-1])
            if put.err_value.kind != "conflict":
                return _unavailable(put.err_value)
            entry = put.err_value.current
        message = f"The orders of {upstream!r} keep changing; try again."
        return operatorhttp.error(503, "unavailable", message)

    def get(self, request: httpd.Request) -> httpd.Response:
        """Returns an engine's orders, its state and its target state."""
        upstream = _upstream_name(request)
        if upstream is None:
            return operatorhttp.error(
                404, "not_found", "There is no such route."
            )
        read = self._keyvalue.get(modelrecords.key(upstream))
        if isinstance(read, result.Err):
            return _unavailable(read.err_value)
        entries = () if read.ok_value is None else (read.ok_value,)
        return _listing(entries)

    def list(self, request: httpd.Request) -> httpd.Response:
        """Returns the orders and states of all engines."""
        del request
        listed = self._keyvalue.list(modelrecords.PREFIX)
        if isinstance(listed, result.Err):
            return _unavailable(listed.err_value)
        return _listing(listed.ok_value)


def _upstream_name(request: httpd.Request) -> str | None:
    if not request.path.endswith(_SUFFIX):
        return None
    return request.path.removeprefix(_UPSTREAMS).removesuffix(_SUFFIX)


def _read_order(body: dict[str, Any]) -> modelrecords.Order:
    action = body.get("action")
    if action not in _FIELDS:
        allowed = ", ".join(_FIELDS)
        raise operatorhttp.BadRequestError(f"Allowed: {allowed}.", "action")
    for field, value in body.items():
        if field == "action":
            continue
        if field not in _FIELDS[action]:
            message = f"An order to {action} has no field {field!r}."
            raise operatorhttp.BadRequestError(message, field)
        is_name = isinstance(value, str) and bool(_NAME.match(value))
        if not is_name and value != "":
            raise operatorhttp.BadRequestError("It is not a valid name.", field)
    required = _REQUIRED[action]
    if not body.get(required):
        raise operatorhttp.BadRequestError("It is required.", required)
    if action == "role" and body["role"] not in _ROLES:
        message = f"Allowed: {', '.join(_ROLES)}."
        raise operatorhttp.BadRequestError(message, "role")
    if body.get("base") == body.get("model") and body.get("base"):
        message = "An adapter must not have the name of its model."
        raise operatorhttp.BadRequestError(message, "base")
    return codec.from_plain(modelrecords.Order, {**body, "number": 0})


def _accepted(upstream: str, order: modelrecords.Order) -> httpd.Response:
    return httpd.json_response(200, _order_row(upstream, order))


def _listing(entries: tuple[services.Entry, ...]) -> httpd.Response:
    rows: list[dict[str, Any]] = []
    engines: list[dict[str, Any]] = []
    for entry in entries:
        try:
            record = modelrecords.load(entry.value)
        except codec.CodecError as error:
            engines.append({"key": entry.key, "problem": str(error)})
            continue
        rows.extend(_order_row(record.upstream, o) for o in record.orders)
        engines.append(
            {
                "upstream": record.upstream,
                "fence": record.fence,
                "vm": record.vm,
                "holds": codec.to_object(record.engine),
                "wanted": codec.to_object(modelrecords.target_state(record)),
            }
        )
    return httpd.json_response(200, {"orders": rows, "engines": engines})


def _order_row(upstream: str, order: modelrecords.Order) -> dict[str, Any]:
    return {"upstream": upstream, **order._asdict()}


def _unavailable(error: services.KeyValueError) -> httpd.Response:
    if error.kind == "unknown":
        message = (
            "It is unknown whether the order was accepted; check its state."
        )
        return operatorhttp.error(503, "unknown", f"{message} {error.message}")
    message = "The platform does not answer; no order was accepted."
    return operatorhttp.error(503, "unavailable", f"{message} {error.message}")


def add(
    server: services.OperatorRoutes,
    keyvalue: services.KeyValue,
    config: services.Config,
    clock: clock_lib.Clock,
) -> None:
    """Adds the routes to the operators' server."""
    routes = ModelRoutes(keyvalue, config, clock)
    server.route("POST", _UPSTREAMS, routes.post)
    server.route("GET", _UPSTREAMS, routes.get)
    server.route("GET", _ORDERS, routes.list)
