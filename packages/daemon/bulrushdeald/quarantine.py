"""Tracks the requests that were running when an upstream crashed.

A request may crash each upstream that runs it, and its caller may retry it,
also through other VMs. Such a crash shows as a connection that breaks before
the answer is complete. After one crash a request is a suspect; after a second
one it is refused at once, unless another request explains the crashes better.
After a few more it is refused whatever explains them: where several requests
crash upstreams, their runs overlap and each explains the others' crashes.
A run that reaches its end clears a request. All this holds on each VM that the
crash notice reached; the notice is sent before the caller gets its answer.
"""

from collections.abc import Iterable, Mapping
import hashlib
import heapq
import itertools
import math
from typing import NamedTuple

from bulrushdeal import clock as clock_lib

CRASHES_TO_REFUSE = 2
# Crashes after which a request is refused though others explain them.
EXPLAINED_CRASHES_TO_REFUSE = 4
RETENTION_S = 3600.0
_MAX_REQUESTS = 10_000
# VMs see the crash of the same upstream at about the same time, and it takes
# longer to start again. If its start is known, all that breaks on it is one
# crash.
_SAME_CRASH_S = 1.0
# VMs state ages that differ by the time that a notice takes.
_AGE_TOLERANCE_S = 0.05
# A request that must be finished is owed, whatever it has met: crashes come in
# bursts, and it may have been on several of the upstreams. It waits until these
# are back; with a turn after other VMs, no longer than it may lie idle.
_FIRST_HOLD_S = 5.0
_HOLD_GROWTH = 2
_MAX_HOLD_S = 8.0
# Where crashes are noticed later, items are not left idle for longer than 20 s.
_MAX_TURN_S = 5.7


class Crash(NamedTuple):
    """A crash of an upstream while it ran a request.

    Attributes:
        fingerprint: Identifies the request; see `fingerprints.fingerprint`.
        crash_id: Unique, so that a notice that arrives twice counts once.
        age_s: Seconds from the crash until this record was made.
        upstream: The upstream that crashed; empty if unknown.
        ran_s: How long the request had been running on it, in seconds.
        started_ms: When the upstream had started, in milliseconds of the
            epoch; 0 if unknown.
        is_age_exact: Whether the upstream crashed just then. False if the age
            is by a clock that may have been set, or from a break that may have
            come before the crash.
        parts: The parts of its prompt that others may share, if it had written
            nothing by then.
    """

    fingerprint: str
    crash_id: str
    age_s: float = 0.0
    upstream: str = ""
    ran_s: float = 0.0
    started_ms: int = 0
    is_age_exact: bool = True
    parts: tuple[str, ...] = ()


class SoundPart(NamedTuple):
    """A part of prompts, and how many seconds ago a run with it wrote."""

    part: str
    age_s: float


class CrashNotice(NamedTuple):
    """A message that reports crashes to a peer.

    Attributes:
        crashes: The crashes.
        relay: Whether the peer forwards what is new to it to the VMs of its
            failure domain.
        cleared: The ids of crashes that no longer count, because the request
            has run to its end since.
        sound: Parts that crashes no longer count against.
    """

    crashes: tuple[Crash, ...]
    relay: bool = False
    cleared: tuple[str, ...] = ()
    sound: tuple[SoundPart, ...] = ()


class CrashQuery(NamedTuple):
    """Asks a peer for its recorded crashes; answered by a `CrashNotice`.

    Attributes:
        digest: The sender's `Quarantine.digest`. If the peer's is the same,
            its answer is empty.
    """

    digest: str = ""


class _Run(NamedTuple):
    """A run that ended with a crash; times are of the monotonic clock."""

    crash_id: str
    upstream: str
    began_s: float
    ended_s: float
    started_ms: int
    is_age_exact: bool
    parts: tuple[str, ...]


class _Verdict(NamedTuple):
    """The requests to refuse.

    Attributes:
        blamed: Those that crashes are put down to.
        repeated: Those that met too many crashes, whatever explains them.
        doubtful: Those that met several crashes, also if others explain them.
    """

    blamed: frozenset[str] = frozenset()
    repeated: frozenset[str] = frozenset()
    doubtful: frozenset[str] = frozenset()


class Quarantine:
    """Counts crashes by request; not thread-safe.

    Args:
        clock: The clock.
        vm: This VM, as it stands in the ids of the crashes that it noticed.
        notice_s: How long it takes at most until a crash is noticed, in
            seconds. Copies of a suspect that must be finished, or that met
            several crashes, run one at a time, so far apart: if all VMs ran
            theirs as soon as they may, each would crash an upstream before any
            crash is noticed.
    """

    def __init__(
        self, clock: clock_lib.Clock, vm: str = "", notice_s: float = 0.0
    ) -> None:
        self._clock = clock
        self._vm = vm
        self._notice_s = notice_s
        # When runs of suspects began here whose outcome is not known.
        self._trials_s: dict[str, float] = {}
        self._runs: dict[str, dict[str, _Run]] = {}
        # When crashes were cleared, by their ids.
        self._cleared: dict[str, float] = {}
        # `None` if it has to be worked out again.
        self._verdict: _Verdict | None = _Verdict()

    def add(self, crash: Crash) -> bool:
        """Records a crash and returns whether it is a new one.

        Ignores a crash without a fingerprint or older than `RETENTION_S`.
        """
        if not crash.fingerprint or crash.age_s > RETENTION_S:
            return False
        if crash.crash_id in self._cleared:
            return False
        known = self._runs.get(crash.fingerprint, {})
        run = known.get(crash.crash_id)
        if run is not None and (run.is_age_exact or not crash.is_age_exact):
            return False
        ended_s = self._clock.monotonic_s() - crash.age_s
        self._runs.setdefault(crash.fingerprint, known)[crash.crash_id] = _Run(
            crash.crash_id,
            crash.upstream,
            ended_s - crash.ran_s,
            ended_s,
            crash.started_ms,
            crash.is_age_exact,
            crash.parts,
        )
        if ended_s > self._trials_s.get(crash.fingerprint, math.inf):
            # It is the outcome that the next run had to wait for.
            self.end_trial(crash.fingerprint)
        self._verdict = None
        self._prune()
        return run is None

    def clear(self, fingerprint: str) -> tuple[str, ...]:
        """Clears a request that has run to its end.

        Returns:
            The ids of its crashes, which no longer count.
        """
        crash_ids = tuple(self._runs.get(fingerprint, ()))
        self.discard(crash_ids)
        return crash_ids

    def discard(self, crash_ids: Iterable[str]) -> tuple[str, ...]:
        """Discards crashes by their ids, also those still to be reported.

        Returns:
            The ids that were not discarded before.
        """
        now_s = self._clock.monotonic_s()
        new = tuple(row for row in crash_ids if row not in self._cleared)
        if not new:
            return ()
        self._cleared |= dict.fromkeys(new, now_s)
        for fingerprint, runs in list(self._runs.items()):
            if runs.keys().isdisjoint(new):
                continue
            left = {key: run for key, run in runs.items() if key not in new}
            self._runs[fingerprint] = left
            if not left:
                del self._runs[fingerprint]
        self._verdict = None
        self._prune()
        return new

    def is_empty(self) -> bool:
        """Returns whether no crash is recorded."""
        return not self._runs

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether the request was running when an upstream crashed."""
        return fingerprint in self._runs

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether the request has crashed too often to run again."""
        return fingerprint in self.refused()

    def is_held_back(self, fingerprint: str) -> bool:
        """Returns whether a request that must be finished has to wait."""
        return self._wait_s(fingerprint, self._hold_s(fingerprint)) > 0

    def doubt_s(self, fingerprint: str) -> float:
        """Returns how long a request that met several crashes has to wait.

        Others explain them, but may do so only because their runs overlap. So
        its copies run one at a time, too, until it is refused or cleared.
        """
        if fingerprint not in self._find_verdict().doubtful:
            return 0.0
        return self._wait_s(fingerprint, 0.0)

    def _wait_s(self, fingerprint: str, hold_s: float) -> float:
        """Returns in how many seconds a suspect may run here.

        Args:
            fingerprint: The request.
            hold_s: How long it waits after its last crash in any case.
        """
        runs = self._runs.get(fingerprint)
        if not runs:
            return 0.0
        last = max(runs.values(), key=lambda run: run.ended_s)
        turn_s = self._turn_s(fingerprint, last)
        trial_s = self._trials_s.get(fingerprint, -math.inf)
        may_run_s = max(
            last.ended_s + hold_s + turn_s, trial_s + self._notice_s
        )
        return max(0.0, may_run_s - self._clock.monotonic_s())

    def _hold_s(self, fingerprint: str) -> float:
        """Returns how long a request waits after its last crash, in seconds.

        Only runs after such a wait lengthen the next one. It may have met
        several crashes before the first was known.
        """
        if not self.is_refused(fingerprint):
            return 0.0
        runs = sorted(
            self._runs[fingerprint].values(), key=lambda run: run.ended_s
        )
        waits = sum(
            later.began_s - earlier.ended_s >= _FIRST_HOLD_S
            for earlier, later in itertools.pairwise(
                runs[CRASHES_TO_REFUSE - 1 :]
            )
        )
        return min(_FIRST_HOLD_S * float(_HOLD_GROWTH**waits), _MAX_HOLD_S)

    def _turn_s(self, fingerprint: str, last: _Run) -> float:
        """Returns how much later than others this VM may run a suspect.

        The VM that noticed the last crash goes first, as it has the request;
        whether others have copies of it is not known.
        """
        if last.crash_id.partition("/")[0] == self._vm:
            return 0.0
        text = f"{self._vm} {fingerprint}"
        digest = hashlib.sha256(text.encode()).digest()
        return min(self._notice_s, _MAX_TURN_S) * (1.0 + digest[0] / 256)

    def begin_trial(self, fingerprint: str) -> None:
        """Records that a request runs here, if it is a suspect."""
        if fingerprint in self._runs:
            self._trials_s[fingerprint] = self._clock.monotonic_s()

    def end_trial(self, fingerprint: str) -> None:
        """Records that such a run ended without a crash, or did not begin."""
        self._trials_s.pop(fingerprint, None)

    def refused(self) -> frozenset[str]:
        """Returns the fingerprints of the requests to refuse."""
        verdict = self._find_verdict()
        return verdict.blamed | verdict.repeated

    def _find_verdict(self) -> _Verdict:
        if self._verdict is None:
            self._verdict = _find_verdict(self._runs)
        return self._verdict

    def crashes(self) -> tuple[Crash, ...]:
        """Returns all recorded crashes."""
        now_s = self._clock.monotonic_s()
        return tuple(
            Crash(
                fingerprint,
                run.crash_id,
                now_s - run.ended_s,
                run.upstream,
                run.ended_s - run.began_s,
                run.started_ms,
                run.is_age_exact,
                run.parts,
            )
            for fingerprint, runs in self._runs.items()
            for run in runs.values()
        )

    def cleared(self) -> tuple[str, ...]:
        """Returns the ids of the crashes that no longer count."""
        return tuple(self._cleared)

    def digest(self) -> str:
        """Returns a hash that VMs share that know the same."""
        crash_ids = {key for runs in self._runs.values() for key in runs}
        text = "\n".join([*sorted(crash_ids), "", *sorted(self._cleared)])
        return hashlib.sha256(text.encode()).hexdigest()

    def _prune(self) -> None:
        oldest_s = self._clock.monotonic_s() - RETENTION_S
        old = [
            fingerprint
            for fingerprint, runs in self._runs.items()
            if max(run.ended_s for run in runs.values()) < oldest_s
        ]
        for fingerprint in old:
            del self._runs[fingerprint]
        while len(self._runs) > _MAX_REQUESTS:
            del self._runs[next(iter(self._runs))]
        for fingerprint in self._trials_s.keys() - self._runs.keys():
            del self._trials_s[fingerprint]
        self._cleared = {
            key: at_s for key, at_s in self._cleared.items() if at_s >= oldest_s
        }
        while len(self._cleared) > _MAX_REQUESTS:
            del self._cleared[next(iter(self._cleared))]


def _find_verdict(runs_of: Mapping[str, Mapping[str, _Run]]) -> _Verdict:
    crash_of = _group_runs(
        run for runs in runs_of.values() for run in runs.values()
    )
    began_before = _find_causes(runs_of, crash_of)
    repeated = {
        fingerprint: tuple(runs)
        for fingerprint, runs in began_before.items()
        if _count_separate(runs) >= CRASHES_TO_REFUSE
    }
    return _Verdict(
        _find_culprits(repeated, crash_of),
        frozenset(
            fingerprint
            for fingerprint, runs in repeated.items()
            if len({crash_of[run.crash_id] for run in runs})
            >= EXPLAINED_CRASHES_TO_REFUSE
        ),
        frozenset(repeated),
    )


def _find_culprits(
    repeated: Mapping[str, tuple[_Run, ...]], crash_of: Mapping[str, int]
) -> frozenset[str]:
    """Returns the requests that the crashes are put down to.

    Other requests ran on the upstreams too, and some move from one that
    crashed to the next. So the request with the most crashes is blamed first,
    and these crashes no longer count against the others (a greedy set cover).
    Of requests with as many, one that crashed its upstreams sooner is blamed.

    Args:
        repeated: The runs of the requests that met several crashes.
        crash_of: The numbers of the crashes, by the ids of runs.
    """
    heap = [_rank(name, runs) for name, runs in repeated.items()]
    heapq.heapify(heap)
    explained: set[int] = set()
    culprits: set[str] = set()
    while heap:
        name = heapq.heappop(heap)[-1]
        runs = tuple(
            run
            for run in repeated[name]
            if crash_of[run.crash_id] not in explained
        )
        if _count_separate(runs) < CRASHES_TO_REFUSE:
            continue
        rank = _rank(name, runs)
        if heap and rank > heap[0]:
            heapq.heappush(heap, rank)
            continue
        culprits.add(name)
        explained |= {crash_of[run.crash_id] for run in runs}
    return frozenset(culprits)


def _find_causes(
    runs_of: Mapping[str, Mapping[str, _Run]], crash_of: Mapping[str, int]
) -> dict[str, list[_Run]]:
    """Returns the runs that had begun before their upstream crashed.

    A proxy goes on accepting requests for an upstream that has crashed, and
    breaks them off. These came after the crash, so they have not caused it.
    Runs whose time is uncertain were counted when it was not.
    """
    crashed_s: dict[int, float] = {}
    for runs in runs_of.values():
        for run in runs.values():
            if not run.is_age_exact:
                continue
            number = crash_of[run.crash_id]
            crashed_s[number] = min(
                run.ended_s, crashed_s.get(number, run.ended_s)
            )
    return {
        fingerprint: [
            run
            for run in runs.values()
            if not run.is_age_exact
            or run.began_s
            <= crashed_s[crash_of[run.crash_id]] + _AGE_TOLERANCE_S
        ]
        for fingerprint, runs in runs_of.items()
    }


def _rank(name: str, runs: Iterable[_Run]) -> tuple[int, float, str]:
    """Returns a key that sorts the request to blame first to the front."""
    rows = tuple(runs)
    ran_s = sum(run.ended_s - run.began_s for run in rows)
    return -_count_separate(rows), ran_s, name


def _group_runs(runs: Iterable[_Run]) -> dict[str, int]:
    """Numbers the crashes; runs of the same crash get the same number."""
    numbers: dict[str, int] = {}
    previous: _Run | None = None
    for run in sorted(
        runs, key=lambda row: (row.upstream, row.started_ms, row.ended_s)
    ):
        is_same = previous is not None and _is_same_crash(previous, run)
        number = len(numbers)
        if is_same and previous is not None:
            number = numbers[previous.crash_id]
        numbers[run.crash_id] = number
        previous = run
    return numbers


def _is_same_crash(first: _Run, second: _Run) -> bool:
    if not second.upstream or second.upstream != first.upstream:
        return False
    if second.started_ms != first.started_ms:
        return False
    if second.started_ms:
        return True
    return second.ended_s - first.ended_s <= _SAME_CRASH_S


def _count_separate(runs: Iterable[_Run]) -> int:
    """Counts runs that came one after the other.

    If upstreams crash together, from a loss of power for example, that says
    nothing of a request that ran on several of them.
    """
    count, last_s = 0, float("-inf")
    for run in sorted(runs, key=lambda row: row.ended_s):
        # VMs state ages that differ a little, so the middle of a run decides.
        if (run.began_s + run.ended_s) / 2 >= last_s:
            count += 1
            last_s = run.ended_s
    return count
