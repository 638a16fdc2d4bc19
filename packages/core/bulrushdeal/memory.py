"""Settings of the garbage collector and of the C library's allocator."""

import ctypes
import gc

# Parameters of the C library's `mallopt`.
_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8
_LARGE_BLOCK_BYTES = 64 * 1024


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


def limit_allocator() -> None:
    """Has the C library keep little of what was freed.

    By default it gives threads heaps of their own, and what one thread has
    freed is of no use to the others: hundreds of threads that hold bodies by
    turns take several times the memory of the bodies. The interpreter lets one
    thread run at a time, so that one heap costs nothing.

    It also raises the size from which freed blocks go back to the system to
    that of the largest block freed so far, up to 32 MB. Does nothing with a C
    library that has no such settings.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_M_ARENA_MAX, 1)
    mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
