"""Notifies peers of requests that were running when an upstream crashed."""

from collections.abc import Callable, Iterable
import hashlib
import itertools
import random
import threading
import time
from typing import NamedTuple, Protocol

from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeal import threads
from bulrushdeald import quarantine
from bulrushdeald import services

_log = logs.Log("router")

# Peers are notified of a crash before the caller gets its answer, so this
# bounds how long an unreachable peer delays the answer.
_CALL_TIMEOUT_S = 0.3
_QUERY_INTERVAL_S = 10.0
# Until a VM that has just started has asked another one.
_FIRST_QUERY_POLL_S = 0.2
_RESEND_INTERVAL_S = 1.0
# How long a notice is sent again to a VM that did not answer; one that is away
# for longer asks for it.
_RESEND_FOR_S = 60.0
# Number of VMs notified in each other failure domain; they relay the notice
# within their domain.
_RELAYS_PER_DOMAIN = 2


class Delivery(NamedTuple):
    """A notice on its way; `threads` send it, each to one VM."""

    threads: tuple[threading.Thread, ...] = ()

    def wait(self) -> None:
        """Waits until the VMs have answered or the call timeout has passed."""
        end_s = time.monotonic() + _CALL_TIMEOUT_S
        for thread in self.threads:
            thread.join(max(0.0, end_s - time.monotonic()))


class SoundParts(Protocol):
    """Which parts of prompts crashes do not count against."""

    def apply(
        self, rows: tuple[quarantine.SoundPart, ...]
    ) -> tuple[quarantine.SoundPart, ...]:
        """Records what another VM told; returns what was new."""

    def all(self) -> tuple[quarantine.SoundPart, ...]:
        """Returns all that other VMs are told of."""

    def refresh(self) -> None:
        """Records that the crashes known here have changed."""


class _NoParts:
    """Stands for `SoundParts` where requests describe no prompts."""

    def apply(
        self, rows: tuple[quarantine.SoundPart, ...]
    ) -> tuple[quarantine.SoundPart, ...]:
        """See `SoundParts`."""
        del rows
        return ()

    def all(self) -> tuple[quarantine.SoundPart, ...]:
        """See `SoundParts`."""
        return ()

    def refresh(self) -> None:
        """See `SoundParts`."""


def _ignore_crash(crash: quarantine.Crash) -> None:
    """Does nothing with a crash."""


class CrashNotices:
    """Sends and handles `quarantine.CrashNotice` messages.

    Args:
        peers: The other VMs.
        membership: Which VMs there are.
        crashes: The crashes known here.
        lock: Guards `crashes`.
        sound_parts: The parts that crashes do not count against, if any.
        on_crash: Called with each crash that is new here, seen here or told by
            another VM, without the lock.
    """

    def __init__(
        self,
        peers: services.Peers,
        membership: services.Membership,
        crashes: quarantine.Quarantine,
        lock: threading.Lock,
        sound_parts: SoundParts | None = None,
        on_crash: Callable[[quarantine.Crash], None] = _ignore_crash,
    ) -> None:
        self._on_crash = on_crash
        self._sound_parts = sound_parts or _NoParts()
        self._peers = peers
        self._membership = membership
        self._quarantine = crashes
        self._lock = lock
        self._sequence = itertools.count()
        # Until when notices are sent again, by the VMs that missed one.
        self._resend_until_s: dict[str, float] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Registers the message handlers and starts the query thread."""
        self._peers.register_answers(quarantine.CrashNotice)
        self._peers.register_handler(
            quarantine.CrashNotice, self._handle_notice
        )
        self._peers.register_handler(quarantine.CrashQuery, self._handle_query)
        threads.start(self._run, "crash-query")

    def stop(self) -> None:
        """Asks the query thread to end; does not wait for it."""
        self._stopping.set()

    def crashed(
        self,
        fingerprint: str,
        upstream: str,
        ran_s: float,
        age_s: float = 0.0,
        started_ms: int = 0,
        *,
        is_age_exact: bool = True,
        parts: tuple[str, ...] = (),
    ) -> Delivery:
        """Records a crash and notifies the peers.

        Before the caller gets its answer, the returned delivery is to be
        waited for. Without the wait, the caller of a request that crashed two
        engines could retry it at once through a VM of another domain that has
        not been notified yet, and crash a third engine.

        Args:
            fingerprint: The request; nothing is recorded if it is empty.
            upstream: The upstream that crashed.
            ran_s: How long the request had been running there, in seconds.
            age_s: How long ago it crashed, in seconds.
            started_ms: When the upstream had started, in milliseconds of the
                epoch; 0 if unknown.
            is_age_exact: Whether it crashed just then, and not later.
            parts: The parts of its prompt, if it had written nothing.
        """
        if not fingerprint:
            return Delivery()
        vm = self._membership.own_vm().vm
        crash_id = f"{vm}/{self._membership.incarnation()}"
        crash = quarantine.Crash(
            fingerprint,
            f"{crash_id}/{next(self._sequence)}",
            age_s,
            upstream,
            ran_s,
            started_ms,
            is_age_exact,
            parts,
        )
        with self._lock:
            self._quarantine.add(crash)
        self._sound_parts.refresh()
        _log.warning("A request was running when an upstream crashed.")
        delivery = self._notify_peers(quarantine.CrashNotice((crash,)))
        self._on_crash(crash)
        return delivery

    def completed(self, fingerprint: str) -> None:
        """Clears a request that ran to its end, here and at the peers."""
        with self._lock:
            cleared = self._quarantine.clear(fingerprint)
        if cleared:
            self._sound_parts.refresh()
            self._notify_peers(quarantine.CrashNotice((), cleared=cleared))

    def tell_sound(self, rows: tuple[quarantine.SoundPart, ...]) -> None:
        """Tells the peers that crashes no longer count against some parts."""
        self._notify_peers(quarantine.CrashNotice((), sound=rows))

    def _handle_notice(
        self, vm: str, notice: quarantine.CrashNotice
    ) -> quarantine.CrashNotice:
        del vm
        new = self._apply(notice)
        if notice.relay and (new.crashes or new.cleared or new.sound):
            self._send(self._domain_peers(), new)
        return quarantine.CrashNotice(())

    def _apply(self, notice: quarantine.CrashNotice) -> quarantine.CrashNotice:
        """Records what a notice reports; returns what was new."""
        with self._lock:
            cleared = self._quarantine.discard(notice.cleared)
            crashes = tuple(
                crash for crash in notice.crashes if self._quarantine.add(crash)
            )
        if crashes or cleared:
            self._sound_parts.refresh()
        for crash in crashes:
            self._on_crash(crash)
        return quarantine.CrashNotice(
            crashes,
            cleared=cleared,
            sound=self._sound_parts.apply(notice.sound),
        )

    def _handle_query(
        self, vm: str, query: quarantine.CrashQuery
    ) -> quarantine.CrashNotice:
        del vm
        with self._lock:
            if query.digest == self._digest():
                return quarantine.CrashNotice(())
            return self._all()

    def _digest(self) -> str:
        """Returns a hash that VMs share that know the same.

        The caller holds the lock.
        """
        digest = self._quarantine.digest()
        parts = sorted(row.part for row in self._sound_parts.all())
        if not parts:
            return digest
        text = "\n".join([digest, *parts])
        return hashlib.sha256(text.encode()).hexdigest()

    def _all(self) -> quarantine.CrashNotice:
        """Returns all that this VM knows; the caller holds the lock."""
        return quarantine.CrashNotice(
            self._quarantine.crashes(),
            cleared=self._quarantine.cleared(),
            sound=self._sound_parts.all(),
        )

    def _domain_peers(self) -> list[str]:
        own = self._membership.own_vm()
        return [
            vm.vm
            for vm in self._membership.entry_vms()
            if vm.failure_domain == own.failure_domain and vm.vm != own.vm
        ]

    def _choose_relays(self) -> list[str]:
        own = self._membership.own_vm()
        by_domain: dict[str, list[records.Vm]] = {}
        for vm in self._membership.entry_vms():
            if vm.failure_domain != own.failure_domain:
                by_domain.setdefault(vm.failure_domain, []).append(vm)
        return [
            vm.vm
            for vms in by_domain.values()
            for vm in random.sample(vms, min(_RELAYS_PER_DOMAIN, len(vms)))
        ]

    def _notify_peers(self, notice: quarantine.CrashNotice) -> Delivery:
        """Notifies VMs of all failure domains."""
        relayed = notice._replace(relay=True)
        senders = (
            *self._send(self._choose_relays(), relayed),
            *self._send(self._domain_peers(), notice),
        )
        return Delivery(senders)

    def _send(
        self, vms: Iterable[str], notice: quarantine.CrashNotice
    ) -> tuple[threading.Thread, ...]:
        """Sends a notice to VMs in parallel; returns the sending threads."""
        return tuple(
            threads.start_once(self._deliver, "crash-notice", vm, notice)
            for vm in vms
        )

    def _deliver(self, vm: str, notice: quarantine.CrashNotice) -> None:
        """Sends a notice to a VM; one that misses it gets it again later."""
        answer = self._peers.call(vm, notice, _CALL_TIMEOUT_S)
        if answer.is_err():
            with self._lock:
                until_s = time.monotonic() + _RESEND_FOR_S
                self._resend_until_s.setdefault(vm, until_s)

    def _run(self) -> None:
        """Exchanges what was missed in a cut or while a VM was down."""
        next_query_s, pause_s = 0.0, _FIRST_QUERY_POLL_S
        while not self._stopping.wait(pause_s):
            self._resend()
            if time.monotonic() < next_query_s:
                continue
            # A VM of another domain knows what a cut kept from this one.
            others = [*self._domain_peers(), *self._choose_relays()]
            if others and self._query(random.choice(others)):
                next_query_s = time.monotonic() + _QUERY_INTERVAL_S
                pause_s = _RESEND_INTERVAL_S

    def _resend(self) -> None:
        now_s = time.monotonic()
        with self._lock:
            due, self._resend_until_s = self._resend_until_s, {}
            notice = self._all()._replace(relay=True)
        for vm, until_s in due.items():
            answer = self._peers.call(vm, notice, _CALL_TIMEOUT_S)
            if answer.is_err() and now_s < until_s:
                with self._lock:
                    self._resend_until_s[vm] = until_s

    def _query(self, vm: str) -> bool:
        """Asks a VM for what it knows; returns whether it answered."""
        with self._lock:
            query = quarantine.CrashQuery(self._digest())
        answer = self._peers.call(vm, query, 1.0)
        if answer.is_err():
            return False
        self._apply(answer.unwrap())
        return True
