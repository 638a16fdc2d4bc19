"""HTTP client of the operators' and callers' APIs.

See docs/design/interfaces.md. No request is sent twice: the client tries the
next server only if it could not connect to the previous one, so that no byte
can have reached it.
"""

from collections.abc import Iterable, Iterator, Mapping
import json
from typing import Any, NamedTuple

import urllib3
import urllib3.exceptions

from bulrushdeal import errors

_TIMEOUT = urllib3.Timeout(connect=3.0, read=30.0)
_STREAM_TIMEOUT = urllib3.Timeout(connect=3.0, read=300.0)
_CHUNK_BYTES = 64 * 1024
_CONFLICT_STATUS = 409
_FIRST_ERROR_STATUS = 400


class ConflictError(errors.UserError):
    """Another user changed the same value; the message has both values."""


class UnknownOutcomeError(errors.UserError):
    """The answer to a change was lost, so the change may be in force."""


class Answer(NamedTuple):
    """A complete response without an error status."""

    status: int
    body: bytes

    def value(self) -> Any:
        """Returns the JSON in the body.

        Raises:
            errors.UserError: The body is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise errors.UserError(
                f"The server's answer is not JSON: {error}"
            ) from error


class Client:
    """Sends requests with a credential to the first server that connects."""

    def __init__(self, servers: Iterable[str], credential: str) -> None:
        self._servers = tuple(servers)
        self._headers = {"Authorization": f"Bearer {credential}"}
        # By default, urllib3 repeats a request that failed.
        self._pools = urllib3.PoolManager(retries=False)

    def read(self, path: str) -> Answer:
        """Sends a GET request and returns the response."""
        return self._call("GET", path, None, {}, is_change=False)

    def read_value(self, path: str) -> Any:
        """Sends a GET request and returns the JSON of the response."""
        return self.read(path).value()

    def change(
        self,
        method: str,
        path: str,
        value: Any = None,
        extra_headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Sends a change as JSON and returns the JSON of the response.

        Raises:
            ConflictError: Another user changed the same value.
            UnknownOutcomeError: The answer was lost.
            errors.UserError: The request failed in another way.
        """
        body = None if value is None else json.dumps(value).encode()
        headers = dict(extra_headers or {})
        if body:
            headers["Content-Type"] = "application/json"
        answer = self._call(method, path, body, headers, is_change=True)
        return answer.value() if answer.body else {}

    def send(
        self,
        path: str,
        body: bytes | Iterable[bytes],
        headers: Mapping[str, str],
    ) -> Any:
        """Posts a body of any type and returns the JSON of the response."""
        return self._call("POST", path, body, headers, is_change=True).value()

    def stream(
        self, method: str, path: str, value: Any = None
    ) -> Iterator[bytes]:
        """Yields the chunks of a response's body as they arrive."""
        body = None if value is None else json.dumps(value).encode()
        headers = {"Content-Type": "application/json"} if body else {}
        response = self._open(
            method, path, body, headers, body is not None, _STREAM_TIMEOUT
        )
        try:
            while chunk := response.read1(_CHUNK_BYTES):
                yield chunk
        except urllib3.exceptions.HTTPError as error:
            raise errors.UserError(f"The answer broke off: {error}") from error
        finally:
            response.close()

    def _call(
        self,
        method: str,
        path: str,
        body: Any,
        headers: Mapping[str, str],
        is_change: bool,
    ) -> Answer:
        response = self._open(method, path, body, headers, is_change, _TIMEOUT)
        try:
            return Answer(response.status, response.read())
        except urllib3.exceptions.HTTPError as error:
            raise _lost_answer_error(method, path, is_change, error) from error
        finally:
            response.release_conn()

    def _open(
        self,
        method: str,
        path: str,
        body: Any,
        headers: Mapping[str, str],
        is_change: bool,
        timeout: urllib3.Timeout,
    ) -> urllib3.BaseHTTPResponse:
        last_error = ""
        for server in self._servers:
            try:
                response = self._pools.request(
                    method,
                    f"http://{server}{path}",
                    body=body,
                    headers={**self._headers, **headers},
                    timeout=timeout,
                    preload_content=False,
                    redirect=False,
                )
            except urllib3.exceptions.NewConnectionError as error:
                last_error = f"{server}: {error}"
                continue
            except urllib3.exceptions.LocationParseError as error:
                raise errors.UserError(f"{server}: {error}") from error
            except urllib3.exceptions.HTTPError as error:
                raise _lost_answer_error(
                    method, path, is_change, error
                ) from error
            if response.status >= _FIRST_ERROR_STATUS:
                raise _status_error(response)
            return response
        raise errors.UserError(f"No server answers; the last: {last_error}")


def _lost_answer_error(
    method: str, path: str, is_change: bool, error: Exception
) -> errors.UserError:
    if not is_change:
        return errors.UserError(f"No answer to {method} {path}: {error}")
    return UnknownOutcomeError(
        f"The answer to {method} {path} was lost, so it is unknown whether"
        f" the change was made; look before you repeat it: {error}"
    )


def _status_error(response: urllib3.BaseHTTPResponse) -> errors.UserError:
    try:
        body = response.read()
    except urllib3.exceptions.HTTPError:
        body = b""
    response.release_conn()
    try:
        value = json.loads(body)
    except ValueError:
        value = body.decode(errors="replace").strip()
    text = _format_error_body(value) or response.reason or "no reason given"
    retry_after = response.headers.get("Retry-After")
    if retry_after:
        text += f" (come back after {retry_after} s)"
    if response.status == _CONFLICT_STATUS:
        return ConflictError(f"Conflict: {text}")
    return errors.UserError(f"{response.status}: {text}")


def _format_error_body(value: Any) -> str:
    """Formats an error's body as one line, with the message first."""
    if not isinstance(value, dict):
        return " ".join(str(value).split())
    error = value.get("error", value)
    if not isinstance(error, dict):
        error = {**value, "message": error}
        error.pop("error", None)
    fields = dict(error)
    message = str(fields.pop("message", ""))
    details = ", ".join(
        f"{name}: {item}" for name, item in fields.items() if item is not None
    )
    return (
        f"{message} ({details})"
        if message and details
        else (message or details)
    )
