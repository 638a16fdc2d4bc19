"""Reads requests from a connection: heads, and bodies sent in chunks."""

import re
import socket
import threading
from typing import Literal

import cheroot.server

from bulrushdeal import exchanges
from bulrushdeal import sockets

_READ_BYTES = 16 * 1024
_MAX_CHUNK_LINE_BYTES = 1024
_MAX_TRAILER_LINES = 100
_CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]{1,15}")
_CRLF = b"\r\n"
_END_OF_HEAD = b"\r\n\r\n"

# Parsing one-byte chunks takes far longer than receiving them. If each
# connection's thread did so at the same time, every other thread would wait for
# the interpreter behind all of them.
_parsing = threading.Lock()


class _Received(threading.local):
    """What a thread receives into.

    A new block for each call, most of which is given back at once, leaves the
    heap full of holes if hundreds of threads receive.
    """

    def __init__(self) -> None:
        self.view = memoryview(bytearray(_READ_BYTES))


_received = _Received()


class EndedError(OSError):
    """The exchange was ended while its request arrived."""


class Reader:
    """The bytes that have arrived on one connection.

    The server's thread fills it without waiting until a head is whole; then
    the thread that serves the request reads on, and waits.

    Attributes:
        buffer: The bytes that were received and not read yet.
        exchange: The exchange being served; `None` between two.
        closed: Whether the connection was closed.
    """

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self.buffer = bytearray()
        self.exchange: exchanges.Exchange | None = None
        self.closed = False
        # Up to where the buffer has been searched for the end of a head.
        self._searched_bytes = 0
        self._is_wide = False

    def fill_now(self) -> Literal["data", "none", "end"]:
        """Receives what has arrived, without waiting.

        Raises:
            OSError: The connection broke.
        """
        try:
            size_bytes = self._socket.recv_into(
                _received.view, 0, socket.MSG_DONTWAIT
            )
        except (TimeoutError, BlockingIOError):
            return "none"
        self.buffer += _received.view[:size_bytes]
        return "data" if size_bytes else "end"

    def has_head(self, max_bytes: int) -> bool:
        """Returns whether the buffer has a whole head, or one too long."""
        start = max(self._searched_bytes - len(_END_OF_HEAD), 0)
        found = self.buffer.find(_END_OF_HEAD, start)
        self._searched_bytes = len(self.buffer)
        return found >= 0 or len(self.buffer) > max_bytes

    def head_bytes(self) -> int:
        """Returns the size of the head that has arrived, whole or not."""
        end = self.buffer.find(_END_OF_HEAD)
        return len(self.buffer) if end < 0 else end + len(_END_OF_HEAD)

    def has_data(self) -> bool:
        """Returns whether bytes were received that were not read."""
        return bool(self.buffer)

    def readline(self, size: int = -1) -> bytes:
        """Returns a line, at most `size` bytes; shorter only at the end."""
        searched = 0
        while True:
            end = self.buffer.find(b"\n", searched) + 1
            if 0 <= size < (end or len(self.buffer) + 1):
                return self.take(size)
            if end:
                return self.take(end)
            searched = len(self.buffer)
            if not self.fill():
                return self.take(searched)

    def read(self, size: int = -1) -> bytes:
        """Returns `size` bytes, fewer only at the end; all by default."""
        while size < 0 or len(self.buffer) < size:
            if not self.fill():
                break
        return self.take(len(self.buffer) if size < 0 else size)

    def take(self, size: int) -> bytes:
        """Removes at most `size` bytes from the buffer and returns them."""
        with memoryview(self.buffer) as view:
            data = bytes(view[:size])
        del self.buffer[:size]
        self._searched_bytes = 0
        return data

    def fill(self) -> bool:
        """Waits for bytes; returns false at the end of the connection.

        Raises:
            EndedError: The exchange was ended meanwhile.
            OSError: The connection broke, or was silent for too long.
        """
        exchange = self.exchange
        if exchange is None:
            size_bytes = self._socket.recv_into(_received.view)
        else:
            if not self._is_wide:
                self._is_wide = True
                sockets.widen_receive_buffer(self._socket)
            exchange.begin_read()
            size_bytes = self._socket.recv_into(_received.view)
            exchange.end_read(size_bytes)
            if exchange.end_reason:
                raise EndedError(exchange.end_reason)
        self.buffer += _received.view[:size_bytes]
        return size_bytes > 0

    def close(self) -> None:
        """Drops what was not read; the socket is closed by its connection."""
        self.closed = True
        self.buffer = bytearray()


class ChunkedBody(cheroot.server.ChunkedRFile):
    """Reads a chunked body in pieces of bounded size.

    cheroot reads each chunk into memory whole, without a limit on its size,
    copies all that it has for each chunk, and accepts malformed sizes such as
    `-2` and `0x2`.

    Attributes:
        rfile: The connection's reader.
    """

    rfile: Reader

    def __init__(self, rfile: Reader) -> None:
        super().__init__(rfile, 0)
        self._chunk_left_bytes = 0
        # Whether the end of a chunk is due before the next size.
        self._is_chunk_open = False
        self._trailer_lines = 0
        self._is_in_trailer = False

    def read(self, size: int | None = None) -> bytes:
        """Returns up to `size` bytes, fewer only at the end.

        Raises:
            ValueError: The body is malformed or cut.
        """
        left_bytes = -1 if size is None else size
        pieces: list[bytes] = []
        while left_bytes and not self.closed:
            with _parsing:
                piece = self._parse(left_bytes)
            if piece:
                pieces.append(piece)
                left_bytes -= len(piece) if left_bytes > 0 else 0
            elif not self.closed and not self.rfile.fill():
                raise ValueError("The chunked body is cut.")
        return b"".join(pieces)

    def _parse(self, max_bytes: int) -> bytes:
        """Returns content that has arrived, up to `max_bytes`; -1 for all."""
        buffer = self.rfile.buffer
        pieces = bytearray()
        position = 0
        try:
            while len(pieces) != max_bytes and not self.closed:
                if self._chunk_left_bytes:
                    size = min(self._chunk_left_bytes, len(buffer) - position)
                    if max_bytes >= 0:
                        size = min(size, max_bytes - len(pieces))
                    if not size:
                        break
                    pieces += buffer[position : position + size]
                    position += size
                    self._chunk_left_bytes -= size
                    continue
                end = self._parse_line(buffer, position)
                if end < 0:
                    break
                position = end
        finally:
            del buffer[:position]
        return bytes(pieces)

    def _parse_line(self, buffer: bytearray, position: int) -> int:
        """Parses a line between chunks; returns its end, -1 if not whole."""
        if self._is_chunk_open:
            found = buffer[position : position + len(_CRLF)]
            if not _CRLF.startswith(found):
                raise ValueError("A chunk has no end.")
            if len(found) < len(_CRLF):
                return -1
            self._is_chunk_open = False
            return position + len(_CRLF)
        end = buffer.find(_CRLF, position, position + _MAX_CHUNK_LINE_BYTES)
        if end < 0:
            if len(buffer) - position >= _MAX_CHUNK_LINE_BYTES:
                raise ValueError(self._line_error())
            if buffer.find(b"\n", position) >= 0:
                raise ValueError(self._line_error())
            return -1
        line = buffer[position:end]
        if self._is_in_trailer:
            self._end_trailer_line(line)
        else:
            self._begin_chunk(line)
        return end + len(_CRLF)

    def _begin_chunk(self, line: bytearray) -> None:
        size = line.split(b";", 1)[0].strip() if b";" in line else line.strip()
        if not _CHUNK_SIZE.fullmatch(size):
            raise ValueError("A chunk has no size.")
        self._chunk_left_bytes = int(size, 16)
        self._is_in_trailer = not self._chunk_left_bytes
        self._is_chunk_open = not self._is_in_trailer

    def _end_trailer_line(self, line: bytearray) -> None:
        self._trailer_lines += 1
        if self._trailer_lines > _MAX_TRAILER_LINES:
            raise ValueError(self._line_error())
        self.closed = not line

    def _line_error(self) -> str:
        if self._is_in_trailer:
            return "The trailer is cut or too long."
        return "A chunk has no size."
