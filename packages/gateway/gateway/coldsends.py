"""Keeps this VM's share of the requests that cold upstreams may get."""

from collections.abc import Iterable, Mapping
import threading
import time
from typing import Any

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import rendezvous
from bulrushdeald import services
from gateway import configuration
from gateway import evacuations
from gateway import members
from gateway import names
from gateway import records
from gateway import upstreamlist
from gateway.decisions import coldstarts

_events = eventlog.Events("coldstarts")


class ColdSends:
    """Counts requests to upstreams and limits those to cold ones.

    Args:
        kernel: Finds the services that this class depends on.
        settings: The limits that the operators tolerate.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        find = kernel.find
        self._limits = settings.cold_limits
        self._vm = settings.vm
        self._feed = find(names.CONFIGURATION, configuration.Feed)
        self._upstreams = find(names.UPSTREAM_LIST, upstreamlist.UpstreamList)
        self._members = find(services.MEMBERSHIP, members.Members)
        self._evacuations = find(names.EVACUATIONS, evacuations.Evacuations)
        self._lock = threading.Lock()
        self._cold = coldstarts.ColdUpstreams()
        self._window = coldstarts.SendWindow()
        self._evacuated: frozenset[str] = frozenset()
        self._started_s = time.monotonic()
        # The shares of this VM for one list of VMs.
        self._shares: dict[str, int] = {}
        self._shares_vms: object = None

    def dump(self) -> Any:
        """Returns in how many seconds each cold upstream is warm."""
        with self._lock:
            cold = self._cold.cold(time.monotonic())
        return {name: round(left_s, 3) for name, left_s in cold.items()}

    def cold_start(self, service: str) -> coldstarts.ColdStart | None:
        """Returns the cold start of a service; `None` if it has none."""
        if self._limits is None:
            return None
        active = self._feed.current()
        row = None if active is None else active.services.get(service)
        return coldstarts.cold_start(row, self._limits)

    def refresh(self) -> None:
        """Applies the upstreams, services and evacuations known now."""
        if self._limits is None:
            return
        rows = self._upstreams.listed()
        durations_s = self._durations_s(row.service for row in rows)
        evacuated = frozenset(self._evacuations.current().domains)
        now_s = time.monotonic()
        with self._lock:
            started = self._cold.update(rows, durations_s, now_s)
            ended, self._evacuated = self._evacuated - evacuated, evacuated
            # Upstreams may have become cold while they got nothing.
            self._cold.suspect(
                (row.instance for row in rows if row.failure_domain in ended),
                durations_s,
                now_s,
            )
            self._window.retain(row.instance for row in rows)
            self._shares = {}
        if started or ended:
            _events.info("cold", upstreams=started, evacuated_before=ended)

    def record_cold(self, instance: str, cold_s: float) -> None:
        """Records that an upstream has said how long it stays cold."""
        with self._lock:
            self._cold.extend(instance, cold_s, time.monotonic())

    def waits_s(self, rows: Iterable[records.Upstream]) -> Mapping[str, float]:
        """Returns the cold upstreams to which this VM may send nothing now.

        Returns:
            In how many seconds it may send to each of them again.
        """
        now_s = time.monotonic()
        with self._lock:
            cold = self._cold.cold(now_s)
            if not cold:
                return {}
            return {
                row.instance: min(cold[row.instance], wait_s)
                for row in rows
                if row.instance in cold and (wait_s := self._wait_s(row, now_s))
            }

    def try_send(self, upstream: records.Upstream) -> bool:
        """Counts a request to an upstream; false if it may not be sent."""
        if self.cold_start(upstream.service) is None:
            return True
        now_s = time.monotonic()
        with self._lock:
            is_cold = upstream.instance in self._cold.cold(now_s)
            if is_cold and self._wait_s(upstream, now_s) > 0:
                return False
            self._window.record(upstream.instance, now_s)
        return True

    def _wait_s(self, upstream: records.Upstream, now_s: float) -> float:
        """Returns in how many seconds this VM may send to a cold upstream."""
        limit = self._share(upstream)
        if not limit:
            return float("inf")
        free_s = self._window.free_in_s(upstream.instance, limit, now_s)
        # A process that has just started does not know what it sent before.
        unknown_s = self._started_s + coldstarts.WINDOW_S - now_s
        return max(free_s, unknown_s)

    def _share(self, upstream: records.Upstream) -> int:
        rows = self._members.entry_vms()
        if self._shares_vms is not rows:
            self._shares_vms, self._shares = rows, {}
        found = self._shares.get(upstream.instance)
        if found is None:
            cold_start = self.cold_start(upstream.service)
            found = 0
            if cold_start is not None:
                found = coldstarts.share(
                    self._vm, self._ranked(upstream), cold_start.max_shared
                )
            self._shares[upstream.instance] = found
        return found

    def _ranked(self, upstream: records.Upstream) -> list[str]:
        """Returns the VMs that may send to a cold upstream, in its own order.

        These are the VMs in its failure domain, or all if it has none.
        """
        rows = self._members.entry_vms()
        near = [
            row.vm
            for row in rows
            if row.failure_domain == upstream.failure_domain
        ]
        return rendezvous.rank(
            f"cold {upstream.instance}", near or [row.vm for row in rows]
        )

    def _durations_s(self, found: Iterable[str]) -> dict[str, float]:
        durations_s = {}
        for service in frozenset(found):
            cold_start = self.cold_start(service)
            if cold_start is not None:
                durations_s[service] = cold_start.duration_s
        return durations_s
