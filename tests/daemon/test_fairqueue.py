"""Tests of the fair queue between customers."""

import collections

from hypothesis import given
from hypothesis import strategies as st

from bulrushdeald import fairqueue

CUSTOMERS = ("a", "b", "c")


@given(
    st.dictionaries(
        st.sampled_from(CUSTOMERS), st.integers(1, 4), min_size=2, max_size=3
    ),
    st.lists(st.integers(1, 50), min_size=200, max_size=200),
)
def test_backlogged_customers_share_by_weight(
    weights: dict[str, int], costs: list[int]
) -> None:
    queue: fairqueue.FairQueue[tuple[str, int]] = fairqueue.FairQueue()
    for customer, weight in weights.items():
        for cost in costs:
            queue.push(customer, weight, cost, (customer, cost))
    served: collections.Counter[str] = collections.Counter()
    for _ in range(100):
        customer, cost = queue.pop() or ("", 0)
        served[customer] += cost
        # Start-time fair queueing guarantees that the weighted service of
        # two customers differs by at most one item of each.
        for one, weight in weights.items():
            for other, other_weight in weights.items():
                gap = served[one] / weight - served[other] / other_weight
                assert gap <= 50 / weight + 50 / other_weight


def test_light_customer_is_next_behind_a_heavy_backlog() -> None:
    # One customer sends 1,000 requests at once and another sends one. In a
    # FIFO the single request would wait behind all the others.
    queue: fairqueue.FairQueue[str] = fairqueue.FairQueue()
    for _ in range(1000):
        queue.push("heavy", 1.0, 10.0, "heavy")
    queue.pop()
    queue.push("light", 1.0, 10.0, "light")
    assert "light" in (queue.pop(), queue.pop())


@given(st.lists(st.sampled_from(["push", "pop", "remove"]), max_size=60))
def test_each_item_leaves_once(steps: list[str]) -> None:
    queue: fairqueue.FairQueue[int] = fairqueue.FairQueue()
    waiting: dict[int, str] = {}
    for number, step in enumerate(steps):
        customer = CUSTOMERS[number % 3]
        if step == "push":
            waiting[queue.push(customer, 1.0, 1.0, number)] = customer
        elif step == "pop":
            assert (queue.pop() is not None) == bool(waiting)
            # All costs are equal, so the popped ticket is found by comparing
            # the counts.
            counts = {c: queue.queued(c) for c in CUSTOMERS}
            for ticket in sorted(waiting):
                if (
                    list(waiting.values()).count(waiting[ticket])
                    > (counts[waiting[ticket]])
                ):
                    del waiting[ticket]
                    break
        elif waiting:
            ticket, owner = waiting.popitem()
            queue.remove(owner, ticket)
        assert len(queue) == len(waiting)
