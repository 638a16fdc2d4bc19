"""Shifts a process's wall clock by the number of seconds in a file.

The gateway uses the wall clock only for the age of batch jobs.
"""

import os
import pathlib
import time

_OFFSET_FILE = pathlib.Path(os.environ.get("SOAK_CLOCK", ""))
_REREAD_S = 0.2
_system_time = time.time
# When the file was last read, and the offset in seconds that it held.
_last_read = [0.0, 0.0]


def _shifted_time() -> float:
    now_s = _system_time()
    if now_s - _last_read[0] > _REREAD_S:
        _last_read[0] = now_s
        try:
            _last_read[1] = float(_OFFSET_FILE.read_text())
        except (OSError, ValueError):
            _last_read[1] = 0.0
    return now_s + _last_read[1]


time.time = _shifted_time
