"""Turns a refusal into the answer that a caller's client understands."""

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
    """Returns the whole answer, with `Retry-After` where it helps."""
    headers: tuple[tuple[str, str], ...] = ()
    if refusal.retry_after_s > 0:
        # The header takes whole seconds; rounding down would invite a
        # request that must be refused again.
        seconds = math.ceil(refusal.retry_after_s)
        headers = (("Retry-After", str(seconds)),)
    return httpd.json_response(refusal.status, body(refusal), headers)


def body(refusal: services.Refusal) -> dict[str, dict[str, str | None]]:
    """Returns the JSON that tells a refusal."""
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
    """Returns the refusal of a request that is wrong in itself."""
    return services.Refusal(400, "invalid_request", message, field=field)


def not_found(message: str) -> services.Refusal:
    """Returns the refusal of a request for something that is not there."""
    return services.Refusal(404, "not_found", message)
