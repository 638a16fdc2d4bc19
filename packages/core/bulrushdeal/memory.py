"""Settings of the garbage collector and of the C library's allocator."""

import ctypes
import gc

# The parameter of the C library's `mallopt`.
_M_MMAP_THRESHOLD = -3
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


def return_large_blocks() -> None:
    """Has the C library give large blocks back to the system when freed.

    By default it raises the size from which it does so to that of the largest
    block freed so far, up to 32 MB. From then on each of many threads keeps
    what bodies and pages of that size have taken once. Does nothing with a C
    library that has no such setting.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return
    mallopt(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
