"""Tests of the engines' own load reports beside the VMs' counts."""

from hypothesis import given
from hypothesis import strategies as st

from bulrushdeal import clock as clock_lib
from bulrushdeald import loadpoll


@given(st.lists(st.tuples(st.integers(0, 20), st.floats(0, 3)), min_size=1))
def test_window_keeps_the_most_of_the_last_seconds(
    steps: list[tuple[int, float]],
) -> None:
    clock = clock_lib.FakeClock()
    window = loadpoll.Window(clock)
    noted: list[loadpoll.Known] = []
    for count, pause_s in steps:
        clock.sleep_s(pause_s)
        window.note("e1", count)
        noted.append(loadpoll.Known(clock.now_s, count))
        since_s = clock.now_s - loadpoll.WINDOW_S
        expected = max(k.running for k in noted if k.at_s >= since_s)
        assert window.most("e1") == expected
    assert window.most("e2") == 0
