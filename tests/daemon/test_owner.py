"""Tests of an owned part: what it counts as out, and for how long."""

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import credit
from bulrushdeald import owner
from bulrushdeald import shares

_LENDER = credit.Source("d1", 1)
_ROW = records.Customer("a", rate_per_s=10, burst=20)


def _owned(fraction: float = 0.5) -> owner.OwnedPart:
    clock = clock_lib.FakeClock()
    part = shares.Part("d0", fraction, "v", "run", epoch=1)
    owned = owner.OwnedPart(0, part, clock)
    owned.set_rows({"a": _ROW})
    clock.now_s += 100
    return owned


def _ask(want: credit.Want, seq: int, lent_on: str = "") -> credit.CreditAsk:
    return credit.CreditAsk(0, "d0", 1, "run", seq, (want,), lent_on, 1)


def _borrow(owned: owner.OwnedPart, count: float) -> None:
    want = owned.want(_LENDER, owner.Shortage("a", count))
    grant = credit.Grant(want.reserved + count, _ROW.burst)
    owned.receive(_LENDER, want, grant, owned.drops)


def _lent(owned: owner.OwnedPart) -> float:
    return owned.totals()["a"][1]


def test_loan_to_a_lost_owner_counts_until_its_holders_are_heard() -> None:
    # A customer gets more than its burst: an owner that had lent our tokens
    # on is lost, and we count them as gone with it; its holders have them.
    owned = _owned()
    owned.answer("o", _ask(credit.Want("a", 0, 3, 3), 1, lent_on="d1"))
    assert _lent(owned) == 3
    lost = shares.Page((shares.Part("d1", 0.5, "o", "run", 1),))
    owned.sweep(lambda vm: vm == "o", lost)
    taken = shares.Page((shares.Part("d1", 0.5, "p", "run", 2, 1),))
    owned.sweep(lambda vm: vm == "o", taken)
    assert _lent(owned) == 3
    cleared = shares.Page((shares.Part("d1", 0.5, "p", "run", 2, 0),))
    owned.sweep(lambda vm: vm == "o", cleared)
    assert _lent(owned) == 0


def test_loan_of_a_lost_lender_is_not_clean_while_holders_have_it() -> None:
    # A customer gets more than its burst: we say that nothing is left of a
    # lost lender's tokens, but our holders have them in hand.
    owned = _owned()
    _borrow(owned, 5)
    want = credit.Want("a", 0, 5, 5)
    for holder in ("x", "y"):
        owned.answer(holder, _ask(want, 1))
    assert not owned.void("d1", 2)
    for holder in ("x", "y"):
        owned.answer(holder, _ask(credit.Want("a", 0), 2))
    assert owned.void("d1", 2)


def test_lowered_row_lowers_loans() -> None:
    # A customer gets more than its lowered burst: what was borrowed under
    # the old row still allows an owner to hold more than its part.
    owned = _owned()
    _borrow(owned, 4)
    borrowed = owned.totals()["a"][2]
    owned.set_rows({"a": _ROW._replace(burst=5)})
    assert 0 < owned.totals()["a"][2] <= borrowed / 4
    assert owned.debts() == {_LENDER: {"a"}}
