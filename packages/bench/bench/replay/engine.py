"""A simulated upstream that runs a model with continuous batching.

Requests are admitted in the order of their arrival. Each step reads a chunk of
the unread prompts and generates one token for every request whose prompt has
been read. A step takes longer the more requests run and the more prompt tokens
it reads.
"""

import collections
from collections.abc import Callable, Iterable
from typing import NamedTuple

from bench.replay import loads
from bench.replay import timeline as timeline_lib


class Request(NamedTuple):
    """A request to an engine.

    Attributes:
        prompt_tokens: The number of tokens to read before the first event.
        events: The number of events of the answer.
        on_event: Called at each event.
        on_end: Called after the last event.
    """

    prompt_tokens: int
    events: int
    on_event: Callable[[], None]
    on_end: Callable[[], None]


class _Sequence:
    """A request that waits or runs in an engine.

    Attributes:
        run: The unique name of the run.
        request: The request.
        size_tokens: The memory it takes, for its prompt and its whole output.
        unread_prompt_tokens: The number of prompt tokens not yet read.
        tokens: The number of tokens generated so far.
        events: The number of events sent so far.
        ready_s: The time from which steps include it, in seconds.
    """

    def __init__(self, run: str, request: Request, size_tokens: int) -> None:
        self.run = run
        self.request = request
        self.size_tokens = size_tokens
        self.unread_prompt_tokens = request.prompt_tokens
        self.tokens = 0
        self.events = 0
        self.ready_s = 0.0


class Engine:
    """A simulated upstream.

    Args:
        timeline: Runs the steps at their times.
        spec: The capacity and speed.
        slowdowns: The periods in which steps take longer.
    """

    def __init__(
        self,
        timeline: timeline_lib.Timeline,
        spec: loads.Engines,
        slowdowns: Iterable[loads.Slow] = (),
    ) -> None:
        self._timeline = timeline
        self._spec = spec
        self._slowdowns = tuple(slowdowns)
        self._queue: collections.deque[_Sequence] = collections.deque()
        self._running: list[_Sequence] = []
        self._sequences: dict[str, _Sequence] = {}
        self._is_stepping = False

    def submit(self, run: str, request: Request) -> bool:
        """Queues a request; false if the queue is full.

        One request may wait even if the queue length of the spec is 0.
        """
        if len(self._queue) >= max(1, self._spec.queue):
            return False
        output = request.events * self._spec.tokens_per_event
        sequence = _Sequence(run, request, request.prompt_tokens + output)
        self._sequences[run] = sequence
        self._queue.append(sequence)
        self._admit()
        return True

    def cancel(self, run: str) -> None:
        """Removes a request; does nothing if it has ended."""
        sequence = self._sequences.pop(run, None)
        if sequence is None:
            return
        if sequence in self._running:
            self._running.remove(sequence)
        else:
            self._queue.remove(sequence)
        self._admit()

    def request_count(self) -> int:
        """Returns the number of running and waiting requests."""
        return len(self._running) + len(self._queue)

    def running_count(self) -> int:
        """Returns the number of running requests."""
        return len(self._running)

    def _admit(self) -> None:
        """Starts waiting requests while a slot and enough memory are free.

        A request that runs alone may exceed the memory.
        """
        while self._queue and len(self._running) < self._spec.slots:
            used = sum(running.size_tokens for running in self._running)
            wanted = used + self._queue[0].size_tokens
            if self._running and wanted > self._spec.memory_tokens:
                return
            sequence = self._queue.popleft()
            sequence.ready_s = self._timeline.now_s + self._spec.begin_s
            self._running.append(sequence)
            self._timeline.after(self._spec.begin_s, self._begin_step)

    def _begin_step(self) -> None:
        if self._is_stepping:
            return
        now_s = self._timeline.now_s
        ready = [
            sequence for sequence in self._running if sequence.ready_s <= now_s
        ]
        if not ready:
            return
        self._is_stepping = True
        read = self._read_prompts(ready)
        took_s = self._spec.step_s + self._spec.step_per_run_s * len(ready)
        took_s += read / self._spec.prefill_tokens_per_s
        self._timeline.after(
            took_s * self._slowdown_factor(), lambda: self._end_step(ready)
        )

    def _slowdown_factor(self) -> float:
        now_s = self._timeline.now_s
        factors = [
            slowdown.factor
            for slowdown in self._slowdowns
            if slowdown.at_s <= now_s < slowdown.at_s + slowdown.for_s
        ]
        return max(factors, default=1.0)

    def _read_prompts(self, ready: Iterable[_Sequence]) -> int:
        """Reads a chunk of the unread prompts.

        Returns:
            The number of tokens read.
        """
        left = self._spec.chunk_tokens
        for sequence in ready:
            chunk = min(left, sequence.unread_prompt_tokens)
            sequence.unread_prompt_tokens -= chunk
            left -= chunk
        return self._spec.chunk_tokens - left

    def _end_step(self, ready: Iterable[_Sequence]) -> None:
        self._is_stepping = False
        for sequence in ready:
            if sequence in self._running and not sequence.unread_prompt_tokens:
                self._emit(sequence)
        self._begin_step()

    def _emit(self, sequence: _Sequence) -> None:
        """Adds a token to an answer and ends the answer after its last event.

        The first token and every `tokens_per_event`-th after it send an event.
        """
        is_event = sequence.tokens % self._spec.tokens_per_event == 0
        sequence.tokens += 1
        if not is_event:
            return
        sequence.events += 1
        sequence.request.on_event()
        if sequence.events < sequence.request.events:
            return
        self._running.remove(sequence)
        del self._sequences[sequence.run]
        self._admit()
        sequence.request.on_end()
