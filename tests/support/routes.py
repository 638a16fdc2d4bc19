"""A small HTTP server for tests, whose answers are set path by path."""

from collections.abc import Iterator
import contextlib
import json
from typing import Any, NamedTuple

from bulrushdeal import httpd


class Seen(NamedTuple):
    """One request as it arrived."""

    method: str
    path: str
    query: str
    credential: str
    body: bytes


class Routes:
    """Answers each path as told and keeps what it was asked."""

    def __init__(self) -> None:
        self.seen: list[Seen] = []
        self.address = ""
        self._answers: dict[tuple[str, str], list[httpd.Response]] = {}

    def add(self, method: str, path: str, status: int, value: Any) -> None:
        """Adds the next answer of a path; the last one stays."""
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
        """Is the handler of the server."""
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
    """Runs the server on a free port for the time of a test."""
    routes = Routes()
    server = httpd.Server("127.0.0.1:0", routes.serve, threads=4)
    server.start()
    routes.address = f"127.0.0.1:{server.port}"
    try:
        yield routes
    finally:
        server.stop(1.0)
