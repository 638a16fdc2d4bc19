"""Notifies peers of requests that were running when an upstream crashed."""

import itertools
import random
import threading

from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import quarantine
from bulrushdeald import services

_log = logs.Log("router")

# Peers are notified of a crash before the caller gets its answer, so this
# bounds how long an unreachable peer delays the answer.
_CALL_TIMEOUT_S = 0.3
_QUERY_INTERVAL_S = 10.0
# Number of VMs notified in each other failure domain; they relay the notice
# within their domain.
_RELAYS_PER_DOMAIN = 2


class CrashNotices:
    """Sends and handles `quarantine.CrashNotice` messages."""

    def __init__(
        self,
        peers: services.Peers,
        membership: services.Membership,
        crashes: quarantine.Quarantine,
        lock: threading.Lock,
    ) -> None:
        self._peers = peers
        self._membership = membership
        self._quarantine = crashes
        self._lock = lock
        self._sequence = itertools.count()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Registers the message handlers and starts the query thread."""
        self._peers.register_answers(quarantine.CrashNotice)
        self._peers.register_handler(
            quarantine.CrashNotice, self._handle_notice
        )
        self._peers.register_handler(quarantine.CrashQuery, self._handle_query)
        threading.Thread(
            target=self._query_peers, name="crash-query", daemon=True
        ).start()

    def stop(self) -> None:
        """Asks the query thread to end; does not wait for it."""
        self._stopping.set()

    def crashed(self, fingerprint: str) -> None:
        """Records a crash and notifies the peers.

        Returns when the peers have answered or the call timeout has passed.
        """
        if not fingerprint:
            return
        vm = self._membership.own_vm().vm
        crash_id = f"{vm}/{self._membership.incarnation()}"
        crash = quarantine.Crash(
            fingerprint, f"{crash_id}/{next(self._sequence)}"
        )
        with self._lock:
            self._quarantine.add(crash)
        _log.warning("A request was running when an upstream crashed.")
        self._notify_peers((crash,))

    def _handle_notice(
        self, vm: str, notice: quarantine.CrashNotice
    ) -> quarantine.CrashNotice:
        del vm
        with self._lock:
            new = tuple(
                crash for crash in notice.crashes if self._quarantine.add(crash)
            )
        if notice.relay and new:
            self._send(self._domain_peers(), quarantine.CrashNotice(new))
        return quarantine.CrashNotice(())

    def _handle_query(
        self, vm: str, query: quarantine.CrashQuery
    ) -> quarantine.CrashNotice:
        del vm, query
        with self._lock:
            return quarantine.CrashNotice(self._quarantine.crashes())

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

    def _notify_peers(self, crashes: tuple[quarantine.Crash, ...]) -> None:
        """Notifies VMs of all failure domains and waits for their answers.

        Without the wait, the caller of a request that crashed two engines
        could retry it at once through a VM of another domain that has not
        been notified yet, and crash a third engine.
        """
        threads = self._send(
            self._choose_relays(), quarantine.CrashNotice(crashes, True)
        ) + self._send(self._domain_peers(), quarantine.CrashNotice(crashes))
        for thread in threads:
            thread.join(_CALL_TIMEOUT_S)

    def _send(
        self, vms: list[str], notice: quarantine.CrashNotice
    ) -> list[threading.Thread]:
        """Sends a notice to VMs in parallel; returns the sending threads."""
        threads = [
            threading.Thread(
                target=self._peers.call,
                args=(vm, notice, _CALL_TIMEOUT_S),
                name="crash-notice",
                daemon=True,
            )
            for vm in vms
        ]
        for thread in threads:
            thread.start()
        return threads

    def _query_peers(self) -> None:
        """Fetches crashes that this VM missed while it was down or cut off."""
        while not self._stopping.is_set():
            others = self._domain_peers() or self._choose_relays()
            if others:
                self._query(random.choice(others))
            self._stopping.wait(_QUERY_INTERVAL_S if others else 1.0)

    def _query(self, vm: str) -> None:
        answer = self._peers.call(vm, quarantine.CrashQuery(), 1.0)
        if answer.is_err():
            return
        with self._lock:
            for crash in answer.unwrap().crashes:
                self._quarantine.add(crash)
