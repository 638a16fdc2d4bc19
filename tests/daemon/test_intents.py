"""A state machine of idempotency keys over two VMs that come and go."""

from typing import Any, cast, NamedTuple

from hypothesis import stateful
from hypothesis import strategies as st
import result

from bench import staticvm
from bulrushdeal import kernel as kernel_lib
from bulrushdeald import intents
from bulrushdeald import services
from bulrushdeald import sweeper
from support import machines
from support import pathfakes

# One key, so that steps meet; `test_atmostonce` would show mixed-up keys.
KEYS = st.just("a")
SIDES = st.integers(0, 1)


class Open(NamedTuple):
    side: int
    key: str
    claim: intents.Claim
    does_run: bool


class OnlyPeers(staticvm.StaticService):
    """Carries questions between the two VMs, or does not."""

    def __init__(self, owner: "IntentsMachine") -> None:
        self._owner = owner

    def handle(self, kind: Any, handler: Any) -> None:
        pass

    def understand(self, *kinds: Any) -> None:
        pass

    def call(
        self, vm: str, message: Any, timeout_s: float
    ) -> result.Result[Any, services.PeerError]:
        for name, other in zip(
            self._owner.names, self._owner.sides, strict=True
        ):
            if name == vm and not self._owner.is_cut:
                return result.Ok(other._on_question("", message))
        return result.Err(services.PeerError("unreachable", "cut"))


class IntentsMachine(stateful.RuleBasedStateMachine):
    """Story: a booking is sent again and again while VMs are lost.

    The platform goes away, its answers are lost after the write took effect,
    VMs are lost between recording an intent and settling it, and peers are
    cut off. Whatever the order, a booking may reach the booking service once
    at most, and "unknown" never turns into anything else.
    """

    def __init__(self) -> None:
        super().__init__()
        self.platform = pathfakes.Platform()
        self.count = 0
        self.names = ["", ""]
        self.is_cut = False
        self.sides = [self.make(0), self.make(1)]
        self.open: list[Open] = []
        self.looked: list[tuple[int, str]] = []
        self.runs: dict[str, int] = {}
        self.replies: dict[str, intents.Reply] = {}
        self.told_unknown: set[str] = set()
        # Whether an outcome can have been lost at all.
        self.has_excuse = False

    def make(self, side: int) -> intents.Intents:
        self.count += 1
        self.names[side] = f"vm-{self.count}"
        kernel = kernel_lib.Kernel()
        made = intents.Intents(kernel, pathfakes.settings(vm=self.names[side]))
        # Without its thread, which only repeats `_repair`.
        made._keyvalue = cast(services.KeyValue, self.platform.keyvalue)
        membership = staticvm.StaticMembership(
            self.names[side], self.platform.unlisted
        )
        made._membership = cast(services.Membership, membership)
        made._peers = OnlyPeers(self)
        return made

    @stateful.rule(sides=st.sampled_from([(0,), (1,), (0, 1)]), key=KEYS)
    def look(self, sides: tuple[int, ...], key: str) -> None:
        for side in sides:
            found = self.look_up(side, key)
            if isinstance(found, result.Ok) and found.ok_value is None:
                self.looked.append((side, key))

    def look_up(
        self, side: int, key: str
    ) -> result.Result[intents.Reply | None, services.Refusal]:
        name = intents.name_of("schools", key)
        found = self.sides[side].look_up(name, "body")
        if isinstance(found, result.Err):
            self.note_refusal(key, found.err_value)
        elif found.ok_value is not None:
            assert found.ok_value == self.replies[key]
            assert key not in self.told_unknown
        else:
            assert key not in self.runs, "may be sent again"
            assert key not in self.told_unknown
        return found

    @stateful.precondition(lambda self: self.looked)
    @stateful.rule(
        data=st.data(), does_run=st.booleans(), is_raced=st.booleans()
    )
    def claim(
        self, data: st.DataObject, does_run: bool, is_raced: bool
    ) -> None:
        side, key = data.draw(st.sampled_from(self.looked))
        self.looked.remove((side, key))
        if is_raced:
            # The other VM meets the intent before its holder is told of it.
            self.platform.keyvalue.on_write = lambda: self.race(1 - side, key)
        name = intents.name_of("schools", key)
        was_unknown = key in self.told_unknown
        claimed = self.sides[side].claim(name, "body")
        self.platform.keyvalue.on_write = None
        if isinstance(claimed, result.Err):
            self.note_refusal(key, claimed.err_value)
            return
        # A VM that can neither be asked nor is listed may be given up between
        # its write and the write's answer. It sends all the same, once, and
        # the key stays unknown. What was unknown before is never sent.
        assert not was_unknown
        is_given_up = self.is_cut and (
            self.names[side] in self.platform.unlisted
        )
        assert key not in self.told_unknown or (is_raced and is_given_up)
        assert all(item.key != key for item in self.open)
        if does_run:
            self.runs[key] = self.runs.get(key, 0) + 1
            assert self.runs[key] == 1
        self.open.append(Open(side, key, claimed.ok_value, does_run))

    def race(self, side: int, key: str) -> None:
        self.look_up(side, key)

    def note_refusal(self, key: str, refusal: services.Refusal) -> None:
        if refusal.code == "outcome_unknown":
            assert self.has_excuse, "nothing was lost, yet it is unknown"
            self.told_unknown.add(key)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        item = data.draw(st.sampled_from(self.open))
        self.settle(item, data.draw(st.booleans()))

    def settle(self, item: Open, is_answered: bool) -> None:
        self.open.remove(item)
        vm = self.sides[item.side]
        if not item.does_run:
            vm.release(item.claim)
        elif is_answered:
            reply = intents.reply_of(200, (), item.claim.intent.nonce.encode())
            self.replies[item.key] = reply
            vm.answered(item.claim, reply)
        else:
            self.has_excuse = True
            vm.unknown(item.claim)

    @stateful.rule(side=SIDES)
    def lose(self, side: int) -> None:
        self.has_excuse = True
        self.platform.unlisted.add(self.names[side])
        self.open = [item for item in self.open if item.side != side]
        self.looked = [item for item in self.looked if item[0] != side]
        self.sides[side] = self.make(side)

    @stateful.rule(side=SIDES)
    def list_wrongly(self, side: int) -> None:
        """The platform takes a VM that only paused for gone."""
        self.platform.unlisted.add(self.names[side])
        self.has_excuse = self.has_excuse or self.is_cut

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data())
    def pause(self, data: st.DataObject) -> None:
        """A VM that sent pauses; its caller asks the other, and it goes on."""
        item = data.draw(st.sampled_from(self.open))
        self.platform.unlisted.add(self.names[item.side])
        self.has_excuse = self.is_cut = True
        self.look_up(1 - item.side, item.key)
        self.is_cut = False
        self.settle(item, data.draw(st.booleans()))
        for side in (0, 1):
            self.look_up(side, item.key)

    @stateful.rule(side=SIDES)
    def repair(self, side: int) -> None:
        self.sides[side]._repair()

    @stateful.rule(is_out=st.booleans())
    def outage(self, is_out: bool) -> None:
        self.platform.keyvalue.has_outage = is_out

    @stateful.rule(count=st.integers(0, 2))
    def lose_answers(self, count: int) -> None:
        self.platform.keyvalue.lose_answers = count

    @stateful.rule(is_cut=st.booleans())
    def cut(self, is_cut: bool) -> None:
        self.is_cut = is_cut
        is_one_unlisted = bool(self.platform.unlisted & set(self.names))
        self.has_excuse = self.has_excuse or (is_cut and is_one_unlisted)

    @stateful.rule(key=KEYS)
    def all_is_well_again(self, key: str) -> None:
        """Once nothing fails, a key nobody holds gets its final answer."""
        if any(item.key == key for item in self.open):
            return
        self.platform.keyvalue.has_outage = self.is_cut = False
        self.platform.keyvalue.lose_answers = 0
        for side in self.sides:
            side._repair()
        for _ in range(2):
            found = self.look_up(0, key)
        code = found.err_value.code if isinstance(found, result.Err) else ""
        assert code in ("", "outcome_unknown")
        assert key not in self.told_unknown or code == "outcome_unknown"
        if key in self.runs and not self.has_excuse:
            assert found.ok() == self.replies[key]

    @stateful.rule(side=SIDES, key=KEYS)
    def other_body(self, side: int, key: str) -> None:
        name = intents.name_of("schools", key)
        found = self.sides[side].look_up(name, "other")
        assert isinstance(found, result.Err) or found.ok_value is None


TestIntents = IntentsMachine.TestCase
TestIntents.settings = machines.settings(examples=400, steps=30)


def test_given_up_key_stays_unknown_though_its_claim_is_undone() -> None:
    """Story: a caller is told "unknown", and its next try runs as if new.

    A VM records that it will send, and the write's answer is lost. Another
    VM, which can neither reach nor see it, gives the key up at that moment.
    The first, which sent nothing, then undid its own write: it took the
    record that says "unknown" for it, as that keeps the holder's nonce.
    """
    machine = IntentsMachine()
    holder, other = machine.sides
    name = intents.name_of("schools", "a")
    machine.platform.unlisted.add(machine.names[0])
    machine.is_cut = True
    machine.platform.keyvalue.lose_answers = 1
    told: list[Any] = []
    machine.platform.keyvalue.on_write = lambda: told.append(
        other.look_up(name, "body")
    )
    assert holder.claim(name, "body").unwrap_err().ran == "not_run"
    holder._repair()
    assert told[0].unwrap_err().code == "outcome_unknown"
    for side in machine.sides:
        found = side.look_up(name, "body").unwrap_err()
        assert found.code == "outcome_unknown"


def test_sweeper_deletes_only_old_intents() -> None:
    platform = pathfakes.Platform()
    kernel = kernel_lib.Kernel()
    swept = sweeper.Sweeper(kernel, pathfakes.settings(intent_age_s=100.0))
    swept._keyvalue = cast(services.KeyValue, platform.keyvalue)
    for index, created_s in enumerate((0.0, 950.0)):
        intent = intents.Intent("b", "vm", "i", "n", "sent", created_s)
        name = f"{intents.PREFIX}00f{index}"
        platform.keyvalue.put(name, intents.pack(intent), 0)
    assert [swept.sweep(bucket, 1000.0) for bucket in (14, 15)] == [0, 1]
    assert list(platform.keyvalue.entries) == [f"{intents.PREFIX}00f1"]
