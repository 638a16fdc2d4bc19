"""Pages that come late, twice, out of order or from a stale peer.

Story: an operator makes some edits of one page. A VM hears of them in any
order, some twice and some never, some as whole pages from a peer that is
behind. A user sees a withdrawn key work again, or rows that no operator
ever stored together. Cause: a change was applied to a page that it was not
made from, or over a later one.
"""

from hypothesis import given
from hypothesis import strategies as st

from bulrushdeal import records
from bulrushdeald import pages
from bulrushdeald import pageset

KEY = pages.all_keys()[0]


def some_pages() -> st.SearchStrategy[list[pages.Page]]:
    customer = st.builds(
        lambda name, weight: records.Customer(name, weight=weight),
        st.sampled_from("ab"),
        st.sampled_from([1.0, 2.0]),
    )
    key = st.builds(
        lambda name, withdrawn: records.Key(name, "a", "", withdrawn),
        st.sampled_from("xy"),
        st.booleans(),
    )

    def page(
        customers: list[records.Customer], keys: list[records.Key]
    ) -> pages.Page:
        return pages.make(
            {row.customer: row for row in customers},
            {row.key_hash: row for row in keys},
            {},
        )

    one = st.builds(page, st.lists(customer), st.lists(key))
    return st.lists(one, min_size=1, max_size=4)


@given(some_pages(), st.data())
def test_only_stored_pages_are_held_and_none_twice(
    stored: list[pages.Page], data: st.DataObject
) -> None:
    history = [pages.Page(), *stored]
    held = pageset.PageSet()
    revisions = st.integers(1, len(stored))
    for revision, is_whole in data.draw(
        st.lists(st.tuples(revisions, st.booleans()), max_size=12)
    ):
        before = held.revisions()[0]
        page = history[revision]
        if is_whole:
            held.offer(KEY, revision, page)
        else:
            base = data.draw(st.integers(0, revision - 1))
            held.change(pages.diff(KEY, history[base], base, page, revision))
        now = held.at(KEY)
        assert now is not None
        assert now.revision >= before
        assert now.page == history[now.revision]
        assert held.customers == {r.customer: r for r in now.page.customers}
        assert held.keys == {row.key_hash: row for row in now.page.keys}


@given(some_pages())
def test_pages_survive_their_encoding(stored: list[pages.Page]) -> None:
    for page in stored:
        assert pages.decode(pages.encode(page)) == page


def test_a_change_that_was_made_wrongly_is_not_applied() -> None:
    """Two programs make a change of the same page in different ways.

    A VM would hold other rows than its peers under the same revision, and
    no comparison would ever find it. It has to pull the whole page instead.
    """
    row = records.Customer("a")
    page = pages.make({"a": row}, {}, {})
    change = pages.diff(KEY, pages.Page(), 0, page, 1)
    held = pageset.PageSet()
    wrong = change._replace(rows=pages.Page((row._replace(weight=9.0),)))
    assert held.change(wrong) is None
    assert held.change(change) is not None
