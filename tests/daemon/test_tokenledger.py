"""Random operations on two ledgers, checked against the tokens that exist."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bulrushdeald import limitrecords
from bulrushdeald import tokenledger

_EPSILON = 1e-6
_HOLDERS = ("x", "y")
_counts = st.sampled_from([0.1, 0.5, 1.0, 3.0])


class LedgerMachine(stateful.RuleBasedStateMachine):
    """Guards against tokens beyond the row and against too much lent.

    Two parts grant to holders and move tokens to each other, answers are
    lost, and holders spend with or without a report. The tokens that exist
    must never exceed the row's burst, and a part must never lend more than
    its next owner allows for.
    """

    @stateful.initialize(
        bursts=st.tuples(
            st.sampled_from([0.3, 1.0, 4.0]), st.sampled_from([0.3, 2.0, 6.0])
        )
    )
    def begin(self, bursts: tuple[float, float]) -> None:
        self.now_s = 0.0
        self.parts = [
            tokenledger.Ledger(tokenledger.Terms(1.0, burst), 0.0)
            for burst in bursts
        ]
        self.in_hand = [dict.fromkeys(_HOLDERS, 0.0) for _ in bursts]

    def accrue(self, seconds: float) -> None:
        self.now_s += seconds
        for part in self.parts:
            part.accrue(self.now_s)

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def wait(self, seconds: float) -> None:
        self.accrue(seconds)

    @stateful.rule(
        index=st.integers(0, 1),
        holder=st.sampled_from(_HOLDERS),
        want=_counts,
        is_lost=st.booleans(),
    )
    def grant(
        self, index: int, holder: str, want: float, is_lost: bool
    ) -> None:
        granted = self.parts[index].grant(holder, 0.0, want)
        if not is_lost:
            self.in_hand[index][holder] += granted

    @stateful.rule(
        index=st.integers(0, 1),
        holder=st.sampled_from(_HOLDERS),
        returned=st.booleans(),
        kept=st.sampled_from([0.0, 0.5, 1.0]),
    )
    def report(
        self, index: int, holder: str, returned: bool, kept: float
    ) -> None:
        held = self.in_hand[index][holder]
        self.in_hand[index][holder] = held * kept
        given = held * (1 - kept) if returned else 0.0
        self.parts[index].report(holder, held * kept, given)

    @stateful.rule(
        index=st.integers(0, 1),
        need=_counts,
        seconds=st.sampled_from([0.0, 1.0]),
        is_lost=st.booleans(),
    )
    def move(
        self, index: int, need: float, seconds: float, is_lost: bool
    ) -> None:
        taker, giver = self.parts[index], self.parts[1 - index]
        giver_name, taker_name = f"part{1 - index}", f"part{index}"
        giver.report(taker_name, taker.repay(giver_name))
        reserved = taker.reserve()
        moved = giver.transfer(taker_name, max(need, reserved), reserved)
        self.accrue(seconds)
        taker.receive(giver_name, 0.0 if is_lost else moved, reserved)

    @stateful.rule(index=st.integers(0, 1))
    def give_back(self, index: int) -> None:
        taker, giver = self.parts[index], self.parts[1 - index]
        returned = taker.give_back(f"part{1 - index}")
        held = taker.repay(f"part{1 - index}")
        giver.report(f"part{index}", held, returned)

    @stateful.invariant()
    def tokens_are_at_most_the_burst(self) -> None:
        tokens = sum(part.level for part in self.parts)
        tokens += sum(sum(hands.values()) for hands in self.in_hand)
        burst = sum(part.terms.burst for part in self.parts)
        assert tokens <= burst + _EPSILON

    @stateful.invariant()
    def lent_is_at_most_what_the_next_owner_allows_for(self) -> None:
        for part in self.parts:
            bound = limitrecords.lendable(part.capacity) + part.borrowed
            assert part.lent <= bound + _EPSILON


TestLedgers = LedgerMachine.TestCase
TestLedgers.settings = hypothesis.settings(stateful_step_count=50)
