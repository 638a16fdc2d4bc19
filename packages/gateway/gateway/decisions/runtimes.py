"""How long requests to a service's engines take, learned from runs.

Designed for services whose engines run short streams beside long batch items
and prefill prompts of very different lengths. One mean for all runs places
requests behind long ones and refuses others for nothing.

A run is taken to consist of the time to a first event, the prefill of the
prompt, and a time per output token. The time per output token is kept by kind
of run and by order of magnitude of the expected tokens: a stated maximum is
mostly far above the tokens of the answer, and a hint is not.
"""

from typing import NamedTuple

from gateway.decisions import paces
from gateway.decisions import requestcosts

# Initial estimates: about those of a typical stream and of a typical engine.
_INITIAL_RUN_S = 0.75
_INITIAL_FIRST_EVENT_S = 0.1
_INITIAL_PREFILL_S = 1.0 / 100_000
_INITIAL_OUTPUT_S = 0.004
# Prompts up to this many tokens begin as fast as if there were none; from the
# other number on the prefill takes most of the time to the first event.
_MAX_SHORT_TOKENS = 512
_MIN_LONG_TOKENS = 2000
# Weight of a new value in a moving average, and how many values the initial
# estimate counts for.
_WEIGHT = 0.05
_INITIAL_COUNT = 4
# One engine that freezes, or one hint that is far off, must not shift a mean:
# a value counts as this many times the mean at most.
_MAX_RATIO = 2.0
# Below this part of its initial value a mean does not tighten the clipping: it
# would take too many runs to recover from answers that took no time.
_MIN_CLIP_SHARE = 0.01
# A prompt that was cached although the leader did not know takes almost no
# time, so a prefill counts as this part of the mean at least.
_MIN_PREFILL_RATIO = 0.5
# Stated tokens are as high as 10^9, which no engine has the memory for.
_MAX_ESTIMATE_S = 60.0
# Callers divide by a duration.
_MIN_RUN_S = 0.001


class _Class(NamedTuple):
    """A class of runs with a common time per output token.

    Attributes:
        is_batch: Whether they are batch items.
        magnitude: The bits of their number of expected output tokens.
    """

    is_batch: bool
    magnitude: int


class _Average:
    """A moving average of clipped values.

    Attributes:
        mean: The average.
    """

    def __init__(self, mean: float) -> None:
        self.mean = mean
        self._min_clip = mean * _MIN_CLIP_SHARE
        self._count = _INITIAL_COUNT

    def record(self, value: float, min_ratio: float = 0.0) -> None:
        """Adds a value, clipped to `min_ratio` to `_MAX_RATIO` means."""
        clipped = min(value, max(_MAX_RATIO * self.mean, self._min_clip))
        clipped = max(clipped, min_ratio * self.mean)
        self._count += 1
        weight = max(_WEIGHT, 1.0 / self._count)
        self.mean += (clipped - self.mean) * weight

    def copy(self) -> "_Average":
        """Returns an average that begins with the values of this one."""
        return _Average(self.mean)


class RunTimes:
    """The durations of runs on the engines of one service."""

    def __init__(self) -> None:
        self._first_event_s = _Average(_INITIAL_FIRST_EVENT_S)
        # Seconds per token of a prompt.
        self._prefill_s = _Average(_INITIAL_PREFILL_S)
        # Seconds per expected output token, over all runs and by class.
        self._output_s = _Average(_INITIAL_OUTPUT_S)
        self._class_output_s: dict[_Class, _Average] = {}
        # Classes with runs whose time to the first event was known.
        self._measured: set[_Class] = set()
        self._online_run_s = _Average(_INITIAL_RUN_S)
        self._batch_run_s: _Average | None = None

    @property
    def mean_run_s(self) -> float:
        """The mean duration of an online run, in seconds."""
        return _bounded_s(self._online_run_s.mean)

    @property
    def first_event_s(self) -> float:
        """The time to a first event with a short prompt, in seconds."""
        return self._first_event_s.mean

    def record(
        self,
        cost: requestcosts.RequestCost,
        *,
        unread_tokens: int,
        first_event_s: float,
        took_s: float,
        pace: float,
        is_batch: bool = False,
    ) -> None:
        """Records a run that succeeded.

        Args:
            cost: What the request cost.
            unread_tokens: The tokens of its prompt that the engine had not
                kept, as far as known.
            first_event_s: From the grant to the first event, in seconds; 0 if
                unknown or if the run waited in the engine's queue.
            took_s: From the grant to the end, in seconds.
            pace: How long work took on the engine, 1.0 as usual.
            is_batch: Whether it was a batch item.
        """
        if not 0 < took_s < float("inf"):
            return
        usual = 1.0 / _bounded_pace(pace)
        run_s = took_s * usual
        begin_s = first_event_s * usual if 0 < first_event_s <= took_s else 0.0
        self._record_run(run_s, is_batch=is_batch)
        self._record_output(cost, unread_tokens, begin_s, run_s, is_batch)
        if begin_s and cost.input_tokens:
            self._record_begin(unread_tokens, begin_s)

    def _record_run(self, run_s: float, *, is_batch: bool) -> None:
        if not is_batch:
            self._online_run_s.record(run_s)
            return
        if self._batch_run_s is None:
            self._batch_run_s = _Average(min(run_s, _MAX_ESTIMATE_S))
        self._batch_run_s.record(run_s)

    def _record_begin(self, unread_tokens: int, begin_s: float) -> None:
        if unread_tokens <= _MAX_SHORT_TOKENS:
            self._first_event_s.record(begin_s)
        if unread_tokens >= _MIN_LONG_TOKENS:
            prefill_s = max(0.0, begin_s - self._first_event_s.mean)
            self._prefill_s.record(
                prefill_s / unread_tokens, _MIN_PREFILL_RATIO
            )

    def _record_output(
        self,
        cost: requestcosts.RequestCost,
        unread_tokens: int,
        begin_s: float,
        run_s: float,
        is_batch: bool,
    ) -> None:
        if cost.output_tokens <= 0:
            return
        key = _class_of(cost, is_batch)
        if begin_s:
            self._measured.add(key)
        elif key in self._measured:
            # The run waited in the engine's queue for an unknown time.
            return
        begin_s = begin_s or self._expected_begin_s(unread_tokens)
        token_s = max(0.0, run_s - begin_s) / cost.output_tokens
        if key not in self._class_output_s:
            self._class_output_s[key] = self._output_s.copy()
        self._class_output_s[key].record(token_s)
        self._output_s.record(token_s)

    def _expected_begin_s(self, unread_tokens: int) -> float:
        return self._first_event_s.mean + self.prefill_s(unread_tokens)

    def prefill_s(self, unread_tokens: int) -> float:
        """Returns how long an engine of usual pace reads some tokens."""
        return min(
            max(0, unread_tokens) * self._prefill_s.mean, _MAX_ESTIMATE_S
        )

    def run_s(
        self,
        cost: requestcosts.RequestCost,
        unread_tokens: int = 0,
        *,
        is_batch: bool = False,
    ) -> float:
        """Returns the expected duration of a run at usual pace, in seconds.

        Args:
            cost: What the request costs.
            unread_tokens: The tokens of its prompt that the engine has to
                read.
            is_batch: Whether it is a batch item.
        """
        if cost.output_tokens <= 0:
            return _bounded_s(self._any_run_s(is_batch).mean)
        output_s = self._output(cost, is_batch).mean * cost.output_tokens
        return _bounded_s(self._expected_begin_s(unread_tokens) + output_s)

    def _any_run_s(self, is_batch: bool) -> _Average:
        if is_batch and self._batch_run_s is not None:
            return self._batch_run_s
        return self._online_run_s

    def _output(
        self, cost: requestcosts.RequestCost, is_batch: bool
    ) -> _Average:
        return self._class_output_s.get(
            _class_of(cost, is_batch), self._output_s
        )


def _class_of(cost: requestcosts.RequestCost, is_batch: bool) -> _Class:
    return _Class(is_batch, cost.output_tokens.bit_length())


def _bounded_s(run_s: float) -> float:
    return min(max(run_s, _MIN_RUN_S), _MAX_ESTIMATE_S)


def _bounded_pace(pace: float) -> float:
    usable = pace if pace > 0 else 1.0
    return min(max(usable, paces.MIN_PACE), paces.MAX_PACE)
