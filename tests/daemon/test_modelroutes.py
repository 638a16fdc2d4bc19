"""Tests of orders over HTTP: to engines, and from operators."""

import io
import json
from typing import Any

import pytest

from bulrushdeal import httpd
from bulrushdeal import records
from bulrushdeald import enginecalls
from bulrushdeald import modelrecords
from bulrushdeald import modelroutes
from bulrushdeald import operatorhttp
from bulrushdeald import upstreams
from standins import engine as engine_lib
from standins import orderdesk
from standins import weights
from support import orderfakes
from support import orderscene
from support import pathfakes


def served(desk: orderdesk.DeskSettings) -> engine_lib.Engine:
    engine = engine_lib.Engine(models=("base",), desk=desk)
    engine.start()
    return engine


def row_of(engine: engine_lib.Engine) -> records.Upstream:
    return records.Upstream("e", "engine", engine.address, "v", "d")


def calls_over_http() -> enginecalls.EngineCalls:
    kernel: Any = None
    return enginecalls.EngineCalls(
        upstreams.HttpUpstreams(kernel, pathfakes.settings())
    )


@pytest.mark.parametrize("fencing", [1, 0])
def test_engine_over_http_refuses_old_numbers_only_if_it_checks(
    fencing: int,
) -> None:
    engine = served(orderdesk.DeskSettings(fencing=fencing))
    calls = calls_over_http()
    new = modelrecords.Order(2, "load", "a", "2", fence=7)
    held = calls.send_order(row_of(engine), new, 5.0).unwrap()
    assert modelrecords.satisfies(held, new)
    old = modelrecords.Order(1, "load", "a", "1", fence=6)
    answer = calls.send_order(row_of(engine), old, 5.0)
    if fencing:
        assert answer.unwrap_err().kind == "fenced"
    state = calls.read_state(row_of(engine)).unwrap()
    assert modelrecords.satisfies(state, new) == bool(fencing)
    assert calls.count_requests(row_of(engine)) == 0
    engine.stop()


def test_engine_over_http_lost_slow_refused_and_store_busy() -> None:
    store = weights.WeightStore(limits=weights.Limits(0, 0.0, 2.0))
    store.start()
    engine = served(
        orderdesk.DeskSettings(
            weights=store.address, lose_answers=2, order_s=0.2
        )
    )
    calls = calls_over_http()
    row = row_of(engine)
    busy = calls.send_order(
        row, modelrecords.Order(1, "load", "a", fence=1), 5.0
    )
    assert busy.unwrap_err().kind == "later"
    assert busy.unwrap_err().retry_after_s == 2.0
    unload = modelrecords.Order(2, "unload", "base", fence=2)
    slow = calls.send_order(row, unload, 0.05)
    assert slow.unwrap_err().kind == "unknown"
    lost = calls.send_order(row, unload._replace(fence=3), 5.0)
    assert lost.unwrap_err().kind == "unknown"
    assert modelrecords.satisfies(calls.read_state(row).unwrap(), unload)
    orphan = modelrecords.Order(4, "load", "t", base="none", fence=4)
    assert calls.send_order(row, orphan, 5.0).unwrap_err().kind == "refused"
    engine.stop()
    gone = calls.send_order(row, orphan, 5.0)
    assert gone.unwrap_err().kind == "not_sent"
    store.stop()


class Operators:
    """Calls the routes as an operator would."""

    def __init__(self) -> None:
        self.site = orderfakes.Site(True, 1, 1)
        config: Any = orderfakes.FakeConfig(self.site)
        self.routes = modelroutes.ModelRoutes(
            self.site.keyvalue, config, self.site.clock
        )

    def call(
        self, method: str, upstream: str, body: Any = None
    ) -> tuple[int, Any]:
        data = json.dumps(body).encode()
        request = httpd.Request(
            method,
            f"/v1/upstreams/{upstream}/orders",
            "",
            {},
            io.BytesIO(data),
            len(data),
        )
        handler = self.routes.post if method == "POST" else self.routes.get
        answer = handler(request)
        return answer.status, json.loads(b"".join(answer.body))


def test_order_is_accepted_once_and_shown() -> None:
    operators = Operators()
    status, order = operators.call("POST", "e0", orderscene.LOAD)
    assert (status, order["number"], order["state"]) == (200, 1, "waiting")
    # The answer was lost, and the operator repeats the request.
    assert operators.call("POST", "e0", orderscene.LOAD) == (status, order)
    _, shown = operators.call("GET", "e0")
    assert [row["number"] for row in shown["orders"]] == [1]
    assert shown["engines"][0]["wanted"]["models"][0]["model"] == "a"
    operators.site.run(60.0)
    _, shown = operators.call("GET", "e0")
    assert shown["orders"][0]["state"] == "done"
    assert len(shown["engines"][0]["holds"]["models"]) == 2
    assert operators.call("POST", "e0", orderscene.LOAD)[1]["number"] == 2


@pytest.mark.parametrize(
    ("body", "field"),
    [
        ({}, "action"),
        ({"action": "melt"}, "action"),
        ({"action": "load"}, "model"),
        ({"action": "load", "model": "a b"}, "model"),
        ({"action": "load", "model": 3}, "model"),
        ({"action": "load", "model": "a", "base": "a"}, "base"),
        ({"action": "unload", "model": "a", "version": "1"}, "version"),
        ({"action": "role", "role": "cook"}, "role"),
    ],
)
def test_bad_order_names_the_field(body: Any, field: str) -> None:
    with pytest.raises(operatorhttp.BadRequestError) as caught:
        Operators().call("POST", "e0", body)
    assert caught.value.field == field


def test_orders_that_cannot_be_accepted_say_why() -> None:
    operators = Operators()
    assert operators.call("POST", "none", orderscene.LOAD)[0] == 404
    for number in range(modelrecords.MAX_OPEN):
        body = {**orderscene.LOAD, "version": str(number)}
        assert operators.call("POST", "e0", body)[0] == 200
    status, answer = operators.call("POST", "e0", orderscene.UNLOAD)
    assert (status, answer["error"]["code"]) == (409, "full")
    operators.site.keyvalue.has_outage = True
    status, answer = operators.call("POST", "e0", orderscene.UNLOAD)
    assert (status, answer["error"]["code"]) == (503, "unavailable")
