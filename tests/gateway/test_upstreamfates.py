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
        ([_LISTED._replace(is_draining=True)], "leaving"),
        ([_LISTED._replace(started_ms=0)], "listed"),
        ([_LISTED._replace(cold_remaining_s=1.0)], "listed"),
    ],
)
def test_the_list_tells_a_crash_from_a_planned_end(
    rows: list[records.Upstream], fate: str
) -> None:
    """Guards against crashes at addresses that accept, and false ones."""
    assert upstreamfates.find_fate(_LISTED, rows, ()) == fate


def test_an_upstream_in_an_evacuated_domain_may_be_stopped() -> None:
    """Guards against counting the end of a domain against its requests."""
    assert upstreamfates.find_fate(_LISTED, [], ("d1",)) == "leaving"
