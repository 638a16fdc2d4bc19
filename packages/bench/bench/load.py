"""An open-loop load of online requests, and what its callers saw.

Arrivals are planned from a seeded generator before the run and are not held
back by slow answers; the time to the first token counts from the planned
start, so that a stalled system cannot hide its own delay.
"""

from collections.abc import Sequence
from concurrent import futures
import itertools
import json
import random
import threading
import time
from typing import NamedTuple

from hdrh import histogram
import urllib3
import urllib3.exceptions

_THREADS = 400
_TIMEOUT_S = 30.0
_US = 1_000_000
_LONGEST_US = 60 * _US
_DIGITS = 3
_OK = 200
PERCENTILES = (50.0, 95.0, 99.0)


class Caller(NamedTuple):
    """One customer's part of a load.

    Attributes:
        customer: Its name.
        key: What it presents.
        rate_per_s: Mean arrivals a second.
    """

    customer: str
    key: str
    rate_per_s: float


class Shape(NamedTuple):
    """What requests look like.

    Attributes:
        prompt_bytes: Mean length of the prompt beside the shared prefix.
        prefix_bytes: Length of the prefix that requests share.
        prefixes: How many different prefixes there are; 0 for none.
        max_tokens: Tokens asked for.
        burst_factor: Arrivals are this much denser in every fifth second.
    """

    prompt_bytes: int = 200
    prefix_bytes: int = 2000
    prefixes: int = 0
    max_tokens: int = 20
    burst_factor: float = 1.0


class Arrival(NamedTuple):
    """One planned request."""

    at_s: float
    caller: Caller
    address: str
    body: bytes


class Seen(NamedTuple):
    """What the callers of one customer, or of all, saw."""

    requests: int
    ok: int
    refused: dict[str, int]
    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]
    busy_s: float


class Recorder:
    """Gathers latencies from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._first = histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)
        self._between = histogram.HdrHistogram(1, _LONGEST_US, _DIGITS)
        self._refused: dict[str, int] = {}
        self._requests = 0
        self._ok = 0
        self._busy_s = 0.0

    def answered(
        self, first_s: float, gaps_s: Sequence[float], busy_s: float
    ) -> None:
        """Notes a whole answer."""
        with self._lock:
            self._requests += 1
            self._ok += 1
            self._busy_s += busy_s
            self._first.record_value(max(1, int(first_s * _US)))
            for gap_s in gaps_s:
                self._between.record_value(max(1, int(gap_s * _US)))

    def refused(self, code: str) -> None:
        """Notes a refusal or a failure by its code."""
        with self._lock:
            self._requests += 1
            self._refused[code] = self._refused.get(code, 0) + 1

    def seen(self) -> Seen:
        """Returns all that was noted."""
        with self._lock:
            return Seen(
                self._requests,
                self._ok,
                dict(self._refused),
                _percentiles(self._first),
                _percentiles(self._between),
                self._busy_s,
            )


def _percentiles(recorded: histogram.HdrHistogram) -> dict[str, float]:
    return {
        f"p{percent:g}": recorded.get_value_at_percentile(percent) / 1000
        for percent in PERCENTILES
    }


def ratios(one: dict[str, float], other: dict[str, float]) -> dict[str, float]:
    """Returns each percentile of one phase relative to another's."""
    return {name: one[name] / max(other[name], 0.001) for name in one}


def plan(
    callers: Sequence[Caller],
    addresses: Sequence[str],
    shape: Shape,
    duration_s: float,
    seed: int,
    phase: str = "",
) -> list[Arrival]:
    """Returns the arrivals of a run, in order; the same for the same seed.

    Phases of one experiment have the same arrivals but other prompts, or the
    engines would have the later phases' prompts in their cache.
    """
    arrivals: list[Arrival] = []
    for caller in callers:
        source = random.Random(f"{seed}/{caller.customer}")
        texts = random.Random(f"{seed}/{caller.customer}/{phase}")
        at_s = 0.0
        while True:
            is_burst = int(at_s) % 5 == 4  # noqa: PLR2004
            factor = shape.burst_factor if is_burst else 1.0
            at_s += source.expovariate(caller.rate_per_s * factor)
            if at_s >= duration_s:
                break
            body = _body(shape, texts)
            address = source.choice(addresses)
            arrivals.append(Arrival(at_s, caller, address, body))
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


def admitted_by_one_bucket(
    arrivals: Sequence[Arrival], customer: str, rate_per_s: float, burst: float
) -> int:
    """Returns how many arrivals one bucket over the whole fleet would admit."""
    level = burst
    last_s = 0.0
    admitted = 0
    for arrival in arrivals:
        if arrival.caller.customer != customer:
            continue
        level = min(burst, level + (arrival.at_s - last_s) * rate_per_s)
        last_s = arrival.at_s
        if level >= 1:
            level -= 1
            admitted += 1
    return admitted


def _body(shape: Shape, source: random.Random) -> bytes:
    prefix = ""
    if shape.prefixes:
        name = f"prefix {source.randrange(shape.prefixes)} "
        prefix = (name * shape.prefix_bytes)[: shape.prefix_bytes]
    length = max(16, int(source.expovariate(1 / shape.prompt_bytes)))
    tail = f"{source.random():.12f} " * (length // 15 + 1)
    return json.dumps(
        {
            "model": "textbook",
            "prompt": prefix + tail[:length],
            "max_tokens": shape.max_tokens,
            "stream": True,
        }
    ).encode()


class Run:
    """Sends planned arrivals and records what comes back."""

    def __init__(self, arrivals: Sequence[Arrival], loud: str = "") -> None:
        """Prepares a run.

        Args:
            arrivals: In order of time.
            loud: A customer left out of `others`.
        """
        self._arrivals = arrivals
        self._loud = loud
        self._pools = urllib3.PoolManager(
            retries=False, maxsize=_THREADS, num_pools=64
        )
        self.all = Recorder()
        self.others = Recorder()
        self.customers = {
            arrival.caller.customer: Recorder() for arrival in arrivals
        }

    def run(self) -> None:
        """Sends each arrival at its time and waits for all answers."""
        start_s = time.monotonic() + 0.2
        with futures.ThreadPoolExecutor(_THREADS) as threads:
            for arrival in self._arrivals:
                due_s = start_s + arrival.at_s
                time.sleep(max(0.0, due_s - time.monotonic()))
                threads.submit(self._send, arrival, due_s)

    def _send(self, arrival: Arrival, due_s: float) -> None:
        customer = arrival.caller.customer
        recorders = [self.all, self.customers[customer]]
        if customer != self._loud:
            recorders.append(self.others)
        code = self._exchange(arrival, due_s, recorders)
        if code:
            for recorder in recorders:
                recorder.refused(code)

    def _exchange(
        self, arrival: Arrival, due_s: float, recorders: Sequence[Recorder]
    ) -> str:
        sent_s = time.monotonic()
        try:
            response = self._pools.request(
                "POST",
                f"http://{arrival.address}/v1/completions",
                body=arrival.body,
                headers={"Authorization": f"Bearer {arrival.caller.key}"},
                preload_content=False,
                timeout=_TIMEOUT_S,
            )
            if response.status != _OK:
                return _code(response)
            times_s = _token_times(response)
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        if times_s is None:
            return "cut"
        gaps_s = [
            later - earlier for earlier, later in itertools.pairwise(times_s)
        ]
        for recorder in recorders:
            recorder.answered(times_s[0] - due_s, gaps_s, times_s[-1] - sent_s)
        return ""


def _code(response: urllib3.BaseHTTPResponse) -> str:
    try:
        return str(json.loads(response.data)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return str(response.status)


def _token_times(response: urllib3.BaseHTTPResponse) -> list[float] | None:
    """Returns when each token came, `None` if the stream was cut."""
    times_s: list[float] = []
    is_done = False
    rest = b""
    for chunk in response.stream(65536):
        now_s = time.monotonic()
        *events, rest = (rest + chunk).split(b"\n\n")
        for event in events:
            if event == b"data: [DONE]":
                is_done = True
            elif b'"text": "",' not in event and b'"error"' not in event:
                times_s.append(now_s)
    response.release_conn()
    return times_s if is_done and times_s else None
