"""Sets up hypothesis so that every run gives the same verdict."""

import os

import hypothesis

# Shrinking a failure of a large state machine takes minutes and does not
# change the verdict; `HYPOTHESIS_PROFILE=shrink` gives the small example.
_WITHOUT_SHRINKING = [
    hypothesis.Phase.explicit,
    hypothesis.Phase.reuse,
    hypothesis.Phase.generate,
]
hypothesis.settings.register_profile(
    "shrink", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.register_profile(
    "ci",
    hypothesis.settings.get_profile("shrink"),
    phases=_WITHOUT_SHRINKING,
)
hypothesis.settings.register_profile(
    "fuzz", deadline=None, database=None, max_examples=2000
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
