"""Which of a service's engines gets a request.

Engines have no priorities and cannot pass a request on. If one failure domain
has 3 times its demand, or a quarter of the engines is 4 times slower than
usual, requests are late where they were sent while others have room.
"""

from collections.abc import Callable, Iterable, Sequence
import random
from typing import NamedTuple

from gateway import records

# Engines that are filled to less than this are used in each VM's own order: a
# VM then finds open connections, and the requests are not slower.
_LOW_FILL = 0.5
# Steps in which lower fills are compared.
_LOW_FILL_STEP = 0.25
# Engines of at least this pace get batch items last: an item that runs there
# lasts seconds longer, and slow periods are short.
_SLOW_PACE = 1.5


class Candidate(NamedTuple):
    """An engine as a request finds it.

    Attributes:
        row: The engine.
        load: The estimated number of requests on it.
        pace: How long work takes on it, 1.0 as usual.
        has_room: Whether the request has a slot and memory there at once.
        memory_fill: The used share of its memory; 0 if unknown, 1 if the
            request has no room.
        reserved_tokens: Memory kept free for others: reservations, and what
            unknown runs are taken to use.
        unread_tokens: The tokens of the prompt that it has not cached.
        wait_s: In how many seconds it begins to read the prompt.
        start_s: In how many seconds it has read the prompt.
    """

    row: records.Upstream
    load: float
    pace: float
    has_room: bool
    memory_fill: float = 0.0
    reserved_tokens: int = 0
    unread_tokens: int = 0
    wait_s: float = 0.0
    start_s: float = 0.0

    @property
    def fill(self) -> float:
        """How full the engine is, 1.0 with no free slot or no free memory.

        On a slow engine runs count by the time that they take there, and the
        new request by what it takes longer.
        """
        load = (self.load + 1) * self.pace - 1
        return max(0.0, load / self.row.slots, self.memory_fill * self.pace)


class Wishes(NamedTuple):
    """What a request asks of its engine.

    Attributes:
        vm: The VM that sends it.
        domain: The preferred failure domain; empty for none.
        start_step_s: Starts that differ by less count as equal, in seconds.
        affinity: Returns the rank of an engine for a prefix that no engine
            has cached, the least first; `None` if there is no such prefix.
        is_batch: Whether it is a batch item.
    """

    vm: str
    domain: str
    start_step_s: float
    affinity: Callable[[str], float] | None = None
    is_batch: bool = False


class EngineChoice:
    """Chooses an engine for each request.

    Args:
        rng: Chooses among equal engines.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        # The ranks of the engines in each VM's own order.
        self._ranks: dict[str, dict[str, float]] = {}

    def set_engines(self, instances: Iterable[str]) -> None:
        """Sets the engines that VMs have an own order of."""
        kept = frozenset(instances)
        for vm in list(self._ranks):
            self._ranks[vm] = {
                name: rank
                for name, rank in self._ranks[vm].items()
                if name in kept
            }

    def best(
        self, candidates: Sequence[Candidate], wishes: Wishes
    ) -> Candidate:
        """Returns the engine for a request.

        The earliest start comes first; then the engine that a new prefix is
        to be cached in, so that a new leader finds it there; then the failure
        domain, since a run across domains is lost when one of them is cut off,
        and traffic between domains costs money; then the least fill.

        Args:
            candidates: The engines, at least one.
            wishes: What the request asks of its engine.
        """
        if wishes.is_batch:
            usual = [row for row in candidates if row.pace < _SLOW_PACE]
            candidates = usual or candidates
        rows = earliest(candidates, wishes)
        if wishes.domain:
            rows = _least(
                rows, lambda row: row.row.failure_domain != wishes.domain
            )
        return min(rows, key=lambda row: self._fill_key(row, wishes.vm))

    def _fill_key(self, row: Candidate, vm: str) -> tuple[float, float]:
        fill = row.fill
        if fill >= _LOW_FILL:
            return (fill, self._rng.random())
        step = fill // _LOW_FILL_STEP * _LOW_FILL_STEP
        return (step, self._rank(vm, row.row.instance))

    def _rank(self, vm: str, instance: str) -> float:
        """Returns a rendezvous hash, which is the same at each leader."""
        ranks = self._ranks.setdefault(vm, {})
        if instance not in ranks:
            ranks[instance] = random.Random(f"{vm}\0{instance}").random()
        return ranks[instance]


def earliest(
    candidates: Sequence[Candidate], wishes: Wishes
) -> list[Candidate]:
    """Returns the engines that start a request the earliest.

    Of these the one that a new prefix is to be cached in, if there is one.

    Args:
        candidates: The engines, at least one.
        wishes: What the request asks of its engine.
    """
    earliest_s = min(row.start_s for row in candidates)
    latest_s = earliest_s + wishes.start_step_s
    rows = [row for row in candidates if row.start_s <= latest_s]
    affinity = wishes.affinity
    if affinity is None:
        return rows
    return _least(rows, lambda row: affinity(row.row.instance))


def _least(
    rows: Sequence[Candidate], key: Callable[[Candidate], float]
) -> list[Candidate]:
    """Returns all engines with the least key."""
    keys = [key(row) for row in rows]
    least = min(keys)
    return [row for row, own in zip(rows, keys, strict=True) if own == least]
