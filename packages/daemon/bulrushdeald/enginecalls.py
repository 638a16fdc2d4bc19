"""Sends orders to engines over HTTP and reads their state.

This module sends an order once and never repeats it. If the answer is lost,
the caller determines the outcome from the engine's state.
"""

import http
import json
import threading
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import jsontext
from bulrushdeal import records
from bulrushdeald import modelrecords
from bulrushdeald import services

STATE_PATH = "/v1/engine"
ORDERS_PATH = "/v1/engine/orders"
LOAD_PATH = "/load"
_READ_TIMEOUT_S = 5.0
_MAX_ANSWER_BYTES = 1_000_000
_MAX_REASON_CHARACTERS = 300
_DEFAULT_RETRY_S = 5.0
_MAX_RETRY_S = 600.0


class EngineError(NamedTuple):
    """A call to an engine that did not succeed.

    Attributes:
        kind: `not_sent`: no byte was sent. `unknown`: the order may have been
            executed, or may yet be. `fenced`: the engine has seen a later
            fencing number. `later`: the weight store refused the fetch for
            now. `refused`: the engine rejects the order.
        message: For operators.
        retry_after_s: The seconds after which to retry, for `later`.
    """

    kind: Literal["not_sent", "unknown", "fenced", "later", "refused"]
    message: str
    retry_after_s: float = 0.0


class _Reply(NamedTuple):
    status: int
    retry_after: str
    body: bytes


class EngineCalls:
    """A client of the engines' HTTP protocol for orders."""

    def __init__(self, upstreams: services.Upstreams) -> None:
        self._upstreams = upstreams

    def read_state(
        self, upstream: records.Upstream
    ) -> result.Result[modelrecords.EngineState, EngineError]:
        """Reads which models an engine holds, and its role."""
        reply = self._call(upstream, "GET", STATE_PATH, b"", _READ_TIMEOUT_S)
        if isinstance(reply, result.Err):
            return reply
        return _engine_state(reply.ok_value)

    def count_requests(self, upstream: records.Upstream) -> int | None:
        """Reads how many requests run or queue; `None` if unknown."""
        reply = self._call(upstream, "GET", LOAD_PATH, b"", _READ_TIMEOUT_S)
        if isinstance(reply, result.Err):
            return None
        try:
            load = jsontext.parse(reply.ok_value.body)
            return int(load["running"]) + int(load["queued"])
        except (ValueError, KeyError, TypeError):
            return None

    def send_order(
        self,
        upstream: records.Upstream,
        order: modelrecords.Order,
        timeout_s: float,
    ) -> result.Result[modelrecords.EngineState, EngineError]:
        """Sends an order with its fencing number and waits for the answer.

        Returns:
            What the engine holds afterwards.
        """
        body = json.dumps(
            {
                "fence": order.fence,
                "action": order.action,
                "model": order.model,
                "version": order.version,
                "base": order.base,
                "role": order.role,
            }
        ).encode()
        reply = self._call(upstream, "POST", ORDERS_PATH, body, timeout_s)
        if isinstance(reply, result.Err):
            return reply
        if reply.ok_value.status == http.HTTPStatus.OK:
            return _engine_state(reply.ok_value)
        return result.Err(_error_of(reply.ok_value))

    def _call(
        self,
        upstream: records.Upstream,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> result.Result[_Reply, EngineError]:
        # The timeout of `send` limits only the silence between bytes. An
        # engine that sends a byte now and then could keep an order open for
        # longer than a VM that takes it over waits, so a timer limits the
        # whole call.
        cancels: list[Any] = []
        timer = threading.Timer(
            timeout_s, lambda: [cancel() for cancel in cancels]
        )
        timer.daemon = True
        timer.start()
        try:
            sent = self._upstreams.send(
                upstream,
                method,
                path,
                {"Content-Type": "application/json"},
                body,
                timeout_s,
                use=services.ConnectionUse(is_new=True),
                on_connected=cancels.append,
            )
            if isinstance(sent, result.Err):
                return result.Err(_send_error(sent.err_value))
            return _read_reply(sent.ok_value)
        finally:
            timer.cancel()


def _read_reply(
    answer: services.UpstreamAnswer,
) -> result.Result[_Reply, EngineError]:
    body = b""
    try:
        for chunk in answer.chunks():
            if isinstance(chunk, result.Err):
                return result.Err(
                    EngineError("unknown", "The answer is cut off.")
                )
            body += chunk.ok_value
            if len(body) > _MAX_ANSWER_BYTES:
                message = "The answer is too long."
                return result.Err(EngineError("unknown", message))
    finally:
        answer.close()
    headers = {name.lower(): value for name, value in answer.headers}
    reply = _Reply(answer.status, headers.get("retry-after", ""), body)
    return result.Ok(reply)


def _send_error(error: services.UpstreamError) -> EngineError:
    if error.ran == "not_run":
        return EngineError("not_sent", f"Not reached: {error.message}")
    return EngineError("unknown", f"No answer: {error.message}")


def _engine_state(
    reply: _Reply,
) -> result.Result[modelrecords.EngineState, EngineError]:
    if reply.status != http.HTTPStatus.OK:
        return result.Err(_error_of(reply))
    try:
        state = codec.from_plain(
            modelrecords.EngineState, jsontext.parse(reply.body)
        )
    except (ValueError, codec.CodecError) as error:
        message = f"The answer is not an engine's state: {error}"
        return result.Err(EngineError("unknown", message))
    return result.Ok(state)


def _error_of(reply: _Reply) -> EngineError:
    message = _message(reply)
    if reply.status == http.HTTPStatus.CONFLICT:
        return EngineError("fenced", message)
    if reply.status in (
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ):
        return EngineError("later", message, _retry_after_s(reply.retry_after))
    if reply.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
        # The engine failed during the order; its progress is unknown.
        return EngineError("unknown", message)
    return EngineError("refused", message)


def _message(reply: _Reply) -> str:
    text = reply.body.decode(errors="replace")
    try:
        text = str(jsontext.parse(text)["error"]["message"])
    except (ValueError, KeyError, TypeError):
        text = " ".join(text.split())
    return f"{reply.status}: {text[:_MAX_REASON_CHARACTERS]}"


def _retry_after_s(text: str) -> float:
    try:
        retry_s = float(text)
    except ValueError:
        return _DEFAULT_RETRY_S
    # A comparison with NaN is false, so NaN also gives the default.
    return min(retry_s, _MAX_RETRY_S) if retry_s >= 0 else _DEFAULT_RETRY_S
