"""The list of tests that CI passes over: exactly these, and each of them is a test."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tools.known_red import InvalidListError, KnownRed, read_entries, require_collected

ROOT = Path(__file__).resolve().parent.parent
TESTS = """
import pytest

def test_one(): raise AssertionError
def test_one_more(): pass
@pytest.mark.parametrize("text", ["a", "a, b"])
def test_two(text): assert text == "a"
"""
COMMAND = "python -m pytest (seed 1)"


def entry(test: str) -> str:
    return f"{test}, {COMMAND}, it fails, at once, issue 1\n"


def run_module(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a module in a folder with tests of its own."""
    (folder / "test_some.py").write_text(TESTS)
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", *arguments]
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, check=False
    )


def test_fields_of_an_entry(tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_text("\n" + entry("test_some.py::test_two[a, b]"))
    (found,) = read_entries(path)
    assert found == KnownRed(
        "test_some.py::test_two[a, b]", COMMAND, "it fails, at once", "issue 1"
    )
    assert read_entries(tmp_path / "none") == []


@pytest.mark.parametrize("line", ["a.py::test_a", "a.py::test_a, b, c", "a, , , d", ", b, c, d"])
def test_entry_without_its_four_fields_is_named(line: str, tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_text(entry("a.py::test_b") + line)
    with pytest.raises(InvalidListError, match=line):
        read_entries(path)


def test_entry_that_names_no_test_is_named() -> None:
    """Guards against: a part of a name passes for one, or nobody notices a misspelt one."""
    known = KnownRed("a.py::test_a", COMMAND, "it fails", "issue 1")
    require_collected([known], ["a.py::test_a", "a.py::test_a_b"])
    with pytest.raises(InvalidListError, match=r"a\.py::test_a"):
        require_collected([known], ["a.py::test_a_b"])


def test_exactly_the_listed_tests_are_passed_over(tmp_path: Path) -> None:
    """Guards against: tests whose names begin with a listed one are passed over with it."""
    listed = [f"test_some.py::{name}" for name in ("test_one", "test_two[a, b]")]
    (tmp_path / "list").write_text("".join(map(entry, listed)))
    checked = run_module(tmp_path, "tools.known_red", "list")
    assert checked.returncode == 0, checked.stderr
    assert all(name in checked.stdout for name in listed)
    arguments = ("pytest", "-p", "tools.known_red", "--known-red", "list")
    for processes in ("0", "2"):
        ran = run_module(tmp_path, *arguments, "-n", processes)
        assert ran.returncode == 0, ran.stdout
        assert "2 passed" in ran.stdout


@pytest.mark.parametrize("line", ["test_some.py::test_one, b\n", entry("test_some.py::test_on")])
def test_list_that_cannot_be_used_fails_with_one_line(line: str, tmp_path: Path) -> None:
    (tmp_path / "list").write_text(line)
    checked = run_module(tmp_path, "tools.known_red", "list")
    assert checked.returncode == 1
    assert len(checked.stderr.splitlines()) == 1
    assert line.split(",")[0] in checked.stderr
