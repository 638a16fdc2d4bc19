"""Fakes of the router and the upstreams that run batch items."""

from collections.abc import Callable, Iterator, Mapping
import json
from typing import Any

import result

from bulrushdeal import records
from bulrushdeald import services

ENGINE = records.Upstream("engine", "engine", "127.0.0.1:1", "u", "d0", ("m",))


class FakeSlot:
    def __init__(self) -> None:
        self.yield_now: Callable[[], None] = lambda: None
        self.outcomes: list[services.Outcome] = []

    @property
    def upstream(self) -> records.Upstream:
        return ENGINE

    def on_yield(self, callback: Callable[[], None]) -> None:
        self.yield_now = callback

    def release(self, outcome: services.Outcome) -> None:
        assert not self.outcomes
        self.outcomes.append(outcome)


class FakeRouter:
    """Grants a slot to each item.

    Attributes:
        slots: The number of free batch slots that the router reports.
        refuse: Returns the refusal for an item, or `None` to grant a slot.
    """

    def __init__(self) -> None:
        self.slots = 1000
        self.refuse: Callable[
            [services.PlacementRequest], services.Refusal | None
        ] = lambda work: None

    def batch_slots(self, model: str) -> int:
        return self.slots

    def acquire(
        self, work: services.PlacementRequest
    ) -> result.Result[services.Slot, services.Refusal]:
        refusal = self.refuse(work)
        return result.Err(refusal) if refusal else result.Ok(FakeSlot())


class FakeAnswer:
    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.headers: tuple[tuple[str, str], ...] = ()
        self._body = body

    @property
    def request_number(self) -> int:
        return 1

    @property
    def ends_with_connection(self) -> bool:
        return False

    def chunks(self) -> Iterator[result.Result[bytes, services.UpstreamError]]:
        yield result.Ok(self._body)

    def set_read_timeout(self, timeout_s: float) -> None: ...

    def limit_reads(self, max_bytes: int, within_s: float) -> None: ...

    def cancel(self) -> None: ...

    def close(self) -> None: ...


def crashed() -> result.Err[services.UpstreamError]:
    return result.Err(services.UpstreamError("crashed", "unknown", "gone"))


def answer(prompt: str, run: int = 0) -> dict[str, Any]:
    """Returns the fake engine's answer, which is different for each run."""
    usage = {"prompt_tokens": 2, "completion_tokens": 3}
    choice = {"text": prompt.upper(), "run": run}
    return {"choices": [choice], "usage": usage}


class FakeUpstreams:
    """An engine that answers at once.

    Attributes:
        prompts: The prompts sent so far.
        fault: Returns the result to give instead of the engine's answer, or
            `None`.
    """

    def __init__(self) -> None:
        self.prompts: list[str] = []
        self.fault: Callable[[str], Any] = lambda prompt: None

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
        assert isinstance(body, bytes)
        prompt = json.loads(body)["prompt"]
        self.prompts.append(prompt)
        if on_connected is not None:
            on_connected(lambda: None)
        fault: result.Result[services.UpstreamAnswer, services.UpstreamError]
        fault = self.fault(prompt)
        if fault is not None:
            return fault
        body = answer(prompt, self.prompts.count(prompt))
        return result.Ok(FakeAnswer(200, json.dumps(body).encode()))
