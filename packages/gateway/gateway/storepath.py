"""Calls the platform's store, through another VM if direct access fails."""

from collections.abc import Mapping
import math
import random
import threading
import time
from typing import Any

import result

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from bulrushdeald import services
from gateway import dialect
from gateway import members
from gateway import names
from gateway import storemessages
from gateway.decisions import storeprobing

_events = eventlog.Events("store")

# Consecutive unanswered calls after which direct access counts as lost. A
# single one may only mean that the store's answer was lost.
_MAX_UNANSWERED = 2
_PROBE_TIMEOUT_S = 0.5
# An unanswered call is followed by a check call at once. A VM that calls
# rarely would otherwise detect the loss seconds later, and jobs submitted
# meanwhile would be accepted too late.
_CHECK_TIMEOUT_S = 0.4
# The most VMs that are asked, one after the other, to make one call.
_MAX_HELPERS = 3
# How long calls fail at once after no helper reached the store either. The
# store is then unavailable to all VMs, and trying each call through several VMs
# would only add to its load when it returns.
_HELPER_BACKOFF_S = 0.4
# How much longer than that the store counts as unavailable to all VMs. It
# exceeds the 0.9 s between two attempts to renew a lease while renewals fail.
_OUTAGE_MEMORY_S = 2.0
# The round trip to the helper, added to the time limit of the store call.
_PEER_ROUND_TRIP_S = 0.15
_UNAVAILABLE = dialect.StoreError("refused", "the store is away")


class FailoverStore:
    """A `dialect.Store` that calls through peers while direct access is lost.

    The failure: the store refuses calls from some VMs, or the network cuts
    them off, while it serves the others. Without this class an affected VM
    refuses jobs, loses its lease and thereby its jobs, and uses an outdated
    list of upstreams, although each of its peers could make the calls for it.

    While the store is unavailable to all VMs, one thread probes it and other
    calls fail at once.

    Args:
        kernel: Finds the peers.
        direct: The store itself.
        regions: The region of each failure domain. Calls carry callers' data,
            which may be bound to a region, so peers of others make none.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        direct: dialect.Store,
        regions: Mapping[str, str],
    ) -> None:
        self._regions = regions
        self._kernel = kernel
        self._direct = direct
        self._peers: services.Peers | None = None
        self._lock = threading.Lock()
        # Replaced in `start`; other services call the store before that.
        self._probe_key = "probe"
        self._unanswered = 0
        self._is_direct_lost = False
        self._helper_backoff_until_s = -math.inf
        self._helper = ""
        self._calls_for_peers = 0
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts to make calls for peers and to call through them."""
        find = self._kernel.find
        self._members = find(services.MEMBERSHIP, members.Members)
        dialect_ = find(names.DIALECT, dialect.Dialect)
        self._probe_key = f"{dialect_.store_keys.own_prefix}probe"
        peers = find(services.PEERS, services.Peers)
        for kind in storemessages.REQUESTS:
            peers.register_handler(kind, self._serve_peer)
        peers.register_answers(*storemessages.ANSWERS)
        self._peers = peers

    def stop(self, grace_s: float) -> None:
        """Ends the thread that probes the store."""
        del grace_s
        self._stopping.set()

    def dump(self) -> Any:
        """Returns the state of direct access and of calls through peers.

        Returns:
            `is_lost`: whether direct access is lost; `helper`: the VM that
            last made a call for this one; `helped`: how many calls this VM
            made for peers.
        """
        return {
            "is_lost": self._is_direct_lost,
            "helper": self._helper,
            "helped": self._calls_for_peers,
        }

    def get(
        self, key: str, timeout_s: float
    ) -> result.Result[dialect.Entry | None, dialect.StoreError]:
        """See `dialect.Store`."""
        answer = self._call(storemessages.GetKey(key, timeout_s))
        if isinstance(answer, storemessages.GotKey):
            return result.Ok(answer.entry)
        return _to_err(answer)

    def list(
        self, prefix: str, after: str, timeout_s: float, *, stale: bool = False
    ) -> result.Result[dialect.Page, dialect.StoreError]:
        """See `dialect.Store`."""
        answer = self._call(
            storemessages.ListKeys(prefix, after, stale, timeout_s)
        )
        if isinstance(answer, dialect.Page):
            return result.Ok(answer)
        return _to_err(answer)

    def watch(
        self, prefix: str, after_revision: int, wait_s: float, timeout_s: float
    ) -> result.Result[dialect.Page, dialect.StoreError]:
        """See `dialect.Store`; peers do not make this call for the VM."""
        if self._is_direct_lost:
            return result.Err(_UNAVAILABLE)
        watched = self._direct.watch(prefix, after_revision, wait_s, timeout_s)
        self._record_outcome(watched.err())
        return watched

    def commit(
        self,
        expected: tuple[dialect.RevisionCondition, ...],
        writes: tuple[dialect.Write, ...],
        deletes: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[int | dialect.Conflict, dialect.StoreError]:
        """See `dialect.Store`."""
        answer = self._call(
            storemessages.Change(expected, writes, deletes, timeout_s)
        )
        if isinstance(answer, storemessages.Changed):
            return result.Ok(answer.conflict or answer.revision)
        return _to_err(answer)

    def grant(
        self, ttl_s: float, timeout_s: float
    ) -> result.Result[dialect.Lease, dialect.StoreError]:
        """See `dialect.Store`."""
        answer = self._call(storemessages.GrantLease(ttl_s, timeout_s))
        if isinstance(answer, dialect.Lease):
            return result.Ok(answer)
        return _to_err(answer)

    def renew(
        self, lease: int, timeout_s: float
    ) -> result.Result[float, dialect.StoreError]:
        """See `dialect.Store`."""
        answer = self._call(storemessages.RenewLease(lease, timeout_s))
        if isinstance(answer, storemessages.Renewed):
            return result.Ok(answer.ttl_s)
        return _to_err(answer)

    def end(
        self, lease: int, timeout_s: float
    ) -> result.Result[None, dialect.StoreError]:
        """See `dialect.Store`.

        The call is only made directly: a lease that is not ended expires.
        """
        return self._direct.end(lease, timeout_s)

    def counts(self) -> tuple[dialect.CallCount, ...]:
        """See `dialect.Store`."""
        return self._direct.counts()

    def _call(self, request: storemessages.Request) -> storemessages.Answer:
        if not self._is_direct_lost:
            answer = storemessages.execute(self._direct, request)
            self._record_outcome(_error_of(answer))
            if not _is_refused(answer):
                return answer
        if time.monotonic() < self._helper_backoff_until_s:
            return storemessages.Failed(_UNAVAILABLE)
        return self._call_through_peers(request)

    def _call_through_peers(
        self, request: storemessages.Request
    ) -> storemessages.Answer:
        """Asks peers in turn to make a call until one reaches the store."""
        if self._peers is None:
            return storemessages.Failed(_UNAVAILABLE)
        for vm in self._choose_helpers():
            called = self._peers.call(
                vm, request, request.timeout_s + _PEER_ROUND_TRIP_S
            )
            if called.is_err():
                error = called.unwrap_err()
                if error.kind == "timeout" or _may_be_done(request, error):
                    return _failure("unknown", error.message)
                continue
            answer: storemessages.Answer = called.unwrap()
            if _is_refused(answer):
                continue
            self._set_helper(vm)
            return answer
        self._helper_backoff_until_s = time.monotonic() + _HELPER_BACKOFF_S
        return storemessages.Failed(_UNAVAILABLE)

    def _choose_helpers(self) -> tuple[str, ...]:
        """Returns the VMs to call through, the last helper first."""
        own = self._members.own_vm()
        region = self._regions.get(own.failure_domain)
        # The probers are the first to detect that a store that was
        # unavailable to all VMs is back.
        ranked = (
            self._probers()
            if self._is_outage()
            else self._members.leaders("store")
        )
        if len(frozenset(self._regions.values())) > 1:
            ranked = tuple(
                vm
                for vm in self._members.rank("store")
                if self._regions.get(self._members.domain(vm)) == region
            )
        others = [vm for vm in ranked if vm != own.vm]
        random.shuffle(others)
        if self._helper in others:
            others.remove(self._helper)
            others.insert(0, self._helper)
        return tuple(others[:_MAX_HELPERS])

    def _set_helper(self, vm: str) -> None:
        if vm != self._helper:
            _events.info("helped", peer=vm)
        self._helper = vm

    def _record_outcome(self, error: dialect.StoreError | None) -> None:
        """Updates the state of direct access after a direct call.

        Args:
            error: The call's error; `None` if it succeeded.
        """
        if error is None or error.kind not in ("refused", "unknown"):
            self._unanswered = 0
            return
        with self._lock:
            self._unanswered += 1
            is_lost = (
                error.kind == "refused" or self._unanswered >= _MAX_UNANSWERED
            )
            if self._is_direct_lost or not (is_lost or self._unanswered == 1):
                return
            self._is_direct_lost = is_lost
        if not is_lost:
            threads.start_once(self._check_access, "check")
            return
        _events.warning("lost", why=error.message)
        threads.start(self._probe, "probe")

    def _check_access(self) -> None:
        """Makes a call that tells a lost answer from lost access."""
        self._record_outcome(
            self._direct.get(self._probe_key, _CHECK_TIMEOUT_S).err()
        )

    def _probe(self) -> None:
        """Calls the store directly until a call succeeds."""
        started_s = time.monotonic()
        while True:
            lost_s = time.monotonic() - started_s
            pause_s = self._probe_pause_s(lost_s) * random.uniform(0.8, 1.0)
            if self._stopping.wait(pause_s):
                return
            if self._direct.get(self._probe_key, _PROBE_TIMEOUT_S).is_ok():
                break
        with self._lock:
            self._is_direct_lost = False
            self._unanswered = 0
            self._helper_backoff_until_s = -math.inf
        away_s = time.monotonic() - started_s
        _events.info("back", away_s=round(away_s, 3))

    def _probe_pause_s(self, lost_s: float) -> float:
        is_prober = (
            self._peers is None or self._members.own_vm().vm in self._probers()
        )
        return storeprobing.pause_s(
            lost_s, is_outage=self._is_outage(), is_prober=is_prober
        )

    def _probers(self) -> tuple[str, ...]:
        """Returns the VMs that probe most often during an outage for all."""
        return tuple(self._members.leaders("store")[: storeprobing.PROBERS])

    def _is_outage(self) -> bool:
        """Returns whether, recently, no helper reached the store either."""
        return (
            time.monotonic() < self._helper_backoff_until_s + _OUTAGE_MEMORY_S
        )

    def _serve_peer(
        self, vm: str, request: storemessages.Request
    ) -> storemessages.Answer:
        del vm
        if self._is_direct_lost:
            return storemessages.Failed(_UNAVAILABLE)
        self._calls_for_peers += 1
        answer = storemessages.execute(self._direct, request)
        self._record_outcome(_error_of(answer))
        return answer


def _may_be_done(
    request: storemessages.Request, error: services.PeerError
) -> bool:
    """Returns whether a call may have reached the store though it failed.

    A handler may fail after the store has made the change, as with an answer
    that cannot be encoded.
    """
    return error.kind == "refused" and isinstance(request, storemessages.Change)


def _error_of(answer: storemessages.Answer) -> dialect.StoreError | None:
    return answer.error if isinstance(answer, storemessages.Failed) else None


def _is_refused(answer: storemessages.Answer) -> bool:
    return (
        isinstance(answer, storemessages.Failed)
        and answer.error.kind == "refused"
    )


def _failure(kind: Any, message: str) -> storemessages.Failed:
    return storemessages.Failed(dialect.StoreError(kind, message))


def _to_err(answer: storemessages.Answer) -> result.Err[dialect.StoreError]:
    if isinstance(answer, storemessages.Failed):
        return result.Err(answer.error)
    return result.Err(
        dialect.StoreError("unknown", f"unexpected answer: {answer!r}")
    )
