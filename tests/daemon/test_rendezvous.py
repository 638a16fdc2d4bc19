"""Tests of the choice that each VM makes alike."""

import random

import hypothesis
from hypothesis import strategies as st

from bulrushdeald import rendezvous

NAMES = st.lists(st.text("abc123", min_size=1), unique=True, max_size=8)


@hypothesis.given(st.text("xyz"), NAMES, st.randoms())
def test_vms_that_see_the_same_names_choose_the_same(
    key: str, names: list[str], order: random.Random
) -> None:
    # All VMs sweep at once, or none does: they list the others in
    # different orders.
    ranked = rendezvous.rank(key, names)
    shuffled = list(names)
    order.shuffle(shuffled)
    assert list(rendezvous.rank(key, shuffled)) == list(ranked)
    assert sorted(ranked) == sorted(names)
    assert rendezvous.pick(key, tuple(names)) == (ranked[0] if names else "")


@hypothesis.given(st.text("xyz"), NAMES, st.data())
def test_one_name_less_moves_only_what_it_had(
    key: str, names: list[str], data: st.DataObject
) -> None:
    # A VM is replaced, and all work moves between all the others as well.
    hypothesis.assume(names)
    gone = data.draw(st.sampled_from(names))
    left = [name for name in names if name != gone]
    before = [name for name in rendezvous.rank(key, names) if name != gone]
    assert list(rendezvous.rank(key, left)) == before
