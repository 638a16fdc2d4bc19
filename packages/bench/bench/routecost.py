"""Measures the processor time of routing and the size of count reports.

`python -m bench.routecost` builds one router without a network for each of
several numbers of upstreams and entry VMs. For each size it prints the time
of one acquire and release, the time of building the topology, the sizes of
one report and its answer, and the memory of the topology.
"""

import time
import tracemalloc
from typing import Any, NamedTuple

import result

from bench import staticvm
from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records
from bulrushdeald import countlists
from bulrushdeald import inflight
from bulrushdeald import router as router_lib
from bulrushdeald import services
from bulrushdeald import topology

_ROUNDS = 2000
_MODELS = 24
_SLOTS = 1_000_000


class Size(NamedTuple):
    """The numbers of upstreams, entry VMs and failure domains."""

    upstreams: int
    vms: int
    failure_domains: int


class Cost(NamedTuple):
    """The cost at one size.

    Attributes:
        size: The size.
        acquire_us: Processor time of one acquire and release.
        topology_ms: Processor time of building the topology once.
        report_bytes: Size of a report from a VM to an owner.
        answer_bytes: Size of the owner's answer.
        state_mb: Memory of the rows of upstreams and VMs and the topology.
    """

    size: Size
    acquire_us: float
    topology_ms: float
    report_bytes: int
    answer_bytes: int
    state_mb: float


SIZES = (
    Size(100, 19, 1),
    Size(400, 75, 1),
    Size(1600, 300, 4),
    Size(6400, 1200, 16),
)


class _UnreachablePeers(staticvm.StaticService):
    """Peers that are always unreachable."""

    def register_handler(self, kind: type[Any], handler: Any) -> None:
        """See `services.Peers`."""

    def register_answers(self, *kinds: type[Any]) -> None:
        """See `services.Peers`."""

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        """See `services.Peers`."""
        del message, timeout_s
        return result.Err(services.PeerError("unreachable", vm))


class _Config(staticvm.StaticConfig):
    def customer(self, customer: str) -> records.Customer | None:
        """See `services.Config`."""
        return records.Customer(customer)


class _Membership(staticvm.StaticService):
    def __init__(self, vms: tuple[records.Vm, ...]) -> None:
        self._vms = vms

    def own_vm(self) -> records.Vm:
        """See `services.Membership`."""
        return self._vms[0]

    def incarnation(self) -> str:
        """See `services.Membership`."""
        return "1"

    def entry_vms(self) -> tuple[records.Vm, ...]:
        """See `services.Membership`."""
        return self._vms

    def is_listed(self, vm: str) -> bool:
        """See `services.Membership`."""
        return bool(vm)

    def is_leaving(self, vm: str) -> bool:
        """See `services.Membership`."""
        return not vm


def _upstreams(size: Size) -> tuple[records.Upstream, ...]:
    return tuple(
        records.Upstream(
            f"engine-{number:05}",
            "engine",
            "127.0.0.1:1",
            f"vm-{number:05}",
            f"domain-{number % size.failure_domains:02}",
            (f"model-{number // size.failure_domains % _MODELS:02}",),
            slots=_SLOTS,
        )
        for number in range(size.upstreams)
    )


def _vms(size: Size) -> tuple[records.Vm, ...]:
    return tuple(
        records.Vm(
            f"entry-{number:04}",
            f"domain-{number % size.failure_domains:02}",
            "entry",
        )
        for number in range(size.vms)
    )


def _router(size: Size) -> router_lib.UpstreamRouter:
    kernel = kernel_lib.Kernel()
    kernel.register(services.CONFIG, _Config(*_upstreams(size)))
    kernel.register(services.MEMBERSHIP, _Membership(_vms(size)))
    kernel.register(services.PEERS, _UnreachablePeers())
    clock = clock_lib.FakeClock()
    router = router_lib.UpstreamRouter(kernel, staticvm.settings(), clock)
    router.start()
    # The router's threads have no reachable peers and would only distort the
    # measurement.
    router.stop(0)
    return router


def measure(size: Size) -> Cost:
    """Measures the cost at one size."""
    router = _router(size)
    work = services.PlacementRequest(
        "customer-1", "online", "model-01", "", b"prefix", 100, "f", 30.0
    )
    router.acquire(work).unwrap().release("ok")
    start_s = time.process_time()
    for _ in range(_ROUNDS):
        router.acquire(work).unwrap().release("ok")
    acquire_s = (time.process_time() - start_s) / _ROUNDS
    start_s = time.process_time()
    built = topology.build(_upstreams(size), _vms(size), _vms(size)[0])
    topology_s = time.process_time() - start_s
    names = countlists.UpstreamNames(tuple(sorted(built.owned)))
    counts = tuple(inflight.Count(name, 3) for name in names.names)
    return Cost(
        size,
        acquire_s * 1e6,
        topology_s * 1e3,
        len(codec.pack(names.without_names(inflight.CountsReport(counts)))),
        len(
            codec.pack(
                names.totals_without_names(inflight.CountsTotals(counts))
            )
        ),
        _state_mb(size),
    )


def _state_mb(size: Size) -> float:
    tracemalloc.start()
    vms = _vms(size)
    topology_in_use = topology.build(_upstreams(size), vms, vms[0])
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del topology_in_use
    return used_bytes / 1e6


def main() -> None:
    """Measures each size and prints a line for it."""
    print(
        "upstreams vms domains acquire_us topology_ms report_B answer_B"
        " state_MB"
    )
    for size in SIZES:
        cost = measure(size)
        print(
            f"{size.upstreams:9} {size.vms:4} {size.failure_domains:7}"
            f" {cost.acquire_us:10.1f} {cost.topology_ms:11.1f}"
            f" {cost.report_bytes:8} {cost.answer_bytes:8}"
            f" {cost.state_mb:8.2f}"
        )


if __name__ == "__main__":
    main()
