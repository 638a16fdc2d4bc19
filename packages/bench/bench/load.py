"""An open-loop load of online requests, and what its callers saw.

Arrivals are planned from a seeded generator before the run and are not held
back by slow answers; the time to the first token counts from the planned
start, so that a stalled system cannot hide its own delay.

The engines stamp their tokens, so that what they take themselves can be told
from what is added on the way from them to here.
"""

from collections.abc import Sequence
from concurrent import futures
import itertools
import json
import random
import threading
import time
from typing import NamedTuple

import urllib3
import urllib3.exceptions

from bench import spent

_THREADS = 400
_TIMEOUT_S = 30.0
_OK = 200


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


class Token(NamedTuple):
    """One token, by the machine's monotonic clock.

    Attributes:
        received_s: When it was read here.
        due_s: When its engine was to make it by its own pace.
        made_s: When it did.
    """

    received_s: float
    due_s: float
    made_s: float


class Seen(NamedTuple):
    """What the callers of one customer, or of all, saw.

    Attributes:
        requests: How many were sent.
        ok: How many were answered whole.
        refused: The others, by code.
        first_token_ms: From the planned start.
        between_tokens_ms: Between two tokens of a stream.
        engines_pace_ms: What that was to be by the engines' own pace.
        engines_late_ms: How late engines made a token.
        path_ms: From an engine's write to the load tool's read.
        busy_s: The time of all streams together.
    """

    requests: int
    ok: int
    refused: dict[str, int]
    first_token_ms: dict[str, float]
    between_tokens_ms: dict[str, float]
    engines_pace_ms: dict[str, float]
    engines_late_ms: dict[str, float]
    path_ms: dict[str, float]
    busy_s: float


class Recorder:
    """Gathers latencies from many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._first = spent.new_histogram()
        self._between = spent.new_histogram()
        self._pace = spent.new_histogram()
        self._late = spent.new_histogram()
        self._path = spent.new_histogram()
        self._refused: dict[str, int] = {}
        self._requests = 0
        self._ok = 0
        self._busy_s = 0.0

    def answered(
        self, first_s: float, tokens: Sequence[Token], busy_s: float
    ) -> None:
        """Notes a whole answer."""
        with self._lock:
            self._requests += 1
            self._ok += 1
            self._busy_s += busy_s
            spent.record_s(self._first, first_s)
            for token in tokens:
                spent.record_s(self._late, token.made_s - token.due_s)
                spent.record_s(self._path, token.received_s - token.made_s)
            for one, other in itertools.pairwise(tokens):
                gap_s = other.received_s - one.received_s
                spent.record_s(self._between, gap_s)
                spent.record_s(self._pace, other.due_s - one.due_s)

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
                spent.percentiles_ms(self._first),
                spent.percentiles_ms(self._between),
                spent.percentiles_ms(self._pace),
                spent.percentiles_ms(self._late),
                spent.percentiles_ms(self._path),
                self._busy_s,
            )


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
        # What all but the loud customer saw, by the VM they came to.
        self.vms = {arrival.address: Recorder() for arrival in arrivals}

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
            recorders += [self.others, self.vms[arrival.address]]
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
            tokens = _tokens(response)
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        if tokens is None:
            return "cut"
        first_s = tokens[0].received_s - due_s
        busy_s = tokens[-1].received_s - sent_s
        for recorder in recorders:
            recorder.answered(first_s, tokens, busy_s)
        return ""


def _code(response: urllib3.BaseHTTPResponse) -> str:
    try:
        return str(json.loads(response.data)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return str(response.status)


class _Event(NamedTuple):
    received_s: float
    data: bytes

    def token(self) -> Token:
        """Reads the stamps; done once a stream is over, to delay none."""
        value = json.loads(self.data.removeprefix(b"data: "))
        return Token(self.received_s, value["due_s"], value["made_s"])


def _tokens(response: urllib3.BaseHTTPResponse) -> list[Token] | None:
    """Returns a stream's tokens, `None` if it was cut."""
    events: list[_Event] = []
    is_done = False
    rest = b""
    for chunk in response.stream(65536):
        now_s = time.monotonic()
        *parts, rest = (rest + chunk).split(b"\n\n")
        for part in parts:
            if part == b"data: [DONE]":
                is_done = True
            elif b'"text": "",' not in part and b'"error"' not in part:
                events.append(_Event(now_s, part))
    response.release_conn()
    if not is_done or not events:
        return None
    return [event.token() for event in events]
