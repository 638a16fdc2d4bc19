"""A stand-in for the platform: key-value service, VM list, weight store.

Serves the platform's interfaces of docs/design/interfaces.md over HTTP and can
inject faults. Run it with `python -m standins.platform --address 127.0.0.1:0`.
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

from bulrushdeal import addresses
from bulrushdeal import codec
from bulrushdeal import httpd
from bulrushdeal import records
from standins import keyspace

_DEFAULT_THREADS = 400
_WEIGHT_BYTES = 4096
_MAX_WATCH_S = 60.0
_MAX_VALUE_BYTES = 1_000_000


class Faults(NamedTuple):
    """The faults injected at present.

    Attributes:
        outage: Whether all calls are dropped, without effect.
        kv_outage: Whether calls to the key-value service are dropped.
        latency_s: Seconds that each call is delayed.
        lose_next_answers: How many of the next writes take effect but get no
            answer.
        list_lag_s: Age of the list of VMs that is served, in seconds.
    """

    outage: bool = False
    kv_outage: bool = False
    latency_s: float = 0.0
    lose_next_answers: int = 0
    list_lag_s: float = 0.0


class Platform:
    """The stand-in platform.

    Attributes:
        keyspace: The key-value service.
        calls: How many calls were received, by kind.
        size_bytes: The total size of the bodies of requests and answers.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        threads: int = _DEFAULT_THREADS,
        weight_loads_per_s: float = 2.0,
    ) -> None:
        self.keyspace = keyspace.Keyspace()
        self.calls: collections.Counter[str] = collections.Counter()
        self._host = addresses.parse(address).host
        self.size_bytes = 0
        self._server = httpd.Server(address, self._serve, threads)
        self._lock = threading.Lock()
        self._faults = Faults()
        self._list_history: list[tuple[float, dict[str, records.Vm]]] = [
            (0.0, {})
        ]
        self._weight_loads_per_s = weight_loads_per_s
        self._next_weight_load_s = 0.0

    @property
    def port(self) -> int:
        """The listening port, available after `start`."""
        return self._server.port

    @property
    def address(self) -> str:
        """The listening `HOST:PORT`, available after `start`."""
        return f"{self._host}:{self.port}"

    def start(self) -> None:
        """Starts serving."""
        self._server.start()

    def stop(self, grace_s: float = 1.0) -> None:
        """Ends all watches and stops."""
        self.keyspace.close()
        self._server.stop(grace_s)

    def fault(self, **changes: Any) -> None:
        """Changes the given fields of `Faults`."""
        with self._lock:
            self._faults = self._faults._replace(**changes)
        self.keyspace.wake()

    def set_vm(self, row: records.Vm) -> None:
        """Adds or replaces a row of the list of VMs."""
        self._edit_list(lambda rows: rows.update({row.vm: row}))

    def remove_vm(self, vm: str) -> None:
        """Removes a row from the list of VMs."""
        self._edit_list(lambda rows: rows.pop(vm, None))

    def _edit_list(
        self, change: Callable[[dict[str, records.Vm]], Any]
    ) -> None:
        with self._lock:
            rows = dict(self._list_history[-1][1])
            change(rows)
            self._list_history.append((time.monotonic(), rows))

    def vms(self) -> tuple[records.Vm, ...]:
        """Returns the list of VMs as it was `Faults.list_lag_s` ago."""
        with self._lock:
            seen_s = time.monotonic() - self._faults.list_lag_s
            rows: dict[str, records.Vm] = {}
            for changed_s, listed in self._list_history:
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
        kind = _call_kind(request)
        self.calls[kind] += 1
        if self._faults.latency_s:
            time.sleep(self._faults.latency_s)
        self._check_outage(kind)
        response = self._answer(kind, request)
        with self._lock:
            self.size_bytes += max(0, request.length_bytes)
            self.size_bytes += sum(len(part) for part in response.body)
        # An outage also drops the watches that are waiting when it begins.
        self._check_outage(kind)
        if kind in ("put", "delete") and self._consume_lost_answer():
            raise _connection_reset()
        return response

    def _check_outage(self, kind: str) -> None:
        is_keyvalue = kind not in ("vms", "weights")
        if self._faults.outage or (self._faults.kv_outage and is_keyvalue):
            raise _connection_reset()

    def _consume_lost_answer(self) -> bool:
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
            return self._answer_list_or_watch(kind, query)
        return self._answer_key(kind, request, query)

    def _answer_key(
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

    def _answer_list_or_watch(
        self, kind: str, query: dict[str, str]
    ) -> httpd.Response:
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
            wait_s = self._next_weight_load_s - now_s
            if wait_s > 0:
                after = (("Retry-After", str(math.ceil(wait_s))),)
                return httpd.json_response(429, {}, after)
            self._next_weight_load_s = now_s + 1 / self._weight_loads_per_s
        headers = (("Content-Length", str(_WEIGHT_BYTES)),)
        return httpd.Response(200, headers, (bytes(_WEIGHT_BYTES),))


def _connection_reset() -> ConnectionResetError:
    # On this error cheroot closes the connection without an answer.
    return ConnectionResetError(errno.ECONNRESET, "fault")


def _call_kind(request: httpd.Request) -> str:
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
    """Serves the stand-in platform until SIGTERM or SIGINT."""

    name = "platform"
    description = "Stand in for the platform."
    options: ClassVar[list[option_lib.Option]] = [
        option("address", default="127.0.0.1:0", flag=False)
    ]

    def handle(self) -> int:
        """Prints the listening address and serves."""
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
    """Runs the command `platform`."""
    app = application.Application("standins.platform")
    app.add(PlatformCommand())
    app.run(argv_input.ArgvInput(["standins", "platform", *sys.argv[1:]]))


if __name__ == "__main__":
    main()
