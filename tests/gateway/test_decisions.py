"""Decisions do no input or output, and wait for nothing."""

import ast
import pathlib

from gateway import decisions

_FOLDER = pathlib.Path(decisions.__file__).parent
# Types, records, and log lines, which never block.
_ALLOWED = (
    "collections.abc",
    "heapq",
    "random",
    "typing",
    "bulrushdeal.eventlog",
    "gateway.jobrecords",
    "gateway.records",
    "gateway.decisions.",
)


def _imports(path: pathlib.Path) -> list[str]:
    names = []
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names += [alias.name for alias in node.names]
        if isinstance(node, ast.ImportFrom):
            is_module = node.module in ("gateway", "bulrushdeal")
            inside = is_module or node.module == "gateway.decisions"
            names += [
                f"{node.module}.{alias.name}" if inside else str(node.module)
                for alias in node.names
            ]
    return names


def test_decisions_import_nothing_that_waits() -> None:
    paths = sorted(_FOLDER.glob("*.py"))
    assert len(paths) > 5
    odd = {
        path.name: name
        for path in paths
        for name in _imports(path)
        if not name.startswith(_ALLOWED)
    }
    assert not odd
