"""Compound failures: leader changes during other faults; docs/meetings.md lists the cases.

Each test asserts that its case came about; the rule checker detects violations.
"""

from __future__ import annotations

from http import HTTPStatus

import curio
import pytest

from tests.scenarios import Scenario, assert_no_violations, run_scenario


def set_team_limits(scenario: Scenario, gpus: float) -> None:
    """Limit every team to `gpus` GPUs."""
    for settings in scenario.controller_settings.values():
        for team in settings.cluster.teams:
            team.gpus_max = gpus


def test_all_jobs_end_when_leaders_fail_over_all_controllers_end_and_one_returns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        submitting = await curio.spawn(scenario.run_users, 25, 20.0, daemon=True)
        await curio.sleep(8.0)
        first = scenario.leader()
        assert first is not None
        await scenario.stop(first)
        await scenario.start_again(first, 0.3)
        second = await scenario.wait_for_new_leader(None)
        await scenario.stop(second)
        await scenario.start_again(second, 0.05)
        third = await scenario.wait_for_new_leader(None)
        term = scenario.controllers[third].leader_term.term
        for name in list(scenario.controllers):
            await scenario.stop(name)
        await scenario.start_again(third, 0.4)
        restarted = await scenario.wait_for_new_leader(None)
        assert restarted == third and scenario.controllers[restarted].leader_term.term > term
        for name in scenario.controller_names:
            await scenario.start_again(name, 0.5)
        await submitting.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_team_stays_within_its_limit_when_the_leader_changes(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two of its machines are unreachable, and two of its jobs are cancelled meanwhile."""

    async def act(scenario: Scenario) -> None:
        set_team_limits(scenario, 12.0)
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        jobs = await scenario.submit_running_jobs(4, old, team="red", gpus=1.0, checkpoint_s=0.0)
        waiting = [await scenario.submit(old, team="red", run_s=10.0) for _ in range(3)]
        cut_off_worker = scenario.busy_workers()[:2]
        for worker in cut_off_worker:
            scenario.cut_off(worker.host, scenario.controller_names)
        await scenario.stop(old)
        new = await scenario.wait_for_new_leader(old)
        used_gpus = sum(
            task.spec["cards"] for w in scenario.busy_workers() for task in w.active_tasks()
        )
        assert used_gpus == 12.0 and any(worker.active_tasks() for worker in cut_off_worker), (
            "the team uses its whole limit"
        )
        for job in jobs[:2]:
            assert await scenario.cancel(job, new) == HTTPStatus.OK
        await curio.sleep(0.5 * scenario.worker_settings.lease_s)
        scenario.network.cuts.clear()
        await scenario.start_again(old)
        await scenario.wait_until(
            lambda: all(job in scenario.tasks.first_start_at for job in waiting), 150.0
        )

    scenario = run_scenario(act, monkeypatch, seed=seed)
    assert_no_violations(scenario)


@pytest.mark.parametrize("seed", [1, 2])
def test_gangs_whose_tasks_end_far_apart_are_done_across_changes_of_leader(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        jobs = []
        for number in range(3):
            scenario.job_number += 1
            tasks = 2 + number % 2
            name = f"wk-{scenario.job_number + 1:06d}"
            for index in range(tasks):
                scenario.tasks.task_run_s[(name, index)] = 4.0 + 22.0 * index
            jobs.append(await scenario.submit(leader, run_s=1.0, tasks=tasks, gpus=2.0))
            assert jobs[-1] == name
        terms = set()
        for _ in range(3):
            done = len(scenario.tasks.completed)
            await scenario.wait_until(lambda done=done: len(scenario.tasks.completed) > done, 80.0)  # type: ignore[misc]
            stopped = scenario.leader()
            assert stopped is not None
            terms.add(scenario.controllers[stopped].leader_term.term)
            await scenario.stop(stopped)
            await scenario.start_again(stopped, 1.0)
            await scenario.wait_for_new_leader(None)
        assert len(terms) == 3
        for job in jobs:
            while scenario.rules.reported_stages[job] != "done":
                await scenario.poll(job, scenario.rng.choice(list(scenario.controllers)))
                await curio.sleep(1.0)
                assert scenario.clock.now - scenario.users.submitted_at[job] < 200.0

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("seed", [1, 2])
def test_rules_hold_under_ten_leaders_in_two_minutes(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two of the leaders end during an outage of the key-value store."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        submitting = await curio.spawn(scenario.run_users, 40, 90.0, daemon=True)
        started_at = scenario.clock.now
        terms = set()
        for number in range(11):
            leader = await scenario.wait_for_new_leader(None)
            terms.add(scenario.controllers[leader].leader_term.term)
            await curio.sleep(scenario.rng.uniform(0.5, 6.0))
            if number in (3, 7):
                scenario.store.set_down(True)
            if leader in scenario.controllers:
                await scenario.stop(leader)
            await scenario.start_again(leader, scenario.rng.choice([0.05, 0.5, 3.0]))
            if scenario.store.down:
                await curio.sleep(6.0)
                scenario.store.set_down(False)
        assert len(terms) >= 10 and scenario.clock.now - started_at < 120.0
        await submitting.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_all_jobs_end_after_all_controllers_were_away_for_over_a_lease(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        submitting = await curio.spawn(scenario.run_users, 20, 20.0, daemon=True)
        await curio.sleep(15.0)
        incarnations = {w.name: w.incarnation for w in scenario.cloud.workers.values() if w.up}
        assert scenario.busy_workers()
        for name in list(scenario.controllers):
            await scenario.stop(name)
        await curio.sleep(1.3 * scenario.worker_settings.lease_s)
        assert all(
            worker.incarnation > incarnations[worker.name]
            for worker in scenario.cloud.workers.values()
            if worker.name in incarnations
        ), "every worker's lease has ended"
        for name in scenario.controller_names:
            await scenario.start_again(name)
        await submitting.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rules_hold_when_the_leader_ends_while_machines_are_out_of_reach(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One machine is cut off and one loses the new leader's responses; both run long tasks."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        await scenario.submit_running_jobs(3, old, run_s=60.0, gpus=2.0)
        cut_off_worker, without_commands = scenario.busy_workers()[:2]
        scenario.network.delivers_cut_requests_late = True
        scenario.cut_off(cut_off_worker.host, scenario.controller_names)
        without_commands.commands_lost_until = (
            scenario.clock.now + 2.5 * scenario.worker_settings.lease_s
        )
        await scenario.stop(old)
        new = await scenario.wait_for_new_leader(old)
        await curio.sleep(1.0)
        assert (
            cut_off_worker.active_tasks()
            and without_commands.fencing_token < scenario.controllers[new].leader_term.term
        )
        await scenario.run_users(10, 1.2 * scenario.worker_settings.lease_s)
        scenario.network.cuts.clear()
        await scenario.start_again(old)
        await curio.sleep(2 * scenario.worker_settings.lease_s)
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))
