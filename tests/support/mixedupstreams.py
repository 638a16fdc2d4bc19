"""In-memory upstreams that echo, count runs and fail on request."""

import collections
from collections.abc import Callable, Iterator, Mapping
import json
from typing import Literal

import result

from bulrushdeal import records
from bulrushdeald import services
from support import batchupstreams

# How the next request fails: no connection, a connection that breaks before
# or after the request ran, or one that breaks inside the answer.
Fault = Literal["unreachable", "not_taken", "no_answer", "cut_answer"]
FAULTS: tuple[Fault, ...] = (
    "unreachable",
    "not_taken",
    "no_answer",
    "cut_answer",
)
MODEL = "m"
SERVICE = "booking"
ROWS = (
    records.Upstream("e0", "engine", "e0:1", "up0", "d0", (MODEL,)),
    records.Upstream("e1", "engine", "e1:1", "up1", "d1", (MODEL,)),
    records.Upstream("b0", "plain", "b0:1", "up0", "d0", (), SERVICE),
    records.Upstream("b1", "plain", "b1:1", "up1", "d1", (), SERVICE),
)


class VmLostError(BaseException):
    """Aborts a VM's call at the point where the VM is lost.

    It is no `Exception`, so that no handler of the VM catches it.
    """


class Answer(batchupstreams.FakeAnswer):
    """An answer in two chunks; its connection may break between them."""

    def __init__(self, body: bytes, is_cut: bool) -> None:
        super().__init__(200, body)
        self.is_cancelled = False
        self._is_cut = is_cut

    def chunks(self) -> Iterator[result.Result[bytes, services.UpstreamError]]:
        middle = len(self._body) // 2
        yield result.Ok(self._body[:middle])
        if self.is_cancelled or self._is_cut:
            yield _failed(
                "cancelled" if self.is_cancelled else "crashed", "ran"
            )
            return
        yield result.Ok(self._body[middle:])

    def cancel(self) -> None:
        self.is_cancelled = True


class EchoUpstreams(batchupstreams.FakeUpstreams):
    """All upstreams of a fleet; see `services.Upstreams`.

    Attributes:
        faults: The faults of the next requests, the next one last.
        in_flight_action: Runs once, while the next request is at its upstream.
        breaks: How often a connection broke, by the text of the request.
        attempts: The IDs (`x-attempt`) of the clients' requests that ran.
        secrets: The API keys, which must never reach an upstream.
        leaving: The VMs whose upstreams must not get new requests.
        problems: The violations found so far.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[Fault] = []
        self.in_flight_action: Callable[[], None] | None = None
        self.breaks: collections.Counter[str] = collections.Counter()
        self.attempts: set[str] = set()
        self.secrets: list[str] = []
        self.leaving: set[str] = set()
        self.problems: list[str] = []

    def _require(self, is_met: bool, problem: str) -> None:
        # The VM would handle an error raised here as a failed request.
        if not is_met:
            self.problems.append(problem)

    def send(
        self,
        upstream: records.Upstream,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: Iterator[bytes] | bytes,
        timeout_s: float,
        *,
        use: services.ConnectionUse = services.ConnectionUse(),
        on_connected: Callable[[Callable[[], None]], None] | None = None,
    ) -> result.Result[services.UpstreamAnswer, services.UpstreamError]:
        self._require(
            upstream.vm not in self.leaving, "a leaving upstream got a request"
        )
        data = body if isinstance(body, bytes) else b"".join(body)
        sent = f"{path} {headers} {data!r}"
        has_secret = any(secret in sent for secret in self.secrets)
        self._require(not has_secret, "an upstream received an API key")
        text = json.loads(data)["prompt"]
        fault = self.faults.pop() if self.faults else ""
        if fault == "unreachable":
            return _failed("unreachable", "not_run")
        self.breaks[text] += bool(fault or self.fault(text))
        run = batchupstreams.answer(text, self.prompts.count(text) + 1)
        answer = Answer(json.dumps(run).encode(), fault == "cut_answer")
        if on_connected is not None:
            on_connected(answer.cancel)
        if fault == "not_taken":
            return _failed("crashed", "unknown")
        self.prompts.append(text)
        self.attempts.add(headers.get("x-attempt", ""))
        action, self.in_flight_action = self.in_flight_action, None
        if action is not None:
            action()
        if answer.is_cancelled:
            return _failed("cancelled", "unknown")
        if fault == "no_answer" or self.fault(text):
            return _failed("crashed", "unknown")
        return result.Ok(answer)


def _failed(
    kind: Literal["unreachable", "crashed", "cancelled"],
    ran: services.ExecutionStatus,
) -> result.Err[services.UpstreamError]:
    return result.Err(services.UpstreamError(kind, ran, kind))
