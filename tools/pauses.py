"""Pauses and resumes leaders on loopback many times, and counts the effects on cloud operations.

Run as `python -m tools.pauses --seeds 10`. Each scenario starts three real controller processes
with the fakes of the tests; the figures are those of loopback on this machine.
"""

from __future__ import annotations

import statistics
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from tests.fault_injection import OPERATION_KINDS, TRIGGER_POINTS
from tests.pause_scenarios import PauseOutcome, run_pause_scenario

#: Maximum number of characters printed of a scenario's failure.
MAX_SHOWN_CHARACTERS = 300
HEADINGS = "| operation | paused at | runs | operations | executed | stale | stale with effect |"
HEADINGS += " two decisions | rules broken | without holder, median and worst s | failed |"


def run_scenario(point: str, kind: str, seed: int, record: bool) -> PauseOutcome | str:
    """Run one scenario; return its outcome, or the reason why it failed."""
    operator = f"record_orders: {str(record).lower()}\n"
    with tempfile.TemporaryDirectory() as folder:
        try:
            return run_pause_scenario(Path(folder), point, kind, seed, operator)
        except Exception as exc:  # noqa: BLE001 - a scenario that hangs or crashes is a result, too
            return f"{kind}, {point}, seed {seed}: {type(exc).__name__}: {exc}"


def table_row(kind: str, point: str, outcomes: list[PauseOutcome | str]) -> str:
    """Format the table row for one kind of operation and one pause point."""
    done = [outcome for outcome in outcomes if not isinstance(outcome, str)]
    times = sorted(outcome.failover_s for outcome in done) or [float("nan")]
    cells = [
        kind,
        point.replace("_", " "),
        len(outcomes),
        sum(outcome.received for outcome in done),
        sum(outcome.executed for outcome in done),
        sum(outcome.stale for outcome in done),
        sum(outcome.stale_unrecorded for outcome in done),
        sum(outcome.returned_twice for outcome in done),
        ", ".join(sorted({rule for outcome in done for rule in outcome.violations})) or "none",
        f"{statistics.median(times):.1f}, {times[-1]:.1f}",
        len(outcomes) - len(done),
    ]
    return "| " + " | ".join(map(str, cells)) + " |"


@click.command()
@click.option("--seeds", default=10, help="Runs of each kind and point.")
@click.option("--workers", default=4, help="Number of scenarios run in parallel.")
@click.option("--record/--no-record", default=True, help="The setting record_orders.")
def main(seeds: int, workers: int, record: bool) -> None:
    """Print a table of operations sent, executed, stale, and stale with an effect."""
    click.echo(f"record_orders: {record}; loopback")
    click.echo(HEADINGS)
    click.echo("|" + " --- |" * HEADINGS.count(" | ") + " --- |")
    failures: list[str] = []
    with ProcessPoolExecutor(workers) as pool:
        for kind in OPERATION_KINDS:
            for point in TRIGGER_POINTS:
                if not record and "record" in point:
                    continue  # a point that needs records
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
