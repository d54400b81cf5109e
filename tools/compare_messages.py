"""Compares two versions by all messages that they send on the same seeded days.

    python -m tools.compare_messages --base COMMIT [--seeds 30] [--first-seed 1] [--jobs 4]

A day is a simulated scenario with random jobs and faults. The sources of a commit and those of
the work tree play the same days in virtual time, each version with its own test harness, and
each day in its own process. All requests and responses (of users, workers and controllers, to
the key-value store and to the cloud) and all frames between controllers must be the same, at
the same virtual time. Log lines are not compared. Exits with 1 at the first difference, with 2
if a version failed to play a day.

Only code that the days execute is compared: a change in a branch that no day takes is missed.
"""

from __future__ import annotations

import io
import json
import os
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from dataclasses import asdict, dataclass
from itertools import zip_longest
from pathlib import Path

import click

ROOT = Path(__file__).resolve().parent.parent
RECORDER = Path(__file__).resolve().with_name("record_messages.py")
#: Directories that a version needs to play its days.
SOURCES = ("topazhold", "tests", "deploy")
#: Characters shown of a message that differs, and of the error output of a recorder.
MAX_SHOWN_CHARACTERS = 2000


@dataclass(frozen=True)
class Day:
    """The arguments of a day; names in capitals in `kinds` are fault lists of the harness."""

    seed: int
    kinds: tuple[str, ...] = ()
    services: float = 0.0
    upgrade: bool = False
    jobs: int = 30
    trouble_s: float = 60.0
    calm_s: float = 400.0


@dataclass(frozen=True)
class Difference:
    """The first message in which two versions differ; None if a version sent no more messages."""

    index: int
    base: str | None
    work: str | None


@dataclass(frozen=True)
class Outcome:
    """The result of a day; `messages` counts those before the first difference."""

    day: Day
    messages: int
    difference: Difference | None


class PlayError(Exception):
    """A version failed to play a day."""


#: Kinds of faults that are in none of the harness's lists.
EXTRA_FAULT_KINDS = (
    "late_writes",
    "odd_requests",
    "cancel_at_end",
    "refused_then_down",
    "mute",
    "slow",
    "cloud_held",
    "state_one_way",
)


def day_of(seed: int) -> Day:
    """Return the day of a seed: ten variants in turn, some with services, one with an upgrade."""
    variants = (
        Day(seed, ("ALL", "MANY")),
        Day(seed, ("CONTROLLERS", "late_copies")),
        Day(seed, ("ALL", "MANY", "replicas_end"), services=0.4),
        Day(seed, ("NETWORK",)),
        Day(seed, ("ALL", "MANY"), upgrade=True, trouble_s=90.0, jobs=45),
        Day(seed, ("MACHINES", "replicas_end"), services=0.4),
        Day(seed, ("OUTSIDE", "crash_leader")),
        Day(seed, ("ALL", *EXTRA_FAULT_KINDS)),
        Day(seed, ("MANY", "crash_leader", "notice")),
        Day(seed),
    )
    return variants[seed % len(variants)]


def first_difference(base: Iterable[str], work: Iterable[str]) -> tuple[int, Difference | None]:
    """Return the number of equal messages at the start, and the first difference if any."""
    index = -1
    for index, (base_message, work_message) in enumerate(zip_longest(base, work)):
        if base_message != work_message:
            return index, Difference(index, base_message, work_message)
    return index + 1, None


@contextmanager
def extract_sources(commit: str) -> Iterator[Path]:
    """Extract a commit's sources to a temporary directory, which the context yields.

    Raises:
        click.BadParameter: the commit does not exist, or lacks one of the directories.
    """
    archive = subprocess.run(["git", "archive", commit, *SOURCES], cwd=ROOT, capture_output=True)
    if archive.returncode != 0:
        raise click.BadParameter(archive.stderr.decode(), param_hint="--base")
    with tempfile.TemporaryDirectory(prefix="messages-") as folder:
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
            tar.extractall(folder, filter="data")
        yield Path(folder)


def git_dir() -> str:
    """Return the git directory from which each harness extracts the production version."""
    result = subprocess.run(
        ["git", "rev-parse", "--absolute-git-dir"], cwd=ROOT, capture_output=True, check=True
    )
    return result.stdout.decode().strip()


def record(root: Path, day: Day, folder: Path, variant: str | None = None) -> Path:
    """Play a day with the sources in `root`; return the file of its messages, one per line.

    Raises:
        PlayError: the recorder failed, or no messages were sent.
    """
    folder.mkdir(parents=True, exist_ok=True)
    out = folder / "messages"
    command = [sys.executable, "-P", str(RECORDER), "--root", str(root), "--out", str(out)]
    command += ["--day", json.dumps(asdict(day))]
    if variant is not None:
        command += ["--variant", variant]
    environment = os.environ | {
        "PYTHONHASHSEED": "0",
        "PYTHONPATH": str(root),
        "TMPDIR": str(folder),
        "GIT_DIR": git_dir(),
    }
    run = subprocess.run(command, env=environment, capture_output=True, text=True)
    if run.returncode != 0:
        raise PlayError(f"seed {day.seed}, {root}:\n{run.stderr[-MAX_SHOWN_CHARACTERS:]}")
    if out.stat().st_size == 0:
        raise PlayError(f"seed {day.seed}, {root}: no messages")
    return out


def compare_day(base: Path, work: Path, day: Day) -> Outcome:
    """Play a day with both versions and compare their messages."""
    with tempfile.TemporaryDirectory(prefix="messages-") as folder:
        base_file = record(base, day, Path(folder, "base"))
        work_file = record(work, day, Path(folder, "work"))
        with base_file.open() as base_lines, work_file.open() as work_lines:
            return Outcome(day, *first_difference(base_lines, work_lines))


def compare(base: Path, work: Path, days: list[Day], jobs: int) -> Iterator[Outcome]:
    """Yield the outcomes of the days in order, up to the first one with a difference."""
    with ThreadPoolExecutor(jobs) as pool:
        pending = [pool.submit(compare_day, base, work, day) for day in days]
        try:
            for future in pending:
                outcome = future.result()
                yield outcome
                if outcome.difference is not None:
                    return
        finally:
            pool.shutdown(wait=True, cancel_futures=True)


def describe(outcome: Outcome, difference: Difference) -> str:
    """Format a day and its first difference."""

    def shown(message: str | None) -> str:
        """Return the beginning of a message."""
        return "no more messages" if message is None else message.strip()[:MAX_SHOWN_CHARACTERS]

    return (
        f"different: seed {outcome.day.seed}, message {difference.index}\n{outcome.day}\n"
        f"base: {shown(difference.base)}\nwork: {shown(difference.work)}"
    )


@click.command()
@click.option("--base", required=True, help="The commit to compare the work tree with.")
@click.option("--seeds", default=30, type=click.IntRange(min=1), help="Number of days.")
@click.option("--first-seed", default=1, help="The seed of the first day.")
@click.option(
    "--jobs", default=4, type=click.IntRange(min=1), help="Number of days played in parallel."
)
def main(base: str, seeds: int, first_seed: int, jobs: int) -> None:
    """Compare all messages of the work tree with those of a commit, day by day."""
    days = [day_of(seed) for seed in range(first_seed, first_seed + seeds)]
    messages = 0
    with extract_sources(base) as folder:
        try:
            for outcome in compare(folder, ROOT, days, jobs):
                messages += outcome.messages
                if outcome.difference is not None:
                    click.echo(describe(outcome, outcome.difference))
                    sys.exit(1)
        except PlayError as exc:
            click.echo(f"not played: {exc}", err=True)
            sys.exit(2)
    click.echo(f"equal: {messages} messages, {seeds} seeds from {first_seed}, base {base}")


if __name__ == "__main__":
    main()
