"""Which upstream a request goes to, by what is believed to run where."""

from collections.abc import Iterator
from typing import NamedTuple

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import batchslots
from bulrushdeald import choice
from bulrushdeald import health as health_lib
from bulrushdeald import inflight as inflight_lib
from bulrushdeald import loadpoll
from bulrushdeald import services
from bulrushdeald import topology as topology_lib
from bulrushdeald import waits as waits_lib


class _Sources(NamedTuple):
    """What a topology was built from."""

    upstreams: tuple[records.Upstream, ...]
    vms: tuple[records.Vm, ...]


class Placement:
    """Places requests; not thread-safe by itself.

    Attributes:
        health: Which upstreams answer.
        inflight: The counts of what runs where.
        batch: The batch items that run here.
    """

    def __init__(
        self,
        policy: choice.Policy,
        batch: batchslots.BatchSlots,
        clock: clock_lib.Clock,
    ) -> None:
        self._policy = policy
        self._window = loadpoll.Window(clock)
        self._suspects: dict[str, int] = {}
        self._entry_vms: tuple[records.Vm, ...] = ()
        self._silent: frozenset[str] = frozenset()
        self._topology = topology_lib.build((), (), records.Vm("", "", "entry"))
        self._sources = _Sources((), ())
        self._is_stale = True
        self.health = health_lib.Health(clock)
        self.inflight = inflight_lib.Inflight(clock)
        self.batch = batch
        self._waits: waits_lib.Waits | None = None

    def connect(
        self, config: services.Config, membership: services.Membership
    ) -> None:
        """Goes by this configuration and list of VMs."""
        self._config = config
        self._membership = membership
        self._own = membership.own()
        config.on_change(self._note_change)

    def heed(self, waits: waits_lib.Waits) -> None:
        """Leaves slots to what waits elsewhere from now on."""
        self._waits = waits

    def _note_change(self) -> None:
        self._is_stale = True

    def set_silent(self, vm: str, is_silent: bool) -> None:
        """Notes whether an owner answers this VM.

        The failure: a frozen VM stays on the platform's list, and no batch
        item runs on the upstreams that it owns. It shows as reports without
        an answer. Its upstreams go to the next VM in order; if that is a
        mistake two VMs place batch items there, which yield all the same.
        """
        if (vm in self._silent) == is_silent:
            return
        self._silent = self._silent ^ {vm}
        self._is_stale = True

    def is_silent(self, vm: str) -> bool:
        """Tells whether an owner has not answered this VM for a while."""
        return vm in self._silent

    def topology(self) -> topology_lib.Topology:
        """Returns who serves what and who owns which upstream.

        It is built anew only after a change: at 6,400 upstreams that takes
        too long to be done for each request. Two threads may both build it,
        which gives the same.
        """
        entry_vms = self._membership.entry_vms()
        if not self._is_stale and entry_vms is self._entry_vms:
            return self._topology
        # Cleared first: a change that comes meanwhile sets it again.
        self._is_stale = False
        upstreams = self._config.upstreams()
        # A VM that is gone is not silent any more; names are never used again.
        self._silent &= frozenset(vm.vm for vm in entry_vms)
        answering = tuple(vm for vm in entry_vms if vm.vm not in self._silent)
        # Most changes are to customers and leave the upstreams as they are.
        sources = _Sources(upstreams, answering)
        if sources != self._sources:
            self._topology = topology_lib.build(upstreams, answering, self._own)
            self._sources = sources
        self._entry_vms = entry_vms
        return self._topology

    def serving(self, work: services.Work) -> topology_lib.Serving:
        """Returns all upstreams that serve what a request asks for."""
        return self.topology().serving(work.model, work.service)

    def usable(
        self, upstreams: tuple[records.Upstream, ...]
    ) -> Iterator[records.Upstream]:
        """Yields those that answer and are not leaving."""
        for upstream in upstreams:
            if not self.health.is_up(upstream.upstream):
                continue
            if not self._membership.is_leaving(upstream.vm):
                yield upstream

    def estimate(self, upstream: records.Upstream) -> inflight_lib.Count:
        """Returns what is believed to run on an upstream."""
        name = upstream.upstream
        owner = self.topology().owners.of(name)
        return self.inflight.estimate(name, owner, self._own.vm)

    def online(
        self, work: services.Work, is_suspect: bool, weight: float = 1.0
    ) -> records.Upstream | None:
        """Returns where an online request goes now, if there is room.

        The own failure domain comes first; others take what it cannot.

        Args:
            work: The request.
            is_suspect: Whether it ran when an upstream crashed before.
            weight: Of the customers who wait for the same here.
        """
        serving = self.serving(work)
        pool = work.model or work.service
        candidates = [
            candidate
            for candidate in self._with_room(serving.near, is_suspect)
            if not self._is_left(candidate, pool, weight)
        ]
        if not candidates:
            known = filter(self._is_known, serving.far)
            candidates = self._with_room(tuple(known), is_suspect)
        if not candidates:
            return None
        return self._policy.choose(candidates, work.prompt_prefix).upstream

    def _is_known(self, upstream: records.Upstream) -> bool:
        """Tells whether this VM may send more to another domain's upstream.

        The failure: a burst fills a failure domain, and each VM there sends
        its whole backlog to the same upstream elsewhere, which it believes
        to be idle since it has not heard from its owner. It shows as an
        engine that runs three times its slots. One request goes; the report
        of it brings the owner's sum, and the others follow by that.
        """
        name = upstream.upstream
        if not self.inflight.own_online(name):
            return True
        owner = self.topology().owners.of(name)
        return owner == self._own.vm or self.inflight.is_known(owner)

    def _with_room(
        self, upstreams: tuple[records.Upstream, ...], is_suspect: bool
    ) -> list[choice.Candidate]:
        found: list[choice.Candidate] = []
        for upstream in self.usable(upstreams):
            if is_suspect and self._suspects.get(upstream.upstream, 0):
                continue
            count = self.estimate(upstream)
            if count.online < upstream.slots:
                found.append(
                    choice.Candidate(upstream, count.online, count.batch)
                )
        return found

    def _others(
        self, upstream: records.Upstream, pool: str
    ) -> waits_lib.Waiting:
        if self._waits is None:
            return waits_lib.Waiting(pool, 0, 0.0)
        owner = self.topology().owners.of(upstream.upstream)
        return self._waits.others(owner, self._own.vm, pool)

    def _is_left(
        self, candidate: choice.Candidate, pool: str, weight: float
    ) -> bool:
        upstream = candidate.upstream
        return waits_lib.is_left(
            upstream,
            self.inflight.own_online(upstream.upstream),
            upstream.slots - candidate.online,
            weight,
            self._others(upstream, pool),
        )

    def free_batch_slots(self, upstream: records.Upstream) -> int:
        """Returns how many more batch items may run on an upstream."""
        if upstream.upstream not in self.topology().owned:
            return 0
        online = self.inflight.total_online(upstream.upstream)
        allowed = self.batch.allowed(upstream, online)
        # A slot that another VM's online request waits for is not idle.
        allowed -= max(
            self._others(upstream, pool).requests
            for pool in (*upstream.models, upstream.service)
        )
        return max(0, allowed - self.batch.running(upstream.upstream))

    def batch_item(
        self, work: services.Work, is_suspect: bool
    ) -> records.Upstream | None:
        """Returns where a batch item goes now, if there is a free slot."""
        best: records.Upstream | None = None
        most = 0
        for upstream in self.usable(self.serving(work).all):
            if is_suspect and self._suspects.get(upstream.upstream, 0):
                continue
            free = self.free_batch_slots(upstream)
            if free > 0 and upstream.upstream == work.resumes_at:
                return upstream
            if free > most:
                best, most = upstream, free
        return best

    def take(
        self, work: services.Work, upstream: records.Upstream, is_suspect: bool
    ) -> batchslots.Running | None:
        """Counts a request as running there."""
        name = upstream.upstream
        if self.health.is_trial(name):
            self.health.begin_trial(name)
        if is_suspect:
            self._suspects[name] = self._suspects.get(name, 0) + 1
        running = None
        if work.work_class == "batch":
            running = self.batch.add(name)
            self.inflight.add_batch(name, 1)
        else:
            self.inflight.add_online(name, 1)
        self.note_known(name)
        return running

    def give_back(
        self,
        upstream: str,
        running: batchslots.Running | None,
        is_suspect: bool,
    ) -> None:
        """Counts a request as ended."""
        if is_suspect:
            self._suspects[upstream] -= 1
        if running is None:
            self.inflight.add_online(upstream, -1)
            return
        self.batch.remove(upstream, running)
        self.inflight.add_batch(upstream, -1)

    def note_known(self, upstream: str) -> None:
        """Remembers how many requests are known to run now."""
        known = self.inflight.known_online(upstream)
        known += self.inflight.own_batch(upstream)
        self._window.note(upstream, known)

    def take_load(self, upstream: str, running: int) -> None:
        """Takes an engine's own count; see `loadpoll`."""
        strangers = max(0, running - self._window.most(upstream))
        self.inflight.set_external(upstream, strangers)
