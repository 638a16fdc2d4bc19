"""Who serves what and who owns which upstream, worked out once a change."""

from collections.abc import Mapping
from typing import NamedTuple

from bulrushdeal import records
from bulrushdeald import rendezvous


class Serving(NamedTuple):
    """The upstreams that serve one model or plain service.

    Attributes:
        near: Those of the own failure domain.
        far: All others.
    """

    near: tuple[records.Upstream, ...] = ()
    far: tuple[records.Upstream, ...] = ()

    @property
    def all(self) -> tuple[records.Upstream, ...]:
        """The near ones first."""
        return self.near + self.far


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
    by_model: Mapping[str, Serving]
    by_service: Mapping[str, Serving]
    owner: Mapping[str, str]
    owned: frozenset[str]
    other_owners: Mapping[str, frozenset[str]]
    vms: int

    def serving(self, model: str, service: str) -> Serving:
        """Returns the upstreams that serve a model or a plain service."""
        if model:
            return self.by_model.get(model, Serving())
        return self.by_service.get(service, Serving())


def build(
    upstreams: tuple[records.Upstream, ...],
    entry_vms: tuple[records.Vm, ...],
    own: records.Vm,
) -> Topology:
    """Returns the topology; every VM works out the same owners."""
    by_model: dict[str, list[records.Upstream]] = {}
    by_service: dict[str, list[records.Upstream]] = {}
    for upstream in upstreams:
        for model in upstream.models:
            by_model.setdefault(model, []).append(upstream)
        if upstream.service:
            by_service.setdefault(upstream.service, []).append(upstream)
    live = [vm for vm in entry_vms if vm.state == "live"]
    owners = _owners(upstreams, live)
    others: dict[str, set[str]] = {}
    for name, owner in owners.items():
        if owner and owner != own.vm:
            others.setdefault(owner, set()).add(name)
    domain = own.failure_domain
    return Topology(
        {upstream.upstream: upstream for upstream in upstreams},
        {model: _split(found, domain) for model, found in by_model.items()},
        {name: _split(found, domain) for name, found in by_service.items()},
        owners,
        frozenset(name for name, vm in owners.items() if vm == own.vm),
        {owner: frozenset(names) for owner, names in others.items()},
        max(1, len(live)),
    )


def _split(found: list[records.Upstream], failure_domain: str) -> Serving:
    near = [row for row in found if row.failure_domain == failure_domain]
    far = [row for row in found if row.failure_domain != failure_domain]
    return Serving(tuple(near), tuple(far))


def _owners(
    upstreams: tuple[records.Upstream, ...], live: list[records.Vm]
) -> dict[str, str]:
    by_domain: dict[str, list[str]] = {}
    for vm in live:
        by_domain.setdefault(vm.failure_domain, []).append(vm.vm)
    everyone = [vm.vm for vm in live]
    return {
        upstream.upstream: rendezvous.pick(
            upstream.upstream,
            by_domain.get(upstream.failure_domain, everyone),
        )
        for upstream in upstreams
    }
