"""Runs `bulrushdeald` and tells what its threads have spent so far.

On SIGUSR2 it writes one line to its output: `threads` and a JSON object of
processor time and wakeups by thread, from Linux's accounting.
"""

import json
import pathlib
import signal
import threading
from typing import Any, NamedTuple

from bulrushdeald import main as daemon_main

MARK = "threads "
_SWITCHES = "voluntary_ctxt_switches:"


class Spent(NamedTuple):
    """What one thread has spent since it began.

    Attributes:
        name: The thread's name.
        processor_s: Processor time.
        wakeups: How often it waited and ran again.
    """

    name: str
    processor_s: float
    wakeups: int


def read() -> dict[int, Spent]:
    """Returns what each thread of this process has spent, by its id."""
    names = {thread.native_id: thread.name for thread in threading.enumerate()}
    found: dict[int, Spent] = {}
    for folder in pathlib.Path("/proc/self/task").iterdir():
        try:
            run_ns = int((folder / "schedstat").read_text().split()[0])
            status = (folder / "status").read_text()
        except OSError:
            # The thread has just ended.
            continue
        wakeups = next(
            int(line.split()[1])
            for line in status.splitlines()
            if line.startswith(_SWITCHES)
        )
        number = int(folder.name)
        name = names.get(number, "not of Python")
        found[number] = Spent(name, run_ns / 1e9, wakeups)
    return found


def _on_signal(number: int, frame: Any) -> None:
    del number, frame
    print(MARK + json.dumps(read()), flush=True)


def main() -> None:
    """Runs the daemon with the command line that it has."""
    signal.signal(signal.SIGUSR2, _on_signal)
    daemon_main.main()


if __name__ == "__main__":
    main()
