"""An upstream that sends exactly the bytes that a test specifies."""

import socket
import threading


class RawUpstream:
    """Responds to each request with the next of its scripts.

    A script holds the bytes of one response. `CLOSE` at its end closes the
    connection after them.

    Attributes:
        connections: The number of connections accepted so far.
        requests: The heads of the requests received so far.
    """

    CLOSE = b"<close>"

    def __init__(self, *scripts: bytes) -> None:
        self._scripts = list(scripts)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.connections = 0
        self.requests: list[bytes] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    def close(self) -> None:
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while True:
                request = b""
                while not request.endswith(b"\r\n\r\n"):
                    try:
                        data = connection.recv(4096)
                    except ConnectionResetError:
                        return
                    if not data:
                        return
                    request += data
                self.requests.append(request)
                script = self._scripts.pop(0)
                connection.sendall(script.removesuffix(self.CLOSE))
                if script.endswith(self.CLOSE):
                    return
