"""Tests which version an upstream list shows as the only one."""

from gateway import records
from gateway.decisions import versionhistory


def _rows(*versions: str) -> list[records.Upstream]:
    return [
        records.Upstream(
            f"i-{number}",
            "llm",
            f"h:{number}",
            "d",
            8,
            False,
            0,
            software_version=version,
        )
        for number, version in enumerate(versions)
    ]


def _read(
    history: versionhistory.VersionHistory, begin_s: int, end_s: int
) -> None:
    for second in range(begin_s, end_s + 1):
        history.record_read(float(second))


def _history(*versions: str) -> versionhistory.VersionHistory:
    history = versionhistory.VersionHistory()
    history.change(_rows(*versions))
    _read(history, 0, 20)
    return history


def test_the_only_version_is_known_once_the_list_was_read_for_long() -> None:
    """Guards against a guess by a VM that has just started."""
    history = _history("v1", "v1")
    assert history.only_version("llm", 20.0, 20.0) == "v1"
    assert history.only_version("llm", 21.0, 20.0) == ""
    assert history.only_version("other", 20.0, 20.0) == ""


def test_a_version_counts_as_long_as_its_streams_may_last() -> None:
    """Guards against streams of a version that has just gone."""
    history = _history("v1", "v2")
    history.change(_rows("v2"))
    _read(history, 21, 40)
    assert history.only_version("llm", 21.0, 40.0) == ""
    assert history.only_version("llm", 19.0, 40.0) == "v2"


def test_a_gap_between_reads_hides_versions() -> None:
    """Guards against a guess by a VM that was cut off."""
    history = _history("v1")
    assert history.only_version("llm", 10.0, 26.0) == ""
    _read(history, 26, 30)
    assert history.only_version("llm", 10.0, 30.0) == ""
    assert history.only_version("llm", 4.0, 30.0) == "v1"


def test_an_unknown_version_is_no_only_version() -> None:
    """Guards against taking unknown versions for one."""
    assert _history("").only_version("llm", 5.0, 20.0) == ""
    assert _history("", "v1").only_version("llm", 5.0, 20.0) == ""
