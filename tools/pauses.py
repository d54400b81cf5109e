"""Stops and continues leaders on loopback, many times, and counts the effects on operations.

Run as `python -m tools.pauses --seeds 10`. Every scene starts three controllers of the real
program and the fakes of the tests; figures are loopback figures of this machine.
"""

from __future__ import annotations

import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from tests.fault_injection import KINDS, POINTS
from tests.pause_scenarios import PauseOutcome, play_pause

#: Characters that are printed of a scene's failure.
MAX_SHOWN_CHARACTERS = 300
HEADINGS = "| order | stopped at | scenes | orders | executed | stale | stale with effect |"
HEADINGS += " two decisions | rules broken | without holder, median and worst s | failed |"


def run_scenario(point: str, kind: str, seed: int, record: bool) -> PauseOutcome | str:
    """The outcome of one scene, or the reason why it came to no end."""
    operator = f"record_orders: {str(record).lower()}\n"
    with tempfile.TemporaryDirectory() as folder:
        try:
            return play_pause(Path(folder), point, kind, seed, operator)
        except Exception as exc:  # noqa: BLE001 - a scene that hangs or crashes is a result, too
            return f"{kind}, {point}, seed {seed}: {type(exc).__name__}: {exc}"


def table_row(kind: str, point: str, outcomes: list[PauseOutcome | str]) -> str:
    """The line of the table for one kind of operation and one point."""
    done = [outcome for outcome in outcomes if not isinstance(outcome, str)]
    times = sorted(outcome.without_holder_s for outcome in done) or [float("nan")]
    cells = [
        kind,
        point.replace("_", " "),
        len(outcomes),
        sum(outcome.operations for outcome in done),
        sum(outcome.executed for outcome in done),
        sum(outcome.stale for outcome in done),
        sum(outcome.stale_effect for outcome in done),
        sum(outcome.returned_twice for outcome in done),
        ", ".join(sorted({rule for outcome in done for rule in outcome.broken})) or "none",
        f"{statistics.median(times):.1f}, {times[-1]:.1f}",
        len(outcomes) - len(done),
    ]
    return "| " + " | ".join(map(str, cells)) + " |"


@click.command()
@click.option("--seeds", default=10, help="Scenes of each kind and point.")
@click.option("--workers", default=4, help="Scenes at the same time.")
@click.option("--record/--no-record", default=True, help="The switch record_orders.")
def main(seeds: int, workers: int, record: bool) -> None:
    """Print a table of orders sent, executed, stale, and stale with an effect."""
    click.echo(f"record_orders: {record}; loopback")
    click.echo(HEADINGS)
    click.echo("|" + " --- |" * HEADINGS.count(" | ") + " --- |")
    failures: list[str] = []
    with ProcessPoolExecutor(workers) as pool:
        for kind in KINDS:
            for point in POINTS:
                if not record and "record" in point:
                    continue  # without records there is no such point
                runs = [
                    pool.submit(run_scenario, point, kind, seed, record)
                    for seed in range(1, seeds + 1)
                ]
                outcomes = [run.result() for run in runs]
                click.echo(table_row(kind, point, outcomes))
                failures += [outcome for outcome in outcomes if isinstance(outcome, str)]
    for failure in failures:
        click.echo(f"failed: {failure[:MAX_SHOWN_CHARACTERS]}")


if __name__ == "__main__":
    main()
