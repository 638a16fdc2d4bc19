"""Filters the headers that pass between callers and upstreams."""

from collections.abc import Iterable, Iterator, Mapping
import urllib.parse

# Headers of one connection only, by the HTTP standard or by convention.
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
# Headers that this system sets itself on requests to upstreams.
_SET_BY_SYSTEM = frozenset(
    {"authorization", "content-length", "expect", "host", "idempotency-key"}
)


def bearer(headers: Mapping[str, str]) -> str:
    """Returns the bearer key in the `Authorization` header, empty if none."""
    scheme, _, key = headers.get("authorization", "").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def for_upstream(headers: Mapping[str, str], key: str) -> dict[str, str]:
    """Returns those of a caller's headers that an upstream may see.

    No upstream may see the caller's key. Besides `Authorization`, each header
    is dropped whose name or value contains the key, plain or URL-encoded.

    Args:
        headers: The caller's headers, with names in lower case.
        key: The caller's key, not empty.
    """
    dropped = (
        _HOP_BY_HOP
        | _SET_BY_SYSTEM
        | _connection_options(headers.get("connection", ""))
    )
    return {
        name: value
        for name, value in headers.items()
        if name not in dropped and not holds(name, value, key=key)
    }


def without_connection(headers: Mapping[str, str]) -> dict[str, str]:
    """Returns the headers that may be sent on any upstream connection."""
    dropped = _HOP_BY_HOP | {"authorization", "host", "expect"}
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in dropped
    }


def for_caller(
    headers: Iterable[tuple[str, str]], is_chunked: bool
) -> tuple[tuple[str, str], ...]:
    """Returns those of an upstream's headers that the caller may see.

    Args:
        headers: The upstream's headers.
        is_chunked: Whether the body is chunked; `Content-Length` is then
            invalid and dropped.
    """
    items = tuple(headers)
    named = ",".join(
        value for name, value in items if name.lower() == "connection"
    )
    dropped = _HOP_BY_HOP | _connection_options(named)
    if is_chunked:
        dropped |= {"content-length"}
    return tuple(
        (name, value) for name, value in items if name.lower() not in dropped
    )


def holds(*texts: str, key: str) -> bool:
    """Returns whether a text contains the key, plain or URL-encoded."""
    return any(key.lower() in form for form in _decoded_forms(texts))


def _decoded_forms(texts: Iterable[str]) -> Iterator[str]:
    # An HTTP library here or at the upstream may change the case or decode
    # escapes, so all these forms are compared.
    for text in texts:
        yield text.lower()
        yield urllib.parse.unquote_plus(text).lower()


def _connection_options(connection: str) -> frozenset[str]:
    return frozenset(name.strip().lower() for name in connection.split(","))
