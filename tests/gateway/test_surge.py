"""Most new connections meet one VM for some seconds."""

from concurrent import futures
import http.client
import threading
import time

import pytest

from gateway import front
from support import gatewayscene

_CALLERS = 30
_THREADS = 6


def _call(
    vms: list[gatewayscene.Vm], attempt: str
) -> tuple[int, list[str], float]:
    """Calls as a caller does whose connection may be closed unread.

    Returns:
        The status, the VMs that closed it unread, and the time in seconds.
    """
    begun_s, closed = time.monotonic(), []
    for number, vm in enumerate(vms * 3):
        try:
            name = f"{attempt}.{number}"
            answer = vm.call("POST", "/s/once/x", b"p", attempt=name)
        except (ConnectionError, http.client.HTTPException):
            closed.append(vm.name)
            continue
        return answer.status, closed, time.monotonic() - begun_s
    return 0, closed, time.monotonic() - begun_s


def test_what_one_vm_cannot_serve_in_a_surge_is_served_elsewhere(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against refusals by a full VM that has read the request."""
    for _ in range(5):
        engine = scene.add_engine(events=5)
        engine.pause_s = 0.1
    second = scene.add_vm("vm1", "d1")
    monkeypatch.setattr(front, "_CALLER_THREADS", _THREADS)
    first = scene.add_vm("vm0", "d0")
    with futures.ThreadPoolExecutor(_CALLERS) as pool:
        for _ in range(2):
            calls = [
                pool.submit(_call, [first, second], f"a{number}")
                for number in range(_CALLERS)
            ]
            rows = [call.result() for call in calls]
            assert {status for status, _, _ in rows} == {200}
            assert any(closed for _, closed, _ in rows)
            assert max(took_s for _, _, took_s in rows) < 4.0


def test_a_kept_connection_is_answered_by_a_full_vm(
    scene: gatewayscene.Scene, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against closing a connection whose request may have been read."""
    scene.add_engine(events=5).pause_s = 0.02
    monkeypatch.setattr(front, "_CALLER_THREADS", _THREADS)
    vm = scene.add_vm()
    kept = vm.connect()
    stopping = threading.Event()

    def press() -> None:
        while not stopping.is_set():
            _call([vm], "press")

    threads = [threading.Thread(target=press) for _ in range(3 * _THREADS)]
    for thread in threads:
        thread.start()
    headers = {**gatewayscene.HEADERS, "Bulrushdeal-Deadline-Ms": "4000"}
    end_s = time.monotonic() + 30.0
    while time.monotonic() < end_s:
        # The first may be closed unread, and all others for a moment after
        # one that waited; what was served once is answered.
        try:
            kept.request("POST", "/safe/x", b"p", headers)
            assert kept.getresponse().read()
            break
        except (ConnectionError, http.client.HTTPException):
            kept.close()
            time.sleep(0.01)
    assert kept.sock is not None
    for _ in range(10):
        kept.request("POST", "/safe/x", b"p", headers)
        response = kept.getresponse()
        assert response.status in (200, 503)
        response.read()
        if response.will_close:
            break
    stopping.set()
    for thread in threads:
        thread.join()
    kept.close()
