"""Crowds of clients that do not behave, for some seconds at one VM."""

import pathlib
import random
import time

from soak import fleet as fleet_lib
from support import crowds
from support import gatewayscene

_CLIENTS_PER_KIND = 20
_BODY_BYTES = 2_000_000
_TINY_CHUNKS = 20_000
_PIPELINED = 50
_SLOW_BYTES_PER_S = 1000
# What the smallest VM has; the settings of these processes state no other.
_MEMORY_MB = 128
_KB_PER_MB = 1000
# Attempt ids of the crowd, which no honest caller uses.
_ATTEMPT = "crowd"


def press(fleet: fleet_lib.Fleet, vm: fleet_lib.Vm, fault_s: float) -> None:
    """Has a crowd at a VM for some seconds; records what it does to it."""
    rng = random.Random(f"{vm.name} {fault_s}")
    behaviours = _behaviours(fleet.keys["school"][0])
    rng.shuffle(behaviours)
    with crowds.Crowd((vm.ip, 8405), behaviours):
        time.sleep(fault_s)
    peak_mb = _peak_mb(vm)
    if peak_mb > _MEMORY_MB:
        fleet.problems.append(
            f"{vm.name} held {peak_mb} MB beside a crowd, {_MEMORY_MB} allowed"
        )


def _behaviours(key: str) -> list[crowds.Behaviour]:
    """Returns several clients of each kind; none of their requests is whole.

    But for those that send one after the other, to a path of no route.
    """
    length = f"Content-Length: {_BODY_BYTES}"
    chunked = "Transfer-Encoding: chunked"
    whole = _head(key, "/safe/1", "Content-Length: 0")
    unknown = _head(key, "/nowhere", "Content-Length: 0")
    kinds = (
        crowds.Behaviour(),
        crowds.Behaviour(whole[:-2], b"X-More: 1\r\n"),
        crowds.Behaviour(_head(key, "/safe/1", length), b"x"),
        crowds.Behaviour(_head(key, "/b/1", length) + b"x" * (_BODY_BYTES - 1)),
        crowds.Behaviour(
            _head(key, "/safe/1", chunked)
            + b"%x\r\n" % _BODY_BYTES
            + b"x" * (_BODY_BYTES - 1),
            closes_by_reset=True,
        ),
        crowds.Behaviour(
            _head(key, "/unsafe/1", chunked) + b"1\r\nx\r\n" * _TINY_CHUNKS
        ),
        crowds.Behaviour(
            unknown * _PIPELINED, read_bytes_per_s=_SLOW_BYTES_PER_S
        ),
    )
    return [row for row in kinds for _ in range(_CLIENTS_PER_KIND)]


def _head(key: str, path: str, *more: str) -> bytes:
    headers = gatewayscene.HEADERS | {
        "Bulrushdeal-Request-Attempt-Id": _ATTEMPT,
        "Bulrushdeal-Credential": key,
    }
    lines = [f"POST {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join((*lines, *more, "", "")).encode()


def _peak_mb(vm: fleet_lib.Vm) -> int:
    """Returns the most memory that a VM's process had; 0 if it has ended."""
    if vm.process is None or vm.process.poll() is not None:
        return 0
    try:
        text = pathlib.Path(f"/proc/{vm.process.pid}/status").read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) // _KB_PER_MB
    return 0
