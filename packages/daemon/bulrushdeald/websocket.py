"""Websocket connections over blocking sockets, each read by one thread.

The package `websockets` implements the protocol. Its threaded connections
use two to three threads each and pass every message between them, which took
most of a call's processor time and of a connection's memory.
"""

import collections
from collections.abc import Callable, Sequence
import contextlib
import math
import socket
import struct
import threading
import time

from websockets import client
from websockets import exceptions
from websockets import frames
from websockets import http11
from websockets import protocol as protocol_lib
from websockets import server
from websockets import uri

from bulrushdeal import addresses

OPEN_TIMEOUT_S = 2.0
# The same over all of its bytes, each of which has the timeout to itself.
_MAX_OPENING_S = 2 * OPEN_TIMEOUT_S
PING_INTERVAL_S = 10.0
PING_TIMEOUT_S = 5.0
# The accepting end closes a connection on which nothing arrived for this long;
# the connecting end pings after 10 s of silence. Without this limit, the
# connection of a VM that lost its power would stay open.
SILENCE_TIMEOUT_S = 30.0
_SEND_TIMEOUT_S = 1.0
# Each waiting thread holds a buffer of this size; most messages are much
# smaller.
_READ_BYTES = 4096
_CONNECTION_ERRORS = (OSError, exceptions.WebSocketException)


class BrokenError(Exception):
    """The connection broke, or the other end violated the protocol."""


class Connection:
    """One end of a connection; any thread may send, one thread receives."""

    def __init__(
        self,
        connected: socket.socket,
        protocol: protocol_lib.Protocol,
        idle_timeout_s: float,
    ) -> None:
        self._socket = connected
        self._protocol = protocol
        self._idle_timeout_s = idle_timeout_s
        self._lock = threading.Lock()
        self._messages: collections.deque[bytes] = collections.deque()
        self._is_awaiting_pong = False
        # Until when the connecting end has to have said who it is.
        self._open_until_s = math.inf

    def configure_socket(self) -> None:
        """Sets the socket's options and the timeouts of the handshake."""
        self._socket.settimeout(None)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        # A send fails if the receiver has stopped reading. Otherwise a paused
        # peer would, once the buffers are full, block each calling thread for
        # longer than the call's timeout.
        self._set_socket_timeout(socket.SO_SNDTIMEO, _SEND_TIMEOUT_S)
        self._set_socket_timeout(socket.SO_RCVTIMEO, OPEN_TIMEOUT_S)

    def send(self, data: bytes) -> None:
        """Sends one message.

        Raises:
            BrokenError: Part of the message may have been sent.
        """
        try:
            with self._lock:
                self._protocol.send_binary(data)
                self._flush()
        except _CONNECTION_ERRORS as error:
            # The connection is unusable after a partly sent message.
            self._shut_down()
            raise BrokenError(repr(error)) from error

    def receive(self) -> bytes | None:
        """Waits for a message; returns `None` after an orderly close.

        Raises:
            BrokenError: The connection broke or the other end is silent.
        """
        try:
            while not self._messages:
                if not self._read():
                    return None
        except _CONNECTION_ERRORS as error:
            raise BrokenError(repr(error)) from error
        return self._messages.popleft()

    def use_idle_timeout(self) -> None:
        """Replaces the timeout of the handshake by the idle timeout."""
        self._open_until_s = math.inf
        self._set_socket_timeout(socket.SO_RCVTIMEO, self._idle_timeout_s)

    def close(self) -> None:
        """Closes the connection and ends a blocked `receive`."""
        # Fails if the connection has already ended, which is harmless.
        with contextlib.suppress(*_CONNECTION_ERRORS), self._lock:
            if self._protocol.state is protocol_lib.State.OPEN:
                self._protocol.send_close(frames.CloseCode.NORMAL_CLOSURE)
                self._flush()
        self._shut_down()

    def release(self) -> None:
        """Closes the socket; call it only after the last `receive`."""
        with self._lock:
            self._socket.close()

    def _shut_down(self) -> None:
        # Fails if the other end has already closed the connection.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def _flush(self) -> None:
        for data in self._protocol.data_to_send():
            if data:
                self._socket.sendall(data)

    def _read(self) -> bool:
        """Processes the next data; returns false at the end."""
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            self._send_ping()
            return True
        self._check_open_time()
        if self._is_awaiting_pong:
            self._is_awaiting_pong = False
            self._set_socket_timeout(socket.SO_RCVTIMEO, self._idle_timeout_s)
        with self._lock:
            if data:
                self._protocol.receive_data(data)
            else:
                self._protocol.receive_eof()
            events = self._protocol.events_received()
            self._flush()
        for event in events:
            self._on_event(event)
        is_open = self._protocol.state is protocol_lib.State.OPEN
        return bool(self._messages) or (bool(data) and is_open)

    def _on_event(self, event: object) -> None:
        if not isinstance(event, frames.Frame):
            return
        if event.opcode in frames.CTRL_OPCODES:
            return
        if event.opcode is not frames.Opcode.BINARY or not event.fin:
            raise exceptions.ProtocolError(
                "expected each message in one binary frame"
            )
        self._messages.append(bytes(event.data))

    def _send_ping(self) -> None:
        is_client = isinstance(self._protocol, client.ClientProtocol)
        is_open = self._protocol.state is protocol_lib.State.OPEN
        if not is_client or not is_open or self._is_awaiting_pong:
            raise TimeoutError("the other end is silent")
        self._is_awaiting_pong = True
        self._set_socket_timeout(socket.SO_RCVTIMEO, PING_TIMEOUT_S)
        with self._lock:
            self._protocol.send_ping(b"")
            self._flush()

    def _set_socket_timeout(self, which: int, time_s: float) -> None:
        whole_s = int(time_s)
        value = struct.pack("ll", whole_s, int((time_s - whole_s) * 1e6))
        self._socket.setsockopt(socket.SOL_SOCKET, which, value)

    def open_client(self) -> None:
        """Performs the handshake of the connecting end."""
        protocol = self._protocol
        assert isinstance(protocol, client.ClientProtocol)
        with self._lock:
            protocol.send_request(protocol.connect())
            self._flush()
        while protocol.state is protocol_lib.State.CONNECTING:
            if not self._read_handshake():
                break
        if protocol.handshake_exc is not None:
            raise protocol.handshake_exc
        if protocol.state is not protocol_lib.State.OPEN:
            raise ConnectionError("the connection ended during the handshake")

    def _check_open_time(self) -> None:
        # The receive timeout starts anew with each byte.
        if time.monotonic() > self._open_until_s:
            raise TimeoutError("the other end does not say who it is")

    def _read_handshake(self) -> bool:
        data = self._socket.recv(_READ_BYTES)
        self._check_open_time()
        with self._lock:
            if data:
                self._protocol.receive_data(data)
            else:
                self._protocol.receive_eof()
        return bool(data)

    def open_server(self) -> None:
        """Performs the handshake of the accepting end."""
        protocol = self._protocol
        assert isinstance(protocol, server.ServerProtocol)
        self._open_until_s = time.monotonic() + _MAX_OPENING_S
        requests: Sequence[object] = ()
        while not requests:
            if not self._read_handshake():
                raise ConnectionError(
                    "the connection ended during the handshake"
                )
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
    """Opens a connection, without a proxy.

    Args:
        address: `HOST:PORT`.
        max_bytes: The largest message; a longer one breaks the connection.

    Raises:
        BrokenError: No connection was made, or the handshake failed.
    """
    try:
        connected = socket.create_connection(
            addresses.parse(address, min_port=1), OPEN_TIMEOUT_S
        )
        target = uri.parse_uri(f"ws://{address}/")
    except (*_CONNECTION_ERRORS, ValueError) as error:
        raise BrokenError(repr(error)) from error
    protocol = client.ClientProtocol(target, max_size=max_bytes)
    connection = Connection(connected, protocol, PING_INTERVAL_S)
    return _open(connection, connection.open_client)


def accept(connected: socket.socket, max_bytes: int) -> Connection:
    """Opens the accepting end of a connection.

    Args:
        connected: The accepted socket; closed on failure.
        max_bytes: The largest message; a longer one breaks the connection.

    Raises:
        BrokenError: The handshake failed.
    """
    protocol = server.ServerProtocol(max_size=max_bytes)
    connection = Connection(connected, protocol, SILENCE_TIMEOUT_S)
    return _open(connection, connection.open_server)


def _open(connection: Connection, handshake: Callable[[], None]) -> Connection:
    try:
        connection.configure_socket()
        handshake()
    except _CONNECTION_ERRORS as error:
        connection.release()
        raise BrokenError(repr(error)) from error
    return connection
