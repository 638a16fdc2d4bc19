"""Orders to engines over real processes: command line, daemons, engines."""

import json
import pathlib
from typing import Any

from standins import deployment as deployment_lib
from standins import fleet as fleet_lib
from standins import weights
from support import processes

QUICK = {
    "order-settle-s": "1",
    "order-drain-s": "30",
    "order-timeout-s": "20",
    "weight-fetches": "1",
}
ENGINES = ("engine-0", "engine-1", "engine-2")
WAIT_S = 90.0


def states(deployment: deployment_lib.Deployment) -> list[str]:
    shown = deployment.check(deployment.operate("upstream", "orders", "--json"))
    return [row["state"] for row in json.loads(shown.output)["orders"]]


def wait_done(deployment: deployment_lib.Deployment, count: int) -> None:
    def have_ended() -> bool:
        return set(states(deployment)) <= {"done", "failed"}

    fleet_lib.poll(have_ended, WAIT_S, "the orders have ended")
    assert states(deployment) == ["done"] * count
    deployment.wait_in_force()


def ask(system: processes.System, model: str) -> list[int]:
    call: dict[str, Any] = {**processes.call_of("word", 3), "model": model}
    return [
        system.deployment.call(
            "POST", daemon.callers, processes.CHAT, call, system.headers
        ).status
        for daemon in system.daemons
    ]


def test_operator_loads_and_unloads_a_model_that_callers_use(
    tmp_path: pathlib.Path,
) -> None:
    # An operator loads a model on three engines; the weight store serves one
    # fetch at a time and never has to refuse. Callers use the new model when
    # the orders are done. Once it is unloaded they are told that there is no
    # such model, and the engines' other model is served all the time. That
    # is unloaded last, while callers stream from it; no stream is cut.
    store = weights.WeightStore(limits=weights.Limits(1, 0.3))
    store.start()
    arguments = ["--weights", store.address]
    with processes.running(
        tmp_path, engines=3, engine_arguments=arguments, settings=QUICK
    ) as system:
        deployment = system.deployment
        assert ask(system, "quiz") == [404, 404]
        for name in ENGINES:
            words = ("upstream", "load", name, "quiz", "--model-version", "2")
            deployment.check(deployment.operate(*words))
        wait_done(deployment, 3)
        seen = store.stats()
        assert (seen["fetched"], seen["refused"]) == (3, 0)
        assert seen["most_at_once"] == 1
        assert ask(system, "quiz") == [200, 200]
        for name in ENGINES:
            deployment.check(
                deployment.operate("upstream", "unload", name, "quiz")
            )
        wait_done(deployment, 6)
        assert ask(system, "quiz") == [404, 404]
        assert ask(system, "textbook") == [200, 200]
        # Some 3 s long: the orders come while they run, and cut none.
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
        assert ask(system, "textbook") == [404, 404]
    store.stop()
