"""Who serves what and who owns which upstream, worked out once a change."""

from collections.abc import Mapping
from typing import NamedTuple

from bulrushdeal import records
from bulrushdeald import rendezvous


class Topology(NamedTuple):
    """What follows from the configuration and the list of VMs.

    Attributes:
        upstreams: All upstreams by name.
        by_model: The engines that serve a model.
        by_service: The plain services of a name.
        owner: For each upstream the entry VM that sums up its counts and
            alone places batch work on it.
        owned: The upstreams that this VM owns.
        other_owners: The upstreams of each other owner.
        vms: How many entry VMs take new requests, at least 1.
    """

    upstreams: Mapping[str, records.Upstream]
    by_model: Mapping[str, tuple[records.Upstream, ...]]
    by_service: Mapping[str, tuple[records.Upstream, ...]]
    owner: Mapping[str, str]
    owned: frozenset[str]
    other_owners: Mapping[str, frozenset[str]]
    vms: int

    def serving(self, model: str, service: str) -> tuple[records.Upstream, ...]:
        """Returns the upstreams that serve a model or a plain service."""
        if model:
            return self.by_model.get(model, ())
        return self.by_service.get(service, ())


def build(
    upstreams: tuple[records.Upstream, ...],
    entry_vms: tuple[records.Vm, ...],
    own_vm: str,
) -> Topology:
    """Returns the topology; every VM works out the same owners."""
    by_model: dict[str, list[records.Upstream]] = {}
    by_service: dict[str, list[records.Upstream]] = {}
    owners: dict[str, str] = {}
    live = [vm for vm in entry_vms if vm.state == "live"]
    for upstream in upstreams:
        for model in upstream.models:
            by_model.setdefault(model, []).append(upstream)
        if upstream.service:
            by_service.setdefault(upstream.service, []).append(upstream)
        owners[upstream.upstream] = _owner(upstream, live)
    others: dict[str, set[str]] = {}
    for name, owner in owners.items():
        if owner and owner != own_vm:
            others.setdefault(owner, set()).add(name)
    return Topology(
        {upstream.upstream: upstream for upstream in upstreams},
        {model: tuple(found) for model, found in by_model.items()},
        {service: tuple(found) for service, found in by_service.items()},
        owners,
        frozenset(name for name, vm in owners.items() if vm == own_vm),
        {owner: frozenset(names) for owner, names in others.items()},
        max(1, len(live)),
    )


def _owner(upstream: records.Upstream, live: list[records.Vm]) -> str:
    near = [
        vm.vm for vm in live if vm.failure_domain == upstream.failure_domain
    ]
    return rendezvous.pick(upstream.upstream, near or [vm.vm for vm in live])


class _Known(NamedTuple):
    upstreams: tuple[records.Upstream, ...]
    entry_vms: tuple[records.Vm, ...]
    topology: Topology


class Cache:
    """Keeps the topology until its sources change.

    Threads may race to replace it: sources and result change in one
    assignment, so the worst is that it is built twice.
    """

    def __init__(self) -> None:
        self._known = _Known((), (), build((), (), ""))

    def get(
        self,
        upstreams: tuple[records.Upstream, ...],
        entry_vms: tuple[records.Vm, ...],
        own_vm: str,
    ) -> Topology:
        """Returns the topology for these sources."""
        known = self._known
        if upstreams == known.upstreams and entry_vms == known.entry_vms:
            return known.topology
        topology = build(upstreams, entry_vms, own_vm)
        self._known = _Known(upstreams, entry_vms, topology)
        return topology
