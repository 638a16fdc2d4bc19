"""Tests of weighted fair sharing."""

from bulrushdeald import stride


def test_names_served_alike_stay_in_their_order() -> None:
    """Guards against a job that is due later going first by a name."""
    shares = stride.Shares()
    assert shares.order(["due first", "a"]) == ["due first", "a"]
    shares.charge("due first", 1.0)
    assert shares.order(["due first", "a"]) == ["a", "due first"]
    shares.charge("a", 1.0)
    assert shares.order(["due first", "a"]) == ["due first", "a"]
