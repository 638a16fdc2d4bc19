"""Which upstreams recently failed for this VM, and which sent data."""

from collections.abc import Iterable, Mapping
import threading
import time

from bulrushdeal import eventlog

_events = eventlog.Events("health")

# The first avoidance is short because most failures are over at once. An
# upstream that stays unreachable costs one connection attempt in five seconds.
_FIRST_AVOID_S = 0.5
_MAX_AVOID_S = 5.0
# Up to 32 s.
_MAX_DOUBLINGS = 6
# An upstream that sent data within this time is reachable, even if pings into
# its failure domain fail.
_SILENT_AFTER_S = 0.5


class Health:
    """Keeps upstreams from being used for some time after a failure.

    The time doubles with each further failure, up to a limit. An upstream
    whose answer broke off is doubtful: a proxy may accept requests for one that
    has crashed, and break them off too. It is until it sends data, which shows
    that only the answer was lost, or until that time has passed.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._avoided_until_s: dict[str, float] = {}
        self._failure_counts: dict[str, int] = {}
        self._doubtful_until_s: dict[str, float] = {}
        self._received_s: dict[str, float] = {}
        # How often answers had no end, since the last that had one.
        self._endless_counts: dict[str, int] = {}

    def record_failure(self, instance: str, why: str) -> None:
        """Records a failed request and avoids the upstream for some time.

        Args:
            instance: The upstream's name.
            why: The reason, for the log.
        """
        with self._lock:
            avoid_s = self._count_failure(instance)
            self._avoided_until_s[instance] = time.monotonic() + avoid_s
        _events.warning("avoided", upstream=instance, for_s=avoid_s, why=why)

    def record_break(self, instance: str) -> None:
        """Records that an upstream's answer broke off, so it is doubtful.

        Args:
            instance: The upstream's name.
        """
        with self._lock:
            doubt_s = self._count_failure(instance)
            self._doubtful_until_s[instance] = time.monotonic() + doubt_s
        _events.info("doubtful", upstream=instance, for_s=doubt_s)

    def record_endless(self, instance: str, why: str) -> None:
        """Records that an upstream sends bytes that have no end.

        It is avoided for longer each time. Only a whole event or answer ends
        that: data alone, or a proper head, is what it sends anyhow.
        """
        with self._lock:
            count = self._endless_counts.get(instance, 0) + 1
            self._endless_counts[instance] = count
            avoid_s = _FIRST_AVOID_S * float(2 ** min(count, _MAX_DOUBLINGS))
            self._avoided_until_s[instance] = time.monotonic() + avoid_s
        _events.warning("avoided", upstream=instance, for_s=avoid_s, why=why)

    def record_whole(self, instance: str) -> None:
        """Records that an upstream has sent a whole event or answer."""
        if instance not in self._endless_counts:
            return
        with self._lock:
            self._endless_counts.pop(instance, None)
            self._avoided_until_s.pop(instance, None)

    def _count_failure(self, instance: str) -> float:
        """Returns how long to avoid an upstream after one more failure."""
        count = self._failure_counts.get(instance, 0)
        self._failure_counts[instance] = min(count + 1, 10)
        return min(_FIRST_AVOID_S * float(2**count), _MAX_AVOID_S)

    def record_success(self, instance: str) -> None:
        """Records that an upstream answered, which ends its avoidance."""
        if instance not in self._failure_counts:
            return
        with self._lock:
            self._failure_counts.pop(instance, None)
            self._doubtful_until_s.pop(instance, None)
            if instance not in self._endless_counts:
                self._avoided_until_s.pop(instance, None)
        _events.info("back", upstream=instance)

    def record_data(self, instance: str) -> None:
        """Records that an upstream has just sent data."""
        self._received_s[instance] = time.monotonic()
        if instance in self._doubtful_until_s:
            self.record_success(instance)

    def is_silent(self, instance: str) -> bool:
        """Returns whether an upstream has sent no data recently."""
        received_s = self._received_s.get(instance, 0.0)
        return time.monotonic() - received_s > _SILENT_AFTER_S

    def avoided(self) -> frozenset[str]:
        """Returns the upstreams that are avoided now."""
        return self._names_until(self._avoided_until_s)

    def doubtful(self) -> frozenset[str]:
        """Returns the upstreams that may have crashed."""
        return self._names_until(self._doubtful_until_s)

    def _names_until(self, until_s: Mapping[str, float]) -> frozenset[str]:
        """Returns the upstreams whose time has not passed yet."""
        if not until_s:
            return frozenset()
        now_s = time.monotonic()
        with self._lock:
            return frozenset(
                name for name, end_s in until_s.items() if end_s > now_s
            )

    def retain(self, instances: Iterable[str]) -> None:
        """Drops the state of all upstreams except these."""
        kept = frozenset(instances)
        with self._lock:
            self._received_s = {
                name: received_s
                for name, received_s in self._received_s.items()
                if name in kept
            }
            for name in self._endless_counts.keys() - kept:
                del self._endless_counts[name]
                self._avoided_until_s.pop(name, None)
            for name in list(self._failure_counts):
                if name not in kept:
                    del self._failure_counts[name]
                    self._avoided_until_s.pop(name, None)
                    self._doubtful_until_s.pop(name, None)
