"""What the operators' routes have in common: reading bodies, errors."""

import json
from typing import Any, TypeVar
from urllib import parse

from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeald import edits
from bulrushdeald import table

_MAX_BODY_BYTES = 20_000_000
_STATUSES = {
    "conflict": 409,
    "invalid": 400,
    "missing": 404,
    "unavailable": 503,
    "unknown": 503,
}

M = TypeVar("M")


class BadRequestError(Exception):
    """A request that is wrong in itself; the message is shown."""

    def __init__(self, message: str, field: str = "") -> None:
        super().__init__(message)
        self.field = field


def error(
    status: int, code: str, message: str, **details: Any
) -> httpd.Response:
    """Returns an error as the operators' clients read it."""
    body = {"code": code, "message": message, **details}
    return httpd.json_response(status, {"error": body})


def edit_error(problem: edits.EditError) -> httpd.Response:
    """Returns the answer to an edit that was not accepted."""
    details: dict[str, Any] = {}
    if problem.column:
        details["column"] = problem.column
    if problem.kind == "conflict":
        details["expected"] = problem.expected
        details["current"] = problem.current
        details["yours"] = problem.yours
    return error(
        _STATUSES[problem.kind], problem.kind, problem.message, **details
    )


def table_errors(problems: tuple[table.TableError, ...]) -> httpd.Response:
    """Returns the answer to a table with errors, the first in front."""
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
    """Returns the whole body."""
    if request.length_bytes > _MAX_BODY_BYTES:
        raise BadRequestError("The body is too large.")
    if request.length_bytes >= 0:
        return request.body.read(request.length_bytes)
    data = request.body.read(_MAX_BODY_BYTES + 1)
    if len(data) > _MAX_BODY_BYTES:
        raise BadRequestError("The body is too large.")
    return data


def body_object(request: httpd.Request) -> dict[str, Any]:
    """Returns the body's JSON object."""
    try:
        value = json.loads(body_bytes(request) or b"{}")
    except (ValueError, RecursionError) as problem:
        raise BadRequestError(f"The body is not JSON: {problem}") from None
    if not isinstance(value, dict):
        raise BadRequestError("The body is not an object.")
    return value


def body_message(request: httpd.Request, kind: type[M], **given: Any) -> M:
    """Returns the body as a message; `given` beats what the body says."""
    body = {**body_object(request), **given}
    unknown = set(body) - set(getattr(kind, "_fields", ()))
    if unknown:
        field = sorted(unknown)[0]
        raise BadRequestError(f"There is no field {field!r}.", field)
    try:
        return codec.from_plain(kind, body)
    except codec.CodecError as problem:
        raise BadRequestError(str(problem)) from None


def query(request: httpd.Request) -> dict[str, str]:
    """Returns the query's fields."""
    return dict(parse.parse_qsl(request.query, keep_blank_values=True))


def revision(value: Any, field: str) -> int | None:
    """Returns a revision given by an operator, `None` if it is not."""
    if value is None or value == "":
        return None
    try:
        return int(value)
    except (TypeError, ValueError):
        raise BadRequestError("A revision is an integer.", field) from None
