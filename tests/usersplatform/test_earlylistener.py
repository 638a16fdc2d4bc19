"""The callers' port, open before the gateway is."""

import socket

import pytest

from bulrushplatform import earlylistener


def test_callers_connect_before_the_gateway_has_started() -> None:
    listener = earlylistener.listen("127.0.0.1:0")
    assert listener is not None
    with listener, socket.create_connection(listener.getsockname(), 1.0):
        accepted, _ = listener.accept()
        accepted.close()


@pytest.mark.parametrize(
    "address", ["", "127.0.0.1:x", "127.0.0.1:99999", "256.0.0.1:1"]
)
def test_an_unusable_address_is_left_to_the_gateway(address: str) -> None:
    assert earlylistener.listen(address) is None


def test_an_address_in_use_is_left_to_the_gateway() -> None:
    with socket.create_server(("127.0.0.1", 0)) as held:
        port = held.getsockname()[1]
        assert earlylistener.listen(f"127.0.0.1:{port}") is None
