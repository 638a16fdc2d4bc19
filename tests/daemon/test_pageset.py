"""Tests of pages that arrive late, twice, out of order or from a stale peer.

Guards against a change that is applied to a page other than its base, or an
old page that replaces a newer one. Either would revive a withdrawn key or
combine rows that were never stored together. A VM receives edits in any
order, some twice and some never, as changes or as whole pages.
"""

from hypothesis import given
from hypothesis import strategies as st

from bulrushdeal import records
from bulrushdeald import pages
from bulrushdeald import pageset

KEY = pages.all_keys()[0]


def page_lists() -> st.SearchStrategy[list[pages.Page]]:
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
        return pages.make_page(
            {row.customer: row for row in customers},
            {row.key_hash: row for row in keys},
            {},
        )

    one = st.builds(page, st.lists(customer), st.lists(key))
    return st.lists(one, min_size=1, max_size=4)


@given(page_lists(), st.data())
def test_only_stored_pages_are_in_force_and_never_revert(
    stored: list[pages.Page], data: st.DataObject
) -> None:
    history = [pages.Page(), *stored]
    page_set = pageset.PageSet()
    revisions = st.integers(1, len(stored))
    for revision, is_whole in data.draw(
        st.lists(st.tuples(revisions, st.booleans()), max_size=12)
    ):
        before = page_set.revisions()[0]
        page = history[revision]
        if is_whole:
            page_set.put_if_newer(KEY, revision, page)
        else:
            base = data.draw(st.integers(0, revision - 1))
            page_set.apply_change(
                pages.diff(KEY, history[base], base, page, revision)
            )
        current = page_set.versioned_page(KEY)
        assert current is not None
        assert current.revision >= before
        assert current.page == history[current.revision]
        assert page_set.customers == {
            r.customer: r for r in current.page.customers
        }
        assert page_set.keys == {row.key_hash: row for row in current.page.keys}


@given(page_lists())
def test_pages_are_decoded_as_encoded(stored: list[pages.Page]) -> None:
    for page in stored:
        assert pages.decode(pages.encode(page)) == page


def test_change_with_wrong_digest_is_not_applied() -> None:
    """A change does not lead to the page that its digest names.

    Two versions of the program may compute changes differently. Applied, the
    change would leave a VM with other rows than its peers at the same
    revision, which no comparison detects. Rejected, it makes the VM fetch the
    whole page.
    """
    row = records.Customer("a")
    page = pages.make_page({"a": row}, {}, {})
    change = pages.diff(KEY, pages.Page(), 0, page, 1)
    page_set = pageset.PageSet()
    wrong = change._replace(rows=pages.Page((row._replace(weight=9.0),)))
    assert page_set.apply_change(wrong) is None
    assert page_set.apply_change(change) is not None
