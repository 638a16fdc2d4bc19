"""The part of the stand-in engine that executes orders.

It keeps the engine's role and the models and adapters that the engine has
loaded. Orders are executed one at a time, each with a simulated duration.
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
    """How an engine executes orders; all figures are assumed, not measured.

    Attributes:
        fencing: 1 to refuse an order whose fencing number is lower than that of
            an earlier order, else 0.
        order_s: Seconds that an order takes in addition to the fetch.
        weights: The weight store's `HOST:PORT`; empty to load without a fetch.
        lose_answers: How many orders are executed without an answer; the
            connection is dropped instead.
    """

    fencing: int = 1
    order_s: float = 0.0
    weights: str = ""
    lose_answers: int = 0


class LoadedModel(NamedTuple):
    """A model or adapter that the engine has loaded.

    Attributes:
        model: The name of the model or adapter.
        version: The version of the model.
        base: The model that an adapter extends; empty for a model.
    """

    model: str
    version: str = ""
    base: str = ""


class Outcome(NamedTuple):
    """The outcome of an order, as an HTTP answer.

    Attributes:
        status: The HTTP status.
        message: The reason if the status is not 200.
        retry_after: The value of `Retry-After`; empty for none.
    """

    status: int
    message: str = ""
    retry_after: str = ""


class OrderDesk:
    """Executes orders, one at a time."""

    def __init__(self, models: tuple[str, ...], settings: DeskSettings) -> None:
        self._settings = settings
        self._answers_to_lose = settings.lose_answers
        self._pools = urllib3.PoolManager(retries=False)
        self._order_lock = threading.Lock()
        self._loaded = tuple(LoadedModel(name) for name in models)
        self._role = "mixed"
        self._last_fence = 0
        # The fencing numbers of the orders executed, in order.
        self.fences: list[int] = []

    def names(self) -> tuple[str, ...]:
        """Returns the models and adapters that requests may name."""
        return tuple(row.model for row in self._loaded)

    def state(self) -> dict[str, Any]:
        """Returns the loaded models and the role."""
        return {
            "models": [row._asdict() for row in self._loaded],
            "role": self._role,
        }

    def serve(self, exchange: web.Exchange) -> None:
        """Answers `STATE_PATH` and `ORDERS_PATH`."""
        if exchange.path == STATE_PATH:
            exchange.answer_json(200, self.state())
            return
        try:
            order = json.loads(exchange.body)
            outcome = self._execute(order)
        except (ValueError, KeyError, TypeError):
            outcome = Outcome(400, "malformed order")
        if outcome.status == _OK:
            if self._answers_to_lose > 0:
                self._answers_to_lose -= 1
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

    def _execute(self, order: dict[str, Any]) -> Outcome:
        with self._order_lock:
            fence = int(order["fence"])
            if self._settings.fencing and fence < self._last_fence:
                return Outcome(
                    409,
                    f"stale order: fence {self._last_fence} was already seen",
                )
            self._last_fence = max(fence, self._last_fence)
            outcome = self._apply(order)
            if outcome.status == _OK:
                self.fences.append(fence)
            return outcome

    def _apply(self, order: dict[str, Any]) -> Outcome:
        if order["action"] == "role":
            if order["role"] not in ROLES:
                return Outcome(400, "unknown role")
            time.sleep(self._settings.order_s)
            self._role = order["role"]
            return Outcome(200)
        target = LoadedModel(order["model"], order["version"], order["base"])
        others = tuple(row for row in self._loaded if row.model != target.model)
        if order["action"] == "unload":
            time.sleep(self._settings.order_s)
            self._loaded = tuple(
                row for row in others if row.base != target.model
            )
            return Outcome(200)
        if target.base and target.base not in self.names():
            return Outcome(400, f"base model {target.base} is not loaded")
        if target not in self._loaded:
            fetched = self._fetch(target)
            if fetched.status != _OK:
                return fetched
        time.sleep(self._settings.order_s)
        self._loaded = (*others, target)
        return Outcome(200)

    def _fetch(self, target: LoadedModel) -> Outcome:
        if not self._settings.weights:
            return Outcome(200)
        url = f"http://{self._settings.weights}/weights/{target.model}"
        try:
            answer = self._pools.request("GET", url, timeout=_FETCH_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            return Outcome(503, f"the weight store is unreachable: {error}")
        retry_after = answer.headers.get("Retry-After", "")
        return Outcome(
            answer.status, "the weight store refused the fetch", retry_after
        )
