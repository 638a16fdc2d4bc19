"""Tests the account of what is held for callers."""

from collections.abc import Iterator
import socket
import threading
import time

from hypothesis import stateful
from hypothesis import strategies
import pytest

from bulrushdeal import exchanges
from bulrushdeal import yielding

LIMIT_BYTES = 4_000_000
LARGE_BYTES = 3_000_000
SMALL_BYTES = 60_000


@pytest.fixture
def room() -> exchanges.Room:
    return exchanges.Room(LIMIT_BYTES)


@pytest.fixture
def ends() -> Iterator[tuple[socket.socket, socket.socket]]:
    first, second = socket.socketpair()
    yield first, second
    first.close()
    second.close()


def stall(exchange: exchanges.Exchange) -> None:
    exchange.begin_read()
    exchange.progressed_s = time.monotonic() - yielding.MIN_STALL_S - 1.0


def test_a_request_larger_than_the_account_fits_if_it_is_alone(
    room: exchanges.Room,
) -> None:
    # Guards against limits that the largest request never passes.
    small, large = room.begin(), room.begin()
    assert small.grow(SMALL_BYTES)
    assert large.grow(2 * LIMIT_BYTES)
    assert not room.begin().grow(100_000)


def test_large_requests_leave_room_for_small_ones(
    room: exchanges.Room,
) -> None:
    # Guards against a few large bodies that keep ordinary requests out.
    assert room.begin().grow(LARGE_BYTES)
    assert not room.begin().grow(100_000)
    assert room.begin().grow(SMALL_BYTES)


def test_answers_that_can_be_relayed_leave_room_for_requests(
    room: exchanges.Room,
) -> None:
    # Guards against buffered answers that keep ordinary requests out.
    while room.begin().grow(SMALL_BYTES, makes_room=False):
        pass
    assert room.begin().grow(SMALL_BYTES)


def test_what_is_given_back_can_be_held_again(room: exchanges.Room) -> None:
    # Guards against an account that fills up with what nobody holds.
    for _ in range(10):
        exchange = room.begin()
        assert exchange.grow(LARGE_BYTES)
        exchange.shrink_to(SMALL_BYTES)
        room.finish(exchange)
        room.finish(exchange)
    assert room.held_bytes() == 0


def test_an_exchange_gives_back_no_more_than_it_holds(
    room: exchanges.Room,
) -> None:
    # Guards against an account that shows less than what is held.
    exchange = room.begin()
    assert exchange.grow(SMALL_BYTES)
    exchange.shrink_to(-SMALL_BYTES)
    assert (exchange.held_bytes, room.held_bytes()) == (0, 0)


def test_unfinished_heads_have_a_part_of_the_account(
    room: exchanges.Room,
) -> None:
    # Guards against heads that are held before any account is asked.
    room.hold_heads(LIMIT_BYTES // 2)
    assert room.has_too_many_heads()
    assert room.held_bytes() == LIMIT_BYTES // 2
    assert room.begin().grow(SMALL_BYTES)
    room.hold_heads(-LIMIT_BYTES // 2)
    assert not room.has_too_many_heads()
    assert room.held_bytes() == SMALL_BYTES


def test_a_stalled_request_yields_its_memory(
    room: exchanges.Room, ends: tuple[socket.socket, socket.socket]
) -> None:
    # Guards against half-sent bodies that hold the account for ever.
    stalled = room.begin(ends[0])
    assert stalled.grow(LARGE_BYTES)
    stall(stalled)

    def serve() -> None:
        assert ends[0].recv(1) == b""
        room.finish(stalled)

    thread = threading.Thread(target=serve)
    thread.start()
    assert room.begin().grow(LARGE_BYTES)
    thread.join(10)
    assert stalled.end_reason == "yielded"
    assert room.counts()["yielded"] == 1


def test_a_sound_request_does_not_yield(
    room: exchanges.Room, ends: tuple[socket.socket, socket.socket]
) -> None:
    # Guards against ending a transfer that makes progress.
    moving = room.begin(ends[0])
    assert moving.grow(LARGE_BYTES)
    moving.begin_read()
    assert not room.begin().grow(LARGE_BYTES)
    assert not room.make_thread_yield(None)
    assert not moving.end_reason


def test_a_body_that_is_overdue_is_ended(
    room: exchanges.Room, ends: tuple[socket.socket, socket.socket]
) -> None:
    # Guards against bodies that dribble without end.
    late, served = room.begin(ends[0]), room.begin(ends[1])
    late.due_s = served.due_s = time.monotonic()
    late.begin_read()
    room.end_overdue(time.monotonic() + 1.0)
    assert (late.end_reason, served.end_reason) == ("overdue", "")
    assert ends[0].recv(1) == b""


def test_only_threads_of_the_same_group_yield(room: exchanges.Room) -> None:
    # Guards against ending a transfer whose thread helps nobody.
    first, second = socket.socketpair()
    with first, second:
        row = room.begin(first, "bulk")
        stall(row)
        assert not room.make_thread_yield("online")
        assert room.make_thread_yield("bulk")


class AccountMachine(stateful.RuleBasedStateMachine):
    """The account against a plain sum, with any order of calls."""

    def __init__(self) -> None:
        super().__init__()
        self.room = exchanges.Room(LIMIT_BYTES)
        self.held: dict[exchanges.Exchange, int] = {}

    open_exchanges = stateful.Bundle("open_exchanges")

    @stateful.rule(target=open_exchanges)
    def begin(self) -> exchanges.Exchange:
        exchange = self.room.begin()
        self.held[exchange] = 0
        return exchange

    @stateful.rule(
        exchange=open_exchanges,
        size_bytes=strategies.integers(0, 2_000_000),
        makes_room=strategies.booleans(),
    )
    def grow(
        self, exchange: exchanges.Exchange, size_bytes: int, makes_room: bool
    ) -> None:
        if exchange not in self.held:
            return
        if exchange.grow(size_bytes, makes_room=makes_room):
            self.held[exchange] += size_bytes

    @stateful.rule(
        exchange=open_exchanges, size_bytes=strategies.integers(0, 2_000_000)
    )
    def shrink(self, exchange: exchanges.Exchange, size_bytes: int) -> None:
        if exchange not in self.held:
            return
        exchange.shrink_to(size_bytes)
        self.held[exchange] = min(self.held[exchange], size_bytes)

    @stateful.rule(exchange=stateful.consumes(open_exchanges))
    def finish(self, exchange: exchanges.Exchange) -> None:
        self.room.finish(exchange)
        del self.held[exchange]

    @stateful.invariant()
    def holds_what_was_taken(self) -> None:
        assert self.room.held_bytes() == sum(self.held.values())
        largest = max(self.held.values(), default=0)
        assert self.room.held_bytes() <= LIMIT_BYTES + largest


TestAccount = AccountMachine.TestCase
