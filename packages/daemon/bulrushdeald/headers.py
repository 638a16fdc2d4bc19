"""Decides which headers go from one side of the system to the other."""

from collections.abc import Iterable, Iterator, Mapping
import urllib.parse

# What belongs to one connection, by the HTTP standard and by use.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# What this system says itself towards an upstream.
_OWN = frozenset(
    {"authorization", "content-length", "expect", "host", "idempotency-key"}
)


def bearer(headers: Mapping[str, str]) -> str:
    """Returns the key in the `Authorization` header, empty if none."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def for_upstream(headers: Mapping[str, str], key: str) -> dict[str, str]:
    """Returns a caller's headers as an upstream may see them.

    The caller's key goes to no upstream: besides `Authorization`, each
    header is dropped whose name or value holds it, plain or escaped.

    Args:
        headers: The caller's, with names in lower case.
        key: The caller's key, not empty.
    """
    dropped = _HOP_BY_HOP | _OWN | _named(headers.get("connection", ""))
    return {
        name: value
        for name, value in headers.items()
        if name not in dropped and not holds(name, value, key=key)
    }


def without_connection(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns headers that may go on any connection to an upstream."""
    dropped = _HOP_BY_HOP | {"authorization", "host", "expect"}
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in dropped
    }


def for_caller(
    headers: Iterable[tuple[str, str]], is_chunked: bool
) -> tuple[tuple[str, str], ...]:
    """Returns an upstream's headers as the caller may see them.

    Args:
        headers: The upstream's.
        is_chunked: Whether the body came chunked; a length given besides
            is wrong then.
    """
    items = tuple(headers)
    named = ",".join(
        value for name, value in items if name.lower() == "connection"
    )
    dropped = _HOP_BY_HOP | _named(named)
    if is_chunked:
        dropped |= {"content-length"}
    return tuple(
        (name, value) for name, value in items if name.lower() not in dropped
    )


def holds(*texts: str, key: str) -> bool:
    """Tells whether the key stands in one of the texts, plain or escaped."""
    return any(key.lower() in form for form in _forms(texts))


def _forms(texts: Iterable[str]) -> Iterator[str]:
    # A server's library may fold case or undo escapes before we or the
    # upstream look.
    for text in texts:
        yield text.lower()
        yield urllib.parse.unquote_plus(text).lower()


def _named(connection: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in connection.split(","))
