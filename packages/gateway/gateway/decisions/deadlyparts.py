"""Which parts of prompts crash the upstreams that answer them.

Requests that share such a part need not be alike, so counting the crashes of
each request does not stop them. A run is suspected that had written nothing
when its upstream crashed, and with it each part of its prompt but the last,
which is its own. A run that writes an event speaks for all its parts: the
crashes before that count against them no longer.

Most parts that stand in a crash are sound: a first part that many share, or a
customer's own. They are cleared by the next run that writes. Of those that are
not, one whose crashes another part explains, or shares, is only doubtful:
requests with it run one at a time, over all VMs, until one of them writes or
crashes.
"""

from collections.abc import Iterable, Mapping, Sequence
import itertools
from typing import Literal, NamedTuple

from gateway.decisions import accusations

# Crashes, not all at once, after which a part may be refused.
CRASHES_TO_REFUSE = 3
# The same for a part with which a run has written at any time: a deadly one
# crashes each upstream that begins to write.
_CRASHES_TO_REFUSE_WRITTEN = 6
# The same request that comes again is counted elsewhere.
_REQUESTS_TO_REFUSE = 2
# VMs state ages that differ by the time that a notice takes.
_AGE_TOLERANCE_S = 0.05
# A refused part gets a single run after pauses that grow: it may be sound.
_FIRST_PAUSE_S = 5.0
_PAUSE_GROWTH = 6
_MAX_PAUSE_S = 600.0
# Between single runs with a doubtful part: few crash anything, and some find
# no slot. Fewer than the crashes that refuse it run before one is known.
_DOUBTFUL_GAP_S = 1.0
_MAX_WRITTEN = 20_000
# Crashes of a sound part from which on other VMs are told that it is sound.
_CRASHES_TO_TELL = 2

Verdict = Literal["sound", "doubtful", "refused"]


class Judgement(NamedTuple):
    """Whether a request may run, and the part that decides it."""

    verdict: Verdict
    part: str = ""


SOUND = Judgement("sound")


class DeadlyParts:
    """Judges parts; not thread-safe. Times are of the monotonic clock.

    Args:
        notice_s: How long a crash may take to be known, in seconds. A trial
            whose outcome is not known by then counts as over.
    """

    def __init__(self, notice_s: float) -> None:
        self._notice_s = notice_s
        self._crashes: dict[str, tuple[accusations.Crash, ...]] = {}
        # When runs with a part wrote an event last, the latest part last.
        self._written_s: dict[str, float] = {}
        # Up to when that is known to all VMs.
        self._told_s: dict[str, float] = {}
        self._trials_s: dict[str, float] = {}

    def accuse(self, rows: Iterable[accusations.Accusation]) -> None:
        """Replaces all accusations."""
        self._crashes = accusations.group(rows)
        self._told_s = self._of_accused(self._told_s)
        self._trials_s = self._of_accused(self._trials_s)

    def _of_accused(self, at_s: Mapping[str, float]) -> dict[str, float]:
        return {
            part: part_s
            for part, part_s in at_s.items()
            if part in self._crashes
        }

    def refused(self) -> frozenset[str]:
        """Returns the parts that crashes are put down to."""
        return frozenset(
            part
            for part in self._crashes
            if self._is_suspect(part)
            and not self._tied(part)
            and not self._is_excused(part)
        )

    def record_written(self, parts: Iterable[str], at_s: float) -> bool:
        """Records that a run with these parts has written an event.

        Returns:
            Whether one of them stands in a crash.
        """
        is_accused = False
        for part in parts:
            at_part_s = max(at_s, self._written_s.pop(part, at_s))
            self._written_s[part] = at_part_s
            self._trials_s.pop(part, None)
            is_accused |= part in self._crashes
        while len(self._written_s) > _MAX_WRITTEN:
            del self._written_s[next(iter(self._written_s))]
        return is_accused

    def record_told(self, part: str, at_s: float) -> bool:
        """Records what another VM told of a part; returns whether it is new."""
        if at_s <= self._told_s.get(part, float("-inf")) + _AGE_TOLERANCE_S:
            return False
        self._told_s[part] = at_s
        self.record_written((part,), at_s)
        return True

    def to_tell(self) -> tuple[str, ...]:
        """Returns the parts that other VMs may count crashes against.

        This VM knows of runs with them that have written since.
        """
        never_s = float("-inf")
        return tuple(
            part
            for part, crashes in self._crashes.items()
            if (
                self._count(crashes, self._told_s.get(part, never_s))
                >= _CRASHES_TO_TELL
                and self._count(crashes, self._told_s.get(part, never_s))
                > self._count(crashes, self._written_s.get(part, never_s))
            )
            or self._is_unknown_to_others(part)
        )

    def _is_unknown_to_others(self, part: str) -> bool:
        """Returns whether others may refuse a part that was once written."""
        return (
            part in self._written_s
            and part not in self._told_s
            and self._is_suspect(part)
        )

    def written_s(self, part: str) -> float | None:
        """Returns when a run with a part wrote an event; `None` if never."""
        return self._written_s.get(part)

    def told(self) -> dict[str, float]:
        """Returns what all VMs are told of: when runs with a part wrote."""
        return dict(self._told_s)

    def judge(self, parts: Sequence[str]) -> Judgement:
        """Returns whether a request with these parts may run."""
        suspects = [part for part in parts if self._is_suspect(part)]
        doubtful = ""
        for part in suspects:
            if self._is_excused(part) or not self._tied(part) <= set(parts):
                doubtful = part
                continue
            return Judgement("refused", part)
        return Judgement("doubtful", doubtful) if doubtful else SOUND

    def wait_s(self, parts: Sequence[str], now_s: float) -> float:
        """Returns in how many seconds a single run with these parts is due."""
        judged = self.judge(parts)
        trial_s = self._trials_s.get(judged.part, float("-inf"))
        due_s = trial_s + self._gap_s(judged)
        if judged.verdict == "refused":
            crashes = self._counted(judged.part)
            last_s = max(crash.at_s for crash in crashes)
            due_s = max(due_s, last_s + self._pause_s(crashes))
        return max(0.0, due_s - now_s)

    def begin_trial(
        self, part: str, parts: Sequence[str], now_s: float
    ) -> bool:
        """Returns whether a single run with these parts may begin now.

        Args:
            part: The part that the asking VM found at fault.
            parts: All parts of the request.
            now_s: The monotonic clock.
        """
        trial_s = self._trials_s.get(part, float("-inf"))
        is_under_way = trial_s + self._gap_s(self.judge(parts)) > now_s
        if is_under_way or self.wait_s(parts, now_s) > 0:
            return False
        self._trials_s[part] = now_s
        return True

    def _gap_s(self, judged: Judgement) -> float:
        """Returns how long the outcome of a single run is waited for."""
        if judged.verdict == "doubtful":
            return min(self._notice_s, _DOUBTFUL_GAP_S)
        return self._notice_s

    def _pause_s(self, crashes: Sequence[accusations.Crash]) -> float:
        """Returns how long a refused part waits after its last crash.

        Only runs after such a pause lengthen the next one: others were on
        their way when the part was refused.
        """
        ordered = sorted(crashes, key=lambda crash: crash.at_s)
        pauses = sum(
            later.began_s - earlier.at_s >= _FIRST_PAUSE_S
            for earlier, later in itertools.pairwise(
                ordered[CRASHES_TO_REFUSE - 1 :]
            )
        )
        return min(_FIRST_PAUSE_S * float(_PAUSE_GROWTH**pauses), _MAX_PAUSE_S)

    def _counted(self, part: str) -> tuple[accusations.Crash, ...]:
        """Returns the crashes since a run with a part wrote last."""
        written_s = self._written_s.get(part, float("-inf"))
        return tuple(
            crash
            for crash in self._crashes.get(part, ())
            if crash.at_s > written_s
        )

    def _count(
        self, crashes: Iterable[accusations.Crash], since_s: float
    ) -> int:
        return accusations.count_separate(
            [row for row in crashes if row.at_s > since_s]
        )

    def _is_suspect(self, part: str) -> bool:
        if part not in self._crashes:
            return False
        crashes = self._counted(part)
        requests = frozenset[str]().union(*(row.requests for row in crashes))
        return (
            len(requests) >= _REQUESTS_TO_REFUSE
            and accusations.count_separate(crashes) >= CRASHES_TO_REFUSE
        )

    def _numbers(self, part: str) -> frozenset[int]:
        return frozenset(crash.number for crash in self._counted(part))

    def _is_excused(self, part: str) -> bool:
        """Returns whether a suspect is only doubtful."""
        if part in self._written_s:
            count = accusations.count_separate(self._counted(part))
            if count < _CRASHES_TO_REFUSE_WRITTEN:
                return True
        return bool(self._explaining(part))

    def _explaining(self, part: str) -> frozenset[str]:
        """Returns the parts that stand in all crashes of a part and in more."""
        own = self._numbers(part)
        return frozenset(
            other
            for other in self._crashes
            if own < self._numbers(other) and self._is_suspect(other)
        )

    def _tied(self, part: str) -> frozenset[str]:
        """Returns the other parts that stand in just the same crashes."""
        own = self._numbers(part)
        return frozenset(
            other
            for other in self._crashes
            if other != part and self._numbers(other) == own
        )
