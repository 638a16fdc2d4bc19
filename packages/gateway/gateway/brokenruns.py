"""Watches the upstreams under which runs broke off, by the platform's list."""

import collections
from collections.abc import Callable
import threading
import time

from gateway import evacuations
from gateway import members
from gateway import upstreamlist
from gateway.decisions import upstreamfates

# Only the newest are watched. If so many break at once, requests crash nothing.
_MAX_RUNS = 1000
# A few seconds of answers at a busy VM.
_MAX_ANSWERS = 2000


class BrokenRuns:
    """Finds out which broken runs were on upstreams that crashed; thread-safe.

    Args:
        upstream_list: The list of upstreams.
        evacuated: The evacuated failure domains.
        vms: Which failure domains are cut off.
        heartbeat_s: How often upstreams write their entries, in seconds.
        on_crash: Called with each run that may have crashed its upstream,
            once it turns out to have crashed.
    """

    def __init__(
        self,
        upstream_list: upstreamlist.UpstreamList,
        evacuated: evacuations.Evacuations,
        vms: members.Members,
        heartbeat_s: float,
        on_crash: Callable[[upstreamfates.Crash], None],
    ) -> None:
        self._list = upstream_list
        self._evacuations = evacuated
        self._members = vms
        self._watch_s = upstreamfates.watch_s(heartbeat_s)
        self._on_crash = on_crash
        self._lock = threading.Lock()
        self._runs: list[upstreamfates.BrokenRun] = []
        self._answers: collections.deque[upstreamfates.Answer] = (
            collections.deque(maxlen=_MAX_ANSWERS)
        )

    def start(self) -> None:
        """Begins to follow the list."""
        self._list.on_change(self._check)

    def add(self, run: upstreamfates.BrokenRun) -> None:
        """Watches the upstream of a run, unless it is leaving already."""
        fate = self._find_fate(run, self._listing())
        if not upstreamfates.may_be_crash(run, fate):
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

    def record_answer(self, instance: str, began_s: float) -> None:
        """Records that an upstream answered a request.

        Args:
            instance: The upstream.
            began_s: When the request began, by the monotonic clock.
        """
        if not self._runs:
            return
        now_s = time.monotonic()
        with self._lock:
            self._answers.append(upstreamfates.Answer(instance, began_s, now_s))

    def is_empty(self) -> bool:
        """Returns whether no run is watched."""
        runs = self._runs
        return not runs or runs[-1].broke_s < self._oldest_s()

    def _oldest_s(self) -> float:
        """Returns when the runs that are still watched broke at the earliest.

        What the list shows later has nothing to do with them.
        """
        return time.monotonic() - self._watch_s

    def _listing(self) -> upstreamfates.Listing:
        return upstreamfates.index(self._list.listed())

    def _find_fate(
        self, run: upstreamfates.BrokenRun, listing: upstreamfates.Listing
    ) -> upstreamfates.Fate:
        excused = frozenset(self._evacuations.current().domains)
        if run.was_silent:
            # A cut explains the silence, and that entries there lapse.
            excused |= self._members.unreachable_domains()
        return upstreamfates.find_fate(run.upstream, listing, excused)

    def _check(self) -> None:
        """Compares the watched runs with the list."""
        if not self._runs:
            return
        oldest_s, listing = self._oldest_s(), self._listing()
        crashes: list[upstreamfates.Crash] = []
        with self._lock:
            watched = [run for run in self._runs if run.broke_s >= oldest_s]
            self._runs = []
            for run in watched:
                fate = self._find_fate(run, listing)
                if fate in upstreamfates.CRASHES:
                    crashes.append(upstreamfates.Crash(run, fate))
                elif fate == "listed":
                    self._runs.append(run)
            causes = upstreamfates.find_causes(crashes, self._answers)
            if not self._runs:
                self._answers.clear()
        for crash in causes:
            self._on_crash(crash)
