"""The messages by which VMs pass the configuration on to each other."""

from typing import NamedTuple

from bulrushdeald import pages
from bulrushdeald import pageset


class PushChanges(NamedTuple):
    """Passes on what a VM has just learned."""

    changes: tuple[pages.Change, ...]


class PushAnswer(NamedTuple):
    """Says how many of the changes were new to the VM."""

    new_changes: int


class CompareRevisions(NamedTuple):
    """Asks whether the peer holds anything later."""

    digest: bytes


class PeerRevisions(NamedTuple):
    """The answer to a comparison.

    Attributes:
        is_ready: Whether the peer holds every page.
        is_same: Whether the digests are the same.
        revisions: In the order of `pages.all_keys`; empty if the same.
        age_s: All changes accepted so long ago are in force at the peer;
            less than 0 if it was never confirmed.
    """

    is_ready: bool
    is_same: bool
    revisions: tuple[int, ...]
    age_s: float


class FetchPages(NamedTuple):
    """Asks for pages by key."""

    keys: tuple[str, ...]


class FetchedPages(NamedTuple):
    """Some of the pages asked for, as many as one answer may hold."""

    pages: tuple[pageset.PageAt, ...]


class ReadStatus(NamedTuple):
    """Asks what is in force on a VM."""


class PeerStatus(NamedTuple):
    """What is in force on a VM.

    Attributes:
        is_ready: Whether it has a configuration.
        revisions: In the order of `pages.all_keys`.
        age_s: All changes accepted so long ago are in force there; less
            than 0 if it was never confirmed.
    """

    is_ready: bool
    revisions: tuple[int, ...]
    age_s: float
