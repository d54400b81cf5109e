"""Compound failures: partitions and outages with cancellations, full machines, lost leases."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import curio
import pytest

from tests.fakes.cloud import FakeCloud
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.scenarios import Scenario, assert_no_violations, run_scenario

EXTERNAL_HOSTS = [FakeKeyValueStore.HOST, FakeCloud.HOST, "user"]


@pytest.mark.parametrize("seed", [1, 2])
def test_all_jobs_end_with_more_work_than_room_over_slow_links(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        scenario.cloud.capacity = 4
        scenario.network.max_extra_delay_s = 0.4
        await scenario.start(machines=4)
        await scenario.run_users(30, 15.0)
        waiting = [
            scenario.users.specs[job]
            for job in scenario.rules.reported_stages
            if job not in scenario.tasks.first_start_at
        ]
        requested_gpus = sum(spec["frames"] * spec["cards"] for spec in waiting)
        assert requested_gpus > 16.0, "waiting jobs need more GPUs than all machines have"
        assert len({spec["urgency"] for spec in waiting}) > 1, (
            "waiting jobs have different urgencies"
        )
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_zone_cut_off_with_a_controller_for_over_a_lease_keeps_its_work(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The zone's controller extends its workers' leases; jobs cancelled meanwhile still end."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        if leader == "hive-1":  # the only controller of zone b
            old = leader
            await scenario.stop(old)
            leader = await scenario.wait_for_new_leader(old)
            await scenario.start_again(old)
        assert leader is not None
        await curio.sleep(3 * scenario.worker_settings.heartbeat_interval_s)
        jobs = await scenario.submit_running_jobs(2, leader, gpus=4.0, tasks=2, zone="b")
        await scenario.submit_running_jobs(1, leader, gpus=4.0, tasks=1, zone="a")
        zone_workers = [worker for worker in scenario.busy_workers() if worker.zone == "b"]
        incarnations = {worker.name: worker.incarnation for worker in zone_workers}
        assert len(zone_workers) > 2, "too many to be treated as single silent machines"
        for other in ["a", *EXTERNAL_HOSTS]:
            scenario.network.cuts.add(frozenset(("b", other)))
        await curio.sleep(2.0)
        assert await scenario.cancel(jobs[0], leader) == HTTPStatus.OK
        await curio.sleep(1.4 * scenario.worker_settings.lease_s)
        kept = [
            w for w in zone_workers if not w.terminated and w.incarnation == incarnations[w.name]
        ]
        assert kept, "some workers kept their incarnation for longer than a lease"
        await curio.sleep(scenario.worker_settings.cancel_s - scenario.worker_settings.lease_s)
        scenario.network.cuts.clear()
        await scenario.run_users(8, 10.0)
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_bound_to_one_zone_are_done_though_they_lose_machines(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        zone_bound: dict[str, Any] = {"same_place": True, "cards": 2.0, "frames": 4, "run_s": 25.0}
        jobs = [
            await scenario.submit(leader, **zone_bound),
            await scenario.submit(leader, shape="gang", checkpoint_s=5.0, **zone_bound),
            await scenario.submit(leader, zone="a", **{**zone_bound, "same_place": False}),
        ]
        await scenario.wait_until(
            lambda: all(job in scenario.tasks.first_start_at for job in jobs), 60.0
        )
        lost_tasks = 0
        for _ in range(3):
            await curio.sleep(6.0)
            victims = [worker for worker in scenario.busy_workers() if worker.zone == "a"]
            victims = victims or scenario.busy_workers()
            for worker in victims[:1]:
                lost_tasks += len(worker.active_tasks())
                if scenario.rng.random() < 0.5:
                    scenario.cloud.remove(worker)
                else:
                    worker.start_incarnation()
        assert lost_tasks > 0
        await scenario.run_users(6, 5.0)
        await scenario.wait_for_all_users()
        for job in jobs:
            while scenario.rules.reported_stages[job] != "done":
                await scenario.poll(job, scenario.random_controller())
                await curio.sleep(1.0)
                assert scenario.clock.now - scenario.users.submitted_at[job] < 400.0

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
@pytest.mark.parametrize("seed", [1, 2])
def test_nothing_is_confirmed_while_a_slow_store_refuses_everybody(
    seed: int, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        submitting = await curio.spawn(scenario.run_users, 30, 40.0, daemon=True)
        await curio.sleep(8.0)
        scenario.store.max_delay_s = 0.4
        await curio.sleep(8.0)
        leader = scenario.leader()
        assert leader is not None
        scenario.store.refused_controllers.add(leader)
        await curio.sleep(scenario.rng.uniform(0.5, 4.0))
        scenario.store.set_down(True)
        scenario.store.refused_controllers.clear()
        confirmed = scenario.rules.cancel_confirmed_at
        cancelled = len(confirmed)
        await curio.sleep(1.2 * scenario.worker_settings.cancel_s)
        assert len(scenario.rules.cancel_confirmed_at) == cancelled, (
            "cancellations were confirmed during an outage"
        )
        scenario.store.set_down(False)
        scenario.store.max_delay_s = 0.0
        await submitting.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, site, seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
@pytest.mark.parametrize("hung", [0, 2])
def test_leader_reached_by_workers_and_users_only_launches_nothing_cancelled(
    hung: int, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Jobs are cancelled through the new leader while `hung` of their machines hang."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        jobs = await scenario.submit_running_jobs(4, old, gpus=2.0)
        busy = scenario.busy_workers()
        cut_at = scenario.clock.now
        scenario.cut_off(old, [*scenario.controller_names, FakeKeyValueStore.HOST])
        new = await scenario.wait_for_new_leader(old)
        reporting_to_old = [w for w in busy if w.last_answer_at.get(old, 0.0) > cut_at]
        assert reporting_to_old, "no worker still reports to the old leader"
        for worker in busy[:hung]:
            worker.hanging_until = scenario.clock.now + scenario.worker_settings.cancel_s
        for job in jobs:
            assert await scenario.cancel(job, new) == HTTPStatus.OK
            status, body = await scenario.poll(job, old)
            assert status != HTTPStatus.OK or body["stage"] == "aborted", (
                "the old leader reports a stage that it can't know"
            )
        await curio.sleep(scenario.worker_settings.cancel_s)
        scenario.network.cuts.clear()
        await scenario.run_users(5, 5.0)
        await scenario.wait_for_all_users()

    scenario = run_scenario(act, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.8 * scenario.worker_settings.cancel_s
    assert scenario.started_after_confirmation == []


@pytest.mark.parametrize("seed", [1, 2])
def test_leader_that_gets_no_answer_from_the_store_gives_way_to_another(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its lease renewals arrive but the answers don't: it can't act, so another must lead."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.submit_running_jobs(1, scenario.controller_names[0])
        leader = scenario.leader()
        assert leader is not None
        scenario.network.one_way_cuts.add((FakeKeyValueStore.HOST, leader))
        new = await scenario.wait_for_new_leader(
            leader, 10 * scenario.controllers[leader].services.controller_lease_s
        )
        await scenario.submit_running_jobs(1, new)
        scenario.network.one_way_cuts.clear()
        await scenario.wait_until(lambda: scenario.controllers[leader].leader_term is None)
        await curio.sleep(scenario.worker_settings.lease_s)
        assert scenario.leader() == new

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))
