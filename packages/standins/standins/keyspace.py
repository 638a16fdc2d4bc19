"""The key-value service of the stand-in platform, without HTTP."""

import threading
import time
from typing import NamedTuple


class Held(NamedTuple):
    """The current state of one key.

    Attributes:
        key: The key.
        value: The value; empty if the key was deleted.
        revision: The revision of the last change of the key.
        lease: The lease whose end deletes the key; empty for none.
        is_deleted: Whether the key was deleted.
    """

    key: str
    value: bytes
    revision: int
    lease: str = ""
    is_deleted: bool = False


class Keyspace:
    """An in-memory key-value store with compare-and-swap, leases and watches.

    One revision counter covers all keys. Deleted keys are kept, so that watches
    report deletions.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._entries: dict[str, Held] = {}
        self._leases: dict[str, tuple[float, float]] = {}
        self._lease_count = 0
        self._revision = 0
        self._is_closed = False

    @property
    def revision(self) -> int:
        """The revision of the newest change."""
        return self._revision

    def get(self, key: str) -> Held | None:
        """Returns the state of a key, `None` if the key does not exist."""
        with self._changed:
            self._expire()
            return self._find(key)

    def list(self, prefix: str) -> tuple[tuple[Held, ...], int]:
        """Returns the keys under a prefix, sorted, and the current revision."""
        with self._changed:
            self._expire()
            found = tuple(
                self._entries[key]
                for key in sorted(self._entries)
                if key.startswith(prefix) and not self._entries[key].is_deleted
            )
            return found, self._revision

    def put(
        self, key: str, value: bytes, expected_revision: int, lease: str = ""
    ) -> tuple[int, Held | None]:
        """Writes a key if its revision is the expected one.

        Args:
            key: The key.
            value: The new value.
            expected_revision: The revision of the key; 0 if it must not exist.
            lease: The lease to attach the key to; empty for none.

        Returns:
            The new revision and `None`. If the revision differs or the lease
            does not exist, 0 and the state of the key.
        """
        with self._changed:
            self._expire()
            current = self._find(key)
            if (current.revision if current else 0) != expected_revision:
                return 0, current
            if lease and lease not in self._leases:
                return 0, current
            return self._store(Held(key, value, 0, lease)), None

    def delete(
        self, key: str, expected_revision: int
    ) -> tuple[bool, Held | None]:
        """Deletes a key if its revision is the expected one.

        Returns:
            Whether the key was deleted, and its state if it was not.
        """
        with self._changed:
            self._expire()
            current = self._find(key)
            if current is None or current.revision != expected_revision:
                return False, current
            self._store(Held(key, b"", 0, "", True))
            return True, None

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> tuple[tuple[Held, ...], int]:
        """Waits for changes under a prefix after a revision.

        Returns:
            The keys changed or deleted, in the order of their revisions, and
            the current revision. No keys after `timeout_s` or `close`.
        """
        deadline_s = time.monotonic() + timeout_s
        with self._changed:
            while True:
                self._expire()
                found = self._changes_since(prefix, after_revision)
                left_s = deadline_s - time.monotonic()
                if found or left_s <= 0 or self._is_closed:
                    return found, self._revision
                self._changed.wait(min(left_s, self._next_expiry_in_s()))

    def grant(self, ttl_s: float) -> str:
        """Creates a lease of `ttl_s` seconds and returns its name."""
        with self._changed:
            self._lease_count += 1
            lease = f"lease-{self._lease_count}"
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return lease

    def renew(self, lease: str) -> bool:
        """Renews a lease for its full duration; false if it has expired."""
        with self._changed:
            self._expire()
            if lease not in self._leases:
                return False
            ttl_s, _ = self._leases[lease]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return True

    def revoke(self, lease: str) -> bool:
        """Ends a lease and deletes its keys; false if it has expired."""
        with self._changed:
            self._expire()
            if lease not in self._leases:
                return False
            self._end_lease(lease)
            return True

    def close(self) -> None:
        """Ends all watches."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def wake(self) -> None:
        """Wakes all waiting watches, so that they check for changes again."""
        with self._changed:
            self._changed.notify_all()

    def _find(self, key: str) -> Held | None:
        held = self._entries.get(key)
        return None if held is None or held.is_deleted else held

    def _changes_since(
        self, prefix: str, after_revision: int
    ) -> tuple[Held, ...]:
        found = [
            held
            for key, held in self._entries.items()
            if held.revision > after_revision and key.startswith(prefix)
        ]
        return tuple(sorted(found, key=lambda held: held.revision))

    def _store(self, held: Held) -> int:
        self._revision += 1
        self._entries[held.key] = held._replace(revision=self._revision)
        self._changed.notify_all()
        return self._revision

    def _expire(self) -> None:
        now_s = time.monotonic()
        for lease, (_, expires_s) in tuple(self._leases.items()):
            if expires_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease: str) -> None:
        del self._leases[lease]
        for held in tuple(self._entries.values()):
            if held.lease == lease:
                self._store(Held(held.key, b"", 0, "", True))

    def _next_expiry_in_s(self) -> float:
        now_s = time.monotonic()
        return min(
            (expires_s - now_s for _, expires_s in self._leases.values()),
            default=60.0,
        )
