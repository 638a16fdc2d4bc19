"""The messages with which VMs exchange the configuration."""

from typing import NamedTuple

from bulrushdeald import pages
from bulrushdeald import pageset


class PushChanges(NamedTuple):
    """Sends changes that are new to the sender."""

    changes: tuple[pages.Change, ...]


class PushAnswer(NamedTuple):
    """The number of pushed changes that the receiver applied."""

    new_changes: int


class CompareRevisions(NamedTuple):
    """Asks a peer for its revisions unless its digest is the same."""

    digest: bytes


class PeerRevisions(NamedTuple):
    """The answer to `CompareRevisions`.

    Attributes:
        is_ready: Whether the peer has every page.
        is_same: Whether the digests are the same.
        revisions: The peer's revision of each page, in the order of
            `pages.all_keys`; empty if the digests are the same.
        age_s: Every change accepted more than this many seconds ago is in
            force at the peer; negative if that was never confirmed.
    """

    is_ready: bool
    is_same: bool
    revisions: tuple[int, ...]
    age_s: float


class FetchPages(NamedTuple):
    """Asks for pages by key."""

    keys: tuple[str, ...]


class FetchedPages(NamedTuple):
    """The requested pages, or as many of them as fit in one answer."""

    pages: tuple[pageset.VersionedPage, ...]


class ReadStatus(NamedTuple):
    """Asks a VM which revisions it has in force."""


class PeerStatus(NamedTuple):
    """The revisions in force on a VM.

    Attributes:
        is_ready: Whether the VM has every page.
        revisions: The revision of each page, in the order of
            `pages.all_keys`.
        age_s: Every change accepted more than this many seconds ago is in
            force there; negative if that was never confirmed.
    """

    is_ready: bool
    revisions: tuple[int, ...]
    age_s: float
