"""Gangs start, stop and end together, on room that is reserved for them."""

from __future__ import annotations

import math

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.jobs import GangState, Job, Run, RunState
from topazhold.core.search import PRESSING


def running_gang(harness: SchedulerHarness, number: int = 1, **changes: object) -> Job:
    job = harness.add_job(make_spec(number, **changes))
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
    for name in ("host-0", "host-2"):
        harness.set_task_states(name, "running")
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.RUNNING
    return job


def test_gang_that_lost_a_task_is_stopped_and_waits_again(
    harness: SchedulerHarness,
) -> None:
    job = running_gang(harness)
    harness.tasks["host-0"].clear()  # a new session: its tasks are gone
    harness.heartbeat("host-0", session=2)
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.STOPPING
    commands = harness.heartbeat("host-2")
    assert [command.kind for command in commands] == ["kill"]
    harness.set_task_states("host-2", "ended", "stopped", kept=True)
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.WAITING
    assert job.runs == {}


def test_every_task_of_a_stopped_gang_gets_time_to_save(harness: SchedulerHarness) -> None:
    job = running_gang(harness)
    harness.scheduler.stop_for_room(job.runs[0], "test", harness.now)
    assert {run.stop_grace >= job.spec.save_s for run in job.runs.values()} == {True}
    assert harness.scheduler.to_command >= {"host-0", "host-2"}
    assert all(harness.scheduler.kills(harness.scheduler.machines[n]) for n in ("host-0", "host-2"))


def test_gang_that_does_not_run_soon_after_its_images_is_stopped(
    harness: SchedulerHarness,
) -> None:
    job = harness.add_job(make_spec())
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
    for name in ("host-0", "host-2"):
        harness.set_task_states(name, "gathering")
    harness.all_heartbeats()
    harness.now += 1.6 * harness.scheduler.report_s
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.STOPPING


def test_gang_is_done_when_one_of_its_tasks_is(harness: SchedulerHarness) -> None:
    job = running_gang(harness)
    harness.set_task_states("host-0", "ended", "done")
    harness.heartbeat("host-0")
    assert job.complete
    assert harness.scheduler.finished == [job]


def test_lower_work_keeps_off_a_gangs_reservation_that_is_free_within_seconds() -> None:
    """The gang's other machine is a moment behind; an array would be stopped before its
    image is there."""
    harness = SchedulerHarness(machines=0)
    for name in ("host-0", "host-1"):
        harness.heartbeat(name)
    other = harness.add_job(make_spec(9, tasks=1, shape="batch", gpus=4.0, estimated_run_s=3.0))
    run = Run(other, 0, 1, "host-1", harness.now)
    run.state, run.running_since = RunState.RUNNING, harness.now
    harness.scheduler._attach(run)
    gang = harness.add_job(make_spec(1, tasks=2, gpus=4.0))
    harness.reserve(gang, {"host-0": 1, "host-1": 1})
    array = harness.add_job(make_spec(2, shape="batch", tasks=1, gpus=1.0, urgency="best_effort"))
    assert harness.plan_and_commit() == []
    other.spec.estimated_run_s = 300.0
    harness.now += harness.scheduler.report_s
    assert [run.job for run in harness.plan_and_commit()] == [array]


def test_gang_is_not_offered_the_room_of_a_service() -> None:
    """A service's tasks, of 0 s by the estimate, don't end by themselves."""
    harness = SchedulerHarness(machines=0)
    for name in ("host-0", "host-1"):
        harness.heartbeat(name)
    service = harness.add_job(
        make_spec(9, tasks=1, shape="daemon", gpus=4.0, estimated_run_s=0.0, checkpoint_s=0.0)
    )
    (run,) = harness.plan_and_commit()
    for state in ("pulling", "running"):
        harness.all_heartbeats()
        harness.set_task_states(run.machine, state)
    harness.all_heartbeats()
    offers = {offer.name: offer for offer in harness.scheduler.offers("a", harness.now)}
    gang = make_spec(1, tasks=1, gpus=4.0)
    need = (gang.cpus, gang.gpus, gang.memory_gb)
    assert offers[run.machine].ready_for((1, service.level), need) == math.inf
    (other,) = offers.keys() - {run.machine}
    assert offers[other].ready_for((1, service.level), need) < harness.scheduler.report_s


def test_aged_gang_does_not_count_on_a_guarantee_that_it_lacks() -> None:
    """Else it reserves without end a machine that only a guarantee could free."""
    harness = SchedulerHarness(machines=2)
    for number in (1, 2):
        harness.add_job(make_spec(number, shape="batch", tasks=1, gpus=4.0, team="blue"))
    harness.plan_and_commit()
    harness.all_heartbeats()
    for name in ("host-0", "host-1"):
        harness.set_task_states(name, "running")
    harness.all_heartbeats()
    need = make_spec(3, tasks=1, gpus=4.0, urgency="best_effort")
    room = (need.cpus, need.gpus, need.memory_gb)
    borrowed = [
        run
        for job in harness.scheduler.jobs.values()
        if not job.within
        for run in job.runs.values()
    ]
    assert len(borrowed) == 1, "the second job of blue is beyond its guarantee"
    (offer,) = (
        offer
        for zone in "ab"
        for offer in harness.scheduler.offers(zone, harness.now)
        if offer.name == borrowed[0].machine
    )
    by_guarantee, pressing = (0, 3), (PRESSING, 3)
    soon_s = 3 * harness.scheduler.report_s
    assert offer.ready_for(by_guarantee, room) < soon_s
    assert offer.ready_for(pressing, room) > soon_s
    more_urgent = (PRESSING, 1)
    assert offer.ready_for(more_urgent, room) < soon_s, "by its urgency it may stop that work"
