"""Replays crashes on the verdicts about parts of prompts."""

from collections.abc import Iterable

from gateway.decisions import accusations
from gateway.decisions import deadlyparts

_NOTICE_S = 5.0
_RUN_S = 0.1


class _Replay:
    """Requests that crash upstreams, one after the other."""

    def __init__(self) -> None:
        self.parts = deadlyparts.DeadlyParts(_NOTICE_S)
        self._rows: list[accusations.Accusation] = []
        self._crashes = 0

    def crash(
        self, at_s: float, *runs: Iterable[str], began_s: float | None = None
    ) -> None:
        """Crashes one upstream under runs with these parts."""
        self._crashes += 1
        if began_s is None:
            began_s = at_s - _RUN_S
        self._rows += [
            accusations.Accusation(
                part,
                f"r{self._crashes}.{number}",
                f"u{self._crashes}",
                0,
                began_s,
                at_s,
            )
            for number, run in enumerate(runs)
            for part in run
        ]
        self.parts.accuse(self._rows)

    def verdict(self, *parts: str) -> str:
        return self.parts.judge(parts).verdict


def test_a_part_that_stands_in_three_crashes_is_refused() -> None:
    """Guards against requests that differ and share a part."""
    replay = _Replay()
    for second in (1.0, 2.0):
        replay.crash(second, ("bad",))
    assert replay.verdict("bad") == "sound"
    replay.crash(3.0, ("bad",))
    assert replay.verdict("first", "bad") == "refused"
    assert replay.verdict("first", "other") == "sound"


def test_a_run_that_writes_clears_its_parts() -> None:
    """Guards against refusing a first part that all requests share."""
    replay = _Replay()
    for second in range(1, 9):
        replay.crash(float(second), ("first", "bad"))
        replay.parts.record_written(("first",), second + 0.5)
    assert replay.verdict("first") == "sound"
    assert replay.verdict("first", "bad") == "refused"


def test_a_run_that_wrote_before_the_crash_clears_nothing() -> None:
    """Guards against an old answer that speaks for a part for ever."""
    replay = _Replay()
    replay.parts.record_written(("bad",), 0.5)
    for second in (1.0, 2.0, 3.0):
        replay.crash(second, ("bad",))
    assert replay.verdict("bad") == "doubtful"
    for second in (4.0, 5.0, 6.0):
        replay.crash(second, ("bad",))
    assert replay.verdict("bad") == "refused"


def test_a_part_that_was_written_is_not_refused_after_a_burst() -> None:
    """Guards against a sound first part that waits as long as a deadly one."""
    here, there = _Replay(), _Replay()
    here.parts.record_written(("first",), 0.5)
    for second in (1.0, 1.5, 2.0, 2.5):
        for replay in (here, there):
            replay.crash(second, ("first",))
    assert there.verdict("first") == "refused"
    assert here.parts.to_tell() == ("first",)
    there.parts.record_told("first", 0.5)
    for replay in (here, there):
        assert replay.verdict("first") == "doubtful"
        assert replay.parts.wait_s(("first",), 2.6) == 0.0


def test_runs_on_their_way_do_not_lengthen_the_pause() -> None:
    """Guards against a part that waits for minutes after its first burst."""
    replay = _Replay()
    for number in range(6):
        replay.crash(1.0 + number / 2, ("unlucky",))
    assert replay.verdict("unlucky") == "refused"
    assert replay.parts.wait_s(("unlucky",), 3.5) == 5.0


def test_a_loss_of_power_counts_once() -> None:
    """Guards against refusing what ran when all upstreams went at once."""
    replay = _Replay()
    for number in range(6):
        replay.crash(
            1.0 + number / 100, (f"s{number % 3}", "first"), began_s=0.9
        )
    assert replay.verdict("first") == "sound"


def test_the_same_request_again_is_no_part_that_crashes() -> None:
    """Guards against a verdict on parts where one whole request is at fault."""
    replay = _Replay()
    for second in (1.0, 2.0, 3.0, 4.0):
        replay.crash(second, ("bad",))
    same = [row._replace(request="r") for row in replay._rows]
    replay.parts.accuse(same)
    assert replay.verdict("bad") == "sound"


def test_a_part_that_another_explains_runs_one_at_a_time() -> None:
    """Guards against refusing a part that stood beside a deadly one."""
    replay = _Replay()
    for second in (1.0, 2.0, 3.0):
        replay.crash(second, ("session", "bad"))
    assert replay.verdict("session", "bad") == "refused"
    assert replay.verdict("session", "fine") == "doubtful"
    assert replay.parts.begin_trial("session", ("session", "fine"), 3.1)
    assert not replay.parts.begin_trial("session", ("session", "fine"), 3.2)
    replay.parts.record_written(("session", "fine"), 3.3)
    assert replay.verdict("session", "fine") == "sound"
    assert replay.verdict("session", "bad") == "refused"
    replay.crash(4.0, ("others", "bad"))
    assert replay.verdict("others", "bad") == "refused"
    assert replay.verdict("others") == "sound"


def test_two_parts_that_overlap_are_both_refused() -> None:
    """Guards against one that the other explains in part."""
    replay = _Replay()
    runs = [("one",), ("two",), ("one", "two"), ("one",), ("two",), ("one",)]
    for second, run in enumerate(runs, 1):
        replay.crash(float(second), run)
    assert replay.verdict("one") == "refused"
    assert replay.verdict("two") == "refused"


def test_trials_of_a_refused_part_are_few_and_far_apart() -> None:
    """Guards against more than three runs after the fifth crash."""
    replay = _Replay()
    for second in (1.0, 2.0, 3.0):
        replay.crash(second, ("bad",))
    trials = []
    for tenth in range(31, 3000):
        now_s = tenth / 10
        if replay.parts.begin_trial("bad", ("bad",), now_s):
            trials.append(now_s)
            replay.crash(now_s + 0.1, ("bad",), began_s=now_s)
    assert [round(at_s) for at_s in trials] == [8, 38, 218]


def test_a_refused_part_that_is_sound_is_released_by_its_trial() -> None:
    """Guards against a verdict that nothing can correct."""
    replay = _Replay()
    for second in (1.0, 2.0, 3.0):
        replay.crash(second, ("unlucky",))
    assert replay.verdict("unlucky") == "refused"
    assert replay.parts.begin_trial("unlucky", ("unlucky",), 8.5)
    replay.parts.record_written(("unlucky",), 8.6)
    assert replay.verdict("unlucky") == "sound"


def test_others_are_told_of_a_sound_part_before_they_refuse_it() -> None:
    """Guards against a VM without traffic of its own that refuses a part."""
    here, there = _Replay(), _Replay()
    for second in (1.0, 2.0):
        for replay in (here, there):
            replay.crash(second, ("first",))
        here.parts.record_written(("first",), second + 0.5)
    assert here.parts.to_tell() == ("first",)
    at_s = here.parts.written_s("first")
    assert at_s is not None
    here.parts.record_told("first", at_s)
    assert here.parts.to_tell() == ()
    assert there.parts.record_told("first", at_s)
    assert not there.parts.record_told("first", at_s)
    for replay in (here, there):
        replay.crash(3.0, ("first",))
        assert replay.verdict("first") == "sound"
