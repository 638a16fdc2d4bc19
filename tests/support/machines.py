"""Hypothesis settings of the state machines."""

import hypothesis


def settings(examples: int, steps: int) -> hypothesis.settings:
    """Returns a state machine's settings.

    Args:
        examples: The number of examples in profiles that give the same
            verdict in each run. Profiles that explore at random, such as that
            of `make fuzz`, set their own number.
        steps: The number of steps in each example.
    """
    profile = hypothesis.settings()
    count = examples if profile.derandomize else profile.max_examples
    return hypothesis.settings(max_examples=count, stateful_step_count=steps)
