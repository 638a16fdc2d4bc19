"""Which upstreams this VM could not use lately."""

from collections.abc import Iterable
import threading
import time

from bulrushdeal import eventlog

_events = eventlog.Events("health")

# The first avoidance is short: most failures are over at once. An upstream
# that stays dark costs one connection attempt in five seconds.
_FIRST_AVOID_S = 0.5
_MAX_AVOID_S = 5.0
# An upstream that sent something so lately is there, whatever pings say.
_HEARD_S = 0.5


class Health:
    """Avoids an upstream for a while after a failure, longer each time."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._until_s: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._heard_s: dict[str, float] = {}

    def failed(self, instance: str, why: str) -> None:
        """Notes that a request to an upstream failed on the way."""
        with self._lock:
            count = self._failures.get(instance, 0)
            avoid_s = min(_FIRST_AVOID_S * 2**count, _MAX_AVOID_S)
            self._failures[instance] = min(count + 1, 10)
            self._until_s[instance] = time.monotonic() + avoid_s
        _events.warning("avoided", upstream=instance, for_s=avoid_s, why=why)

    def worked(self, instance: str) -> None:
        """Notes that an upstream answered."""
        if instance not in self._failures:
            return
        with self._lock:
            self._failures.pop(instance, None)
            self._until_s.pop(instance, None)
        _events.info("back", upstream=instance)

    def heard(self, instance: str) -> None:
        """Notes that an upstream sent something just now."""
        self._heard_s[instance] = time.monotonic()

    def is_silent(self, instance: str) -> bool:
        """Tells whether nothing came from an upstream lately."""
        heard_s = self._heard_s.get(instance, 0.0)
        return time.monotonic() - heard_s > _HEARD_S

    def avoided(self) -> frozenset[str]:
        """Returns the upstreams that are avoided now."""
        if not self._until_s:
            return frozenset()
        now_s = time.monotonic()
        with self._lock:
            return frozenset(
                name
                for name, until_s in self._until_s.items()
                if until_s > now_s
            )

    def keep(self, instances: Iterable[str]) -> None:
        """Forgets all upstreams but these."""
        kept = frozenset(instances)
        with self._lock:
            self._heard_s = {
                name: heard_s
                for name, heard_s in self._heard_s.items()
                if name in kept
            }
            for name in list(self._failures):
                if name not in kept:
                    del self._failures[name]
                    self._until_s.pop(name, None)
