"""Test that the core does no I/O and reads no clock."""

import ast
from pathlib import Path

import nutmegchute_core

FORBIDDEN = {
    "asyncio",
    "concurrent",
    "datetime",
    "grpc",
    "logging",
    "multiprocessing",
    "os",
    "pathlib",
    "queue",
    "secrets",
    "selectors",
    "signal",
    "socket",
    "subprocess",
    "sys",
    "tempfile",
    "threading",
    "time",
    "urllib3",
}
CALLS = {"open", "print", "input"}


def _imports(tree: ast.AST) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            found.add((node.module or "").split(".")[0])
        elif isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            found.update({node.func.id} & CALLS)
    return found


def test_core_has_no_io_clocks_or_threads() -> None:
    """The core imports no module for I/O, clocks or threads."""
    folder = Path(nutmegchute_core.__file__).parent
    paths = sorted(folder.rglob("*.py"))
    assert len(paths) > 5
    for path in paths:
        found = _imports(ast.parse(path.read_text()))
        assert not found & (FORBIDDEN | CALLS), path.name


def test_check_detects_forbidden_imports() -> None:
    """The check detects a clock and an opened file."""
    assert _imports(ast.parse("from time import monotonic")) & FORBIDDEN
    assert _imports(ast.parse("open('x')")) & CALLS
