"""A fake upstream with the platform's protocol and faults set by tests."""

from collections.abc import Callable, Iterator
import contextlib
import math
import socket
import threading
import time
from typing import NamedTuple
import weakref

from bulrushdeal import httpd
from bulrushdeald import calls
from bulrushdeald import departures
from support import enginecapacity

# Shorter than the silence that the gateway allows before the first event.
_MUTE_S = 0.8
# Longer than the gateway allows between two events of a stream.
_HANG_S = 3.0
# Longer than the gateway waits for an answer that may be repeated elsewhere.
_LATE_S = 1.5
_PAUSES_S = {"mute": _MUTE_S, "hang": _HANG_S}
ATTEMPT = "bulrushdeal-request-attempt-id"


class Run(NamedTuple):
    """A request that the upstream executed.

    Attributes:
        attempt: The request's id.
        path: Its path with the query.
        body: Its body.
        headers: Its headers, with names in lower case.
        last_event: The event after which it resumes a stream; 0 for none.
        at_s: When it began, on the monotonic clock.
        status: The status that it is answered with.
    """

    attempt: str
    path: str
    body: bytes
    headers: dict[str, str]
    last_event: int
    at_s: float
    status: int = 200


class Work:
    """What an upstream did of a run, and until when.

    All times are seconds of the monotonic clock.

    Attributes:
        attempt: The request's id.
        at_s: When it began.
        end_s: When it ended; infinity before.
        left_s: When the close of its connection reached the upstream;
            infinity before.
        watches: Whether the upstream ends it then.
        port: The port that its connection came from; 0 if unknown.
    """

    def __init__(
        self, attempt: str, *, watches: bool = True, port: int = 0
    ) -> None:
        self.attempt = attempt
        self.port = port
        self.at_s = time.monotonic()
        self.end_s = math.inf
        self.left_s = math.inf
        self.watches = watches
        self._left = threading.Event()

    def leave(self) -> None:
        """Records that its connection was closed."""
        self.left_s = min(self.left_s, time.monotonic())
        if self.watches:
            self._left.set()

    def has_left(self) -> bool:
        """Returns whether to end it, as its connection was closed."""
        return self._left.is_set()

    def wait(self, duration_s: float) -> None:
        """Goes on with it for a while.

        Raises:
            BrokenAnswerError: Its connection was closed.
        """
        if self._left.wait(duration_s):
            raise calls.BrokenAnswerError("the connection was closed")

    def end(self) -> None:
        """Records that it has ended."""
        self.end_s = min(self.end_s, time.monotonic())


class Fault(NamedTuple):
    """How the next request fails.

    Attributes:
        kind: `cut` breaks the stream off after some events, `part` inside
            an event; `busy` refuses the request without executing it;
            `error` and `never` answer 500 and 422, `unsigned-error` and
            `unsigned-never` do so without the server's stamp; `late` waits
            `_LATE_S` before it answers; `mute` and `hang` pause the stream for
            `_MUTE_S` and `_HANG_S` after some events; `endless` sends bytes
            without the end of an event until its caller closes; `other`
            answers with the id of another request, `unsigned` without the
            server's stamp.
        after: How many events precede a `cut`, `part`, `mute` or `hang`.
    """

    kind: str
    after: int = 0


class Engine:
    """Answers requests under `/s/` and `/b/` with events, others with a body.

    Attributes:
        instance: The name of the upstream's instance.
        events: How many events a whole stream has.
        pause_s: The pause after each event.
        faults: The faults of the next requests, in order.
        runs: The requests that were executed, in order.
        work: What was done of each run, in the same order.
        watches: Whether runs end when their connections are closed.
        open: The number of open streams.
        cold_ms: How long its answers say that it stays cold; 0 for nothing.
        load: The load that its answers and refusals state; empty for none, or
            for the true one with a capacity.
        capacity: Its slots and memory; `None` if they are not limited.
        long_answer_bytes: The length of answers that are no streams; 0 for
            short ones.
        poisons: The bodies of requests that crash it; with long answers in
            the middle of one.
        poison_delay_s: How long after they came these crash it.
        deadly_parts: The parts of prompts that crash it before the answer's
            first event.
        statuses: What requests are answered with at each run, by their
            bodies.
        on_crash: Called as it crashes, before its answers break off.
        copied: The statuses of the answers that come twice, the second time
            late, as the next request on their connection arrives.
        rejects_first: Whether it rejects each request when it first comes.
        software_version: The version of its software.
        has_crashed: Whether it has crashed and not started again.
    """

    def __init__(
        self,
        instance: str,
        events: int = 5,
        capacity: enginecapacity.Capacity | None = None,
        host: str = "127.0.0.1",
    ) -> None:
        self.instance = instance
        self._host = host
        self.capacity = capacity
        self.events = events
        self.pause_s = 0.0
        self.faults: list[Fault] = []
        self.runs: list[Run] = []
        self.work: list[Work] = []
        self.watches = True
        self.open = 0
        self.cold_ms = 0
        self.load = ""
        self.long_answer_bytes = 0
        self.poisons: set[bytes] = set()
        self.poison_delay_s = 0.0
        self.deadly_parts: set[str] = set()
        self.software_version = ""
        self.copied: frozenset[int] = frozenset()
        self.rejects_first = False
        self._rejected: set[str] = set()
        # The answers that come once more, by their connections.
        self._copies: weakref.WeakKeyDictionary[socket.socket, bytes] = (
            weakref.WeakKeyDictionary()
        )
        self.statuses: dict[bytes, int] = {}
        self.on_crash: Callable[[], None] = lambda: None
        self._closing = threading.Event()
        self._crashed = threading.Event()
        self._lock = threading.Lock()
        self._departures = departures.Departures()
        self._departures.start()
        self._server = self._start_server(0)

    def _start_server(self, port: int) -> httpd.Server:
        # A port of the server's own choice could not be bound again.
        listener = socket.create_server((self._host, port), backlog=128)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        address = f"{self._host}:{listener.getsockname()[1]}"
        server = httpd.Server(address, self._serve, 32, listener=listener)
        server.start()
        return server

    @property
    def has_crashed(self) -> bool:
        return self._crashed.is_set()

    @property
    def address(self) -> str:
        return f"{self._host}:{self._server.port}"

    def close(self) -> None:
        self._closing.set()
        if self.capacity:
            self.capacity.restart()
        if not self.has_crashed:
            self._server.stop(0.2)
        self._departures.stop()

    def crash(self) -> None:
        """Stops as a process that crashes: its answers break off.

        Connections are refused by then, as its listener closes first.
        """
        with self._lock:
            if self.has_crashed:
                return
            threading.Thread(
                target=self._server.stop, args=(0.1,), daemon=True
            ).start()
            while self._is_listening():
                time.sleep(0.001)
            self.on_crash()
            self._crashed.set()
            for work in list(self.work):
                work.end()
        if self.capacity:
            self.capacity.restart()

    def start_again(self, instance: str) -> None:
        """Starts at the same address, as another instance."""
        # A crash meanwhile would wait for the old server's end for ever.
        with self._lock:
            self.instance = instance
            self._server = self._start_server(self._server.port)
            self._crashed = threading.Event()

    def _is_listening(self) -> bool:
        host, _, port = self.address.rpartition(":")
        with socket.socket() as sock:
            return sock.connect_ex((host, int(port))) == 0

    def data(self, number: int) -> str:
        return f"data {number}"

    def _serve(self, request: httpd.Request) -> httpd.Response:
        connection = request.connection
        copy = None if connection is None else self._copies.pop(connection, b"")
        if connection is not None and copy:
            with contextlib.suppress(OSError):
                connection.sendall(copy)
        response = self._respond(request)
        if connection is not None and response.status in self.copied:
            self._copies[connection] = self._copy(response)
        return response

    def _copy(self, response: httpd.Response) -> bytes:
        """Returns the bytes of a whole response, also if it is a stream."""
        body = (
            b"".join(response.body)
            if isinstance(response.body, tuple)
            else b"".join(map(self._event, range(1, self.events + 1)))
        )
        headers = dict(response.headers) | {"Content-Length": str(len(body))}
        lines = [f"HTTP/1.1 {response.status} Copy"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join((*lines, "", "")).encode() + body

    def _respond(self, request: httpd.Request) -> httpd.Response:
        body = request.body.read()
        if request.length_bytes > len(body):
            # The sender broke off; an upstream executes no incomplete request.
            return httpd.json_response(400, {})
        with self._lock:
            fault = self.faults.pop(0) if self.faults else Fault("none")
        echo = ("Bulrushdeal-Request-Attempt-Id", request.headers[ATTEMPT])
        if request.headers.get("bulrushdeal-expect-instance") != self.instance:
            return httpd.json_response(421, {}, (echo, *self._load()))
        is_stream = request.path.startswith(("/s/", "/b/"))
        attempt = request.headers[ATTEMPT]
        if self.rejects_first and attempt not in self._rejected:
            self._rejected.add(attempt)
            fault = Fault("busy")
        ticket = None
        if self.capacity and is_stream and fault.kind != "busy":
            ticket = self.capacity.enter(request.headers)
        is_full = self.capacity and is_stream and ticket is None
        if fault.kind == "busy" or is_full:
            not_run = ("Bulrushdeal-Not-Executed", "1")
            return httpd.json_response(503, {}, (echo, not_run, *self._load()))
        last = int(request.headers.get("last-event-id", "0"))
        status = self._status(body, fault)
        self.runs.append(
            Run(
                attempt,
                request.target,
                body,
                dict(request.headers),
                last,
                time.monotonic(),
                status,
            )
        )
        work = Work(attempt, watches=self.watches, port=_peer_port(request))
        self.work.append(work)
        stop_watching = self._watch(request, work)

        def finish() -> None:
            stop_watching()
            work.end()
            if self.capacity and ticket:
                self.capacity.leave(ticket)

        try:
            return self._answer(
                request, body, fault, ticket, status, work, finish
            )
        except BaseException:
            finish()
            raise

    def _watch(self, request: httpd.Request, work: Work) -> Callable[[], None]:
        """Has the end of a run's connection recorded."""
        if request.connection is None:
            return lambda: None

        def leave() -> None:
            work.leave()
            if self.capacity:
                self.capacity.wake()

        return self._departures.watch(request.connection, leave)

    def _answer(
        self,
        request: httpd.Request,
        body: bytes,
        fault: Fault,
        ticket: enginecapacity.Ticket | None,
        status: int,
        work: Work,
        finish: Callable[[], None],
    ) -> httpd.Response:
        """Runs a request, and finishes it with its response."""
        attempt = work.attempt
        is_stream = request.path.startswith(("/s/", "/b/"))
        last = int(request.headers.get("last-event-id", "0"))
        self._wait_if_late(fault, work)
        is_poison = body in self.poisons or self._has_deadly_part(request)
        if is_poison and not self.long_answer_bytes:
            time.sleep(self.poison_delay_s)
            self.crash()
        if fault.kind == "other":
            attempt = "another"
        headers = [("Bulrushdeal-Request-Attempt-Id", attempt), *self._load()]
        if self.cold_ms:
            headers.append(("Bulrushdeal-Cold-Ms", str(self.cold_ms)))
        if not fault.kind.startswith("unsigned"):
            headers.append(("Bulrushdeal-Server-Stamp", "signed"))
        if status != 200 or not is_stream:
            finish()
            if self.long_answer_bytes:
                length = ("Content-Length", str(self.long_answer_bytes))
                headers.append(length)
                return httpd.Response(
                    status, tuple(headers), self._long_answer(is_poison)
                )
            body = b"answer to " + request.target.encode()
            if self.has_crashed:
                raise calls.BrokenAnswerError("the engine has crashed")
            headers.append(("Content-Length", str(len(body))))
            return httpd.Response(status, tuple(headers), (body,))
        headers.append(("Content-Type", "text/event-stream"))
        events = self._stream(last, fault, ticket, work)
        return httpd.Response(200, tuple(headers), calls.Body(events, finish))

    def _has_deadly_part(self, request: httpd.Request) -> bool:
        parts = request.headers.get("bulrushdeal-prompt-prefix", "").split(",")
        names = {part.partition(":")[0] for part in parts}
        return not names.isdisjoint(self.deadly_parts)

    def _status(self, body: bytes, fault: Fault) -> int:
        kind = fault.kind.removeprefix("unsigned-")
        status = {"error": 500, "never": 422}.get(kind, 200)
        return self.statuses.get(body, status)

    def _wait_if_late(self, fault: Fault, work: Work) -> None:
        if fault.kind == "late" and not self._closing.is_set():
            work.wait(_LATE_S)

    def _long_answer(self, is_poison: bool) -> Iterator[bytes]:
        first_bytes = self.long_answer_bytes * 3 // 4
        yield b"x" * first_bytes
        if is_poison:
            self.crash()
            raise calls.BrokenAnswerError("the engine has crashed")
        yield b"x" * (self.long_answer_bytes - first_bytes)

    def _load(self) -> tuple[tuple[str, str], ...]:
        load = self.load or (self.capacity.load() if self.capacity else "")
        return (("Bulrushdeal-Server-Load", load),) if load else ()

    def _stream(
        self,
        last: int,
        fault: Fault,
        ticket: enginecapacity.Ticket | None,
        work: Work,
    ) -> Iterator[bytes]:
        if self.capacity is None or ticket is None:
            yield from self._events(last, fault, work)
            return
        try:
            self.capacity.wait_prefilled(ticket, work.has_left)
            for event in self._events(last, fault, work):
                self.capacity.require(ticket)
                yield event
                excess = max(0.0, self.capacity.pace() - 1.0)
                work.wait(self.pause_s * excess)
        except enginecapacity.RestartedError as error:
            raise calls.BrokenAnswerError("restarted") from error
        finally:
            self.capacity.leave(ticket)
            work.end()

    def _event(self, number: int) -> bytes:
        """Returns an event, with the software version as a comment if set."""
        comment = (
            f": {self.software_version}\n" if self.software_version else ""
        )
        return f"{comment}id: {number}\ndata: {self.data(number)}\n\n".encode()

    def _events(self, last: int, fault: Fault, work: Work) -> Iterator[bytes]:
        self.open += 1
        crashed = self._crashed
        try:
            for number in range(last + 1, self.events + 1):
                if crashed.is_set():
                    raise calls.BrokenAnswerError("the engine has crashed")
                event = self._event(number)
                if fault.kind in ("cut", "part") and number > fault.after:
                    if fault.kind == "part":
                        yield event[:5]
                    raise calls.BrokenAnswerError("as told")
                while fault.kind == "endless" and number > fault.after:
                    if crashed.is_set() or self._closing.wait(0.01):
                        raise calls.BrokenAnswerError("as told")
                    yield b"x" * 1000
                if number == fault.after + 1:
                    work.wait(_PAUSES_S.get(fault.kind, 0.0))
                yield event
                if self.pause_s:
                    work.wait(self.pause_s)
        finally:
            self.open -= 1
            work.end()


def _peer_port(request: httpd.Request) -> int:
    try:
        return int(request.connection.getpeername()[1])  # type: ignore[union-attr]
    except (AttributeError, OSError):
        return 0
