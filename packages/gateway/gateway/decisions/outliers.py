"""Detection of upstreams that fail more requests than the others."""

from collections.abc import Iterable
from typing import NamedTuple

from bulrushdeal import eventlog

_events = eventlog.Events("outliers")

# The weight of an answer halves in this time.
_HALF_LIFE_S = 2.0
# Least weighted number and share of failures of an outlier. Three failures in
# quick succession are unlikely by chance, as a healthy upstream fails a few
# percent of its requests.
_MIN_FAILURES = 2.5
_MIN_FAILURE_SHARE = 0.3
# An outlier's share of failures is at least this many times that of all others.
# Requests that fail everywhere are a fault of the requests or of the network.
_MIN_RATIO_TO_OTHERS = 3.0
# The first and the longest ejection; each in a row is twice as long as the one
# before. An upstream that fails permanently costs one request per ejection, one
# that has recovered and is still ejected costs its capacity.
_FIRST_EJECTION_S = 1.0
_MAX_EJECTION_S = 3.0
# Share of the upstreams that may be ejected. The rest could not take the load
# of more, and a detection that finds most upstreams bad is wrong.
_MAX_EJECTED_SHARE = 0.3
# Successes in a row after which an upstream on trial is readmitted.
_TRIAL_SUCCESSES = 3


class _Counts(NamedTuple):
    """Successes and failures of an upstream, weighted by age.

    Attributes:
        worked: The weighted number of successes.
        failed: The weighted number of failures.
        at_s: The time of the weights, by the monotonic clock.
    """

    worked: float
    failed: float
    at_s: float

    def decayed(self, now_s: float) -> "_Counts":
        """Returns the counts with the weights of `now_s`."""
        factor = 0.5 ** ((now_s - self.at_s) / _HALF_LIFE_S)
        return _Counts(self.worked * factor, self.failed * factor, now_s)


class _Ejection(NamedTuple):
    """The state of an upstream that is ejected or on trial.

    Attributes:
        until_s: When its trial begins, by the monotonic clock.
        ejected_s: The duration of the ejection, in seconds.
        worked: The successes in a row since the trial began.
    """

    until_s: float
    ejected_s: float
    worked: int


class OutlierDetector:
    """Ejects upstreams that fail their requests for a limited time.

    An upstream may fail every request at once while it is listed and passes
    its health check. It always has the most free slots, so it gets, and fails,
    more requests than any other: in a simulation of ten upstreams at 100
    requests per second 0.82 of the requests failed, and 0.006 when the upstream
    is ejected. Each of many VMs sees few of an upstream's answers, so the VM
    that grants the slots, which receives all outcomes, decides.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}
        self._ejections: dict[str, _Ejection] = {}

    def retain(self, instances: Iterable[str]) -> None:
        """Drops the state of all upstreams but these."""
        kept = frozenset(instances)
        for name in self._counts.keys() - kept:
            del self._counts[name]
        for name in self._ejections.keys() - kept:
            del self._ejections[name]

    def limit(self, instance: str, now_s: float) -> int | None:
        """Returns how many requests an upstream may have at once.

        Returns:
            0 while it is ejected, 1 on trial, `None` for no limit.
        """
        ejection = self._ejections.get(instance)
        if ejection is None:
            return None
        return 0 if now_s < ejection.until_s else 1

    def record(
        self, instance: str, now_s: float, *, has_failed: bool, count: int
    ) -> None:
        """Records the outcome of a request.

        Args:
            instance: The upstream that the request was sent to.
            now_s: The current time by the monotonic clock.
            has_failed: Whether there was no valid answer.
            count: The number of upstreams of the service.
        """
        counts = self._counts.get(instance, _Counts(0.0, 0.0, now_s)).decayed(
            now_s
        )
        if has_failed:
            counts = counts._replace(failed=counts.failed + 1)
        else:
            counts = counts._replace(worked=counts.worked + 1)
        self._counts[instance] = counts
        ejection = self._ejections.get(instance)
        if ejection is not None:
            self._record_trial(instance, ejection, now_s, has_failed)
        elif has_failed and self._is_outlier(instance, counts, now_s):
            self._eject(instance, _FIRST_EJECTION_S, now_s, count)

    def _record_trial(
        self, instance: str, ejection: _Ejection, now_s: float, has_failed: bool
    ) -> None:
        if now_s < ejection.until_s:
            # The request was sent before the ejection.
            return
        if has_failed:
            ejected_s = min(ejection.ejected_s * 2, _MAX_EJECTION_S)
            self._ejections[instance] = _Ejection(
                now_s + ejected_s, ejected_s, 0
            )
            return
        if ejection.worked + 1 < _TRIAL_SUCCESSES:
            self._ejections[instance] = ejection._replace(
                worked=ejection.worked + 1
            )
            return
        del self._ejections[instance]
        self._counts.pop(instance, None)
        _events.info("back", upstream=instance)

    def _is_outlier(self, instance: str, counts: _Counts, now_s: float) -> bool:
        share = counts.failed / (counts.failed + counts.worked)
        if counts.failed < _MIN_FAILURES or share < _MIN_FAILURE_SHARE:
            return False
        others = [
            row.decayed(now_s)
            for name, row in self._counts.items()
            if name != instance and name not in self._ejections
        ]
        failed = sum(row.failed for row in others)
        worked = sum(row.worked for row in others)
        return share * (failed + worked) >= _MIN_RATIO_TO_OTHERS * failed

    def _eject(
        self, instance: str, ejected_s: float, now_s: float, count: int
    ) -> None:
        if len(self._ejections) + 1 > _MAX_EJECTED_SHARE * count:
            return
        counts = self._counts[instance]
        self._ejections[instance] = _Ejection(now_s + ejected_s, ejected_s, 0)
        _events.warning(
            "taken_out",
            upstream=instance,
            for_s=ejected_s,
            failed=round(counts.failed, 1),
            worked=round(counts.worked, 1),
        )
