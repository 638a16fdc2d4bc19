"""Runs `bulrushdeald` and prints the use of its threads on a signal.

On SIGUSR2, it writes one line to its output: `threads` and a JSON object of
the processor time and wakeups of each thread, from Linux's accounting.
"""

import json
import pathlib
import signal
import threading
from typing import Any, NamedTuple

from bulrushdeald import main as daemon_main

MARK = "threads "
_SWITCHES_FIELD = "voluntary_ctxt_switches:"


class ThreadUsage(NamedTuple):
    """What one thread has used since it began.

    Attributes:
        name: Name of the thread.
        processor_s: Processor time.
        wakeups: Number of times that it ran again after a wait.
    """

    name: str
    processor_s: float
    wakeups: int


def read_thread_usage() -> dict[int, ThreadUsage]:
    """Returns what each thread of this process has used, by its native id."""
    names = {thread.native_id: thread.name for thread in threading.enumerate()}
    found: dict[int, ThreadUsage] = {}
    for folder in pathlib.Path("/proc/self/task").iterdir():
        try:
            run_ns = int((folder / "schedstat").read_text().split()[0])
            status = (folder / "status").read_text()
        except OSError:
            # The thread has ended since the directory was listed.
            continue
        wakeups = next(
            int(line.split()[1])
            for line in status.splitlines()
            if line.startswith(_SWITCHES_FIELD)
        )
        number = int(folder.name)
        name = names.get(number, "non-Python")
        found[number] = ThreadUsage(name, run_ns / 1e9, wakeups)
    return found


def _on_signal(number: int, frame: Any) -> None:
    del number, frame
    print(MARK + json.dumps(read_thread_usage()), flush=True)


def main() -> None:
    """Runs the daemon with this process's command line."""
    signal.signal(signal.SIGUSR2, _on_signal)
    daemon_main.main()


if __name__ == "__main__":
    main()
