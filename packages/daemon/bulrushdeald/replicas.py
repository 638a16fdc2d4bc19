"""Writes each object to two bulk stores and reads it from any."""

from collections.abc import Sequence
import secrets
import threading
from typing import Any, NamedTuple

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import objects
from bulrushdeald import rendezvous
from bulrushdeald import services

_log = logs.Log("replicas")

NAME = "replicas"
_CALL_TIMEOUT_S = 3.0
_ATTEMPTS = 4


class _FailedPut(NamedTuple):
    """The store that did not take an object, and why."""

    vm: str
    error: services.StoreError


class Replicas:
    """A client of all bulk stores, on every VM."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        del settings
        self._kernel = kernel
        self._clock = clock or clock_lib.SystemClock()
        self._lock = threading.Lock()
        self._domains_seen: set[str] = set()
        self._single_copies = 0

    def start(self) -> None:
        """Looks up the peers."""
        self._peers = self._kernel.find(services.PEERS, services.Peers)
        self._membership = self._kernel.find(
            services.MEMBERSHIP, services.Membership
        )
        self._peers.understand(*objects.ANSWERS)

    def stop(self, grace_s: float) -> None:
        """Has nothing to end."""
        del grace_s

    def dump(self) -> Any:
        """Returns the stores as seen from here."""
        return {
            "stores": [vm.vm for vm in self.stores()],
            "failure_domains_seen": sorted(self._domains_seen),
            "single_copies": self._single_copies,
        }

    def stores(self) -> tuple[records.Vm, ...]:
        """Returns the listed VMs with a disk."""
        vms = self._membership.entry_vms()
        with self._lock:
            self._domains_seen.update(vm.failure_domain for vm in vms)
        return tuple(vm for vm in vms if vm.has_disk)

    def put(
        self, name: str, data: bytes
    ) -> result.Result[objects.ObjectRef, services.StoreError]:
        """Makes an object durable in two failure domains.

        Where the list of VMs has only ever shown one failure domain, two
        stores of it are taken, or the only store there is.
        """
        checksum = objects.checksum(data)
        written_wall_s = self._clock.wall_s()
        failed: set[str] = set()
        error = services.StoreError("unavailable", "no store answered")
        for _ in range(_ATTEMPTS):
            pair = self._choose(name, failed)
            if isinstance(pair, result.Err):
                return pair if not failed else result.Err(error)
            placed = self._put_pair(
                pair.ok_value, name, data, checksum, written_wall_s
            )
            if isinstance(placed, result.Ok):
                stores = tuple(vm.vm for vm in pair.ok_value)
                ref = objects.ObjectRef(name, len(data), checksum, stores)
                return result.Ok(ref)
            failed.add(placed.err_value.vm)
            error = placed.err_value.error
            if error.kind == "fenced":
                return result.Err(error)
        return result.Err(error)

    def get(
        self, ref: objects.ObjectRef
    ) -> result.Result[bytes, services.StoreError]:
        """Returns an object's content, from a copy that is whole."""
        answered = 0
        order = self._read_order(ref)
        for vm in order:
            data = self._get_from(vm, ref)
            if isinstance(data, result.Ok):
                return data
            answered += data.err_value.kind == "missing"
        # Only if each store was asked is it known to be gone.
        kind = services.StoreError(
            "missing" if order and answered == len(order) else "unavailable",
            f"{ref.name} could not be read",
        )
        return result.Err(kind)

    def delete(self, ref: objects.ObjectRef) -> None:
        """Deletes an object where it was written; what fails expires."""
        for vm in ref.stores:
            self._peers.call(vm, objects.StoreDelete(ref.name), _CALL_TIMEOUT_S)

    def copy(
        self,
        name: str,
        data: bytes,
        written_wall_s: float,
        target: str,
        partner: str,
    ) -> result.Result[None, services.StoreError]:
        """Writes one more copy of an object to one store."""
        checksum = objects.checksum(data)
        return self._put_to(
            target, partner, name, data, checksum, written_wall_s
        )

    def _choose(
        self, name: str, failed: set[str]
    ) -> result.Result[tuple[records.Vm, ...], services.StoreError]:
        stores = {
            vm.vm: vm
            for vm in self.stores()
            if vm.vm not in failed and vm.state == "live"
        }
        ranked = [stores[vm] for vm in rendezvous.rank(name, stores)]
        if not ranked:
            return result.Err(
                services.StoreError("unavailable", "no bulk store is listed")
            )
        own = self._membership.own().failure_domain
        near = [vm for vm in ranked if vm.failure_domain == own]
        first = (near or ranked)[0]
        for vm in ranked:
            if vm.failure_domain != first.failure_domain:
                return result.Ok((first, vm))
        return self._choose_in_one_domain(first, ranked)

    def _choose_in_one_domain(
        self, first: records.Vm, ranked: Sequence[records.Vm]
    ) -> result.Result[tuple[records.Vm, ...], services.StoreError]:
        # Two copies in one failure domain go together with it. That is
        # only accepted where there has never been another domain.
        if len(self._domains_seen) > 1:
            return result.Err(
                services.StoreError(
                    "unavailable", "stores in one failure domain only"
                )
            )
        if len(ranked) == 1:
            with self._lock:
                self._single_copies += 1
            return result.Ok((first,))
        return result.Ok((ranked[0], ranked[1]))

    def _put_pair(
        self,
        pair: tuple[records.Vm, ...],
        name: str,
        data: bytes,
        checksum: str,
        written_wall_s: float,
    ) -> result.Result[None, _FailedPut]:
        names = [vm.vm for vm in pair]
        for vm in names:
            partner = "".join(other for other in names if other != vm)
            put = self._put_to(
                vm, partner, name, data, checksum, written_wall_s
            )
            if isinstance(put, result.Err):
                return result.Err(_FailedPut(vm, put.err_value))
        return result.Ok(None)

    def _put_to(
        self,
        vm: str,
        partner: str,
        name: str,
        data: bytes,
        checksum: str,
        written_wall_s: float,
    ) -> result.Result[None, services.StoreError]:
        upload = secrets.token_hex(8)
        offset = 0
        while True:
            piece = data[offset : offset + objects.PIECE_BYTES]
            message = objects.StorePut(
                upload,
                name,
                partner,
                written_wall_s,
                len(data),
                checksum,
                offset,
                piece,
            )
            answer = self._peers.call(vm, message, _CALL_TIMEOUT_S)
            reply = _checked(answer)
            if isinstance(reply, result.Err):
                return reply
            offset += len(piece)
            is_held = reply.ok_value.message == "held"
            if offset >= len(data) or is_held:
                return result.Ok(None)

    def _read_order(self, ref: objects.ObjectRef) -> list[str]:
        own = self._membership.own()
        domains = {vm.vm: vm.failure_domain for vm in self.stores()}
        hinted = [vm for vm in ref.stores if vm in domains]
        hinted.sort(
            key=lambda vm: (vm != own.vm, domains[vm] != own.failure_domain)
        )
        # A store that repaired a lost copy put it where the name ranks.
        others = rendezvous.rank(ref.name, set(domains) - set(hinted))
        return hinted + others

    def _get_from(
        self, vm: str, ref: objects.ObjectRef
    ) -> result.Result[bytes, services.StoreError]:
        data = bytearray()
        while True:
            message = objects.StoreGet(ref.name, len(data), objects.PIECE_BYTES)
            answer = self._peers.call(vm, message, _CALL_TIMEOUT_S)
            piece = _checked(answer)
            if isinstance(piece, result.Err):
                return piece
            data += piece.ok_value.data
            if len(data) >= ref.size_bytes or not piece.ok_value.data:
                break
        if objects.checksum(bytes(data)) != ref.checksum:
            # A damaged copy must count as none: the other one is whole.
            _log.error("Copy of %s on %s is damaged.", ref.name, vm)
            return result.Err(services.StoreError("missing", "damaged"))
        return result.Ok(bytes(data))


def _checked(
    answer: result.Result[Any, services.PeerError],
) -> result.Result[Any, services.StoreError]:
    if isinstance(answer, result.Err):
        message = answer.err_value.message
        return result.Err(services.StoreError("unavailable", message))
    status = answer.ok_value.status
    if status == "ok":
        return result.Ok(answer.ok_value)
    if status == "broken":
        message = "the store failed"
        return result.Err(services.StoreError("unavailable", message))
    return result.Err(services.StoreError(status, "the store refused"))
