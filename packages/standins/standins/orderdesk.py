"""The part of the stand-in engine that takes orders.

It keeps which models and adapters the engine holds, and its role. Orders are
carried out one after the other, each in the time that a load would take.
"""

import json
import threading
import time
from typing import Any, NamedTuple

import urllib3
import urllib3.exceptions

from standins import web

STATE_PATH = "/v1/engine"
ORDERS_PATH = "/v1/engine/orders"
ROLES = ("mixed", "prefill", "decode")
_OK = 200
_FETCH_TIMEOUT_S = 60.0


class DeskSettings(NamedTuple):
    """How an engine takes orders; all figures are assumed, not measured.

    Attributes:
        fencing: Whether it refuses an order with an older number: 1 or 0.
        order_s: How long an order takes beside the fetch.
        weights: The weight store's `HOST:PORT`; empty to load from nowhere.
        lose_answers: So many orders are carried out and not answered.
    """

    fencing: int = 1
    order_s: float = 0.0
    weights: str = ""
    lose_answers: int = 0


class Held(NamedTuple):
    """A model or adapter that the engine holds."""

    model: str
    version: str = ""
    base: str = ""


class Outcome(NamedTuple):
    """How an order went, as an answer over HTTP."""

    status: int
    message: str = ""
    retry_after: str = ""


class OrderDesk:
    """Takes orders, one at a time."""

    def __init__(self, models: tuple[str, ...], settings: DeskSettings) -> None:
        self._settings = settings
        self._lose_answers = settings.lose_answers
        self._pools = urllib3.PoolManager(retries=False)
        self._working = threading.Lock()
        self._held = tuple(Held(name) for name in models)
        self._role = "mixed"
        self._fence = 0
        # The numbers of the orders carried out, in turn.
        self.fences: list[int] = []

    def names(self) -> tuple[str, ...]:
        """Returns the models and adapters that requests may name."""
        return tuple(held.model for held in self._held)

    def state(self) -> dict[str, Any]:
        """Returns what the engine holds."""
        return {
            "models": [held._asdict() for held in self._held],
            "role": self._role,
        }

    def serve(self, exchange: web.Exchange) -> None:
        """Answers `STATE_PATH` and `ORDERS_PATH`."""
        if exchange.path == STATE_PATH:
            exchange.answer_json(200, self.state())
            return
        try:
            order = json.loads(exchange.body)
            outcome = self._take(order)
        except (ValueError, KeyError, TypeError):
            outcome = Outcome(400, "no order")
        if outcome.status == _OK:
            if self._lose_answers > 0:
                self._lose_answers -= 1
                exchange.drop()
            exchange.answer_json(200, self.state())
            return
        headers = [("Content-Type", "application/json")]
        if outcome.retry_after:
            headers.append(("Retry-After", outcome.retry_after))
        exchange.begin(outcome.status, tuple(headers))
        body = {"error": {"message": outcome.message}}
        exchange.chunk(json.dumps(body).encode())
        exchange.chunk(b"")

    def _take(self, order: dict[str, Any]) -> Outcome:
        with self._working:
            fence = int(order["fence"])
            if self._settings.fencing and fence < self._fence:
                return Outcome(409, f"{self._fence} was seen")
            self._fence = max(fence, self._fence)
            outcome = self._carry_out(order)
            if outcome.status == _OK:
                self.fences.append(fence)
            return outcome

    def _carry_out(self, order: dict[str, Any]) -> Outcome:
        if order["action"] == "role":
            if order["role"] not in ROLES:
                return Outcome(400, "no such role")
            time.sleep(self._settings.order_s)
            self._role = order["role"]
            return Outcome(200)
        held = Held(order["model"], order["version"], order["base"])
        others = tuple(row for row in self._held if row.model != held.model)
        if order["action"] == "unload":
            time.sleep(self._settings.order_s)
            self._held = tuple(row for row in others if row.base != held.model)
            return Outcome(200)
        if held.base and held.base not in self.names():
            return Outcome(400, f"no model {held.base}")
        if held not in self._held:
            fetched = self._fetch(held)
            if fetched.status != _OK:
                return fetched
        time.sleep(self._settings.order_s)
        self._held = (*others, held)
        return Outcome(200)

    def _fetch(self, held: Held) -> Outcome:
        if not self._settings.weights:
            return Outcome(200)
        url = f"http://{self._settings.weights}/weights/{held.model}"
        try:
            answer = self._pools.request("GET", url, timeout=_FETCH_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            return Outcome(503, f"no weights: {error}")
        retry_after = answer.headers.get("Retry-After", "")
        return Outcome(answer.status, "the weight store refused", retry_after)
