"""Requests that were running when an upstream crashed.

The failure: one request crashes each upstream that runs it, and its caller
sends it again, through other VMs too. It shows as connections that break
before the answer is whole. After a first crash a request is a suspect and
runs only on an upstream where no other suspect runs, so that a second crash
tells it from those that merely ran beside it. After a second crash it is
refused at once. The guard holds on each VM that the notice of the crash
reached; the notice is sent before the caller gets its answer.
"""

from typing import NamedTuple

from bulrushdeal import clock as clock_lib

CRASHES_ALLOWED = 2
KEEP_S = 3600.0
_MOST_KEPT = 10_000


class Crash(NamedTuple):
    """One crash of an upstream under a request.

    Attributes:
        fingerprint: Names the request; see `completions.fingerprint`.
        crash_id: Unique, so that a notice that comes twice counts once.
        age_s: How long ago it was, when it was told.
    """

    fingerprint: str
    crash_id: str
    age_s: float = 0.0


class CrashNotice(NamedTuple):
    """Tells a peer of crashes.

    Attributes:
        crashes: What happened.
        relay: Whether the peer is to tell the VMs of its failure domain.
    """

    crashes: tuple[Crash, ...]
    relay: bool = False


class CrashQuery(NamedTuple):
    """Asks a peer for the crashes it knows of; answered by a notice."""


class Quarantine:
    """Counts crashes by request; not thread-safe by itself."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._crashes: dict[str, dict[str, float]] = {}

    def add(self, crash: Crash) -> bool:
        """Notes a crash; tells whether it was news."""
        if not crash.fingerprint or crash.age_s > KEEP_S:
            return False
        known = self._crashes.setdefault(crash.fingerprint, {})
        if crash.crash_id in known:
            return False
        known[crash.crash_id] = self._clock.monotonic_s() - crash.age_s
        self._forget()
        return True

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether the request ran when an upstream crashed."""
        return fingerprint in self._crashes

    def is_refused(self, fingerprint: str) -> bool:
        """Tells whether the request is never to run again."""
        return len(self._crashes.get(fingerprint, ())) >= CRASHES_ALLOWED

    def crashes(self) -> tuple[Crash, ...]:
        """Returns all that is known, for a peer that asks."""
        now_s = self._clock.monotonic_s()
        return tuple(
            Crash(fingerprint, crash_id, now_s - at_s)
            for fingerprint, known in self._crashes.items()
            for crash_id, at_s in known.items()
        )

    def _forget(self) -> None:
        oldest_s = self._clock.monotonic_s() - KEEP_S
        old = [
            fingerprint
            for fingerprint, known in self._crashes.items()
            if max(known.values()) < oldest_s
        ]
        for fingerprint in old:
            del self._crashes[fingerprint]
        while len(self._crashes) > _MOST_KEPT:
            del self._crashes[next(iter(self._crashes))]
