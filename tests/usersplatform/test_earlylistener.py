"""The callers' port, open before the gateway is."""

import pathlib
import socket

import pytest

from bulrushplatform import earlylistener


def _listen(path: pathlib.Path) -> socket.socket | None:
    return earlylistener.listen({"FILE": str(path)}, "FILE")


def test_callers_connect_before_the_gateway_has_started(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text('[listen]\nfront = "127.0.0.1:0"\n')
    listener = _listen(path)
    assert listener is not None
    with listener, socket.create_connection(listener.getsockname(), 1.0):
        accepted, _ = listener.accept()
        accepted.close()


@pytest.mark.parametrize(
    "text",
    [
        "front =",
        "",
        "listen = 3",
        "[listen]\nfront = 3",
        '[listen]\nfront = "127.0.0.1:x"',
        '[listen]\nfront = "nowhere"',
    ],
)
def test_unusable_settings_are_left_to_the_gateway(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    assert _listen(path) is None


def test_a_file_that_is_not_there_is_left_to_the_gateway(
    tmp_path: pathlib.Path,
) -> None:
    assert _listen(tmp_path / "missing") is None
    assert earlylistener.listen({}, "FILE") is None
