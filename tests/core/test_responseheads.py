"""Tests of what is read as the head of a response."""

import io

from hypothesis import given
from hypothesis import strategies as st
import pytest

from bulrushdeal import responseheads

_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
# All that is not for names, by RFC 9110, section 5.6.2, but for the colon and
# the line feed, which end a name and a line.
_NO_TOKEN = (
    bytes(set(range(0x21)) - {0x0A})
    + b'"(),/;<=>?@[\\]{}'
    + bytes(range(0x7F, 256))
)
_CONTROLS = bytes(set(range(0x20)) - {0x09, 0x0A}) + b"\x7f"


def _read(head: bytes) -> responseheads.Head:
    return responseheads.read(io.BytesIO(head))


def _read_line(line: bytes) -> responseheads.Head:
    return _read(_STATUS_LINE + b"A: b\r\n" + line + b"\r\nC: d\r\n\r\n")


@pytest.mark.parametrize("character", [bytes([c]) for c in _NO_TOKEN])
def test_a_name_with_a_character_that_is_not_for_names_is_refused(
    character: bytes,
) -> None:
    """Guards against a line that ends the head, or is passed on."""
    for name in (character + b"X", b"X" + character + b"Y", b"X" + character):
        with pytest.raises(responseheads.HeadError):
            _read_line(name + b": z")


@pytest.mark.parametrize("character", [bytes([c]) for c in _CONTROLS])
def test_a_value_or_reason_with_a_control_character_is_refused(
    character: bytes,
) -> None:
    """Guards against a value that another reader takes for a field."""
    with pytest.raises(responseheads.HeadError):
        _read_line(b"X: y" + character + b"Set-Cookie: z")
    with pytest.raises(responseheads.HeadError):
        _read(b"HTTP/1.1 200 O" + character + b"K\r\n\r\n")


@pytest.mark.parametrize(
    "line",
    [b"no colon", b": no name", b" X: y", b"\tX: y", b" y", b" ", b"\x00"],
)
def test_a_line_that_is_no_field_is_refused(line: bytes) -> None:
    """Guards against fields after it that are lost."""
    with pytest.raises(responseheads.HeadError):
        _read_line(line)
    with pytest.raises(responseheads.HeadError):
        _read(_STATUS_LINE + line + b"\r\n\r\n")


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"HTTP/1.1",
        b"HTTP/1.1 ",
        b"HTTP/1.1 0200 OK",
        b"HTTP/1.1 2_00 OK",
        b"HTTP/1.1 +200 OK",
        b"HTTP/1.1 20 OK",
        b"HTTP/1.1 2000 OK",
        b"HTTP/1.1 000 OK",
        b"HTTP/1.1 600 OK",
        b"HTTP/1.1 abc OK",
        b"HTTP/1.1  200 OK",
        b"HTTP/1.1\t200 OK",
        b"HTTP/1.1 200\tOK",
        b" HTTP/1.1 200 OK",
        b"HTTP/1.1x 200 OK",
        b"HTTP/1 200 OK",
        b"HTTP/0.9 200 OK",
        b"HTTP/2.0 200 OK",
        b"http/1.1 200 OK",
        b"ICY 200 OK",
    ],
)
def test_a_line_that_is_no_status_line_is_refused(line: bytes) -> None:
    """Guards against bytes that are relayed as a success."""
    with pytest.raises(responseheads.HeadError):
        _read(line + b"\r\nContent-Length: 0\r\n\r\n")


@pytest.mark.parametrize(
    ("line", "version", "status", "reason"),
    [
        (b"HTTP/1.0 200 OK", 10, 200, "OK"),
        (b"HTTP/1.1 200", 11, 200, ""),
        (b"HTTP/1.1 200 ", 11, 200, ""),
        (b"HTTP/1.1 404 Not\tFound ", 11, 404, "Not\tFound"),
        (b"HTTP/1.1 599 \xe9", 11, 599, "\xe9"),
        # A later minor version is read like the greatest one that is known.
        (b"HTTP/1.9 200 OK", 11, 200, "OK"),
    ],
)
def test_status_lines_that_the_protocol_allows_are_read(
    line: bytes, version: int, status: int, reason: str
) -> None:
    """Guards against answers that are dropped without a need."""
    head = _read(line + b"\r\n\r\n")
    assert (head.version, head.status, head.reason) == (version, status, reason)


def test_fields_that_the_protocol_allows_are_read() -> None:
    """Guards against answers that are dropped, or values that are changed."""
    head = _read(
        b"HTTP/1.1 200 OK\n"
        b"A:b\r\n"
        b"A: \t c : d\t \n"
        b"Empty:\r\n"
        b"!#$%&'*+-.^_`|~0Zz: token\r\n"
        b"High: caf\xe9 \x85\r\n\r\n"
    )
    assert head.fields.items() == [
        ("A", "b"),
        ("A", "c : d"),
        ("Empty", ""),
        ("!#$%&'*+-.^_`|~0Zz", "token"),
        ("High", "caf\xe9 \x85"),
    ]
    assert (head.is_chunked, head.length_bytes) == (False, None)


def test_interim_heads_are_skipped_unless_they_are_malformed() -> None:
    """Guards against an interim response that is taken for the final one."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
    assert _read(interim + _STATUS_LINE + b"\r\n").status == 200
    assert _read(b"HTTP/1.1 101 Switch\r\n\r\n" + _STATUS_LINE).status == 101
    with pytest.raises(responseheads.HeadError):
        _read(interim.replace(b"A:", b"A :") + _STATUS_LINE + b"\r\n")


def test_too_many_fields_are_refused() -> None:
    """Guards against a head that takes all memory."""
    assert len(_read(_STATUS_LINE + b"A: b\r\n" * 100 + b"\r\n").fields) == 100
    with pytest.raises(responseheads.HeadError):
        _read(_STATUS_LINE + b"A: b\r\n" * 101 + b"\r\n")
    with pytest.raises(responseheads.HeadError):
        responseheads.skip_trailers(io.BytesIO(b"A: b\r\n" * 101 + b"\r\n"))


def test_a_line_without_end_is_refused() -> None:
    """Guards against a field that is cut where the reader stops."""
    with pytest.raises(responseheads.HeadError):
        _read_line(b"A: " + b"b" * 65536)
    with pytest.raises(responseheads.HeadError):
        _read(_STATUS_LINE + b"A: b")


@pytest.mark.parametrize(
    ("trailers", "rest"),
    [
        (b"\r\nrest", b"rest"),
        (b"\nrest", b"rest"),
        (b"", b""),
        (b"A: b\r\nC: d\r\n\r\nrest", b"rest"),
        (b"A: b\r\n", b""),
    ],
)
def test_trailers_end_with_an_empty_line_or_the_connection(
    trailers: bytes, rest: bytes
) -> None:
    """Guards against bytes of the next response that are lost."""
    reader = io.BytesIO(trailers)
    responseheads.skip_trailers(reader)
    assert reader.read() == rest


@pytest.mark.parametrize(
    "line", [b"A B: c\r\n", b"A\x01: c\r\n", b"HTTP/1.1 200 OK\r\n", b"A: c"]
)
def test_a_malformed_trailer_is_refused(line: bytes) -> None:
    """Guards against a second response that is taken for trailers."""
    with pytest.raises(responseheads.HeadError):
        responseheads.skip_trailers(io.BytesIO(b"X: y\r\n" + line))


_PIECES = st.sampled_from(
    [b"a", b"B", b":", b"a:", b"c: d", b"\r\n", b"\n", b"\r", b" ", b"\t"]
    + [bytes([c]) for c in b"\x00\x01\x0b\x7f\x85\xe9/("]
)


@given(st.lists(_PIECES, max_size=12).map(b"".join))
def test_each_line_is_a_field_or_the_head_is_refused(text: bytes) -> None:
    """Guards against lines that are lost, split or joined."""
    data = _STATUS_LINE + text + b"\r\n\r\nrest"
    reader = io.BytesIO(data)
    try:
        head = responseheads.read(reader)
    except responseheads.HeadError:
        return
    taken = data[len(_STATUS_LINE) : reader.tell()]
    lines = [line.removesuffix(b"\r") for line in taken.split(b"\n")]
    assert lines[-2:] == [b"", b""]
    split = [line.decode("latin-1").split(":", 1) for line in lines[:-2]]
    assert head.fields.items() == [
        (name, value.strip(" \t")) for name, value in split
    ]
