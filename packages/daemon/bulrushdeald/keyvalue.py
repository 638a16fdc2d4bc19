"""The platform's key-value service over HTTP, with lost answers settled."""

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
# How long a lost answer is looked into, in timeouts of one call.
_SETTLE_TIMEOUTS = 2.0
_SETTLE_PAUSE_S = 0.05
_MAX_REMEMBERED = 4096


class _Stored(NamedTuple):
    """A key as the platform holds it.

    Attributes:
        entry: What the callers of `KeyValue` see.
        nonces: Of the envelope.
        is_deleted: Whether a watch told of its deletion.
    """

    entry: services.Entry
    nonces: tuple[bytes, ...]
    is_deleted: bool


class _Write(NamedTuple):
    """A write under way.

    Attributes:
        key: The key.
        expected_revision: What the caller saw last.
        nonces: The write's own, then those that led to what the caller saw.
        data: The sealed bytes.
    """

    key: str
    expected_revision: int
    nonces: tuple[bytes, ...]
    data: bytes


class HttpKeyValue:
    """See `services.KeyValue`; a deleted key is watched as an empty value."""

    def __init__(
        self,
        kernel: kernel_lib.Kernel,
        settings: defaults.Settings,
        clock: clock_lib.Clock | None = None,
        client: platformclient.Caller | None = None,
    ) -> None:
        del kernel
        self._timeout_s = settings.platform_timeout_s
        self._clock = clock or clock_lib.SystemClock()
        self._client = client or platformclient.PlatformClient(
            settings.platform_address, settings.platform_timeout_s
        )
        # The nonces of entries read, by key, for the next write's envelope.
        self._seen: collections.OrderedDict[
            str, tuple[int, tuple[bytes, ...]]
        ] = collections.OrderedDict()
        self._lock = threading.Lock()
        self._settled: collections.Counter[str] = collections.Counter()

    def start(self) -> None:
        """Does nothing; connections open on demand."""

    def stop(self, grace_s: float) -> None:
        """Closes idle connections."""
        del grace_s
        self._client.close()

    def dump(self) -> Any:
        """Returns the calls made and how lost answers were settled."""
        with self._lock:
            settled = dict(self._settled)
        return {**self._client.dump(), "settled": settled}

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

        If an answer was lost and others have written since, the revision
        returned is one that is lower than theirs and not lower than the
        write's own could be; a compare-and-swap with it conflicts, as it
        should.
        """
        nonces = (
            envelope.new_nonce(),
            *self._seen_nonces(key, expected_revision),
        )
        data = envelope.seal(envelope.Envelope(nonces, value))
        write = _Write(key, expected_revision, nonces, data)
        sent = self._send(write)
        if sent.is_err() and sent.unwrap_err().kind == "not_sent":
            return result.Err(_unavailable(sent.unwrap_err()))
        if sent.is_err():
            return self._settle(write)
        return self._conclude(write, sent.unwrap())

    def delete(
        self, key: str, expected_revision: int
    ) -> result.Result[None, services.KeyValueError]:
        """See `services.KeyValue`."""
        deadline_s = self._settle_deadline_s()
        is_lost = False
        while True:
            answer = self._client.call(
                "delete",
                "DELETE",
                _path(key),
                {"expected_revision": str(expected_revision)},
            )
            if answer.is_ok():
                return self._conclude_delete(key, answer.unwrap(), is_lost)
            if answer.unwrap_err().kind == "not_sent" and not is_lost:
                return result.Err(_unavailable(answer.unwrap_err()))
            # Sending the same deletion again is safe: revisions are never
            # used twice, so it can only hit the entry it was meant for.
            is_lost = True
            if self._clock.monotonic_s() >= deadline_s:
                return result.Err(_unknown(key))
            self._clock.sleep_s(_SETTLE_PAUSE_S)

    def _conclude_delete(
        self, key: str, answer: platformclient.Answer, is_lost: bool
    ) -> result.Result[None, services.KeyValueError]:
        if answer.status == http.HTTPStatus.OK:
            return result.Ok(None)
        current = self._stored(answer.body) if answer.body else None
        if is_lost and current is None:
            return result.Ok(None)
        return result.Err(_conflict(key, current))

    def _send(
        self, write: _Write
    ) -> result.Result[platformclient.Answer, platformclient.CallError]:
        return self._client.call(
            "put",
            "PUT",
            _path(write.key),
            {"expected_revision": str(write.expected_revision)},
            write.data,
        )

    def _conclude(
        self, write: _Write, answer: platformclient.Answer
    ) -> result.Result[int, services.KeyValueError]:
        if answer.status == http.HTTPStatus.OK:
            revision = int(answer.body["revision"])
            self._remember(write.key, revision, write.nonces)
            return result.Ok(revision)
        if answer.status == http.HTTPStatus.CONFLICT:
            current = self._stored(answer.body) if answer.body else None
            return result.Err(_conflict(write.key, current))
        message = f"The platform refused {write.key}: {answer.status}."
        return result.Err(services.KeyValueError("unavailable", message))

    def _settle(
        self, write: _Write
    ) -> result.Result[int, services.KeyValueError]:
        """Finds out whether a write whose answer was lost took effect.

        The failure: the platform applied the write, the answer was lost,
        and the caller would take an accepted edit for a failed one or do it
        twice. Reading back and finding the old revision does not settle it,
        for the write may still be on its way; so the same bytes are sent
        once more under the same expected revision. At most one of the two
        can take effect, and either carries this write's nonce.
        """
        deadline_s = self._settle_deadline_s()
        while True:
            outcome = self._settle_once(write)
            if outcome is not None:
                self._count("known" if outcome.is_ok() else "not in force")
                return outcome
            if self._clock.monotonic_s() >= deadline_s:
                self._count("unknown")
                return result.Err(_unknown(write.key))
            self._clock.sleep_s(_SETTLE_PAUSE_S)

    def _settle_once(
        self, write: _Write
    ) -> result.Result[int, services.KeyValueError] | None:
        read = self._read(write.key)
        if read.is_err():
            return None
        current = read.unwrap()
        held_revision = current.entry.revision if current else 0
        if held_revision != write.expected_revision:
            return self._judge(write, current)
        sent = self._send(write)
        if sent.is_err():
            return None
        if sent.unwrap().status == http.HTTPStatus.CONFLICT:
            body = sent.unwrap().body
            return self._judge(write, self._stored(body) if body else None)
        return self._conclude(write, sent.unwrap())

    def _judge(
        self, write: _Write, current: _Stored | None
    ) -> result.Result[int, services.KeyValueError]:
        """Decides by the nonces of a value that is not the expected one."""
        if current is None:
            # Somebody deleted the key, before or after this write.
            return result.Err(_unknown(write.key))
        own, *before = write.nonces
        if own in current.nonces[:1]:
            self._remember(write.key, current.entry.revision, current.nonces)
            return result.Ok(current.entry.revision)
        if own in current.nonces:
            return result.Ok(write.expected_revision + 1)
        if before and before[0] in current.nonces:
            # The writes since the expected one are all there, without this.
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
            seen_revision, _ = self._seen.get(key, (0, ()))
            if revision < seen_revision:
                return
            self._seen[key] = (revision, nonces[: envelope.MAX_NONCES])
            self._seen.move_to_end(key)
            while len(self._seen) > _MAX_REMEMBERED:
                self._seen.popitem(last=False)

    def _seen_nonces(self, key: str, revision: int) -> tuple[bytes, ...]:
        with self._lock:
            seen_revision, nonces = self._seen.get(key, (0, ()))
            return nonces if seen_revision == revision else ()

    def _settle_deadline_s(self) -> float:
        return self._clock.monotonic_s() + _SETTLE_TIMEOUTS * self._timeout_s

    def _count(self, outcome: str) -> None:
        with self._lock:
            self._settled[outcome] += 1


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
