"""Pings VMs of each failure domain and spreads newer configurations."""

from concurrent import futures
import math
import random
import threading
from typing import Any, NamedTuple

from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from bulrushdeald import rendezvous
from bulrushdeald import services
from gateway import configuration
from gateway import evacuations
from gateway import members
from gateway import names

# Requests into a failure domain that is cut off are lost until the cut is
# detected. Ordinary calls detect it first; pings cover domains that get none.
_PING_INTERVAL_S = 0.25
_PING_TIMEOUT_S = 0.2
# Up to this number of VMs, each pings at the full rate; beyond it, the interval
# grows with the square root of their number. In a larger fleet each VM calls
# more leaders, and those calls detect cuts as unsuspected.
_FULL_RATE_VMS = 12
_FETCH_TIMEOUT_S = 0.8
_MAX_CONCURRENT_PINGS = 4
# How many VMs of each failure domain a VM pings as long as they answer.
_PING_TARGETS = 2


class Ping(NamedTuple):
    """Asks for a `Pong`.

    Attributes:
        version: The sender's configuration version in force; 0 if none.
        evacuated: The evacuations that the sender knows.
    """

    version: int
    evacuated: evacuations.Evacuated = evacuations.Evacuated()


class Pong(NamedTuple):
    """Answers a `Ping`.

    Attributes:
        version: The answering VM's configuration version in force; 0 if none.
        evacuated: The evacuations that the answering VM knows.
    """

    version: int
    evacuated: evacuations.Evacuated = evacuations.Evacuated()


class FetchConfiguration(NamedTuple):
    """Asks for the configuration in force; answered by `configuration.Told`.

    Attributes:
        version: The sender's configuration version in force; 0 if none.
    """

    version: int


class Pings:
    """Pings one VM of each failure domain and fetches newer configurations.

    If the store refuses this VM but serves others, a key that is withdrawn
    meanwhile would go on working here. So each ping carries the version in
    force and the evacuations, and new ones spread among the VMs within a few
    rounds of pings, without the store.
    """

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._fetch_source = ""
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(
            _MAX_CONCURRENT_PINGS, thread_name_prefix="ping"
        )

    def start(self) -> None:
        """Starts the thread that pings."""
        self._members = self._kernel.find(services.MEMBERSHIP, members.Members)
        self._peers = self._kernel.find(services.PEERS, services.Peers)
        self._feed = self._kernel.find(names.CONFIGURATION, configuration.Feed)
        self._evacuations = self._kernel.find(
            names.EVACUATIONS, evacuations.Evacuations
        )
        self._peers.register_handler(
            Ping, services.InlineHandler(self._on_ping)
        )
        self._peers.register_handler(
            FetchConfiguration, services.InlineHandler(self._on_fetch)
        )
        self._peers.register_answers(Pong, configuration.Told)
        self._members.set_probe(self._is_reachable)
        threads.start(self._run, "pings", is_vital=True)

    def stop(self, grace_s: float) -> None:
        """Stops the threads."""
        del grace_s
        self._stopping.set()
        self._members.ping_requested.set()
        self._pool.shutdown(wait=False)

    def dump(self) -> Any:
        """Returns an empty dump."""
        return {}

    def fetch_from(self, vm: str) -> None:
        """Triggers an immediate fetch of a VM's newer configuration."""
        self._fetch_source = vm
        self._members.ping_requested.set()

    def _version(self) -> int:
        held = self._feed.current()
        return 0 if held is None else held.version

    def _on_ping(self, vm: str, message: Ping) -> Pong:
        if message.version > self._version():
            self._fetch_source = vm
        self._evacuations.apply(message.evacuated, vm)
        return Pong(self._version(), self._evacuations.current())

    def _on_fetch(
        self, vm: str, message: FetchConfiguration
    ) -> configuration.Told:
        del vm, message
        return self._feed.to_message()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._members.ping_requested.wait(self._pause_s())
            self._members.ping_requested.clear()
            if self._stopping.is_set():
                return
            self._fetch_newer()
            by_domain: dict[str, list[str]] = {}
            own = self._members.own_vm().vm
            for row in self._members.entry_vms():
                if row.vm != own:
                    by_domain.setdefault(row.failure_domain, []).append(row.vm)
            # In parallel, as pings into a cut take their whole timeout.
            pings = [
                threads.submit(
                    self._pool,
                    self._ping,
                    "ping",
                    domain,
                    self._choose_target(domain, vms),
                )
                for domain, vms in by_domain.items()
            ]
            futures.wait(pings)
            self._fetch_newer()

    def _pause_s(self) -> float:
        slower = max(1.0, math.sqrt(self._members.count() / _FULL_RATE_VMS))
        return _PING_INTERVAL_S * slower * random.uniform(0.8, 1.2)

    def _choose_target(self, domain: str, vms: list[str]) -> str:
        """Returns the VM of a failure domain to ping next.

        While all VMs answer, it is one of the few that this VM usually pings.
        After a miss it is another VM of the domain, because a single stopped
        VM does not mean that its domain is cut off.
        """
        unsuspected = [vm for vm in vms if not self._members.is_suspected(vm)]
        if len(unsuspected) < len(vms):
            return random.choice(unsuspected or vms)
        own = self._members.own_vm().vm
        return random.choice(
            rendezvous.rank(f"ping {own}", vms)[:_PING_TARGETS]
        )

    def _ping(self, domain: str, vm: str) -> None:
        answer = self._peers.call(vm, self._make_ping(), _PING_TIMEOUT_S)
        self._members.record_ping(domain, vm, answer.err())
        if answer.is_err():
            return
        pong: Pong = answer.unwrap()
        self._evacuations.apply(pong.evacuated, vm)
        if pong.version > self._version():
            self._fetch_source = vm

    def _is_reachable(self, vm: str) -> bool:
        return self._peers.call(vm, self._make_ping(), _PING_TIMEOUT_S).is_ok()

    def _make_ping(self) -> Ping:
        return Ping(self._version(), self._evacuations.current())

    def _fetch_newer(self) -> None:
        vm, self._fetch_source = self._fetch_source, ""
        if not vm:
            return
        request = FetchConfiguration(self._version())
        answer = self._peers.call(vm, request, _FETCH_TIMEOUT_S)
        if answer.is_ok() and answer.unwrap().version > self._version():
            self._feed.apply_message(answer.unwrap(), vm)
