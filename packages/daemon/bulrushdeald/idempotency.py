"""Guards one request by its `Idempotency-Key`, if it has one."""

import result

from bulrushdeal import httpd
from bulrushdeald import calls
from bulrushdeald import intents
from bulrushdeald import refusals
from bulrushdeald import services

HEADER = "idempotency-key"
_MAX_KEY_BYTES = 255
# A larger answer is not kept; the platform's service holds small values.
_MAX_KEPT_BYTES = 64 * 1024


class Guard:
    """Follows one request from before it is sent until its outcome.

    Without a key it does nothing. Each method but `before_send` may be
    called whether or not the intent was recorded.
    """

    def __init__(
        self,
        owner: intents.Intents | None = None,
        name: str = "",
        fingerprint: str = "",
    ) -> None:
        self._owner = owner
        self._name = name
        self._fingerprint = fingerprint
        self._claim: intents.Claim | None = None
        self._parts: list[bytes] = []
        self._size_bytes = 0

    @property
    def is_keyed(self) -> bool:
        """Whether the request may run at most once."""
        return self._owner is not None

    def before_send(self) -> services.Refusal | None:
        """Records the intent; a refusal means that nothing may be sent."""
        if self._owner is None or self._claim is not None:
            return None
        claimed = self._owner.claim(self._name, self._fingerprint)
        if isinstance(claimed, result.Err):
            return claimed.err_value
        self._claim = claimed.ok_value
        return None

    def note(self, data: bytes) -> None:
        """Remembers a piece of the answer's body while it is small."""
        if self._claim is None:
            return
        self._size_bytes += len(data)
        if self._size_bytes <= _MAX_KEPT_BYTES:
            self._parts.append(data)

    def answered(
        self, status: int, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Keeps the whole answer."""
        owner, claim = self._owner, self._take()
        if owner is None or claim is None:
            return
        is_small = self._size_bytes <= _MAX_KEPT_BYTES
        body = b"".join(self._parts) if is_small else None
        owner.answered(claim, intents.reply_of(status, headers, body))

    def failed(self, ran: services.Ran) -> None:
        """Settles a request that brought no whole answer."""
        owner, claim = self._owner, self._take()
        if owner is None or claim is None:
            return
        if ran == "not_run":
            owner.release(claim)
        else:
            owner.unknown(claim)

    def _take(self) -> intents.Claim | None:
        claim, self._claim = self._claim, None
        return claim


def look_up(
    owner: intents.Intents,
    request: httpd.Request,
    call: calls.Call,
    fingerprint: str,
) -> result.Result[Guard, httpd.Response]:
    """Returns the guard of a request that may be sent.

    Returns:
        Otherwise the answer: the one kept from before, or a refusal.
    """
    key = request.headers.get(HEADER)
    if key is None:
        return result.Ok(Guard())
    if not key or len(key) > _MAX_KEY_BYTES:
        return result.Err(refusals.response(_BAD_KEY))
    name = intents.name_of(call.customer, key)
    found = owner.look_up(name, fingerprint)
    if isinstance(found, result.Err):
        return result.Err(refusals.response(found.err_value))
    if found.ok_value is not None:
        return result.Err(_replay(found.ok_value))
    # A caller that gave up waiting sends again with the same key, and then
    # wants the answer: so its leaving does not end the request.
    call.ignore_disconnect()
    return result.Ok(Guard(owner, name, fingerprint))


def _replay(reply: intents.Reply) -> httpd.Response:
    body = intents.body_of(reply)
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


_BAD_KEY = refusals.bad_input(
    f"The key must have 1 to {_MAX_KEY_BYTES} bytes.", "Idempotency-Key"
)
