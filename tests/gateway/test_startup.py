"""The start of the gateway's process."""

from concurrent import futures
import os
import pathlib
import signal
import socket
import subprocess
import sys

from support import gatewayscene

_RUN = pathlib.Path(__file__).parents[2] / "platform" / "run.py"
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


def test_a_request_sent_before_the_start_is_served(
    scene: gatewayscene.Scene,
) -> None:
    """All processes are killed, and callers connect while they start again.

    Refused, they would try another VM that is starting, too, and give up.
    """
    scene.add_engine()
    listener = socket.create_server(("127.0.0.1", 0))
    vm = gatewayscene.Vm("vm1", "d1", scene.store, listener=listener)
    scene.vms.append(vm)
    with futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(
            vm.call_port, listener.getsockname()[1], "POST", "/s/x", b"p"
        )
        vm.start()
        assert answer.result().status == 200


def test_a_stop_during_the_start_is_no_error(tmp_path: pathlib.Path) -> None:
    """The platform stops a process whose modules are still imported."""
    settings = tmp_path / "settings.toml"
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, str(_RUN)],
        env={**os.environ, "BULRUSHDEAL_CONFIG": str(settings)},
    )
    # Opens once the process reads its settings, before most imports.
    with settings.open("w"):
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
