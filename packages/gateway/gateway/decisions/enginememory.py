"""How much of the engines' memory their known runs use.

An engine has room for as many short requests as it has slots, but for fewer
with long prompts. A request that is sent to an engine without memory for it
blocks the engine's queue.
"""

from collections.abc import Collection
from typing import NamedTuple

from gateway.decisions import requestcosts

# Engines allocate memory in blocks of about this size.
_BLOCK_TOKENS = 16
# The most parts of one prompt that are counted as shared; it bounds the time of
# a decision.
_MAX_SHARED_PARTS = 16
# Weight of a new request in the mean size of requests.
_MEAN_WEIGHT = 0.05
# Larger sizes count as this multiple of the mean, so that one wrong statement
# does not change it much.
_MAX_MEAN_RATIO = 2.0


class SharedPart(NamedTuple):
    """A part of a prompt that several requests may use in the same memory.

    Attributes:
        key: Identifies the model, the part and all parts before it.
        tokens: The memory that it takes.
    """

    key: str
    tokens: int


class Demand(NamedTuple):
    """The memory that a request needs.

    Attributes:
        own_tokens: What only this request uses, with its whole answer.
        tokens: What it takes on an empty engine.
        shared: The parts that others may use as well, in order.
    """

    own_tokens: int
    tokens: int
    shared: tuple[SharedPart, ...] = ()


class _Held(NamedTuple):
    """The memory of a run and the engine that it is on."""

    instance: str
    demand: Demand


class _Usage:
    """What the runs on an engine use.

    Attributes:
        runs: The number of the runs.
        tokens: The memory that they use.
        users: The number of runs that use each shared part.
    """

    def __init__(self) -> None:
        self.runs = 0
        self.tokens = 0
        self.users: dict[str, int] = {}


_NO_USAGE = _Usage()


class MemoryAccount:
    """The memory that the known runs of one service use, by engine.

    Parts that several runs on an engine share are counted once. Runs that wait
    in an engine's queue are counted as well, which reserves their memory: all
    runs of an engine have begun exactly if together they fit.
    """

    def __init__(self) -> None:
        self._capacity_tokens = 0
        self._mean_tokens = 0.0
        self._held: dict[str, _Held] = {}
        self._usages: dict[str, _Usage] = {}

    @property
    def is_limited(self) -> bool:
        """Whether the size of the engines' memory is known."""
        return self._capacity_tokens > 0

    @property
    def mean_tokens(self) -> float:
        """The mean memory of a request."""
        return self._mean_tokens

    def set_capacity(self, memory_tokens: int) -> None:
        """Sets the memory of each engine; 0 if unknown, when all requests fit.

        Runs stay counted while it is unknown, as it may become known.
        """
        self._capacity_tokens = max(0, memory_tokens)
        if self.is_limited and self._mean_tokens > self._capacity_tokens:
            self._mean_tokens = 0.0

    def demand(self, cost: requestcosts.RequestCost) -> Demand:
        """Returns the memory that a request needs.

        A request that does not state the length of its prompt is taken to need
        the mean of the others.
        """
        if not cost.input_tokens:
            known = max(self._mean_tokens, cost.output_tokens)
            tokens = _in_blocks(round(known))
            return Demand(tokens, tokens)
        key, shared_tokens = cost.model, 0
        shared: list[SharedPart] = []
        for part in cost.parts[:-1][:_MAX_SHARED_PARTS]:
            if shared_tokens + part.tokens > cost.input_tokens:
                # The parts are stated longer than the whole prompt.
                break
            key = f"{key}\0{part.name}:{part.tokens}"
            shared.append(SharedPart(key, _in_blocks(part.tokens)))
            shared_tokens += part.tokens
        own_tokens = max(0, cost.input_tokens - shared_tokens)
        own_tokens = _in_blocks(own_tokens + cost.output_tokens)
        tokens = own_tokens + sum(part.tokens for part in shared)
        return Demand(own_tokens, tokens, tuple(shared))

    def can_fit(self, demand: Demand) -> bool:
        """Returns whether an engine without runs has room for a request."""
        return not self.is_limited or demand.tokens <= self._capacity_tokens

    def fits(
        self,
        instance: str,
        demand: Demand,
        reserved_tokens: int = 0,
        *,
        without: Collection[str] = (),
    ) -> bool:
        """Returns whether an engine has room for a request.

        Args:
            instance: The engine.
            demand: The memory that the request needs.
            reserved_tokens: Memory that is to be left free.
            without: Runs on the engine that count as ended.
        """
        if not self.is_limited:
            return True
        usage = self._usages.get(instance, _NO_USAGE)
        users = usage.users
        used = usage.tokens + reserved_tokens + demand.own_tokens
        if without:
            users = dict(users)
            for run in without:
                used -= _unlink(users, self._held[run].demand)
        # A run that uses a part uses all parts before it, too.
        for part in reversed(demand.shared):
            if part.key in users:
                break
            used += part.tokens
        return used <= self._capacity_tokens

    def add(
        self, run: str, instance: str, cost: requestcosts.RequestCost
    ) -> None:
        """Counts a run on an engine, in place of any other of its name."""
        self.remove(run)
        demand = self.demand(cost)
        usage = self._usages.setdefault(instance, _Usage())
        usage.runs += 1
        usage.tokens += demand.own_tokens
        for part in demand.shared:
            if part.key not in usage.users:
                usage.tokens += part.tokens
            usage.users[part.key] = usage.users.get(part.key, 0) + 1
        self._held[run] = _Held(instance, demand)
        if cost.input_tokens:
            self._learn(demand.tokens)

    def remove(self, run: str) -> None:
        """Stops to count a run; does nothing if it is not counted."""
        held = self._held.pop(run, None)
        if held is None:
            return
        usage = self._usages[held.instance]
        usage.runs -= 1
        usage.tokens -= _unlink(usage.users, held.demand)
        if not usage.runs:
            del self._usages[held.instance]

    def held(self, run: str) -> Demand:
        """Returns the memory that a counted run needs."""
        return self._held[run].demand

    def used_tokens(self, instance: str) -> int:
        """Returns the memory of an engine's runs, with those in its queue.

        Returns:
            The tokens; 0 if the size of the memory is unknown.
        """
        if not self.is_limited:
            return 0
        return self._usages.get(instance, _NO_USAGE).tokens

    def left_tokens(self, instance: str) -> int:
        """Returns the memory that an engine's runs leave free."""
        return max(0, self._capacity_tokens - self.used_tokens(instance))

    def fill(self, instance: str, reserved_tokens: int = 0) -> float:
        """Returns the used share of an engine's memory; 0 if unknown."""
        if not self._capacity_tokens:
            return 0.0
        used = self._usages.get(instance, _NO_USAGE).tokens + reserved_tokens
        return used / self._capacity_tokens

    def _learn(self, tokens: int) -> None:
        if self.is_limited and tokens > self._capacity_tokens:
            # An engine rejects it. VMs without a leader send such requests.
            return
        if not self._mean_tokens:
            self._mean_tokens = float(tokens)
            return
        counted = min(tokens, self._mean_tokens * _MAX_MEAN_RATIO)
        self._mean_tokens += (counted - self._mean_tokens) * _MEAN_WEIGHT


def _in_blocks(tokens: int) -> int:
    """Returns the tokens rounded up to whole blocks."""
    return -(-tokens // _BLOCK_TOKENS) * _BLOCK_TOKENS


def _unlink(users: dict[str, int], demand: Demand) -> int:
    """Removes one run from the users of shared parts.

    Returns:
        The tokens that it leaves free.
    """
    freed = demand.own_tokens
    for part in demand.shared:
        users[part.key] -= 1
        if not users[part.key]:
            del users[part.key]
            freed += part.tokens
    return freed
