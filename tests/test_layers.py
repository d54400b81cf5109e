"""Packages import only packages of lower layers."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

import topazhold

PACKAGE = Path(topazhold.__file__).parent
#: Packages that each package may not import.
FORBIDDEN_IMPORTS = {
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


@pytest.mark.parametrize("package", FORBIDDEN_IMPORTS)
def test_package_imports_no_higher_layer(package: str) -> None:
    forbidden = tuple(f"topazhold.{name}" for name in FORBIDDEN_IMPORTS[package])
    paths = sorted((PACKAGE / package).glob("*.py"))
    assert paths
    for path in paths:
        violations = [name for name in imported_modules(path) if name.startswith(forbidden)]
        assert violations == [], path.name
