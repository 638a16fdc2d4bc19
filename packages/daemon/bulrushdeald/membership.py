"""The platform's list of VMs, kept during the platform's outages."""

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

    It reads the list once at the start; `vmlist` keeps it up to date. An
    outage, a network partition or an invalid answer leaves the list unchanged.
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
        # When the current list was read from the platform, by this VM or by the
        # peer that sent it; by the monotonic clock.
        self._last_read_s: float | None = None
        self._missing_since_s: dict[str, float] = {}

    def start(self) -> None:
        """Tries once to read the list."""
        self.poll()

    def stop(self, grace_s: float) -> None:
        """Closes idle connections."""
        del grace_s
        self._client.close()

    def dump(self) -> Any:
        """Returns a summary of the list and the call counts."""
        age_s = self.age_s()
        return {
            "incarnation": self._incarnation,
            "age_s": None if age_s is None else round(age_s, 3),
            "entry_vms": [row.vm for row in self._entry_vms],
            "listed": len(self._listed),
            **self._client.dump(),
        }

    def own_vm(self) -> records.Vm:
        """See `services.Membership`."""
        return self._own

    def incarnation(self) -> str:
        """See `services.Membership`."""
        return self._incarnation

    def entry_vms(self) -> tuple[records.Vm, ...]:
        """See `services.Membership`."""
        return self._entry_vms

    def rows(self) -> tuple[records.Vm, ...]:
        """Returns all rows of the latest list, with upstreams' VMs, by name."""
        listed = self._listed
        return tuple(listed[vm] for vm in sorted(listed))

    def age_s(self) -> float | None:
        """Returns the seconds since the list was read; `None` if never."""
        if self._last_read_s is None:
            return None
        return self._clock.monotonic_s() - self._last_read_s

    def is_listed(self, vm: str) -> bool:
        """See `services.Membership`.

        The list lags, and two reads may show states in the wrong order, so a
        VM that has just started may be missing from it. A VM therefore counts
        as gone only if it was missing from the reads of a whole
        `vm_list_lag_s`.
        """
        with self._lock:
            if self._last_read_s is None or vm == self._own.vm:
                return True
            if vm in self._listed:
                self._missing_since_s.pop(vm, None)
                return True
            since_s = self._missing_since_s.setdefault(
                vm, self._clock.monotonic_s()
            )
            return self._last_read_s - since_s < self._lag_s

    def is_leaving(self, vm: str) -> bool:
        """See `services.Membership`."""
        row = self._listed.get(vm)
        return row is not None and row.state == "leaving"

    def poll(self) -> bool:
        """Reads the list from the platform; returns false on failure."""
        answer = self._client.call("vms", "GET", "/v1/vms", etag=self._etag)
        if answer.is_err():
            _log.debug(
                "Kept the last list of VMs: %s", answer.unwrap_err().message
            )
            return False
        if answer.unwrap().status == _NOT_MODIFIED:
            self.confirm_list(0.0)
            return True
        try:
            rows = tuple(
                codec.from_plain(records.Vm, row)
                for row in answer.unwrap().body["vms"]
            )
        except (KeyError, TypeError, codec.CodecError) as error:
            _log.warning("Rejected an invalid list of VMs: %r", error)
            return False
        self.replace_list(rows, 0.0)
        self._etag = answer.unwrap().etag
        return True

    def replace_list(self, rows: tuple[records.Vm, ...], age_s: float) -> None:
        """Replaces the list by one read from the platform `age_s` ago."""
        listed = {row.vm: row for row in rows}
        entry_vms = {row.vm: row for row in rows if row.role == "entry"}
        own = entry_vms.get(self._own.vm, self._own)
        entry_vms[self._own.vm] = self._own._replace(state=own.state)
        with self._lock:
            # A list from a peer does not match the last entity tag.
            self._etag = ""
            before = self._listed
            self._listed = listed
            self._entry_vms = tuple(entry_vms[vm] for vm in sorted(entry_vms))
            self._update_missing(before, listed)
        self.confirm_list(age_s)

    def _update_missing(
        self, before: dict[str, records.Vm], listed: dict[str, records.Vm]
    ) -> None:
        now_s = self._clock.monotonic_s()
        for vm in listed:
            self._missing_since_s.pop(vm, None)
        for vm in before:
            if vm not in listed:
                self._missing_since_s.setdefault(vm, now_s)
        # VM names are never reused, so the oldest entries can be dropped.
        while len(self._missing_since_s) > _MAX_MISSING:
            del self._missing_since_s[next(iter(self._missing_since_s))]

    def confirm_list(self, age_s: float) -> None:
        """Records that the list matched the platform's `age_s` seconds ago."""
        read_s = self._clock.monotonic_s() - age_s
        with self._lock:
            self._last_read_s = max(read_s, self._last_read_s or read_s)
