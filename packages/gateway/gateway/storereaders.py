"""Reads the lists of the store on one VM, from which the others get them."""

from collections.abc import Callable, Mapping
import math
import random
import secrets
import threading
import time
from typing import Any, NamedTuple

from bulrushdeal import clock
from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import records as core_records
from bulrushdeal import threads
from bulrushdeald import services
from gateway import configuration
from gateway import deltas
from gateway import evacuations
from gateway import joblisting
from gateway import members
from gateway import names
from gateway import pings
from gateway import records
from gateway import upstreamlist
from gateway.decisions import listages

_events = eventlog.Events("reading")

# The pause after a read that failed.
_RETRY_S = 0.25
# The greatest age of the lists of VMs and jobs that are taken over, which are
# less urgent than the upstreams.
_MAX_OTHER_AGE_S = 2.0
# After this time, VMs that started together are listed.
_START_SETTLE_S = 1.5
# How long a VM waits for another's configuration at the first start of all.
_FIRST_START_WAIT_S = 4.0
# The reader and its backup.
_READER_COUNT = 2
# The VMs that a reader asks which cannot read: they include the VM that would
# be a reader next.
_ASKED_COUNT = 3


class Follow(NamedTuple):
    """Asks for changes of the lists and for the configuration's version.

    Attributes:
        upstreams: The id of the state of the asker's list of upstreams.
        vms: The same for its list of VMs.
        jobs: The same for its listing of jobs.
    """

    upstreams: str
    vms: str
    jobs: str


class ListUpdate(NamedTuple):
    """Describes the update of one list; the rows are sent next to it.

    Attributes:
        state: The id of the state that the update leads to.
        age_s: How long ago the list was read from the store, in seconds; -1
            if never.
        base: The id of the state that the update applies to; empty if the
            rows are the whole list.
        gone: The keys of the removed rows.
    """

    state: str
    age_s: float
    base: str
    gone: tuple[str, ...]

    def aged(self, took_s: float) -> "ListUpdate":
        """Returns the update as it is after a call that took `took_s`.

        The other VM told the age at some moment of the call.
        """
        if self.age_s < 0:
            return self
        return self._replace(age_s=self.age_s + took_s)

    def is_fresh(self, max_age_s: float) -> bool:
        """Returns whether the list was read within the last `max_age_s`."""
        return 0 <= self.age_s <= max_age_s


class Followed(NamedTuple):
    """Answers a `Follow` with the rows that the asker lacks.

    Attributes:
        configuration: The answering VM's configuration version in force; 0 if
            none.
        upstreams_update: Describes the update of the list of upstreams.
        upstreams: The rows of that update.
        vms_update: Describes the update of the list of VMs.
        vms: The rows of that update.
        jobs_update: Describes the update of the listing of jobs.
        jobs: The rows of that update.
        evacuated: The evacuations that the answering VM knows.
        upstreams_kept_for_s: For how long the upstreams that are kept over an
            outage of the store stay, in seconds.
    """

    configuration: int
    upstreams_update: ListUpdate
    upstreams: tuple[records.Upstream, ...]
    vms_update: ListUpdate
    vms: tuple[core_records.Vm, ...]
    jobs_update: ListUpdate
    jobs: joblisting.JobRows
    evacuated: evacuations.Evacuated = evacuations.Evacuated()
    upstreams_kept_for_s: float = 0.0


class Reading:
    """Keeps the lists of the store and the configuration up to date.

    Each read of the store has a price and counts against its rate limits,
    which grow more slowly than the number of VMs. So one VM, the reader, reads
    the lists of upstreams, VMs and jobs. Its backup, in another failure domain,
    follows it closely and reads once the reader's list is not fresh; both watch
    the configuration. The other VMs, the followers, ask the reader, then the
    backup, and read the store themselves if neither has a fresh list.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: records.Settings
    ) -> None:
        self._kernel = kernel
        self._is_first_start = settings.is_first_start
        self._steps = listages.schedule(settings.drain_timeout_s)
        # Part of all state ids: ids must not repeat after a restart.
        self._run_id = secrets.token_hex(4)
        # The lists as received from the readers.
        self._upstream_replica = deltas.Replica()
        self._vm_replica = deltas.Replica()
        self._job_replica = deltas.Replica()
        self._histories = {kind: deltas.History() for kind in "uvj"}
        self._is_reader = False
        # How long the last read took that succeeded; 0 once a list came in the
        # usual time from another VM.
        self._read_took_s = 0.0
        self._started_s = math.inf
        self._stopping = threading.Event()

    def start(self) -> None:
        """Starts the thread that reads or follows."""
        self.connect()
        self._started_s = time.monotonic()
        self._feed.watch_while(self._should_watch, self._awaits_others)
        threads.start(self._run, "reading", is_vital=True)

    def connect(self) -> None:
        """Finds the services that it needs and answers other VMs."""
        find = self._kernel.find
        self._members = find(services.MEMBERSHIP, members.Members)
        self._pings = find(names.PINGS, pings.Pings)
        self._peers = find(services.PEERS, services.Peers)
        self._feed = find(names.CONFIGURATION, configuration.Feed)
        self._evacuations = find(names.EVACUATIONS, evacuations.Evacuations)
        self._upstream_list = find(
            names.UPSTREAM_LIST, upstreamlist.UpstreamList
        )
        self._job_listing = find(names.JOB_LISTING, joblisting.JobListing)
        self._peers.register_handler(
            Follow, services.InlineHandler(self._on_follow)
        )
        self._peers.register_answers(Followed)

    def stop(self, grace_s: float) -> None:
        """Stops the thread."""
        del grace_s
        self._stopping.set()

    def dump(self) -> Any:
        """Returns whether this VM is the reader or its backup."""
        return {"is_reader": self._is_reader}

    def _should_watch(self) -> bool:
        """Returns whether this VM watches the configuration.

        When all VMs start at once, none is listed yet, and each acts as a
        reader until it has read the list of VMs. So that not all of them load
        the store with a watch, no VM watches before that has settled.
        """
        return self._is_reader and self._uptime_s() > _START_SETTLE_S

    def _awaits_others(self) -> bool:
        """Returns whether this VM leaves the store to others that start too.

        At the first start of the whole system no caller is there yet. Once the
        VMs are listed, all but two get the lists and the configuration from
        these two.
        """
        if not self._is_first_start:
            return False
        wait_s = _START_SETTLE_S if self._is_reader else _FIRST_START_WAIT_S
        return self._uptime_s() < wait_s

    def _uptime_s(self) -> float:
        return time.monotonic() - self._started_s

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._stopping.wait(self.step() * random.uniform(0.9, 1.0))

    def step(self) -> float:
        """Reads or follows once; returns the pause after it in seconds."""
        if self._is_first_start and self._uptime_s() < _START_SETTLE_S:
            return _RETRY_S
        asked = self._members.leader_with_backups("readers", _ASKED_COUNT)
        readers = asked[:_READER_COUNT]
        own = self._members.own_vm().vm
        self._set_reader(own in readers)
        asks_others = not self._is_reader or self._asks_others()
        if asks_others:
            others = [vm for vm in asked if vm != own]
            if self._follow_any(others if self._is_reader else readers):
                return self._steps.follow_interval_s
        elif own != readers[0] and self._follow(
            readers[0], self._steps.max_backup_age_s
        ):
            return self._steps.backup_interval_s
        if self._awaits_others():
            return _RETRY_S
        return self._read(may_ask=not asks_others)

    def _read(self, *, may_ask: bool) -> float:
        """Reads the store; returns the pause after it in seconds.

        A read that takes long is broken off. If the other VMs were asked in
        vain already, the store is slow or away, and the read takes the time
        that it needs.

        Args:
            may_ask: Whether the next step is to ask the other VMs.
        """
        if self._read_took_s <= self._steps.read_budget_s:
            if self._read_within(self._steps.read_budget_s):
                return self._steps.read_interval_s
            if may_ask:
                return self._steps.retry_interval_s
        if self._read_within(math.inf):
            return self._steps.read_interval_s
        return _RETRY_S

    def _read_within(self, budget_s: float) -> bool:
        started_s = time.monotonic()
        is_read = self._upstream_list.read(budget_s)
        if is_read:
            self._read_took_s = time.monotonic() - started_s
        return is_read

    def _asks_others(self) -> bool:
        """Returns whether other VMs may know what this reader has missed.

        A reader that was cut off or stood still would take what changed
        meanwhile for the work of an outage of the store.
        """
        age_s = self._upstream_list.age_s()
        max_age_s = max(
            self._steps.max_reader_age_s,
            self._steps.read_interval_s + self._read_took_s,
        )
        is_outdated = not 0 <= age_s <= max_age_s
        return is_outdated or self._upstream_list.keeps_any()

    def _max_follow_age_s(self) -> float:
        return listages.max_age_while_slow_s(self._steps, self._read_took_s)

    def _set_reader(self, is_reader: bool) -> None:
        if is_reader != self._is_reader:
            _events.info("reads" if is_reader else "follows")
        self._is_reader = is_reader

    def _follow_any(self, readers: list[str]) -> bool:
        return any(self._follow(vm) for vm in readers)

    def _follow(self, vm: str, max_age_s: float = 0.0) -> bool:
        """Gets a VM's lists; returns whether it has fresh upstreams.

        Args:
            vm: The VM.
            max_age_s: Fresh ones are at most as old, in seconds; 0 for the
                greatest age that a follower takes.
        """
        request = Follow(
            self._upstream_replica.state,
            self._vm_replica.state,
            self._job_replica.state,
        )
        asked_s = clock.boottime_s()
        called = self._peers.call(vm, request, self._steps.follow_timeout_s)
        if called.is_err():
            self._members.suspect(vm, called.unwrap_err())
            return False
        try:
            return self._apply_followed(vm, called.unwrap(), asked_s, max_age_s)
        except Exception as error:  # noqa: BLE001 - the store is read instead.
            threads.OWN.report("reading", error)
            return False

    def _apply_followed(
        self, vm: str, followed: Followed, asked_s: float, max_age_s: float
    ) -> bool:
        self._evacuations.apply(followed.evacuated, vm)
        active = self._feed.current()
        if active is None or followed.configuration > active.version:
            self._pings.fetch_from(vm)
        self._follow_rest(followed)
        update = followed.upstreams_update.aged(clock.boottime_s() - asked_s)
        if update.age_s < 0:
            return False
        by_instance = {row.instance: row for row in followed.upstreams}
        if not _apply(self._upstream_replica, update, by_instance):
            return False
        self._upstream_list.apply_received(
            tuple(self._upstream_replica.rows.values()),
            update.age_s,
            followed.upstreams_kept_for_s,
        )
        if update.is_fresh(self._steps.max_follow_age_s):
            self._read_took_s = 0.0
        return update.is_fresh(max_age_s or self._max_follow_age_s())

    def _follow_rest(self, followed: Followed) -> None:
        """Applies the lists that are less urgent than the upstreams."""
        update = followed.vms_update
        by_vm = {row.vm: row for row in followed.vms}
        if update.is_fresh(_MAX_OTHER_AGE_S) and _apply(
            self._vm_replica, update, by_vm
        ):
            self._members.apply_received(
                tuple(self._vm_replica.rows.values()), update.age_s
            )
        update = followed.jobs_update
        keyed = followed.jobs.rows_by_key()
        if update.is_fresh(_MAX_OTHER_AGE_S) and _apply(
            self._job_replica, update, keyed
        ):
            rows = joblisting.from_rows_by_key(self._job_replica.rows)
            self._job_listing.apply_received(rows, update.age_s)

    def _on_follow(self, vm: str, message: Follow) -> Followed:
        del vm
        upstreams = self._upstream_list.snapshot()
        vms, vms_version = self._members.snapshot()
        jobs, jobs_version = self._job_listing.snapshot()
        active = self._feed.current()
        upstreams_answer = self._delta(
            message.upstreams,
            f"u{upstreams.version}",
            lambda: {row.instance: row for row in upstreams.rows},
        )
        vms_answer = self._delta(
            message.vms, f"v{vms_version}", lambda: {row.vm: row for row in vms}
        )
        jobs_answer = self._delta(
            message.jobs, f"j{jobs_version}", jobs.rows_by_key
        )
        return Followed(
            0 if active is None else active.version,
            upstreams_answer.update(upstreams.age_s),
            tuple(upstreams_answer.delta.rows.values()),
            vms_answer.update(self._members.age_s()),
            tuple(vms_answer.delta.rows.values()),
            jobs_answer.update(self._job_listing.age_s()),
            joblisting.from_rows_by_key(jobs_answer.delta.rows),
            self._evacuations.current(),
            upstreams.kept_for_s,
        )

    def _delta(
        self, held: str, version: str, read: Callable[[], Mapping[str, Any]]
    ) -> "_Answer":
        """Returns the changes from the asker's list to this VM's.

        Args:
            held: The id of the state of the asker's list.
            version: The letter of the list's kind and the list's version.
            read: Returns this VM's rows by key.
        """
        state = f"{self._run_id}.{version}"
        history = self._histories[version[0]]
        return _Answer(state, history.delta(held, state, read))


class _Answer(NamedTuple):
    """The id of a list's state, and the delta that leads to it."""

    state: str
    delta: deltas.Delta

    def update(self, age_s: float) -> ListUpdate:
        return ListUpdate(self.state, age_s, self.delta.base, self.delta.gone)


def _apply(
    replica: deltas.Replica, update: ListUpdate, rows: Mapping[str, Any]
) -> bool:
    return replica.apply(
        update.state, deltas.Delta(update.base, rows, update.gone)
    )
