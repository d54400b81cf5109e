"""Packages import each other in one direction only."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import topazhold

PACKAGE = Path(topazhold.__file__).parent
#: What each package may not import.
ABOVE = {
    "wire": ("core", "io", "interfaces", "operations", "control"),
    "io": ("core", "interfaces", "operations", "control"),
    "core": ("io", "interfaces", "operations", "control"),
    "interfaces": ("io", "operations", "control"),
    "operations": ("control",),
}


def imported_modules(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            yield node.module or ""
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@pytest.mark.parametrize("package", ABOVE)
def test_package_imports_nothing_above_it(package: str) -> None:
    forbidden = tuple(f"topazhold.{name}" for name in ABOVE[package])
    paths = sorted((PACKAGE / package).glob("*.py"))
    assert paths
    for path in paths:
        found = [name for name in imported_modules(path) if name.startswith(forbidden)]
        assert found == [], path.name
