"""Tests answers without end to requests with an idempotency key."""

from collections.abc import Callable, Iterator
import contextlib
import socket
import threading
import time
import tracemalloc

import pytest

from bulrushdeald import idempotency
from bulrushdeald import intents
from bulrushdeald import relays
from support import pathfakes

_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class EndlessService:
    """A service whose answers go on until the connection ends.

    Args:
        size_bytes: The size of each chunk.
        pause_s: The pause after each.

    Attributes:
        ended: Whether a connection has ended.
        address: The host and port that it listens on.
    """

    def __init__(self, size_bytes: int, pause_s: float) -> None:
        self._chunk = b"%x\r\n%s\r\n" % (size_bytes, b"x" * size_bytes)
        self._pause_s = pause_s
        self.ended = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve, args=(sock,), daemon=True
                ).start()

    def _serve(self, sock: socket.socket) -> None:
        with sock, contextlib.suppress(OSError):
            sock.recv(65536)
            sock.sendall(_HEAD)
            while True:
                sock.sendall(self._chunk)
                time.sleep(self._pause_s)
        self.ended.set()

    def close(self) -> None:
        self._listener.close()


@pytest.fixture
def serve() -> Iterator[Callable[[int, float], EndlessService]]:
    opened: list[EndlessService] = []

    def start(size_bytes: int, pause_s: float) -> EndlessService:
        opened.append(EndlessService(size_bytes, pause_s))
        return opened[-1]

    yield start
    for service in opened:
        service.close()


@pytest.mark.parametrize(
    ("size_bytes", "pause_s"), [(50_000, 0.0), (50_000, 0.01)]
)
def test_an_answer_without_end_is_given_up_after_its_caller(
    serve: Callable[[int, float], EndlessService],
    monkeypatch: pytest.MonkeyPatch,
    size_bytes: int,
    pause_s: float,
) -> None:
    # Guards against threads and slots that are kept for callers who left.
    limits = {"_MAX_REST_BYTES": 1_000_000, "_MAX_REST_S": 0.5}
    name = "_MAX_REST_S" if pause_s else "_MAX_REST_BYTES"
    monkeypatch.setattr(relays, name, limits[name], raising=False)
    service = serve(size_bytes, pause_s)
    row = pathfakes.plain_row(service.address)
    with pathfakes.running(row) as vm:
        with contextlib.closing(vm.connect()) as caller:
            headers = {
                "Authorization": f"Bearer {pathfakes.KEY}",
                "Idempotency-Key": "k",
            }
            caller.request("POST", "/services/booking/orders", b"", headers)
            assert caller.getresponse().read(1000)
        assert service.ended.wait(10.0)
        pathfakes.wait_until(lambda: not vm.callers.dump().open_calls)
        again = vm.ask(
            "POST", "/services/booking/orders", b"", Idempotency_Key="k"
        )
        assert (again.status, again.error["code"]) == (409, "outcome_unknown")


def test_a_kept_answer_takes_its_size(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against tiny pieces that take thirty times their size.
    guard = idempotency.Guard(intents.Intents.__new__(intents.Intents), "k")
    monkeypatch.setattr(guard, "_claim", object())
    pieces = [b"x" * 2 for _ in range(30_000)]
    tracemalloc.start()
    try:
        for piece in pieces:
            guard.note(bytes(bytearray(piece)))
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < 100_000
