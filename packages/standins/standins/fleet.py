"""Starts, observes and stops processes for the demo and the process tests.

Every wait has a timeout. Only processes started here are stopped, by their id.
"""

from collections.abc import Callable, Mapping, Sequence
import contextlib
import os
import pathlib
import random
import signal
import socket
import subprocess
import time
from typing import TypeVar

_POLL_INTERVAL_S = 0.05
_STOP_TIMEOUT_S = 60.0
_LOG_TAIL_LINES = 30
# Below the kernel's range of ephemeral ports, so that no outgoing connection
# takes a port between the check that it is free and its process binding it.
_PORTS = range(20000, 32000)
_PORTS_TRIED = 100
# Keep the ports that were returned from being returned again, also to other
# processes, until this one has ended.
_reservations: list[socket.socket] = []
_LISTENING_PREFIX = "listening "

T = TypeVar("T")


class FleetError(Exception):
    """A process ended unexpectedly, or a step failed or timed out."""


def poll(condition: Callable[[], T | None], timeout_s: float, what: str) -> T:
    """Calls `condition` until its value is truthy, and returns the value.

    Args:
        condition: Called every 50 ms.
        timeout_s: How long to try, in seconds.
        what: What is waited for; part of the error message.

    Raises:
        FleetError: The value was not truthy within `timeout_s`.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() >= deadline_s:
            raise FleetError(f"Timed out after {timeout_s:g} s: {what}.")
        time.sleep(_POLL_INTERVAL_S)


def free_address() -> str:
    """Returns a loopback address whose TCP port is free.

    A process that starts later binds it, and until then another run of tests
    must not get it. So the UDP port of the same number is kept, which nothing
    else uses.
    """
    for port in random.SystemRandom().sample(_PORTS, _PORTS_TRIED):
        if _reserve(port):
            return f"127.0.0.1:{port}"
    raise FleetError(f"None of {_PORTS_TRIED} random ports is free.")


def _reserve(port: int) -> bool:
    reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        reservation.bind(("127.0.0.1", port))
        with socket.socket() as candidate:
            candidate.bind(("127.0.0.1", port))
    except OSError:
        reservation.close()
        return False
    _reservations.append(reservation)
    return True


class Process:
    """One child process with its log file."""

    def __init__(
        self, name: str, child: subprocess.Popen[bytes], log: pathlib.Path
    ) -> None:
        self.name = name
        self.log = log
        self._child = child

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    def is_running(self) -> bool:
        """Returns whether the process has not ended yet."""
        return self._child.poll() is None

    def processor_s(self) -> float:
        """Returns the processor time used so far, user and system."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        # Of the fields after the name in parentheses, the 12th and 13th are
        # user and system time.
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        return ticks / os.sysconf("SC_CLK_TCK")

    def output(self) -> str:
        """Returns the output written so far."""
        return self.log.read_text(errors="replace")

    def tail(self) -> str:
        """Returns the last lines of the output, for failure reports."""
        return "\n".join(self.output().splitlines()[-_LOG_TAIL_LINES:])

    def address(self, timeout_s: float = 20.0) -> str:
        """Waits for the first `listening` line and returns its address.

        Raises:
            FleetError: The process ended, or printed no such line in time.
        """
        return poll(self._listening_address, timeout_s, f"{self.name} listens")

    def terminate(self) -> None:
        """Sends SIGTERM, which asks the process to stop gracefully."""
        self._send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kills the process and reaps it."""
        self._send_signal(signal.SIGKILL)
        self.wait()

    def pause(self) -> None:
        """Suspends the process until `resume`."""
        self._send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes the process after `pause`."""
        self._send_signal(signal.SIGCONT)

    def request_dump(self) -> None:
        """Sends SIGUSR1, on which a daemon logs its state."""
        self._send_signal(signal.SIGUSR1)

    def wait(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Waits for the process to end and returns its exit code.

        The code is the negative signal number if a signal ended the process.

        Raises:
            FleetError: The process still runs after `timeout_s`.
        """
        try:
            return self._child.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise FleetError(
                f"{self.name} is still running after {timeout_s:g} s:"
                f"\n{self.tail()}"
            ) from None

    def _send_signal(self, number: int) -> None:
        # Only this object reaps the child, so its id cannot be reused yet.
        if self.is_running():
            os.kill(self.pid, number)

    def _listening_address(self) -> str | None:
        for line in self.output().splitlines():
            if line.startswith(_LISTENING_PREFIX):
                return line.removeprefix(_LISTENING_PREFIX).strip()
        if not self.is_running():
            raise FleetError(f"{self.name} ended unexpectedly:\n{self.tail()}")
        return None


class Fleet:
    """All processes of one demo or test; leaving the context stops them all."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: list[Process] = []
        self._start_count = 0

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *exception: object) -> None:
        self.stop()

    def start(
        self,
        name: str,
        arguments: Sequence[str],
        environment: Mapping[str, str] | None = None,
    ) -> Process:
        """Starts a program whose output goes to a log file in the folder."""
        self._start_count += 1
        log = self.folder / f"{self._start_count:04}-{name}.log"
        with log.open("wb") as output:
            child = subprocess.Popen(
                list(arguments),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=_environment(environment or {}),
            )
        process = Process(name, child, log)
        self.processes.append(process)
        return process

    def stop(self) -> None:
        """Stops and reaps all processes.

        The process started first is stopped last, because the others may need
        it to stop gracefully.
        """
        self._stop_all(self.processes[1:])
        self._stop_all(self.processes[:1])
        self.processes.clear()

    def _stop_all(self, processes: Sequence[Process]) -> None:
        for process in processes:
            process.resume()
            process.terminate()
        for process in processes:
            with contextlib.suppress(FleetError):
                process.wait(_STOP_TIMEOUT_S / 4)
            process.kill()


def _environment(extra: Mapping[str, str]) -> dict[str, str]:
    # The daemon rejects unknown BULRUSHDEAL_ variables, and those in the
    # environment of the tests are not meant for it.
    kept = {
        name: value
        for name, value in os.environ.items()
        if not name.startswith("BULRUSHDEAL_")
    }
    return {**kept, "PYTHONUNBUFFERED": "1", **extra}
