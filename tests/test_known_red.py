"""The list of tests that CI deselects: exactly the listed tests, all of which must exist."""

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


def entry_line(test: str) -> str:
    return f"{test}, {COMMAND}, it fails, at once, issue 1\n"


def run_module(folder: Path, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run a Python module in `folder`, which gets a test file with `TESTS`."""
    (folder / "test_some.py").write_text(TESTS)
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    command = [sys.executable, "-m", *arguments]
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, check=False
    )


def test_entry_is_split_into_its_fields(tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_text("\n" + entry_line("test_some.py::test_two[a, b]"))
    (parsed,) = read_entries(path)
    assert parsed == KnownRed(
        "test_some.py::test_two[a, b]", COMMAND, "it fails, at once", "issue 1"
    )
    assert read_entries(tmp_path / "none") == []


@pytest.mark.parametrize("line", ["a.py::test_a", "a.py::test_a, b, c", "a, , , d", ", b, c, d"])
def test_entry_without_four_fields_is_named_in_the_error(line: str, tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_text(entry_line("a.py::test_b") + line)
    with pytest.raises(InvalidListError, match=line):
        read_entries(path)


def test_entry_of_an_unknown_test_is_named_in_the_error() -> None:
    """A prefix of a test's name must not match, and a misspelt name must not go unnoticed."""
    known = KnownRed("a.py::test_a", COMMAND, "it fails", "issue 1")
    require_collected([known], ["a.py::test_a", "a.py::test_a_b"])
    with pytest.raises(InvalidListError, match=r"a\.py::test_a"):
        require_collected([known], ["a.py::test_a_b"])


def test_exactly_the_listed_tests_are_deselected(tmp_path: Path) -> None:
    """Tests whose names start with a listed one must still run."""
    listed = [f"test_some.py::{name}" for name in ("test_one", "test_two[a, b]")]
    (tmp_path / "list").write_text("".join(map(entry_line, listed)))
    validation = run_module(tmp_path, "tools.known_red", "list")
    assert validation.returncode == 0, validation.stderr
    assert all(name in validation.stdout for name in listed)
    arguments = ("pytest", "-p", "tools.known_red", "--known-red", "list")
    for processes in ("0", "2"):
        result = run_module(tmp_path, *arguments, "-n", processes)
        assert result.returncode == 0, result.stdout
        assert "2 passed" in result.stdout


def test_configured_options_do_not_hide_the_tests(tmp_path: Path) -> None:
    """Guards against: pytest prints no test ids when it is told twice to be quiet."""
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\naddopts = "-q -n 2"\n')
    (tmp_path / "list").write_text(entry_line("test_some.py::test_one"))
    validation = run_module(tmp_path, "tools.known_red", "list")
    assert validation.returncode == 0, validation.stderr


@pytest.mark.parametrize(
    "line", ["test_some.py::test_one, b\n", entry_line("test_some.py::test_on")]
)
def test_invalid_list_fails_with_one_line(line: str, tmp_path: Path) -> None:
    (tmp_path / "list").write_text(line)
    validation = run_module(tmp_path, "tools.known_red", "list")
    assert validation.returncode == 1
    assert len(validation.stderr.splitlines()) == 1
    assert line.split(",")[0] in validation.stderr
