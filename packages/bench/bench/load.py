"""An open-loop load of online requests, and the latencies of their callers.

Arrivals are planned with a seeded generator before the run and are not
delayed by slow answers. The time to the first token counts from the planned
start, so that a stalled system cannot hide its delay.

The engines stamp each token with its due time and the time when it was made,
which separates the engines' delays from those on the way to the load tool.
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
    """The requests of one customer.

    Attributes:
        customer: Name of the customer.
        key: Its API key.
        rate_per_s: Mean arrivals per second.
    """

    customer: str
    key: str
    rate_per_s: float


class Shape(NamedTuple):
    """The shape of the requests and their arrivals.

    Attributes:
        prompt_bytes: Mean length of a prompt without its shared prefix.
        prefix_bytes: Length of a shared prefix.
        prefixes: Number of different prefixes; 0 for none.
        max_tokens: Tokens requested per answer.
        burst_factor: Factor of the arrival rate in every fifth second.
    """

    prompt_bytes: int = 200
    prefix_bytes: int = 2000
    prefixes: int = 0
    max_tokens: int = 20
    burst_factor: float = 1.0


class Arrival(NamedTuple):
    """One planned request; `at_s` counts from the start of the run."""

    at_s: float
    caller: Caller
    address: str
    body: bytes


class Token(NamedTuple):
    """The times of one token, by the machine's monotonic clock.

    Attributes:
        received_s: When the load tool read it.
        due_s: When its engine should have made it by its configured pace.
        made_s: When the engine made it.
    """

    received_s: float
    due_s: float
    made_s: float


class Summary(NamedTuple):
    """The outcomes and latencies of a group of requests.

    All latencies are by percentile.

    Attributes:
        requests: Requests sent.
        ok: Requests answered completely.
        refused: Numbers of the other requests by error code.
        first_token_ms: Time from the planned start to the first token.
        between_tokens_ms: Time between two tokens of a stream.
        engines_pace_ms: The same by the engines' configured pace.
        engines_late_ms: How late an engine made a token.
        path_ms: Time from making a token to reading it in the load tool.
        busy_s: Sum of the durations of all answered requests.
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
    """Collects outcomes and latencies; safe for use by many threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._first_token = spent.new_histogram()
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
        """Records a complete answer.

        Args:
            first_s: Time from the planned start to the first token.
            tokens: All tokens in order.
            busy_s: Time from sending the request to the last token.
        """
        with self._lock:
            self._requests += 1
            self._ok += 1
            self._busy_s += busy_s
            spent.record_s(self._first_token, first_s)
            for token in tokens:
                spent.record_s(self._late, token.made_s - token.due_s)
                spent.record_s(self._path, token.received_s - token.made_s)
            for one, other in itertools.pairwise(tokens):
                gap_s = other.received_s - one.received_s
                spent.record_s(self._between, gap_s)
                spent.record_s(self._pace, other.due_s - one.due_s)

    def refused(self, code: str) -> None:
        """Records a refusal or a failure under its code."""
        with self._lock:
            self._requests += 1
            self._refused[code] = self._refused.get(code, 0) + 1

    def summary(self) -> Summary:
        """Returns the figures of all recorded requests."""
        with self._lock:
            return Summary(
                self._requests,
                self._ok,
                dict(self._refused),
                spent.percentiles_ms(self._first_token),
                spent.percentiles_ms(self._between),
                spent.percentiles_ms(self._pace),
                spent.percentiles_ms(self._late),
                spent.percentiles_ms(self._path),
                self._busy_s,
            )


def ratios(one: dict[str, float], other: dict[str, float]) -> dict[str, float]:
    """Returns each percentile of `one` divided by that of `other`."""
    return {name: one[name] / max(other[name], 0.001) for name in one}


def plan(
    callers: Sequence[Caller],
    addresses: Sequence[str],
    shape: Shape,
    duration_s: float,
    seed: int,
    phase: str = "",
) -> list[Arrival]:
    """Plans the arrivals of a run; the same seed gives the same plan.

    The phases of one experiment have the same arrival times but different
    prompts. Otherwise the engines would have the prompts of the later phases
    in their caches.

    Args:
        callers: The customers and their rates.
        addresses: Addresses of the VMs; each request goes to a random one.
        shape: Shape of the requests.
        duration_s: Length of the run.
        seed: Seed of the arrivals.
        phase: Name of the phase, which varies the prompts.

    Returns:
        The arrivals in order of time.
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
    """Returns how many arrivals a single bucket for the fleet would admit."""
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
    """Sends planned arrivals and records the answers.

    Attributes:
        all: All requests.
        others: Requests of all customers but the excluded one.
        customers: Requests by customer.
        vms: Requests of all customers but the excluded one, by the address
            of the VM that they were sent to.
    """

    def __init__(
        self, arrivals: Sequence[Arrival], excluded_customer: str = ""
    ) -> None:
        """Prepares a run.

        Args:
            arrivals: The arrivals in order of time.
            excluded_customer: A customer left out of `others` and `vms`.
        """
        self._arrivals = arrivals
        self._excluded_customer = excluded_customer
        self._pools = urllib3.PoolManager(
            retries=False, maxsize=_THREADS, num_pools=64
        )
        self.all = Recorder()
        self.others = Recorder()
        self.customers = {
            arrival.caller.customer: Recorder() for arrival in arrivals
        }
        self.vms = {arrival.address: Recorder() for arrival in arrivals}

    def run(self) -> None:
        """Sends each request at its planned time and waits for all answers."""
        start_s = time.monotonic() + 0.2
        with futures.ThreadPoolExecutor(_THREADS) as threads:
            for arrival in self._arrivals:
                due_s = start_s + arrival.at_s
                time.sleep(max(0.0, due_s - time.monotonic()))
                threads.submit(self._send, arrival, due_s)

    def _send(self, arrival: Arrival, due_s: float) -> None:
        customer = arrival.caller.customer
        recorders = [self.all, self.customers[customer]]
        if customer != self._excluded_customer:
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
                return _error_code(response)
            tokens = _read_tokens(response)
        except urllib3.exceptions.HTTPError as error:
            return type(error).__name__
        if tokens is None:
            return "cut"
        first_s = tokens[0].received_s - due_s
        busy_s = tokens[-1].received_s - sent_s
        for recorder in recorders:
            recorder.answered(first_s, tokens, busy_s)
        return ""


def _error_code(response: urllib3.BaseHTTPResponse) -> str:
    try:
        return str(json.loads(response.data)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return str(response.status)


class _Event(NamedTuple):
    received_s: float
    data: bytes

    def token(self) -> Token:
        """Parses the token's times, after the stream so as not to delay it."""
        value = json.loads(self.data.removeprefix(b"data: "))
        return Token(self.received_s, value["due_s"], value["made_s"])


def _read_tokens(response: urllib3.BaseHTTPResponse) -> list[Token] | None:
    """Returns the tokens of a stream, or `None` if it ended early."""
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
