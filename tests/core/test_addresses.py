"""The decoder of `HOST:PORT`."""

import hypothesis
from hypothesis import strategies as st
import pytest

from bulrushdeal import addresses


@hypothesis.given(
    st.one_of(
        st.text(),
        st.integers().map(lambda port: f"127.0.0.1:{port}"),
        st.text().map(lambda port: f"127.0.0.1:{port}"),
    )
)
def test_a_port_is_in_range_or_an_error(text: str) -> None:
    """Guards against ports that sockets take for others, or fail by."""
    try:
        host, port = addresses.parse(text)
    except addresses.AddressError:
        return
    assert f"{host}:{port}" == text or text.startswith(f"{host}:0")
    assert 0 <= port <= 65535


def test_a_port_may_have_to_be_a_given_one() -> None:
    assert addresses.parse("a:0") == ("a", 0)
    assert addresses.parse("a:65535", min_port=1) == ("a", 65535)
    with pytest.raises(addresses.AddressError):
        addresses.parse("a:0", min_port=1)
