"""HTTP client for the platform: no retries, a timeout for each call."""

import collections
import http
import threading
from typing import Any, Literal, NamedTuple, Protocol
from urllib import parse

import result
import urllib3

from bulrushdeal import addresses
from bulrushdeal import jsontext
from bulrushdeald import connections

_POOL_CONNECTIONS = 32
_SERVER_ERROR = 500


class PlatformResponse(NamedTuple):
    """The platform's answer to a call.

    Attributes:
        status: The HTTP status, less than 500.
        body: The JSON object of the body.
        etag: The entity tag of the returned state; empty if there is none.
    """

    status: int
    body: dict[str, Any]
    etag: str = ""


class CallError(NamedTuple):
    """A call that returned no usable answer.

    Attributes:
        kind: `not_sent`: the call certainly has no effect. `lost`: it may
            have taken effect, or may still do so.
        message: Text for the log.
    """

    kind: Literal["not_sent", "lost"]
    message: str


class PlatformApi(Protocol):
    """Sends calls to the platform."""

    def call(
        self,
        kind: str,
        method: str,
        path: str,
        fields: dict[str, str] | None = None,
        body: bytes | None = None,
        wait_s: float = 0.0,
        etag: str = "",
    ) -> result.Result[PlatformResponse, CallError]:
        """Sends one call.

        Args:
            kind: The name that the call is counted under.
            method: The HTTP method.
            path: The percent-encoded path.
            fields: The query parameters.
            body: The request's body.
            wait_s: Seconds that the platform may wait before it answers, in
                addition to the timeout.
            etag: The entity tag of the known state; the status is 304 if
                it has not changed.
        """

    def close(self) -> None:
        """Closes idle connections."""

    def dump(self) -> dict[str, dict[str, int]]:
        """Returns the numbers of calls and of errors, by kind."""


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = connections.WholeConnection


class PlatformClient:
    """Calls the platform over pooled connections; see `PlatformApi`."""

    def __init__(self, address: str, timeout_s: float) -> None:
        host, port = addresses.parse(address, min_port=1)
        self._timeout_s = timeout_s
        # Without `retries=False`, the pool would repeat a write whose answer
        # was lost.
        self._pool = _Pool(host, port, maxsize=_POOL_CONNECTIONS, retries=False)
        self._lock = threading.Lock()
        self._calls: collections.Counter[str] = collections.Counter()
        self._errors: collections.Counter[str] = collections.Counter()

    def call(
        self,
        kind: str,
        method: str,
        path: str,
        fields: dict[str, str] | None = None,
        body: bytes | None = None,
        wait_s: float = 0.0,
        etag: str = "",
    ) -> result.Result[PlatformResponse, CallError]:
        """See `PlatformApi`."""
        with self._lock:
            self._calls[kind] += 1
        if fields:
            path += "?" + parse.urlencode(fields)
        try:
            response = self._pool.request(
                method,
                path,
                body=body,
                headers={"If-None-Match": etag} if etag else None,
                timeout=urllib3.Timeout(
                    connect=self._timeout_s, read=self._timeout_s + wait_s
                ),
            )
            return self._read(response)
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return self._fail("not_sent", repr(error))
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            return self._fail("lost", repr(error))

    def _read(
        self, response: urllib3.BaseHTTPResponse
    ) -> result.Result[PlatformResponse, CallError]:
        if response.status == http.HTTPStatus.TOO_MANY_REQUESTS:
            return self._fail("not_sent", "The platform rate-limited the call.")
        if response.status >= _SERVER_ERROR:
            return self._fail(
                "lost", f"The platform answered {response.status}."
            )
        body = jsontext.parse(response.data or b"{}")
        if not isinstance(body, dict):
            return self._fail(
                "lost", "The platform's answer is not a JSON object."
            )
        etag = response.headers.get("ETag", "")
        return result.Ok(PlatformResponse(response.status, body, etag))

    def _fail(
        self, kind: Literal["not_sent", "lost"], message: str
    ) -> result.Result[PlatformResponse, CallError]:
        with self._lock:
            self._errors[kind] += 1
        return result.Err(CallError(kind, message))

    def close(self) -> None:
        """See `PlatformApi`."""
        self._pool.close()

    def dump(self) -> dict[str, dict[str, int]]:
        """See `PlatformApi`."""
        with self._lock:
            return {"calls": dict(self._calls), "errors": dict(self._errors)}
