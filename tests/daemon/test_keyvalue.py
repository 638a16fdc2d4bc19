"""Tests of writes whose answers are lost.

They compare the reported outcomes with the values that the platform held, and
guard against a client that guesses: it reported an edit in force as failed,
or a failed edit as in force. This happened when the answer was lost, or the
edit was still in transit when the client read the key back, and others wrote
in between.
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


class DelayedPut(NamedTuple):
    body: bytes
    expected_revision: int


class FlakyCaller:
    """Answers from a keyspace; `draw` returns what happens to each call."""

    def __init__(self, space: keyspace.Keyspace, draw: Callable[[], str]):
        self.space = space
        self.draw = draw
        self.delayed: list[DelayedPut] = []
        self.write_by_others: Callable[[], None] = lambda: None

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
        event = self.draw()
        if event == "others write":
            self.write_by_others()
        elif event == "bare write":
            now = self.space.get(KEY)
            self.space.put(KEY, b"bare", now.revision if now else 0)
        elif event == "late arrives" and self.delayed:
            delayed = self.delayed.pop()
            self.space.put(KEY, delayed.body, delayed.expected_revision)
        elif event == "not sent":
            return result.Err(platformclient.CallError("not_sent", event))
        lost = result.Err(platformclient.CallError("lost", event))
        if kind == "put":
            expected = int((fields or {})["expected_revision"])
            if event == "delayed":
                self.delayed.append(DelayedPut(body or b"", expected))
                return lost
            answer = self.put(body or b"", expected)
        else:
            held = self.space.get(parse.unquote(path.removeprefix("/v1/kv/")))
            answer = platformclient.PlatformResponse(
                200 if held else 404, row(held)
            )
        return lost if event in ("delayed", "lost") else result.Ok(answer)

    def put(
        self, body: bytes, expected: int
    ) -> platformclient.PlatformResponse:
        revision, held = self.space.put(KEY, body, expected)
        if revision:
            return platformclient.PlatformResponse(200, {"revision": revision})
        return platformclient.PlatformResponse(409, row(held))

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
    """Records every value that was stored."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[bytes] = []

    def put(self, key: str, value: bytes, *given: Any) -> Any:
        done = super().put(key, value, *given)
        if done[0]:
            self.history.append(value)
        return done


def client(caller: platformclient.PlatformApi) -> keyvalue.HttpKeyValue:
    return keyvalue.HttpKeyValue(
        kernel_lib.Kernel(),
        controlplane.settings("127.0.0.1:1"),
        clock_lib.FakeClock(),
        caller,
    )


EVENTS = (
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
def test_the_reported_outcome_of_a_put_is_true(data: st.DataObject) -> None:
    space = RecordingKeyspace()
    other = client(FlakyCaller(space, lambda: "answered"))
    events = st.sampled_from(EVENTS)
    caller = FlakyCaller(space, lambda: data.draw(events))
    writer = client(caller)

    def others_write() -> None:
        held = other.get(KEY).unwrap()
        other.put(KEY, b"other", held.revision if held else 0)

    caller.write_by_others = others_write
    outcomes: list[tuple[bytes, str]] = []
    for number in range(data.draw(st.integers(1, 4))):
        read = writer.get(KEY)
        if read.is_err():
            continue
        held = read.unwrap()
        expected = held.revision if held else 0
        value = b"own %d" % number
        put = writer.put(KEY, value, expected)
        outcomes.append((value, "ok" if put.is_ok() else put.unwrap_err().kind))
        if put.is_ok():
            now = space.get(KEY)
            assert now is not None
            assert expected < put.unwrap() <= now.revision
            if put.unwrap() == now.revision:
                assert now.value.endswith(value)
    # Finally, all delayed writes arrive.
    for delayed in caller.delayed:
        space.put(KEY, delayed.body, delayed.expected_revision)
    for value, outcome in outcomes:
        count = sum(held.endswith(value) for held in space.history)
        assert count <= 1
        if outcome == "ok":
            assert count == 1, (value, outcomes)
        elif outcome in ("conflict", "unavailable"):
            assert count == 0, (value, outcome, outcomes)


def test_a_write_that_lost_to_another_is_a_conflict() -> None:
    # An operator's edit lost to another writer and was reported as unknown,
    # although the stored nonces show every write since, and not this one.
    space = RecordingKeyspace()
    other = client(FlakyCaller(space, lambda: "answered"))
    first = other.put(KEY, b"first", 0).unwrap()

    def others_write() -> None:
        other.put(KEY, b"other", first).unwrap()

    events = iter(("answered", "delayed", "others write"))
    caller = FlakyCaller(space, lambda: next(events))
    caller.write_by_others = others_write
    writer = client(caller)
    assert writer.get(KEY).unwrap() is not None
    assert writer.put(KEY, b"own", first).unwrap_err().kind == "conflict"


def test_a_lost_answer_is_resolved_by_its_nonce_over_http() -> None:
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
    # Likewise a repeated deletion finds nothing to delete.
    other = one.put("other", b"", 0).unwrap()
    served.fault(lose_next_answers=1)
    assert one.delete("other", other).is_ok()
    assert one.get("other").unwrap() is None
    served.fault(kv_outage=True)
    assert one.get(KEY).unwrap_err().kind == "unavailable"
    # The bytes were sent, so the write may still take effect.
    assert one.put(KEY, b"second", revision).unwrap_err().kind == "unknown"
    served.stop(0.1)
    # The platform does not listen, so no byte was sent.
    assert one.put(KEY, b"third", revision).unwrap_err().kind == "unavailable"


def test_watch_returns_changes_and_deletions() -> None:
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
