"""The figures that a placement was decided by, for logs and metrics."""

from collections.abc import Mapping
from typing import NamedTuple


class PlacementFigures(NamedTuple):
    """What the leader knew of an engine when it granted a slot there.

    Attributes:
        memory_left_tokens: The memory left beside all known runs, this one
            included, in tokens; `None` if the engine's memory is unknown.
        pace: How long work takes on it, 1.0 as usual.
        pace_age_s: The age of the last reported pace, in seconds; `None` if
            none was reported.
        cached_tokens: The tokens of the prompt that it probably has cached.
        expected_start_s: From the grant to the expected first event, in
            seconds; `None` if it was not estimated.
    """

    memory_left_tokens: int | None = None
    pace: float = 1.0
    pace_age_s: float | None = None
    cached_tokens: int = 0
    expected_start_s: float | None = None

    def rounded(self) -> Mapping[str, float | None]:
        """Returns the figures by name, with times in whole milliseconds."""
        return {
            name: None if value is None else round(value, 3)
            for name, value in self._asdict().items()
        }


class EngineState(NamedTuple):
    """What the leader knows of an engine now.

    Attributes:
        runs: The number of its known runs.
        memory_tokens: The memory that they use, in tokens.
        pace: How long work takes on it, 1.0 as usual.
    """

    runs: int
    memory_tokens: int = 0
    pace: float = 1.0
