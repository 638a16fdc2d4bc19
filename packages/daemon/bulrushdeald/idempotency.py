"""Runs a request with an `Idempotency-Key` at most once."""

import result

from bulrushdeal import heldbytes
from bulrushdeal import httpd
from bulrushdeald import calls
from bulrushdeald import intents
from bulrushdeald import refusals
from bulrushdeald import services

HEADER = "idempotency-key"
_MAX_KEY_BYTES = 255
# Larger bodies are not stored, since the platform's key-value service is for
# small values.
_MAX_STORED_BYTES = 64 * 1024


class Guard:
    """Records one request's intent before it is sent, and then its outcome.

    A guard without an idempotency key does nothing. The methods other than
    `before_send` may be called whether or not the intent was recorded.
    """

    def __init__(
        self,
        store: intents.Intents | None = None,
        name: str = "",
        fingerprint: str = "",
    ) -> None:
        self._store = store
        self._name = name
        self._fingerprint = fingerprint
        self._claim: intents.Claim | None = None
        self._body = heldbytes.HeldBytes()
        self._size_bytes = 0

    @property
    def is_keyed(self) -> bool:
        """Whether the request may run at most once."""
        return self._store is not None

    def before_send(self) -> services.Refusal | None:
        """Records the intent; after a refusal nothing may be sent."""
        if self._store is None or self._claim is not None:
            return None
        claimed = self._store.claim(self._name, self._fingerprint)
        if isinstance(claimed, result.Err):
            return claimed.err_value
        self._claim = claimed.ok_value
        return None

    def note(self, data: bytes) -> None:
        """Buffers a chunk of the answer's body while the body is small."""
        if self._claim is None:
            return
        self._size_bytes += len(data)
        if self._size_bytes <= _MAX_STORED_BYTES:
            self._body.add(data)

    def answered(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Records the whole answer."""
        store, claim = self._store, self._take_claim()
        if store is None or claim is None:
            return
        is_small = self._size_bytes <= _MAX_STORED_BYTES
        body = self._body.take_all() if is_small else None
        store.record_answer(claim, intents.make_reply(status, headers, body))

    def failed(self, ran: services.ExecutionStatus) -> None:
        """Records the outcome of a request without a whole answer."""
        store, claim = self._store, self._take_claim()
        if store is None or claim is None:
            return
        if ran == "not_run":
            store.release(claim)
        else:
            store.record_unknown(claim)

    def _take_claim(self) -> intents.Claim | None:
        claim, self._claim = self._claim, None
        return claim


def look_up(
    store: intents.Intents,
    request: httpd.Request,
    call: calls.Call,
    fingerprint: str,
) -> result.Result[Guard, httpd.Response]:
    """Looks up a request's idempotency key before the request is placed.

    Returns:
        The guard of a request that may be sent, or else the response: the
        stored answer or a refusal.
    """
    key = request.headers.get(HEADER)
    if key is None:
        return result.Ok(Guard())
    if not key or len(key) > _MAX_KEY_BYTES:
        return result.Err(refusals.response(_INVALID_KEY))
    name = intents.intent_key(call.customer, key)
    found = store.look_up(name, fingerprint)
    if isinstance(found, result.Err):
        return result.Err(refusals.response(found.err_value))
    if found.ok_value is not None:
        return result.Err(_replay(found.ok_value))
    # A caller that stops waiting retries with the same key and then needs the
    # answer, so its disconnect does not end the request.
    call.ignore_disconnect()
    return result.Ok(Guard(store, name, fingerprint))


def _replay(reply: intents.Reply) -> httpd.Response:
    body = intents.decode_body(reply)
    headers = tuple(
        (name, value)
        for name, value in reply.headers
        if name.lower() != "content-length"
    )
    return httpd.Response(
        reply.status,
        (
            *headers,
            ("Content-Length", str(len(body))),
            ("Idempotent-Replayed", "true"),
        ),
        (body,),
    )


_INVALID_KEY = refusals.bad_input(
    f"The idempotency key must have 1 to {_MAX_KEY_BYTES} bytes.",
    "Idempotency-Key",
)
