"""The platform's lagging list of VMs, kept over its outages."""

import secrets
import threading
from typing import Any

from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import records
from bulrushdeald import defaults
from bulrushdeald import platformclient

_log = logs.Log("membership")


class PlatformMembership:
    """Reads the platform's list regularly; see `services.Membership`.

    An outage, a cut or a bad answer leaves the list as it was read last.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        del kernel
        self._own = records.Vm(
            settings.vm,
            settings.failure_domain,
            "entry",
            settings.peers_address,
            "live",
            bool(settings.data_folder),
        )
        self._poll_s = settings.vm_list_poll_s
        self._client = platformclient.PlatformClient(
            settings.platform_address, settings.platform_timeout_s
        )
        self._incarnation = secrets.token_hex(8)
        self._listed: dict[str, records.Vm] | None = None
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="membership", daemon=True
        )

    def start(self) -> None:
        """Reads the list once, then goes on from a thread."""
        self.poll()
        self._thread.start()

    def stop(self, grace_s: float) -> None:
        """Ends the thread."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(grace_s)
        self._client.close()

    def dump(self) -> Any:
        """Returns the list and the calls made."""
        return {
            "incarnation": self._incarnation,
            "has_list": self._listed is not None,
            "entry_vms": [row.vm for row in self.entry_vms()],
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
        listed = self._listed or {}
        rows = {vm: row for vm, row in listed.items() if row.role == "entry"}
        own = rows.get(self._own.vm, self._own)
        rows[self._own.vm] = self._own._replace(state=own.state)
        return tuple(rows[vm] for vm in sorted(rows))

    def is_listed(self, vm: str) -> bool:
        """See `services.Membership`."""
        listed = self._listed
        return listed is None or vm == self._own.vm or vm in listed

    def is_leaving(self, vm: str) -> bool:
        """See `services.Membership`."""
        row = (self._listed or {}).get(vm)
        return row is not None and row.state == "leaving"

    def poll(self) -> bool:
        """Reads the list; false if it could not be read."""
        answer = self._client.call("vms", "GET", "/v1/vms")
        if answer.is_err():
            _log.debug("Kept the last list: %s", answer.unwrap_err().message)
            return False
        try:
            rows = tuple(
                codec.from_plain(records.Vm, row)
                for row in answer.unwrap().body["vms"]
            )
        except (KeyError, TypeError, codec.CodecError) as error:
            _log.warning("Dropped a bad list of VMs: %r", error)
            return False
        self._listed = {row.vm: row for row in rows}
        return True

    def _run(self) -> None:
        while not self._stopping.wait(self._poll_s):
            self.poll()
