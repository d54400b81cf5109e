"""Gangs with more tasks than the intents of one machine may hold are spread over machines."""

from __future__ import annotations

import pytest

from tests.job_specs import make_spec
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.scheduler_harness import SchedulerHarness
from tests.simulation.rules import MAX_LARGEST_GANG_WAIT_S


@pytest.mark.parametrize(("seed", "tasks"), [(1, 60), (2, 121), (3, 130), (4, 240), (5, 305)])
def test_gang_of_many_small_tasks_runs(
    seed: int, tasks: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: search and demand hold a machine possible that placement refuses."""

    async def act(scenario: Scenario) -> None:
        await scenario.start(machines=2)
        via = scenario.controller_names[0]
        gang = await scenario.submit(
            via, shape="gang", tasks=tasks, cpus=0.01, gpus=0.01, memory_gb=0.05
        )
        await scenario.wait_until(lambda: gang in scenario.present_jobs(), MAX_LARGEST_GANG_WAIT_S)

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


def test_reservation_of_more_tasks_than_intents_fit_is_rejected(
    harness: SchedulerHarness,
) -> None:
    """Guards against: a reservation by an earlier version that never starts is kept."""
    tasks = harness.scheduler.cluster.max_machine_attempts + 1
    job = harness.add_job(make_spec(tasks=tasks, cpus=0.01, gpus=0.01, memory_gb=0.05))
    harness.reserve(job, {"host-0": tasks})
    assert harness.plan_and_commit() == []
    assert harness.scheduler.needs_reservation(job)
