"""Records used idempotency keys in the platform's key-value service.

An intent is written by compare-and-swap before the first byte of a request is
sent, so at most one VM sends it. If that VM is lost before it records an
outcome, the intent stays `unknown` forever, since nothing shows whether the
request ran.
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
from bulrushdeal import jsontext
from bulrushdeal import kernel as kernel_lib
from bulrushdeal import logs
from bulrushdeal import threads
from bulrushdeald import defaults
from bulrushdeald import services

PREFIX = "intents/"
_log = logs.Log("intents")

_REPAIR_INTERVAL_S = 1.0
_PEER_TIMEOUT_S = 1.0
_RETRY_AFTER_S = 1.0

State = Literal["sent", "answered", "unknown"]


class Reply(NamedTuple):
    """An upstream's whole answer, stored to be replayed.

    Attributes:
        status: The HTTP status.
        headers: The headers that the caller received.
        body: The body in Base64.
        is_kept: Whether the body is stored; a large one is not.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: str
    is_kept: bool


class Intent(NamedTuple):
    """The stored record of one idempotency key.

    Attributes:
        fingerprint: The fingerprint of the request; the key is refused for
            any other request.
        vm: The VM that sent the request, or was about to.
        incarnation: The run of that VM's process.
        nonce: Distinguishes this claim from all others.
        state: `sent` until the outcome is recorded: `answered`, or `unknown`
            if nothing shows whether the request ran.
        created_s: When the claim was made, in seconds since the epoch.
        reply: The answer of an `answered` request, else `None`.
    """

    fingerprint: str
    vm: str
    incarnation: str
    nonce: str
    state: State
    created_s: float
    reply: Reply | None = None


class Claim(NamedTuple):
    """The right of one VM to send a request.

    Attributes:
        name: The intent's key in the platform's key-value service.
        intent: The intent as it was written.
        revision: The revision that the write got; -1 if it is not known
            whether the write took effect.
    """

    name: str
    intent: Intent
    revision: int


class Question(NamedTuple):
    """Asks the VM that made a claim whether the request still runs."""

    name: str
    nonce: str


class Answer(NamedTuple):
    """The answer to a `Question`."""

    is_running: bool


def intent_key(customer: str, key: str) -> str:
    """Returns the key-value key for a customer's idempotency key."""
    digest = hashlib.sha256(f"{customer}\0{key}".encode()).hexdigest()
    return PREFIX + digest


def pack(intent: Intent) -> bytes:
    """Serializes an intent for the platform's key-value service."""
    return json.dumps(codec.to_object(intent)).encode()


def unpack(value: bytes) -> Intent | None:
    """Parses a stored intent; returns `None` if the value is not one."""
    try:
        return codec.from_plain(Intent, jsontext.parse(value))
    except (ValueError, codec.CodecError):
        return None


def make_reply(
    status: int, headers: tuple[tuple[str, str], ...], body: bytes | None
) -> Reply:
    """Returns an answer to store; `body` is `None` if it is too large."""
    text = base64.b64encode(body or b"").decode()
    return Reply(status, headers, text, body is not None)


def decode_body(reply: Reply) -> bytes:
    """Returns the stored body, empty if it is not valid Base64."""
    try:
        return base64.b64decode(reply.body)
    except binascii.Error:
        return b""


class Intents:
    """Looks up and claims idempotency keys and records their outcomes."""

    def __init__(
        self, kernel: kernel_lib.Kernel, settings: defaults.Settings
    ) -> None:
        self._kernel = kernel
        self._vm = settings.vm
        self._lock = threading.Lock()
        # The nonces of this process's requests in progress, by name.
        self._running: dict[str, str] = {}
        # Outcomes not yet written, by name; `None` deletes the intent.
        self._unwritten: dict[str, tuple[Claim, Intent | None]] = {}
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None

    def start(self) -> None:
        """See `kernel.Service`."""
        kernel = self._kernel
        self._keyvalue = kernel.find(services.KEYVALUE, services.KeyValue)
        self._membership = kernel.find(services.MEMBERSHIP, services.Membership)
        self._peers: services.Peers | None = None
        if kernel.has(services.PEERS):
            self._peers = kernel.find(services.PEERS, services.Peers)
            self._peers.register_handler(Question, self._on_question)
            self._peers.register_answers(Answer)
        self._thread = threads.start(self._repair_periodically, "intents")

    def stop(self, grace_s: float) -> None:
        """See `kernel.Service`."""
        self._stopping.set()
        if self._thread is not None:
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
        """Returns the stored answer of a key, `None` if the key is unused."""
        found = self._keyvalue.get(name)
        if isinstance(found, result.Err):
            return result.Err(_PLATFORM_UNAVAILABLE)
        if found.ok_value is None:
            return result.Ok(None)
        return self._resolve(found.ok_value, fingerprint)

    def claim(
        self, name: str, fingerprint: str
    ) -> result.Result[Claim, services.Refusal]:
        """Records that this VM is about to send the request.

        Returns:
            The claim, or the final refusal; then nothing may be sent.
        """
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
            # An earlier claim's outcome or deletion may still be unwritten.
            if name in self._running or name in self._unwritten:
                return result.Err(_IN_PROGRESS)
            # Set before the write, since another VM may ask about the intent
            # as soon as it is written.
            self._running[name] = nonce
        put = self._keyvalue.put(name, pack(intent), 0)
        if isinstance(put, result.Ok):
            return result.Ok(Claim(name, intent, put.ok_value))
        error = put.err_value
        if error.kind == "conflict" and _is_unsettled_claim(
            error.current, nonce
        ):
            assert error.current is not None
            return result.Ok(Claim(name, intent, error.current.revision))
        if error.kind == "unknown":
            # Nothing was sent, but the write may have taken effect. If it is
            # not undone, the caller's retries are refused as in progress for
            # a request that never runs.
            self._record_outcome(Claim(name, intent, -1), None)
        with self._lock:
            self._running.pop(name, None)
        conflict = error.kind == "conflict"
        return result.Err(_IN_PROGRESS if conflict else _PLATFORM_UNAVAILABLE)

    def record_answer(self, claim: Claim, reply: Reply) -> None:
        """Records the answer, to be replayed to retries."""
        intent = claim.intent._replace(state="answered", reply=reply)
        self._record_outcome(claim, intent)

    def record_unknown(self, claim: Claim) -> None:
        """Records that nothing shows whether the request ran."""
        self._record_outcome(claim, claim.intent._replace(state="unknown"))

    def release(self, claim: Claim) -> None:
        """Deletes the intent of a request that certainly did not run."""
        self._record_outcome(claim, None)

    def _record_outcome(self, claim: Claim, intent: Intent | None) -> None:
        with self._lock:
            self._unwritten[claim.name] = (claim, intent)
        self._write(claim, intent)
        with self._lock:
            self._running.pop(claim.name, None)

    def _write(self, claim: Claim, intent: Intent | None) -> None:
        """Writes an outcome; after a failure, `_repair` tries again."""
        if claim.revision < 0:
            current = self._keyvalue.get(claim.name)
            if isinstance(current, result.Err):
                return
            if not _is_unsettled_claim(current.ok_value, claim.intent.nonce):
                self._drop_unwritten(claim)
                return
            assert current.ok_value is not None
            claim = claim._replace(revision=current.ok_value.revision)
        if intent is None:
            deleted = self._keyvalue.delete(claim.name, claim.revision)
            is_final = _is_final(deleted)
        else:
            put = self._keyvalue.put(claim.name, pack(intent), claim.revision)
            is_final = _is_final(put)
        if is_final:
            self._drop_unwritten(claim)

    def _drop_unwritten(self, claim: Claim) -> None:
        with self._lock:
            self._unwritten.pop(claim.name, None)

    def _resolve(
        self, entry: services.Entry, fingerprint: str
    ) -> result.Result[Reply | None, services.Refusal]:
        intent = unpack(entry.value)
        if intent is None:
            return result.Err(_OUTCOME_UNKNOWN)
        if intent.fingerprint != fingerprint:
            return result.Err(_KEY_REUSED)
        settled = self._with_unwritten_outcome(entry.key, intent)
        if settled.state == "answered" and settled.reply is not None:
            if not settled.reply.is_kept:
                return result.Err(_ANSWER_NOT_KEPT)
            return result.Ok(settled.reply)
        if settled.state == "unknown":
            return result.Err(_OUTCOME_UNKNOWN)
        if self._may_still_run(entry.key, intent):
            return result.Err(_IN_PROGRESS)
        return self._record_lost(entry, intent)

    def _with_unwritten_outcome(self, name: str, intent: Intent) -> Intent:
        """Returns the intent, with this VM's unwritten outcome if any."""
        with self._lock:
            claim, newer = self._unwritten.get(name, (None, None))
        if claim is None or claim.intent.nonce != intent.nonce:
            return intent
        return newer or intent

    def _may_still_run(self, name: str, intent: Intent) -> bool:
        """Returns whether a `sent` intent may still get its outcome."""
        own = (self._vm, self._membership.incarnation())
        if (intent.vm, intent.incarnation) == own:
            return self._is_in_progress_here(name, intent.nonce)
        if intent.vm == self._vm:
            # An earlier run of this VM's process made the claim.
            return False
        if self._peers is not None:
            asked = self._peers.call(
                intent.vm, Question(name, intent.nonce), _PEER_TIMEOUT_S
            )
            # The list of VMs lags, so the VM's own answer takes precedence.
            if isinstance(asked, result.Ok):
                return bool(asked.ok_value.is_running)
        # A VM that cannot be reached may still run while it is listed.
        return self._membership.is_listed(intent.vm)

    def _record_lost(
        self, entry: services.Entry, intent: Intent
    ) -> result.Result[Reply | None, services.Refusal]:
        """Records the outcome as unknown unless the intent has changed."""
        unknown = intent._replace(state="unknown")
        put = self._keyvalue.put(entry.key, pack(unknown), entry.revision)
        if isinstance(put, result.Ok):
            return result.Err(_OUTCOME_UNKNOWN)
        # The outcome was recorded meanwhile, or the platform is unavailable:
        # the caller has to retry.
        return result.Err(_IN_PROGRESS)

    def _is_in_progress_here(self, name: str, nonce: str) -> bool:
        with self._lock:
            if self._running.get(name) == nonce:
                return True
            claim, _ = self._unwritten.get(name, (None, None))
        return claim is not None and claim.intent.nonce == nonce

    def _on_question(self, vm: str, question: Question) -> Answer:
        del vm
        return Answer(self._is_in_progress_here(question.name, question.nonce))

    def _repair_periodically(self) -> None:
        while not self._stopping.wait(_REPAIR_INTERVAL_S):
            self._repair()

    def _repair(self) -> None:
        with self._lock:
            unwritten = tuple(self._unwritten.values())
        for claim, intent in unwritten:
            self._write(claim, intent)


def _is_unsettled_claim(entry: services.Entry | None, nonce: str) -> bool:
    if entry is None:
        return False
    intent = unpack(entry.value)
    # An intent that another VM recorded as unknown keeps the claim's nonce.
    # Deleting or answering it would contradict the "unknown" that a caller
    # has already received.
    return intent is not None and (intent.nonce, intent.state) == (
        nonce,
        "sent",
    )


def _is_final(
    written: result.Result[Any, services.KeyValueError],
) -> bool:
    # A conflict means that another VM recorded the outcome as unknown, which
    # is final.
    return (
        isinstance(written, result.Ok) or written.err_value.kind == "conflict"
    )


_PLATFORM_UNAVAILABLE = services.Refusal(
    503,
    "platform_unavailable",
    "The idempotency key cannot be recorded now.",
    retry_after_s=_RETRY_AFTER_S,
)
_IN_PROGRESS = services.Refusal(
    409,
    "in_progress",
    "A request with this idempotency key is in progress.",
    "unknown",
    _RETRY_AFTER_S,
)
_OUTCOME_UNKNOWN = services.Refusal(
    409,
    "outcome_unknown",
    "It is not known whether the request with this idempotency key ran.",
    "unknown",
)
_ANSWER_NOT_KEPT = services.Refusal(
    409,
    "already_answered",
    "The request was answered before; its answer was too large to keep.",
    "ran",
)
_KEY_REUSED = services.Refusal(
    422,
    "idempotency_key_reused",
    "The idempotency key was used for another request.",
    field="Idempotency-Key",
)
