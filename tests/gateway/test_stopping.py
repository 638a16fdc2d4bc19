"""What a VM takes after it was told to stop."""

from collections.abc import Iterator
import http.client
import threading
import time

import pytest

from gateway import runner
from gateway.decisions import answertimes
from gateway.decisions import stopping
from support import gatewayscene

# The cut is 4.7 s after the stop begins; the listener closes after 2.5 s.
_GRACE_S = 5.0


class _Stopped:
    """A VM that is told to stop, with the time since then."""

    def __init__(self, scene: gatewayscene.Scene, vm: gatewayscene.Vm) -> None:
        scene.vms.remove(vm)
        self._thread = threading.Thread(target=vm.kernel.stop, args=(_GRACE_S,))
        self._thread.start()
        self._begun_s = time.monotonic()

    def wait_until(self, after_s: float) -> None:
        time.sleep(max(self._begun_s + after_s - time.monotonic(), 0.0))

    def join(self) -> None:
        self._thread.join()


def _keep_open(vm: gatewayscene.Vm) -> http.client.HTTPConnection:
    connection = vm.connect()
    _ask(connection, "/safe/warm", "warm", 4.0)
    return connection


def _ask(
    connection: http.client.HTTPConnection,
    path: str,
    attempt: str,
    deadline_s: float,
) -> gatewayscene.Answer:
    headers = {
        **gatewayscene.HEADERS,
        "Bulrushdeal-Request-Attempt-Id": attempt,
        "Bulrushdeal-Deadline-Ms": str(int(deadline_s * 1000)),
    }
    connection.request("POST", path, b"p", headers)
    response = connection.getresponse()
    got = {name.lower(): text for name, text in response.getheaders()}
    try:
        data, is_whole = response.read(), True
    except (http.client.HTTPException, OSError):
        data, is_whole = b"", False
    return gatewayscene.Answer(response.status, got, data, is_whole)


@pytest.fixture
def slow_scene(
    scene: gatewayscene.Scene,
) -> Iterator[gatewayscene.Scene]:
    """A scene with an engine whose streams take 3.6 s."""
    engine = scene.add_engine(events=36)
    engine.pause_s = 0.1
    yield scene


def test_a_stream_that_may_outlast_the_stop_is_refused(
    slow_scene: gatewayscene.Scene,
) -> None:
    """Guards against streams taken late in a stop and cut at its end."""
    vm = slow_scene.add_vm()
    connection = _keep_open(vm)
    stopped = _Stopped(slow_scene, vm)
    stopped.wait_until(2.0)
    answer = _ask(connection, "/s/once/x", "late", 4.0)
    stopped.join()
    assert (answer.status, answer.is_whole) == (503, True)
    assert float(answer.headers["retry-after"]) < 0.2
    assert answer.headers["connection"] == "close"
    assert [run.attempt for run in slow_scene.engines[0].runs] == ["warm"]


def test_a_request_that_ends_before_the_stop_is_served(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against refusals of what can still be served in a stop."""
    scene.add_engine()
    vm = scene.add_vm()
    by_deadline, by_route = _keep_open(vm), _keep_open(vm)
    stopped = _Stopped(scene, vm)
    stopped.wait_until(2.0)
    assert _ask(by_deadline, "/s/once/x", "short", 1.0).status == 200
    # Its deadline lies after the cut, but answers of its route are short.
    assert _ask(by_route, "/safe/x", "safe", 4.0).status == 200
    stopped.join()


@pytest.mark.parametrize("path", ["/unsafe/x", "/s/once/x"])
def test_what_may_run_once_is_not_taken_on_a_guess(
    scene: gatewayscene.Scene, path: str
) -> None:
    """Guards against a run that is cut and may not be repeated."""
    engine = scene.add_engine()
    vm = scene.add_vm()
    connection = _keep_open(vm)
    assert _ask(connection, path, "quick", 4.0).status == 200
    stopped = _Stopped(scene, vm)
    stopped.wait_until(1.0)
    answer = _ask(connection, path, "slow", 4.5)
    stopped.join()
    assert (answer.status, answer.is_whole) == (503, True)
    assert float(answer.headers["retry-after"]) < 0.2
    assert [run.attempt for run in engine.runs] == ["warm", "quick"]


@pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/s/x"])
def test_a_request_that_is_whole_late_is_not_taken_on_a_guess(
    scene: gatewayscene.Scene, path: str
) -> None:
    """Guards against an answer that breaks off at the end of the grace."""
    engine = scene.add_engine()
    vm = scene.add_vm()
    _ask(vm.connect(), path, "quick", 4.0)
    connection = vm.connect()
    connection.putrequest("POST", path, skip_host=True)
    for name, text in gatewayscene.HEADERS.items():
        connection.putheader(name, text)
    connection.putheader("Content-Length", "4")
    connection.endheaders()
    connection.send(b"ha")
    stopped = _Stopped(scene, vm)
    # The balancer sends nobody any longer.
    stopped.wait_until(2.7)
    connection.send(b"lf")
    assert connection.getresponse().status == 503
    stopped.join()
    assert [run.attempt for run in engine.runs] == ["quick"]


def test_a_stop_is_announced_before_jobs_are_handed_over(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against callers sent to a VM whose stop is slow elsewhere."""
    scene.add_engine()
    vm = scene.add_vm()
    released = threading.Event()
    held = vm.kernel.find("runner", runner.Runner)
    monkeypatch.setattr(held, "hand_over", lambda: released.wait(10))
    idle = _keep_open(vm)
    stopped = _Stopped(scene, vm)
    gatewayscene.until(lambda: not vm.front().is_ready(), 0.5)
    assert idle.sock is not None
    assert idle.sock.recv(1) == b""
    assert not released.is_set()
    released.set()
    stopped.join()


def test_a_job_call_that_may_outlast_the_stop_is_refused(
    scene: gatewayscene.Scene,
) -> None:
    """Guards against a job's upload that ends when the VM has no time left."""
    vm = scene.add_vm()
    connection = vm.connect()
    body = b'{"items":[]}'
    connection.putrequest("POST", "/b/j1", skip_host=True)
    for name, text in gatewayscene.HEADERS.items():
        connection.putheader(name, text)
    connection.putheader("Content-Length", str(len(body)))
    connection.endheaders()
    connection.send(body[:4])
    stopped = _Stopped(scene, vm)
    stopped.wait_until(3.5)
    connection.send(body[4:])
    assert connection.getresponse().status == 503
    stopped.join()


def test_what_ends_by_its_deadline_may_begin_at_any_time() -> None:
    """Guards against refusals of requests with little time left."""
    times = stopping.plan(100.0, 7.4)
    begin = stopping.may_begin
    for is_repeatable in (False, True):
        assert begin(times, 106.0, 107.0, None, is_repeatable=is_repeatable)
        assert not begin(times, 103.1, 108.1, None, is_repeatable=is_repeatable)


def test_a_guess_admits_what_may_be_repeated_while_callers_are_sent_here() -> (
    None
):
    """Guards against requests cut as one takes longer than all before."""
    times = stopping.plan(100.0, 7.4)
    begin = stopping.may_begin
    assert begin(times, 102.9, 107.9, 1.5, is_repeatable=True)
    assert not begin(times, 102.9, 107.9, 2.2, is_repeatable=True)
    assert not begin(times, 103.1, 108.1, 0.5, is_repeatable=True)
    assert not begin(times, 100.1, 108.1, 0.5, is_repeatable=False)


def test_a_short_grace_leaves_time_for_open_requests() -> None:
    """Guards against a listener that closes when the grace is over."""
    times = stopping.plan(100.0, 1.0)
    assert times.close_s == 100.5
    assert times.close_s < times.cut_s < times.end_s


def test_the_longest_of_the_last_answers_counts() -> None:
    """Guards against a guess by an answer of long ago, or of another route."""
    held = answertimes.AnswerTimes()
    held.record("a", 9.0)
    held.record("b", 1.0)
    assert held.longest_s("a") == 9.0
    assert held.longest_s("b") == 1.0
    assert held.longest_s("c") is None
    for _ in range(64):
        held.record("a", 2.0)
    assert held.longest_s("a") == 2.0
