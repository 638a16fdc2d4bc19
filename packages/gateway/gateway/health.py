"""Which upstreams recently failed for this VM, and which sent data."""

from collections.abc import Iterable
import threading
import time

from bulrushdeal import eventlog

_events = eventlog.Events("health")

# The first avoidance is short because most failures are over at once. An
# upstream that stays unreachable costs one connection attempt in five seconds.
_FIRST_AVOID_S = 0.5
_MAX_AVOID_S = 5.0
# An upstream that sent data within this time is reachable, even if pings into
# its failure domain fail.
_SILENT_AFTER_S = 0.5


class Health:
    """Keeps upstreams from being used for some time after a failure.

    The time doubles with each further failure, up to a limit.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._avoided_until_s: dict[str, float] = {}
        self._failure_counts: dict[str, int] = {}
        self._received_s: dict[str, float] = {}

    def record_failure(self, instance: str, why: str) -> None:
        """Records a failed request and avoids the upstream for some time.

        Args:
            instance: The upstream's name.
            why: The reason, for the log.
        """
        with self._lock:
            count = self._failure_counts.get(instance, 0)
            avoid_s = min(_FIRST_AVOID_S * 2**count, _MAX_AVOID_S)
            self._failure_counts[instance] = min(count + 1, 10)
            self._avoided_until_s[instance] = time.monotonic() + avoid_s
        _events.warning("avoided", upstream=instance, for_s=avoid_s, why=why)

    def record_success(self, instance: str) -> None:
        """Records that an upstream answered, which ends its avoidance."""
        if instance not in self._failure_counts:
            return
        with self._lock:
            self._failure_counts.pop(instance, None)
            self._avoided_until_s.pop(instance, None)
        _events.info("back", upstream=instance)

    def record_data(self, instance: str) -> None:
        """Records that an upstream has just sent data."""
        self._received_s[instance] = time.monotonic()

    def is_silent(self, instance: str) -> bool:
        """Returns whether an upstream has sent no data recently."""
        received_s = self._received_s.get(instance, 0.0)
        return time.monotonic() - received_s > _SILENT_AFTER_S

    def avoided(self) -> frozenset[str]:
        """Returns the upstreams that are avoided now."""
        if not self._avoided_until_s:
            return frozenset()
        now_s = time.monotonic()
        with self._lock:
            return frozenset(
                name
                for name, until_s in self._avoided_until_s.items()
                if until_s > now_s
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
            for name in list(self._failure_counts):
                if name not in kept:
                    del self._failure_counts[name]
                    self._avoided_until_s.pop(name, None)
