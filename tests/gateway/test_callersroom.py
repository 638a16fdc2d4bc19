"""Tests what gateways hold for callers, and what they refuse for want of it."""

import contextlib
import socket
import time

import pytest

from bulrushdeal import exchanges
from bulrushdeald import peers
from bulrushdeald import websocket
from gateway import dialect
from gateway import front as front_lib
from gateway import jobmessages
from gateway import jobreads
from gateway import jobrecords
from gateway import jobs
from gateway import jobstore
from gateway import metrics
from gateway import names
from gateway import opencalls
from gateway import runner as runner_lib
from support import gatewayscene

LARGE_BYTES = 300_000


def half_body(vm: gatewayscene.Vm, path: str, size_bytes: int) -> socket.socket:
    """Sends a body without its last byte."""
    sock = socket.create_connection(("127.0.0.1", vm.front().port), 30)
    headers = gatewayscene.HEADERS | {"Content-Length": str(size_bytes)}
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    sock.sendall("\r\n".join((*lines, "", "")).encode())
    sock.sendall(b"x" * (size_bytes - 1))
    return sock


def held_bytes(vm: gatewayscene.Vm) -> int:
    return vm.front().held().held_bytes


def test_a_body_without_room_is_refused_and_has_not_run(
    scene: gatewayscene.Scene,
) -> None:
    # Guards against bodies beyond the memory, and against a false promise.
    engine = scene.add_engine()
    vm = scene.add_vm(callers_memory_bytes=400_000)
    with half_body(vm, "/unsafe/1", LARGE_BYTES) as sock:
        gatewayscene.until(lambda: held_bytes(vm) > LARGE_BYTES - 20_000)
        answer = vm.call("POST", "/unsafe/2", b"y" * LARGE_BYTES)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert vm.call("POST", "/unsafe/3", b"small", "a3").status == 200
        sock.sendall(b"x")
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
    assert [run.path for run in engine.runs] == ["/unsafe/3", "/unsafe/1"]
    gatewayscene.until(lambda: held_bytes(vm) == 0)
    assert vm.front().held().cut_short["no_memory"] >= 1


def test_a_stalled_body_yields_to_one_that_comes(
    scene: gatewayscene.Scene,
) -> None:
    # Guards against half-sent bodies that hold the memory for ever.
    engine = scene.add_engine()
    vm = scene.add_vm(callers_memory_bytes=400_000)
    with half_body(vm, "/unsafe/1", LARGE_BYTES) as sock:
        gatewayscene.until(
            lambda: (
                vm.call("POST", "/unsafe/2", b"y" * LARGE_BYTES).status == 200
            )
        )
        assert sock.recv(65536).startswith(b"HTTP/1.1 503")
    assert [run.path for run in engine.runs] == ["/unsafe/2"]


@pytest.mark.parametrize("path", ["/unsafe/1", "/b/1"])
def test_a_body_ends_with_the_time_of_its_route(
    scene: gatewayscene.Scene, path: str
) -> None:
    # Guards against bodies that dribble without end.
    engine = scene.add_engine()
    value = gatewayscene.configuration(2)
    for row in value["routes"]:
        row["timeout_ms"] = 300
    scene.configure(value)
    vm = scene.add_vm()
    with half_body(vm, path, 1000) as sock:
        assert sock.recv(65536).startswith(b"HTTP/1.1 408")
    assert not engine.runs


def test_an_answer_without_room_is_relayed(scene: gatewayscene.Scene) -> None:
    # Guards against answers that are refused though they have run.
    engine = scene.add_engine()
    engine.long_answer_bytes = LARGE_BYTES
    vm = scene.add_vm(callers_memory_bytes=100_000)
    answer = vm.call("POST", "/safe/1")
    assert (answer.status, len(answer.body)) == (200, LARGE_BYTES)
    gatewayscene.until(lambda: held_bytes(vm) == 0)


def test_a_late_caller_that_does_not_read_is_ended() -> None:
    # Guards against a thread and a place at the upstream held for nothing.
    first, second = socket.socketpair()
    with first, second:
        exchange = exchanges.Room().begin(first)
        call = opencalls.Call("a1", time.monotonic(), None, exchange)
        exchange.begin_send()
        front_lib._end_late(call)
        assert (call.reason, exchange.end_reason) == ("timeout", "late_answer")
        assert second.recv(1) == b""


def test_a_late_caller_that_has_a_whole_answer_is_not_ended() -> None:
    # Guards against answers that are ready and are not delivered.
    first, second = socket.socketpair()
    with first, second:
        exchange = exchanges.Room().begin(first)
        call = opencalls.Call("a1", time.monotonic(), None, exchange)
        call.mark_answered()
        exchange.begin_send()
        front_lib._end_late(call)
        assert not exchange.end_reason


def test_results_that_were_read_stay_within_their_bound(
    scene: gatewayscene.Scene,
) -> None:
    # Guards against the results of many large jobs, all kept.
    vm = scene.add_vm()
    store = vm.kernel.find(names.JOB_STORE, jobstore.JobStore)
    for number in range(20):
        meta = jobrecords.JobMeta(
            f"j{number}", "school", "h", "/b/", 0, ("i",), 1, 1, 1.0, 1.0
        )
        view = store.cache(meta)
        output = "x" * 1_000_000
        row = dialect.ItemResult("i", True, output)
        store.add_peer_results(view, 0, (row,))
    kept = [n for n in range(20) if store.cached(f"j{n}") is not None]
    assert kept == list(range(16, 20))


def test_a_vm_without_memory_leaves_jobs_to_others(
    scene: gatewayscene.Scene,
) -> None:
    # Guards against the items of many accepted jobs, all held by one VM.
    vm = scene.add_vm()
    runner = vm.kernel.find("runner", runner_lib.Runner)
    runner._max_input_bytes = 1
    items = [gatewayscene.item(f"i{number}") for number in range(3)]
    assert vm.submit("j1", items).status == 202
    gatewayscene.until(lambda: runner.running(("j1",)) == {"j1"})
    assert not runner.is_accepting()
    assert vm.submit("j2", items).status == 202
    time.sleep(2.0)
    assert runner.running(("j1", "j2")) == {"j1"}
    # It is in the store, and its input can be read.
    answer = vm.call("GET", "/items/j2?id=i0")
    assert (answer.status, answer.body) == (200, b"hi")
    scene.add_engine()
    gatewayscene.until(
        lambda: len(vm.results("j2").json().get("results", ())) == 3
    )


def test_reads_beyond_those_that_fit_wait_and_are_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against results that many callers read at once, each whole.
    monkeypatch.setattr(jobreads, "_WAIT_S", 0.05)
    room = exchanges.Room(24_000_000)
    reads = jobreads.of_store(room.limit_bytes)
    with contextlib.ExitStack() as stack:
        begun = [
            stack.enter_context(reads.begin(room.begin())) for _ in range(4)
        ]
        assert begun == [True, True, True, False]
        assert room.held_bytes() == 6_000_000
        assert room.counts() == {"reads_full": 1}
    assert room.held_bytes() == 0
    with reads.begin(room.begin()) as has_room:
        assert has_room


def test_a_page_of_stored_results_is_read_from_where_it_begins(
    scene: gatewayscene.Scene,
) -> None:
    # Guards against all results of a job that are read for each of its pages.
    vm = scene.add_vm()
    store = vm.kernel.find(names.JOB_STORE, jobstore.JobStore)
    meta = jobrecords.JobMeta(
        "j1", "school", "h", "/b/", 0, ("a", "b", "c"), 1, 1, 1.0, 1.0
    )
    rows = [dialect.ItemResult(item, True, item * 10) for item in meta.items]
    for position, row in enumerate(rows):
        key = store.keys.result("j1", position)
        scene.store.write(key, jobrecords.pack(row))
    view = store.cache(meta)
    assert store.read_page(view, 1).unwrap().rows == tuple(rows[1:])
    # Results with a gap before them are not kept.
    assert not view.results
    assert store.read_page(view, 0).unwrap().rows == tuple(rows)
    assert view.results == rows


def test_a_late_position_of_large_results_is_read_from_the_vm_that_has_them(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against an empty page because results before it fill the first.
    holder, asked = scene.add_vms(2, 2)
    meta = jobrecords.JobMeta(
        "j1", "school", "h", "/b/", 0, ("a", "b", "c"), 1, 1, 1.0, 1.0
    )
    rows = tuple(
        dialect.ItemResult(item, True, item * 500_000) for item in meta.items
    )
    held = holder.kernel.find(names.JOB_STORE, jobstore.JobStore)
    held.add_peer_results(held.cache(meta), 0, rows)
    found = asked.kernel.find(names.JOBS, jobs.Jobs)
    vms = ["vm0"]
    monkeypatch.setattr(
        found._job_peers, "_candidate_vms", lambda job: iter(vms)
    )
    room = exchanges.Room()
    page = found.read("j1", "school", 2, 0.0, room.begin())
    assert page.unwrap().results == rows[2:]


def test_a_page_without_room_is_refused(scene: gatewayscene.Scene) -> None:
    # Guards against pages that are built beyond the memory.
    scene.add_engine()
    vm = scene.add_vm()
    assert vm.submit("j1", [gatewayscene.item()]).status == 202
    gatewayscene.until(lambda: len(vm.results("j1").json()["results"]) == 1)
    full = exchanges.Room(1)
    full.begin().grow(1)
    call = dialect.JobCall("results", "j1", "", 0, 0.0)
    response = vm.front()._jobs.call(call, "school", full.begin())
    assert response.status == 503
    assert jobmessages.NO_MEMORY.kind == "unavailable"


def test_held_shows_in_the_metrics(scene: gatewayscene.Scene) -> None:
    # Guards against a crowd that no figure shows.
    scene.add_engine()
    vm = scene.add_vm()
    with half_body(vm, "/unsafe/1", LARGE_BYTES):
        gatewayscene.until(lambda: held_bytes(vm) > 0)
        text = vm.kernel.find(names.METRICS, metrics.Metrics).text().decode()
    assert "bulrushdeal_callers_bytes_limit 3.2e+07" in text
    assert "bulrushdeal_callers_connections 1.0" in text


def test_connections_of_strangers_at_the_peers_port_are_bounded(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a thread and a descriptor for each silent connection.
    monkeypatch.setattr(peers, "_MAX_OPENING", 3)
    vm = scene.add_vm()
    found = vm.kernel.find("peers", peers.WebsocketPeers)
    host = found._address.partition(":")[0]
    opened = [
        socket.create_connection((host, found.port), 10) for _ in range(5)
    ]
    assert [sock.recv(1) for sock in opened[:2]] == [b"", b""]
    assert found.dump()["opening"] <= 3
    for sock in opened:
        sock.close()


def test_a_handshake_that_dribbles_ends(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against handshakes whose timeout starts anew with each byte.
    monkeypatch.setattr(websocket, "_MAX_OPENING_S", 0.3)
    vm = scene.add_vm()
    found = vm.kernel.find("peers", peers.WebsocketPeers)
    host = found._address.partition(":")[0]
    with socket.create_connection((host, found.port), 10) as sock:
        gatewayscene.until(lambda: _is_refused(sock))


def _is_refused(sock: socket.socket) -> bool:
    """Sends one more byte; returns whether the other end has closed."""
    try:
        sock.sendall(b"G")
        sock.settimeout(0.05)
        return sock.recv(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True
