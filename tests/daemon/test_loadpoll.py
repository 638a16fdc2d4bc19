"""Tests of polling the engines' load reports."""

from http import server
import threading
import time
from typing import Any

from hypothesis import given
from hypothesis import strategies as st
import pytest

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import loadpoll
from bulrushdeald import topology
from support import rawupstream


@given(st.lists(st.tuples(st.integers(0, 20), st.floats(0, 3)), min_size=1))
def test_window_keeps_the_most_of_the_last_seconds(
    steps: list[tuple[int, float]],
) -> None:
    clock = clock_lib.FakeClock()
    window = loadpoll.RecentMaximum(clock)
    counts: list[loadpoll.KnownCount] = []
    for count, pause_s in steps:
        clock.sleep_s(pause_s)
        window.record("e1", count)
        counts.append(loadpoll.KnownCount(clock.now_s, count))
        since_s = clock.now_s - loadpoll.WINDOW_S
        expected = max(k.running for k in counts if k.at_s >= since_s)
        assert window.maximum("e1") == expected
    assert window.maximum("e2") == 0


class Engine:
    """Serves the given reports in order and counts its connections."""

    def __init__(self, reports: list[bytes], ends_each: bool = False) -> None:
        self.connections = 0
        engine = self

        class Handler(server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def setup(self) -> None:
                super().setup()
                engine.connections += 1

            def do_GET(self) -> None:
                assert self.path == "/load"
                body = reports.pop(0)
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)
                # Closes without announcing it, as on a keep-alive timeout.
                self.close_connection = ends_each

            def log_message(self, *arguments: Any) -> None:
                pass

        self.server = server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"127.0.0.1:{self.server.server_address[1]}"


class Router:
    def __init__(self, address: str) -> None:
        row = records.Upstream("e1", "engine", address, "up", "d")
        vm = records.Vm("a", "d", "entry")
        self.now = topology.build((row,), (vm,), vm)
        self.loads: list[int] = []

    def topology(self) -> topology.Topology:
        return self.now

    def update_engine_load(self, upstream: str, running: int) -> None:
        assert upstream == "e1"
        self.loads.append(running)


@pytest.mark.parametrize("ends_each", [False, True])
def test_polls_go_on_whether_the_engine_keeps_connections_or_not(
    ends_each: bool,
) -> None:
    reports = [b'{"running": %d, "queued": 1}' % count for count in range(5)]
    engine = Engine(reports, ends_each)
    router = Router(engine.address)
    polls = loadpoll.LoadPolls(router)
    for _ in range(5):
        polls.poll()
    assert router.loads == [1, 2, 3, 4, 5]
    assert engine.connections == (5 if ends_each else 1)
    polls.close()
    engine.server.shutdown()
    engine.server.server_close()


def test_an_invalid_report_changes_nothing() -> None:
    good = b'{"running": 3, "queued": 0}'
    bad = [b"no json", b'{"running": null, "queued": 0}', b"[]", b"x" * 99_999]
    # The first bad report comes over a kept connection, so the poll is retried
    # on a new connection.
    engine = Engine([good, bad[0], *bad, good])
    router = Router(engine.address)
    polls = loadpoll.LoadPolls(router)
    for _ in range(6):
        polls.poll()
    assert router.loads == [3, 3]
    polls.close()
    engine.server.shutdown()
    engine.server.server_close()


def test_an_engine_that_is_gone_is_polled_without_harm() -> None:
    engine = Engine([])
    engine.server.shutdown()
    engine.server.server_close()
    for address in (engine.address, "no address:x"):
        router = Router(address)
        polls = loadpoll.LoadPolls(router)
        polls.poll()
        polls.poll()
        assert not router.loads


_REPORT = b'{"running": 3, "queued": 0}'
_LENGTH = b"Content-Length: %d\r\n" % len(_REPORT)
_CODING = b"Transfer-Encoding: chunked\r\n"


@pytest.mark.parametrize(
    "line", [b"X-Bad Name: x", b"X-B\x01ad: x", b"X-Bad : x", b"no colon"]
)
@pytest.mark.parametrize(
    ("before", "after", "body"),
    [
        (b"", _LENGTH, _REPORT),
        (_LENGTH, b"", _REPORT),
        (b"", _LENGTH, _REPORT[:5]),
        (b"", _CODING, b"1b\r\n" + _REPORT + b"\r\n0\r\n\r\n"),
        (b"", b"", _REPORT),
    ],
)
def test_a_report_with_a_malformed_head_changes_nothing(
    line: bytes, before: bytes, after: bytes, body: bytes
) -> None:
    """Guards against polls that wait, and a load that no engine stated."""
    head = b"HTTP/1.1 200 OK\r\n"
    malformed = head + before + line + b"\r\n" + after + b"\r\n" + body
    good = head + _LENGTH + b"\r\n" + _REPORT
    close = rawupstream.RawUpstream.CLOSE
    engine = rawupstream.RawUpstream(good, malformed, malformed + close, good)
    router = Router(engine.address)
    polls = loadpoll.LoadPolls(router)
    begun_s = time.monotonic()
    for _ in range(3):
        polls.poll()
    polls.close()
    engine.close()
    assert time.monotonic() - begun_s < loadpoll.POLL_S
    assert router.loads == [3, 3]
    # No connection with a malformed answer carries another poll.
    assert engine.connections == 3
