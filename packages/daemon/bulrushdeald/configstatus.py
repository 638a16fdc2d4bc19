"""Shows operators which revision is stored and where it is in force."""

from concurrent import futures
from typing import Any, Literal, NamedTuple

from bulrushdeal import httpd
from bulrushdeal import records
from bulrushdeald import config as config_lib
from bulrushdeald import configsync
from bulrushdeald import membership as membership_lib
from bulrushdeald import pages
from bulrushdeald import services

_ASK_TIMEOUT_S = 1.0
_ASK_THREADS = 16

VmConfigState = Literal["in_force", "behind", "starting", "cut_off"]


class VmStatus(NamedTuple):
    """What is in force on one VM, as far as this VM can tell.

    Attributes:
        vm: The VM.
        failure_domain: Where it stands.
        state: `cut_off`: it did not answer this VM, so what is in force
            there is not known; it goes on serving what it had.
        revision: The newest in force there, 0 if not known.
        behind_pages: How many pages are older there than stored.
        age_s: All changes accepted so long ago are in force there; less
            than 0 if that is not known.
    """

    vm: str
    failure_domain: str
    state: VmConfigState
    revision: int
    behind_pages: int
    age_s: float


class ConfigStatus:
    """Asks the platform and all entry VMs."""

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
        """Answers the platform's list as it was read last."""
        del request
        rows = [row._asdict() for row in self._membership.rows()]
        body = {"vms": rows, "age_s": self._membership.age_s()}
        return httpd.json_response(200, body)

    def read(self, request: httpd.Request) -> httpd.Response:
        """Answers the stored revision and each VM's."""
        del request
        stored, is_known = self._stored()
        rows = self._membership.entry_vms()
        with futures.ThreadPoolExecutor(_ASK_THREADS, "status") as pool:
            found = pool.map(lambda row: self._ask(row, stored), rows)
            statuses = tuple(found)
        body: dict[str, Any] = {
            "platform": "answers" if is_known else "cut_off",
            "stored_revision": max(stored),
            "is_in_force_everywhere": is_known
            and all(status.state == "in_force" for status in statuses),
            "vms": [status._asdict() for status in statuses],
        }
        return httpd.json_response(200, body)

    def _stored(self) -> tuple[tuple[int, ...], bool]:
        """Returns the revisions stored, or those here without the platform."""
        here = dict(
            zip(pages.all_keys(), self._config.revisions(), strict=True)
        )
        # Only pages later than the oldest change this VM may lack come back.
        since = self._config.feed.watched_revision
        changed = self._keyvalue.watch(pages.PREFIX, since, 0.0)
        if changed.is_err():
            return tuple(here.values()), False
        for entry in changed.unwrap():
            if entry.key in here:
                here[entry.key] = max(here[entry.key], entry.revision)
        return tuple(here.values()), True

    def _ask(self, row: records.Vm, stored: tuple[int, ...]) -> VmStatus:
        answer = self._peers.call(
            row.vm, configsync.ReadStatus(), _ASK_TIMEOUT_S
        )
        if answer.is_err():
            return VmStatus(row.vm, row.failure_domain, "cut_off", 0, 0, -1.0)
        there: configsync.PeerStatus = answer.unwrap()
        behind = sum(
            held < wanted
            for held, wanted in zip(there.revisions, stored, strict=False)
        )
        state: VmConfigState = "behind" if behind else "in_force"
        if not there.is_ready:
            state = "starting"
        return VmStatus(
            row.vm,
            row.failure_domain,
            state,
            max(there.revisions),
            behind,
            round(there.age_s, 3),
        )
