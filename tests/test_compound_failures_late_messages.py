"""Compound failures: messages that arrive out of order, late, or in one direction only."""

from __future__ import annotations

from http import HTTPStatus

import curio
import pytest

from tests.scenarios import Scenario, assert_no_violations, run_scenario


def test_heartbeat_held_back_until_a_new_leader_has_acted_launches_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The heartbeat shows a task that the new leader has meanwhile placed elsewhere."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        (job,) = await scenario.submit_running_jobs(1, old, tasks=2, gpus=4.0)
        first_worker = scenario.busy_workers()[0]
        delayed = first_worker.past_heartbeats[-1]
        assert any(entry["frame"].startswith(job) for entry in delayed["frames"])
        await scenario.stop(old)
        first_worker.start_incarnation()
        first_worker.heartbeats_lost_until = scenario.clock.now + 60.0
        first_worker.controller_index = 0
        new = await scenario.wait_for_new_leader(old)
        # The worker's next incarnation proves that its tasks ended; the new leader learns of it
        # from the response to a direct command.
        lost_tasks = {entry["frame"] for entry in delayed["frames"]}

        def placed_again() -> bool:
            return any(
                task.task_name in lost_tasks
                for worker in scenario.busy_workers()
                if worker is not first_worker
                for task in worker.active_tasks()
            )

        await scenario.wait_until(placed_again, 60.0)
        status, answer = await scenario.request(new, "POST", "/v1/report", delayed)
        assert scenario.controllers[new].leader_term.term > delayed["crown"], (
            "the heartbeat is of an earlier term"
        )
        launches = [
            command for command in (answer or {}).get("calls", []) if command["call"] == "launch"
        ]
        assert status in (HTTPStatus.OK, HTTPStatus.MISDIRECTED_REQUEST) and launches == []
        await curio.sleep(30.0)

    assert_no_violations(run_scenario(act, monkeypatch))


def test_old_heartbeat_proves_nothing_to_a_new_leader_that_hears_no_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A new leader must not conclude from it that tasks ended, even if no other arrives."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        (job,) = await scenario.submit_running_jobs(1, old, tasks=2, gpus=4.0)
        first_worker = scenario.busy_workers()[0]
        delayed = first_worker.past_heartbeats[0]
        assert delayed["frames"] == [], "the heartbeat shows no tasks"
        first_worker.heartbeats_lost_until = first_worker.commands_lost_until = (
            scenario.clock.now + 0.6 * scenario.worker_settings.lease_s
        )
        await scenario.stop(old)
        new = await scenario.wait_for_new_leader(old)
        # The highest sequence number that the new leader sees, but of an earlier term.
        delayed = {**delayed, "tally": 10_000}
        await scenario.request(new, "POST", "/v1/report", delayed)
        attempts = [
            attempt
            for attempt in scenario.controllers[new]
            .leader_term.scheduler.jobs[job]
            .attempts.values()
            if attempt.machine == first_worker.name
        ]
        assert len(attempts) == 1 and attempts[0].is_active, (
            "the attempt still counts as possibly running"
        )
        await curio.sleep(20.0)

    assert_no_violations(run_scenario(act, monkeypatch))


def test_cancelled_tasks_are_gone_in_time_though_their_machines_hang(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        jobs = await scenario.submit_running_jobs(3, leader, gpus=2.0)
        hung = scenario.busy_workers()[:3]
        for worker in hung:
            worker.hanging_until = scenario.clock.now + 0.6 * scenario.worker_settings.lease_s
        for job in jobs:
            assert await scenario.cancel(job, leader) == HTTPStatus.OK
        await scenario.run_users(10, 5.0)
        await curio.sleep(scenario.worker_settings.lease_s)
        assert any(worker.late_commands for worker in hung), (
            "commands were executed once the machine resumed"
        )
        await scenario.wait_for_all_users()

    scenario = run_scenario(act, monkeypatch)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.6 * scenario.worker_settings.cancel_s


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_rules_hold_when_transactions_are_carried_out_after_newer_ones(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        scenario.network.late_write_share = 0.25
        submitting = await curio.spawn(scenario.run_users, 30, 40.0, daemon=True)
        await curio.sleep(15.0)
        leader = scenario.leader()
        if leader is not None:
            await scenario.stop(leader)
            await scenario.start_again(leader, 0.5)
        await submitting.join()
        scenario.network.late_write_share = 0.0
        assert scenario.network.overtaken_writes > 20, "transactions were overtaken by newer ones"
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rules_hold_when_old_heartbeats_arrive_after_newer_ones(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Old heartbeats, also of earlier incarnations, arrive at the leader and at followers."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        submitting = await curio.spawn(scenario.run_users, 25, 25.0, daemon=True)
        earlier_incarnation_count = 0
        for second in range(40):
            await curio.sleep(1.0)
            workers = list(scenario.cloud.workers.values())
            if second % 8 == 4:  # fixed times: random ones sometimes left no earlier incarnation
                scenario.rng.choice(workers).start_incarnation()
            for worker in workers:
                older = [
                    heartbeat
                    for heartbeat in worker.past_heartbeats[:-1]
                    if (heartbeat["flight"], heartbeat["tally"])
                    < (worker.incarnation, worker.sequence)
                ]
                for heartbeat in scenario.rng.sample(older, min(2, len(older))):
                    earlier_incarnation_count += heartbeat["flight"] < worker.incarnation
                    name = scenario.rng.choice(list(scenario.controllers))
                    await scenario.network.hosts[name](worker.host, "POST", "/v1/report", heartbeat)
        assert earlier_incarnation_count > 5, "some heartbeats were of earlier incarnations"
        await submitting.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_workers_that_reach_no_controller_get_kills_by_direct_command(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        jobs = await scenario.submit_running_jobs(3, leader, gpus=2.0)
        silent = scenario.busy_workers()[:3]
        for worker in silent:
            worker.heartbeats_lost_until = (
                scenario.clock.now + 1.5 * scenario.worker_settings.lease_s
            )
        await curio.sleep(1.0)
        for job in jobs[:2]:
            assert (
                await scenario.cancel(job, scenario.other_controllers(leader)[0]) == HTTPStatus.OK
            )
        await scenario.run_users(8, 1.5 * scenario.worker_settings.lease_s)
        await scenario.cancel(jobs[2], leader)
        await scenario.wait_for_all_users()

    scenario = run_scenario(act, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 3 * scenario.worker_settings.heartbeat_interval_s
