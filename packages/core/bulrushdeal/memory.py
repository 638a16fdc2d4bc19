"""Settings of the garbage collector."""

import gc


def freeze_startup_objects() -> None:
    """Excludes all existing objects from garbage collection, and enables it.

    When batch work creates many new objects, a full collection also traverses
    all old ones, most of which belong to imported modules. Every stream of the
    VM pauses meanwhile and has one late token. The excluded objects live as
    long as the process.
    """
    gc.collect()
    gc.freeze()
    gc.enable()
