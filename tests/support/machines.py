"""How many examples a state machine runs."""

import hypothesis


def settings(examples: int, steps: int) -> hypothesis.settings:
    """Returns a machine's settings.

    `examples` holds where each run has to give the same verdict. A profile
    that explores, as `make fuzz`, says itself how many it runs.
    """
    profile = hypothesis.settings()
    count = examples if profile.derandomize else profile.max_examples
    return hypothesis.settings(max_examples=count, stateful_step_count=steps)
