"""Chooses the upstream of a request from estimated running counts."""

from collections.abc import Iterator
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import batchslots
from bulrushdeald import health as health_lib
from bulrushdeald import inflight as inflight_lib
from bulrushdeald import loadpoll
from bulrushdeald import routingpolicies
from bulrushdeald import services
from bulrushdeald import topology as topology_lib
from bulrushdeald import waitingcounts


class _TopologyInput(NamedTuple):
    """The input that a topology was built from."""

    upstreams: tuple[records.Upstream, ...]
    vms: tuple[records.Vm, ...]


class Placement:
    """Places requests; not thread-safe by itself.

    Attributes:
        health: Which upstreams are available.
        inflight: Counts of running requests by upstream.
        batch: Batch items that this VM runs.
    """

    def __init__(
        self,
        policy: routingpolicies.Policy,
        batch: batchslots.BatchSlots,
        clock: clock_lib.Clock,
    ) -> None:
        self._policy = policy
        self._recent_max = loadpoll.RecentMaximum(clock)
        self._suspects: dict[str, int] = {}
        self._known_entry_vms: tuple[records.Vm, ...] = ()
        self._unresponsive: frozenset[str] = frozenset()
        self._topology = topology_lib.build((), (), records.Vm("", "", "entry"))
        self._topology_input = _TopologyInput((), ())
        self._is_stale = True
        self.health = health_lib.Health(clock)
        self.inflight = inflight_lib.Inflight(clock)
        self.batch = batch
        self._waits: waitingcounts.Waits | None = None

    def connect(
        self, config: services.Config, membership: services.Membership
    ) -> None:
        """Sets the source of the upstreams and of the VM list."""
        self._config = config
        self._membership = membership
        self._own_vm = membership.own_vm()
        config.on_change(self._note_change)

    def set_waits(self, waits: waitingcounts.Waits) -> None:
        """Sets the record of the requests that wait on other VMs.

        From then on, this VM may leave free slots to those requests.
        """
        self._waits = waits

    def _note_change(self) -> None:
        self._is_stale = True

    def set_unresponsive(self, vm: str, is_unresponsive: bool) -> None:
        """Records whether an owner responds to this VM.

        A frozen VM stays on the platform's list, and no batch item would run
        on the upstreams that it owns. This VM detects it by reports that get
        no response. The frozen VM's upstreams then pass to the next VM in
        rendezvous order. If the VM was not frozen after all, two VMs place
        batch items on the same upstreams, and these items still yield to
        online requests.
        """
        if (vm in self._unresponsive) == is_unresponsive:
            return
        self._unresponsive = self._unresponsive ^ {vm}
        self._is_stale = True

    def is_unresponsive(self, vm: str) -> bool:
        """Returns whether an owner has stopped responding to this VM."""
        return vm in self._unresponsive

    def topology(self) -> topology_lib.Topology:
        """Returns which upstreams serve which model, and their owners.

        The topology is rebuilt only after a change: with 6,400 upstreams a
        rebuild takes too long to be done for each request. Two threads may
        rebuild it at the same time; both get the same result.
        """
        entry_vms = self._membership.entry_vms()
        if not self._is_stale and entry_vms is self._known_entry_vms:
            return self._topology
        # Cleared before the rebuild, so that a change during it sets it again.
        self._is_stale = False
        upstreams = self._config.upstreams()
        # Drops VMs that have left the list; VM names are never reused.
        self._unresponsive &= frozenset(vm.vm for vm in entry_vms)
        responsive = tuple(
            vm for vm in entry_vms if vm.vm not in self._unresponsive
        )
        # Most changes concern customers only and need no rebuild.
        topology_input = _TopologyInput(upstreams, responsive)
        if topology_input != self._topology_input:
            self._topology = topology_lib.build(
                upstreams, responsive, self._own_vm
            )
            self._topology_input = topology_input
        self._known_entry_vms = entry_vms
        return self._topology

    def serving(self, work: services.PlacementRequest) -> topology_lib.Serving:
        """Returns all upstreams that serve a request's model or service."""
        return self.topology().serving(work.model, work.service)

    def usable(
        self, upstreams: tuple[records.Upstream, ...]
    ) -> Iterator[records.Upstream]:
        """Yields the upstreams that are available and not leaving."""
        for upstream in upstreams:
            if not self.health.is_up(upstream.upstream):
                continue
            if not self._membership.is_leaving(upstream.vm):
                yield upstream

    def estimate(self, upstream: records.Upstream) -> inflight_lib.Count:
        """Returns the estimated number of requests on an upstream."""
        name = upstream.upstream
        owner = self.topology().owners.of(name)
        return self.inflight.estimate(name, owner, self._own_vm.vm)

    def choose_for_online(
        self,
        work: services.PlacementRequest,
        is_suspect: bool,
        weight: float = 1.0,
    ) -> records.Upstream | None:
        """Returns an upstream with room for an online request, or `None`.

        Upstreams of other failure domains are used only if there is no room
        in the VM's own failure domain.

        Args:
            work: The request.
            is_suspect: Whether the request was running when an upstream
                crashed.
            weight: Weight of the customers that wait on this VM for the same
                model or service.
        """
        serving = self.serving(work)
        pool = work.model or work.service
        candidates = [
            candidate
            for candidate in self._with_room(serving.near, is_suspect)
            if not self._is_left_to_others(candidate, pool, weight)
        ]
        if not candidates:
            far = filter(self._may_send_far, serving.far)
            candidates = self._with_room(tuple(far), is_suspect)
        if not candidates:
            return None
        return self._policy.choose(candidates, work.prompt_prefix).upstream

    def _may_send_far(self, upstream: records.Upstream) -> bool:
        """Returns whether to send more to an upstream of another domain.

        Without this check, after a burst fills a failure domain, each VM
        there sends its whole backlog to the same upstream elsewhere, which
        looks idle because its owner's totals have not arrived. The symptom
        is an engine that runs three times its slots. So a VM first sends one
        request; the owner answers the report of it with the totals, by which
        the VM places the other requests.
        """
        name = upstream.upstream
        if not self.inflight.own_online(name):
            return True
        owner = self.topology().owners.of(name)
        return owner == self._own_vm.vm or self.inflight.has_fresh_totals(owner)

    def _with_room(
        self, upstreams: tuple[records.Upstream, ...], is_suspect: bool
    ) -> list[routingpolicies.Candidate]:
        found: list[routingpolicies.Candidate] = []
        for upstream in self.usable(upstreams):
            if is_suspect and self._suspects.get(upstream.upstream, 0):
                continue
            count = self.estimate(upstream)
            if count.online < upstream.slots:
                found.append(
                    routingpolicies.Candidate(
                        upstream, count.online, count.batch
                    )
                )
        return found

    def _waiting_elsewhere(
        self, upstream: records.Upstream, pool: str
    ) -> waitingcounts.Waiting:
        if self._waits is None:
            return waitingcounts.Waiting(pool, 0, 0.0)
        owner = self.topology().owners.of(upstream.upstream)
        return self._waits.waiting_elsewhere(owner, self._own_vm.vm, pool)

    def _is_left_to_others(
        self, candidate: routingpolicies.Candidate, pool: str, weight: float
    ) -> bool:
        upstream = candidate.upstream
        return waitingcounts.leaves_slot_to_others(
            upstream,
            self.inflight.own_online(upstream.upstream),
            upstream.slots - candidate.online,
            weight,
            self._waiting_elsewhere(upstream, pool),
        )

    def free_batch_slots(self, upstream: records.Upstream) -> int:
        """Returns how many more batch items may run on an upstream.

        It is 0 for an upstream that this VM does not own.
        """
        if upstream.upstream not in self.topology().owned:
            return 0
        online = self.inflight.total_online(upstream.upstream)
        allowed = self.batch.allowed(upstream, online)
        # Slots are kept free for online requests that wait on other VMs.
        allowed -= max(
            self._waiting_elsewhere(upstream, pool).requests
            for pool in (*upstream.models, upstream.service)
        )
        return max(0, allowed - self.batch.running(upstream.upstream))

    def choose_for_batch(
        self, work: services.PlacementRequest, is_suspect: bool
    ) -> records.Upstream | None:
        """Returns an upstream with a free batch slot, or `None`.

        The upstream where the item yielded comes first, then the one with the
        most free slots.
        """
        best: records.Upstream | None = None
        most = 0
        for upstream in self.usable(self.serving(work).all):
            if is_suspect and self._suspects.get(upstream.upstream, 0):
                continue
            free = self.free_batch_slots(upstream)
            if free > 0 and upstream.upstream == work.resume_upstream:
                return upstream
            if free > most:
                best, most = upstream, free
        return best

    def count_start(
        self,
        work: services.PlacementRequest,
        upstream: records.Upstream,
        is_suspect: bool,
    ) -> batchslots.RunningItem | None:
        """Counts a request as running on an upstream.

        Returns:
            The running item for batch work, otherwise `None`.
        """
        name = upstream.upstream
        if self.health.is_trial(name):
            self.health.begin_trial(name)
        if is_suspect:
            self._suspects[name] = self._suspects.get(name, 0) + 1
        batch_item = None
        if work.work_class == "batch":
            batch_item = self.batch.add(name)
            self.inflight.add_batch(name, 1)
        else:
            self.inflight.add_online(name, 1)
        self.record_known_count(name)
        return batch_item

    def count_end(
        self,
        upstream: str,
        batch_item: batchslots.RunningItem | None,
        is_suspect: bool,
    ) -> None:
        """Counts a request on an upstream as ended."""
        if is_suspect:
            self._suspects[upstream] -= 1
        if batch_item is None:
            self.inflight.add_online(upstream, -1)
            return
        self.batch.remove(upstream, batch_item)
        self.inflight.add_batch(upstream, -1)

    def record_known_count(self, upstream: str) -> None:
        """Records how many requests are known to run on an upstream now."""
        known = self.inflight.known_online(upstream)
        known += self.inflight.own_batch(upstream)
        self._recent_max.record(upstream, known)

    def update_external_count(self, upstream: str, running: int) -> None:
        """Counts requests that only the engine reports; see `loadpoll`."""
        external = max(0, running - self._recent_max.maximum(upstream))
        self.inflight.set_external(upstream, external)
