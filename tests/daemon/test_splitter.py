"""Tests that uploads are parsed alike however the bytes are cut."""

import io

from hypothesis import given
from hypothesis import strategies as st
import pytest

from bulrushdeald import batchrecords
from bulrushdeald import multipart
from bulrushdeald import splitter
from support import batchfakes

blank_lines = st.sampled_from((b"", b"\n", b" \r\n"))
prompt_texts = st.text(min_size=1, max_size=40)


class ChunkedBody:
    """A request body whose reads return pieces of the given sizes."""

    def __init__(self, data: bytes, sizes: list[int]) -> None:
        self._file = io.BytesIO(data)
        self._sizes = sizes

    def read(self, size_bytes: int = -1) -> bytes:
        return self._file.read(self._sizes.pop() if self._sizes else size_bytes)


@given(
    st.lists(st.tuples(prompt_texts, blank_lines), min_size=1, max_size=8),
    st.lists(st.integers(1, 60), max_size=80),
    st.booleans(),
)
def test_upload_is_kept_byte_for_byte(
    prompts: list[tuple[str, bytes]], sizes: list[int], is_unterminated: bool
) -> None:
    data = b"".join(
        batchfakes.lines({f"i{n}": prompt}) + after
        for n, (prompt, after) in enumerate(prompts)
    )
    data = data.rstrip(b"\n") if is_unterminated else data
    body, kind = batchfakes.form(data)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(batchrecords, "MAX_CHUNK_ITEMS", 3)
        split = splitter.Splitter()
        chunks: list[splitter.Chunk] = []
        for part in multipart.Reader(ChunkedBody(body, sizes), kind).parts():
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
def test_any_upload_yields_parts_or_a_multipart_error(
    noise: bytes, kept_bytes: int
) -> None:
    body, kind = batchfakes.form(b"x")
    try:
        for part in multipart.Reader(
            io.BytesIO(body[:kept_bytes] + noise), kind
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
