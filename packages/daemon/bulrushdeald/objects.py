"""References to objects in the bulk stores, and the stores' messages."""

import hashlib
import re
from typing import Literal, NamedTuple

# A piece and its envelope stay below 256 KB, so that a message of another
# service on the same connection does not wait long behind it.
PIECE_BYTES = 240 * 1024
_NAME = re.compile(r"[A-Za-z0-9_-][A-Za-z0-9_.-]*(/[A-Za-z0-9_.-]+)*")

Status = Literal["ok", "missing", "fenced", "full", "broken"]


class ObjectRef(NamedTuple):
    """A reference to an immutable object.

    Attributes:
        name: A unique name that is never reused for other content.
        size_bytes: The object's length.
        checksum: The object's SHA-256 in hexadecimal.
        stores: The VMs that it was first written to; repair may have put
            copies on other VMs since.
    """

    name: str
    size_bytes: int
    checksum: str
    stores: tuple[str, ...]


class StorePut(NamedTuple):
    """Writes one piece of an object; the last piece makes it durable.

    Attributes:
        upload: A random id of this attempt to write the object.
        name: The object's name.
        partner: The VM that holds the other copy; empty if there is none.
        written_wall_s: When the object was first written, from which its
            retention time counts.
        size_bytes: The whole object's length.
        checksum: The whole object's SHA-256 in hexadecimal.
        offset_bytes: The offset of this piece in the object.
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
    """Requests a range of an object."""

    name: str
    offset_bytes: int
    size_bytes: int


class StoreRetag(NamedTuple):
    """Records that another VM now holds the other copy of an object."""

    name: str
    partner: str


class StoreDelete(NamedTuple):
    """Deletes an object; succeeds if there is no such object."""

    name: str


class StoreList(NamedTuple):
    """Requests the names with a prefix, in order.

    Attributes:
        prefix: What the names begin with.
        after: Names up to and including this one are left out.
        limit: The greatest number of names to return.
    """

    prefix: str
    after: str
    limit: int


class StoreReply(NamedTuple):
    """The outcome of a write, retag or deletion.

    Attributes:
        status: `fenced` if other content is stored under the name, `full` if
            the disk is full, `broken` for any other failure.
        message: The cause of a failure; `held` if the object was already
            stored with this content.
    """

    status: Status
    message: str = ""


class StorePiece(NamedTuple):
    """A range of an object.

    Attributes:
        status: `ok`, or `missing` if there is no such object.
        size_bytes: The whole object's length.
        checksum: The whole object's SHA-256 in hexadecimal.
        written_wall_s: When the object was first written.
        data: The bytes of the range; fewer than requested at the end of the
            object, and at most `PIECE_BYTES`.
    """

    status: Status
    size_bytes: int = 0
    checksum: str = ""
    written_wall_s: float = 0.0
    data: bytes = b""


class StoreNames(NamedTuple):
    """Names of objects in order."""

    names: tuple[str, ...]


REQUESTS = (StorePut, StoreGet, StoreRetag, StoreDelete, StoreList)
ANSWERS = (StoreReply, StorePiece, StoreNames)


def is_valid_name(name: str) -> bool:
    """Returns whether an object may have this name."""
    return bool(_NAME.fullmatch(name)) and ".." not in name


def checksum(data: bytes) -> str:
    """Returns the SHA-256 of `data` in hexadecimal."""
    return hashlib.sha256(data).hexdigest()
