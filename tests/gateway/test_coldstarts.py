"""Limits on requests to upstreams that have just started."""

from collections.abc import Sequence
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from bulrushdeald import rendezvous
from gateway import records
from gateway.decisions import coldstarts

_LIMITS = records.ColdLimits(rate_factor=1.5, slack=5)
_SERVICE = records.Service("llm", "/", 0, None, 3.0, 6.2)
_COLD = {"llm": 3.0}


def _upstream(
    name: str = "i-0",
    *,
    cold_s: float | None = 0.0,
    domain: str = "d",
    started_ms: int = 0,
) -> records.Upstream:
    return records.Upstream(
        name, "llm", "h:1", domain, 8, False, started_ms, cold_s
    )


def _shares(upstream: str, vms: Sequence[str], max_shared: int) -> list[int]:
    ranked = rendezvous.rank(upstream, vms)
    return [coldstarts.share(vm, ranked, max_shared) for vm in vms]


def _most_in_a_second(sent_s: Sequence[float]) -> int:
    return max(
        (
            sum(start_s <= at_s < start_s + 1.0 for at_s in sent_s)
            for start_s in sent_s
        ),
        default=0,
    )


def test_the_bound_follows_from_the_service_and_the_operators_limits() -> None:
    found = coldstarts.cold_start(_SERVICE, _LIMITS)
    assert found == coldstarts.ColdStart(3.0, 9, 14)


@pytest.mark.parametrize(
    ("service", "limits"),
    [
        (None, _LIMITS),
        (_SERVICE, None),
        (_SERVICE._replace(cold_start_s=0.0), _LIMITS),
        (_SERVICE._replace(cold_rate_per_s=0.0), _LIMITS),
    ],
)
def test_a_service_without_a_cold_start_has_no_bound(
    service: records.Service | None, limits: records.ColdLimits | None
) -> None:
    assert coldstarts.cold_start(service, limits) is None


@hypothesis.given(st.integers(1, 60), st.integers(1, 30))
def test_the_shares_of_all_vms_never_exceed_the_rate(
    vm_count: int, max_shared: int
) -> None:
    vms = [f"vm{number}" for number in range(vm_count)]
    shares = _shares("i-0", vms, max_shared)
    assert 0 < sum(shares) <= max_shared


def test_a_domain_that_returns_cold_into_a_burst_keeps_the_bound() -> None:
    """Each VM sends as fast as it may, without any leader."""
    rng = random.Random(3)
    vms = [f"vm{number}" for number in range(18)]
    engines = [f"i-{number}" for number in range(15)]
    windows = {vm: coldstarts.SendWindow() for vm in vms}
    sent_s: dict[str, list[float]] = {name: [] for name in engines}
    for step in range(3000):
        now_s = step * 0.001
        vm, name = rng.choice(vms), rng.choice(engines)
        limit = coldstarts.share(vm, rendezvous.rank(name, vms), 9)
        if limit and not windows[vm].free_in_s(name, limit, now_s):
            windows[vm].record(name, now_s)
            sent_s[name].append(now_s)
    for times_s in sent_s.values():
        assert _most_in_a_second(times_s) <= 14.3
        # A cold upstream is slow, not shut out.
        assert len(times_s) >= 12


def test_vms_whose_lists_differ_stay_within_the_slack() -> None:
    """A VM joins, and half of the VMs do not list it yet."""
    vms = [f"vm{number}" for number in range(19)]
    for name in (f"i-{number}" for number in range(50)):
        old = dict(zip(vms, _shares(name, vms[:-1], 9), strict=False))
        new = dict(zip(vms, _shares(name, vms, 9), strict=True))
        most = sum(max(old.get(vm, 0), new[vm]) for vm in vms)
        assert most <= 9 + _LIMITS.slack


def test_an_upstream_is_cold_for_as_long_as_its_entry_says() -> None:
    found = coldstarts.ColdUpstreams()
    assert found.update([_upstream(cold_s=2.0)], _COLD, 10.0) == ["i-0"]
    assert found.cold(10.5) == {"i-0": 1.5}
    assert not found.cold(12.1)


@pytest.mark.parametrize("cold_s", [None, 1e12])
def test_an_unreadable_cold_time_is_bounded(cold_s: float | None) -> None:
    found = coldstarts.ColdUpstreams()
    found.update([_upstream(cold_s=cold_s)], _COLD, 10.0)
    assert 3.0 <= found.cold(10.0)["i-0"] <= 60.0


def test_a_restart_under_the_same_name_is_cold_again() -> None:
    found = coldstarts.ColdUpstreams()
    assert found.update([_upstream()], _COLD, 0.0) == []
    restarted = _upstream(cold_s=3.0, started_ms=7)
    assert found.update([restarted], _COLD, 5.0) == ["i-0"]
    assert found.cold(5.0) == {"i-0": 3.0}


def test_a_newer_entry_does_not_warm_a_suspected_upstream() -> None:
    """The entry may have been written before the upstream became cold."""
    found = coldstarts.ColdUpstreams()
    found.update([_upstream()], _COLD, 0.0)
    found.suspect(["i-0"], _COLD, 1.0)
    found.update([_upstream(started_ms=1)], _COLD, 1.5)
    assert found.cold(2.0) == {"i-0": 2.0}


def test_an_entry_that_came_before_the_configuration_counts() -> None:
    found = coldstarts.ColdUpstreams()
    assert found.update([_upstream(cold_s=3.0)], {}, 0.0) == []
    assert found.update([_upstream(cold_s=3.0)], _COLD, 0.5) == ["i-0"]


def test_an_upstream_that_is_gone_is_forgotten() -> None:
    found = coldstarts.ColdUpstreams()
    found.update([_upstream(cold_s=3.0)], _COLD, 0.0)
    found.update([], _COLD, 1.0)
    assert not found.cold(1.0)


def test_a_window_frees_as_its_requests_age() -> None:
    window = coldstarts.SendWindow()
    window.record("i-0", 0.0)
    window.record("i-0", 0.4)
    assert window.count("i-0", 0.9) == 2
    assert window.free_in_s("i-0", 3, 0.9) == 0.0
    assert 0.1 < window.free_in_s("i-0", 2, 0.9) < 0.3
    assert 0.5 < window.free_in_s("i-0", 1, 0.9) < 0.7
    window.retain([])
    assert window.count("i-0", 0.9) == 0
