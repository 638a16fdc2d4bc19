"""Which software versions the upstreams of a service have run lately."""

from collections.abc import Iterable

from gateway import records

# A list is read about once a second. Where none was read for longer, upstreams
# of another version may have come and gone unseen.
_MAX_GAP_S = 5.0
# Longer than any stream lasts.
_RETENTION_S = 600.0


class VersionHistory:
    """Knows for how long all upstreams of a service have run one version.

    All times are seconds of one clock. Not thread-safe.
    """

    def __init__(self) -> None:
        self._listed: dict[str, frozenset[str]] = {}
        # When each version was listed last, by service.
        self._seen_s: dict[str, dict[str, float]] = {}
        # Since when the list was read without a gap.
        self._since_s = float("inf")
        self._read_s = float("-inf")

    def change(self, rows: Iterable[records.Upstream]) -> None:
        """Takes over the listed upstreams, draining ones among them."""
        listed: dict[str, set[str]] = {}
        for row in rows:
            listed.setdefault(row.service, set()).add(row.software_version)
        self._listed = {name: frozenset(row) for name, row in listed.items()}

    def record_read(self, read_s: float) -> None:
        """Records when the list that was taken over last was read."""
        if read_s < self._read_s:
            return
        if read_s - self._read_s > _MAX_GAP_S:
            self._since_s = read_s
        self._read_s = read_s
        for service, versions in self._listed.items():
            seen_s = self._seen_s.setdefault(service, {})
            seen_s |= dict.fromkeys(versions, read_s)
            self._prune(seen_s)

    def _prune(self, seen_s: dict[str, float]) -> None:
        oldest_s = self._read_s - _RETENTION_S
        for version in [key for key, at_s in seen_s.items() if at_s < oldest_s]:
            del seen_s[version]

    def only_version(self, service: str, span_s: float, now_s: float) -> str:
        """Returns the version that all upstreams of a service have run.

        Empty if there were several, if one is not known, or if the list was
        not read all the time.

        Args:
            service: The service.
            span_s: For how long, in seconds.
            now_s: The current time.
        """
        if now_s - self._read_s > _MAX_GAP_S or self._since_s > now_s - span_s:
            return ""
        versions = self._versions(service, now_s - span_s)
        return versions.pop() if len(versions) == 1 else ""

    def has_several(self, service: str, span_s: float, now_s: float) -> bool:
        """Returns whether several versions of a service were listed.

        Args:
            service: The service.
            span_s: For how long, in seconds.
            now_s: The current time.
        """
        return len(self._versions(service, now_s - span_s)) > 1

    def _versions(self, service: str, since_s: float) -> set[str]:
        seen_s = self._seen_s.get(service, {})
        lately = {name for name, at_s in seen_s.items() if at_s >= since_s}
        return lately.union(self._listed.get(service, ()))
