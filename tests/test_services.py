"""Services: replicas that run until their job is cancelled."""

from __future__ import annotations

from typing import Any

import curio
import pytest

from tests.conftest import Bench, make_spec
from tests.scenes import Scene, assert_rules, play_scene
from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import MachineState
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.wire.messages import JobSpec


def service_spec(number: int = 1, **changes: Any) -> JobSpec:
    fields: dict[str, Any] = {
        "shape": "daemon",
        "urgency": "critical",
        "tasks": 2,
        "cpus": 1.0,
        "gpus": 0.0,
        "memory_gb": 2.0,
        "same_place": False,
        "estimated_run_s": 0.0,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
    }
    return make_spec(number, **{**fields, **changes})


def run_all(bench: Bench) -> None:
    """Let everything that is planned come to run."""
    bench.plan()
    bench.all_report()
    for name, tasks in bench.tasks.items():
        if any(task.state != "ended" for task in tasks.values()):
            bench.state(name, "running")
    bench.all_report()


def running_service(bench: Bench, **changes: Any) -> Job:
    job = bench.job(service_spec(**changes))
    run_all(bench)
    assert job.running_count() == job.spec.tasks
    return job


def run_of(job: Job, index: int = 0) -> TaskAttempt:
    return job.attempts[index]


def test_replicas_go_to_different_machines_and_zones(bench: Bench) -> None:
    """One loss must not take two of them."""
    job = running_service(bench, tasks=4)
    machines = [attempt.machine for attempt in job.attempts.values()]
    assert len(set(machines)) == 4
    assert sorted(job.zones_used(bench.scheduler.zone_of).values()) == [2, 2]


@pytest.mark.parametrize("cause", ["done", "error", "stopped"])
def test_replica_that_ends_runs_again_and_the_job_is_never_done(bench: Bench, cause: str) -> None:
    job = running_service(bench)
    first = run_of(job)
    bench.now += 60.0
    bench.all_report()
    bench.state(first.machine, "ended", cause)
    bench.report(first.machine)
    assert job.waiting_count == 1 and not job.complete
    assert bench.scheduler.finished == [] and job.completed_count == 0
    run_all(bench)
    again = run_of(job, first.index)
    assert again.attempt_number > first.attempt_number and job.running_count() == 2


def test_done_marks_of_a_service_are_not_believed() -> None:
    """A record with marks, whoever wrote it, must not end a service."""
    marked = Job(make_spec(shape="batch", tasks=2), 0.0, 0.0, "")
    marked.mark_completed(0)
    marked.mark_completed(1)
    job = Job(service_spec(tasks=2), 0.0, 0.0, "")
    job.load_part(0, marked.part_text(0))
    assert job.completed_count == 0 and not job.complete


def test_replacement_waits_for_the_proof(bench: Bench) -> None:
    """A silent machine may still run its replica; a newer session shows that it is gone."""
    job = running_service(bench)
    lost = run_of(job).machine
    others = [name for name in bench.scheduler.machines if name != lost]
    for _ in range(8):
        bench.now += 1.0
        for name in others:
            bench.report(name)
        bench.scheduler.tick(bench.now)
        assert bench.plan() == []
    bench.tasks[lost].clear()
    bench.report(lost, incarnation=2)
    assert [attempt.index for attempt in bench.plan()] == [0]


def test_machine_with_replicas_is_released_once_its_lease_is_over(bench: Bench) -> None:
    """A service is down until the release proves its replica gone; other work can wait for
    the machine to come back."""
    job = running_service(bench)
    lost = run_of(job).machine
    bench.now += 1.1 * bench.scheduler.lease_s
    for name in bench.scheduler.machines:
        if name != lost:
            bench.report(name)
    bench.scheduler.tick(bench.now)
    assert bench.scheduler.machines[lost].state is MachineState.RELEASING
    bench.scheduler.remove_machine(lost, bench.now)
    assert [attempt.index for attempt in bench.plan()] == [0]


def test_machines_of_a_zone_that_is_cut_are_kept_with_their_replicas() -> None:
    """They may run on there: a controller in the zone answers its workers."""
    bench = Bench(machines=8)
    job = running_service(bench)
    zone = bench.scheduler.zone_of[run_of(job).machine]
    bench.now += 1.1 * bench.scheduler.lease_s
    for name, machine in bench.scheduler.machines.items():
        if machine.zone != zone:
            bench.report(name)
    bench.scheduler.tick(bench.now)
    states = {machine.state for machine in bench.scheduler.machines.values()}
    assert MachineState.RELEASING not in states


def test_launch_that_could_not_leave_goes_elsewhere(bench: Bench) -> None:
    """The machine fell silent before it could take its launch: nothing is there to be proven.
    The replica waited for the machine's release, well over a lease."""
    job = bench.job(service_spec(tasks=1))
    (attempt,) = bench.plan()
    assert attempt.state is AttemptState.WRITTEN
    bench.now += 3.0
    for name in bench.scheduler.machines:
        if name != attempt.machine:
            bench.report(name)
    bench.scheduler.tick(bench.now)
    (again,) = bench.plan()
    assert again.machine != attempt.machine and job.attempts[0] is again
    assert bench.report(attempt.machine) == [], "the old plan must not be carried out any more"


def test_scatter_counts_the_replicas_that_are_there(bench: Bench) -> None:
    """At most half may be in one zone, also for a replacement."""
    job = running_service(bench, tasks=2, scatter=True)
    lost = run_of(job)
    zone = bench.scheduler.zone_of[lost.machine]
    bench.state(lost.machine, "ended", "error")
    bench.report(lost.machine)
    for name, machine in bench.scheduler.machines.items():
        if machine.zone == zone:
            bench.report(name, notice_s=100.0)
    assert bench.plan() == [], "the other zone has its share"


def test_replica_leaves_a_machine_that_will_be_taken(bench: Bench) -> None:
    """At once if it has another place: the gap is the same later, and longer once it is taken."""
    job = running_service(bench)
    lost = run_of(job).machine
    bench.report(lost, notice_s=20.0)
    bench.scheduler.tick(bench.now)
    assert run_of(job).stopping
    bench.state(lost, "ended", "stopped")
    bench.report(lost, notice_s=20.0)
    (attempt,) = bench.plan()
    assert attempt.machine != lost


def test_replica_without_another_place_stays_till_the_last_moment() -> None:
    bench = Bench(machines=1)
    job = running_service(bench, tasks=1)
    lost = run_of(job).machine
    bench.report(lost, notice_s=20.0)
    bench.scheduler.tick(bench.now)
    assert not run_of(job).stopping
    bench.now += 19.0
    bench.report(lost, notice_s=1.0)
    bench.scheduler.tick(bench.now)
    assert run_of(job).stopping


def test_replica_goes_beside_a_gangs_task_and_in_nobodys_way(bench: Bench) -> None:
    """A machine takes one of ten CPUs, and a replica of six beside it; not two replicas."""
    gang = bench.job(make_spec(7, tasks=1, cpus=10.0, gpus=4.0))
    bench.reservation(gang, {"host-2": 1})
    bench.plan()
    bench.all_report()
    job = bench.job(service_spec(tasks=1, cpus=6.0))
    (attempt,) = bench.plan()
    assert attempt.machine == "host-2", "the empty machines could be given back"
    hindrances = {
        name: bench.scheduler._hindrance(machine, job.need)
        for name, machine in bench.scheduler.machines.items()
    }
    assert hindrances == {"host-0": 0.0, "host-1": 0.0, "host-2": 1.0, "host-3": 0.0}


def test_room_is_made_for_a_replica_at_once() -> None:
    bench = Bench(machines=1)
    filler = bench.job(make_spec(5, shape="batch", tasks=4, gpus=1.0, urgency="best_effort"))
    run_all(bench)
    job = bench.job(service_spec(tasks=1))
    assert bench.plan() == []
    assert [attempt.stopping for attempt in filler.attempts.values()].count(True) == 1
    assert job.waiting_count == 1


def test_service_that_borrows_nothing_is_not_stopped_for_a_guarantee() -> None:
    """Its team's other work is beyond the guarantee of GPUs; the replicas take none."""
    bench = Bench(machines=1)
    job = running_service(bench, tasks=1, cpus=16.0)
    bench.job(make_spec(5, shape="batch", tasks=5, team="red", gpus=2.0))
    bench.job(make_spec(6, shape="batch", tasks=1, team="blue", gpus=1.0))
    for _ in range(6):
        bench.now += 1.0
        bench.all_report()
        bench.plan()
        bench.scheduler.tick(bench.now)
    assert job.within_guarantee and not run_of(job).stopping


def test_replica_that_fails_everywhere_waits_longer_each_time_but_not_for_ever() -> None:
    bench = Bench(machines=6)
    job = bench.job(service_spec(tasks=1))
    pauses = []
    for _ in range(12):
        while not bench.plan():
            bench.now += 0.5
            bench.all_report()
        attempt = run_of(job)
        bench.all_report()
        bench.state(attempt.machine, "ended", "error")
        bench.report(attempt.machine)
        pauses.append(max(0.0, job.not_before - bench.now))
        assert attempt.state is AttemptState.GONE
    assert pauses[0] == 0.0 and max(pauses) > 0.0
    assert max(pauses) <= 2**5 * bench.scheduler.lease_s
    healthy = [m for m in bench.scheduler.machines.values() if m.state is MachineState.READY]
    assert len(healthy) >= 4, "the job must not take the machines with it"


def test_failures_of_one_replica_are_held_against_the_machine(bench: Bench) -> None:
    """The others run: it is the machine that fails what it starts."""
    job = running_service(bench, tasks=2)
    lost = run_of(job)
    bench.state(lost.machine, "ended", "error")
    bench.report(lost.machine)
    assert bench.scheduler.machines[lost.machine].error_jobs == {job.id}
    (again,) = bench.plan()
    assert again.machine != lost.machine


def test_machines_are_rented_for_a_service() -> None:
    bench = Bench(machines=0)
    bench.job(service_spec(tasks=2, scatter=True))
    requests = bench.scheduler.scale_out(bench.now)
    assert {ask.zone for ask in requests} == {"a", "b"}


def test_no_replacement_after_a_cancellation(bench: Bench) -> None:
    """A replica ends at the very moment at which its job is cancelled."""
    job = running_service(bench)
    lost = run_of(job)
    bench.state(lost.machine, "ended", "error")
    bench.scheduler.on_job_ended(job.id, False, bench.now, bench.now)
    bench.report(lost.machine)
    assert bench.plan() == [] and job.state is JobState.ABORTED
    assert all(attempt.stopping for attempt in job.attempts.values())


# -- with the controllers around it ------------------------------------------------


SERVICE = {
    "shape": "daemon",
    "urgency": "critical",
    "cards": 0.0,
    "forage_s": 0.0,
    "cap_s": 0.0,
    "seal_s": 0.0,
    "run_s": 5000.0,
}


def running_replicas(scene: Scene, job: str) -> int:
    return sum(
        task.state == "running"
        for worker in scene.cloud.workers.values()
        for task in worker.tasks.values()
        if task.job == job
    )


def test_replacement_and_cancellation_meet_a_change_of_leader(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A replica ends, the leader with it, and the job is cancelled before the next one acts."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        via = scene.others(leader)[0]
        kept = (await scene.jobs_running(1, via, **SERVICE))[0]
        gone = (await scene.jobs_running(1, via, **SERVICE))[0]
        for worker in scene.cloud.workers.values():
            for task in list(worker.tasks.values()):
                if task.index == 0 and task.state == "running":
                    worker._end(task, "error")
        await scene.end(leader)
        assert await scene.cancel(gone, via) == 200
        await scene.new_leader(leader)
        await scene.until(lambda: running_replicas(scene, kept) == 3)
        await scene.until(lambda: gone not in scene.present_jobs())
        # An answer may lag by 3 s (PROTOCOL); asked at that very moment, it had to be luck.
        asked_at = scene.clock.now
        status, body = await scene.poll(kept, via)
        while (status, body["stage"]) != (200, "running"):
            assert scene.clock.now - asked_at < 3.0, (status, body)
            await curio.sleep(0.1)
            status, body = await scene.poll(kept, via)
        assert scene.started_late == [] and scene.launched_late == []

    assert_rules(play_scene(act, monkeypatch))


def test_replicas_outlast_an_outage_of_the_state_service(monkeypatch: pytest.MonkeyPatch) -> None:
    """Workers are still answered, for longer than their lease; no replica is started twice."""

    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        job = (await scene.jobs_running(1, leader, **SERVICE))[0]
        starts = scene.starts
        scene.state.set_down(True)
        for _ in range(int(2 * scene.workers.lease_s)):
            await curio.sleep(1.0)
            assert running_replicas(scene, job) == 3
        scene.state.set_down(False)
        await curio.sleep(5.0)
        assert running_replicas(scene, job) == 3 and scene.starts == starts

    assert_rules(play_scene(act, monkeypatch))


def test_many_services_cancelled_at_once_as_a_machine_dies(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scene: Scene) -> None:
        await scene.begin()
        leader = scene.leader()
        assert leader is not None
        jobs = await scene.jobs_running(6, leader, **SERVICE)
        scene.busy_workers()[0].die()
        for job in jobs:
            assert await scene.cancel(job, leader) == 200
        await scene.until(lambda: not scene.present_jobs() & set(jobs), 60.0)
        assert scene.started_late == []

    assert_rules(play_scene(act, monkeypatch))
