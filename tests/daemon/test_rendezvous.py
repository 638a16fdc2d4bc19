"""Tests of the choice that all VMs make alike."""

import random

import hypothesis
from hypothesis import strategies as st

from bulrushdeald import rendezvous

NAMES = st.lists(st.text("abc123", min_size=1), unique=True, max_size=8)


@hypothesis.given(st.text("xyz"), NAMES, st.randoms())
def test_vms_that_see_the_same_names_choose_the_same(
    key: str, names: list[str], order: random.Random
) -> None:
    # VMs list the others in different orders. If that changed the choice, all
    # of them would sweep at once, or none would.
    ranked = rendezvous.rank(key, names)
    shuffled = list(names)
    order.shuffle(shuffled)
    assert list(rendezvous.rank(key, shuffled)) == list(ranked)
    assert sorted(ranked) == sorted(names)
    assert rendezvous.pick(key, tuple(names)) == (ranked[0] if names else "")


@hypothesis.given(st.text("xyz"), NAMES, st.data())
def test_a_removed_name_moves_only_its_own_keys(
    key: str, names: list[str], data: st.DataObject
) -> None:
    # If other keys moved too, replacing one VM would move the work of all.
    hypothesis.assume(names)
    removed = data.draw(st.sampled_from(names))
    remaining = [name for name in names if name != removed]
    before = [name for name in rendezvous.rank(key, names) if name != removed]
    assert list(rendezvous.rank(key, remaining)) == before
