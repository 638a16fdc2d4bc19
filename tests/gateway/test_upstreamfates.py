"""Tests what the list shows of an upstream under which a run broke off."""

import pytest

from gateway import records
from gateway.decisions import upstreamfates

_LISTED = records.Upstream(
    instance="i-1",
    service="llm",
    address="10.0.0.1:80",
    failure_domain="d1",
    slots=8,
    is_draining=False,
    started_ms=1000,
)
_OTHER = _LISTED._replace(instance="i-2", address="10.0.0.2:80")


@pytest.mark.parametrize(
    ("rows", "fate"),
    [
        ([_LISTED, _OTHER], "listed"),
        ([_OTHER], "lapsed"),
        ([_LISTED._replace(started_ms=2000)], "restarted"),
        ([_LISTED, _OTHER._replace(address=_LISTED.address)], "replaced"),
        ([_OTHER._replace(address=_LISTED.address)], "replaced"),
        ([_LISTED._replace(is_draining=True)], "excused"),
        ([_LISTED._replace(started_ms=0)], "listed"),
        ([_LISTED._replace(cold_remaining_s=1.0)], "listed"),
    ],
)
def test_the_list_tells_a_crash_from_a_planned_end(
    rows: list[records.Upstream], fate: str
) -> None:
    """Guards against crashes at addresses that accept, and false ones."""
    listing = upstreamfates.index(rows)
    assert upstreamfates.find_fate(_LISTED, listing, ()) == fate


def test_an_upstream_in_an_evacuated_domain_may_be_stopped() -> None:
    """Guards against counting the end of a domain against its requests."""
    listing = upstreamfates.index([])
    assert upstreamfates.find_fate(_LISTED, listing, ("d1",)) == "excused"


def test_only_a_silent_run_counts_if_its_upstream_had_left_the_list() -> None:
    """Guards against counting breaks at the end of a planned leave."""
    run = upstreamfates.BrokenRun("r", _LISTED, 1.0, 10.0)
    assert not upstreamfates.may_be_crash(run, "lapsed")
    assert upstreamfates.may_be_crash(run._replace(was_silent=True), "lapsed")
    assert not upstreamfates.may_be_crash(run, "excused")
    given_up = run._replace(was_silent=True, was_given_up=True)
    assert not upstreamfates.may_be_crash(given_up, "listed")
    assert upstreamfates.may_be_crash(given_up, "restarted")


def _crash(
    name: str, broke_s: float, ran_s: float, fate: upstreamfates.Fate = "lapsed"
) -> upstreamfates.Crash:
    run = upstreamfates.BrokenRun(name, _LISTED, ran_s, broke_s)
    return upstreamfates.Crash(run, fate)


def _causes(
    crashes: list[upstreamfates.Crash], answered_s: float = 0.0
) -> list[str]:
    answer = upstreamfates.Answer("i-1", answered_s, answered_s + 0.1)
    found = upstreamfates.find_causes(crashes, [answer])
    return [crash.run.fingerprint for crash in found]


def test_what_a_proxy_broke_off_after_the_crash_is_no_cause() -> None:
    """Guards against blaming requests that came too late to matter."""
    crashes = [
        _crash("victim", 12.0, 0.01),
        _crash("cause", 10.0, 0.1),
        _crash("beside", 10.1, 3.0),
    ]
    assert _causes(crashes) == ["cause", "beside"]


def test_a_run_after_which_its_upstream_answered_lost_its_answer_only() -> None:
    """Guards against counting lost answers before an unrelated crash."""
    crashes = [_crash("lost", 10.0, 1.0), _crash("cause", 14.0, 0.1)]
    assert _causes(crashes, answered_s=12.0) == ["cause"]


def test_an_answer_after_a_restart_says_nothing_of_the_process_before() -> None:
    """Guards against missing crashes of what starts again under its name."""
    crashes = [_crash("cause", 10.0, 0.1, "restarted")]
    assert _causes(crashes, answered_s=12.0) == ["cause"]
    crashes.append(_crash("later cause", 14.0, 0.1, "restarted"))
    assert _causes(crashes, answered_s=12.0) == ["later cause"]
