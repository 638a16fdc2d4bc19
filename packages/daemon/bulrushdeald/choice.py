"""Policies that choose an upstream among those with room."""

import random
from typing import NamedTuple, Protocol

from bulrushdeal import records
from bulrushdeald import rendezvous

# A batch stream slows online ones while it lasts but yields when asked, so
# it counts for less than an online stream.
BATCH_WEIGHT = 0.25
# An upstream that has the prompt's prefix cached may be this much fuller
# than the average before another is taken.
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 0.1


class Candidate(NamedTuple):
    """An upstream with room, and how full it is believed to be."""

    upstream: records.Upstream
    online: int
    batch: int

    @property
    def load(self) -> float:
        """The expected wait, relative to its size."""
        return (self.online + BATCH_WEIGHT * self.batch) / self.upstream.slots


class Policy(Protocol):
    """Chooses one of at least one candidate."""

    def choose(
        self, candidates: list[Candidate], prompt_prefix: bytes
    ) -> Candidate:
        """Returns the candidate that the request goes to."""


class RandomPolicy:
    """Any candidate; the baseline that the others are measured against."""

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def choose(
        self, candidates: list[Candidate], prompt_prefix: bytes
    ) -> Candidate:
        """See `Policy`."""
        del prompt_prefix
        return self._source.choice(candidates)


class LeastLoadPolicy:
    """The better of two random candidates, so that VMs do not herd."""

    def __init__(self, source: random.Random) -> None:
        self._source = source

    def choose(
        self, candidates: list[Candidate], prompt_prefix: bytes
    ) -> Candidate:
        """See `Policy`."""
        del prompt_prefix
        if len(candidates) == 1:
            return candidates[0]
        pair = self._source.sample(candidates, 2)
        return min(pair, key=lambda candidate: candidate.load)


class AffinityPolicy:
    """The upstream that has seen the prefix, unless it is too full."""

    def __init__(self, source: random.Random) -> None:
        self._fallback = LeastLoadPolicy(source)

    def choose(
        self, candidates: list[Candidate], prompt_prefix: bytes
    ) -> Candidate:
        """See `Policy`."""
        if not prompt_prefix or len(candidates) == 1:
            return self._fallback.choose(candidates, b"")
        by_name = {
            candidate.upstream.upstream: candidate for candidate in candidates
        }
        preferred = by_name[rendezvous.pick(prompt_prefix.hex(), by_name)]
        mean = sum(candidate.load for candidate in candidates) / len(candidates)
        if preferred.load <= mean * AFFINITY_LOAD_FACTOR + AFFINITY_LOAD_SLACK:
            return preferred
        return self._fallback.choose(candidates, b"")


def policy(name: str, source: random.Random) -> Policy:
    """Returns the policy that a setting names."""
    if name == "random":
        return RandomPolicy(source)
    if name == "least_load":
        return LeastLoadPolicy(source)
    return AffinityPolicy(source)
