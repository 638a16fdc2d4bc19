"""Remembers which idempotency keys were used, before a request is sent.

An intent is written by compare-and-swap before the first byte leaves, so of
all VMs one at most sends. One whose holder is gone without a result stays
`unknown` for ever: nobody can tell whether the request ran.
"""

import base64
import binascii
import hashlib
import json
import secrets
import threading
import time
from typing import Any, Literal, NamedTuple

import result

from bulrushdeal import codec
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeald import defaults
from bulrushdeald import services

PREFIX = "intents/"
_log = logs.Log("intents")

_REPAIR_S = 1.0
_PEER_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0

State = Literal["sent", "answered", "unknown"]


class Reply(NamedTuple):
    """An upstream's whole answer, kept to be given again.

    Attributes:
        status: The HTTP status.
        headers: As the caller got them.
        body: In Base64.
        is_kept: Whether the body is here; a large one is not.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str
    is_kept: bool


class Intent(NamedTuple):
    """What a key of the platform's service holds.

    Attributes:
        fingerprint: Of the request; another one may not use the key.
        vm: Who sent, or was about to.
        incarnation: Which run of that VM's process.
        nonce: Tells this write from all others.
        state: `sent` until the outcome is known, or known to be lost.
        created_s: Seconds since the epoch.
        reply: The answer, once there is one.
    """

    fingerprint: str
    vm: str
    incarnation: str
    nonce: str
    state: State
    created_s: float
    reply: Reply | None = None


class Claim(NamedTuple):
    """The right to send, held by one VM."""

    name: str
    intent: Intent
    revision: int


class Question(NamedTuple):
    """Asks an intent's holder whether the request still runs."""

    name: str
    nonce: str


class Answer(NamedTuple):
    """See `Question`."""

    is_running: bool


def name_of(customer: str, key: str) -> str:
    """Returns the platform's key for a customer's idempotency key."""
    digest = hashlib.sha256(f"{customer}\0{key}".encode()).hexdigest()
    return PREFIX + digest


def pack(intent: Intent) -> bytes:
    """Returns an intent as the platform's service holds it."""
    return json.dumps(codec.to_object(intent)).encode()


def unpack(value: bytes) -> Intent | None:
    """Returns an intent, `None` if the value is none."""
    try:
        return codec.from_plain(Intent, json.loads(value))
    except (ValueError, codec.CodecError):
        return None


def reply_of(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes | None
) -> Reply:
    """Returns what is kept of an answer; `body` is `None` if too large."""
    text = base64.b64encode(body or b"").decode()
    return Reply(status, headers, text, body is not None)


def body_of(reply: Reply) -> bytes:
    """Returns a kept body."""
    try:
        return base64.b64decode(reply.body)
    except binascii.Error:
        return b""


class Intents:
    """Looks up, claims and settles idempotency keys."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._lock = threading.Lock()
        # Requests of this process under way, by name: the nonce.
        self._running: dict[str, str] = {}
        # Settled intents whose write failed; `None` means to be deleted.
        self._unwritten: dict[str, tuple[Claim, Intent | None]] = {}
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._repair_often, name="intents", daemon=True
        )

    def start(self) -> None:
        """See `kernel.Service`."""
        kernel = self._kernel
        self._keyvalue = kernel.find(services.KEYVALUE, services.KeyValue)
        self._membership = kernel.find(services.MEMBERSHIP, services.Membership)
        self._peers: services.Peers | None = None
        if kernel.has(services.PEERS):
            self._peers = kernel.find(services.PEERS, services.Peers)
            self._peers.handle(Question, self._on_question)
            self._peers.understand(Answer)
        self._thread.start()

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        self._stopping.set()
        self._thread.join(grace_s)
        self._repair()

    def dump(self) -> Any:
        """See `kernel.Service`."""
        with self._lock:
            return {
                "running": len(self._running),
                "unwritten": len(self._unwritten),
            }

    def look_up(
        self, name: str, fingerprint: str
    ) -> result.Result[Reply | None, services.Refusal]:
        """Returns the kept answer, `None` if the key was never used."""
        found = self._keyvalue.get(name)
        if isinstance(found, result.Err):
            return result.Err(_UNAVAILABLE)
        if found.ok_value is None:
            return result.Ok(None)
        return self._judge(found.ok_value, fingerprint)

    def claim(
        self, name: str, fingerprint: str
    ) -> result.Result[Claim, services.Refusal]:
        """Records that the request is about to be sent from here."""
        nonce = secrets.token_hex(8)
        intent = Intent(
            fingerprint,
            self._vm,
            self._membership.incarnation(),
            nonce,
            "sent",
            time.time(),
        )
        with self._lock:
            # Also while an older write of ours is still to be undone.
            if name in self._running or name in self._unwritten:
                return result.Err(_IN_PROGRESS)
            # Before the write: from then on another VM may ask for it.
            self._running[name] = nonce
        put = self._keyvalue.put(name, pack(intent), 0)
        if isinstance(put, result.Ok):
            return result.Ok(Claim(name, intent, put.ok_value))
        error = put.err_value
        if error.kind == "conflict" and _is_ours(error.current, nonce):
            assert error.current is not None
            return result.Ok(Claim(name, intent, error.current.revision))
        if error.kind == "unknown":
            # Nothing was sent, but the write may stand and would make the
            # caller's next try wait for a request that never runs.
            self._settle(Claim(name, intent, -1), None)
        with self._lock:
            self._running.pop(name, None)
        conflict = error.kind == "conflict"
        return result.Err(_IN_PROGRESS if conflict else _UNAVAILABLE)

    def answered(self, claim: Claim, reply: Reply) -> None:
        """Keeps the answer for the next time."""
        intent = claim.intent._replace(state="answered", reply=reply)
        self._settle(claim, intent)

    def unknown(self, claim: Claim) -> None:
        """Records that nobody will ever know whether it ran."""
        self._settle(claim, claim.intent._replace(state="unknown"))

    def release(self, claim: Claim) -> None:
        """Forgets a request that surely did not run."""
        self._settle(claim, None)

    def _settle(self, claim: Claim, intent: Intent | None) -> None:
        with self._lock:
            self._unwritten[claim.name] = (claim, intent)
        self._write(claim, intent)
        with self._lock:
            self._running.pop(claim.name, None)

    def _write(self, claim: Claim, intent: Intent | None) -> None:
        """Writes an outcome; what fails is tried again later."""
        if claim.revision < 0:
            current = self._keyvalue.get(claim.name)
            if isinstance(current, result.Err):
                return
            if not _is_ours(current.ok_value, claim.intent.nonce):
                self._forget(claim)
                return
            assert current.ok_value is not None
            claim = claim._replace(revision=current.ok_value.revision)
        if intent is None:
            deleted = self._keyvalue.delete(claim.name, claim.revision)
            is_over = _is_over(deleted)
        else:
            put = self._keyvalue.put(claim.name, pack(intent), claim.revision)
            is_over = _is_over(put)
        if is_over:
            self._forget(claim)

    def _forget(self, claim: Claim) -> None:
        with self._lock:
            self._unwritten.pop(claim.name, None)

    def _judge(
        self, entry: services.Entry, fingerprint: str
    ) -> result.Result[Reply | None, services.Refusal]:
        intent = unpack(entry.value)
        if intent is None:
            return result.Err(_UNKNOWN)
        if intent.fingerprint != fingerprint:
            return result.Err(_OTHER_REQUEST)
        settled = self._settled(entry.key, intent)
        if settled.state == "answered" and settled.reply is not None:
            if not settled.reply.is_kept:
                return result.Err(_NOT_KEPT)
            return result.Ok(settled.reply)
        if settled.state == "unknown":
            return result.Err(_UNKNOWN)
        if self._may_run(entry.key, intent):
            return result.Err(_IN_PROGRESS)
        return self._give_up(entry, intent)

    def _settled(self, name: str, intent: Intent) -> Intent:
        """Returns the intent as this process knows it, if it wrote it."""
        with self._lock:
            claim, newer = self._unwritten.get(name, (None, None))
        if claim is None or claim.intent.nonce != intent.nonce:
            return intent
        return newer or intent

    def _may_run(self, name: str, intent: Intent) -> bool:
        """Tells whether a `sent` intent may still get its outcome."""
        own = (self._vm, self._membership.incarnation())
        if (intent.vm, intent.incarnation) == own:
            return self._is_held(name, intent.nonce)
        if intent.vm == self._vm:
            # An earlier run of this process.
            return False
        if self._peers is not None:
            asked = self._peers.call(
                intent.vm, Question(name, intent.nonce), _PEER_TIMEOUT_S
            )
            # The list lags, so the VM's own word goes before it.
            if isinstance(asked, result.Ok):
                return bool(asked.ok_value.is_running)
        # Cut off is not gone: while it is listed it may still run.
        return self._membership.is_listed(intent.vm)

    def _give_up(
        self, entry: services.Entry, intent: Intent
    ) -> result.Result[Reply | None, services.Refusal]:
        """Makes `unknown` final, unless the outcome came meanwhile."""
        lost = intent._replace(state="unknown")
        put = self._keyvalue.put(entry.key, pack(lost), entry.revision)
        if isinstance(put, result.Ok):
            return result.Err(_UNKNOWN)
        # Somebody settled it, or the platform is out: ask again.
        return result.Err(_IN_PROGRESS)

    def _is_held(self, name: str, nonce: str) -> bool:
        with self._lock:
            if self._running.get(name) == nonce:
                return True
            claim, _ = self._unwritten.get(name, (None, None))
        return claim is not None and claim.intent.nonce == nonce

    def _on_question(self, vm: str, question: Question) -> Answer:
        del vm
        return Answer(self._is_held(question.name, question.nonce))

    def _repair_often(self) -> None:
        while not self._stopping.wait(_REPAIR_S):
            self._repair()

    def _repair(self) -> None:
        with self._lock:
            unwritten = tuple(self._unwritten.values())
        for claim, intent in unwritten:
            self._write(claim, intent)


def _is_ours(entry: services.Entry | None, nonce: str) -> bool:
    if entry is None:
        return False
    intent = unpack(entry.value)
    # A key that another VM gave up keeps our nonce, but is no longer ours:
    # undoing or answering it would take back the "unknown" a caller was told.
    return intent is not None and (intent.nonce, intent.state) == (
        nonce,
        "sent",
    )


def _is_over(
    written: result.Result[Any, services.KeyValueError],
) -> bool:
    # On a conflict somebody else declared the outcome unknown, which stays.
    return (
        isinstance(written, result.Ok) or written.err_value.kind == "conflict"
    )


_UNAVAILABLE = services.Refusal(
    503,
    "platform_unavailable",
    "The idempotency key cannot be recorded now.",
    retry_after_s=_RETRY_AFTER_S,
)
_IN_PROGRESS = services.Refusal(
    409,
    "in_progress",
    "A request with this idempotency key is under way.",
    "unknown",
    _RETRY_AFTER_S,
)
_UNKNOWN = services.Refusal(
    409,
    "outcome_unknown",
    "Whether the request with this idempotency key ran is not known.",
    "unknown",
)
_NOT_KEPT = services.Refusal(
    409,
    "already_answered",
    "The request was answered before; its answer was too large to keep.",
    "ran",
)
_OTHER_REQUEST = services.Refusal(
    422,
    "idempotency_key_reused",
    "The idempotency key was used for another request.",
    field="Idempotency-Key",
)
