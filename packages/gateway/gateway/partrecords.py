"""Keeps parts of prompts that crash upstreams from crashing more of them.

The crashes are those of `crashrecords`, with the parts of runs that had
written nothing. What clears a part is told to other VMs, and
`decisions.deadlyparts` judges.
"""

from collections.abc import Callable, Sequence
import hashlib
import threading
import time
from typing import Any, NamedTuple

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from bulrushdeald import quarantine
from bulrushdeald import services
from gateway import members
from gateway.decisions import accusations
from gateway.decisions import deadlyparts

_events = eventlog.Events("crashes")

# Many crashes may be told within a moment; they are judged together.
_MIN_JUDGE_INTERVAL_S = 0.02
# Each VM waits so much longer than the one before it in the rank, so that most
# find that another has told what they know.
_TURN_S = 0.02
_MAX_TURN_S = 1.0
_ASK_TIMEOUT_S = 0.2
_MIN_ASK_INTERVAL_S = 0.1
_MAX_ASKED = 1000
# The prefix of the store's keys of parts; those of requests are hashes.
_KEY_PREFIX = "part-"


class TryPart(NamedTuple):
    """Asks whether a single run may begin now.

    Attributes:
        part: The part at fault.
        parts: All parts of the request.
    """

    part: str
    parts: tuple[str, ...]


class PartTried(NamedTuple):
    """The answer to `TryPart`."""

    may_run: bool


class PartRecords:
    """Judges the parts of prompts by what all VMs know; thread-safe.

    Args:
        kernel: Finds the services that this class depends on.
        notice_s: How long a crash may take to be known, in seconds.
        crashes: Returns all recorded crashes.
        tell: Tells other VMs of sound parts.
        store: Has the record of the crashes of a part written or removed, by
            its key.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        notice_s: float,
        crashes: Callable[[], tuple[quarantine.Crash, ...]],
        tell: Callable[[tuple[quarantine.SoundPart, ...]], None],
        store: Callable[[str], None],
    ) -> None:
        self._kernel = kernel
        self._read_crashes = crashes
        self._tell = tell
        self._store = store
        self._lock = threading.Lock()
        self._parts = deadlyparts.DeadlyParts(notice_s)
        self._is_outdated = False
        self._judged_s = 0.0
        self._refused: frozenset[str] = frozenset()
        # When this VM asked for a single run last, by part.
        self._asked_s: dict[str, float] = {}
        self._has_news = threading.Event()
        self._is_urgent = False
        self._is_stopping = False

    def start(self) -> None:
        """Starts to tell and to answer other VMs."""
        self._members = self._kernel.find(services.MEMBERSHIP, members.Members)
        self._peers = self._kernel.find(services.PEERS, services.Peers)
        self._peers.register_handler(TryPart, self._on_try)
        self._peers.register_answers(PartTried)
        threads.start(self._tell_sound, "sound-parts")

    def stop(self) -> None:
        """Asks the thread to end; does not wait for it."""
        self._is_stopping = True
        self._has_news.set()

    def refresh(self) -> None:
        """See `crashnotifier.SoundParts`."""
        self._is_outdated = True
        self._has_news.set()

    def apply(
        self, rows: tuple[quarantine.SoundPart, ...]
    ) -> tuple[quarantine.SoundPart, ...]:
        """See `crashnotifier.SoundParts`."""
        now_s = time.monotonic()
        with self._lock:
            new = tuple(
                row
                for row in rows
                if self._parts.record_told(row.part, now_s - row.age_s)
            )
            if new:
                self._log_refused()
        return new

    def keep(self, parts: Sequence[str]) -> None:
        """Has the crashes of those parts stored that are refused by now."""
        if not parts:
            return
        self._update()
        with self._lock:
            refused = self._refused.intersection(parts)
        for part in refused:
            self._store(_key(part))

    def all(self) -> tuple[quarantine.SoundPart, ...]:
        """See `crashnotifier.SoundParts`."""
        now_s = time.monotonic()
        with self._lock:
            told = self._parts.told()
        return tuple(
            quarantine.SoundPart(part, now_s - at_s)
            for part, at_s in told.items()
        )

    def dump(self) -> Any:
        """Returns the parts that are refused."""
        self._update()
        return sorted(self._refused)

    def record_written(self, parts: Sequence[str]) -> None:
        """Records that a run with these parts has written an event."""
        if not parts:
            return
        with self._lock:
            was_held = self._parts.judge(parts).verdict != "sound"
            if not self._parts.record_written(parts, time.monotonic()):
                return
            if was_held:
                self._log_refused()
        self._is_urgent |= was_held
        self._has_news.set()

    def judge(self, parts: Sequence[str]) -> deadlyparts.Judgement:
        """Returns whether a request with these parts may run."""
        self._update_if_due()
        with self._lock:
            return self._parts.judge(parts)

    def may_try(self, part: str, parts: tuple[str, ...]) -> bool:
        """Returns whether a single run may begin here.

        One VM decides for all, so that they do not all try at once.

        Args:
            part: The part at fault.
            parts: All parts of the request.
        """
        now_s = time.monotonic()
        with self._lock:
            asked_s = self._asked_s.get(part, 0.0)
            if (
                self._parts.wait_s(parts, now_s) > 0
                or now_s - asked_s < _MIN_ASK_INTERVAL_S
            ):
                return False
            if len(self._asked_s) > _MAX_ASKED:
                self._asked_s.clear()
            self._asked_s[part] = now_s
        vm = self._members.rank(f"part {part}")[0]
        answer = self._peers.call(vm, TryPart(part, parts), _ASK_TIMEOUT_S)
        if answer.is_err():
            self._members.suspect(vm, answer.unwrap_err())
            return False
        may_run: bool = answer.unwrap().may_run
        _events.info("part_tried", part=part, peer=vm, may_run=may_run)
        return may_run

    def crashes_to_keep(self, key: str) -> tuple[quarantine.Crash, ...] | None:
        """Returns the crashes to store under a key.

        None if the part is not refused; `None` if the key is not a part's.
        """
        if not key.startswith(_KEY_PREFIX):
            return None
        self._update()
        names = {_key(part): part for part in self._refused}
        part = names.get(key)
        return tuple(row for row in self._read_crashes() if part in row.parts)

    def _on_try(self, vm: str, message: TryPart) -> PartTried:
        del vm
        self._update()
        with self._lock:
            may_run = self._parts.begin_trial(
                message.part, message.parts, time.monotonic()
            )
        return PartTried(may_run)

    def _update_if_due(self) -> None:
        if time.monotonic() - self._judged_s > _MIN_JUDGE_INTERVAL_S:
            self._update()

    def _update(self) -> None:
        """Takes over the recorded crashes."""
        if not self._is_outdated:
            return
        self._is_outdated = False
        now_s = self._judged_s = time.monotonic()
        # Read without this object's lock: who holds that of the crashes may
        # wait for this one.
        crashes = self._read_crashes()
        with self._lock:
            self._parts.accuse(
                accusations.Accusation(
                    part,
                    row.fingerprint,
                    row.upstream,
                    row.started_ms,
                    now_s - row.age_s - row.ran_s,
                    now_s - row.age_s,
                )
                for row in crashes
                for part in row.parts
            )
            self._log_refused()

    def _log_refused(self) -> None:
        """Logs and stores what has changed; the caller holds the lock."""
        before, self._refused = self._refused, self._parts.refused()
        for part in self._refused - before:
            _events.warning("part_refused", part=part)
        for part in before - self._refused:
            _events.info("part_released", part=part)
        own = self._members.own_vm().vm
        for part in before ^ self._refused:
            # One VM stores what all of them find.
            if self._members.rank(f"part {part}")[0] == own:
                self._store(_key(part))

    def _tell_sound(self) -> None:
        while not self._is_stopping:
            self._has_news.wait()
            self._has_news.clear()
            time.sleep(_MIN_JUDGE_INTERVAL_S)
            self._update()
            with self._lock:
                parts = self._parts.to_tell()
            if not parts:
                continue
            urgent, self._is_urgent = self._is_urgent, False
            if not urgent:
                rank = self._members.rank(f"part {parts[0]}")
                own = self._members.own_vm().vm
                time.sleep(min(_TURN_S * rank.index(own), _MAX_TURN_S))
            self._tell_now()

    def _tell_now(self) -> None:
        now_s = time.monotonic()
        rows: list[quarantine.SoundPart] = []
        with self._lock:
            for part in self._parts.to_tell():
                at_s = self._parts.written_s(part)
                if at_s is not None and self._parts.record_told(part, at_s):
                    rows.append(quarantine.SoundPart(part, now_s - at_s))
        if rows:
            self._tell(tuple(rows))


def _key(part: str) -> str:
    digest = hashlib.sha256(part.encode()).hexdigest()
    return f"{_KEY_PREFIX}{digest[:40]}"
