"""What a process does about its own memory."""

import gc


def keep_started_objects() -> None:
    """Takes all objects made so far out of the garbage collector's sight.

    The failure: when batch work brings many new objects, the collector looks
    through all old ones as well, most of them of imported modules, and every
    stream of this VM stands still meanwhile. It shows as one late token on
    each of them. What is kept here lives as long as the process.
    """
    gc.collect()
    gc.freeze()
