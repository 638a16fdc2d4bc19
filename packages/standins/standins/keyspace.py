"""The key-value service of the stand-in platform, free of HTTP."""

import threading
import time
from typing import NamedTuple


class Held(NamedTuple):
    """One key as it is now.

    Attributes:
        key: The key.
        value: What it holds; empty if it was deleted.
        revision: When it was last changed.
        lease: The lease it goes with; empty for none.
        is_deleted: Whether it was deleted.
    """

    key: str
    value: bytes
    revision: int
    lease: str = ""
    is_deleted: bool = False


class Keyspace:
    """Keys with compare-and-swap, leases and watches, in memory.

    Revisions are one counter over all keys. Deleted keys are remembered, so
    that a watch tells of them.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._held: dict[str, Held] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_count = 0
        self._revision = 0
        self._is_closed = False

    @property
    def revision(self) -> int:
        """The revision of the newest change."""
        return self._revision

    def get(self, key: str) -> Held | None:
        """Returns what a key holds, `None` if nothing."""
        with self._changed:
            self._expire()
            return self._live(key)

    def list(self, prefix: str) -> tuple[tuple[Held, ...], int]:
        """Returns the keys under a prefix in order, and the revision."""
        with self._changed:
            self._expire()
            found = tuple(
                self._held[key]
                for key in sorted(self._held)
                if key.startswith(prefix) and not self._held[key].is_deleted
            )
            return found, self._revision

    def put(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> tuple[int, Held | None]:
        """Writes if the key's revision is as expected.

        Returns:
            The new revision, or 0 and what the key holds.
        """
        with self._changed:
            self._expire()
            current = self._live(key)
            if (current.revision if current else 0) != expected_revision:
                return 0, current
            if lease and lease not in self._leases:
                return 0, current
            return self._change(Held(key, value, 0, lease)), None

    def delete(
        self, key: str, expected_revision: int
    ) -> tuple[bool, Held | None]:
        """Deletes if the key's revision is as expected.

        Returns:
            Whether it was deleted, and else what the key holds.
        """
        with self._changed:
            self._expire()
            current = self._live(key)
            if current is None or current.revision != expected_revision:
                return False, current
            self._change(Held(key, b"", 0, "", True))
            return True, None

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[tuple[Held, ...], int]:
        """Waits for changes under a prefix; returns them, deletions too."""
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            while True:
                self._expire()
                found = self._changes(prefix, after_revision)
                left_s = deadline_s - time.monotonic()
                if found or left_s <= 0 or self._is_closed:
                    return found, self._revision
                self._changed.wait(min(left_s, self._until_expiry_s()))

    def grant(self, ttl_s: float) -> str:
        """Returns a new lease."""
        with self._changed:
            self._lease_count += 1
            lease = f"lease-{self._lease_count}"
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return lease

    def renew(self, lease: str) -> bool:
        """Prolongs a lease; false if it has lapsed."""
        with self._changed:
            self._expire()
            if lease not in self._leases:
                return False
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return True

    def revoke(self, lease: str) -> bool:
        """Ends a lease, and its keys with it."""
        with self._changed:
            self._expire()
            if lease not in self._leases:
                return False
            self._drop(lease)
            return True

    def close(self) -> None:
        """Ends all watches."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def wake(self) -> None:
        """Ends the wait of each watch once, so that it looks again."""
        with self._changed:
            self._changed.notify_all()

    def _live(self, key: str) -> Held | None:
        held = self._held.get(key)
        return None if held is None or held.is_deleted else held

    def _changes(self, prefix: str, after_revision: int) -> tuple[Held, ...]:
        found = [
            held
            for key, held in self._held.items()
            if held.revision > after_revision and key.startswith(prefix)
        ]
        return tuple(sorted(found, key=lambda held: held.revision))

    def _change(self, held: Held) -> int:
        self._revision += 1
        self._held[held.key] = held._replace(revision=self._revision)
        self._changed.notify_all()
        return self._revision

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, (_, expires_s) in tuple(self._leases.items()):
            if expires_s <= now_s:
                self._drop(lease)

    def _drop(self, lease: str) -> None:
        del self._leases[lease]
        for held in tuple(self._held.values()):
            if held.lease == lease:
                self._change(Held(held.key, b"", 0, "", True))

    def _until_expiry_s(self) -> float:
        now_s = time.monotonic()
        return min(
            (expires_s - now_s for _, expires_s in self._leases.values()),
            default=60.0,
        )
