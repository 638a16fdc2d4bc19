"""HTTP client for the platform's key-value service.

If the answer to a write is lost, the client finds out whether the write took
effect.
"""

import base64
import collections
import http
import threading
from typing import Any, NamedTuple
from urllib import parse

import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import defaults
from bulrushdeald import envelope
from bulrushdeald import platformclient
from bulrushdeald import services

_log = logs.Log("keyvalue")
# How long the client tries to resolve a lost answer, in call timeouts.
_RESOLVE_TIMEOUTS = 2.0
_RESOLVE_PAUSE_S = 0.05
_MAX_NONCE_KEYS = 4096


class _Stored(NamedTuple):
    """A key as it is stored on the platform.

    Attributes:
        entry: The entry that callers of `KeyValue` get.
        nonces: The nonces in the value's envelope.
        is_deleted: Whether a watch reported the key as deleted.
    """

    entry: services.Entry
    nonces: tuple[bytes, ...]
    is_deleted: bool


class _Write(NamedTuple):
    """A put in progress.

    Attributes:
        key: The key.
        expected_revision: The revision that the caller read last.
        nonces: This write's nonce, then those of the entry that the caller
            read.
        data: The encoded envelope.
    """

    key: str
    expected_revision: int
    nonces: tuple[bytes, ...]
    data: bytes


class HttpKeyValue:
    """See `services.KeyValue`; `watch` returns deleted keys as empty values."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
        client: platformclient.PlatformApi | None = None,
    ) -> None:
        del kernel
        self._timeout_s = settings.platform_timeout_s
        self._clock = clock or clock_lib.SystemClock()
        self._client = client or platformclient.PlatformClient(
            settings.platform_address, settings.platform_timeout_s
        )
        # Revision and nonces of the newest known entry of each key; the next
        # write's envelope includes these nonces.
        self._nonces_by_key: collections.OrderedDict[
            str, tuple[int, tuple[bytes, ...]]
        ] = collections.OrderedDict()
        self._lock = threading.Lock()
        self._resolved: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Does nothing; connections are opened on demand."""

    def stop(self, grace_s: float) -> None:
        """Closes idle connections."""
        del grace_s
        self._client.close()

    def dump(self) -> Any:
        """Returns the call counts and how lost answers were resolved."""
        with self._lock:
            resolved = dict(self._resolved)
        return {**self._client.dump(), "settled": resolved}

    def get(
        self, key: str
    ) -> result.Result[services.Entry | None, services.KeyValueError]:
        """See `services.KeyValue`."""
        stored = self._read(key)
        if stored.is_err():
            return result.Err(_unavailable(stored.unwrap_err()))
        found = stored.unwrap()
        return result.Ok(None if found is None else found.entry)

    def list(
        self, prefix: str
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        """See `services.KeyValue`."""
        return self._read_many("list", "/v1/kv", {"prefix": prefix}, 0.0)

    def watch(
        self, prefix: str, after_revision: int, timeout_s: float
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        """See `services.KeyValue`."""
        fields = {
            "prefix": prefix,
            "after_revision": str(after_revision),
            "timeout_s": str(timeout_s),
        }
        return self._read_many("watch", "/v1/watch", fields, timeout_s)

    def put(
        self, key: str, value: bytes, expected_revision: int
    ) -> result.Result[int, services.KeyValueError]:
        """See `services.KeyValue`.

        If the answer was lost and others have written since, the returned
        revision is a lower bound of the write's own. It is lower than the
        later revisions, so that a compare-and-swap with it conflicts.
        """
        nonces = (
            envelope.new_nonce(),
            *self._known_nonces(key, expected_revision),
        )
        data = envelope.seal(envelope.Envelope(nonces, value))
        write = _Write(key, expected_revision, nonces, data)
        sent = self._send(write)
        if sent.is_err() and sent.unwrap_err().kind == "not_sent":
            return result.Err(_unavailable(sent.unwrap_err()))
        if sent.is_err():
            return self._resolve_lost_put(write)
        return self._put_outcome(write, sent.unwrap())

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        """See `services.KeyValue`."""
        deadline_s = self._resolve_deadline_s()
        is_repeated = False
        while True:
            answer = self._client.call(
                "delete",
                "DELETE",
                _path(key),
                {"expected_revision": str(expected_revision)},
            )
            if answer.is_ok():
                return self._delete_outcome(key, answer.unwrap(), is_repeated)
            if answer.unwrap_err().kind == "not_sent" and not is_repeated:
                return result.Err(_unavailable(answer.unwrap_err()))
            # Repeating the deletion is safe: revisions are unique, so it can
            # only delete the intended entry.
            is_repeated = True
            if self._clock.monotonic_s() >= deadline_s:
                return result.Err(_unknown(key))
            self._clock.sleep_s(_RESOLVE_PAUSE_S)

    def _delete_outcome(
        self,
        key: str,
        answer: platformclient.PlatformResponse,
        is_repeated: bool,
    ) -> result.Result[None, services.KeyValueError]:
        if answer.status == http.HTTPStatus.OK:
            return result.Ok(None)
        current = self._stored(answer.body) if answer.body else None
        if is_repeated and current is None:
            return result.Ok(None)
        return result.Err(_conflict(key, current))

    def _send(
        self, write: _Write
    ) -> result.Result[
        platformclient.PlatformResponse, platformclient.CallError
    ]:
        return self._client.call(
            "put",
            "PUT",
            _path(write.key),
            {"expected_revision": str(write.expected_revision)},
            write.data,
        )

    def _put_outcome(
        self, write: _Write, answer: platformclient.PlatformResponse
    ) -> result.Result[int, services.KeyValueError]:
        if answer.status == http.HTTPStatus.OK:
            revision = int(answer.body["revision"])
            self._remember(write.key, revision, write.nonces)
            return result.Ok(revision)
        if answer.status == http.HTTPStatus.CONFLICT:
            current = self._stored(answer.body) if answer.body else None
            return result.Err(_conflict(write.key, current))
        message = f"The platform refused to write {write.key}: {answer.status}."
        return result.Err(services.KeyValueError("unavailable", message))

    def _resolve_lost_put(
        self, write: _Write
    ) -> result.Result[int, services.KeyValueError]:
        """Finds out whether a put whose answer was lost took effect.

        Without this, a caller would take an accepted edit for a failed one,
        or repeat it. Reading the old revision back proves nothing, because
        the write may still arrive. So the same bytes are sent again with the
        same expected revision: at most one of the two writes can take
        effect, and both carry the same nonce.
        """
        deadline_s = self._resolve_deadline_s()
        while True:
            outcome = self._try_to_resolve(write)
            if outcome is not None:
                self._count_resolved(
                    "known" if outcome.is_ok() else "not in force"
                )
                return outcome
            if self._clock.monotonic_s() >= deadline_s:
                self._count_resolved("unknown")
                return result.Err(_unknown(write.key))
            self._clock.sleep_s(_RESOLVE_PAUSE_S)

    def _try_to_resolve(
        self, write: _Write
    ) -> result.Result[int, services.KeyValueError] | None:
        read = self._read(write.key)
        if read.is_err():
            return None
        current = read.unwrap()
        current_revision = current.entry.revision if current else 0
        if current_revision != write.expected_revision:
            return self._outcome_by_nonces(write, current)
        sent = self._send(write)
        if sent.is_err():
            return None
        if sent.unwrap().status == http.HTTPStatus.CONFLICT:
            body = sent.unwrap().body
            return self._outcome_by_nonces(
                write, self._stored(body) if body else None
            )
        return self._put_outcome(write, sent.unwrap())

    def _outcome_by_nonces(
        self, write: _Write, current: _Stored | None
    ) -> result.Result[int, services.KeyValueError]:
        """Returns the outcome of a put, from the nonces of a newer entry."""
        if current is None:
            # The key was deleted; this write may have taken effect before.
            return result.Err(_unknown(write.key))
        own, *before = write.nonces
        if own in current.nonces[:1]:
            self._remember(write.key, current.entry.revision, current.nonces)
            return result.Ok(current.entry.revision)
        if own in current.nonces:
            return result.Ok(write.expected_revision + 1)
        if before and before[0] in current.nonces:
            # The envelope lists all writes since the expected revision, and
            # this write is not among them.
            return result.Err(_conflict(write.key, current))
        return result.Err(_unknown(write.key))

    def _read(
        self, key: str
    ) -> result.Result[_Stored | None, platformclient.CallError]:
        answer = self._client.call("get", "GET", _path(key))
        if answer.is_err():
            return result.Err(answer.unwrap_err())
        if answer.unwrap().status != http.HTTPStatus.OK:
            return result.Ok(None)
        return result.Ok(self._stored(answer.unwrap().body))

    def _read_many(
        self, kind: str, path: str, fields: dict[str, str], wait_s: float
    ) -> result.Result[tuple[services.Entry, ...], services.KeyValueError]:
        answer = self._client.call(kind, "GET", path, fields, wait_s=wait_s)
        if answer.is_err():
            return result.Err(_unavailable(answer.unwrap_err()))
        if answer.unwrap().status != http.HTTPStatus.OK:
            message = f"The platform answered {answer.unwrap().status}."
            return result.Err(services.KeyValueError("unavailable", message))
        entries = answer.unwrap().body["entries"]
        return result.Ok(tuple(self._stored(row).entry for row in entries))

    def _stored(self, row: dict[str, Any]) -> _Stored:
        sealed = envelope.unseal(base64.b64decode(row["value"]))
        entry = services.Entry(row["key"], sealed.value, int(row["revision"]))
        self._remember(entry.key, entry.revision, sealed.nonces)
        return _Stored(entry, sealed.nonces, bool(row.get("deleted")))

    def _remember(
        self, key: str, revision: int, nonces: tuple[bytes, ...]
    ) -> None:
        with self._lock:
            seen_revision, _ = self._nonces_by_key.get(key, (0, ()))
            if revision < seen_revision:
                return
            self._nonces_by_key[key] = (revision, nonces[: envelope.MAX_NONCES])
            self._nonces_by_key.move_to_end(key)
            while len(self._nonces_by_key) > _MAX_NONCE_KEYS:
                self._nonces_by_key.popitem(last=False)

    def _known_nonces(self, key: str, revision: int) -> tuple[bytes, ...]:
        with self._lock:
            seen_revision, nonces = self._nonces_by_key.get(key, (0, ()))
            return nonces if seen_revision == revision else ()

    def _resolve_deadline_s(self) -> float:
        return self._clock.monotonic_s() + _RESOLVE_TIMEOUTS * self._timeout_s

    def _count_resolved(self, outcome: str) -> None:
        with self._lock:
            self._resolved[outcome] += 1


def _path(key: str) -> str:
    return "/v1/kv/" + parse.quote(key)


def _unavailable(error: platformclient.CallError) -> services.KeyValueError:
    return services.KeyValueError("unavailable", error.message)


def _unknown(key: str) -> services.KeyValueError:
    _log.warning("The outcome of a write to %s is unknown.", key)
    return services.KeyValueError(
        "unknown", f"The platform did not answer; {key} may have changed."
    )


def _conflict(key: str, current: _Stored | None) -> services.KeyValueError:
    return services.KeyValueError(
        "conflict",
        f"{key} was changed by another writer.",
        None if current is None else current.entry,
    )
