"""Watches the upstreams under which runs broke off, by the platform's list."""

from collections.abc import Callable
import threading
import time

from gateway import evacuations
from gateway import upstreamlist
from gateway.decisions import upstreamfates

# Only the newest are watched. If so many break at once, requests crash nothing.
_MAX_RUNS = 1000

OnCrash = Callable[[upstreamfates.BrokenRun, upstreamfates.Fate], None]


class BrokenRuns:
    """Finds out which broken runs were on upstreams that crashed; thread-safe.

    Args:
        upstream_list: The list of upstreams.
        evacuated: The evacuated failure domains.
        heartbeat_s: How often upstreams write their entries, in seconds.
        on_crash: Called with a run once its upstream turns out to have
            crashed, and with what showed it.
    """

    def __init__(
        self,
        upstream_list: upstreamlist.UpstreamList,
        evacuated: evacuations.Evacuations,
        heartbeat_s: float,
        on_crash: OnCrash,
    ) -> None:
        self._list = upstream_list
        self._evacuations = evacuated
        self._watch_s = upstreamfates.watch_s(heartbeat_s)
        self._on_crash = on_crash
        self._lock = threading.Lock()
        self._runs: list[upstreamfates.BrokenRun] = []

    def start(self) -> None:
        """Begins to follow the list."""
        self._list.on_change(self._check)

    def add(self, run: upstreamfates.BrokenRun) -> None:
        """Watches the upstream of a run, unless it is leaving already.

        One whose entry is missing by now left before the run broke off, so it
        may have left as planned. If another upstream has its address instead,
        it has crashed.
        """
        fate = self._find_fate(run)
        if fate in ("leaving", "lapsed"):
            return
        with self._lock:
            self._runs = [*self._runs, run][-_MAX_RUNS:]
        self._check()

    def discard(self, fingerprint: str) -> None:
        """Forgets the runs of a request that has run to its end."""
        with self._lock:
            self._runs = [
                run for run in self._runs if run.fingerprint != fingerprint
            ]

    def is_empty(self) -> bool:
        """Returns whether no run is watched."""
        return not self._runs

    def _find_fate(self, run: upstreamfates.BrokenRun) -> upstreamfates.Fate:
        rows, _ = self._list.snapshot()
        evacuated = self._evacuations.current().domains
        return upstreamfates.find_fate(run.upstream, rows, evacuated)

    def _check(self) -> None:
        """Compares the watched runs with the list."""
        if not self._runs:
            return
        oldest_s = time.monotonic() - self._watch_s
        crashed: list[tuple[upstreamfates.BrokenRun, upstreamfates.Fate]] = []
        with self._lock:
            watched, self._runs = self._runs, []
            for run in watched:
                fate = self._find_fate(run)
                if fate in upstreamfates.CRASHES:
                    crashed.append((run, fate))
                elif fate == "listed" and run.broke_s >= oldest_s:
                    self._runs.append(run)
        for run, fate in crashed:
            self._on_crash(run, fate)
