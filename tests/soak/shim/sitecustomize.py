"""Puts the time of day of a process off by what a file says.

The gateway goes by the time of day only for the age of batch jobs.
"""

import os
import pathlib
import time

_FILE = pathlib.Path(os.environ.get("SOAK_CLOCK", ""))
_REREAD_S = 0.2
_real = time.time
_held = [0.0, 0.0]


def _shifted() -> float:
    now_s = _real()
    if now_s - _held[0] > _REREAD_S:
        _held[0] = now_s
        try:
            _held[1] = float(_FILE.read_text())
        except (OSError, ValueError):
            _held[1] = 0.0
    return now_s + _held[1]


time.time = _shifted
