"""Fakes of the platform for the callers' path, and a small VM to ask."""

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

KEY = staticvm.KEY
OTHER_KEY = staticvm.OTHER_KEY
FAST = engine.Timing(token_s=0.001, token_per_stream_s=0.0, prefill_s=0.0)
engine_row = staticvm.engine_row
settings = staticvm.settings


class FakeKeyValue(staticvm.StaticService):
    """The platform's service in memory, shared by the VMs of a test."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.entries: dict[str, services.Entry] = {}
        self.revision = 0
        self.is_out = False
        # The next writes that take effect and whose answer is lost.
        self.lose_answers = 0
        # Called once after a write took effect, before its answer.
        self.on_write: Callable[[], None] | None = None

    def get(
        self, key: str
    ) -> result.Result[services.Entry | None, services.KeyValueError]:
        if self.is_out:
            return result.Err(services.KeyValueError("unavailable", "out"))
        return result.Ok(self.entries.get(key))

    def list(
        self, prefix: str
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        with self.lock:
            entries = sorted(self.entries.values())
        return result.Ok(
            tuple(entry for entry in entries if entry.key.startswith(prefix))
        )

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        return self._write(key, value, expected_revision)

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        written = self._write(key, None, expected_revision)
        if isinstance(written, result.Err):
            return written
        return result.Ok(None)

    def _write(
        self, key: str, value: bytes | None, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        if self.is_out:
            return result.Err(services.KeyValueError("unavailable", "out"))
        with self.lock:
            current = self.entries.get(key)
            revision = current.revision if current is not None else 0
            if revision != expected_revision:
                return result.Err(
                    services.KeyValueError("conflict", "other", current)
                )
            self.revision += 1
            revision = self.revision
            if value is None:
                self.entries.pop(key, None)
            else:
                self.entries[key] = services.Entry(key, value, revision)
            on_write, self.on_write = self.on_write, None
        if on_write is not None:
            on_write()
        with self.lock:
            if self.lose_answers > 0:
                self.lose_answers -= 1
                return result.Err(services.KeyValueError("unknown", "lost"))
        return result.Ok(revision)


class Platform:
    """What several small VMs share."""

    def __init__(self) -> None:
        self.keyvalue = FakeKeyValue()
        self.unlisted: set[str] = set()


class SmallVm(staticvm.StaticVm):
    """The callers' path of one VM, with fakes around it."""

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
        """Sends one request on a connection of its own."""
        with contextlib.closing(self.connect()) as connection:
            data = body if isinstance(body, bytes) else json.dumps(body)
            names = {k.replace("_", "-"): v for k, v in headers.items()}
            connection.request(
                method,
                path,
                data if body is not None else None,
                {"Authorization": f"Bearer {key}", **names},
            )
            return Reply(connection.getresponse())


class Reply:
    """A whole answer."""

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


def wait_until(is_so: Callable[[], bool], timeout_s: float = 10.0) -> None:
    """Waits for what another thread will bring about; fails if it does not."""
    end_s = time.monotonic() + timeout_s
    while not is_so():
        assert time.monotonic() < end_s, "it did not happen"
        time.sleep(0.005)
