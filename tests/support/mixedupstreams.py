"""Upstreams in memory that echo, count runs and fail as they are told."""

import collections
from collections.abc import Callable, Iterator, Mapping
import json
from typing import Literal

import result

from bulrushdeal import records
from bulrushdeald import services
from support import batchupstreams

# How the next request fails: no connection, broken before or after it ran,
# or broken inside the answer.
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
    """Ends what a VM does at the point where the VM is lost."""


class Answer(batchupstreams.FakeAnswer):
    """An answer in two pieces, which may break off between them."""

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
        faults: Of the next requests.
        meanwhile: Runs once while the next request is at its upstream.
        breaks: How often the connection of a text broke.
        attempts: The clients' tries that ran.
        secrets: What no upstream may see.
        leaving: VMs whose upstreams may get nothing new.
        problems: What was seen here that may never be.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[Fault] = []
        self.meanwhile: Callable[[], None] | None = None
        self.breaks: collections.Counter[str] = collections.Counter()
        self.attempts: set[str] = set()
        self.secrets: list[str] = []
        self.leaving: set[str] = set()
        self.problems: list[str] = []

    def _expect(self, is_so: bool, problem: str) -> None:
        # An error raised here would be taken for a fault of the request.
        if not is_so:
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
        is_fresh: bool = False,
        on_open: Callable[[Callable[[], None]], None] | None = None,
    ) -> result.Result[services.UpstreamAnswer, services.UpstreamError]:
        self._expect(upstream.vm not in self.leaving, "leaving, but got work")
        data = body if isinstance(body, bytes) else b"".join(body)
        seen = f"{path} {headers} {data!r}"
        is_seen = any(secret in seen for secret in self.secrets)
        self._expect(not is_seen, "an upstream saw a key")
        text = json.loads(data)["prompt"]
        fault = self.faults.pop() if self.faults else ""
        if fault == "unreachable":
            return _failed("unreachable", "not_run")
        self.breaks[text] += bool(fault or self.fault(text))
        run = batchupstreams.answer(text, self.prompts.count(text) + 1)
        answer = Answer(json.dumps(run).encode(), fault == "cut_answer")
        if on_open is not None:
            on_open(answer.cancel)
        if fault == "not_taken":
            return _failed("crashed", "unknown")
        self.prompts.append(text)
        self.attempts.add(headers.get("x-attempt", ""))
        meanwhile, self.meanwhile = self.meanwhile, None
        if meanwhile is not None:
            meanwhile()
        if answer.is_cancelled:
            return _failed("cancelled", "unknown")
        if fault == "no_answer" or self.fault(text):
            return _failed("crashed", "unknown")
        return result.Ok(answer)


def _failed(
    kind: Literal["unreachable", "crashed", "cancelled"], ran: services.Ran
) -> result.Err[services.UpstreamError]:
    return result.Err(services.UpstreamError(kind, ran, kind))
