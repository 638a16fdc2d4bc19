"""Tests of the codec: round trips, and errors that name the wrong field."""

from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st
import pytest

from bulrushdeal import codec


class Inner(NamedTuple):
    name: str
    size_bytes: int | None = None


class Outer(NamedTuple):
    inners: tuple[Inner, ...]
    shares: dict[str, float]
    data: bytes = b""


inners = st.builds(Inner, st.text(), st.none() | st.integers(0, 2**60))
outers = st.builds(
    Outer,
    st.lists(inners).map(tuple),
    st.dictionaries(st.text(), st.floats(allow_nan=False)),
    st.binary(),
)


@given(outers)
def test_pack_then_unpack_is_identity(message: Outer) -> None:
    registry = codec.Registry()
    registry.add(Outer)
    assert registry.unpack(codec.pack(message)) == message


@given(st.binary())
def test_unpack_of_any_bytes_raises_only_codec_error(data: bytes) -> None:
    registry = codec.Registry()
    registry.add(Outer)
    try:
        registry.unpack(data)
    except codec.CodecError:
        return


def test_error_names_the_wrong_field() -> None:
    with pytest.raises(codec.CodecError, match=r"Outer.inners\[0\].name"):
        codec.from_plain(Outer, {"inners": [{"name": 3}], "shares": {}})


def test_missing_field_gets_its_default_or_is_named() -> None:
    assert codec.from_plain(Inner, ["a"]) == Inner("a")
    with pytest.raises(codec.CodecError, match=r"Inner\.name: missing"):
        codec.from_plain(Inner, [])
