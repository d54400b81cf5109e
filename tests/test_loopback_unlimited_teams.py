"""Real processes on loopback with settings that don't limit the teams."""

from __future__ import annotations

import subprocess
import sys
from http import HTTPStatus
from pathlib import Path
from typing import Any

import curio

from tests.job_specs import submission_fields
from tests.loopback import EVENT_TIMEOUT_S, ROOT, LoopbackSimulation, run_loopback_scenario

RUN_S = 1000.0
SUBMIT_TIMEOUT_S = 5.0
RETRY_S = 1.0
#: A gang each of whose tasks needs a whole machine.
GANG: dict[str, Any] = {
    "job_class": "train",
    "team": "red",
    "shape": "gang",
    "tasks": 3,
    "gpus": 4.0,
    "image_gb": 0.1,
    "machine_types": None,
    "zone": None,
    "same_place": False,
    "spot": False,
}


def check_settings(path: Path) -> subprocess.CompletedProcess[str]:
    """Run the command `check` on a settings file."""
    command = [sys.executable, "run.py", "check", "--config", str(path)]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


async def submit(simulation: LoopbackSimulation, spec: dict[str, Any]) -> None:
    """Retry a submission until it is accepted, as a controller may not listen yet."""
    end = simulation.clock.now + EVENT_TIMEOUT_S
    status = 0
    while status not in (HTTPStatus.OK, HTTPStatus.CREATED):
        assert simulation.clock.now < end, f"not accepted: {status}"
        status, _ = await simulation.users.request("POST", "/api/jobs", spec, SUBMIT_TIMEOUT_S)
        await curio.sleep(RETRY_S)


def test_gang_of_an_unlimited_team_runs_on_machines_that_are_rented_for_it(tmp_path: Path) -> None:
    """Guards against: no machine is rented for it, and one leader after another ends its term."""

    async def act(simulation: LoopbackSimulation) -> None:
        for team in simulation.settings.cluster.teams:
            team.gpus_max = 0.0
        checked = check_settings(simulation.write_settings("hive-0"))
        assert checked.returncode == 0, checked.stderr
        await simulation.start(machines=1)
        spec = {**simulation.users.draw_spec(1), **submission_fields(GANG)}
        job = spec["id"]
        simulation.users.specs[job] = spec
        simulation.tasks.job_run_s[job] = RUN_S
        await submit(simulation, spec)

        def running() -> bool:
            tasks = [
                task
                for worker in simulation.cloud.workers.values()
                for task in worker.active_tasks()
            ]
            return [task.state for task in tasks].count("running") == GANG["tasks"]

        await simulation.wait_until(running, "a running gang")
        assert len(simulation.elections) == 1, "the leader changed without a fault"

    assert run_loopback_scenario(act, tmp_path).violations == []
