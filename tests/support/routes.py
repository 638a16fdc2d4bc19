"""A small HTTP server for tests with configured answers by path."""

from collections.abc import Iterator
import contextlib
import json
from typing import Any, NamedTuple

from bulrushdeal import httpd


class Seen(NamedTuple):
    """A request that the server received."""

    method: str
    path: str
    query: str
    credential: str
    body: bytes


class Routes:
    """Answers each path as configured and records the requests.

    Attributes:
        seen: The requests, in order of arrival.
        address: The server's address as `HOST:PORT`.
    """

    def __init__(self) -> None:
        self.seen: list[Seen] = []
        self.address = ""
        self._answers: dict[tuple[str, str], list[httpd.Response]] = {}

    def add(self, method: str, path: str, status: int, value: Any) -> None:
        """Adds an answer to a path.

        Answers are given in the order added; the last one is repeated. Bytes
        are sent as they are, other values as JSON.
        """
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._answers.setdefault((method, path), []).append(
            httpd.Response(
                status,
                (("Content-Length", str(len(body))), ("Retry-After", "2"))
                if status >= 429
                else (("Content-Length", str(len(body))),),
                (body,),
            )
        )

    def serve(self, request: httpd.Request) -> httpd.Response:
        """Handles a request to the server."""
        body = b"".join(httpd.read_chunks(request.body))
        self.seen.append(
            Seen(
                request.method,
                request.path,
                request.query,
                request.headers.get("authorization", ""),
                body,
            )
        )
        answers = self._answers.get((request.method, request.path))
        if answers is None:
            return httpd.json_response(404, {"error": {"message": "no path"}})
        return answers.pop(0) if len(answers) > 1 else answers[0]


@contextlib.contextmanager
def serving() -> Iterator[Routes]:
    """Runs the server on a free port."""
    routes = Routes()
    server = httpd.Server("127.0.0.1:0", routes.serve, threads=4)
    server.start()
    routes.address = f"127.0.0.1:{server.port}"
    try:
        yield routes
    finally:
        server.stop(1.0)
