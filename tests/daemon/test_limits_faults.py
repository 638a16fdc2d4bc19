"""Random faults on the real limits, checked against one token bucket."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from bench import limitfakes
from bulrushdeal import records
from bulrushdeald import limitrecords
from bulrushdeald import rebalance
from support import limitoracle

_NAMES = [f"d{d}v{v}" for d in range(3) for v in range(3)]


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Guards against admitting more of a customer's requests than its row.

    VMs of up to three failure domains take tokens of one customer while
    domains are cut off, VMs pause, crash, restart and stop, the platform is
    out or loses answers, messages are lost or late, and the row is edited.
    """

    pages = 1

    def __init__(self) -> None:
        super().__init__()
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(limitrecords, "PAGES", self.pages)
        self.patch.setattr(rebalance, "REBALANCE_INTERVAL_S", 2.0)

    def teardown(self) -> None:
        self.patch.undo()

    @stateful.initialize(
        names=st.lists(
            st.sampled_from(_NAMES), min_size=3, max_size=7, unique=True
        ),
        rate_per_s=st.sampled_from([0.5, 5.0, 50.0]),
        burst=st.sampled_from([1.0, 2.5, 6.0, 20.0]),
    )
    def begin(self, names: list[str], rate_per_s: float, burst: float) -> None:
        self.row = records.Customer("a", rate_per_s=rate_per_s, burst=burst)
        self.fleet = limitfakes.Fleet((self.row,))
        self.fleet.net.is_cut = self.is_cut
        self.cut: set[str] = set()
        self.drifts = itertools.cycle([0.0002, -0.0002, 0.0])
        for name in names:
            self.fleet.add(name, name[:2], next(self.drifts))
        self.fleet.settle(5)
        self.bucket = limitoracle.Bucket(self.row, self.fleet.world.now_s)

    def is_cut(self, one: str, other: str) -> bool:
        ends = {one[:2], other[:2]}
        return len(ends) > 1 and bool(ends & self.cut)

    def allow(self) -> None:
        rows = [node.config.rows["a"] for node in self.fleet.nodes.values()]
        self.bucket.allow([self.row, *rows], self.fleet.world.now_s)

    def pick(self, data: st.DataObject, names: list[str]) -> str | None:
        if not names:
            return None
        return data.draw(st.sampled_from(sorted(names)))

    def running(self) -> list[str]:
        return [node.vm.vm for node in self.fleet.running()]

    def dead(self) -> set[str]:
        return set(self.fleet.listed) - set(self.fleet.nodes)

    def domains(self) -> int:
        return len({name[:2] for name in self.fleet.nodes})

    def is_row_pending(self) -> bool:
        return any(
            node.config.rows["a"] != self.row
            for node in self.fleet.nodes.values()
        )

    @stateful.rule(data=st.data(), count=st.sampled_from([1, 8, 30]))
    def take(self, data: st.DataObject, count: int) -> None:
        name = self.pick(data, self.running())
        if name is None:
            return
        self.bucket.take(self.fleet, [name], count)

    @stateful.rule()
    def drain(self) -> None:
        self.bucket.take(self.fleet, self.running(), 30)

    @stateful.precondition(lambda self: len(self.running()) > 1)
    @stateful.rule(data=st.data(), count=st.integers(5, 8))
    def pause_with_credit(self, data: st.DataObject, count: int) -> None:
        name = self.pick(data, self.running())
        if name is None:
            return
        self.bucket.take(self.fleet, [name], count)
        self.fleet.net.paused.add(name)

    @stateful.precondition(lambda self: len(self.running()) > 2)
    @stateful.rule(data=st.data(), is_drained=st.booleans())
    def lose_owner(self, data: st.DataObject, is_drained: bool) -> None:
        owners = {
            part.vm
            for entry in self.fleet.keyvalue.entries.values()
            for part in limitrecords.from_bytes(entry.value).parts
        }
        name = self.pick(data, list(owners & set(self.fleet.nodes)))
        if name is None:
            return
        if is_drained:
            self.drain()
        self.fleet.kill(name)
        del self.fleet.listed[name]
        self.allow()
        self.fleet.settle(10)
        if is_drained:
            self.drain()

    @stateful.rule(seconds=st.sampled_from([0.01, 0.15, 1.0, 7.0, 100.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.world.now_s += seconds
        self.fleet.work()

    @stateful.rule(data=st.data())
    def tend(self, data: st.DataObject) -> None:
        name = self.pick(data, self.running())
        if name is None:
            return
        self.fleet.nodes[name].limits.refresh()
        self.fleet.nodes[name].limits.run_maintenance()

    @stateful.rule(seconds=st.sampled_from([1, 3, 9, 15]))
    def settle(self, seconds: int) -> None:
        self.fleet.settle(seconds)

    @stateful.precondition(lambda self: self.domains() > 1)
    @stateful.rule(domain=st.sampled_from(["d0", "d1", "d2"]))
    def cut_or_heal(self, domain: str) -> None:
        self.cut ^= {domain}
        for node in self.fleet.nodes.values():
            node.keyvalue.is_cut = node.vm.failure_domain in self.cut

    @stateful.precondition(lambda self: len(self.running()) > 1)
    @stateful.rule(data=st.data())
    def pause(self, data: st.DataObject) -> None:
        name = self.pick(data, self.running())
        if name is not None:
            self.fleet.net.paused.add(name)

    @stateful.precondition(lambda self: self.fleet.net.paused)
    @stateful.rule(data=st.data())
    def resume(self, data: st.DataObject) -> None:
        name = self.pick(data, list(self.fleet.net.paused))
        if name is not None:
            self.fleet.net.resume(name)

    @stateful.precondition(lambda self: len(self.running()) > 2)
    @stateful.rule(data=st.data(), is_unlisted=st.booleans())
    def kill(self, data: st.DataObject, is_unlisted: bool) -> None:
        name = self.pick(data, list(self.fleet.nodes))
        if name is None:
            return
        self.fleet.kill(name)
        if is_unlisted:
            del self.fleet.listed[name]
        self.allow()

    @stateful.precondition(lambda self: self.dead())
    @stateful.rule(data=st.data())
    def unlist_dead(self, data: st.DataObject) -> None:
        name = self.pick(data, list(self.dead()))
        if name is not None:
            del self.fleet.listed[name]

    @stateful.precondition(lambda self: len(self.running()) > 2)
    @stateful.rule(data=st.data())
    def stop(self, data: st.DataObject) -> None:
        name = self.pick(data, self.running())
        if name is None:
            return
        self.fleet.nodes[name].limits.stop(1.0)
        self.fleet.kill(name)
        self.allow()

    @stateful.rule(data=st.data())
    def start(self, data: st.DataObject) -> None:
        name = self.pick(data, list(set(_NAMES) - set(self.fleet.nodes)))
        if name is None:
            return
        self.fleet.rows["a"] = self.row
        node = self.fleet.add(name, name[:2], next(self.drifts))
        self.put_in_force(node)
        node.keyvalue.is_cut = node.vm.failure_domain in self.cut

    @stateful.rule(
        is_out=st.sampled_from([False, False, True]), lost=st.integers(0, 2)
    )
    def platform(self, is_out: bool, lost: int) -> None:
        self.fleet.keyvalue.is_out = is_out
        self.fleet.keyvalue.lose_next_answers = lost

    @stateful.rule(
        answers=st.integers(0, 2),
        messages=st.integers(0, 2),
        late=st.integers(0, 2),
    )
    def lose(self, answers: int, messages: int, late: int) -> None:
        self.fleet.net.lose_next_answers = answers
        self.fleet.net.lose_next_messages = messages
        self.fleet.net.delay_next_messages = late

    @stateful.precondition(lambda self: self.fleet.net.delayed)
    @stateful.rule()
    def deliver_late(self) -> None:
        self.fleet.net.deliver_late()

    @stateful.rule(
        rate_per_s=st.sampled_from([0.5, 5.0, 50.0]),
        burst=st.sampled_from([1.0, 2.5, 6.0, 20.0]),
        is_applied=st.booleans(),
    )
    def edit(self, rate_per_s: float, burst: float, is_applied: bool) -> None:
        self.row = records.Customer("a", rate_per_s=rate_per_s, burst=burst)
        self.allow()
        if is_applied:
            self.apply_row_everywhere()
            self.drain()

    @stateful.precondition(lambda self: self.is_row_pending())
    @stateful.rule(data=st.data())
    def apply_row(self, data: st.DataObject) -> None:
        name = self.pick(data, self.running())
        if name is not None:
            self.put_in_force(self.fleet.nodes[name])
            self.allow()

    @stateful.precondition(lambda self: self.is_row_pending())
    @stateful.rule()
    def apply_row_everywhere(self) -> None:
        for node in self.fleet.running():
            self.put_in_force(node)
        self.allow()

    def put_in_force(self, node: limitfakes.Node) -> None:
        node.config.apply(self.row)

    @stateful.invariant()
    def fractions_are_at_most_one(self) -> None:
        for entry in self.fleet.keyvalue.entries.values():
            parts = limitrecords.from_bytes(entry.value).parts
            assert sum(part.fraction for part in parts) <= 1 + 1e-9

    @stateful.rule()
    def recover(self) -> None:
        """Ends all faults; the whole burst must soon be usable again."""
        net = self.fleet.net
        for name in list(net.paused):
            net.resume(name)
        net.lose_next_answers = net.lose_next_messages = 0
        net.delay_next_messages = 0
        net.deliver_late()
        self.cut.clear()
        for node in self.fleet.nodes.values():
            node.keyvalue.is_cut = False
        self.fleet.keyvalue.is_out = False
        self.fleet.keyvalue.lose_next_answers = 0
        for name in set(self.fleet.listed) - set(self.fleet.nodes):
            del self.fleet.listed[name]
        self.apply_row_everywhere()
        names = self.running()
        if not names:
            return
        self.fleet.settle(40)
        self.fleet.world.now_s += self.row.burst / self.row.rate_per_s + 1
        admitted = self.bucket.take(self.fleet, [names[0], *names], 30)
        assert admitted >= int(self.row.burst * 0.97), "tokens were lost"


class OpeningMachine(LimitsMachine):
    """Guards against admitting more than the burst of a new customer.

    The same faults apply to a row that has just been created. It reaches
    some VMs later than others, while owners change and fractions move.
    """

    @stateful.initialize(
        names=st.lists(
            st.sampled_from(_NAMES), min_size=3, max_size=7, unique=True
        ),
        rate_per_s=st.sampled_from([0.5, 5.0]),
        burst=st.sampled_from([2.5, 6.0, 20.0]),
        is_early=st.booleans(),
    )
    def begin(
        self,
        names: list[str],
        rate_per_s: float,
        burst: float,
        is_early: bool,
    ) -> None:
        # The base class starts the fleet with the row. It is started again
        # without: until a VM has the row, it admits no request, and a ledger
        # has no tokens.
        super().begin(names, rate_per_s, burst)
        for name in names:
            self.fleet.kill(name)
        self.fleet.listed.clear()
        self.fleet.keyvalue.entries.clear()
        self.fleet.rows.clear()
        for name in names:
            self.fleet.add(name, name[:2], next(self.drifts))
        if not is_early:
            self.fleet.settle(5)
        maker = self.fleet.nodes[names[0]].limits
        self.initial_tokens = maker.initial_tokens(self.row)
        self.bucket = limitoracle.Bucket(self.row, self.fleet.world.now_s)

    def allow(self) -> None:
        rows = [
            node.config.rows.get("a", self.row)
            for node in self.fleet.nodes.values()
        ]
        self.bucket.allow([self.row, *rows], self.fleet.world.now_s)

    def is_row_pending(self) -> bool:
        return any(
            node.config.rows.get("a") != self.row
            for node in self.fleet.nodes.values()
        )

    def put_in_force(self, node: limitfakes.Node) -> None:
        node.config.apply(self.row, self.initial_tokens)


TestOpening = OpeningMachine.TestCase
TestOpening.settings = hypothesis.settings(stateful_step_count=50)

TestLimits = LimitsMachine.TestCase
TestLimits.settings = hypothesis.settings(stateful_step_count=50)
