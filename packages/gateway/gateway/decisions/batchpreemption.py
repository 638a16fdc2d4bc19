"""Which batch runs lose their slots to an online request.

Batch items fill all engines between bursts of online requests and run for
seconds. An online request that needs the memory of several of them must not
cost more of them than it needs.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from gateway.decisions import batchorder
from gateway.decisions import enginechoice

# Chooses some of the engines.
Narrow = Callable[
    [Sequence[enginechoice.Candidate]], Sequence[enginechoice.Candidate]
]
# Returns whether a request fits on an engine after some of its runs ended.
HasRoom = Callable[[enginechoice.Candidate, Sequence[str]], bool]
_Find = Callable[
    [enginechoice.Candidate, Sequence["_Victim"], HasRoom],
    tuple["_Victim", ...],
]


class _Victim(NamedTuple):
    """A sort key of the batch runs on an engine; the greatest is first.

    Late items come first, since their rank is the last, and then the others by
    their rank, so that items near their end are not preempted again and again.
    """

    rank: batchorder.Rank
    run: str


class _Group(NamedTuple):
    """Runs on one engine that make room; the greatest is preempted.

    Of two engines with late items, or with none, the one in the failure domain
    of the request is preferred, since a run across domains is lost when one of
    them is cut off.
    """

    is_late: bool
    is_near: bool
    first: _Victim
    victims: tuple[_Victim, ...]
    choice: enginechoice.Candidate


class BatchRuns:
    """The batch runs on the engines of one service."""

    def __init__(self) -> None:
        self._ranks: dict[str, dict[str, batchorder.Rank]] = {}
        # The runs of engines in the order in which they are preempted.
        self._ordered: dict[str, list[_Victim]] = {}

    def add(
        self,
        run: str,
        instance: str,
        priority: batchorder.ItemPriority,
        since_s: float,
    ) -> None:
        """Adds a run.

        Args:
            run: The run's name.
            instance: The engine.
            priority: The priority of its item when it began.
            since_s: When it began, by the monotonic clock.
        """
        # The ranks at time 0 have the order of those at any time, as all runs
        # become older alike.
        rank = batchorder.rank(priority.after(-since_s))
        self._ranks.setdefault(instance, {})[run] = rank
        self._ordered.pop(instance, None)

    def remove(self, run: str, instance: str) -> None:
        """Removes a run; does nothing if it is not known."""
        ranks = self._ranks.get(instance, {})
        if run not in ranks:
            return
        del ranks[run]
        self._ordered.pop(instance, None)
        if not ranks:
            del self._ranks[instance]

    def has_runs(self, instance: str) -> bool:
        """Returns whether an engine has batch runs."""
        return instance in self._ranks

    def victims(
        self,
        choices: Iterable[enginechoice.Candidate],
        domain: str,
        has_room: HasRoom,
        narrow: Narrow,
    ) -> tuple[str, ...]:
        """Returns the runs of one engine to preempt; empty if it is no use.

        Args:
            choices: The engines that the request may use.
            domain: The failure domain of the request's VM.
            has_room: Returns whether the request fits after some runs ended.
            narrow: Returns the best of some engines, by what is preempted
                there if they are several.
        """
        rows = [row for row in choices if row.row.instance in self._ranks]
        groups = self._groups(rows, domain, has_room, _one_victim)
        if not groups:
            groups = self._groups(rows, domain, has_room, _fewest_victims)
        if not groups:
            return ()
        names = {
            choice.row.instance
            for choice in narrow([group.choice for group in groups])
        }
        groups = [row for row in groups if row.choice.row.instance in names]
        fewest = min(len(group.victims) for group in groups)
        best = max(row for row in groups if len(row.victims) == fewest)
        return tuple(victim.run for victim in best.victims)

    def _groups(
        self,
        choices: Iterable[enginechoice.Candidate],
        domain: str,
        has_room: HasRoom,
        find: _Find,
    ) -> list[_Group]:
        groups = []
        for choice in choices:
            victims = find(choice, self._order(choice.row.instance), has_room)
            if victims:
                is_near = choice.row.failure_domain == domain
                is_late = victims[0].rank.is_late
                groups.append(
                    _Group(is_late, is_near, victims[0], victims, choice)
                )
        return groups

    def _order(self, instance: str) -> list[_Victim]:
        ordered = self._ordered.get(instance)
        if ordered is None:
            ordered = [
                _Victim(rank, run)
                for run, rank in self._ranks[instance].items()
            ]
            ordered.sort(reverse=True)
            self._ordered[instance] = ordered
        return ordered


def _one_victim(
    choice: enginechoice.Candidate,
    victims: Sequence[_Victim],
    has_room: HasRoom,
) -> tuple[_Victim, ...]:
    """Returns the first victim that is enough; empty if there is none."""
    for victim in victims:
        if has_room(choice, (victim.run,)):
            return (victim,)
    return ()


def _fewest_victims(
    choice: enginechoice.Candidate,
    victims: Sequence[_Victim],
    has_room: HasRoom,
) -> tuple[_Victim, ...]:
    """Returns victims of which each is needed; empty if all are too few."""
    taken: list[_Victim] = []
    for victim in victims:
        taken.append(victim)
        if has_room(choice, [row.run for row in taken]):
            break
    else:
        return ()
    for victim in list(reversed(taken)):
        others = [row for row in taken if row is not victim]
        if has_room(choice, [row.run for row in others]):
            taken = others
    return tuple(taken)
