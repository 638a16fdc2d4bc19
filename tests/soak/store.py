"""The platform's store over HTTP, with a face of its own for each VM."""

import base64
from collections.abc import Callable
import json
import threading
import time
from typing import Any, Literal
import urllib.parse

from bulrushdeal import httpd
from gateway import dialect
from support import gatewaystore

Trouble = Literal["", "busy", "silent", "lost", "slow"]

_LEASE_CHECK_S = 0.1
_SLOW_S = 0.25
_SILENT_S = 6.0
_OWN_MEMBERS = "bulrushdeal/members/"
_UPSTREAMS = "servers/"


class Store:
    """Keys in memory, and leases that run out."""

    def __init__(self) -> None:
        self.rows = gatewaystore.MemoryStore()
        self._client = gatewaystore.StoreClient(self.rows)
        self._until_s: dict[int, float] = {}
        self._lock = threading.Lock()
        self._is_closed = threading.Event()
        threading.Thread(target=self._expire, daemon=True).start()

    def close(self) -> None:
        """Ends the thread that ends leases."""
        self._is_closed.set()

    def get(self, key: str) -> dialect.Entry | None:
        """Returns what a key holds."""
        return self.rows.rows.get(key)

    def list(self, prefix: str, after: str) -> dialect.Page:
        """Returns the keys under a prefix."""
        page: dialect.Page = self._client.list(prefix, after, 1.0).unwrap()
        return page

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Waits for changes; an error if the history is gone."""
        return self._client.watch(prefix, after, wait_s, wait_s)

    def commit(self, body: dict[str, Any]) -> Any:
        """Makes a change that came as JSON."""
        return self._client.commit(
            tuple(
                dialect.RevisionCondition(row["key"], row["revision"])
                for row in body["expected_rev"]
            ),
            tuple(
                dialect.Write(
                    row["key"],
                    base64.b64decode(row["value"]),
                    row.get("lease", 0),
                )
                for row in body["writes"]
            ),
            tuple(body["deletes"]),
            1.0,
        )

    def grant(self, ttl_s: float) -> int:
        """Makes a lease."""
        with self._lock:
            lease: int = self._client.grant(ttl_s, 1.0).unwrap().lease
            self._until_s[lease] = time.monotonic() + ttl_s
        return lease

    def renew(self, lease: int, ttl_s: float) -> bool:
        """Renews a lease; false if it has ended."""
        with self._lock:
            if lease not in self._until_s:
                return False
            self._until_s[lease] = time.monotonic() + ttl_s
        return True

    def end(self, lease: int) -> None:
        """Ends a lease."""
        with self._lock:
            self._until_s.pop(lease, None)
        self.rows.end_lease(lease)

    def lapse(self) -> None:
        """Ends all leases, as an outage may."""
        with self._lock:
            leases = list(self._until_s)
        for lease in leases:
            self.end(lease)

    def _expire(self) -> None:
        while not self._is_closed.wait(_LEASE_CHECK_S):
            now_s = time.monotonic()
            with self._lock:
                ended = [
                    row
                    for row, until_s in self._until_s.items()
                    if until_s < now_s
                ]
            for lease in ended:
                self.end(lease)


class Face:
    """The store as one VM sees it.

    Attributes:
        trouble: `busy` refuses, `silent` answers nothing, `lost` makes
            changes and loses the answer, `slow` takes its time.
    """

    def __init__(
        self, store: Store, rewrite: Callable[[str, str], str]
    ) -> None:
        self._store = store
        self._rewrite = rewrite
        self.trouble: Trouble = ""
        self._lost = 0
        self._server = httpd.Server("127.0.0.1:0", self._serve, 48)
        self._server.start()

    @property
    def address(self) -> tuple[str, int]:
        """Where it listens."""
        return "127.0.0.1", self._server.port

    def close(self) -> None:
        """Stops it."""
        self._server.stop(0.1)

    def _serve(self, request: httpd.Request) -> httpd.Response:
        body = request.body.read()
        trouble = self.trouble
        if trouble == "busy":
            return httpd.json_response(503, {})
        if trouble == "silent":
            time.sleep(_SILENT_S)
            return httpd.json_response(503, {})
        if trouble == "slow":
            time.sleep(_SLOW_S)
        status, value = self._answer(request, json.loads(body or b"{}"))
        if trouble == "lost" and request.method == "POST":
            self._lost += 1
            if self._lost % 3 == 0:
                time.sleep(_SILENT_S)
        return httpd.json_response(status, value)

    def _answer(
        self, request: httpd.Request, body: dict[str, Any]
    ) -> tuple[int, Any]:
        query = dict(urllib.parse.parse_qsl(request.query))
        last = request.path.rpartition("/")[2]
        match request.path.split("/")[1]:
            case "kv-key":
                entry = self._store.get(query["key"])
                return (200, self._row(entry)) if entry else (404, {})
            case "kv-range":
                page = self._store.list(query["prefix"], query.get("after", ""))
                rows = [self._row(row) for row in page.entries]
                return 200, {
                    "items": rows,
                    "has_more": False,
                    "as_of": page.revision,
                }
            case "kv-watch":
                wait_s = int(query["wait_ms"]) / 1000
                seen = self._store.watch(
                    query["prefix"], int(query["after"]), wait_s
                )
                if seen.is_err():
                    return 410, {}
                page = seen.unwrap()
                rows = [self._row(row) for row in page.entries]
                return 200, {"events": rows, "as_of": page.revision}
            case "kv-txn":
                return self._commit(body)
            case "kv-lease":
                lease = self._store.grant(body["ttl_ms"] / 1000)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case "kv-keep":
                is_kept = self._store.renew(int(last), 3.0)
                return (200, {"ttl_ms": 3000}) if is_kept else (404, {})
            case "kv-lease-end":
                self._store.end(int(last))
                return 200, {}
        return 404, {}

    def _commit(self, body: dict[str, Any]) -> tuple[int, Any]:
        made = self._store.commit(body)
        if made.is_err():
            return 404, {}
        done = made.unwrap()
        if isinstance(done, dialect.Conflict):
            return 412, {"items": [self._row(row) for row in done.entries]}
        return 200, {"revision": done}

    def _row(self, entry: dialect.Entry) -> dict[str, Any]:
        row: dict[str, Any] = {"key": entry.key, "revision": entry.revision}
        if entry.value is None:
            return row | {"deleted": True}
        value = entry.value
        name = entry.key.rpartition("/")[2]
        if entry.key.startswith(_OWN_MEMBERS):
            value = self._moved(value, "peers", name)
        elif entry.key.startswith(_UPSTREAMS):
            value = self._moved(value, "address", name)
        return row | {"value": base64.b64encode(value).decode()}

    def _moved(self, value: bytes, field: str, name: str) -> bytes:
        """Puts this VM's link to another process into its entry."""
        fields = json.loads(value)
        fields[field] = self._rewrite(field, name) or fields[field]
        return json.dumps(fields).encode()
