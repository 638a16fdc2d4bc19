"""Tests the bytes that are held in blocks."""

import tracemalloc

from hypothesis import given
from hypothesis import strategies as st

from bulrushdeal import heldbytes

_PIECES = st.lists(st.binary(max_size=70_000), max_size=12)


def _hold(pieces: list[bytes]) -> heldbytes.HeldBytes:
    held = heldbytes.HeldBytes()
    for piece in pieces:
        held.add(piece)
    return held


@given(_PIECES)
def test_what_was_added_comes_back_in_order(pieces: list[bytes]) -> None:
    whole = b"".join(pieces)
    held = _hold(pieces)
    assert held.size_bytes == len(whole)
    blocks = []
    while held:
        blocks.append(held.take_block())
    assert b"".join(blocks) == whole
    assert _hold(pieces).take_all() == whole


def test_tiny_pieces_take_little_more_than_their_bytes() -> None:
    """Guards against an answer in tiny chunks that fills a VM's memory."""
    tracemalloc.start()
    held = heldbytes.HeldBytes()
    for number in range(200_000):
        held.add(b"%02d" % (number % 100))
    held_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert held.size_bytes == 400_000
    assert held_bytes < 2 * held.size_bytes
