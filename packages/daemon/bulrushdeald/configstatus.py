"""Reports to operators which revision each VM has in force."""

from concurrent import futures
from typing import Any, Literal, NamedTuple

from bulrushdeal import httpd
from bulrushdeal import records
from bulrushdeald import config as config_lib
from bulrushdeald import configsync
from bulrushdeald import membership as membership_lib
from bulrushdeald import pages
from bulrushdeald import services

_STATUS_TIMEOUT_S = 1.0
_STATUS_THREADS = 16

VmConfigState = Literal["in_force", "behind", "starting", "cut_off"]


class VmStatus(NamedTuple):
    """The configuration in force on one VM, as seen from this VM.

    Attributes:
        vm: The VM's name.
        failure_domain: The VM's failure domain.
        state: `in_force`: it has every stored page. `behind`: some pages are
            older than stored. `starting`: it does not have every page yet.
            `cut_off`: it did not answer this VM, so its configuration is
            unknown; it continues to serve the one it had.
        revision: The newest revision in force there, 0 if unknown.
        behind_pages: The number of pages that are older there than stored.
        age_s: Every change accepted more than this many seconds ago is in
            force there; negative if unknown.
    """

    vm: str
    failure_domain: str
    state: VmConfigState
    revision: int
    behind_pages: int
    age_s: float


class ConfigStatus:
    """Compares the stored revisions with those of all entry VMs."""

    def __init__(
        self,
        keyvalue: services.KeyValue,
        config: config_lib.ConfigService,
        membership: membership_lib.PlatformMembership,
        peers: services.Peers,
    ) -> None:
        self._keyvalue = keyvalue
        self._config = config
        self._membership = membership
        self._peers = peers

    def list_vms(self, request: httpd.Request) -> httpd.Response:
        """Responds with the platform's list of VMs as it was last read."""
        del request
        rows = [row._asdict() for row in self._membership.rows()]
        body = {"vms": rows, "age_s": self._membership.age_s()}
        return httpd.json_response(200, body)

    def read(self, request: httpd.Request) -> httpd.Response:
        """Responds with the stored revision and the status of each VM."""
        del request
        stored, is_known = self._stored_revisions()
        rows = self._membership.entry_vms()
        with futures.ThreadPoolExecutor(_STATUS_THREADS, "status") as pool:
            results = pool.map(lambda row: self._read_vm(row, stored), rows)
            statuses = tuple(results)
        body: dict[str, Any] = {
            "platform": "answers" if is_known else "cut_off",
            "stored_revision": max(stored),
            "is_in_force_everywhere": is_known
            and all(status.state == "in_force" for status in statuses),
            "vms": [status._asdict() for status in statuses],
        }
        return httpd.json_response(200, body)

    def _stored_revisions(self) -> tuple[tuple[int, ...], bool]:
        """Returns the revisions of all pages in the platform.

        Returns:
            The revisions, and whether the platform answered; if it did not,
            they are the revisions in force on this VM.
        """
        revisions_by_key = dict(
            zip(pages.all_keys(), self._config.revisions(), strict=True)
        )
        # This VM has every change up to `watched_revision`, so the platform
        # only needs to return the pages that changed after it.
        watched_revision = self._config.feed.watched_revision
        changed = self._keyvalue.watch(pages.PREFIX, watched_revision, 0.0)
        if changed.is_err():
            return tuple(revisions_by_key.values()), False
        for entry in changed.unwrap():
            if entry.key in revisions_by_key:
                revisions_by_key[entry.key] = max(
                    revisions_by_key[entry.key], entry.revision
                )
        return tuple(revisions_by_key.values()), True

    def _read_vm(self, row: records.Vm, stored: tuple[int, ...]) -> VmStatus:
        answer = self._peers.call(
            row.vm, configsync.ReadStatus(), _STATUS_TIMEOUT_S
        )
        if answer.is_err():
            return VmStatus(row.vm, row.failure_domain, "cut_off", 0, 0, -1.0)
        peer: configsync.PeerStatus = answer.unwrap()
        behind = sum(
            held < wanted
            for held, wanted in zip(peer.revisions, stored, strict=False)
        )
        state: VmConfigState = "behind" if behind else "in_force"
        if not peer.is_ready:
            state = "starting"
        return VmStatus(
            row.vm,
            row.failure_domain,
            state,
            max(peer.revisions),
            behind,
            round(peer.age_s, 3),
        )
