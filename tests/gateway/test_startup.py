"""What a gateway does before it serves."""

import subprocess
import sys

# Parts that only the other programs need.
_NOT_NEEDED = ("bulrushdeald.assembly", "bulrushdeald.callers", "cleo")


def test_a_gateway_loads_no_other_program() -> None:
    """Callers find nobody there while a killed process starts again."""
    code = "import sys, gateway.assembly; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", code],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    assert "gateway.assembly" in loaded
    assert not set(_NOT_NEEDED) & set(loaded)
