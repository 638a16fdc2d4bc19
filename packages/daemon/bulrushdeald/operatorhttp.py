"""Helpers of the operators' routes: request bodies and error responses."""

from typing import Any, TypeVar
from urllib import parse

from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import jsontext
from bulrushdeald import customertable
from bulrushdeald import pageeditor

_MAX_BODY_BYTES = 20_000_000
_STATUS_BY_KIND = {
    "conflict": 409,
    "invalid": 400,
    "missing": 404,
    "unavailable": 503,
    "unknown": 503,
}

M = TypeVar("M")


class BadRequestError(Exception):
    """An invalid request; the operator gets the message."""

    def __init__(self, message: str, field: str = "") -> None:
        super().__init__(message)
        self.field = field


def error(
    status: int, code: str, message: str, **details: Any
) -> httpd.Response:
    """Returns an error response in the format of the operators' API."""
    body = {"code": code, "message": message, **details}
    return httpd.json_response(status, {"error": body})


def edit_error(problem: pageeditor.EditError) -> httpd.Response:
    """Returns the error response to a rejected edit."""
    details: dict[str, Any] = {}
    if problem.column:
        details["column"] = problem.column
    if problem.kind == "conflict":
        details["expected"] = problem.expected
        details["current"] = problem.current
        details["yours"] = problem.yours
    return error(
        _STATUS_BY_KIND[problem.kind], problem.kind, problem.message, **details
    )


def table_errors(
    problems: tuple[customertable.TableError, ...],
) -> httpd.Response:
    """Returns the error response to an invalid table.

    The message, line and column are those of the first error.
    """
    first = problems[0]
    return error(
        400,
        "invalid",
        first.message,
        line=first.line,
        column=first.column,
        errors=[codec.to_object(problem) for problem in problems],
    )


def body_bytes(request: httpd.Request) -> bytes:
    """Returns the request's whole body."""
    if request.length_bytes > _MAX_BODY_BYTES:
        raise BadRequestError("The body is too large.")
    try:
        if request.length_bytes >= 0:
            return request.body.read(request.length_bytes)
        data = request.body.read(_MAX_BODY_BYTES + 1)
    except (OSError, ValueError) as error:
        raise BadRequestError(f"The body broke off: {error}") from error
    if len(data) > _MAX_BODY_BYTES:
        raise BadRequestError("The body is too large.")
    return data


def body_object(request: httpd.Request) -> dict[str, Any]:
    """Returns the JSON object in the request's body."""
    try:
        value = jsontext.parse(body_bytes(request) or b"{}")
    except ValueError as problem:
        raise BadRequestError(f"The body is not JSON: {problem}") from None
    if not isinstance(value, dict):
        raise BadRequestError("The body is not a JSON object.")
    return value


def body_message(request: httpd.Request, kind: type[M], **overrides: Any) -> M:
    """Returns the body as a message; `overrides` replace its fields."""
    body = {**body_object(request), **overrides}
    unknown = set(body) - set(getattr(kind, "_fields", ()))
    if unknown:
        field = sorted(unknown)[0]
        raise BadRequestError(f"Unknown field {field!r}.", field)
    try:
        return codec.from_plain(kind, body)
    except codec.CodecError as problem:
        raise BadRequestError(str(problem)) from None


def query(request: httpd.Request) -> dict[str, str]:
    """Returns the query parameters."""
    return dict(parse.parse_qsl(request.query, keep_blank_values=True))


def revision(value: Any, field: str) -> int | None:
    """Returns a revision given by an operator, or `None` if omitted."""
    if value is None or value == "":
        return None
    try:
        return int(value)
    except (TypeError, ValueError):
        raise BadRequestError("A revision must be an integer.", field) from None
