"""Speaks the operators' and the callers' HTTP; see docs/design/interfaces.md.

Nothing is ever sent twice: the next server is tried only when no connection
to the one before could be made, so that no byte can have reached it.
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
_CONFLICT = 409
_FIRST_ERROR = 400


class ConflictError(errors.UserError):
    """Somebody else changed the same thing; both values are in the text."""


class UnknownOutcomeError(errors.UserError):
    """A change was sent and its answer lost, so it may be in force."""


class Answer(NamedTuple):
    """A whole answer that was no error."""

    status: int
    body: bytes

    def value(self) -> Any:
        """Returns the JSON in the body.

        Raises:
            errors.UserError: It is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError as error:
            raise errors.UserError(
                f"The server's answer is not JSON: {error}"
            ) from error


class Client:
    """Calls one of several servers with a credential."""

    def __init__(self, servers: Iterable[str], credential: str) -> None:
        self._servers = tuple(servers)
        self._headers = {"Authorization": f"Bearer {credential}"}
        # The default of urllib3 sends a request again by itself.
        self._pools = urllib3.PoolManager(retries=False)

    def read(self, path: str) -> Answer:
        """Returns what a path holds."""
        return self._call("GET", path, None, {}, is_change=False)

    def read_value(self, path: str) -> Any:
        """Returns the JSON that a path holds."""
        return self.read(path).value()

    def change(
        self,
        method: str,
        path: str,
        value: Any = None,
        extra_headers: Mapping[str, str] | None = None,
    ) -> Any:
        """Sends a change with a JSON body and returns the JSON answered."""
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
        """Posts a body of any kind and returns the JSON answered."""
        return self._call("POST", path, body, headers, is_change=True).value()

    def stream(
        self, method: str, path: str, value: Any = None
    ) -> Iterator[bytes]:
        """Yields an answer's body as it arrives."""
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
            raise _lost(method, path, is_change, error) from error
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
        refused = ""
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
                refused = f"{server}: {error}"
                continue
            except urllib3.exceptions.LocationParseError as error:
                raise errors.UserError(f"{server}: {error}") from error
            except urllib3.exceptions.HTTPError as error:
                raise _lost(method, path, is_change, error) from error
            if response.status >= _FIRST_ERROR:
                raise _refused(response)
            return response
        raise errors.UserError(f"No server answers; the last: {refused}")


def _lost(
    method: str, path: str, is_change: bool, error: Exception
) -> errors.UserError:
    if not is_change:
        return errors.UserError(f"No answer to {method} {path}: {error}")
    return UnknownOutcomeError(
        f"The answer to {method} {path} was lost, so it is unknown whether"
        f" the change was made; look before you repeat it: {error}"
    )


def _refused(response: urllib3.BaseHTTPResponse) -> errors.UserError:
    try:
        body = response.read()
    except urllib3.exceptions.HTTPError:
        body = b""
    response.release_conn()
    try:
        value = json.loads(body)
    except ValueError:
        value = body.decode(errors="replace").strip()
    text = _describe(value) or response.reason or "no reason given"
    retry_after = response.headers.get("Retry-After")
    if retry_after:
        text += f" (come back after {retry_after} s)"
    if response.status == _CONFLICT:
        return ConflictError(f"Conflict: {text}")
    return errors.UserError(f"{response.status}: {text}")


def _describe(value: Any) -> str:
    """Returns an error's body in one line; other fields follow the message."""
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
