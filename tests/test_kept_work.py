"""Work that need not be lost though a controller can't hear all others."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import curio
import pytest

from tests.fakes.worker import FakeWorker
from tests.scenarios import SITES, Scenario, assert_no_violations, run_scenario
from tests.test_zone_cuts import cancel_all, start_work, wait_for_deadline

Fault = Callable[[Scenario], Awaitable[None]]


async def a_follower_ends(scenario: Scenario) -> None:
    await scenario.stop(scenario.other_controllers(scenario.leader())[0])


async def the_leader_ends(scenario: Scenario) -> None:
    leader = scenario.leader()
    assert leader is not None
    await scenario.stop(leader)


async def a_follower_is_paused(scenario: Scenario) -> None:
    name = scenario.other_controllers(scenario.leader())[0]
    scenario.paused_until[name] = scenario.clock.now + 3 * scenario.worker_settings.cancel_s


def kept_workers(incarnations: dict[str, int], scenario: Scenario) -> list[FakeWorker]:
    """Return the workers that exist and have kept their incarnations, and so their tasks."""
    return [
        worker
        for worker in scenario.cloud.workers.values()
        if incarnations.get(worker.name) == worker.incarnation and worker.active_tasks()
    ]


@pytest.mark.parametrize("fault", [a_follower_ends, the_leader_ends, a_follower_is_paused])
@pytest.mark.parametrize("site", SITES)
def test_work_outlasts_an_outage_of_the_store_in_which_a_controller_falls_silent(
    site: str, fault: Fault, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: leases end in a long outage, in which nobody can cancel anything."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        await scenario.submit_running_jobs(4, leader, gpus=2.0)
        await curio.sleep(3 * scenario.worker_settings.heartbeat_interval_s)
        incarnations = {worker.name: worker.incarnation for worker in scenario.busy_workers()}
        scenario.store.set_down(True)
        await curio.sleep(3.0)
        await fault(scenario)
        await curio.sleep(scenario.worker_settings.cancel_s + scenario.worker_settings.lease_s)
        assert len(kept_workers(incarnations, scenario)) == len(incarnations)

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("zone", ["a", "b"])
@pytest.mark.parametrize("site", SITES)
def test_work_outlasts_a_cut_between_two_zones(
    site: str, zone: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against: a controller that hears no leader gives up its workers, or keeps a
    cancelled job, though it can read in the store which jobs are live.
    """

    async def act(scenario: Scenario) -> None:
        leader_zone = "b" if zone == "a" else "a"
        jobs = await start_work(scenario, zone, leader_zone)
        incarnations = {worker.name: worker.incarnation for worker in scenario.busy_workers()}
        leader = scenario.leader()
        assert leader is not None
        # Without workers of its own the leader would resign.
        await scenario.submit_running_jobs(2, leader, gpus=2.0, tasks=3, zone=leader_zone)
        scenario.cut_off("a", ["b"])
        await curio.sleep(5.0)
        await cancel_all(scenario, jobs[:1], zone)
        scenario.cloud.down = True
        await wait_for_deadline(scenario)
        kept = kept_workers(incarnations, scenario)
        assert {task.job for worker in kept for task in worker.active_tasks()} == {jobs[1]}
        running = {task.task_name for worker in kept for task in worker.active_tasks()}
        assert len(running) == 3, "no task of the other job was lost"

    assert_no_violations(run_scenario(act, monkeypatch, site))
