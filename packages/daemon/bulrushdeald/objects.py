"""Immutable objects in the bulk stores, and the messages that move them."""

import hashlib
import re
from typing import Literal, NamedTuple

# A piece and its envelope stay below 256 KB, so that a message of another
# service never waits long behind one on the same connection.
PIECE_BYTES = 240 * 1024
_NAME = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9_.-]*(/[A-Za-z0-9_.-]+)*")

Status = Literal["ok", "missing", "fenced", "full", "broken"]


class ObjectRef(NamedTuple):
    """Names one immutable object and says where it was written.

    Attributes:
        name: Unique for ever; never written with other content.
        size_bytes: Its length.
        checksum: SHA-256 in hexadecimal.
        stores: The VMs that held it first; later copies may be elsewhere.
    """

    name: str
    size_bytes: int
    checksum: str
    stores: tuple[str, ...]


class StorePut(NamedTuple):
    """One piece of an object; the last piece makes it durable.

    Attributes:
        upload: A random name of this attempt to write.
        name: The object's name.
        partner: The VM that holds the other copy; empty if there is none.
        written_wall_s: When it was first written; it expires from then.
        size_bytes: The whole object's length.
        checksum: The whole object's SHA-256 in hexadecimal.
        offset_bytes: Where this piece begins.
        data: The piece.
    """

    upload: str
    name: str
    partner: str
    written_wall_s: float
    size_bytes: int
    checksum: str
    offset_bytes: int
    data: bytes


class StoreGet(NamedTuple):
    """Asks for a range of an object."""

    name: str
    offset_bytes: int
    size_bytes: int


class StoreRetag(NamedTuple):
    """Says that the other copy of an object is on another VM now."""

    name: str
    partner: str


class StoreDelete(NamedTuple):
    """Deletes an object; deleting none is fine."""

    name: str


class StoreList(NamedTuple):
    """Asks for names beginning with `prefix`, after `after` in order."""

    prefix: str
    after: str
    limit: int


class StoreReply(NamedTuple):
    """How a write or deletion went."""

    status: Status
    message: str = ""


class StorePiece(NamedTuple):
    """A range of an object.

    Attributes:
        status: Whether there is such an object.
        size_bytes: The whole object's length.
        checksum: The whole object's SHA-256 in hexadecimal.
        written_wall_s: When it was first written.
        data: The bytes asked for, fewer at the end.
    """

    status: Status
    size_bytes: int = 0
    checksum: str = ""
    written_wall_s: float = 0.0
    data: bytes = b""


class StoreNames(NamedTuple):
    """Some names in order."""

    names: tuple[str, ...]


REQUESTS = (StorePut, StoreGet, StoreRetag, StoreDelete, StoreList)
ANSWERS = (StoreReply, StorePiece, StoreNames)


def is_name(name: str) -> bool:
    """Tells whether an object may have this name."""
    return bool(_NAME.fullmatch(name)) and ".." not in name


def checksum(data: bytes) -> str:
    """Returns the SHA-256 of `data` in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
