"""Troubles that meet; docs/meetings.md lists them. Each test brings its meeting about,
asserts that it did, and lets the checker judge the rules."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from tests.fakes.cloud import FakeCloud
from tests.fakes.key_value_store import FakeKeyValueStore
from tests.scenarios import Scenario, assert_no_violations, run_scenario

OUTSIDE = [FakeKeyValueStore.HOST, FakeCloud.HOST, "user"]


def limits(scenario: Scenario, gpus: float) -> None:
    for settings in scenario.controller_settings.values():
        for team in settings.cluster.teams:
            team.gpus_max = gpus


@pytest.mark.parametrize("seed", [1, 2])
def test_more_work_than_room_over_slow_links(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scenario: Scenario) -> None:
        scenario.cloud.capacity = 4
        scenario.network.delay_s = 0.4
        await scenario.start(machines=4)
        await scenario.run_users(30, 15.0)
        waiting = [
            scenario.users.specs[job]
            for job in scenario.rules.reported_stages
            if job not in scenario.tasks.first_start_at
        ]
        asked = sum(spec["frames"] * spec["cards"] for spec in waiting)
        assert asked > 16.0, "more than all machines have"
        assert len({spec["urgency"] for spec in waiting}) > 1, "urgent and not"
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


def test_report_held_back_until_a_new_leader_has_acted(monkeypatch: pytest.MonkeyPatch) -> None:
    """It shows a task that the new leader has placed elsewhere since."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        (job,) = await scenario.submit_running_jobs(1, old, tasks=2, gpus=4.0)
        first = scenario.busy_workers()[0]
        held = first.past_reports[-1]
        assert any(task_name["frame"].startswith(job) for task_name in held["frames"])
        await scenario.stop(old)
        first.new_session()
        first.mute_until = scenario.clock.now + 60.0
        first.node = 0
        new = await scenario.wait_for_new_leader(old)
        # The worker's next session proves its task gone; a direct answer tells of it.
        lost = {task_name["frame"] for task_name in held["frames"]}

        def placed_again() -> bool:
            return any(
                task.task_name in lost
                for worker in scenario.busy_workers()
                if worker is not first
                for task in worker.present()
            )

        await scenario.wait_until(placed_again, 60.0)
        status, answer = await scenario.request(new, "POST", "/v1/report", held)
        assert scenario.controllers[new].leading.term > held["crown"], "from before her time"
        launches = [
            command for command in (answer or {}).get("calls", []) if command["call"] == "launch"
        ]
        assert status in (200, 421) and launches == []
        await curio.sleep(30.0)

    assert_no_violations(run_scenario(act, monkeypatch))


def test_first_word_of_a_machine_is_an_old_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """The new leader hears nothing else of it, so the report must prove nothing."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        (job,) = await scenario.submit_running_jobs(1, old, tasks=2, gpus=4.0)
        first = scenario.busy_workers()[0]
        held = first.past_reports[0]
        assert held["frames"] == [], "it shows the machine empty"
        first.mute_until = first.deaf_until = (
            scenario.clock.now + 0.6 * scenario.worker_settings.lease_s
        )
        await scenario.stop(old)
        new = await scenario.wait_for_new_leader(old)
        held = {**held, "tally": 10_000}  # the newest that it hears, and yet from before it
        await scenario.request(new, "POST", "/v1/report", held)
        run = [
            run
            for run in scenario.controllers[new].leading.scheduler.jobs[job].runs.values()
            if run.machine == first.name
        ]
        assert len(run) == 1 and run[0].present, "it still counts as possibly running"
        await curio.sleep(20.0)

    assert_no_violations(run_scenario(act, monkeypatch))


def test_hand_over_and_back_all_end_and_one_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        coming = await curio.spawn(scenario.run_users, 25, 20.0, daemon=True)
        await curio.sleep(8.0)
        one = scenario.leader()
        assert one is not None
        await scenario.stop(one)
        await scenario.start_again(one, 0.3)
        two = await scenario.wait_for_new_leader(None)
        await scenario.stop(two)
        await scenario.start_again(two, 0.05)
        three = await scenario.wait_for_new_leader(None)
        term = scenario.controllers[three].leading.term
        for name in list(scenario.controllers):
            await scenario.stop(name)
        await scenario.start_again(three, 0.4)
        again = await scenario.wait_for_new_leader(None)
        assert again == three and scenario.controllers[again].leading.term > term
        for name in scenario.controller_names:
            await scenario.start_again(name, 0.5)
        await coming.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_team_at_its_limit_when_the_leader_changes(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some of its machines can't be asked, and a job of it is cancelled in that spell."""

    async def act(scenario: Scenario) -> None:
        limits(scenario, 12.0)
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        jobs = await scenario.submit_running_jobs(4, old, team="red", gpus=1.0, checkpoint_s=0.0)
        waiting = [await scenario.submit(old, team="red", run_s=10.0) for _ in range(3)]
        cut = scenario.busy_workers()[:2]
        for worker in cut:
            scenario.cut_off(worker.host, scenario.controller_names)
        await scenario.stop(old)
        new = await scenario.wait_for_new_leader(old)
        used = sum(task.spec["cards"] for w in scenario.busy_workers() for task in w.present())
        assert used == 12.0 and any(worker.present() for worker in cut), "at its limit"
        for job in jobs[:2]:
            assert await scenario.cancel(job, new) == 200
        await curio.sleep(0.5 * scenario.worker_settings.lease_s)
        scenario.network.cuts.clear()
        await scenario.start_again(old)
        await scenario.wait_until(
            lambda: all(job in scenario.tasks.first_start_at for job in waiting), 150.0
        )

    scenario = run_scenario(act, monkeypatch, seed=seed)
    assert_no_violations(scenario)


@pytest.mark.parametrize("seed", [1, 2])
def test_tasks_end_far_apart_across_changes_of_leader(
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
            ended = scenario.leader()
            assert ended is not None
            terms.add(scenario.controllers[ended].leading.term)
            await scenario.stop(ended)
            await scenario.start_again(ended, 1.0)
            await scenario.wait_for_new_leader(None)
        assert len(terms) == 3
        for job in jobs:
            while scenario.rules.reported_stages[job] != "done":
                await scenario.poll(job, scenario.rng.choice(list(scenario.controllers)))
                await curio.sleep(1.0)
                assert scenario.clock.now - scenario.users.submitted_at[job] < 200.0

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("seed", [1, 2])
def test_ten_leaders_in_two_minutes(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also inside an outage of the state service."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        coming = await curio.spawn(scenario.run_users, 40, 90.0, daemon=True)
        began = scenario.clock.now
        terms = set()
        for number in range(11):
            leader = await scenario.wait_for_new_leader(None)
            terms.add(scenario.controllers[leader].leading.term)
            await curio.sleep(scenario.rng.uniform(0.5, 6.0))
            if number in (3, 7):
                scenario.store.set_down(True)
            if leader in scenario.controllers:
                await scenario.stop(leader)
            await scenario.start_again(leader, scenario.rng.choice([0.05, 0.5, 3.0]))
            if scenario.store.down:
                await curio.sleep(6.0)
                scenario.store.set_down(False)
        assert len(terms) >= 10 and scenario.clock.now - began < 120.0
        await coming.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


def test_command_held_up_while_its_machine_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        jobs = await scenario.submit_running_jobs(3, leader, gpus=2.0)
        hung = scenario.busy_workers()[:3]
        for worker in hung:
            worker.hanging_until = scenario.clock.now + 0.6 * scenario.worker_settings.lease_s
        for job in jobs:
            assert await scenario.cancel(job, leader) == 200
        await scenario.run_users(10, 5.0)
        await curio.sleep(scenario.worker_settings.lease_s)
        assert any(worker.late_commands for worker in hung), "carried out when it went on"
        await scenario.wait_for_all_users()

    scenario = run_scenario(act, monkeypatch)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.6 * scenario.worker_settings.cancel_s


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_transactions_carried_out_after_newer_ones(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        scenario.network.late_writes = 0.25
        coming = await curio.spawn(scenario.run_users, 30, 40.0, daemon=True)
        await curio.sleep(15.0)
        leader = scenario.leader()
        if leader is not None:
            await scenario.stop(leader)
            await scenario.start_again(leader, 0.5)
        await coming.join()
        scenario.network.late_writes = 0.0
        assert scenario.network.overtaken > 20, "newer ones came before"
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_all_controllers_away_for_longer_than_a_lease(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        coming = await curio.spawn(scenario.run_users, 20, 20.0, daemon=True)
        await curio.sleep(15.0)
        sessions = {w.name: w.session for w in scenario.cloud.workers.values() if w.up}
        assert scenario.busy_workers()
        for name in list(scenario.controllers):
            await scenario.stop(name)
        await curio.sleep(1.3 * scenario.worker_settings.lease_s)
        assert all(
            worker.session > sessions[worker.name]
            for worker in scenario.cloud.workers.values()
            if worker.name in sessions
        ), "every lease has ended"
        for name in scenario.controller_names:
            await scenario.start_again(name)
        await coming.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_leader_ends_while_machines_are_out_of_reach(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One can't be reached, one does not hear the new leader's answers; long tasks on both."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        await scenario.submit_running_jobs(3, old, run_s=60.0, gpus=2.0)
        cut, unhearing = scenario.busy_workers()[:2]
        scenario.network.holding = True
        scenario.cut_off(cut.host, scenario.controller_names)
        unhearing.deaf_until = scenario.clock.now + 2.5 * scenario.worker_settings.lease_s
        await scenario.stop(old)
        new = await scenario.wait_for_new_leader(old)
        await curio.sleep(1.0)
        assert cut.present() and unhearing.term < scenario.controllers[new].leading.term
        await scenario.run_users(10, 1.2 * scenario.worker_settings.lease_s)
        scenario.network.cuts.clear()
        await scenario.start_again(old)
        await curio.sleep(2 * scenario.worker_settings.lease_s)
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_meet_the_end_of_a_jobs_last_task(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cancellation, a question and a repeat at the same moment, at different controllers."""
    outcomes: list[str] = []

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        for _ in range(10):
            job = await scenario.submit(leader, run_s=2.0, tasks=2, gpus=1.0, image_gb=0.1)
            tasks = {(job, 0), (job, 1)}
            await scenario.wait_until(lambda tasks=tasks: tasks <= scenario.tasks.completed, 60.0)  # type: ignore[misc]
            # The worker reports at once; a moment later the job is moved.
            await curio.sleep(scenario.rng.uniform(0.0, 1.2))
            meet = [
                await curio.spawn(scenario.cancel, job, scenario.any_controller()),
                await curio.spawn(scenario.poll, job, scenario.any_controller()),
                await curio.spawn(
                    scenario.request,
                    scenario.any_controller(),
                    "POST",
                    "/api/jobs",
                    scenario.users.specs[job],
                ),
            ]
            for task in meet:
                await task.join()
            status, body = await scenario.poll(job, scenario.any_controller())
            assert status == 200
            outcomes.append(body["stage"])
            status, body = await scenario.request(
                leader, "POST", "/api/jobs", scenario.users.specs[job]
            )
            scenario.rules.check_answer(job, status, body, True)
            assert (status, body["stage"]) == (200, outcomes[-1])
            await curio.sleep(2.0)

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))
    assert set(outcomes) <= {"done", "aborted"} and "done" in outcomes


def test_both_outcomes_of_a_cancellation_at_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever writes first wins, and stays."""
    outcomes = set()
    for seed in range(4):

        async def act(scenario: Scenario) -> None:
            await scenario.start()
            scenario.users.cancel_at_end_share = 1.0
            await scenario.run_users(25, 10.0)
            await scenario.wait_for_all_users()
            assert scenario.users.cancelled_at_end > 10
            outcomes.update(scenario.rules.reported_stages.values())

        assert_no_violations(run_scenario(act, monkeypatch, seed=seed))
    assert outcomes == {"done", "aborted"}


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_zone_with_a_controller_cut_off_for_longer_than_a_lease(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its controller keeps its busy workers; jobs cancelled meanwhile are ended all the same."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        if leader == "hive-1":  # the only controller of zone b
            await scenario.stop(leader)
            await scenario.start_again(leader, 0.5)
            leader = await scenario.wait_for_new_leader(leader)
        assert leader is not None
        await curio.sleep(3 * scenario.worker_settings.report_s)
        jobs = await scenario.submit_running_jobs(2, leader, gpus=4.0, tasks=2, zone="b")
        await scenario.submit_running_jobs(1, leader, gpus=4.0, tasks=1, zone="a")
        inside = [worker for worker in scenario.busy_workers() if worker.zone == "b"]
        sessions = {worker.name: worker.session for worker in inside}
        assert len(inside) > 2, "too many to be taken for lone silent machines"
        for other in ["a", *OUTSIDE]:
            scenario.network.cuts.add(frozenset(("b", other)))
        await curio.sleep(2.0)
        assert await scenario.cancel(jobs[0], leader) == 200
        await curio.sleep(1.4 * scenario.worker_settings.lease_s)
        kept = [w for w in inside if not w.gone and w.session == sessions[w.name]]
        assert kept, "longer than a lease, and not all was lost"
        await curio.sleep(scenario.worker_settings.cancel_s - scenario.worker_settings.lease_s)
        scenario.network.cuts.clear()
        await scenario.run_users(8, 10.0)
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, site))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_bound_to_one_zone_lose_machines(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        bound: dict[str, Any] = {"same_place": True, "cards": 2.0, "frames": 4, "run_s": 25.0}
        jobs = [
            await scenario.submit(leader, **bound),
            await scenario.submit(leader, shape="gang", checkpoint_s=5.0, **bound),
            await scenario.submit(leader, zone="a", **{**bound, "same_place": False}),
        ]
        await scenario.wait_until(
            lambda: all(job in scenario.tasks.first_start_at for job in jobs), 60.0
        )
        lost = 0
        for _ in range(3):
            await curio.sleep(6.0)
            hit = [worker for worker in scenario.busy_workers() if worker.zone == "a"]
            hit = hit or scenario.busy_workers()
            for worker in hit[:1]:
                lost += len(worker.present())
                if scenario.rng.random() < 0.5:
                    scenario.cloud.take(worker)
                else:
                    worker.new_session()
        assert lost > 0
        await scenario.run_users(6, 5.0)
        await scenario.wait_for_all_users()
        for job in jobs:
            while scenario.rules.reported_stages[job] != "done":
                await scenario.poll(job, scenario.any_controller())
                await curio.sleep(1.0)
                assert scenario.clock.now - scenario.users.submitted_at[job] < 400.0

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
@pytest.mark.parametrize("seed", [1, 2])
def test_slow_state_service_refuses_the_leader_and_then_everybody(
    seed: int, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        coming = await curio.spawn(scenario.run_users, 30, 40.0, daemon=True)
        await curio.sleep(8.0)
        scenario.store.slow_s = 0.4
        await curio.sleep(8.0)
        leader = scenario.leader()
        assert leader is not None
        scenario.store.refused.add(leader)
        await curio.sleep(scenario.rng.uniform(0.5, 4.0))
        scenario.store.set_down(True)
        scenario.store.refused.clear()
        confirmed = scenario.rules.cancel_confirmed_at
        cancelled = len(confirmed)
        await curio.sleep(1.2 * scenario.worker_settings.cancel_s)
        assert len(scenario.rules.cancel_confirmed_at) == cancelled, (
            "nothing is confirmed in an outage"
        )
        scenario.store.set_down(False)
        scenario.store.slow_s = 0.0
        await coming.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, site, seed))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_old_reports_arrive_after_newer_ones(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also of earlier sessions and attempts, at the leader and at others."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        coming = await curio.spawn(scenario.run_users, 25, 25.0, daemon=True)
        old = 0
        for second in range(40):
            await curio.sleep(1.0)
            workers = list(scenario.cloud.workers.values())
            if second % 8 == 4:  # drawn, there were sometimes none
                scenario.rng.choice(workers).new_session()
            for worker in workers:
                past = [
                    rep
                    for rep in worker.past_reports[:-1]
                    if (rep["flight"], rep["tally"]) < (worker.session, worker.sequence)
                ]
                for rep in scenario.rng.sample(past, min(2, len(past))):
                    old += rep["flight"] < worker.session
                    name = scenario.rng.choice(list(scenario.controllers))
                    await scenario.network.hosts[name](worker.host, "POST", "/v1/report", rep)
        assert old > 5, "some were from earlier sessions"
        await coming.join()
        await scenario.wait_for_all_users()

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_workers_reach_no_controller_but_hear_direct_commands(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        jobs = await scenario.submit_running_jobs(3, leader, gpus=2.0)
        muted = scenario.busy_workers()[:3]
        for worker in muted:
            worker.mute_until = scenario.clock.now + 1.5 * scenario.worker_settings.lease_s
        await curio.sleep(1.0)
        for job in jobs[:2]:
            assert await scenario.cancel(job, scenario.other_controllers(leader)[0]) == 200
        await scenario.run_users(8, 1.5 * scenario.worker_settings.lease_s)
        await scenario.cancel(jobs[2], leader)
        await scenario.wait_for_all_users()

    scenario = run_scenario(act, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 3 * scenario.worker_settings.report_s


@pytest.mark.parametrize("site", ["hive", "maps"])
@pytest.mark.parametrize("hung", [0, 2])
def test_leader_cut_off_while_workers_and_users_reach_her(
    hung: int, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Jobs are cancelled through the new leader; some of their machines hang then."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        old = scenario.leader()
        assert old is not None
        jobs = await scenario.submit_running_jobs(4, old, gpus=2.0)
        busy = scenario.busy_workers()
        at = scenario.clock.now
        scenario.cut_off(old, [*scenario.controller_names, FakeKeyValueStore.HOST])
        new = await scenario.wait_for_new_leader(old)
        served = [w for w in busy if w.answered_by.get(old, 0.0) > at]
        assert served, "workers still report to the old one"
        for worker in busy[:hung]:
            worker.hanging_until = scenario.clock.now + scenario.worker_settings.cancel_s
        for job in jobs:
            assert await scenario.cancel(job, new) == 200
            status, body = await scenario.poll(job, old)
            assert status != 200 or body["stage"] == "aborted", "the old one knows nothing new"
        await curio.sleep(scenario.worker_settings.cancel_s)
        scenario.network.cuts.clear()
        await scenario.run_users(5, 5.0)
        await scenario.wait_for_all_users()

    scenario = run_scenario(act, monkeypatch, site)
    assert_no_violations(scenario)
    assert scenario.longest_removal_s() < 0.8 * scenario.worker_settings.cancel_s
    assert scenario.started_late == []


def test_odd_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Repeats of unfinished jobs, cancels of done ones, jobs that fit nothing or lack a field."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        coming = await curio.spawn(scenario.run_users, 20, 40.0, daemon=True)
        await scenario.users.send_unusual_requests(80.0)
        assert scenario.users.unusual_answers == {
            "repeat": {200},
            "odd_repeat": {200},
            "cancel_done": {200},
            "huge": {422},
            "lacking": {400},
        }
        leader = scenario.leader()
        assert leader is not None
        for path in ("/api/jobs/wk-999999", "/api/jobs/wk-999999/cancel"):
            method = "POST" if path.endswith("cancel") else "GET"
            assert (await scenario.request(leader, method, path, {}))[0] == 404
        await coming.join()
        await scenario.wait_for_all_users()

    scenario = run_scenario(act, monkeypatch)
    assert_no_violations(scenario)


def test_cancel_of_a_job_that_is_done_says_done(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        job = await scenario.submit(leader, run_s=1.0, tasks=1)
        while scenario.rules.reported_stages[job] != "done":
            await scenario.poll(job, leader)
            await curio.sleep(0.5)
        for name in scenario.controller_names:
            status, body = await scenario.request(name, "POST", f"/api/jobs/{job}/cancel", {})
            assert (status, body["stage"]) == (200, "done")

    assert_no_violations(run_scenario(act, monkeypatch))


@pytest.mark.parametrize("seed", [1, 2])
def test_leader_hears_nothing_of_the_state_service_that_hears_her(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its renewals arrived, no answer did: it decided nothing, and nobody else could lead."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        await scenario.submit_running_jobs(1, scenario.controller_names[0])
        leader = scenario.leader()
        assert leader is not None
        scenario.network.lost.add((FakeKeyValueStore.HOST, leader))
        new = await scenario.wait_for_new_leader(leader, 10 * scenario.controllers[leader].grant_s)
        await scenario.submit_running_jobs(1, new)
        scenario.network.lost.clear()
        await scenario.wait_until(lambda: scenario.controllers[leader].leading is None)
        await curio.sleep(scenario.worker_settings.lease_s)
        assert scenario.leader() == new

    assert_no_violations(run_scenario(act, monkeypatch, seed=seed))
