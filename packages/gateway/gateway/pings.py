"""Asks VMs of other failure domains whether they are there, and for news."""

from concurrent import futures
import math
import random
import threading
from typing import Any, NamedTuple

from bulrushdeal import kernel as kernel_lib
from bulrushdeald import rendezvous
from bulrushdeald import services
from gateway import configuration
from gateway import members
from gateway import names

# What is sent into a failure domain before it is known to be cut off is lost.
# Calls that are made anyway find it out first; pings go where there are none.
_PING_S = 0.25
_PING_TIMEOUT_S = 0.2
# All VMs together ping the more slowly the more of them there are: each one
# also learns from its calls to leaders, of which there are more then.
_PING_AT_PACE = 12
_FETCH_TIMEOUT_S = 0.8
_DOMAINS_AT_ONCE = 4
# VMs of each failure domain that a VM pings as long as they answer.
_PINGED = 2


class Ping(NamedTuple):
    """Asks whether a VM is there, and tells the version in force."""

    version: int


class Pong(NamedTuple):
    """The answer: the version in force at the other VM."""

    version: int


class FetchConfiguration(NamedTuple):
    """Asks for the configuration in force."""

    version: int


class Pings:
    """Asks one VM of each failure domain whether it is there, and for news.

    The failure: the store turns this VM away while it serves others, and a
    key is withdrawn meanwhile; it would go on working here. The version in
    force goes from VM to VM beside the store, in a few rounds.
    """

    def __init__(self, kernel: kernel_lib.Kernel) -> None:
        self._kernel = kernel
        self._newer = ""
        self._stopping = threading.Event()
        self._pool = futures.ThreadPoolExecutor(
            _DOMAINS_AT_ONCE, thread_name_prefix="ping"
        )

    def start(self) -> None:
        """Begins to ping."""
        self._members = self._kernel.find(services.MEMBERSHIP, members.Members)
        self._peers = self._kernel.find(services.PEERS, services.Peers)
        self._feed = self._kernel.find(names.CONFIGURATION, configuration.Feed)
        self._peers.handle(Ping, services.QuickHandler(self._on_ping))
        self._peers.handle(
            FetchConfiguration, services.QuickHandler(self._on_fetch)
        )
        self._peers.understand(Pong, configuration.Told)
        self._members.ask_with(self._answers)
        threading.Thread(target=self._run, name="pings", daemon=True).start()

    def stop(self, grace_s: float) -> None:
        """Ends the threads."""
        del grace_s
        self._stopping.set()
        self._members.alarm.set()
        self._pool.shutdown(wait=False)

    def dump(self) -> Any:
        """Returns nothing of interest."""
        return {}

    def fetch_from(self, vm: str) -> None:
        """Has a VM's newer configuration fetched at once."""
        self._newer = vm
        self._members.alarm.set()

    def _version(self) -> int:
        held = self._feed.current()
        return 0 if held is None else held.version

    def _on_ping(self, vm: str, message: Ping) -> Pong:
        if message.version > self._version():
            self._newer = vm
        return Pong(self._version())

    def _on_fetch(
        self, vm: str, message: FetchConfiguration
    ) -> configuration.Told:
        del vm, message
        return self._feed.told()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._members.alarm.wait(self._pause_s())
            self._members.alarm.clear()
            if self._stopping.is_set():
                return
            self._fetch_newer()
            by_domain: dict[str, list[str]] = {}
            own = self._members.own().vm
            for row in self._members.entry_vms():
                if row.vm != own:
                    by_domain.setdefault(row.failure_domain, []).append(row.vm)
            # Side by side: those that are cut off take their whole timeout.
            pings = [
                self._pool.submit(self._ping, domain, self._choose(domain, vms))
                for domain, vms in by_domain.items()
            ]
            futures.wait(pings)
            self._fetch_newer()

    def _pause_s(self) -> float:
        slower = max(1.0, math.sqrt(self._members.count() / _PING_AT_PACE))
        return _PING_S * slower * random.uniform(0.8, 1.2)

    def _choose(self, domain: str, vms: list[str]) -> str:
        """Returns whom to ping: few VMs as long as they answer.

        After a miss it is another one: a VM that has stopped alone is no
        sign that its domain is cut off.
        """
        well = [vm for vm in vms if not self._members.is_suspected(vm)]
        if len(well) < len(vms):
            return random.choice(well or vms)
        own = self._members.own().vm
        return random.choice(rendezvous.rank(f"ping {own}", vms)[:_PINGED])

    def _ping(self, domain: str, vm: str) -> None:
        answer = self._peers.call(vm, Ping(self._version()), _PING_TIMEOUT_S)
        self._members.note_ping(domain, vm, answer.is_ok())
        if answer.is_ok() and answer.unwrap().version > self._version():
            self._newer = vm

    def _answers(self, vm: str) -> bool:
        ping = Ping(self._version())
        return self._peers.call(vm, ping, _PING_TIMEOUT_S).is_ok()

    def _fetch_newer(self) -> None:
        vm, self._newer = self._newer, ""
        if not vm:
            return
        request = FetchConfiguration(self._version())
        answer = self._peers.call(vm, request, _FETCH_TIMEOUT_S)
        if answer.is_ok() and answer.unwrap().version > self._version():
            self._feed.learn_told(answer.unwrap(), vm)
