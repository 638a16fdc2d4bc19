"""The platform's metadata store, as PROTOCOL.md describes it.

Keys, leases, transactions and watches over HTTP/1.1. It has no rate limits and
no faults of its own. All state is used on one event loop.
"""

import asyncio
import base64
import itertools
import json
import time
import urllib.parse

from standins import http11

_MAX_ITEMS = 500


class Store:
    """An in-memory store with one revision counter."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self._ids = itertools.count(7)
        self._changed = asyncio.Condition()
        # Decides whether a call is answered; replaced by cases.
        self.gate = None
        self.calls = 0

    # Changes, by whoever stands beside the store (operator, replicas).

    def change(self, writes=(), deletes=()):
        """Applies a change at one revision and returns the revision.

        Args:
            writes: Rows of key, value (bytes) and lease.
            deletes: Keys.
        """
        found = [key for key in deletes if key in self.items]
        if not writes and not found:
            return self.revision
        self.revision += 1
        for key, value, lease in writes:
            held = self.items.get(key)
            created = held["create_revision"] if held else self.revision
            row = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "create_revision": created,
                "lease": lease,
            }
            self.items[key] = row
            self.history.append(row)
        for key in found:
            del self.items[key]
            self.history.append(
                {"key": key, "revision": self.revision, "deleted": True}
            )
        asyncio.ensure_future(self._tell())
        return self.revision

    def put(self, key, value):
        """Writes one key; `value` is JSON data or bytes."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return self.change([(key, data, 0)])

    def delete(self, key):
        return self.change(deletes=[key])

    async def _tell(self):
        async with self._changed:
            self._changed.notify_all()

    async def expire(self):
        """Ends leases whose time is over, for ever."""
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for lease, until_s in list(self.leases.items()):
                if until_s["until_s"] < now_s:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, row in self.items.items() if row["lease"] == lease]
        self.change(deletes=keys)

    # The calls.

    async def serve(self, request):
        self.calls += 1
        if self.gate is not None:
            refused = await self.gate(request)
            if refused is not None:
                return refused
        query = dict(urllib.parse.parse_qsl(request.query))
        path = request.path
        if path == "/kv-key":
            row = self.items.get(query["key"])
            if row is None:
                return http11.json_answer(404, {"as_of": self.revision})
            return http11.json_answer(200, {**row, "as_of": self.revision})
        if path == "/kv-range":
            return self._range(query)
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._txn(json.loads(request.body))
        if path == "/kv-lease":
            ttl_ms = max(1000, int(json.loads(request.body)["ttl_ms"]))
            lease = next(self._ids)
            self.leases[lease] = {
                "ttl_s": ttl_ms / 1000,
                "until_s": time.monotonic() + ttl_ms / 1000,
            }
            return http11.json_answer(200, {"lease": lease, "ttl_ms": ttl_ms})
        name, _, number = path.rpartition("/")
        if name == "/kv-keep":
            held = self.leases.get(int(number))
            if held is None:
                return http11.json_answer(404, {})
            held["until_s"] = time.monotonic() + held["ttl_s"]
            return http11.json_answer(
                200, {"ttl_ms": int(held["ttl_s"] * 1000)}
            )
        if name == "/kv-lease-end":
            self.end_lease(int(number))
            return http11.json_answer(200, {})
        return http11.json_answer(404, {})

    def _range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = keys[:_MAX_ITEMS]
        return http11.json_answer(
            200,
            {
                "items": [self.items[key] for key in page],
                "has_more": len(keys) > len(page),
                "as_of": self.revision,
            },
        )

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                row
                for row in self.history
                if row["revision"] > after and row["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return http11.json_answer(
                    200, {"events": events, "as_of": self.revision}
                )
            try:
                async with self._changed:
                    await asyncio.wait_for(self._changed.wait(), left_s)
            except (TimeoutError, asyncio.TimeoutError):
                continue

    def _txn(self, body):
        expected = body.get("expected_rev", [])
        writes = body.get("writes", [])
        deletes = body.get("deletes", [])
        if len(expected) + len(writes) + len(deletes) > 3 * 32:
            return http11.json_answer(400, {})
        for key in [row["key"] for row in writes] + deletes:
            if key.startswith(("op/", "servers/")):
                return http11.json_answer(403, {})
        if any(
            row.get("lease") and row["lease"] not in self.leases
            for row in writes
        ):
            return http11.json_answer(404, {})
        held = {row["key"]: self.items.get(row["key"]) for row in expected}
        if any(
            (held[row["key"]] or {"revision": 0})["revision"] != row["revision"]
            for row in expected
        ):
            rows = [row for row in held.values() if row is not None]
            return http11.json_answer(412, {"items": rows})
        revision = self.change(
            [
                (
                    row["key"],
                    base64.b64decode(row["value"]),
                    row.get("lease", 0),
                )
                for row in writes
            ],
            deletes,
        )
        return http11.json_answer(200, {"revision": revision})
