"""Writes whose answers are lost, against what the platform really held.

Story: an operator's edit takes effect and its answer is lost, or the edit
itself is still on its way when the client reads back; others write in
between. A user is told that an edit failed which is in force, or that it
is in force when it never was. Cause: the client guessed.
"""

import base64
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib import parse

from hypothesis import given
from hypothesis import strategies as st
import result

from bulrushdeal import clock as clock_lib
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import keyvalue
from bulrushdeald import platformclient
from standins import keyspace
from standins import platform
from support import controlplane

KEY = "config/customers/00"


class Late(NamedTuple):
    body: bytes
    expected_revision: int


class FlakyCaller:
    """Answers from a keyspace; each call meets the next fate drawn."""

    def __init__(self, space: keyspace.Keyspace, draw: Callable[[], str]):
        self.space = space
        self.draw = draw
        self.late: list[Late] = []
        self.others: Callable[[], None] = lambda: None

    def call(
        self,
        kind: str,
        method: str,
        path: str,
        fields: dict[str, str] | None = None,
        body: bytes | None = None,
        wait_s: float = 0.0,
        etag: str = "",
    ) -> Any:
        fate = self.draw()
        if fate == "others write":
            self.others()
        elif fate == "bare write":
            now = self.space.get(KEY)
            self.space.put(KEY, b"bare", now.revision if now else 0)
        elif fate == "late arrives" and self.late:
            late = self.late.pop()
            self.space.put(KEY, late.body, late.expected_revision)
        elif fate == "not sent":
            return result.Err(platformclient.CallError("not_sent", fate))
        lost = result.Err(platformclient.CallError("lost", fate))
        if kind == "put":
            expected = int((fields or {})["expected_revision"])
            if fate == "delayed":
                self.late.append(Late(body or b"", expected))
                return lost
            answer = self.put(body or b"", expected)
        else:
            held = self.space.get(parse.unquote(path.removeprefix("/v1/kv/")))
            answer = platformclient.Answer(200 if held else 404, row(held))
        return lost if fate in ("delayed", "lost") else result.Ok(answer)

    def put(self, body: bytes, expected: int) -> platformclient.Answer:
        revision, held = self.space.put(KEY, body, expected)
        if revision:
            return platformclient.Answer(200, {"revision": revision})
        return platformclient.Answer(409, row(held))

    def close(self) -> None:
        return None

    def dump(self) -> dict[str, dict[str, int]]:
        return {}


def row(held: keyspace.Held | None) -> dict[str, Any]:
    if held is None:
        return {}
    value = base64.b64encode(held.value).decode()
    return {"key": held.key, "value": value, "revision": held.revision}


class RecordingKeyspace(keyspace.Keyspace):
    """Remembers each value that was ever held."""

    def __init__(self) -> None:
        super().__init__()
        self.ever: list[bytes] = []

    def put(self, key: str, value: bytes, *given: Any) -> Any:
        done = super().put(key, value, *given)
        if done[0]:
            self.ever.append(value)
        return done


def client(caller: platformclient.Caller) -> keyvalue.HttpKeyValue:
    return keyvalue.HttpKeyValue(
        kernel_lib.Kernel(),
        controlplane.settings("127.0.0.1:1"),
        clock_lib.FakeClock(),
        caller,
    )


FATES = (
    "answered",
    "answered",
    "lost",
    "delayed",
    "not sent",
    "others write",
    "bare write",
    "late arrives",
)


@given(st.data())
def test_what_a_put_says_is_true(data: st.DataObject) -> None:
    space = RecordingKeyspace()
    other = client(FlakyCaller(space, lambda: "answered"))
    fates = st.sampled_from(FATES)
    caller = FlakyCaller(space, lambda: data.draw(fates))
    writer = client(caller)

    def others_write() -> None:
        held = other.get(KEY).unwrap()
        other.put(KEY, b"other", held.revision if held else 0)

    caller.others = others_write
    said: list[tuple[bytes, str]] = []
    for number in range(data.draw(st.integers(1, 4))):
        read = writer.get(KEY)
        if read.is_err():
            continue
        held = read.unwrap()
        expected = held.revision if held else 0
        value = b"own %d" % number
        put = writer.put(KEY, value, expected)
        said.append((value, "ok" if put.is_ok() else put.unwrap_err().kind))
        if put.is_ok():
            now = space.get(KEY)
            assert now is not None
            assert expected < put.unwrap() <= now.revision
            if put.unwrap() == now.revision:
                assert now.value.endswith(value)
    # What was on its way all the time arrives in the end.
    for late in caller.late:
        space.put(KEY, late.body, late.expected_revision)
    for value, outcome in said:
        count = sum(held.endswith(value) for held in space.ever)
        assert count <= 1
        if outcome == "ok":
            assert count == 1, (value, said)
        elif outcome in ("conflict", "unavailable"):
            assert count == 0, (value, outcome, said)


def test_a_lost_write_that_another_beat_is_a_conflict() -> None:
    # An operator whose edit came too late reads that its outcome is unknown,
    # though what is held shows every write since and not this one.
    space = RecordingKeyspace()
    other = client(FlakyCaller(space, lambda: "answered"))
    first = other.put(KEY, b"first", 0).unwrap()

    def others_write() -> None:
        other.put(KEY, b"other", first).unwrap()

    fates = iter(("answered", "delayed", "others write"))
    caller = FlakyCaller(space, lambda: next(fates))
    caller.others = others_write
    writer = client(caller)
    assert writer.get(KEY).unwrap() is not None
    assert writer.put(KEY, b"own", first).unwrap_err().kind == "conflict"


def test_a_lost_answer_is_known_by_its_nonce_over_http() -> None:
    served = platform.Platform()
    served.start()
    settings = controlplane.settings(served.address)
    one = keyvalue.HttpKeyValue(kernel_lib.Kernel(), settings)
    served.fault(lose_next_answers=1)
    revision = one.put(KEY, b"first", 0).unwrap()
    held = one.get(KEY).unwrap()
    assert held is not None
    assert (held.value, held.revision) == (b"first", revision)
    assert one.dump()["settled"] == {"known": 1}
    # The same of a deletion: sent once more, it finds nothing to delete.
    other = one.put("other", b"", 0).unwrap()
    served.fault(lose_next_answers=1)
    assert one.delete("other", other).is_ok()
    assert one.get("other").unwrap() is None
    served.fault(kv_outage=True)
    assert one.get(KEY).unwrap_err().kind == "unavailable"
    # The bytes have left, so it may still take effect.
    assert one.put(KEY, b"second", revision).unwrap_err().kind == "unknown"
    served.stop(0.1)
    # Nobody listens: no byte has left.
    assert one.put(KEY, b"third", revision).unwrap_err().kind == "unavailable"


def test_watch_tells_of_changes_and_deletions() -> None:
    served = platform.Platform()
    served.start()
    one = keyvalue.HttpKeyValue(
        kernel_lib.Kernel(), controlplane.settings(served.address)
    )
    first = one.put("a/1", b"x", 0).unwrap()
    second = one.put("a/2", b"", 0).unwrap()
    seen = one.watch("a/", 0, 5.0).unwrap()
    assert [entry.revision for entry in seen] == [first, second]
    assert one.delete("a/1", first).is_ok()
    (gone,) = one.watch("a/", second, 5.0).unwrap()
    assert (gone.key, gone.value) == ("a/1", b"")
    assert one.watch("a/", gone.revision, 0.0).unwrap() == ()
    assert [entry.key for entry in one.list("a/").unwrap()] == ["a/2"]
    served.stop(0.1)
