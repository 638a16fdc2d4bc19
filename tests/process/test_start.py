"""How the gateway's process starts."""

import os
import pathlib
import signal
import subprocess
import sys

_RUN = pathlib.Path(__file__).resolve().parents[2] / "platform" / "run.py"


def test_a_reload_before_the_process_is_ready_does_not_end_it() -> None:
    """Operators have a settings file read again while a process starts.

    Until the handlers are there SIGHUP ends the process, and the requests
    that its callers had kept for it are lost.
    """
    # The signal comes with the first import of the program's own.
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
