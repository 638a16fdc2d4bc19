"""Responses that this system generates itself."""

from typing import NamedTuple

from bulrushdeal import httpd

# A shorter `Retry-After` is raised to this: hundreds of refused callers retry
# within this time of one another.
_MIN_RETRY_AFTER_S = 0.05


class Refusal(NamedTuple):
    """A final error answer by this system.

    Attributes:
        status: The HTTP status. 429 and 503 guarantee that the request did
            not run and never will; 502 and 504 guarantee nothing.
        why: The reason, for the caller and the log.
        retry_after_s: The seconds after which to retry; 0 if a retry does not
            help.
    """

    status: int
    why: str
    retry_after_s: float = 0.0


def refusal_response(row: Refusal) -> httpd.Response:
    """Returns the HTTP response for a refusal."""
    headers: tuple[tuple[str, str], ...] = ()
    if row.retry_after_s > 0:
        retry_after_s = max(row.retry_after_s, _MIN_RETRY_AFTER_S)
        headers = (("Retry-After", f"{retry_after_s:.3f}"),)
    return httpd.json_response(row.status, {"error": row.why}, headers)


def whole_response(
    status: int, content_type: str, body: bytes
) -> httpd.Response:
    """Returns a response with the given body."""
    headers = (
        ("Content-Type", content_type),
        ("Content-Length", str(len(body))),
    )
    return httpd.Response(status, headers, (body,))
