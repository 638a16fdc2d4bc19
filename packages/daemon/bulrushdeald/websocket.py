"""Websocket connections that one thread reads, over blocking sockets.

`websockets` has the protocol; its own threaded connections have two to three
threads each and hand every message from one to the next, which took most of
a call's processor time and of a connection's memory.
"""

import collections
from collections.abc import Callable, Sequence
import contextlib
import socket
import struct
import threading

from websockets import client
from websockets import exceptions
from websockets import frames
from websockets import http11
from websockets import protocol as protocol_lib
from websockets import server
from websockets import uri

OPEN_TIMEOUT_S = 2.0
PING_INTERVAL_S = 10.0
PING_TIMEOUT_S = 5.0
# An accepting end gives up a peer that was silent for so long: its pings
# come every 10 s. Else the connection of a VM that lost its power stays.
SILENCE_S = 30.0
_SEND_TIMEOUT_S = 1.0
# The buffer stays with a waiting thread, and most messages are much smaller.
_READ_BYTES = 4096
_BROKEN = (OSError, exceptions.WebSocketException)


class BrokenError(Exception):
    """The connection broke, or the other end does not keep the protocol."""


class Connection:
    """One end of a connection; any thread sends, one receives."""

    def __init__(
        self,
        connected: socket.socket,
        protocol: protocol_lib.Protocol,
        silence_s: float,
    ) -> None:
        self._socket = connected
        self._protocol = protocol
        self._silence_s = silence_s
        self._lock = threading.Lock()
        self._messages: collections.deque[bytes] = collections.deque()
        self._is_pinged = False

    def prepare(self) -> None:
        """Sets up the socket."""
        self._socket.settimeout(None)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # Lets a send fail whose receiver has stopped reading. Else a paused
        # peer, once the buffers are full, would hold up each thread that
        # calls it for longer than the call's timeout.
        self._set_time(socket.SO_SNDTIMEO, _SEND_TIMEOUT_S)
        self._set_time(socket.SO_RCVTIMEO, OPEN_TIMEOUT_S)

    def send(self, data: bytes) -> None:
        """Sends one message.

        Raises:
            BrokenError: Part of it may have left all the same.
        """
        try:
            with self._lock:
                self._protocol.send_binary(data)
                self._flush()
        except _BROKEN as error:
            # What was sent in part cannot be gone on with.
            self._shut()
            raise BrokenError(repr(error)) from error

    def receive(self) -> bytes | None:
        """Waits for a message; `None` if the connection ended orderly.

        Raises:
            BrokenError: It ended otherwise, or the other end is silent.
        """
        try:
            while not self._messages:
                if not self._read():
                    return None
        except _BROKEN as error:
            raise BrokenError(repr(error)) from error
        return self._messages.popleft()

    def be_open(self) -> None:
        """Waits from now on for as long as the other end is alive."""
        self._set_time(socket.SO_RCVTIMEO, self._silence_s)

    def close(self) -> None:
        """Ends the connection; the thread that receives is told so."""
        # An error if it has ended already, which is as good.
        with contextlib.suppress(*_BROKEN), self._lock:
            if self._protocol.state is protocol_lib.State.OPEN:
                self._protocol.send_close(frames.CloseCode.NORMAL_CLOSURE)
                self._flush()
        self._shut()

    def release(self) -> None:
        """Frees the socket, once nobody receives any more."""
        with self._lock:
            self._socket.close()

    def _shut(self) -> None:
        # An error if the other end was faster.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def _flush(self) -> None:
        for data in self._protocol.data_to_send():
            if data:
                self._socket.sendall(data)

    def _read(self) -> bool:
        """Takes what arrives next; false at the end."""
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            self._ping()
            return True
        if self._is_pinged:
            self._is_pinged = False
            self._set_time(socket.SO_RCVTIMEO, self._silence_s)
        with self._lock:
            if data:
                self._protocol.receive_data(data)
            else:
                self._protocol.receive_eof()
            events = self._protocol.events_received()
            self._flush()
        for event in events:
            self._take(event)
        is_open = self._protocol.state is protocol_lib.State.OPEN
        return bool(self._messages) or (bool(data) and is_open)

    def _take(self, event: object) -> None:
        if not isinstance(event, frames.Frame):
            return
        if event.opcode in frames.CTRL_OPCODES:
            return
        if event.opcode is not frames.Opcode.BINARY or not event.fin:
            raise exceptions.ProtocolError("not one binary frame a message")
        self._messages.append(bytes(event.data))

    def _ping(self) -> None:
        is_client = isinstance(self._protocol, client.ClientProtocol)
        is_open = self._protocol.state is protocol_lib.State.OPEN
        if not is_client or not is_open or self._is_pinged:
            raise TimeoutError("the other end is silent")
        self._is_pinged = True
        self._set_time(socket.SO_RCVTIMEO, PING_TIMEOUT_S)
        with self._lock:
            self._protocol.send_ping(b"")
            self._flush()

    def _set_time(self, which: int, time_s: float) -> None:
        whole_s = int(time_s)
        value = struct.pack("ll", whole_s, int((time_s - whole_s) * 1e6))
        self._socket.setsockopt(socket.SOL_SOCKET, which, value)

    def ask(self) -> None:
        """Opens the connecting end."""
        protocol = self._protocol
        assert isinstance(protocol, client.ClientProtocol)
        with self._lock:
            protocol.send_request(protocol.connect())
            self._flush()
        while protocol.state is protocol_lib.State.CONNECTING:
            if not self._handshake():
                break
        if protocol.handshake_exc is not None:
            raise protocol.handshake_exc
        if protocol.state is not protocol_lib.State.OPEN:
            raise ConnectionError("ended before it was open")

    def _handshake(self) -> bool:
        data = self._socket.recv(_READ_BYTES)
        with self._lock:
            if data:
                self._protocol.receive_data(data)
            else:
                self._protocol.receive_eof()
        return bool(data)

    def answer(self) -> None:
        """Opens the accepting end."""
        protocol = self._protocol
        assert isinstance(protocol, server.ServerProtocol)
        requests: Sequence[object] = ()
        while not requests:
            if not self._handshake():
                raise ConnectionError("ended before it was open")
            with self._lock:
                requests = protocol.events_received()
        request = requests[0]
        assert isinstance(request, http11.Request)
        with self._lock:
            protocol.send_response(protocol.accept(request))
            self._flush()
        if protocol.handshake_exc is not None:
            raise protocol.handshake_exc


def connect(address: str, max_bytes: int) -> Connection:
    """Opens a connection; no proxy is asked.

    Args:
        address: `HOST:PORT`.
        max_bytes: A longer message breaks the connection.

    Raises:
        BrokenError: Nobody answers, or not with a websocket.
    """
    host, _, port = address.rpartition(":")
    try:
        connected = socket.create_connection((host, int(port)), OPEN_TIMEOUT_S)
        target = uri.parse_uri(f"ws://{address}/")
    except (*_BROKEN, ValueError) as error:
        raise BrokenError(repr(error)) from error
    protocol = client.ClientProtocol(target, max_size=max_bytes)
    connection = Connection(connected, protocol, PING_INTERVAL_S)
    return _opened(connection, connection.ask)


def accept(connected: socket.socket, max_bytes: int) -> Connection:
    """Opens the other end of a connection.

    Args:
        connected: What a listener accepted; closed if this fails.
        max_bytes: A longer message breaks the connection.

    Raises:
        BrokenError: What came is not the beginning of a websocket.
    """
    protocol = server.ServerProtocol(max_size=max_bytes)
    connection = Connection(connected, protocol, SILENCE_S)
    return _opened(connection, connection.answer)


def _opened(connection: Connection, shake: Callable[[], None]) -> Connection:
    try:
        connection.prepare()
        shake()
    except _BROKEN as error:
        connection.release()
        raise BrokenError(repr(error)) from error
    return connection
