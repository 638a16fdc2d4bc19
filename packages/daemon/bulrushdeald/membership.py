"""The platform's lagging list of VMs, kept over its outages."""

import secrets
import threading
from typing import Any

from bulrushdeal import clock as clock_lib
from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import platformclient

_log = logs.Log("membership")
_NOT_MODIFIED = 304
_MAX_MISSING = 10_000


class PlatformMembership:
    """Holds the list of VMs; see `services.Membership`.

    It reads the list once when it starts; `vmlist` keeps it up to date. An
    outage, a cut or a bad answer leaves the list as it was.
    """

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
    ) -> None:
        del kernel
        self._clock = clock or clock_lib.SystemClock()
        self._own = records.Vm(
            settings.vm,
            settings.failure_domain,
            "entry",
            settings.peers_address,
            "live",
            bool(settings.data_folder),
        )
        self._lag_s = settings.vm_list_lag_s
        self._client = platformclient.PlatformClient(
            settings.platform_address, settings.platform_timeout_s
        )
        self._incarnation = secrets.token_hex(8)
        self._etag = ""
        self._lock = threading.Lock()
        self._listed: dict[str, records.Vm] = {}
        self._entry_vms: tuple[records.Vm, ...] = (self._own,)
        # When the platform was read last, here or by the peer that told.
        self._read_s: float | None = None
        self._missing_since_s: dict[str, float] = {}

    def start(self) -> None:
        """Reads the list once, if the platform answers."""
        self.poll()

    def stop(self, grace_s: float) -> None:
        """Closes idle connections."""
        del grace_s
        self._client.close()

    def dump(self) -> Any:
        """Returns the list and the calls made."""
        age_s = self.age_s()
        return {
            "incarnation": self._incarnation,
            "age_s": None if age_s is None else round(age_s, 3),
            "entry_vms": [row.vm for row in self._entry_vms],
            "listed": len(self._listed),
            **self._client.dump(),
        }

    def own(self) -> records.Vm:
        """See `services.Membership`."""
        return self._own

    def incarnation(self) -> str:
        """See `services.Membership`."""
        return self._incarnation

    def entry_vms(self) -> tuple[records.Vm, ...]:
        """See `services.Membership`."""
        return self._entry_vms

    def rows(self) -> tuple[records.Vm, ...]:
        """Returns all rows listed last, upstreams' VMs too, by name."""
        listed = self._listed
        return tuple(listed[vm] for vm in sorted(listed))

    def age_s(self) -> float | None:
        """Returns how long ago the platform was read; `None` if never."""
        if self._read_s is None:
            return None
        return self._clock.monotonic_s() - self._read_s

    def is_listed(self, vm: str) -> bool:
        """See `services.Membership`.

        The failure: the list lags, and two reads of it may come from other
        times, so a VM that has just started is missing and would be taken
        for gone while it runs. A VM counts as gone only when reads over
        the whole lag allowed have missed it.
        """
        with self._lock:
            if self._read_s is None or vm == self._own.vm:
                return True
            if vm in self._listed:
                self._missing_since_s.pop(vm, None)
                return True
            since_s = self._missing_since_s.setdefault(
                vm, self._clock.monotonic_s()
            )
            return self._read_s - since_s < self._lag_s

    def is_leaving(self, vm: str) -> bool:
        """See `services.Membership`."""
        row = self._listed.get(vm)
        return row is not None and row.state == "leaving"

    def poll(self) -> bool:
        """Reads the list from the platform; false if it cannot be read."""
        answer = self._client.call("vms", "GET", "/v1/vms", etag=self._etag)
        if answer.is_err():
            _log.debug("Kept the last list: %s", answer.unwrap_err().message)
            return False
        if answer.unwrap().status == _NOT_MODIFIED:
            self.confirm(0.0)
            return True
        try:
            rows = tuple(
                codec.from_plain(records.Vm, row)
                for row in answer.unwrap().body["vms"]
            )
        except (KeyError, TypeError, codec.CodecError) as error:
            _log.warning("Dropped a bad list of VMs: %r", error)
            return False
        self.learn(rows, 0.0)
        self._etag = answer.unwrap().etag
        return True

    def learn(self, rows: tuple[records.Vm, ...], age_s: float) -> None:
        """Takes a list that the platform gave `age_s` seconds ago."""
        listed = {row.vm: row for row in rows}
        entry_vms = {row.vm: row for row in rows if row.role == "entry"}
        own = entry_vms.get(self._own.vm, self._own)
        entry_vms[self._own.vm] = self._own._replace(state=own.state)
        with self._lock:
            # A list from a peer is not the one that the platform named.
            self._etag = ""
            before = self._listed
            self._listed = listed
            self._entry_vms = tuple(entry_vms[vm] for vm in sorted(entry_vms))
            self._note_missing(before, listed)
        self.confirm(age_s)

    def _note_missing(
        self, before: dict[str, records.Vm], listed: dict[str, records.Vm]
    ) -> None:
        now_s = self._clock.monotonic_s()
        for vm in listed:
            self._missing_since_s.pop(vm, None)
        for vm in before:
            if vm not in listed:
                self._missing_since_s.setdefault(vm, now_s)
        # Names are not used again, so those longest gone can be forgotten.
        while len(self._missing_since_s) > _MAX_MISSING:
            del self._missing_since_s[next(iter(self._missing_since_s))]

    def confirm(self, age_s: float) -> None:
        """Notes that the list held was the platform's `age_s` seconds ago."""
        read_s = self._clock.monotonic_s() - age_s
        with self._lock:
            self._read_s = max(read_s, self._read_s or read_s)
