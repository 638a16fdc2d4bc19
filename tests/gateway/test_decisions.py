"""Decision modules do no input or output and never block."""

import ast
import pathlib

from gateway import decisions

_FOLDER = pathlib.Path(decisions.__file__).parent
# Modules of types and records, and the log, which never blocks.
_ALLOWED = (
    "collections",
    "heapq",
    "itertools",
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
            is_own = is_module or node.module == "gateway.decisions"
            names += [
                f"{node.module}.{alias.name}" if is_own else str(node.module)
                for alias in node.names
            ]
    return names


def test_decisions_import_nothing_that_blocks() -> None:
    paths = sorted(_FOLDER.glob("*.py"))
    assert len(paths) > 5
    forbidden = {
        path.name: name
        for path in paths
        for name in _imports(path)
        if not name.startswith(_ALLOWED)
    }
    assert not forbidden
