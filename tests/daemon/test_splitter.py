"""Tests of uploads: any way of cutting the bytes gives the same file."""

import io

from hypothesis import given
from hypothesis import strategies as st
import pytest

from bulrushdeald import batchrecords
from bulrushdeald import multipart
from bulrushdeald import splitter
from support import batchfakes

blank = st.sampled_from((b"", b"\n", b" \r\n"))
words = st.text(min_size=1, max_size=40)


class Drip:
    """A body that arrives in pieces of given sizes."""

    def __init__(self, data: bytes, sizes: list[int]) -> None:
        self._file = io.BytesIO(data)
        self._sizes = sizes

    def read(self, size_bytes: int = -1) -> bytes:
        return self._file.read(self._sizes.pop() if self._sizes else size_bytes)


@given(
    st.lists(st.tuples(words, blank), min_size=1, max_size=8),
    st.lists(st.integers(1, 60), max_size=80),
    st.booleans(),
)
def test_upload_is_kept_byte_for_byte(
    prompts: list[tuple[str, bytes]], sizes: list[int], is_cut: bool
) -> None:
    data = b"".join(
        batchfakes.lines({f"i{n}": prompt}) + after
        for n, (prompt, after) in enumerate(prompts)
    )
    data = data.rstrip(b"\n") if is_cut else data
    body, kind = batchfakes.form(data)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(batchrecords, "MAX_CHUNK_ITEMS", 3)
        split = splitter.Splitter()
        chunks: list[splitter.Chunk] = []
        for part in multipart.Reader(Drip(body, sizes), kind).parts():
            if part.name == "file":
                assert part.filename == "in.jsonl"
                chunks = list(split.chunks(part.body))
    assert b"".join(chunk.data for chunk in chunks) == data
    assert split.size_bytes == len(data)
    assert all(chunk.items <= 3 for chunk in chunks)
    items = [item for chunk in chunks for item in splitter.items_of(chunk.data)]
    assert [item.custom_id for item in items] == [
        f"i{n}" for n in range(len(prompts))
    ]


@given(st.binary(max_size=300), st.integers(0, 300))
def test_any_upload_ends_in_parts_or_a_named_error(
    noise: bytes, keep: int
) -> None:
    body, kind = batchfakes.form(b"x")
    try:
        for part in multipart.Reader(
            io.BytesIO(body[:keep] + noise), kind
        ).parts():
            for _ in part.body:
                pass
    except multipart.MultipartError:
        return


def test_upload_cut_off_is_refused() -> None:
    body, kind = batchfakes.form(b"line\n")
    with pytest.raises(multipart.MultipartError, match="cut off"):
        for part in multipart.Reader(io.BytesIO(body[:-12]), kind).parts():
            list(part.body)
