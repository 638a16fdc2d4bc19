"""Client that writes each object to two bulk stores and reads either copy."""

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
_MAX_PUT_ATTEMPTS = 4


class _FailedPut(NamedTuple):
    """The store to which a write failed, and the error."""

    vm: str
    error: services.StoreError


class Replicas:
    """Reads and writes objects in the bulk stores of all VMs."""

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
        """Looks up the services it uses and registers the stores' answers."""
        self._peers = self._kernel.find(services.PEERS, services.Peers)
        self._membership = self._kernel.find(
            services.MEMBERSHIP, services.Membership
        )
        self._peers.register_answers(*objects.ANSWERS)

    def stop(self, grace_s: float) -> None:
        """Does nothing: there is no thread or connection to end."""
        del grace_s

    def dump(self) -> Any:
        """Returns the stores listed, the domains seen and the single copies."""
        return {
            "stores": [vm.vm for vm in self.stores()],
            "failure_domains_seen": sorted(self._domains_seen),
            "single_copies": self._single_copies,
        }

    def stores(self) -> tuple[records.Vm, ...]:
        """Returns the listed VMs with a disk and records the domains listed."""
        vms = self._membership.entry_vms()
        with self._lock:
            self._domains_seen.update(vm.failure_domain for vm in vms)
        return tuple(vm for vm in vms if vm.has_disk)

    def put(
        self, name: str, data: bytes
    ) -> result.Result[objects.ObjectRef, services.StoreError]:
        """Writes an object durably to stores in two failure domains.

        If the list of VMs has only ever contained one failure domain, the
        object is written to two of its stores, or to its only store.

        Returns:
            A reference to the object. The error `fenced` means that a store
            has other content under this name.
        """
        checksum = objects.checksum(data)
        written_wall_s = self._clock.wall_s()
        failed: set[str] = set()
        error = services.StoreError("unavailable", "no store answered")
        for _ in range(_MAX_PUT_ATTEMPTS):
            chosen = self._choose_stores(name, failed)
            if isinstance(chosen, result.Err):
                return chosen if not failed else result.Err(error)
            put = self._put_copies(
                chosen.ok_value, name, data, checksum, written_wall_s
            )
            if isinstance(put, result.Ok):
                stores = tuple(vm.vm for vm in chosen.ok_value)
                ref = objects.ObjectRef(name, len(data), checksum, stores)
                return result.Ok(ref)
            failed.add(put.err_value.vm)
            error = put.err_value.error
            if error.kind == "fenced":
                return result.Err(error)
        return result.Err(error)

    def get(
        self, ref: objects.ObjectRef
    ) -> result.Result[bytes, services.StoreError]:
        """Returns an object's content from the first undamaged copy.

        Returns:
            The content. The error is `missing` only if every listed store
            answered that it has no undamaged copy, else `unavailable`.
        """
        missing_count = 0
        order = self._read_order(ref)
        for vm in order:
            data = self._get_from(vm, ref)
            if isinstance(data, result.Ok):
                return data
            missing_count += data.err_value.kind == "missing"
        # A store that did not answer may still have a copy.
        error = services.StoreError(
            "missing"
            if order and missing_count == len(order)
            else "unavailable",
            f"{ref.name} could not be read",
        )
        return result.Err(error)

    def delete(self, ref: objects.ObjectRef) -> None:
        """Deletes an object from the stores that it was first written to.

        Errors are ignored, because copies left over expire.
        """
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
        """Writes one more copy of an object.

        Args:
            name: The object's name.
            data: The object's content.
            written_wall_s: When the object was first written.
            target: The VM whose store gets the copy.
            partner: The VM that holds the other copy.
        """
        checksum = objects.checksum(data)
        return self._put_copy(
            target, partner, name, data, checksum, written_wall_s
        )

    def _choose_stores(
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
        own_domain = self._membership.own_vm().failure_domain
        local = [vm for vm in ranked if vm.failure_domain == own_domain]
        first = (local or ranked)[0]
        for vm in ranked:
            if vm.failure_domain != first.failure_domain:
                return result.Ok((first, vm))
        return self._choose_in_one_domain(first, ranked)

    def _choose_in_one_domain(
        self, first: records.Vm, ranked: Sequence[records.Vm]
    ) -> result.Result[tuple[records.Vm, ...], services.StoreError]:
        # The loss of the failure domain loses both copies. This is only
        # accepted if no other failure domain has ever been listed.
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

    def _put_copies(
        self,
        stores: tuple[records.Vm, ...],
        name: str,
        data: bytes,
        checksum: str,
        written_wall_s: float,
    ) -> result.Result[None, _FailedPut]:
        vms = [store.vm for store in stores]
        for vm in vms:
            partner = "".join(other for other in vms if other != vm)
            put = self._put_copy(
                vm, partner, name, data, checksum, written_wall_s
            )
            if isinstance(put, result.Err):
                return result.Err(_FailedPut(vm, put.err_value))
        return result.Ok(None)

    def _put_copy(
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
            reply = _check_answer(answer)
            if isinstance(reply, result.Err):
                return reply
            offset += len(piece)
            is_stored = reply.ok_value.message == "held"
            if offset >= len(data) or is_stored:
                return result.Ok(None)

    def _read_order(self, ref: objects.ObjectRef) -> list[str]:
        own = self._membership.own_vm()
        domains = {vm.vm: vm.failure_domain for vm in self.stores()}
        first_stores = [vm for vm in ref.stores if vm in domains]
        first_stores.sort(
            key=lambda vm: (vm != own.vm, domains[vm] != own.failure_domain)
        )
        # Repair places new copies by the same ranking.
        others = rendezvous.rank(ref.name, set(domains) - set(first_stores))
        return first_stores + others

    def _get_from(
        self, vm: str, ref: objects.ObjectRef
    ) -> result.Result[bytes, services.StoreError]:
        data = bytearray()
        while True:
            message = objects.StoreGet(ref.name, len(data), objects.PIECE_BYTES)
            answer = self._peers.call(vm, message, _CALL_TIMEOUT_S)
            piece = _check_answer(answer)
            if isinstance(piece, result.Err):
                return piece
            data += piece.ok_value.data
            if len(data) >= ref.size_bytes or not piece.ok_value.data:
                break
        if objects.checksum(bytes(data)) != ref.checksum:
            # Treated as missing, so that the other copy is read.
            _log.error("Copy of %s on %s is damaged.", ref.name, vm)
            return result.Err(services.StoreError("missing", "damaged"))
        return result.Ok(bytes(data))


def _check_answer(
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
