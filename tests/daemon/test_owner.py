"""Tests of an owned part: what it counts as out, and for how long."""

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import credit
from bulrushdeald import owner
from bulrushdeald import shares
from bulrushdeald import shortage

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
    want = owned.want(_LENDER, shortage.Shortage("a", count))
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


def test_request_waits_while_tokens_are_under_way() -> None:
    # A request is refused although the fleet has tokens: its owner collects
    # them from another failure domain, and is asked again before they come.
    owned = _owned(fraction=0.01)
    want = credit.Want("a", 0, 1, 1)
    assert owned.answer("x", _ask(want, 1)).grants[0].again_s > 0
    assert owned.shortages()
    assert owned.answer("x", _ask(want, 2)).grants[0].again_s > 0
    owned.collection_ended()
    assert owned.answer("x", _ask(want, 3)).grants[0].again_s == 0


def _new_customer(fraction: float, epoch: int) -> float:
    """Returns what a part, now half of the page, fills a new row with."""
    opening = records.Opening(
        "a", 20, 0.0, (records.OpeningPart("d0", epoch, fraction),)
    )
    part = shares.Part("d0", 0.25, "v", "run", epoch=2)
    owned = owner.OwnedPart(0, part, clock_lib.FakeClock(), lambda _: opening)
    owned.set_part(part._replace(fraction=0.5))
    owned.set_rows({"a": _ROW})
    owned.set_rows({"a": _ROW})
    return owned.totals()["a"][0]


def test_new_row_begins_with_the_fraction_it_was_made_under() -> None:
    # A customer gets more than its burst: another part filled its bucket,
    # and moved a fraction here before the new row came, so that this part
    # fills what the other has granted already.
    assert _new_customer(fraction=0.25, epoch=2) == 5
    assert _new_customer(fraction=0.75, epoch=2) == 10


def test_later_owner_does_not_fill_a_new_row_again() -> None:
    # A customer gets its burst twice: the owner that filled its bucket is
    # lost, and the next one takes the row for a new one.
    assert _new_customer(fraction=0.25, epoch=1) == 0
