"""Which prompt prefixes the engines of a service probably have cached.

Requests share long prefixes. If each goes to any engine, all engines read all
prefixes again and again, and their memory is too small to cache them all. It is
designed for many more long prefixes than one engine can cache.
"""

import collections
from collections.abc import Iterable, Sequence
import random
from typing import NamedTuple

from gateway import records
from gateway.decisions import requestcosts

# The most prefixes of one engine, and the most parts of one prompt that are
# indexed. They bound the memory of the leader and the time of a look-up.
_MAX_PREFIXES = 4096
_MAX_PARTS = 16
# The share of an engine's prefixes that may have been read only once. It has
# room for sessions that come again, and leaves most of it to shared prefixes.
_ONCE_SHARE = 0.25
# A shorter prefix is read in a few milliseconds.
_MIN_AFFINITY_TOKENS = 1000
_HASH_BITS = 64
_HASH_MASK = (1 << _HASH_BITS) - 1
# Odd, so that no two hashes have the same product, and near 2^64 divided by the
# golden ratio, so that similar hashes have distant products.
_HASH_FACTOR = 0x9E3779B97F4A7C15


class _Prefix(NamedTuple):
    """A prompt up to the end of one of its parts.

    Attributes:
        key: The model and the names of the parts.
        tokens: The length of the last of these parts.
    """

    key: str
    tokens: int


class _Prompt(NamedTuple):
    """A prompt as the index needs it.

    Attributes:
        cost: The cost of the request.
        prefixes: Its prefixes, the shortest first.
        affinity_hash: The hash of the prefix by which it prefers engines;
            `None` if it prefers none.
    """

    cost: requestcosts.RequestCost
    prefixes: tuple[_Prefix, ...]
    affinity_hash: int | None


class _Segment:
    """Prefixes in the order of their last use.

    Attributes:
        tokens: The sum of the lengths of their last parts.
    """

    def __init__(self) -> None:
        self.tokens = 0
        self._tokens_by_key: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._tokens_by_key)

    def add(self, prefix: _Prefix) -> None:
        """Adds a prefix as the last used one."""
        self._tokens_by_key[prefix.key] = prefix.tokens
        self.tokens += prefix.tokens

    def remove(self, key: str) -> None:
        """Removes a prefix of the segment."""
        self.tokens -= self._tokens_by_key.pop(key)

    def evict(self) -> str:
        """Removes the least recently used prefix and returns its key."""
        key, tokens = self._tokens_by_key.popitem(last=False)
        self.tokens -= tokens
        return key


class _Cache:
    """A model of the prefix cache of one engine.

    Args:
        engine: The engine.

    Attributes:
        started_ms: When the engine was started, in milliseconds of the epoch.
        engine_hash: The hash of its name.
        running_tokens: The tokens that running requests take beyond the parts
            of their prompts.
    """

    def __init__(self, engine: records.Upstream) -> None:
        self.started_ms = engine.started_ms
        self.engine_hash = _hash(engine.instance)
        self.running_tokens = 0
        self._shared = _Segment()
        self._once = _Segment()
        self._segments: dict[str, _Segment] = {}

    def cached_tokens(self, prefixes: Iterable[_Prefix]) -> int:
        """Returns the tokens of the longest cached one of a prompt's prefixes.

        A part is reused only if all parts before it are cached.
        """
        total_tokens = 0
        for key, tokens in prefixes:
            if key not in self._segments:
                break
            total_tokens += tokens
        return total_tokens

    def read(self, prefixes: Sequence[_Prefix]) -> None:
        """Adds the prefixes of a prompt as the last used ones.

        A prefix is never used later than those that it contains, so longer
        prefixes are evicted before the shorter ones that they need.
        """
        for prefix in reversed(prefixes):
            is_last = prefix is prefixes[-1]
            known = self._segments.get(prefix.key)
            if known is not None:
                known.remove(prefix.key)
            segment = self._once if is_last and known is None else self._shared
            segment.add(prefix)
            self._segments[prefix.key] = segment

    def shrink(self, memory_tokens: int) -> None:
        """Evicts prefixes until the rest fits beside the running requests."""
        room_tokens = max(0, memory_tokens - self.running_tokens)
        while (
            self._shared.tokens + self._once.tokens > room_tokens
            or len(self._segments) > _MAX_PREFIXES
        ):
            segment = self._segment_to_shrink(room_tokens)
            del self._segments[segment.evict()]

    def _segment_to_shrink(self, room_tokens: int) -> _Segment:
        if not self._shared:
            return self._once
        is_once_over = (
            self._once.tokens > room_tokens * _ONCE_SHARE
            or len(self._once) > _MAX_PREFIXES * _ONCE_SHARE
        )
        return self._once if is_once_over else self._shared


class PrefixIndex:
    """An index of the engines' prefix caches, kept by the service's leader.

    The last part of a prompt is often its request's own. It counts as shared
    once it has been read again.
    """

    def __init__(self) -> None:
        self._memory_tokens = 0
        self._caches: dict[str, _Cache] = {}
        self._last_prompt = _prompt(requestcosts.UNKNOWN)

    def set_engines(
        self, engines: Iterable[records.Upstream], memory_tokens: int
    ) -> None:
        """Replaces the set of engines.

        An engine that has restarted has an empty cache.

        Args:
            engines: The engines.
            memory_tokens: The tokens that fit into the memory of each of them;
                0 if unknown, which switches the index off.
        """
        self._memory_tokens = memory_tokens
        rows = engines if memory_tokens else ()
        self._caches = {row.instance: self._cache(row) for row in rows}
        for cache in self._caches.values():
            cache.shrink(memory_tokens)

    def _cache(self, row: records.Upstream) -> _Cache:
        cache = self._caches.get(row.instance)
        if cache is None or cache.started_ms != row.started_ms:
            return _Cache(row)
        return cache

    def set_running_tokens(self, instance: str, tokens: int) -> None:
        """Records how much memory is not left for cached prefixes.

        Args:
            instance: The engine.
            tokens: The sum of `own_tokens` of the requests that run on it.
        """
        cache = self._caches.get(instance)
        if cache is None:
            return
        cache.running_tokens = tokens
        cache.shrink(self._memory_tokens)

    def record_read(
        self, instance: str, cost: requestcosts.RequestCost
    ) -> None:
        """Records that an engine reads the prompt of a request."""
        cache = self._caches.get(instance)
        if cache is None or cost.peak_tokens > self._memory_tokens:
            return
        cache.read(self._prompt_of(cost).prefixes)
        cache.shrink(self._memory_tokens)

    def cached_tokens(
        self, instance: str, cost: requestcosts.RequestCost
    ) -> int:
        """Returns how many tokens of a prompt an engine probably has cached."""
        cache = self._caches.get(instance)
        if cache is None:
            return 0
        tokens = cache.cached_tokens(self._prompt_of(cost).prefixes)
        return min(tokens, cost.input_tokens)

    def affinity(self, instance: str, cost: requestcosts.RequestCost) -> float:
        """Returns the order of an engine for a prefix that none has cached.

        Returns:
            A rendezvous hash from 0 to 1, the least first; 0 for all engines if
            the prefix is too short to matter.
        """
        cache = self._caches.get(instance)
        prefix_hash = self._prompt_of(cost).affinity_hash
        if cache is None or prefix_hash is None:
            return 0.0
        mixed = (prefix_hash ^ cache.engine_hash) * _HASH_FACTOR & _HASH_MASK
        return mixed / _HASH_MASK

    def _prompt_of(self, cost: requestcosts.RequestCost) -> _Prompt:
        """Returns the prompt of a request, for all engines the same one."""
        if cost is not self._last_prompt.cost:
            self._last_prompt = _prompt(cost)
        return self._last_prompt


def own_tokens(cost: requestcosts.RequestCost) -> int:
    """Returns the memory that a request takes beyond the parts of its prompt.

    It is the request's alone, as no other request can reuse it.
    """
    part_tokens = sum(part.tokens for part in cost.parts[:_MAX_PARTS])
    return max(cost.output_tokens, cost.peak_tokens - part_tokens)


def _prompt(cost: requestcosts.RequestCost) -> _Prompt:
    prefixes = []
    key = cost.model
    for part in cost.parts[:_MAX_PARTS]:
        key = f"{key}\0{part.name}"
        prefixes.append(_Prefix(key, part.tokens))
    return _Prompt(cost, tuple(prefixes), _affinity_hash(prefixes))


def _affinity_hash(prefixes: Sequence[_Prefix]) -> int | None:
    """Returns the hash of the shared prefix or, if it is short, of the whole.

    Returns:
        The hash; `None` if the whole is short too.
    """
    for length in (len(prefixes) - 1, len(prefixes)):
        tokens = sum(prefix.tokens for prefix in prefixes[: max(0, length)])
        if tokens >= _MIN_AFFINITY_TOKENS:
            return _hash(prefixes[length - 1].key)
    return None


def _hash(text: str) -> int:
    """Returns a hash that is the same in all processes."""
    return random.Random(text).getrandbits(_HASH_BITS)
