"""Measures what a process holds, with what its receive buffers hold for it."""

from collections.abc import Callable, Iterator
import contextlib
import os
import pathlib
import threading
import time
from typing import NamedTuple

_INTERVAL_S = 0.05
_KB = 1024
_HEX = 16
# The state of a socket that listens, in the kernel's table of sockets.
_LISTENING = "0A"


class Held(NamedTuple):
    """The most that a process held.

    Attributes:
        memory_bytes: Its memory and the bytes that it had not read yet.
        unread_bytes: The bytes that it had not read yet.
        descriptors: Its open files and sockets.
    """

    memory_bytes: int = 0
    unread_bytes: int = 0
    descriptors: int = 0


class Meter:
    """Samples a process and the receive buffers of its sockets.

    Args:
        pid: The process.
        addresses: Where it listens, as `HOST:PORT`; connections there that it
            has not accepted yet count as well.
    """

    def __init__(self, pid: int, addresses: tuple[str, ...]) -> None:
        self._pid = pid
        self._addresses = {_kernel_address(row) for row in addresses}
        self._most = Held()
        self._is_done = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> Held:
        """Ends the sampling and returns the most seen."""
        self._is_done.set()
        self._thread.join()
        with contextlib.suppress(OSError):
            # Peaks between two samples count as well.
            peak_bytes = _status_kb(self._pid, "VmHWM") * _KB
            memory_bytes = max(self._most.memory_bytes, peak_bytes)
            self._most = self._most._replace(memory_bytes=memory_bytes)
        return self._most

    def _run(self) -> None:
        while not self._is_done.is_set():
            with contextlib.suppress(OSError):
                self._sample()
            self._is_done.wait(_INTERVAL_S)

    def _sample(self) -> None:
        descriptors = tuple(self._descriptors())
        unread_bytes = sum(self._unread(frozenset(descriptors)))
        resident_bytes = _status_kb(self._pid, "VmRSS") * _KB
        self._most = Held(
            max(self._most.memory_bytes, resident_bytes + unread_bytes),
            max(self._most.unread_bytes, unread_bytes),
            max(self._most.descriptors, len(descriptors)),
        )

    def _descriptors(self) -> Iterator[str]:
        """Yields what each descriptor of the process stands for."""
        for entry in os.scandir(f"/proc/{self._pid}/fd"):
            # One that was closed meanwhile counts all the same.
            with contextlib.suppress(OSError):
                yield os.readlink(entry.path)

    def _unread(self, descriptors: frozenset[str]) -> Iterator[int]:
        rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        for row in rows:
            columns = row.split()
            address, state, inode = columns[1], columns[3], columns[9]
            if state == _LISTENING:
                continue
            is_own = f"socket:[{inode}]" in descriptors
            is_waiting = inode == "0" and address in self._addresses
            if is_own or is_waiting:
                yield int(columns[4].partition(":")[2], _HEX)


def _kernel_address(address: str) -> str:
    """Returns an IPv4 address as the kernel's table of sockets writes it."""
    host, _, port = address.partition(":")
    octets = reversed(host.split("."))
    return "".join(f"{int(part):02X}" for part in octets) + f":{int(port):04X}"


def _status_kb(pid: int, field: str) -> int:
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0])
    return 0


def wait_until(
    condition: Callable[[], bool], timeout_s: float, what: str
) -> None:
    """Waits until a callable returns true; fails after `timeout_s` seconds."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, what
        time.sleep(_INTERVAL_S)
