"""Tests that the operators' pages say what the code does."""

import ast
from collections.abc import Iterator
import pathlib

import pytest

from bulrushdeal import settings
from bulrushdeald import defaults

ROOT = pathlib.Path(__file__).parents[2]
PAGES = ROOT / "docs" / "operators"
SOURCES = [
    *(ROOT / "packages/daemon/bulrushdeald").glob("*.py"),
    *(ROOT / "packages/core/bulrushdeal").glob("*.py"),
]
ALARM_LEVELS = ("error", "exception")


def test_settings_page_is_what_the_daemon_prints() -> None:
    page = (PAGES / "settings.md").read_text()
    assert settings.describe(defaults.TABLE) in page, (
        "run `bulrushdeald settings` and put its table into the page"
    )


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.stem)
def test_each_alarm_is_on_its_page(path: pathlib.Path) -> None:
    page = (PAGES / "alarms.md").read_text()
    missing = [line for line in _alarms(path) if f"`{line}`" not in page]
    assert missing == []


def _alarms(path: pathlib.Path) -> Iterator[str]:
    tree = ast.parse(path.read_text())
    calls = [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    functions = [call.func for call in calls]
    prefix = next(
        (
            ast.literal_eval(call.args[0])
            for call, function in zip(calls, functions, strict=True)
            if isinstance(function, ast.Attribute) and function.attr == "Log"
        ),
        "",
    )
    for call, function in zip(calls, functions, strict=True):
        if not isinstance(function, ast.Attribute):
            continue
        is_log = isinstance(function.value, ast.Name) and (
            function.value.id == "_log"
        )
        if is_log and function.attr in ALARM_LEVELS:
            yield f"{prefix}: {ast.literal_eval(call.args[0])}"
