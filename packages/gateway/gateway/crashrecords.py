"""Keeps requests that crash upstreams from crashing more of them.

The records are those of the daemon, in `quarantine` and `crashnotifier`. Here
no request waits to run apart from the others that ran on a crashed upstream:
that would hold up callers after each ordinary crash.
"""

from collections.abc import Mapping
import threading
import time
from typing import Any, NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import crashnotifier
from bulrushdeald import quarantine
from bulrushdeald import services
from gateway import brokenruns
from gateway import crashstore
from gateway import dialect as dialect_lib
from gateway import evacuations
from gateway import givenupruns
from gateway import heldslots
from gateway import members
from gateway import names
from gateway import partrecords
from gateway import records
from gateway import upstreamlist
from gateway.decisions import upstreamfates

_events = eventlog.Events("crashes")


class Counts(NamedTuple):
    """How many requests were on crashed upstreams, and how many are refused."""

    recorded: int
    refused: int


class CrashRecords:
    """Knows which requests are not to run again; thread-safe."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._is_first_start = settings.is_first_start
        self._heartbeat_s = settings.heartbeat_s
        self._clock = clock_lib.SystemClock()
        self._lock = threading.Lock()
        self._quarantine = quarantine.Quarantine(
            self._clock,
            settings.vm,
            upstreamfates.watch_s(settings.heartbeat_s),
        )
        self._given_up_runs = givenupruns.GivenUpRuns()
        self._logged: frozenset[str] = frozenset()
        self.parts = partrecords.PartRecords(
            kernel,
            upstreamfates.watch_s(settings.heartbeat_s),
            self._all_crashes,
            self._tell_sound,
            self._keep_part,
        )

    def start(self) -> None:
        """Starts to exchange records with other VMs."""
        find = self._kernel.find
        self._notices = crashnotifier.CrashNotices(
            find(services.PEERS, services.Peers),
            find(services.MEMBERSHIP, members.Members),
            self._quarantine,
            self._lock,
            self.parts,
            self._accuse_given_up,
        )
        self.parts.start()
        self._notices.start()
        self._broken_runs = brokenruns.BrokenRuns(
            find(names.UPSTREAM_LIST, upstreamlist.UpstreamList),
            find(names.EVACUATIONS, evacuations.Evacuations),
            find(services.MEMBERSHIP, members.Members),
            self._heartbeat_s,
            self._on_crash,
        )
        self._broken_runs.start()
        dialect = find(names.DIALECT, dialect_lib.Dialect)
        self._store = crashstore.CrashStore(
            find(names.STORE, dialect_lib.Store),
            dialect.store_keys.own_prefix,
            self._add,
            self._crashes_to_keep,
        )
        self._store.start(has_records=not self._is_first_start)

    def stop(self, grace_s: float) -> None:
        """Stops the exchange."""
        del grace_s
        self._notices.stop()
        self._store.stop()
        self.parts.stop()

    def _tell_sound(self, rows: tuple[quarantine.SoundPart, ...]) -> None:
        self._notices.tell_sound(rows)

    def _keep_part(self, key: str) -> None:
        self._store.update(key)

    def _all_crashes(self) -> tuple[quarantine.Crash, ...]:
        with self._lock:
            return self._quarantine.crashes()

    def _add(self, crashes: tuple[quarantine.Crash, ...]) -> None:
        with self._lock:
            for crash in crashes:
                self._quarantine.add(crash)
        self.parts.refresh()

    def _crashes_to_keep(self, key: str) -> tuple[quarantine.Crash, ...]:
        """Returns the crashes to store of a request or a part, by its key."""
        of_part = self.parts.crashes_to_keep(key)
        if of_part is not None:
            return of_part
        with self._lock:
            if not self._quarantine.is_refused(key):
                return ()
            return self._crashes_of(key)

    def _crashes_of(self, fingerprint: str) -> tuple[quarantine.Crash, ...]:
        return tuple(
            row
            for row in self._quarantine.crashes()
            if row.fingerprint == fingerprint
        )

    def dump(self) -> Any:
        """Returns the recorded crashes, and what is refused."""
        refused_parts = self.parts.dump()
        with self._lock:
            return {
                "crashes": self._quarantine.crashes(),
                "refused": sorted(self._quarantine.refused()),
            } | {"refused_parts": refused_parts}

    def record_crash(
        self, fingerprint: str, slot: heldslots.Slot
    ) -> crashnotifier.Delivery:
        """Records that an upstream crashed under a request; tells other VMs.

        Args:
            fingerprint: The request.
            slot: Where it ran.

        Returns:
            The notices, to be waited for before the caller's answer.
        """
        ran_s = self._clock.monotonic_s() - slot.held_since_s
        upstream = slot.upstream
        notices = self._notices.crashed(
            fingerprint,
            upstream.instance,
            ran_s,
            started_ms=upstream.started_ms,
            parts=_accused_parts(slot),
        )
        if self.is_refused(fingerprint):
            self._store.update(fingerprint)
        self.parts.keep(_accused_parts(slot))
        return notices

    def record_break(
        self,
        fingerprint: str,
        slot: heldslots.Slot,
        *,
        was_silent: bool,
        was_given_up: bool,
    ) -> None:
        """Records that a request's run broke off at an upstream.

        The run counts as one that crashed its upstream if the list shows this
        in the next seconds, or shows it already.

        Args:
            fingerprint: The request.
            slot: Where it ran.
            was_silent: Whether the upstream had sent nothing for a while.
            was_given_up: Whether its caller gave it up.
        """
        now_s = time.monotonic()
        ran_s = now_s - slot.held_since_s
        self._broken_runs.add(
            upstreamfates.BrokenRun(
                fingerprint,
                slot.upstream,
                ran_s,
                now_s,
                was_silent,
                was_given_up,
                _accused_parts(slot),
            )
        )

    def record_given_up(self, fingerprint: str, slot: heldslots.Slot) -> None:
        """Records that a run was given up at an upstream that sends to others.

        It counts as one that crashed its upstream if this crashes soon. A run
        that has written is sound: an upstream crashes as it begins to write.
        """
        if slot.first_event_s:
            return
        self._given_up_runs.add(
            givenupruns.GivenUpRun(
                fingerprint,
                slot.upstream,
                slot.held_since_s,
                time.monotonic(),
                _accused_parts(slot),
            )
        )

    def _accuse_given_up(self, crash: quarantine.Crash) -> None:
        """Counts a crash against the runs that were given up before it.

        Upstreams that do not look at their connections go on with such runs.
        """
        crashed_s = time.monotonic() - crash.age_s
        for run in self._given_up_runs.take(crash):
            self._notices.crashed(
                run.fingerprint,
                crash.upstream,
                crashed_s - run.began_s,
                crash.age_s,
                run.upstream.started_ms,
                parts=run.parts,
            )
            if self.is_refused(run.fingerprint):
                self._store.update(run.fingerprint)
            self.parts.keep(run.parts)

    def record_answer(self, slot: heldslots.Slot) -> None:
        """Records that an upstream has answered a request."""
        self._broken_runs.record_answer(
            slot.upstream.instance, slot.held_since_s
        )

    def _on_crash(self, crash: upstreamfates.Crash) -> None:
        run = crash.run
        age_s = time.monotonic() - run.broke_s
        upstream = run.upstream
        _events.warning(
            "crash_found",
            fingerprint=run.fingerprint,
            upstream=upstream.instance,
            fate=crash.fate,
            age_s=round(age_s, 3),
        )
        self._notices.crashed(
            run.fingerprint,
            upstream.instance,
            run.ran_s,
            age_s,
            upstream.started_ms,
            # A break before a restart may have come before the crash.
            is_age_exact=crash.fate != "restarted",
            parts=run.parts,
        )
        if self.is_refused(run.fingerprint):
            self._store.update(run.fingerprint)
        self.parts.keep(run.parts)

    def is_empty(self) -> bool:
        """Returns whether no request is recorded and none is watched."""
        return self._quarantine.is_empty() and self._broken_runs.is_empty()

    def record_completion(self, fingerprint: str) -> None:
        """Records that a request ran to its end, which clears it."""
        self._broken_runs.discard(fingerprint)
        was_refused = self.is_refused(fingerprint)
        self._notices.completed(fingerprint)
        if was_refused:
            self._store.update(fingerprint)

    def is_suspect(self, fingerprint: str) -> bool:
        """Returns whether an upstream crashed while it ran a request."""
        with self._lock:
            return self._quarantine.is_suspect(fingerprint)

    def is_refused(self, fingerprint: str) -> bool:
        """Returns whether a request is not to run again."""
        with self._lock:
            self._log_refused()
            return self._quarantine.is_refused(fingerprint)

    def is_held_back(self, fingerprint: str) -> bool:
        """Returns whether a request that must be finished has to wait."""
        with self._lock:
            self._log_refused()
            return self._quarantine.is_held_back(fingerprint)

    def doubt_s(self, fingerprint: str) -> float:
        """Returns how long a request that met several crashes has to wait."""
        with self._lock:
            return self._quarantine.doubt_s(fingerprint)

    def begin_trial(self, fingerprint: str) -> None:
        """Records that a request runs here, if it is a suspect."""
        with self._lock:
            self._quarantine.begin_trial(fingerprint)

    def end_trial(self, fingerprint: str) -> None:
        """Records that such a run ended without a crash."""
        with self._lock:
            self._quarantine.end_trial(fingerprint)

    def counts(self) -> Counts:
        """Returns how many requests are known."""
        with self._lock:
            rows = {row.fingerprint for row in self._quarantine.crashes()}
            return Counts(len(rows), len(self._quarantine.refused()))

    def _log_refused(self) -> None:
        """Logs what has changed; the caller holds the lock."""
        refused = self._quarantine.refused()
        if refused == self._logged:
            return
        for fingerprint in refused - self._logged:
            crashes = self._crashes_of(fingerprint)
            _events.warning(
                "quarantined",
                fingerprint=fingerprint,
                crashes=[_log_fields(row) for row in crashes],
            )
        for fingerprint in self._logged - refused:
            _events.info("released", fingerprint=fingerprint)
        self._logged = refused


def _accused_parts(slot: heldslots.Slot) -> tuple[str, ...]:
    """Returns the parts of a run's prompt that a crash counts against.

    An upstream crashes as it begins to write, so those of a run that has
    written are sound.
    """
    return () if slot.first_event_s else slot.cost.shared_parts


def _log_fields(crash: quarantine.Crash) -> Mapping[str, Any]:
    return {
        "upstream": crash.upstream,
        "ran_s": round(crash.ran_s, 3),
        "age_s": round(crash.age_s, 3),
        "noticed_by": crash.crash_id.partition("/")[0],
        "parts": list(crash.parts),
    }
