"""Tracks the VMs of the system, which of them lead, and which are reachable."""

from collections.abc import Callable
from concurrent import futures
import json
import math
import random
import secrets
import threading
import time
from typing import Any, NamedTuple

from bulrushdeal import addresses
from bulrushdeal import clock
from bulrushdeal import codec
from bulrushdeal import eventlog
from bulrushdeal import jsontext
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records as core_records
from bulrushdeal import threads
from bulrushdeald import rendezvous
from bulrushdeald import services
from gateway import dialect as dialect_lib
from gateway import names
from gateway import paging
from gateway import records
from gateway import retainedlist
from gateway.decisions import domainloss
from gateway.decisions import leaders
from gateway.decisions import leases

_events = eventlog.Events("members")

_CALL_TIMEOUT_S = 0.8
# An unanswered renewal is the first sign that the path to the store is lost.
# The shorter timeout leaves time for another renewal within the lease.
_RENEW_TIMEOUT_S = 0.5
# A VM that did not answer is not chosen as a leader for this long.
SUSPECT_S = 1.5
_MAX_SUSPECTS = 1000
# The greatest age of a list received from a reader; with an older one the VM
# reads the store itself. A reader reads every 0.9 s, and a failing read takes
# up to another 0.8 s.
_MAX_RECEIVED_AGE_S = 2.0
# How far the age of a received list may be wrong.
_ROUND_TRIP_S = 0.05
# The most VMs that are probed per update of the list, all at once. Each probe
# may take its whole timeout, and the same thread renews this VM's lease.
_MAX_PROBES = 8


class _Entry(NamedTuple):
    """A VM's entry in the store, without what other builds add.

    Attributes:
        failure_domain: Its failure domain.
        peers: Its address for other VMs.
        cores: The processor cores that it may use; 0 if unknown.
    """

    failure_domain: str
    peers: str
    cores: float = 0.0


class Members:
    """Keeps this VM registered in the store and holds the list of all VMs.

    It is also the `services.Membership` that the peer connections use.

    Attributes:
        ping_requested: Set to have failure domains pinged at once, such as
            when a VM becomes suspected.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._settings = settings
        self._own = core_records.Vm(
            settings.vm,
            settings.failure_domain,
            "entry",
            settings.peers_address,
            cores=settings.cores,
        )
        self._incarnation = secrets.token_hex(8)
        self._listing: retainedlist.Listing[core_records.Vm] = (
            retainedlist.Listing(lambda row: True, 0.0)
        )
        self._rows: tuple[core_records.Vm, ...] = (self._own,)
        self._lock = threading.Lock()
        self._lease = 0
        self._lease_until_s = 0.0
        self._renewed_s = 0.0
        self._suspects: dict[str, float] = {}
        self._leader_ranks: dict[str, list[str]] = {}
        self._leaders: list[str] = [settings.vm]
        self._is_known = False
        self._version = 0
        # The list that a reader sent last, and when it was read.
        self._received: tuple[core_records.Vm, ...] = ()
        self._received_read_s = -math.inf
        self._read_s = -math.inf
        self._probe: Callable[[str], bool] = lambda vm: False
        self.ping_requested = threading.Event()
        self._domains = {settings.vm: settings.failure_domain}
        self._domain_loss = domainloss.DomainLoss()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts the thread that keeps the lease and updates the list."""
        self._store = self._kernel.find(names.STORE, dialect_lib.Store)
        self._dialect = self._kernel.find(names.DIALECT, dialect_lib.Dialect)
        self._prefix = f"{self._dialect.store_keys.own_prefix}members/"
        threads.start(self._run, "members", is_vital=True)

    def stop(self, grace_s: float) -> None:
        """Ends the lease, which removes this VM from the list at once."""
        del grace_s
        self._stopping.set()
        if self._lease:
            self._store.end(self._lease, _CALL_TIMEOUT_S)

    def dump(self) -> Any:
        """Returns the listed VMs, the suspected ones and the missed pings."""
        return {
            "vms": [row.vm for row in self._rows],
            "suspects": sorted(self._suspects),
            "missed_pings": self._domain_loss.dump(),
        }

    def own_vm(self) -> core_records.Vm:
        """See `services.Membership`."""
        return self._own

    def incarnation(self) -> str:
        """See `services.Membership`."""
        return self._incarnation

    def entry_vms(self) -> tuple[core_records.Vm, ...]:
        """See `services.Membership`."""
        return self._rows

    def is_listed(self, vm: str) -> bool:
        """See `services.Membership`."""
        return any(row.vm == vm for row in self._rows)

    def is_leaving(self, vm: str) -> bool:
        """See `services.Membership`."""
        del vm
        return False

    def lease(self) -> int:
        """Returns the id of this VM's lease in the store; 0 if it has none."""
        return self._lease

    def has_valid_lease(self) -> bool:
        """Returns whether this VM's lease certainly still runs.

        Once the lease has ended, another VM may own what this VM held under
        it, and a VM that was suspended does not notice. So the lease counts
        from before the request to the store, on a clock that includes the
        time in suspend.
        """
        return self._lease != 0 and clock.boottime_s() < self._lease_until_s

    def rank(self, key: str) -> list[str]:
        """Returns the reachable VMs in the rendezvous order of a key.

        VMs that are suspected or in a failure domain that is cut off are left
        out, but never this VM.
        """
        return self._reachable(
            rendezvous.rank(key, (row.vm for row in self._rows))
        )

    def leaders(self, key: str) -> list[str]:
        """Returns the VMs that may lead a key, the first choice first.

        Unreachable VMs are left out; if that leaves none, any other
        reachable VM may lead.
        """
        return self._reachable(self._ranked(key)) or self.rank(key)

    def leader_with_backups(self, key: str, count: int) -> list[str]:
        """Returns a key's leader and backups in other failure domains.

        A backup in the leader's failure domain would be cut off together with
        the leader. It is used only if all candidates are in that domain.

        Args:
            key: What is led.
            count: How many VMs to return at most, the leader included.
        """
        ranked = self.leaders(key)
        domain = self.domain(ranked[0])
        others = [vm for vm in ranked[1:] if self.domain(vm) != domain]
        return [ranked[0], *(others or ranked[1:])[: count - 1]]

    def preferred_leader(self, key: str) -> str:
        """Returns the VM that leads a key while all VMs reach each other."""
        return self._ranked(key)[0]

    def leader_domains(self) -> dict[str, str]:
        """Returns the failure domain of each VM that may lead."""
        return {vm: self.domain(vm) for vm in self._leaders}

    def _ranked(self, key: str) -> list[str]:
        ranked = self._leader_ranks.get(key)
        if ranked is None:
            ranked = rendezvous.rank(key, self._leaders)
            self._leader_ranks[key] = ranked
        return ranked

    def _reachable(self, vms: list[str]) -> list[str]:
        now_s = time.monotonic()
        lost = self.unreachable_domains()
        return [
            vm
            for vm in vms
            if vm == self._own.vm
            or (
                self._suspects.get(vm, 0.0) <= now_s
                and self._domains.get(vm) not in lost
            )
        ]

    def unreachable_domains(self) -> frozenset[str]:
        """Returns the failure domains that count as cut off."""
        return self._domain_loss.lost(time.monotonic())

    def suspect(self, vm: str, error: services.PeerError) -> None:
        """Records that a VM did not answer and leaves it out as a leader.

        Its failure domain is pinged at once. If that ping, to another VM of
        the domain, gets no answer either, the domain counts as cut off.
        """
        domain = self.domain(vm)
        if self._mark_suspected(vm) and domain:
            self._record_miss(domain, error)
            self.ping_requested.set()

    def set_probe(self, probe: Callable[[str], bool]) -> None:
        """Sets the function that probes VMs which the store no longer lists.

        Args:
            probe: Calls a VM and returns whether it answers.
        """
        self._probe = probe

    def is_suspected(self, vm: str) -> bool:
        """Returns whether a VM did not answer within the last `SUSPECT_S`."""
        return self._suspects.get(vm, 0.0) > time.monotonic()

    def _mark_suspected(self, vm: str) -> bool:
        """Marks a VM as suspected; false if it already was."""
        with self._lock:
            if len(self._suspects) >= _MAX_SUSPECTS:
                self._suspects.clear()
            is_new = not self.is_suspected(vm)
            self._suspects[vm] = time.monotonic() + SUSPECT_S
        if is_new:
            _events.warning("suspected", peer=vm, for_s=SUSPECT_S)
        return is_new

    def _record_miss(self, domain: str, error: services.PeerError) -> None:
        is_lost = self._domain_loss.record_miss(
            domain,
            time.monotonic(),
            has_host_answered=(
                error.has_host_answered or error.kind == "refused"
            ),
        )
        if is_lost:
            _events.warning(
                "domain_lost", failure_domain=domain, why=error.message
            )

    def reached_fraction(self) -> float:
        """Returns the fraction of all VMs that this VM can reach.

        VMs in failure domains that are cut off do not count, but this VM
        always does.
        """
        rows, lost = self._rows, self.unreachable_domains()
        if not lost:
            return 1.0
        reached = sum(
            row.vm == self._own.vm or row.failure_domain not in lost
            for row in rows
        )
        return reached / len(rows)

    def record_ping(
        self, domain: str, vm: str, error: services.PeerError | None
    ) -> None:
        """Records a ping to a VM of a failure domain, and how it failed."""
        if error is not None:
            self._mark_suspected(vm)
            self._record_miss(domain, error)
            return
        if self._domain_loss.record_answer(domain, time.monotonic()):
            _events.info("domain_back", failure_domain=domain)

    def domain(self, vm: str) -> str:
        """Returns a VM's failure domain; empty if it is not listed."""
        return self._domains.get(vm, "")

    def age_s(self) -> float:
        """Returns the age of the list in seconds; -1 if it was never read."""
        if not self._is_known:
            return -1.0
        return time.monotonic() - self._read_s

    def snapshot(self) -> tuple[tuple[core_records.Vm, ...], int]:
        """Returns all VMs and the list's version, which grows with each change.

        The version is read before the rows, see `UpstreamList.snapshot`.
        """
        version = self._version
        return self._rows, version

    def apply_received(
        self, rows: tuple[core_records.Vm, ...] | None, age_s: float
    ) -> None:
        """Stores a list that a reader sent, to be applied by the next update.

        A list that was read before the one that is held is ignored. The backup
        of a reader is behind it, and a VM that has just registered would be
        dropped for a moment by those that ask the backup.

        Args:
            rows: All VMs; `None` if they have not changed.
            age_s: How long ago the reader read them, in seconds.
        """
        read_s = time.monotonic() - age_s
        with self._lock:
            if (
                read_s
                < max(self._received_read_s, self._read_s) - _ROUND_TRIP_S
            ):
                return
            if rows is not None:
                self._received = rows
            self._received_read_s = read_s

    def is_known(self) -> bool:
        """Returns whether the list was ever read."""
        return self._is_known

    def count(self) -> int:
        """Returns how many VMs there are."""
        return len(self._rows)

    def _run(self) -> None:
        # The list is read before this VM registers: a write may take its
        # whole timeout, and until the first read a VM acts as if it were the
        # only one.
        after_failure = not self._read(False)
        while not self._stopping.is_set():
            is_kept = self._renew_or_register()
            after_failure = not self._read(after_failure) or not is_kept
            self._stopping.wait(
                leases.CHECK_INTERVAL_S * random.uniform(0.8, 1.0)
            )

    def _renew_or_register(self) -> bool:
        asked_s = clock.boottime_s()
        age_s = asked_s - self._renewed_s
        if self._lease and age_s < leases.renewal_age_s(self.count()):
            return True
        if self._lease:
            renewed = self._store.renew(self._lease, _RENEW_TIMEOUT_S)
            if renewed.is_ok():
                self._lease_until_s = asked_s + renewed.unwrap()
                self._renewed_s = asked_s
                return True
            if renewed.unwrap_err().kind != "no_lease":
                return False
            _events.warning("lease_ended", lease=self._lease)
            self._lease = 0
        ttl_s = max(leases.LEASE_S, self._settings.min_lease_s)
        granted = self._store.grant(ttl_s, _CALL_TIMEOUT_S)
        if granted.is_err():
            return False
        lease, granted_s = granted.unwrap()
        value = json.dumps(
            {
                "failure_domain": self._own.failure_domain,
                "peers": self._own.peer_address,
                "cores": self._own.cores,
            }
        ).encode()
        write = dialect_lib.Write(self._prefix + self._own.vm, value, lease)
        made = self._store.commit((), (write,), (), _CALL_TIMEOUT_S)
        if made.is_err():
            return False
        self._lease_until_s = asked_s + granted_s
        self._renewed_s = asked_s
        self._lease = lease
        _events.info("lease_made", lease=lease)
        return True

    def _read(self, after_failure: bool) -> bool:
        with self._lock:
            rows, read_s = self._received, self._received_read_s
        if time.monotonic() - read_s > _MAX_RECEIVED_AGE_S:
            read_s = time.monotonic()
            listed = paging.read_all(
                self._store, self._prefix, _CALL_TIMEOUT_S, stale=True
            )
            if listed.is_err():
                return False
            decoded = map(self._decode, listed.unwrap().entries)
            rows = tuple(row for row in decoded if row is not None)
        self._update(rows, after_failure)
        self._read_s = read_s
        self._is_known = True
        return True

    def _update(
        self, found: tuple[core_records.Vm, ...], after_failure: bool
    ) -> None:
        rows = {row.vm: row for row in found}
        if after_failure:
            self._listing.record_failure()
        kept = dict(self._listing.update(rows, time.monotonic()))
        kept[self._own.vm] = self._own
        kept |= self._probe_unlisted(
            [row for row in self._rows if row.vm not in kept]
        )
        listed = tuple(kept[vm] for vm in sorted(kept))
        if listed == self._rows:
            return
        self._rows = listed
        self._version += 1
        self._domains = {row.vm: row.failure_domain for row in listed}
        eligible = leaders.candidates({row.vm: row.cores for row in listed})
        ranked = rendezvous.rank("leaders", eligible.vms)
        self._leaders = ranked[: eligible.max_leaders]
        self._leader_ranks = {}
        _events.info("listed", vms=[row.vm for row in listed])

    def _probe_unlisted(
        self, missing: list[core_records.Vm]
    ) -> dict[str, core_records.Vm]:
        """Returns the VMs to keep of those that the store no longer lists.

        After an outage in which leases expired, answers of the store may be
        lost while VMs register again. If VMs dropped each other then, each
        would act as the only one and grant a customer's whole rate.
        """
        unsuspected = [row for row in missing if not self.is_suspected(row.vm)]
        if not unsuspected:
            return {}
        probed = unsuspected[:_MAX_PROBES]
        with futures.ThreadPoolExecutor(_MAX_PROBES) as pool:
            answers = list(pool.map(self._probe, (row.vm for row in probed)))
        # VMs that were not probed yet stay until the next update.
        stay = [
            row
            for row, has_answered in zip(probed, answers, strict=True)
            if has_answered
        ] + unsuspected[_MAX_PROBES:]
        if stay:
            _events.warning("not_listed", vms=[row.vm for row in stay])
        return {row.vm: row for row in stay}

    def _decode(self, entry: dialect_lib.Entry) -> core_records.Vm | None:
        try:
            value = jsontext.parse(entry.value or b"")
            row = codec.from_plain(_Entry, value)
            addresses.parse(row.peers, min_port=1)
            name = entry.key.removeprefix(self._prefix)
            return core_records.Vm(
                name, row.failure_domain, "entry", row.peers, cores=row.cores
            )
        except (ValueError, codec.CodecError) as error:
            _events.warning("bad_entry", key=entry.key, why=repr(error))
            return None
