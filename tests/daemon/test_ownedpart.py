"""Tests of the credit and loans that an owned part counts."""

from bulrushdeal import clock as clock_lib
from bulrushdeal import records
from bulrushdeald import credit
from bulrushdeald import limitrecords
from bulrushdeald import ownedpart
from bulrushdeald import shortage

_LENDER = credit.Source("d1", 1)
_ROW = records.Customer("a", rate_per_s=10, burst=20)


def _owned(fraction: float = 0.5) -> ownedpart.OwnedPart:
    clock = clock_lib.FakeClock()
    part = limitrecords.Part("d0", fraction, "v", "run", epoch=1)
    owned = ownedpart.OwnedPart(0, part, clock)
    owned.apply_rows({"a": _ROW})
    clock.now_s += 100
    return owned


def _ask(want: credit.Want, seq: int, lent_on: str = "") -> credit.CreditAsk:
    return credit.CreditAsk(0, "d0", 1, "run", seq, (want,), lent_on, 1)


def _borrow(owned: ownedpart.OwnedPart, count: float) -> None:
    want = owned.prepare_want(_LENDER, shortage.Shortage("a", count))
    grant = credit.Grant(want.reserved + count, _ROW.burst)
    owned.receive(_LENDER, want, grant, owned.drop_count)


def _lent(owned: ownedpart.OwnedPart) -> float:
    return owned.totals()["a"][1]


def test_loan_to_a_lost_owner_counts_until_its_credit_is_dropped() -> None:
    # Guards against admitting more than the burst: when an owner that lent
    # borrowed tokens on is lost, the lender must still count the loan, since
    # the lost owner's holders have the tokens.
    owned = _owned()
    owned.answer("o", _ask(credit.Want("a", 0, 3, 3), 1, lent_on="d1"))
    assert _lent(owned) == 3
    lost = limitrecords.Page((limitrecords.Part("d1", 0.5, "o", "run", 1),))
    owned.sweep(lambda vm: vm == "o", lost)
    taken = limitrecords.Page((limitrecords.Part("d1", 0.5, "p", "run", 2, 1),))
    owned.sweep(lambda vm: vm == "o", taken)
    assert _lent(owned) == 3
    cleared = limitrecords.Page(
        (limitrecords.Part("d1", 0.5, "p", "run", 2, 0),)
    )
    owned.sweep(lambda vm: vm == "o", cleared)
    assert _lent(owned) == 0


def test_loan_of_a_lost_lender_is_not_clean_while_holders_have_it() -> None:
    # Guards against admitting more than the burst: a part must not report
    # that a lost lender's tokens are gone while its holders have them.
    owned = _owned()
    _borrow(owned, 5)
    want = credit.Want("a", 0, 5, 5)
    for holder in ("x", "y"):
        owned.answer(holder, _ask(want, 1))
    assert not owned.write_off("d1", 2)
    for holder in ("x", "y"):
        owned.answer(holder, _ask(credit.Want("a", 0), 2))
    assert owned.write_off("d1", 2)


def test_lowered_row_lowers_loans() -> None:
    # Guards against admitting more than a lowered burst: a debt from before
    # the edit must not allow a part more tokens than its share of the row.
    owned = _owned()
    _borrow(owned, 4)
    borrowed = owned.totals()["a"][2]
    owned.apply_rows({"a": _ROW._replace(burst=5)})
    assert 0 < owned.totals()["a"][2] <= borrowed / 4
    assert owned.debts() == {_LENDER: {"a"}}


def test_request_waits_while_tokens_are_collected() -> None:
    # Guards against refusing a request although the fleet has tokens: the
    # holder asks again before the owner's collection from another failure
    # domain has finished.
    owned = _owned(fraction=0.01)
    want = credit.Want("a", 0, 1, 1)
    assert owned.answer("x", _ask(want, 1)).grants[0].retry_after_s > 0
    assert owned.begin_collection()
    assert owned.answer("x", _ask(want, 2)).grants[0].retry_after_s > 0
    owned.end_collection()
    assert owned.answer("x", _ask(want, 3)).grants[0].retry_after_s == 0


def _new_customer(fraction: float, epoch: int) -> float:
    """Returns the tokens that a part gives a new row.

    The part's fraction has changed from 0.25 to 0.5 before the row arrives.

    Args:
        fraction: The part's fraction in the row's initial tokens.
        epoch: The part's epoch in the initial tokens; the part itself is in
            epoch 2.
    """
    initial_tokens = records.InitialTokens(
        "a", 20, 0.0, (records.InitialTokensPart("d0", epoch, fraction),)
    )
    part = limitrecords.Part("d0", 0.25, "v", "run", epoch=2)
    owned = ownedpart.OwnedPart(
        0, part, clock_lib.FakeClock(), lambda _: initial_tokens
    )
    owned.apply_part(part._replace(fraction=0.5))
    owned.apply_rows({"a": _ROW})
    owned.apply_rows({"a": _ROW})
    return owned.totals()["a"][0]


def test_new_row_starts_with_the_fraction_of_its_initial_tokens() -> None:
    # Guards against admitting more than the burst: another part fills its
    # bucket and moves a fraction here before this part gets the new row, so
    # filling by the new fraction would repeat tokens already granted there.
    assert _new_customer(fraction=0.25, epoch=2) == 5
    assert _new_customer(fraction=0.75, epoch=2) == 10


def test_later_owner_does_not_fill_a_new_row_again() -> None:
    # Guards against granting the burst twice: the owner that filled the
    # bucket is lost, and the next owner takes the row for a new one.
    assert _new_customer(fraction=0.25, epoch=1) == 0
