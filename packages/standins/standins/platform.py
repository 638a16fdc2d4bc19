"""A stand-in for the platform: key-value service, VM list, weight store.

Serves the calls of docs/design/interfaces.md over HTTP, with switches for
faults. Run it with `python -m standins.platform --address 127.0.0.1:0`.
"""

import base64
import collections
from collections.abc import Callable
import errno
import hashlib
import json
import math
import signal
import sys
import threading
import time
from typing import Any, ClassVar, NamedTuple
from urllib import parse

from cleo import application
from cleo.commands import command
from cleo.helpers import option
from cleo.io.inputs import argv_input
from cleo.io.inputs import option as option_lib

from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import records
from standins import keyspace

_DEFAULT_THREADS = 400
_WEIGHT_BYTES = 4096
_MAX_WATCH_S = 60.0
_MAX_VALUE_BYTES = 1_000_000


class Faults(NamedTuple):
    """What goes wrong at the moment.

    Attributes:
        outage: No call is answered and none has an effect.
        kv_outage: The same for the key-value service alone.
        latency_s: How long each call waits first.
        lose_next_answers: How many writes from now take effect without
            their answer arriving.
        list_lag_s: How old the list of VMs is that is answered.
    """

    outage: bool = False
    kv_outage: bool = False
    latency_s: float = 0.0
    lose_next_answers: int = 0
    list_lag_s: float = 0.0


class Platform:
    """The stand-in, served on an address; port 0 chooses one."""

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        threads: int = _DEFAULT_THREADS,
        weight_loads_per_s: float = 2.0,
    ) -> None:
        self.keyspace = keyspace.Keyspace()
        self.calls: collections.Counter[str] = collections.Counter()
        self._host = address.rpartition(":")[0]
        # Bodies of requests and answers together.
        self.size_bytes = 0
        self._server = httpd.Server(address, self._serve, threads)
        self._lock = threading.Lock()
        self._faults = Faults()
        self._lists: list[tuple[float, dict[str, records.Vm]]] = [(0.0, {})]
        self._weight_loads_per_s = weight_loads_per_s
        self._next_weight_s = 0.0

    @property
    def port(self) -> int:
        """The port it listens on, known after `start`."""
        return self._server.port

    @property
    def address(self) -> str:
        """`HOST:PORT`, known after `start`."""
        return f"{self._host}:{self.port}"

    def start(self) -> None:
        """Begins to serve."""
        self._server.start()

    def stop(self, grace_s: float = 1.0) -> None:
        """Ends all watches and stops."""
        self.keyspace.close()
        self._server.stop(grace_s)

    def fault(self, **changes: Any) -> None:
        """Changes some of the `Faults`."""
        with self._lock:
            self._faults = self._faults._replace(**changes)
        self.keyspace.wake()

    def set_vm(self, row: records.Vm) -> None:
        """Adds or changes a row of the list."""
        self._edit_list(lambda rows: rows.update({row.vm: row}))

    def remove_vm(self, vm: str) -> None:
        """Takes a row off the list."""
        self._edit_list(lambda rows: rows.pop(vm, None))

    def _edit_list(
        self, change: Callable[[dict[str, records.Vm]], Any]
    ) -> None:
        with self._lock:
            rows = dict(self._lists[-1][1])
            change(rows)
            self._lists.append((time.monotonic(), rows))

    def vms(self) -> tuple[records.Vm, ...]:
        """Returns the list as old as the lag says."""
        with self._lock:
            seen_s = time.monotonic() - self._faults.list_lag_s
            rows: dict[str, records.Vm] = {}
            for changed_s, listed in self._lists:
                if changed_s <= seen_s:
                    rows = listed
            return tuple(rows[vm] for vm in sorted(rows))

    def _serve(self, request: httpd.Request) -> httpd.Response:
        if request.path == "/v1/faults":
            self.fault(**json.loads(request.body.read(request.length_bytes)))
            return httpd.json_response(200, self._faults._asdict())
        if request.path == "/v1/stats":
            stats = {"calls": dict(self.calls), "bytes": self.size_bytes}
            return httpd.json_response(200, stats)
        kind = _kind(request)
        self.calls[kind] += 1
        if self._faults.latency_s:
            time.sleep(self._faults.latency_s)
        self._check_outage(kind)
        response = self._answer(kind, request)
        with self._lock:
            self.size_bytes += max(0, request.length_bytes)
            self.size_bytes += sum(len(part) for part in response.body)
        # A watch that an outage finds waiting is cut as well.
        self._check_outage(kind)
        if kind in ("put", "delete") and self._loses_answer():
            raise _dropped()
        return response

    def _check_outage(self, kind: str) -> None:
        is_keyvalue = kind not in ("vms", "weights")
        if self._faults.outage or (self._faults.kv_outage and is_keyvalue):
            raise _dropped()

    def _loses_answer(self) -> bool:
        with self._lock:
            left = self._faults.lose_next_answers
            if left <= 0:
                return False
            self._faults = self._faults._replace(lose_next_answers=left - 1)
            return True

    def _answer(self, kind: str, request: httpd.Request) -> httpd.Response:
        query = dict(parse.parse_qsl(request.query, keep_blank_values=True))
        if kind == "vms":
            return self._answer_vms(request)
        if kind == "weights":
            return self._answer_weights()
        if kind == "leases":
            return self._answer_leases(request, query)
        if kind in ("list", "watch"):
            return self._answer_many(kind, query)
        return self._answer_one(kind, request, query)

    def _answer_one(
        self, kind: str, request: httpd.Request, query: dict[str, str]
    ) -> httpd.Response:
        key = request.path.removeprefix("/v1/kv/")
        if kind == "get":
            held = self.keyspace.get(key)
            if held is None:
                return httpd.json_response(404, {})
            return httpd.json_response(200, _entry(held))
        expected = int(query["expected_revision"])
        if kind == "delete":
            is_deleted, held = self.keyspace.delete(key, expected)
            if is_deleted:
                return httpd.json_response(200, {})
            return httpd.json_response(409, _entry(held) if held else {})
        value = request.body.read(request.length_bytes)
        if len(value) > _MAX_VALUE_BYTES:
            return httpd.json_response(413, {})
        revision, held = self.keyspace.put(
            key, value, expected, query.get("lease", "")
        )
        if revision:
            return httpd.json_response(200, {"revision": revision})
        return httpd.json_response(409, _entry(held) if held else {})

    def _answer_many(self, kind: str, query: dict[str, str]) -> httpd.Response:
        if kind == "list":
            entries, revision = self.keyspace.list(query["prefix"])
        else:
            entries, revision = self.keyspace.watch(
                query["prefix"],
                int(query["after_revision"]),
                min(float(query["timeout_s"]), _MAX_WATCH_S),
            )
        return httpd.json_response(
            200,
            {
                "entries": [_entry(held) for held in entries],
                "revision": revision,
            },
        )

    def _answer_leases(
        self, request: httpd.Request, query: dict[str, str]
    ) -> httpd.Response:
        parts = request.path.removeprefix("/v1/leases").strip("/").split("/")
        lease = parts[0]
        if not lease:
            lease = self.keyspace.grant(float(query["ttl_s"]))
            return httpd.json_response(200, {"lease": lease})
        if request.method == "DELETE":
            is_known = self.keyspace.revoke(lease)
        else:
            is_known = self.keyspace.renew(lease)
        return httpd.json_response(
            200 if is_known else 404, {"lease": lease} if is_known else {}
        )

    def _answer_vms(self, request: httpd.Request) -> httpd.Response:
        vm = request.path.removeprefix("/v1/vms").strip("/")
        if request.method == "PUT":
            body = json.loads(request.body.read(request.length_bytes))
            self.set_vm(codec.from_plain(records.Vm, {**body, "vm": vm}))
        elif request.method == "DELETE":
            self.remove_vm(vm)
        rows = [row._asdict() for row in self.vms()]
        etag = hashlib.sha256(json.dumps(rows).encode()).hexdigest()[:16]
        if request.headers.get("if-none-match") == etag:
            return httpd.Response(304, (("ETag", etag),), ())
        return httpd.json_response(200, {"vms": rows}, (("ETag", etag),))

    def _answer_weights(self) -> httpd.Response:
        with self._lock:
            now_s = time.monotonic()
            wait_s = self._next_weight_s - now_s
            if wait_s > 0:
                after = (("Retry-After", str(math.ceil(wait_s))),)
                return httpd.json_response(429, {}, after)
            self._next_weight_s = now_s + 1 / self._weight_loads_per_s
        headers = (("Content-Length", str(_WEIGHT_BYTES)),)
        return httpd.Response(200, headers, (bytes(_WEIGHT_BYTES),))


def _dropped() -> ConnectionResetError:
    # cheroot closes the connection without an answer on this error.
    return ConnectionResetError(errno.ECONNRESET, "fault")


def _kind(request: httpd.Request) -> str:
    parts = request.path.strip("/").split("/")
    name = parts[1] if len(parts) > 1 else ""
    if name != "kv":
        return name
    if len(parts) == 2:  # noqa: PLR2004
        return "list"
    return request.method.lower()


def _entry(held: keyspace.Held) -> dict[str, Any]:
    entry: dict[str, Any] = {
        "key": held.key,
        "value": base64.b64encode(held.value).decode(),
        "revision": held.revision,
    }
    if held.is_deleted:
        entry["deleted"] = True
    return entry


class PlatformCommand(command.Command):
    """Serves until a signal ends the process."""

    name = "platform"
    description = "Stand in for the platform."
    options: ClassVar[list[option_lib.Option]] = [
        option("address", default="127.0.0.1:0", flag=False)
    ]

    def handle(self) -> int:
        """Prints where it listens, then serves."""
        platform = Platform(self.option("address"))
        stopping = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: stopping.set())
        platform.start()
        print(f"listening {platform.address}", flush=True)
        stopping.wait()
        platform.stop()
        return 0


def main() -> None:
    """Runs the only command."""
    app = application.Application("standins.platform")
    app.add(PlatformCommand())
    app.run(argv_input.ArgvInput(["standins", "platform", *sys.argv[1:]]))


if __name__ == "__main__":
    main()
