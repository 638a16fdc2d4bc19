"""Tests model orders to engines with real processes."""

import json
import pathlib
from typing import Any

from standins import deployment as deployment_lib
from standins import fleet as fleet_lib
from standins import weights
from support import processes

SHORT_TIMES = {
    "order-settle-s": "1",
    "order-drain-s": "30",
    "order-timeout-s": "20",
    "weight-fetches": "1",
}
ENGINES = ("engine-0", "engine-1", "engine-2")
WAIT_S = 90.0


def order_states(deployment: deployment_lib.Deployment) -> list[str]:
    shown = deployment.check(deployment.operate("upstream", "orders", "--json"))
    return [row["state"] for row in json.loads(shown.output)["orders"]]


def wait_done(deployment: deployment_lib.Deployment, count: int) -> None:
    def have_ended() -> bool:
        return set(order_states(deployment)) <= {"done", "failed"}

    fleet_lib.poll(have_ended, WAIT_S, "the orders have ended")
    assert order_states(deployment) == ["done"] * count
    deployment.wait_in_force()


def statuses_of(system: processes.System, model: str) -> list[int]:
    call: dict[str, Any] = {**processes.chat_call("word", 3), "model": model}
    return [
        system.deployment.call(
            "POST", daemon.callers, processes.CHAT, call, system.headers
        ).status
        for daemon in system.daemons
    ]


def test_operator_loads_and_unloads_a_model_that_callers_use(
    tmp_path: pathlib.Path,
) -> None:
    # An operator loads a model on three engines. Guards against concurrent
    # fetches from a weight store that allows only one, and against a model that
    # is not usable once its orders are done. After it is unloaded, callers get
    # 404 for it, and the other model is still served. That model is unloaded
    # last, while callers stream from it, and no stream may be cut.
    store = weights.WeightStore(limits=weights.Limits(1, 0.3))
    store.start()
    arguments = ["--weights", store.address]
    with processes.running(
        tmp_path, engines=3, engine_arguments=arguments, settings=SHORT_TIMES
    ) as system:
        deployment = system.deployment
        assert statuses_of(system, "quiz") == [404, 404]
        for name in ENGINES:
            words = ("upstream", "load", name, "quiz", "--model-version", "2")
            deployment.check(deployment.operate(*words))
        wait_done(deployment, 3)
        seen = store.stats()
        assert (seen["fetched"], seen["refused"]) == (3, 0)
        assert seen["most_at_once"] == 1
        assert statuses_of(system, "quiz") == [200, 200]
        for name in ENGINES:
            deployment.check(
                deployment.operate("upstream", "unload", name, "quiz")
            )
        wait_done(deployment, 6)
        assert statuses_of(system, "quiz") == [404, 404]
        assert statuses_of(system, "textbook") == [200, 200]
        # Each stream takes about 3 s, so the orders arrive while it runs.
        streams = [
            system.stream(daemon, f"book {daemon.vm}", 300)
            for daemon in system.daemons
        ]
        for stream in streams:
            fleet_lib.poll(stream.has_begun, WAIT_S, "the stream has begun")
        for name in ENGINES:
            deployment.check(
                deployment.operate("upstream", "unload", name, "textbook")
            )
        for stream in streams:
            stream.check()
        wait_done(deployment, 9)
        assert statuses_of(system, "textbook") == [404, 404]
    store.stop()
