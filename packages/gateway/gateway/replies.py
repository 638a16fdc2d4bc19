"""The answers that this system gives itself."""

from typing import NamedTuple

from bulrushdeal import httpd

# Callers in their hundreds come back within this of one another.
MIN_RETRY_S = 0.05


class Refusal(NamedTuple):
    """A final answer of this system.

    Attributes:
        status: The HTTP status. 429 and 503 promise that the request did
            not run and never will; 502 and 504 promise nothing.
        why: For the caller and the log.
        retry_after_s: When to come back; 0 if that does not help.
    """

    status: int
    why: str
    retry_after_s: float = 0.0


def refusal(row: Refusal) -> httpd.Response:
    """Returns the answer that a refusal makes."""
    headers: tuple[tuple[str, str], ...] = ()
    if row.retry_after_s > 0:
        after_s = max(row.retry_after_s, MIN_RETRY_S)
        headers = (("Retry-After", f"{after_s:.3f}"),)
    return httpd.json_response(row.status, {"error": row.why}, headers)


def whole(status: int, content_type: str, body: bytes) -> httpd.Response:
    """Returns an answer with a body of this system's own."""
    headers = (
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
    )
    return httpd.Response(status, headers, (body,))
