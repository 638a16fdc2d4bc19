"""Tests that a planned stop of a VM interrupts no request."""

import http.client
import json
import threading
from typing import Any

from standins import engine
from standins import plain
from support import pathfakes

TIMING = engine.Timing(token_s=0.005, token_per_stream_s=0.0, prefill_s=0.0)
PATH = "/v1/chat/completions"


class Client:
    """Sends requests on one connection until a response closes it."""

    def __init__(self, vm: pathfakes.SmallVm, call: Any, path: str) -> None:
        self._vm = vm
        self._call = json.dumps(call)
        self._path = path
        self.response_count = 0
        self.failures: list[str] = []
        self.thread = threading.Thread(target=self._run)
        self.thread.start()

    def _run(self) -> None:
        connection = self._vm.connect()
        headers = {"Authorization": f"Bearer {pathfakes.KEY}"}
        while True:
            try:
                connection.request("POST", self._path, self._call, headers)
                response = connection.getresponse()
                body = response.read()
            except (OSError, http.client.HTTPException) as error:
                self.failures.append(repr(error))
                return
            if response.status != 200 or b"error" in body:
                self.failures.append(f"{response.status} {body[-300:]!r}")
            self.response_count += 1
            if response.getheader("Connection") == "close":
                connection.close()
                return


def test_stop_under_load() -> None:
    """Guards against lost requests when a VM stops under load.

    Streams are open, and callers send one request after another on reused
    connections. Each must get a complete response, and the last one on a
    connection must carry `Connection: close`.
    """
    servers = (engine.Engine(timing=TIMING), plain.PlainService())
    for server in servers:
        server.start()
    vm = pathfakes.SmallVm(
        pathfakes.engine_row(servers[0].address),
        pathfakes.plain_row(servers[1].address),
        unready_s=0.5,
    )
    vm.kernel.start()
    stream = pathfakes.chat(stream=True, max_tokens=60)
    clients = [
        Client(vm, call, path)
        for call, path in (
            *[(stream, PATH)] * 8,
            *[(pathfakes.chat(max_tokens=5), PATH)] * 4,
            *[({}, "/services/booking/")] * 4,
        )
    ]
    pathfakes.wait_until(lambda: all(c.response_count for c in clients))
    vm.kernel.stop(20.0)
    for client in clients:
        client.thread.join(10)
    assert [client.failures for client in clients] == [[]] * len(clients)
    assert vm.callers.dump().open_calls == ()
    for server in servers:
        server.stop()


def test_open_stream_ends_with_an_error_after_the_grace() -> None:
    """A stream that is open after the grace ends with an error event."""
    server = engine.Engine(timing=TIMING)
    server.start()
    vm = pathfakes.SmallVm(pathfakes.engine_row(server.address), unready_s=0.0)
    vm.kernel.start()
    connection = vm.connect()
    headers = {"Authorization": f"Bearer {pathfakes.KEY}"}
    call = pathfakes.chat(stream=True, max_tokens=10_000)
    connection.request("POST", PATH, json.dumps(call), headers)
    response = connection.getresponse()
    stopping = threading.Thread(target=vm.kernel.stop, args=(0.5,))
    stopping.start()
    pathfakes.wait_until(lambda: vm.callers.dump().state == "stopping")
    # A second stop signal logs this state, which has no key and no prompt.
    (state,) = vm.callers.dump().open_calls
    assert (state.customer, state.path) == ("schools", PATH)
    assert state.upstream == "engine-1"
    body = response.read()
    last = json.loads(body.split(b"\n\n")[-2].removeprefix(b"data: "))
    assert (last["error"]["code"], last["error"]["ran"]) == ("stopping", "ran")
    stopping.join()
    connection.close()
    server.stop()


def test_new_connections_are_served_before_the_balancer_notices() -> None:
    """Guards against refusing callers before the balancer notices the stop.

    The balancer checks the health only periodically and until then still
    sends new callers to this VM.
    """
    server = plain.PlainService()
    server.start()
    vm = pathfakes.SmallVm(pathfakes.plain_row(server.address), unready_s=2.0)
    vm.kernel.start()
    stopping = threading.Thread(target=vm.kernel.stop, args=(600.0,))
    stopping.start()
    pathfakes.wait_until(lambda: vm.callers.dump().state == "stopping")
    health = vm.ask("GET", "/healthz")
    assert (health.status, health.headers["connection"]) == (503, "close")
    reply = vm.ask("POST", "/services/booking/", {})
    assert (reply.status, reply.headers["connection"]) == (200, "close")
    # Without open requests the stop does not wait for the end of the grace.
    stopping.join()
    server.stop()
