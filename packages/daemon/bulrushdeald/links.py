"""One client connection to a peer, shared by all threads that call it."""

from collections.abc import Callable
import itertools
import threading
import time
from typing import Any, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeald import services
from bulrushdeald import websocket
from bulrushdeald import wire

_BROKEN = (websocket.BrokenError, codec.CodecError)


class Traffic:
    """Counts messages and bytes each way."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._sent_messages = 0
        self._sent_bytes = 0
        self._received_messages = 0
        self._received_bytes = 0

    def sent(self, size_bytes: int) -> None:
        """Counts one message sent."""
        with self._lock:
            self._sent_messages += 1
            self._sent_bytes += size_bytes

    def received(self, size_bytes: int) -> None:
        """Counts one message received."""
        with self._lock:
            self._received_messages += 1
            self._received_bytes += size_bytes

    def dump(self) -> dict[str, int]:
        """Returns the counts."""
        with self._lock:
            return {
                "sent_messages": self._sent_messages,
                "sent_bytes": self._sent_bytes,
                "received_messages": self._received_messages,
                "received_bytes": self._received_bytes,
            }


class Target(NamedTuple):
    """Where a link leads.

    Attributes:
        vm: The VM that has to answer; empty for whoever does.
        address: `HOST:PORT`.
    """

    vm: str
    address: str


class _Waiter:
    """A call that waits for its answer."""

    def __init__(self) -> None:
        self.done = threading.Event()
        self.frame: wire.Frame | None = None


class Link:
    """A connection on a thread of its own, from connecting to its end."""

    def __init__(
        self,
        target: Target,
        hello: wire.Hello,
        traffic: Traffic,
        on_end: Callable[["Link"], None],
    ) -> None:
        self.target = target
        self.used_s = time.monotonic()
        self.was_open = False
        self.problem = ""
        self._hello = hello
        self._traffic = traffic
        self._on_end = on_end
        self._ids = itertools.count(2)
        self._lock = threading.Lock()
        self._waiters: dict[int, _Waiter] = {}
        self._socket: websocket.Connection | None = None
        self._settled = threading.Event()
        self._has_ended = False
        self._thread = threading.Thread(
            target=self._run, name=f"peer {target.vm}", daemon=True
        )

    def start(self) -> None:
        """Begins to connect."""
        self._thread.start()

    def retire(self, idle_s: float) -> bool:
        """Takes no more calls if nobody used the link for some time.

        Returns:
            Whether it was idle; it is then to be closed.
        """
        with self._lock:
            is_unused = time.monotonic() - self.used_s >= idle_s
            if not is_unused or self._waiters:
                return False
            # A call that comes from now on is surely not sent.
            self._has_ended = True
            return True

    def close(self) -> None:
        """Ends the connection; calls that wait are told so."""
        connection = self._socket
        if connection is not None:
            connection.close()

    def call(
        self, message: Any, timeout_s: float
    ) -> result.Result[wire.Frame, services.PeerError]:
        """Sends a message and waits for the frame of its answer."""
        deadline_s = time.monotonic() + timeout_s
        if not self._settled.wait(timeout_s) or self._socket is None:
            return self._unreachable(self.problem or "still connecting")
        request_id = next(self._ids)
        waiter = _Waiter()
        with self._lock:
            if self._has_ended:
                return self._unreachable("the connection ended")
            self._waiters[request_id] = waiter
            self.used_s = time.monotonic()
        try:
            data = wire.pack(request_id, message)
            self._traffic.sent(len(data))
            self._socket.send(data)
        except _BROKEN as error:
            # Part of the message may have left before the connection broke.
            return result.Err(
                services.PeerError("timeout", f"{self.target.vm}: {error!r}")
            )
        else:
            waiter.done.wait(max(0.0, deadline_s - time.monotonic()))
        finally:
            with self._lock:
                self._waiters.pop(request_id, None)
        if waiter.frame is None:
            return result.Err(
                services.PeerError("timeout", f"{self.target.vm}: no answer")
            )
        return result.Ok(waiter.frame)

    def _unreachable(
        self, message: str
    ) -> result.Result[wire.Frame, services.PeerError]:
        return result.Err(
            services.PeerError("unreachable", f"{self.target.vm}: {message}")
        )

    def _run(self) -> None:
        try:
            connection = websocket.connect(
                self.target.address, wire.MAX_FRAME_BYTES
            )
            try:
                self._use(connection)
            finally:
                connection.release()
        except _BROKEN as error:
            self.problem = repr(error)
        finally:
            self._end()

    def _use(self, connection: websocket.Connection) -> None:
        self._greet(connection)
        self._socket = connection
        self.was_open = True
        self._settled.set()
        while (data := connection.receive()) is not None:
            self._receive(data)
        self.problem = "the peer closed the connection"

    def _greet(self, connection: websocket.Connection) -> None:
        connection.send(wire.pack(1, self._hello))
        data = connection.receive()
        if data is None:
            raise codec.CodecError("the peer does not greet")
        hello = codec.from_plain(wire.Hello, wire.unpack(data).fields)
        # An address may belong to another VM by now, while the list lags;
        # a call must never reach a VM that it was not meant for.
        if self.target.vm and hello.vm != self.target.vm:
            raise codec.CodecError(f"{hello.vm} answers at this address")
        connection.be_open()

    def _receive(self, data: bytes) -> None:
        self._traffic.received(len(data))
        frame = wire.unpack(data)
        with self._lock:
            waiter = self._waiters.get(-frame.request_id)
        # The answer to a call that was given up is dropped here; ids are
        # never used twice on a connection, so it cannot reach another call.
        if waiter is None:
            return
        waiter.frame = frame
        waiter.done.set()

    def _end(self) -> None:
        with self._lock:
            self._has_ended = True
            waiters = tuple(self._waiters.values())
        for waiter in waiters:
            waiter.done.set()
        self._settled.set()
        self._on_end(self)
