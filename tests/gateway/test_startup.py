"""The start of the gateway's process."""

import subprocess
import sys

# Modules that only the other programs need.
_UNNEEDED_MODULES = ("bulrushdeald.assembly", "bulrushdeald.callers", "cleo")


def test_the_gateway_imports_no_modules_of_other_programs() -> None:
    """Needless imports lengthen the restart of a killed process.

    Callers cannot connect to the VM until the process has started.
    """
    code = "import sys, gateway.assembly; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    assert "gateway.assembly" in loaded
    assert not set(_UNNEEDED_MODULES) & set(loaded)
