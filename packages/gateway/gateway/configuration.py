"""Holds the operators' configuration in force; its version never decreases."""

from collections.abc import Callable, Iterable, Iterator
import threading
import time
from typing import Any, NamedTuple
import zlib

from bulrushdeal import eventlog
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import threads
from gateway import dialect as dialect_lib
from gateway import evacuations
from gateway import names
from gateway import paging
from gateway import records
from gateway.decisions import regions as regions_lib
from gateway.decisions import routehistory

_events = eventlog.Events("configuration")

# A watch notices a dead connection only when its wait ends, and a change has to
# be in force within two seconds while the store works.
WATCH_WAIT_S = 2.0
_WATCH_TIMEOUT_MARGIN_S = 0.4
_CALL_TIMEOUT_S = 1.0
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 0.5
# Compressing 2,000 routes takes 2 ms at this level.
_COMPRESSION_LEVEL = 1
# Limit of the decompressed text; the store holds no larger value.
_MAX_TEXT_BYTES = 64 << 20
# How often a VM that does not watch checks whether it has to.
_IDLE_CHECK_S = 0.25


class ActiveConfiguration:
    """One version of the configuration, indexed for look-ups by requests.

    Attributes:
        configuration: The decoded configuration.
        version: Its version.
        packed: The operators' text, compressed with zlib.
        since_s: When it came into force, on the monotonic clock.
        services: The services by name.
        customers: The customers by name.
        has_customers: Whether any customer is configured.
        has_regions: Whether any route or customer is bound to regions.
    """

    def __init__(
        self, configuration: records.Configuration, value: bytes
    ) -> None:
        self.configuration = configuration
        self.version = configuration.version
        self.packed = zlib.compress(value, _COMPRESSION_LEVEL)
        self.since_s = time.monotonic()
        self.services = {row.name: row for row in configuration.services}
        self.customers = {row.name: row for row in configuration.customers}
        self.has_customers = bool(configuration.customers)
        self.has_regions = any(
            row.regions for row in configuration.routes
        ) or any(row.regions for row in configuration.customers)
        self._by_key = {
            key: row for row in configuration.customers for key in row.keys
        }
        self._by_host: dict[str, list[records.Route]] = {}
        # Longest prefix first, so that the first match is the longest one.
        for row in sorted(
            configuration.routes, key=lambda row: -len(row.prefix)
        ):
            self._by_host.setdefault(row.host, []).append(row)

    def route(self, host: str, path: str) -> records.Route | None:
        """Returns the host's route with the longest prefix of the path."""
        name = host.lower()
        rows = self._by_host.get(name)
        if rows is None:
            rows = self._by_host.get(name.rpartition(":")[0], [])
        for row in rows:
            if path.startswith(row.prefix):
                return row
        return None

    def has_host(self, host: str) -> bool:
        """Returns whether the host has any route."""
        name = host.lower()
        return name in self._by_host or name.rpartition(":")[0] in self._by_host

    def job_regions(
        self, host: str, path: str, customer: str
    ) -> frozenset[str] | None:
        """Returns the regions that a job may be sent to; `None` for all."""
        return regions_lib.allowed(
            self.route(host, path), self.customers.get(customer)
        )

    def customer_of(self, key: str) -> records.Customer | None:
        """Returns the customer that an API key belongs to, if any."""
        return self._by_key.get(key)


class Told(NamedTuple):
    """A VM's configuration in force, as sent to a peer.

    Attributes:
        version: The version; 0 if the VM has none.
        packed: The operators' text, compressed with zlib; empty if the VM has
            none.
        evacuated: The evacuations that the VM knows. A VM that starts while
            the store is away gets them with its first configuration.
    """

    version: int
    packed: bytes
    evacuated: evacuations.Evacuated = evacuations.Evacuated()


class Feed:
    """Applies newer versions of the configuration from the store and peers.

    Args:
        kernel: Finds the store and the dialect.
        awaits_others: Whether another VM is about to send this one a
            configuration, until `watch_while` sets a condition.
    """

    def __init__(
        self, kernel: kernel_lib.Kernel, *, awaits_others: bool = False
    ) -> None:
        self._kernel = kernel
        self._evacuations = kernel.find(
            names.EVACUATIONS, evacuations.Evacuations
        )
        self._lock = threading.Lock()
        self._active: ActiveConfiguration | None = None
        self._callbacks: list[Callable[[], None]] = []
        self._history = routehistory.RouteHistory()
        self._retire_callbacks: list[Callable[[str], None]] = []
        self._stopping = threading.Event()
        self._is_store_lost = False
        self._may_watch: Callable[[], bool] = lambda: False
        self._awaits_others: Callable[[], bool] = lambda: awaits_others
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """Starts the thread that watches the store."""
        self._store = self._kernel.find(names.STORE, dialect_lib.Store)
        self._dialect = self._kernel.find(names.DIALECT, dialect_lib.Dialect)
        self._thread = threads.start(self._run, "configuration", is_vital=True)

    def stop(self, grace_s: float) -> None:
        """Stops the thread, which ends once its current call returns."""
        del grace_s
        self._stopping.set()

    def dump(self) -> Any:
        """Returns the version in force and for how long it has been so."""
        held = self._active
        if held is None:
            return {"version": 0}
        age_s = time.monotonic() - held.since_s
        return {"version": held.version, "age_s": round(age_s, 3)}

    def to_message(self) -> Told:
        """Returns the configuration in force as a message to a peer.

        A text of 2,000 routes has 360 kB. When two VMs behind links of 30
        Mbit/s sent it uncompressed to 72 others, the last of these got it
        after three seconds and accepted a withdrawn key until then. Compressed
        it has 41 kB.
        """
        held = self._active
        evacuated = self._evacuations.current()
        if held is None:
            return Told(0, b"", evacuated)
        return Told(held.version, held.packed, evacuated)

    def apply_message(self, message: Told, vm: str) -> bool:
        """Applies a configuration that a peer sent, see `apply`.

        Args:
            message: The peer's answer.
            vm: The peer, for the log.
        """
        self._evacuations.apply(message.evacuated, vm)
        decompressor = zlib.decompressobj()
        try:
            value = decompressor.decompress(message.packed, _MAX_TEXT_BYTES)
        except zlib.error as error:
            _events.warning("refused", source=vm, why=str(error))
            return False
        return self.apply(value, vm)

    def past_routes(self, host: str, path: str) -> routehistory.PastRoutes:
        """Returns what the routes of a path were in the last minutes."""
        with self._lock:
            return self._history.past(host, path, time.monotonic())

    def current(self) -> ActiveConfiguration | None:
        """Returns the configuration in force; `None` before there is any."""
        return self._active

    def watch_while(
        self,
        may_watch: Callable[[], bool],
        awaits_others: Callable[[], bool] = lambda: False,
    ) -> None:
        """Sets the condition under which this VM watches the store.

        Until a condition is set it is false. A VM that has no configuration
        yet watches in any case, unless it is to get one from another VM.

        Args:
            may_watch: Returns whether to watch; called before each watch.
            awaits_others: Returns whether another VM is about to send this
                one a configuration.
        """
        self._may_watch = may_watch
        self._awaits_others = awaits_others

    def on_change(self, callback: Callable[[], None]) -> None:
        """Registers a callback that runs after each change."""
        self._callbacks.append(callback)

    def on_retire_request(self, callback: Callable[[str], None]) -> None:
        """Registers a callback for each VM that operators want to retire."""
        self._retire_callbacks.append(callback)

    def apply(self, value: bytes, source: str) -> bool:
        """Puts a configuration in force if it is newer than the current one.

        Args:
            value: The operators' text.
            source: Where it came from, for the log.

        Returns:
            False if the text is malformed; true also if it is not newer.
        """
        try:
            configuration = self._dialect.decode_configuration(value)
        except dialect_lib.BadInputError as error:
            _events.warning("refused", source=source, why=str(error))
            return False
        with self._lock:
            held = self._active
            # A late answer or a peer that is behind may bring an older
            # version, with which a withdrawn key would work again.
            if held is not None and held.version >= configuration.version:
                return True
            self._active = ActiveConfiguration(configuration, value)
            self._history.replace(self._active.route, time.monotonic())
        _events.info(
            "applied",
            version=configuration.version,
            before=0 if held is None else held.version,
            source=source,
            routes=len(configuration.routes),
            customers=len(configuration.customers),
        )
        threads.notify(self._callbacks, "configuration callback")
        return True

    def _run(self) -> None:
        pause_s = _MIN_RETRY_S
        while not self._stopping.is_set():
            if not self._should_watch():
                self._stopping.wait(_IDLE_CHECK_S)
                continue
            has_watched = self._list_and_watch()
            if has_watched:
                pause_s = _MIN_RETRY_S
            self._stopping.wait(pause_s)
            pause_s = min(pause_s * 2, _MAX_RETRY_S)

    def _should_watch(self) -> bool:
        if self._active is None:
            return not self._awaits_others()
        return self._may_watch()

    def _list_and_watch(self) -> bool:
        """Lists the operators' keys, then watches them until a call fails.

        Returns:
            Whether any watch succeeded.
        """
        prefix = self._dialect.store_keys.operators_prefix
        listed = paging.read_all(self._store, prefix, _CALL_TIMEOUT_S)
        if listed.is_err():
            self._log_store_lost(listed.unwrap_err().message)
            return False
        page = listed.unwrap()
        self._log_store_back()
        # Evacuations are applied first: with a configuration this VM serves.
        evacuated = map(self._dialect.decode_evacuation, _keys(page.entries))
        self._evacuations.apply_listing(filter(None, evacuated), page.revision)
        self._apply_entries(page.entries)
        after = page.revision
        has_watched = False
        while not self._stopping.is_set() and self._should_watch():
            changed = self._store.watch(
                prefix,
                after,
                WATCH_WAIT_S,
                WATCH_WAIT_S + _WATCH_TIMEOUT_MARGIN_S,
            )
            if changed.is_err():
                error = changed.unwrap_err()
                if error.kind != "gap":
                    self._log_store_lost(error.message)
                return has_watched
            has_watched = True
            self._log_store_back()
            entries = changed.unwrap().entries
            self._apply_evacuation_events(entries)
            self._apply_entries(entries)
            # Continues after the last change received, not after the revision
            # of the answer: changes that an empty answer has missed would be
            # skipped.
            after = max((row.revision for row in entries), default=after)
        return has_watched

    def _apply_evacuation_events(
        self, entries: tuple[dialect_lib.Entry, ...]
    ) -> None:
        decoded = (
            evacuations.Event(
                self._dialect.decode_evacuation(entry.key),
                entry.revision,
                entry.value is not None,
            )
            for entry in entries
        )
        self._evacuations.apply_events(row for row in decoded if row.domain)

    def _apply_entries(self, entries: tuple[dialect_lib.Entry, ...]) -> None:
        for entry in entries:
            if entry.value is None:
                continue
            if entry.key == self._dialect.store_keys.configuration:
                self.apply(entry.value, "store")
                continue
            vm = self._dialect.decode_retire_request(entry.key)
            if vm:
                threads.notify(self._retire_callbacks, "retire callback", vm)

    def _log_store_lost(self, message: str) -> None:
        if not self._is_store_lost:
            _events.warning("store_lost", why=message)
        self._is_store_lost = True

    def _log_store_back(self) -> None:
        if self._is_store_lost:
            _events.info("store_back")
        self._is_store_lost = False


def _keys(entries: Iterable[dialect_lib.Entry]) -> Iterator[str]:
    return (entry.key for entry in entries if entry.value is not None)
