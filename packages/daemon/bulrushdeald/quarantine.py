"""Tracks the requests that were running when an upstream crashed.

A request may crash each upstream that runs it, and its caller may retry it,
also through other VMs. Such a crash shows as a connection that breaks before
the answer is complete. After one crash a request is a suspect and runs only
on an upstream that runs no other suspect, so that a second crash separates it
from requests that merely ran at the same time. After a second crash it is
refused at once. This holds on each VM that the crash notice reached; the
notice is sent before the caller gets its answer.
"""

from typing import NamedTuple

from bulrushdeal import clock as clock_lib

CRASHES_TO_REFUSE = 2
RETENTION_S = 3600.0
_MAX_REQUESTS = 10_000


class Crash(NamedTuple):
    """A crash of an upstream while it ran a request.

    Attributes:
        fingerprint: Identifies the request; see `fingerprints.fingerprint`.
        crash_id: Unique, so that a notice that arrives twice counts once.
        age_s: Seconds from the crash until this record was made.
    """

    fingerprint: str
    crash_id: str
    age_s: float = 0.0


class CrashNotice(NamedTuple):
    """A message that reports crashes to a peer.

    Attributes:
        crashes: The crashes.
        relay: Whether the peer forwards the crashes that are new to it to the
            VMs of its failure domain.
    """

    crashes: tuple[Crash, ...]
    relay: bool = False


class CrashQuery(NamedTuple):
    """Asks a peer for its recorded crashes; answered by a `CrashNotice`."""


class Quarantine:
    """Counts crashes by request; not thread-safe."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._crashes: dict[str, dict[str, float]] = {}

    def add(self, crash: Crash) -> bool:
        """Records a crash and returns whether it is a new one.

        Ignores a crash without a fingerprint or older than `RETENTION_S`.
        """
        if not crash.fingerprint or crash.age_s > RETENTION_S:
            return False
        known = self._crashes.setdefault(crash.fingerprint, {})
        if crash.crash_id in known:
            return False
        known[crash.crash_id] = self._clock.monotonic_s() - crash.age_s
        self._prune()
        return True

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether the request was running when an upstream crashed."""
        return fingerprint in self._crashes

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether the request has crashed too often to run again."""
        return len(self._crashes.get(fingerprint, ())) >= CRASHES_TO_REFUSE

    def crashes(self) -> tuple[Crash, ...]:
        """Returns all recorded crashes."""
        now_s = self._clock.monotonic_s()
        return tuple(
            Crash(fingerprint, crash_id, now_s - at_s)
            for fingerprint, known in self._crashes.items()
            for crash_id, at_s in known.items()
        )

    def _prune(self) -> None:
        oldest_s = self._clock.monotonic_s() - RETENTION_S
        old = [
            fingerprint
            for fingerprint, known in self._crashes.items()
            if max(known.values()) < oldest_s
        ]
        for fingerprint in old:
            del self._crashes[fingerprint]
        while len(self._crashes) > _MAX_REQUESTS:
            del self._crashes[next(iter(self._crashes))]
