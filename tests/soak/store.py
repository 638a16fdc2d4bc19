"""The platform's key-value store over HTTP, with one server per VM."""

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

StoreFault = Literal["", "busy", "silent", "lost", "swallow", "slow", "turns"]

_LEASE_CHECK_S = 0.1
_SLOW_S = 0.25
_SILENT_S = 6.0
_TURN_S = 1.0
_MEMBERS_PREFIX = "bulrushdeal/members/"
_UPSTREAMS_PREFIX = "servers/"
# The most that the platform's store returns at once.
_MAX_PAGE_ENTRIES = 500
_MAX_PAGE_BYTES = 1_000_000


class Store:
    """An in-memory store of keys with leases that expire."""

    def __init__(self) -> None:
        self.rows = gatewaystore.MemoryStore()
        self._client = gatewaystore.StoreClient(self.rows)
        self._expiry_s: dict[int, float] = {}
        self._lock = threading.Lock()
        self._is_closed = threading.Event()
        threading.Thread(target=self._end_expired, daemon=True).start()

    def close(self) -> None:
        """Stops the thread that expires leases."""
        self._is_closed.set()

    def get(self, key: str) -> dialect.Entry | None:
        """Returns the entry of a key, or `None`."""
        return self.rows.rows.get(key)

    def list(self, prefix: str, after: str) -> dialect.Page:
        """Returns one page of entries that have a prefix and follow `after`."""
        page: dialect.Page = self._client.list(prefix, after, 1.0).unwrap()
        count = 0
        size_bytes = 0
        for entry in page.entries[:_MAX_PAGE_ENTRIES]:
            size_bytes += len(entry.value or b"")
            if count and size_bytes > _MAX_PAGE_BYTES:
                break
            count += 1
        has_more = count < len(page.entries)
        return page._replace(entries=page.entries[:count], has_more=has_more)

    def watch(self, prefix: str, after: int, wait_s: float) -> Any:
        """Waits for changes after a revision.

        The result is an error if the history since then was discarded.
        """
        return self._client.watch(prefix, after, wait_s, wait_s)

    def commit(self, body: dict[str, Any]) -> Any:
        """Commits a transaction given as the JSON body of a request."""
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
        """Creates a lease and returns its id."""
        with self._lock:
            lease: int = self._client.grant(ttl_s, 1.0).unwrap().lease
            self._expiry_s[lease] = time.monotonic() + ttl_s
        return lease

    def renew(self, lease: int, ttl_s: float) -> bool:
        """Renews a lease; false if it has ended."""
        with self._lock:
            if lease not in self._expiry_s:
                return False
            self._expiry_s[lease] = time.monotonic() + ttl_s
        return True

    def end(self, lease: int) -> None:
        """Ends a lease and deletes the keys that are bound to it."""
        with self._lock:
            self._expiry_s.pop(lease, None)
        self.rows.end_lease(lease)

    def end_all(self) -> None:
        """Ends all leases, as a store outage may do."""
        with self._lock:
            leases = list(self._expiry_s)
        for lease in leases:
            self.end(lease)

    def _end_expired(self) -> None:
        while not self._is_closed.wait(_LEASE_CHECK_S):
            now_s = time.monotonic()
            with self._lock:
                expired = [
                    lease_id
                    for lease_id, expiry_s in self._expiry_s.items()
                    if expiry_s < now_s
                ]
            for lease in expired:
                self.end(lease)


class StoreServer:
    """The HTTP server that gives one VM access to the store.

    Args:
        store: The store.
        link_address: Returns the address by which the VM reaches a peer or an
            upstream.
        host: The loopback address on which to listen.

    Attributes:
        fault: `busy` refuses requests with status 503. `silent` does so only
            after `_SILENT_S`. `lost` executes changes, but delays the response
            to every third by `_SILENT_S`; `swallow` to each. `slow` delays
            each request by `_SLOW_S`. `turns` refuses every other request
            after `_TURN_S`.
            Empty: no fault.
    """

    def __init__(
        self,
        store: Store,
        link_address: Callable[[str, str], str],
        host: str,
    ) -> None:
        self._store = store
        self._host = host
        self._link_address = link_address
        self.fault: StoreFault = ""
        self._lossy_changes = 0
        self._turns = 0
        self._server = httpd.Server(f"{host}:0", self._serve, 48)
        self._server.start()

    @property
    def address(self) -> tuple[str, int]:
        """The host and port on which the server listens."""
        return self._host, self._server.port

    def close(self) -> None:
        """Stops the server."""
        self._server.stop(0.1)

    def _serve(self, request: httpd.Request) -> httpd.Response:
        body = request.body.read()
        if request.length_bytes > len(body):
            # The sender broke off; an incomplete request changes nothing.
            return httpd.json_response(400, {})
        fault = self.fault
        if fault == "busy":
            return httpd.json_response(503, {})
        if fault == "silent":
            time.sleep(_SILENT_S)
            return httpd.json_response(503, {})
        if fault == "slow":
            time.sleep(_SLOW_S)
        if fault == "turns":
            self._turns += 1
            if self._turns % 2:
                time.sleep(_TURN_S)
                return httpd.json_response(503, {})
        status, value = self._answer(request, json.loads(body or b"{}"))
        if fault == "swallow" and request.method == "POST":
            time.sleep(_SILENT_S)
        if fault == "lost" and request.method == "POST":
            self._lossy_changes += 1
            if self._lossy_changes % 3 == 0:
                time.sleep(_SILENT_S)
        return httpd.json_response(status, value)

    def _answer(
        self, request: httpd.Request, body: dict[str, Any]
    ) -> tuple[int, Any]:
        query = dict(urllib.parse.parse_qsl(request.query))
        lease_id = request.path.rpartition("/")[2]
        match request.path.split("/")[1]:
            case "kv-key":
                entry = self._store.get(query["key"])
                return (200, self._to_json(entry)) if entry else (404, {})
            case "kv-range":
                page = self._store.list(query["prefix"], query.get("after", ""))
                rows = [self._to_json(row) for row in page.entries]
                return 200, {
                    "items": rows,
                    "has_more": page.has_more,
                    "as_of": page.revision,
                }
            case "kv-watch":
                wait_s = int(query["wait_ms"]) / 1000
                changes = self._store.watch(
                    query["prefix"], int(query["after"]), wait_s
                )
                if changes.is_err():
                    return 410, {}
                page = changes.unwrap()
                rows = [self._to_json(row) for row in page.entries]
                return 200, {"events": rows, "as_of": page.revision}
            case "kv-txn":
                return self._commit(body)
            case "kv-lease":
                lease = self._store.grant(body["ttl_ms"] / 1000)
                return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
            case "kv-keep":
                is_kept = self._store.renew(int(lease_id), 3.0)
                return (200, {"ttl_ms": 3000}) if is_kept else (404, {})
            case "kv-lease-end":
                self._store.end(int(lease_id))
                return 200, {}
        return 404, {}

    def _commit(self, body: dict[str, Any]) -> tuple[int, Any]:
        result = self._store.commit(body)
        if result.is_err():
            return 404, {}
        outcome = result.unwrap()
        if isinstance(outcome, dialect.Conflict):
            return 412, {
                "items": [self._to_json(row) for row in outcome.entries]
            }
        return 200, {"revision": outcome}

    def _to_json(self, entry: dialect.Entry) -> dict[str, Any]:
        row: dict[str, Any] = {"key": entry.key, "revision": entry.revision}
        if entry.value is None:
            return row | {"deleted": True}
        value = entry.value
        name = entry.key.rpartition("/")[2]
        if entry.key.startswith(_MEMBERS_PREFIX):
            value = self._with_link_address(value, "peers", name)
        elif entry.key.startswith(_UPSTREAMS_PREFIX):
            value = self._with_link_address(value, "address", name)
        return row | {"value": base64.b64encode(value).decode()}

    def _with_link_address(self, value: bytes, field: str, name: str) -> bytes:
        """Replaces the address in an entry by that of this VM's link to it."""
        fields = json.loads(value)
        fields[field] = self._link_address(field, name) or fields[field]
        return json.dumps(fields).encode()
