"""Late copies of heartbeats and direct commands start no task a second time.

In between, tasks are moved (machines hang, are taken or get a notice; work is preempted), end, or
are cancelled, and controllers are back within a fraction of a second.
"""

from __future__ import annotations

import pytest

from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.fakes.worker import HEARTBEAT_PATH
from tests.late_copies import (
    LAUNCHED_CANCELLED,
    VARIANTS,
    CopiedSimulation,
    LateCopies,
)
from topazhold.wire import messages as wire

#: Faults that move tasks, change the leader, or bring machines back with a new incarnation.
KINDS = [
    "crash_leader",
    "crash_election",
    "crash",
    "hang",
    "blink",
    "notice",
    "taken",
    "machine_cut",
]
SEEDS = range(700, 712)
#: Least number of copies of heartbeats, and of direct commands, that arrive on a day.
MIN_HEARTBEAT_COPIES = 100
MIN_COMMAND_COPIES = 5


def play_with_copies(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> tuple[CopiedSimulation, LateCopies]:
    """Play a day on which a share of the heartbeats and direct commands arrive once more."""
    days: list[tuple[CopiedSimulation, LateCopies]] = []

    async def main(clock: VirtualTime) -> None:
        simulation = CopiedSimulation(clock, seed)
        days.append((simulation, LateCopies(simulation, seed)))
        await simulation.run_day(jobs=25, trouble_s=60.0, calm_s=400.0, kinds=KINDS)

    run_virtual(main, monkeypatch)
    return days[0]


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_start_no_task_twice_or_after_its_cancellation(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a task runs on two machines, or after its cancellation, by a late copy."""
    simulation, copies = play_with_copies(seed, monkeypatch)
    assert simulation.violations == [], "\n".join(simulation.notes[-60:])
    assert simulation.starts > 20
    assert simulation.rules.cancel_confirmed_at, "no job was cancelled"
    assert copies.delivered[HEARTBEAT_PATH] > MIN_HEARTBEAT_COPIES
    assert copies.delivered[wire.COMMANDS_PATH] > MIN_COMMAND_COPIES


@pytest.mark.parametrize(
    ("variant", "rules"),
    [
        ("accept_any_sequence", {"ran_twice"}),
        ("launch_by_direct_commands", {"ran_twice"}),
        ("launch_by_direct_commands", {LAUNCHED_CANCELLED}),
    ],
)
def test_days_with_copies_catch_a_broken_variant(
    variant: str, rules: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Shows that the check above can fail, for each rule and each of the messages copied."""
    VARIANTS[variant](monkeypatch)
    for seed in SEEDS:
        with monkeypatch.context() as day_patch:
            simulation, _ = play_with_copies(seed, day_patch)
        if rules <= set(simulation.violations):
            return
    pytest.fail(f"no day shows that {variant} breaks {rules}")
