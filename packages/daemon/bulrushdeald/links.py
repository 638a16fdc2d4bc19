"""A client connection to a peer, shared by all threads that call it."""

from collections.abc import Callable
import itertools
import threading
import time
from typing import Any, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import threads
from bulrushdeald import services
from bulrushdeald import websocket
from bulrushdeald import wire

_CONNECTION_ERRORS = (websocket.BrokenError, codec.CodecError)


class Traffic:
    """Counts sent and received messages and bytes."""

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
    """The peer that a link connects to.

    Attributes:
        vm: The VM that must be at the address; empty to accept any VM.
        address: `HOST:PORT`.
    """

    vm: str
    address: str


class _PendingCall:
    """A call that is waiting for its answer."""

    def __init__(self) -> None:
        self.done = threading.Event()
        self.frame: wire.Frame | None = None


class Link:
    """A connection to a peer, opened and read by its own thread."""

    def __init__(
        self,
        target: Target,
        hello: wire.Hello,
        traffic: Traffic,
        on_end: Callable[["Link"], None],
    ) -> None:
        self.target = target
        self.last_used_s = time.monotonic()
        self.was_connected = False
        self.failure = ""
        # See `services.PeerError`.
        self.has_host_answered = False
        self._hello = hello
        self._traffic = traffic
        self._on_end = on_end
        self._ids = itertools.count(2)
        self._lock = threading.Lock()
        self._pending: dict[int, _PendingCall] = {}
        self._socket: websocket.Connection | None = None
        self._connect_finished = threading.Event()
        self._has_ended = False

    def start(self) -> None:
        """Starts connecting."""
        try:
            threads.start_once(self._run, f"peer {self.target.vm}")
        except RuntimeError as error:
            # The process has no room for more threads. Without its end, calls
            # would go on waiting for this link.
            self.failure = repr(error)
            self._end()

    def retire_if_idle(self, idle_s: float) -> bool:
        """Stops taking calls if the link has been unused for `idle_s`.

        Returns:
            Whether the link was idle; the caller must then close it.
        """
        with self._lock:
            is_unused = time.monotonic() - self.last_used_s >= idle_s
            if not is_unused or self._pending:
                return False
            # Later calls fail as unreachable, because they were not sent.
            self._has_ended = True
            return True

    def close(self) -> None:
        """Closes the connection; pending calls fail."""
        connection = self._socket
        if connection is not None:
            connection.close()

    def call(
        self, message: Any, timeout_s: float
    ) -> result.Result[wire.Frame, services.PeerError]:
        """Sends a message and returns the frame of its answer."""
        deadline_s = time.monotonic() + timeout_s
        if not self._connect_finished.wait(timeout_s) or self._socket is None:
            return self._unreachable(self.failure or "still connecting")
        request_id = next(self._ids)
        try:
            data = wire.pack(request_id, message)
        except codec.CodecError as error:
            return result.Err(services.PeerError("refused", str(error)))
        pending_call = _PendingCall()
        with self._lock:
            if self._has_ended:
                return self._unreachable("the connection ended")
            self._pending[request_id] = pending_call
            self.last_used_s = time.monotonic()
        try:
            self._traffic.sent(len(data))
            self._socket.send(data)
        except _CONNECTION_ERRORS as error:
            # Part of the message may have been sent before the connection
            # broke, so the call may have taken effect.
            return result.Err(
                services.PeerError("timeout", f"{self.target.vm}: {error!r}")
            )
        else:
            pending_call.done.wait(max(0.0, deadline_s - time.monotonic()))
        finally:
            with self._lock:
                self._pending.pop(request_id, None)
        if pending_call.frame is None:
            return result.Err(
                services.PeerError(
                    "timeout",
                    f"{self.target.vm}: no answer",
                    self.has_host_answered,
                )
            )
        return result.Ok(pending_call.frame)

    def _unreachable(
        self, message: str
    ) -> result.Result[wire.Frame, services.PeerError]:
        return result.Err(
            services.PeerError(
                "unreachable",
                f"{self.target.vm}: {message}",
                self.has_host_answered,
            )
        )

    def _run(self) -> None:
        try:
            connection = websocket.connect(
                self.target.address, wire.MAX_FRAME_BYTES
            )
            try:
                self._run_connection(connection)
            finally:
                connection.release()
        except _CONNECTION_ERRORS as error:
            self.failure = repr(error)
            cause = error.__cause__ or error
            self.has_host_answered = isinstance(cause, ConnectionError)
        finally:
            self._end()

    def _run_connection(self, connection: websocket.Connection) -> None:
        self._exchange_hellos(connection)
        self._socket = connection
        self.was_connected = True
        self._connect_finished.set()
        while (data := connection.receive()) is not None:
            self._on_answer(data)
        self.failure = "the peer closed the connection"
        self.has_host_answered = True

    def _exchange_hellos(self, connection: websocket.Connection) -> None:
        connection.send(wire.pack(1, self._hello))
        data = connection.receive()
        if data is None:
            raise codec.CodecError("the peer closed without a Hello")
        hello = codec.from_plain(wire.Hello, wire.unpack(data).fields)
        # While the list of VMs is out of date, the address may already belong
        # to another VM. A call must never reach the wrong VM.
        if self.target.vm and hello.vm != self.target.vm:
            raise codec.CodecError(f"the VM at this address is {hello.vm}")
        connection.use_idle_timeout()

    def _on_answer(self, data: bytes) -> None:
        self._traffic.received(len(data))
        frame = wire.unpack(data)
        with self._lock:
            pending_call = self._pending.get(-frame.request_id)
        # A late answer to a call that timed out is dropped. Ids are unique on
        # a connection, so it cannot be taken for another call's answer.
        if pending_call is None:
            return
        pending_call.frame = frame
        pending_call.done.set()

    def _end(self) -> None:
        with self._lock:
            self._has_ended = True
            pending = tuple(self._pending.values())
        for pending_call in pending:
            pending_call.done.set()
        self._connect_finished.set()
        self._on_end(self)
