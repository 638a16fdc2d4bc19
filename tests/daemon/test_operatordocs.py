"""Tests that the operators' pages match the code."""

import ast
from collections.abc import Iterator
import pathlib
import re

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
# The status and the code are the first two arguments of a refusal.
_MIN_REFUSAL_ARGUMENTS = 2
# Codes that no caller sees: the caller has left, or a batch item is retried.
INTERNAL_CODES = {"caller_left", "yielded", "cancelled", "upstream_error"}


def test_settings_page_has_the_table_that_the_daemon_prints() -> None:
    page = (PAGES / "settings.md").read_text()
    assert settings.describe(defaults.TABLE) in page, (
        "run `bulrushdeald settings` and copy its table into the page"
    )


@pytest.mark.parametrize("path", SOURCES, ids=lambda path: path.stem)
def test_each_alarm_is_on_its_page(path: pathlib.Path) -> None:
    page = (PAGES / "alarms.md").read_text()
    missing = [line for line in _alarms(path) if f"`{line}`" not in page]
    assert missing == []


def test_each_alarm_on_the_page_is_still_in_the_code() -> None:
    page = (PAGES / "alarms.md").read_text()
    listed = re.findall(r"^\| `(\w+: .*?)` \|", page, re.MULTILINE)
    logged = {line for path in SOURCES for line in _alarms(path)}
    assert set(listed) == logged


def test_each_code_that_a_caller_may_see_is_explained() -> None:
    # A refusal had been added without an explanation of its code on a page.
    explained = "".join(
        (PAGES / name).read_text() for name in ("callers.md", "batch.md")
    )
    codes = {code for path in SOURCES for code in _codes(path)}
    assert "rate_limited" in codes
    assert (
        sorted(c for c in codes - INTERNAL_CODES if f"`{c}`" not in explained)
        == []
    )


def _codes(path: pathlib.Path) -> Iterator[str]:
    """Yields each refusal code that is written as a literal in a module."""
    for node in ast.walk(ast.parse(path.read_text())):
        if (
            not isinstance(node, ast.Call)
            or len(node.args) < _MIN_REFUSAL_ARGUMENTS
        ):
            continue
        name = getattr(node.func, "attr", getattr(node.func, "id", ""))
        code = getattr(node.args[1], "value", None)
        if name == "Refusal" and isinstance(code, str):
            yield code


def _alarms(path: pathlib.Path) -> Iterator[str]:
    """Yields `log name: message` for each alarm that a module logs."""
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
