"""Teams without limits: 0 in the settings means unlimited."""

from __future__ import annotations

import pytest

from tests.job_specs import make_spec
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.scheduler_harness import SchedulerHarness

#: Many times what it takes to request a machine, boot it and pull a task's image.
START_LIMIT_S = 60.0


def remove_limits(scenario: Scenario, team_name: str) -> None:
    """Set the team's limits to 0 in the settings of all controllers."""
    for settings in scenario.controller_settings.values():
        for team in settings.cluster.teams:
            if team.name == team_name:
                team.cpus_max = team.gpus_max = 0.0


def test_jobs_of_unlimited_and_other_teams_get_machines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one job of an unlimited team ending every leader's term, for all teams."""

    async def act(scenario: Scenario) -> None:
        remove_limits(scenario, "red")
        await scenario.start(machines=2)
        leader = scenario.leader()
        via = scenario.controller_names[0]
        jobs = [
            await scenario.submit(via, team=team, tasks=3, gpus=4.0, cpus=4.0)
            for team in ("red", "blue")
        ]
        await scenario.wait_until(lambda: set(jobs) <= scenario.present_jobs(), START_LIMIT_S)
        assert scenario.leader() == leader, "the leader changed without a fault"

    assert_no_violations(run_scenario(act, monkeypatch))


def test_job_of_a_tiny_gpu_share_does_not_stop_scale_out() -> None:
    """Guards against a limit divided by such an amount, which is too large for an integer."""
    harness = SchedulerHarness(machines=2)
    harness.add_job(make_spec(1, shape="batch", tasks=1, gpus=1e-320, same_zone=False))
    harness.add_job(make_spec(2, shape="batch", tasks=6, gpus=4.0, same_zone=False, team="blue"))
    requests = harness.scheduler.scale_out(harness.now)
    assert sum(request.count for request in requests) >= 1, "blue may use three machines"
