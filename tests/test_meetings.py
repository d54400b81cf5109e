"""Troubles that meet; docs/meetings.md lists them. Each test brings its meeting about,
asserts that it did, and lets the checker judge the rules."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from tests.scenes import Scene, assert_rules, play_scene
from tests.standins import CloudService, StateService

OUTSIDE = [StateService.HOST, CloudService.HOST, "user"]


def limits(scene: Scene, gpus: float) -> None:
    for settings in scene.node_settings.values():
        for team in settings.cluster.teams:
            team.gpus_max = gpus


@pytest.mark.parametrize("seed", [1, 2])
def test_more_work_than_room_over_slow_links(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scene: Scene) -> None:
        scene.cloud.capacity = 4
        scene.net.delay_s = 0.4
        await scene.begin(machines=4)
        await scene.users_come(30, 15.0)
        waiting = [scene.specs[job] for job in scene.told if job not in scene.began_at]
        asked = sum(spec["frames"] * spec["cards"] for spec in waiting)
        assert asked > 16.0, "more than all machines have"
        assert len({spec["urgency"] for spec in waiting}) > 1, "urgent and not"
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch, seed=seed))


def test_report_held_back_until_a_new_leader_has_acted(monkeypatch: pytest.MonkeyPatch) -> None:
    """It shows a task that the new leader has placed elsewhere since."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        old = scene.leader()
        assert old is not None
        (job,) = await scene.jobs_running(1, old, tasks=2, gpus=4.0)
        first = scene.busy_workers()[0]
        held = first.past_reports[-1]
        assert any(task_name["frame"].startswith(job) for task_name in held["frames"])
        await scene.end(old)
        first.begin_incarnation()
        first.mute_until = scene.clock.now + 60.0
        first.node = 0
        new = await scene.new_leader(old)
        # The worker's next session proves its task gone; a direct answer tells of it.
        lost = {task_name["frame"] for task_name in held["frames"]}

        def placed_again() -> bool:
            return any(
                task.task_name in lost
                for worker in scene.busy_workers()
                if worker is not first
                for task in worker.present()
            )

        await scene.until(placed_again, 60.0)
        status, answer = await scene.request(new, "POST", "/v1/report", held)
        assert scene.nodes[new].leader_term.term > held["crown"], "from before her time"
        launches = [
            command for command in (answer or {}).get("calls", []) if command["call"] == "launch"
        ]
        assert status in (200, 421) and launches == []
        await curio.sleep(30.0)

    assert_rules(play_scene(act, monkeypatch))


def test_first_word_of_a_machine_is_an_old_report(monkeypatch: pytest.MonkeyPatch) -> None:
    """The new leader hears nothing else of it, so the report must prove nothing."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        old = scene.leader()
        assert old is not None
        (job,) = await scene.jobs_running(1, old, tasks=2, gpus=4.0)
        first = scene.busy_workers()[0]
        held = first.past_reports[0]
        assert held["frames"] == [], "it shows the machine empty"
        first.mute_until = first.command_unreachable_until = (
            scene.clock.now + 0.6 * scene.workers.lease_s
        )
        await scene.end(old)
        new = await scene.new_leader(old)
        held = {**held, "tally": 10_000}  # the newest that it hears, and yet from before it
        await scene.request(new, "POST", "/v1/report", held)
        run = [
            run
            for run in scene.nodes[new].leader_term.scheduler.jobs[job].attempts.values()
            if run.machine == first.name
        ]
        assert len(run) == 1 and run[0].present, "it still counts as possibly running"
        await curio.sleep(20.0)

    assert_rules(play_scene(act, monkeypatch))


def test_hand_over_and_back_all_end_and_one_returns(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        coming = await curio.spawn(scene.users_come, 25, 20.0, daemon=True)
        await curio.sleep(8.0)
        one = scene.leader()
        assert one is not None
        await scene.end(one)
        await scene.back(one, 0.3)
        two = await scene.new_leader(None)
        await scene.end(two)
        await scene.back(two, 0.05)
        three = await scene.new_leader(None)
        term = scene.nodes[three].leader_term.term
        for name in list(scene.nodes):
            await scene.end(name)
        await scene.back(three, 0.4)
        again = await scene.new_leader(None)
        assert again == three and scene.nodes[again].leader_term.term > term
        for name in scene.names:
            await scene.back(name, 0.5)
        await coming.join()
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_team_at_its_limit_when_the_leader_changes(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Some of its machines can't be asked, and a job of it is cancelled in that spell."""

    async def act(scene: Scene) -> None:
        limits(scene, 12.0)
        await scene.begin()
        old = scene.leader()
        assert old is not None
        jobs = await scene.jobs_running(4, old, team="red", gpus=1.0, checkpoint_s=0.0)
        waiting = [await scene.submit(old, team="red", run_s=10.0) for _ in range(3)]
        cut = scene.busy_workers()[:2]
        for worker in cut:
            scene.cut_off(worker.host, scene.names)
        await scene.end(old)
        new = await scene.new_leader(old)
        used = sum(task.spec["cards"] for w in scene.busy_workers() for task in w.present())
        assert used == 12.0 and any(worker.present() for worker in cut), "at its limit"
        for job in jobs[:2]:
            assert await scene.cancel(job, new) == 200
        await curio.sleep(0.5 * scene.workers.lease_s)
        scene.net.cuts.clear()
        await scene.back(old)
        await scene.until(lambda: all(job in scene.began_at for job in waiting), 150.0)

    scene = play_scene(act, monkeypatch, seed=seed)
    assert_rules(scene)


@pytest.mark.parametrize("seed", [1, 2])
def test_tasks_end_far_apart_across_changes_of_leader(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        jobs = []
        for number in range(3):
            scene.numbers += 1
            tasks = 2 + number % 2
            name = f"wk-{scene.numbers + 1:06d}"
            for index in range(tasks):
                scene.task_s[(name, index)] = 4.0 + 22.0 * index
            jobs.append(await scene.submit(leader, run_s=1.0, tasks=tasks, gpus=2.0))
            assert jobs[-1] == name
        terms = set()
        for _ in range(3):
            done = len(scene.results)
            await scene.until(lambda done=done: len(scene.results) > done, 80.0)  # type: ignore[misc]
            ended = scene.leader()
            assert ended is not None
            terms.add(scene.nodes[ended].leader_term.term)
            await scene.end(ended)
            await scene.back(ended, 1.0)
            await scene.new_leader(None)
        assert len(terms) == 3
        for job in jobs:
            while scene.told[job] != "done":
                await scene.poll(job, scene.rng.choice(list(scene.nodes)))
                await curio.sleep(1.0)
                assert scene.clock.now - scene.submitted_at[job] < 200.0

    assert_rules(play_scene(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("seed", [1, 2])
def test_ten_leaders_in_two_minutes(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also inside an outage of the state service."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        coming = await curio.spawn(scene.users_come, 40, 90.0, daemon=True)
        began = scene.clock.now
        terms = set()
        for number in range(11):
            leader = await scene.new_leader(None)
            terms.add(scene.nodes[leader].leader_term.term)
            await curio.sleep(scene.rng.uniform(0.5, 6.0))
            if number in (3, 7):
                scene.state.set_down(True)
            if leader in scene.nodes:
                await scene.end(leader)
            await scene.back(leader, scene.rng.choice([0.05, 0.5, 3.0]))
            if scene.state.down:
                await curio.sleep(6.0)
                scene.state.set_down(False)
        assert len(terms) >= 10 and scene.clock.now - began < 120.0
        await coming.join()
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch, seed=seed))


def test_command_held_up_while_its_machine_hangs(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        jobs = await scene.jobs_running(3, leader, gpus=2.0)
        hung = scene.busy_workers()[:3]
        for worker in hung:
            worker.hanging_until = scene.clock.now + 0.6 * scene.workers.lease_s
        for job in jobs:
            assert await scene.cancel(job, leader) == 200
        await scene.users_come(10, 5.0)
        await curio.sleep(scene.workers.lease_s)
        assert any(worker.late_commands for worker in hung), "carried out when it went on"
        await scene.all_over()

    scene = play_scene(act, monkeypatch)
    assert_rules(scene)
    assert scene.took_s() < 0.6 * scene.workers.cancel_s


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_transactions_carried_out_after_newer_ones(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        scene.net.late_writes = 0.25
        coming = await curio.spawn(scene.users_come, 30, 40.0, daemon=True)
        await curio.sleep(15.0)
        leader = scene.leader()
        if leader is not None:
            await scene.end(leader)
            await scene.back(leader, 0.5)
        await coming.join()
        scene.net.late_writes = 0.0
        assert scene.net.overtaken > 20, "newer ones came before"
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_all_controllers_away_for_longer_than_a_lease(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        coming = await curio.spawn(scene.users_come, 20, 20.0, daemon=True)
        await curio.sleep(15.0)
        sessions = {w.name: w.incarnation for w in scene.cloud.workers.values() if w.up}
        assert scene.busy_workers()
        for name in list(scene.nodes):
            await scene.end(name)
        await curio.sleep(1.3 * scene.workers.lease_s)
        assert all(
            worker.incarnation > sessions[worker.name]
            for worker in scene.cloud.workers.values()
            if worker.name in sessions
        ), "every lease has ended"
        for name in scene.names:
            await scene.back(name)
        await coming.join()
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch, site))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_leader_ends_while_machines_are_out_of_reach(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """One can't be reached, one does not hear the new leader's answers; long tasks on both."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        old = scene.leader()
        assert old is not None
        await scene.jobs_running(3, old, run_s=60.0, gpus=2.0)
        cut, unhearing = scene.busy_workers()[:2]
        scene.net.holding = True
        scene.cut_off(cut.host, scene.names)
        unhearing.command_unreachable_until = scene.clock.now + 2.5 * scene.workers.lease_s
        await scene.end(old)
        new = await scene.new_leader(old)
        await curio.sleep(1.0)
        assert cut.present() and unhearing.term < scene.nodes[new].leader_term.term
        await scene.users_come(10, 1.2 * scene.workers.lease_s)
        scene.net.cuts.clear()
        await scene.back(old)
        await curio.sleep(2 * scene.workers.lease_s)
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_meet_the_end_of_a_jobs_last_task(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cancellation, a question and a repeat at the same moment, at different controllers."""
    outcomes: list[str] = []

    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        for _ in range(10):
            job = await scene.submit(leader, run_s=2.0, tasks=2, gpus=1.0, image_gb=0.1)
            tasks = {(job, 0), (job, 1)}
            await scene.until(lambda tasks=tasks: tasks <= scene.results, 60.0)  # type: ignore[misc]
            # The worker reports at once; a moment later the job is moved.
            await curio.sleep(scene.rng.uniform(0.0, 1.2))
            meet = [
                await curio.spawn(scene.cancel, job, scene.rng.choice(scene.names)),
                await curio.spawn(scene.poll, job, scene.rng.choice(scene.names)),
                await curio.spawn(
                    scene.request,
                    scene.rng.choice(scene.names),
                    "POST",
                    "/api/jobs",
                    scene.specs[job],
                ),
            ]
            for task in meet:
                await task.join()
            status, body = await scene.poll(job, scene.rng.choice(scene.names))
            assert status == 200
            outcomes.append(body["stage"])
            status, body = await scene.request(leader, "POST", "/api/jobs", scene.specs[job])
            scene.hear(job, status, body, True)
            assert (status, body["stage"]) == (200, outcomes[-1])
            await curio.sleep(2.0)

    assert_rules(play_scene(act, monkeypatch, seed=seed))
    assert set(outcomes) <= {"done", "aborted"} and "done" in outcomes


def test_both_outcomes_of_a_cancellation_at_the_end(monkeypatch: pytest.MonkeyPatch) -> None:
    """Whoever writes first wins, and stays."""
    outcomes = set()
    for seed in range(4):

        async def act(scene: Scene) -> None:
            await scene.begin()
            scene.cancel_at_end = 1.0
            await scene.users_come(25, 10.0)
            await scene.all_over()
            assert scene.cancelled_at_end > 10
            outcomes.update(scene.told.values())

        assert_rules(play_scene(act, monkeypatch, seed=seed))
    assert outcomes == {"done", "aborted"}


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_zone_with_a_controller_cut_off_for_longer_than_a_lease(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its controller keeps its busy workers; jobs cancelled meanwhile are ended all the same."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        if leader == "hive-1":  # the only controller of zone b
            await scene.end(leader)
            await scene.back(leader, 0.5)
            leader = await scene.new_leader(leader)
        assert leader is not None
        await curio.sleep(3 * scene.workers.heartbeat_interval_s)
        jobs = await scene.jobs_running(2, leader, gpus=4.0, tasks=2, zone="b")
        await scene.jobs_running(1, leader, gpus=4.0, tasks=1, zone="a")
        inside = [worker for worker in scene.busy_workers() if worker.zone == "b"]
        sessions = {worker.name: worker.incarnation for worker in inside}
        assert len(inside) > 2, "too many to be taken for lone silent machines"
        for other in ["a", *OUTSIDE]:
            scene.net.cuts.add(frozenset(("b", other)))
        await curio.sleep(2.0)
        assert await scene.cancel(jobs[0], leader) == 200
        await curio.sleep(1.4 * scene.workers.lease_s)
        kept = [w for w in inside if not w.gone and w.incarnation == sessions[w.name]]
        assert kept, "longer than a lease, and not all was lost"
        await curio.sleep(scene.workers.cancel_s - scene.workers.lease_s)
        scene.net.cuts.clear()
        await scene.users_come(8, 10.0)
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch, site))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_bound_to_one_zone_lose_machines(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        bound: dict[str, Any] = {"same_place": True, "cards": 2.0, "frames": 4, "run_s": 25.0}
        jobs = [
            await scene.submit(leader, **bound),
            await scene.submit(leader, shape="gang", checkpoint_s=5.0, **bound),
            await scene.submit(leader, zone="a", **{**bound, "same_place": False}),
        ]
        await scene.until(lambda: all(job in scene.began_at for job in jobs), 60.0)
        lost = 0
        for _ in range(3):
            await curio.sleep(6.0)
            hit = [worker for worker in scene.busy_workers() if worker.zone == "a"]
            hit = hit or scene.busy_workers()
            for worker in hit[:1]:
                lost += len(worker.present())
                if scene.rng.random() < 0.5:
                    scene.cloud.take(worker)
                else:
                    worker.begin_incarnation()
        assert lost > 0
        await scene.users_come(6, 5.0)
        await scene.all_over()
        for job in jobs:
            while scene.told[job] != "done":
                await scene.poll(job, scene.rng.choice(scene.names))
                await curio.sleep(1.0)
                assert scene.clock.now - scene.submitted_at[job] < 400.0

    assert_rules(play_scene(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
@pytest.mark.parametrize("seed", [1, 2])
def test_slow_state_service_refuses_the_leader_and_then_everybody(
    seed: int, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        coming = await curio.spawn(scene.users_come, 30, 40.0, daemon=True)
        await curio.sleep(8.0)
        scene.state.slow_s = 0.4
        await curio.sleep(8.0)
        leader = scene.leader()
        assert leader is not None
        scene.state.refused.add(leader)
        await curio.sleep(scene.rng.uniform(0.5, 4.0))
        scene.state.set_down(True)
        scene.state.refused.clear()
        cancelled = len(scene.cancelled_at)
        await curio.sleep(1.2 * scene.workers.cancel_s)
        assert len(scene.cancelled_at) == cancelled, "nothing is confirmed in an outage"
        scene.state.set_down(False)
        scene.state.slow_s = 0.0
        await coming.join()
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch, site, seed))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_old_reports_arrive_after_newer_ones(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """Also of earlier sessions and attempts, at the leader and at others."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        coming = await curio.spawn(scene.users_come, 25, 25.0, daemon=True)
        old = 0
        for second in range(40):
            await curio.sleep(1.0)
            workers = list(scene.cloud.workers.values())
            if second % 8 == 4:  # drawn, there were sometimes none
                scene.rng.choice(workers).begin_incarnation()
            for worker in workers:
                past = [
                    heartbeat
                    for heartbeat in worker.past_reports[:-1]
                    if (heartbeat["flight"], heartbeat["tally"])
                    < (worker.incarnation, worker.sequence)
                ]
                for heartbeat in scene.rng.sample(past, min(2, len(past))):
                    old += heartbeat["flight"] < worker.incarnation
                    name = scene.rng.choice(list(scene.nodes))
                    await scene.net.hosts[name](worker.host, "POST", "/v1/report", heartbeat)
        assert old > 5, "some were from earlier sessions"
        await coming.join()
        await scene.all_over()

    assert_rules(play_scene(act, monkeypatch, seed=seed))


@pytest.mark.parametrize("site", ["hive", "maps"])
def test_workers_reach_no_controller_but_hear_direct_commands(
    site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        jobs = await scene.jobs_running(3, leader, gpus=2.0)
        muted = scene.busy_workers()[:3]
        for worker in muted:
            worker.mute_until = scene.clock.now + 1.5 * scene.workers.lease_s
        await curio.sleep(1.0)
        for job in jobs[:2]:
            assert await scene.cancel(job, scene.others(leader)[0]) == 200
        await scene.users_come(8, 1.5 * scene.workers.lease_s)
        await scene.cancel(jobs[2], leader)
        await scene.all_over()

    scene = play_scene(act, monkeypatch, site)
    assert_rules(scene)
    assert scene.took_s() < 3 * scene.workers.heartbeat_interval_s


@pytest.mark.parametrize("site", ["hive", "maps"])
@pytest.mark.parametrize("hung", [0, 2])
def test_leader_cut_off_while_workers_and_users_reach_her(
    hung: int, site: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Jobs are cancelled through the new leader; some of their machines hang then."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        old = scene.leader()
        assert old is not None
        jobs = await scene.jobs_running(4, old, gpus=2.0)
        busy = scene.busy_workers()
        at = scene.clock.now
        scene.cut_off(old, [*scene.names, StateService.HOST])
        new = await scene.new_leader(old)
        served = [w for w in busy if w.answered_by.get(old, 0.0) > at]
        assert served, "workers still report to the old one"
        for worker in busy[:hung]:
            worker.hanging_until = scene.clock.now + scene.workers.cancel_s
        for job in jobs:
            assert await scene.cancel(job, new) == 200
            status, body = await scene.poll(job, old)
            assert status != 200 or body["stage"] == "aborted", "the old one knows nothing new"
        await curio.sleep(scene.workers.cancel_s)
        scene.net.cuts.clear()
        await scene.users_come(5, 5.0)
        await scene.all_over()

    scene = play_scene(act, monkeypatch, site)
    assert_rules(scene)
    assert scene.took_s() < 0.8 * scene.workers.cancel_s
    assert scene.started_late == []


def test_odd_requests(monkeypatch: pytest.MonkeyPatch) -> None:
    """Repeats of unfinished jobs, cancels of done ones, jobs that fit nothing or lack a field."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        coming = await curio.spawn(scene.users_come, 20, 40.0, daemon=True)
        await scene.odd_requests(80.0)
        assert scene.odd_answers == {
            "repeat": {200},
            "odd_repeat": {200},
            "cancel_done": {200},
            "huge": {422},
            "lacking": {400},
        }
        leader = scene.leader()
        assert leader is not None
        for path in ("/api/jobs/wk-999999", "/api/jobs/wk-999999/cancel"):
            method = "POST" if path.endswith("cancel") else "GET"
            assert (await scene.request(leader, method, path, {}))[0] == 404
        await coming.join()
        await scene.all_over()

    scene = play_scene(act, monkeypatch)
    assert_rules(scene)


def test_cancel_of_a_job_that_is_done_says_done(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        job = await scene.submit(leader, run_s=1.0, tasks=1)
        while scene.told[job] != "done":
            await scene.poll(job, leader)
            await curio.sleep(0.5)
        for name in scene.names:
            status, body = await scene.request(name, "POST", f"/api/jobs/{job}/cancel", {})
            assert (status, body["stage"]) == (200, "done")

    assert_rules(play_scene(act, monkeypatch))


@pytest.mark.parametrize("seed", [1, 2])
def test_leader_hears_nothing_of_the_state_service_that_hears_her(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its renewals arrived, no answer did: it decided nothing, and nobody else could lead."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        await scene.jobs_running(1, scene.names[0])
        leader = scene.leader()
        assert leader is not None
        scene.net.lost.add((StateService.HOST, leader))
        new = await scene.new_leader(leader, 10 * scene.nodes[leader].services.controller_lease_s)
        await scene.jobs_running(1, new)
        scene.net.lost.clear()
        await scene.until(lambda: scene.nodes[leader].leader_term is None)
        await curio.sleep(scene.workers.lease_s)
        assert scene.leader() == new

    assert_rules(play_scene(act, monkeypatch, seed=seed))
