"""Which engine lets go of batch items until a large one has memory there.

What comes free on a busy engine is soon taken by small items. A large item that
is due before them needs the memory of several at once, so it would not begin
before they have all ended.
"""

from typing import NamedTuple

from gateway.decisions import batchorder

# Longer than the pause between two requests of a VM for slots.
_LIFETIME_S = 0.3
# How long an engine makes room for items. By then the batch runs that it had
# have ended, and online requests hold its memory, perhaps for good.
_MAX_TURN_S = 10.0
# How long other items may go there before it makes room again.
_PAUSE_S = 2.0


class _Turn(NamedTuple):
    """An item that waits for memory, and the engine that it waits for.

    Attributes:
        vm: Its VM.
        rank: Its rank.
        tokens: The memory that it needs.
        instance: The engine.
        asked_s: When its VM last asked for a slot, by the monotonic clock.
        since_s: Since when the engine makes room, by the monotonic clock.
    """

    vm: str
    rank: batchorder.Rank
    tokens: int
    instance: str
    asked_s: float
    since_s: float


class BatchTurns:
    """The item of one service, at most, that an engine makes room for."""

    def __init__(self) -> None:
        self._turn: _Turn | None = None
        self._paused_until_s = 0.0

    def wait(
        self,
        vm: str,
        rank: batchorder.Rank,
        tokens: int,
        instance: str,
        now_s: float,
    ) -> None:
        """Records that an item has a slot on an engine, but no memory.

        Args:
            vm: Its VM.
            rank: Its rank; the item that ranks first waits for an engine.
            tokens: The memory that it needs.
            instance: The engine that it would get.
            now_s: The current time by the monotonic clock.
        """
        turn = self._current(now_s)
        if now_s < self._paused_until_s:
            return
        if turn is None or rank < turn.rank:
            since_s = now_s
            if turn is not None and turn.instance == instance:
                since_s = turn.since_s
            self._turn = _Turn(vm, rank, tokens, instance, now_s, since_s)
        elif (vm, rank, tokens) == (turn.vm, turn.rank, turn.tokens):
            self._turn = turn._replace(asked_s=now_s)

    def is_barred(
        self, rank: batchorder.Rank, tokens: int, instance: str, now_s: float
    ) -> bool:
        """Returns whether an item must leave an engine to one before it.

        Args:
            rank: The item's rank.
            tokens: The memory that it needs.
            instance: The engine.
            now_s: The current time by the monotonic clock.
        """
        turn = self._current(now_s)
        if turn is None or turn.instance != instance:
            return False
        return rank >= turn.rank and tokens < turn.tokens

    def end(self, tokens: int, instance: str) -> None:
        """Records that an item got a slot, perhaps the one that waited."""
        turn = self._turn
        if turn is not None and (turn.instance, turn.tokens) == (
            instance,
            tokens,
        ):
            self._turn = None

    def _current(self, now_s: float) -> _Turn | None:
        turn = self._turn
        if turn is None or now_s - turn.asked_s > _LIFETIME_S:
            return None
        if now_s - turn.since_s > _MAX_TURN_S:
            self._turn = None
            self._paused_until_s = now_s + _PAUSE_S
            return None
        return turn
