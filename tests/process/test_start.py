"""Tests the start of the gateway's process."""

import os
import pathlib
import signal
import subprocess
import sys

_RUN = pathlib.Path(__file__).resolve().parents[2] / "platform" / "run.py"


def test_a_reload_before_the_process_is_ready_does_not_end_it() -> None:
    """Guards against a SIGHUP that ends a process while it starts.

    Operators send SIGHUP to reload the settings file. Before a handler is
    installed it would end the process and lose the requests that callers hold
    for it.
    """
    # The signal is raised at the first import of the package `bulrushdeal`.
    code = (
        "import runpy, signal, sys\n"
        "class Finder:\n"
        "    def find_spec(self, name, path=None, target=None):\n"
        "        if name == 'bulrushdeal':\n"
        "            signal.raise_signal(signal.SIGHUP)\n"
        "sys.meta_path.insert(0, Finder())\n"
        f"sys.path.insert(0, {str(_RUN.parent)!r})\n"
        f"runpy.run_path({str(_RUN)!r}, run_name='__main__')\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        env={"PATH": os.environ["PATH"]},
        capture_output=True,
        check=False,
        timeout=60,
    )
    assert done.returncode != -signal.SIGHUP
    assert b"BULRUSHDEAL_CONFIG is not set" in done.stderr
