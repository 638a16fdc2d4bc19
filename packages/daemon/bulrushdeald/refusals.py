"""Converts refusals to HTTP error responses."""

import math

from bulrushdeal import httpd
from bulrushdeald import services

_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}


def response(refusal: services.Refusal) -> httpd.Response:
    """Returns the HTTP response, with `Retry-After` if a retry may succeed."""
    headers: tuple[tuple[str, str], ...] = ()
    if refusal.retry_after_s > 0:
        # The header takes whole seconds. Rounding down would lead the client
        # to retry too early and be refused again.
        seconds = math.ceil(refusal.retry_after_s)
        headers = (("Retry-After", str(seconds)),)
    return httpd.json_response(refusal.status, body(refusal), headers)


def body(refusal: services.Refusal) -> dict[str, dict[str, str | None]]:
    """Returns the JSON body of the error response."""
    return {
        "error": {
            "message": refusal.message,
            "type": _TYPES.get(refusal.status, "server_error"),
            "code": refusal.code,
            "param": refusal.field or None,
            "ran": refusal.ran,
        }
    }


def bad_input(message: str, field: str = "") -> services.Refusal:
    """Returns the refusal of an invalid request.

    Args:
        message: The error text for people.
        field: The invalid field or line, empty if none.
    """
    return services.Refusal(400, "invalid_request", message, field=field)


def not_found(message: str) -> services.Refusal:
    """Returns the refusal of a request for something that does not exist."""
    return services.Refusal(404, "not_found", message)
