"""A VM with only the callers' path, over fakes of the platform."""

from collections.abc import Callable, Iterator
import contextlib
import http.client
import json
import threading
import time
from typing import Any

import result

from bench import staticvm
from bulrushdeal import records
from bulrushdeald import services
from standins import engine
from support import keyvalues

KEY = staticvm.KEY
OTHER_KEY = staticvm.OTHER_KEY
FAST = engine.Timing(token_s=0.001, token_per_stream_s=0.0, prefill_s=0.0)
engine_row = staticvm.engine_row
settings = staticvm.settings


class FakeKeyValue(keyvalues.MemoryKeyValue, staticvm.StaticService):
    """A thread-safe key-value service, shared by the VMs of a test.

    Attributes:
        on_write: Called once, after the next put took effect and before it
            returns.
    """

    def __init__(self) -> None:
        super().__init__()
        self._lock = threading.Lock()
        self.on_write: Callable[[], None] | None = None

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        with self._lock:
            done = super().put(key, value, expected_revision)
        on_write, self.on_write = self.on_write, None
        if on_write is not None:
            on_write()
        return done

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        with self._lock:
            return super().delete(key, expected_revision)


class Platform:
    """The platform state that several VMs of a test share."""

    def __init__(self) -> None:
        self.keyvalue = FakeKeyValue()
        self.unlisted: set[str] = set()


class SmallVm(staticvm.StaticVm):
    """One VM with the callers' path; all other services are fakes."""

    def __init__(
        self,
        *rows: records.Upstream,
        platform: Platform | None = None,
        **changes: Any,
    ) -> None:
        self.platform = platform or Platform()
        changes = {"online_threads": 32, "unready_s": 0.1} | changes
        super().__init__(
            *rows,
            keyvalue=self.platform.keyvalue,
            unlisted=self.platform.unlisted,
            **changes,
        )

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection(
            "127.0.0.1", self.callers.port, timeout=10
        )

    def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        key: str = KEY,
        **headers: str,
    ) -> "Reply":
        """Sends one request on a new connection.

        Args:
            method: The HTTP method.
            path: The path with the query.
            body: Bytes, or a value to send as JSON; `None` for no body.
            key: The API key.
            headers: More headers, with underscores for hyphens.
        """
        with contextlib.closing(self.connect()) as connection:
            data = body if isinstance(body, bytes) else json.dumps(body)
            extra_headers = {k.replace("_", "-"): v for k, v in headers.items()}
            connection.request(
                method,
                path,
                data if body is not None else None,
                {"Authorization": f"Bearer {key}", **extra_headers},
            )
            return Reply(connection.getresponse())


class Reply:
    """A response, read whole."""

    def __init__(self, response: http.client.HTTPResponse) -> None:
        self.status = response.status
        self.headers = {k.lower(): v for k, v in response.getheaders()}
        self.body = response.read()

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> Any:
        return self.json["error"]


@contextlib.contextmanager
def running(*rows: records.Upstream, **changes: Any) -> Iterator[SmallVm]:
    vm = SmallVm(*rows, **changes)
    vm.kernel.start()
    try:
        yield vm
    finally:
        vm.kernel.stop(2.0)


def plain_row(address: str, name: str = "booking-1") -> records.Upstream:
    return records.Upstream(
        name, "plain", address, "vm-up", "nairobi-1", service="booking"
    )


def chat(text: str = "hello", **fields: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": text}]
    return {"model": "textbook", "messages": messages, **fields}


def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> None:
    """Waits until a condition holds; fails after `timeout_s` seconds."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, "condition not met in time"
        time.sleep(0.005)
