"""Measures the processor time that one relayed token costs the daemon.

The daemon's path and each engine run in processes of their own. For each
number of streams it prints the processor time of the daemon's process
divided by the tokens that the clients received.
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

_ENGINES = 4
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_UTIME_FIELD = 13
_STIME_FIELD = 14
_WARM_UP_S = 1.0
_SPARE_THREADS = 50


class Reading(NamedTuple):
    """One measured number of streams.

    Attributes:
        streams: Streams that ran at once.
        tokens_per_s: Tokens that the clients received.
        cores: Processor time of the daemon's process a second.
        ms_per_token: Processor time of the daemon's process a token.
        first_token_p99_s: From the request to the first token.
    """

    streams: int
    tokens_per_s: float
    cores: float
    ms_per_token: float
    first_token_p99_s: float


@contextlib.contextmanager
def process(*arguments: str) -> Iterator[tuple[int, str]]:
    """Runs a module; gives its process number and address."""
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
    """Returns the processor time that a process has used, in all threads."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rpartition(")")[2].split()
    # The name in parentheses and the two fields before it are cut off.
    ticks = int(fields[_UTIME_FIELD - 2]) + int(fields[_STIME_FIELD - 2])
    return ticks / _TICKS_PER_S


class Clients:
    """Streams that are asked for again and again until stopped."""

    def __init__(self, address: str, streams: int, tokens: int) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
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
        """Returns the tokens received so far."""
        return sum(self._counts)

    def stop(self) -> None:
        """Ends all streams."""
        self._is_stopping = True
        for thread in self._threads:
            thread.join()

    def _run(self, index: int) -> None:
        # Spread over one token's time, as callers that know nothing of
        # each other are.
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
) -> Reading:
    """Measures one number of streams."""
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
    return Reading(
        streams,
        count / took_s,
        used_s / took_s,
        1000 * used_s / max(count, 1),
        firsts[len(firsts) * 99 // 100],
    )


def main() -> None:
    """Measures and prints one line for each number of streams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="50,100,200", help="with commas")
    parser.add_argument("--tokens", type=int, default=200)
    parser.add_argument("--token-s", type=float, default=0.042)
    parser.add_argument("--duration-s", type=float, default=8.0)
    flags = parser.parse_args()
    counts = [int(text) for text in flags.streams.split(",")]
    print("command: python -m bench.relay", *sys.argv[1:])
    with contextlib.ExitStack() as stack:
        engines = [
            stack.enter_context(
                process(
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
            process(
                "bench.staticvm",
                *("--engines", addresses),
                *("--threads", str(max(counts) + _SPARE_THREADS)),
            )
        )
        for count in counts:
            reading = measure(
                pid, address, count, flags.tokens, flags.duration_s
            )
            print(
                f"{reading.streams} streams:"
                f" {reading.tokens_per_s:.0f} tokens/s,"
                f" {reading.cores:.2f} cores,"
                f" {reading.ms_per_token:.3f} ms a token,"
                f" first token p99 {reading.first_token_p99_s:.3f} s"
            )


if __name__ == "__main__":
    main()
