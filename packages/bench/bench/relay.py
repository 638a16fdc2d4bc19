"""Measures the daemon's processor time per relayed token.

The daemon's callers' path and each engine run in processes of their own. For
each number of streams, prints the processor time of the daemon's process
divided by the number of tokens that the clients received.
"""

import argparse
import collections
from collections.abc import Iterator
import contextlib
import json
import os
import socket
import subprocess
import sys
import threading
import time
from typing import NamedTuple

from bench import staticvm
from bulrushdeal import addresses

_ENGINES = 4
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_UTIME_FIELD = 13
_STIME_FIELD = 14
_WARM_UP_S = 1.0
_SPARE_THREADS = 50


class Measurement(NamedTuple):
    """The measurement for one number of streams.

    Attributes:
        streams: Number of concurrent streams.
        tokens_per_s: Tokens per second that the clients received.
        cores: Processor time of the daemon's process per second.
        ms_per_token: Processor time of the daemon's process per token.
        first_token_p99_s: 99th percentile of the time from a request to its
            first token.
    """

    streams: int
    tokens_per_s: float
    cores: float
    ms_per_token: float
    first_token_p99_s: float


@contextlib.contextmanager
def run_module(*arguments: str) -> Iterator[tuple[int, str]]:
    """Runs a module as a process and kills the process on exit.

    Args:
        arguments: The module and its arguments.

    Yields:
        The process id and the address that the module prints.
    """
    child = subprocess.Popen(
        [sys.executable, "-m", *arguments], stdout=subprocess.PIPE, text=True
    )
    assert child.stdout is not None
    try:
        yield child.pid, child.stdout.readline().split()[1]
    finally:
        child.kill()
        child.wait()


def processor_s(pid: int) -> float:
    """Returns the processor time that all threads of a process have used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    # The process id and the name in parentheses are cut off, so the indexes
    # are lower by two.
    ticks = int(fields[_UTIME_FIELD - 2]) + int(fields[_STIME_FIELD - 2])
    return ticks / _TICKS_PER_S


class Clients:
    """Clients that each repeat a streaming request until stopped.

    Attributes:
        first_tokens_s: Times from a request to its first token.
    """

    def __init__(self, address: str, streams: int, tokens: int) -> None:
        self._address = addresses.parse(address)
        self._tokens = tokens
        self._is_stopping = False
        self._counts = [0] * streams
        self.first_tokens_s: collections.deque[float] = collections.deque()
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(streams)
        ]
        for thread in self._threads:
            thread.start()

    def tokens(self) -> int:
        """Returns the number of tokens received so far."""
        return sum(self._counts)

    def stop(self) -> None:
        """Ends all streams."""
        self._is_stopping = True
        for thread in self._threads:
            thread.join()

    def _run(self, index: int) -> None:
        # The starts are spread over the time of one token, as independent
        # callers do not start together.
        time.sleep(index * 0.042 / len(self._counts))
        while not self._is_stopping:
            self._stream(index)

    def _stream(self, index: int) -> None:
        body = json.dumps(
            {
                "model": staticvm.MODEL,
                "prompt": f"stream {index}",
                "max_tokens": self._tokens,
                "stream": True,
            }
        ).encode()
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
            f"Authorization: Bearer {staticvm.KEY}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        ).encode()
        begin_s = time.monotonic()
        is_first = True
        with socket.create_connection(self._address) as connection:
            connection.sendall(head + body)
            while not self._is_stopping:
                data = connection.recv(65536)
                if not data:
                    return
                count = data.count(b"data: {")
                if count and is_first:
                    is_first = False
                    self.first_tokens_s.append(time.monotonic() - begin_s)
                self._counts[index] += count


def measure(
    daemon_pid: int, address: str, streams: int, tokens: int, duration_s: float
) -> Measurement:
    """Measures one number of streams.

    Args:
        daemon_pid: Process id of the daemon.
        address: The daemon's address for callers.
        streams: Number of concurrent streams.
        tokens: Tokens per stream.
        duration_s: Measured time, after a warm-up of 1 s.
    """
    clients = Clients(address, streams, tokens)
    time.sleep(_WARM_UP_S)
    begin_s = time.monotonic()
    begin = (clients.tokens(), processor_s(daemon_pid))
    time.sleep(duration_s)
    took_s = time.monotonic() - begin_s
    count = clients.tokens() - begin[0]
    used_s = processor_s(daemon_pid) - begin[1]
    clients.stop()
    firsts = sorted(clients.first_tokens_s)
    return Measurement(
        streams,
        count / took_s,
        used_s / took_s,
        1000 * used_s / max(count, 1),
        firsts[len(firsts) * 99 // 100],
    )


def main() -> None:
    """Measures and prints one line for each number of streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--streams", default="50,100,200", help="separated by commas"
    )
    parser.add_argument("--tokens", type=int, default=200)
    parser.add_argument("--token-s", type=float, default=0.042)
    parser.add_argument("--duration-s", type=float, default=8.0)
    flags = parser.parse_args()
    counts = [int(text) for text in flags.streams.split(",")]
    print("command: python -m bench.relay", *sys.argv[1:])
    with contextlib.ExitStack() as stack:
        engines = [
            stack.enter_context(
                run_module(
                    "standins.engine",
                    *("--models", staticvm.MODEL),
                    *("--token-s", str(flags.token_s)),
                    *("--token-per-stream-s", "0"),
                    *("--max-running", "1000"),
                )
            )
            for _ in range(_ENGINES)
        ]
        addresses = ",".join(address for _, address in engines)
        pid, address = stack.enter_context(
            run_module(
                "bench.staticvm",
                *("--engines", addresses),
                *("--threads", str(max(counts) + _SPARE_THREADS)),
            )
        )
        for count in counts:
            measurement = measure(
                pid, address, count, flags.tokens, flags.duration_s
            )
            print(
                f"{measurement.streams} streams:"
                f" {measurement.tokens_per_s:.0f} tokens/s,"
                f" {measurement.cores:.2f} cores,"
                f" {measurement.ms_per_token:.3f} ms a token,"
                f" first token p99 {measurement.first_token_p99_s:.3f} s"
            )


if __name__ == "__main__":
    main()
