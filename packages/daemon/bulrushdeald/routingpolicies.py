"""Policies that choose one of the upstreams with room for a request."""

import random
from typing import NamedTuple, Protocol

from bulrushdeal import records
from bulrushdeald import rendezvous

# A batch stream counts for less than an online stream: it slows online
# streams while it runs, but it yields on request.
BATCH_WEIGHT = 0.25
# The upstream preferred for a prompt prefix is used while its load is at most
# the mean load times this factor plus this slack.
AFFINITY_LOAD_FACTOR = 1.25
AFFINITY_LOAD_SLACK = 0.1


class Candidate(NamedTuple):
    """An upstream with room and its estimated number of requests."""

    upstream: records.Upstream
    online: int
    batch: int

    @property
    def load(self) -> float:
        """The weighted number of running requests per slot."""
        return (self.online + BATCH_WEIGHT * self.batch) / self.upstream.slots


class Policy(Protocol):
    """Chooses one upstream from a non-empty list of candidates."""

    def choose(
        self, candidates: list[Candidate], prompt_prefix: bytes
    ) -> Candidate:
        """Returns the candidate to send the request to."""


class RandomPolicy:
    """Chooses any candidate; the baseline for the other policies."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, candidates: list[Candidate], prompt_prefix: bytes
    ) -> Candidate:
        """See `Policy`."""
        del prompt_prefix
        return self._rng.choice(candidates)


class LeastLoadPolicy:
    """Chooses the less loaded of two random candidates.

    The random pair keeps VMs from all choosing the same upstream at once.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(
        self, candidates: list[Candidate], prompt_prefix: bytes
    ) -> Candidate:
        """See `Policy`."""
        del prompt_prefix
        if len(candidates) == 1:
            return candidates[0]
        pair = self._rng.sample(candidates, 2)
        return min(pair, key=lambda candidate: candidate.load)


class AffinityPolicy:
    """Sends a prompt prefix to the same upstream unless it is overloaded.

    Rendezvous hashing maps the prefix to the upstream that is likely to have
    it cached.
    """

    def __init__(self, rng: random.Random) -> None:
        self._fallback = LeastLoadPolicy(rng)

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


def make_policy(name: str, rng: random.Random) -> Policy:
    """Returns the policy with the name that is given in a setting."""
    if name == "random":
        return RandomPolicy(rng)
    if name == "least_load":
        return LeastLoadPolicy(rng)
    return AffinityPolicy(rng)
