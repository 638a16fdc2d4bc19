"""Seeds that broke a promise once, each with its cause."""

from typing import NamedTuple


class Kept(NamedTuple):
    """A seed, and why it failed then."""

    seed: int
    cause: str


SEEDS = (
    Kept(2, "SIGHUP ended a process that was starting"),
    Kept(2, "two VMs killed at once: new owners gave out whole rates"),
    Kept(31, "the stand-in engine ran a request that was cut off"),
    Kept(147, "VMs were missing in lists and owned customers beside others"),
    Kept(148, "the same, and an entry went with a lease that was not its own"),
    Kept(831990, "likely three owners in one window, each with its opening"),
)
