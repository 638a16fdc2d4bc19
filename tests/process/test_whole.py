"""The whole path over real processes, as the demo shows it."""

from standins import demo


def test_each_step_of_the_demo_holds() -> None:
    assert demo.main() == 0
