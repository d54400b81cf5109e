"""Gangs start, stop and end as a unit, on capacity that is reserved for them."""

from __future__ import annotations

import math

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.jobs import GangState, Job
from topazhold.core.resource_offer import AGED
from topazhold.core.task_attempts import AttemptState, TaskAttempt


def running_gang(harness: SchedulerHarness, number: int = 1, **changes: object) -> Job:
    """Add a gang and bring its two tasks to run on host-0 and host-2."""
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
    harness.tasks["host-0"].clear()  # a new incarnation has none of the old tasks
    harness.heartbeat("host-0", incarnation=2)
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.STOPPING
    commands = harness.heartbeat("host-2")
    assert [command.kind for command in commands] == ["kill"]
    harness.set_task_states("host-2", "ended", "stopped", kept=True)
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.WAITING
    assert job.attempts == {}


def test_every_task_of_a_stopped_gang_gets_time_to_save(harness: SchedulerHarness) -> None:
    job = running_gang(harness)
    harness.scheduler.preempt(job.attempts[0], "test", harness.now)
    graces = [attempt.stop_grace_s for attempt in job.attempts.values()]
    assert graces
    assert all(grace is not None and grace >= job.spec.save_s for grace in graces)
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
    harness.now += 1.6 * harness.scheduler.heartbeat_interval_s
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.STOPPING


def test_gang_is_done_when_one_of_its_tasks_is_done(harness: SchedulerHarness) -> None:
    job = running_gang(harness)
    harness.set_task_states("host-0", "ended", "done")
    harness.heartbeat("host-0")
    assert job.is_complete
    assert harness.scheduler.finished == [job]


def test_array_is_not_placed_on_a_reservation_whose_gang_starts_within_seconds() -> None:
    """Guards against placing an array that would be preempted before its image is pulled.

    The gang waits only for its other machine, which is free within seconds.
    """
    harness = SchedulerHarness(machines=0)
    for name in ("host-0", "host-1"):
        harness.heartbeat(name)
    other = harness.add_job(make_spec(9, tasks=1, shape="batch", gpus=4.0, estimated_run_s=3.0))
    attempt = TaskAttempt(other, 0, 1, "host-1", harness.now)
    attempt.state, attempt.running_since = AttemptState.RUNNING, harness.now
    harness.scheduler.cluster.attach(attempt)
    gang = harness.add_job(make_spec(1, tasks=2, gpus=4.0))
    harness.reserve(gang, {"host-0": 1, "host-1": 1})
    array = harness.add_job(make_spec(2, shape="batch", tasks=1, gpus=1.0, urgency="best_effort"))
    assert harness.plan_and_commit() == []
    other.spec.estimated_run_s = 300.0
    harness.now += harness.scheduler.heartbeat_interval_s
    assert [attempt.job for attempt in harness.plan_and_commit()] == [array]


def test_gang_is_not_offered_the_capacity_of_a_service() -> None:
    """Guards against taking a service's estimated run time of 0 s for an end within 0 s."""
    harness = SchedulerHarness(machines=0)
    for name in ("host-0", "host-1"):
        harness.heartbeat(name)
    service = harness.add_job(
        make_spec(9, tasks=1, shape="daemon", gpus=4.0, estimated_run_s=0.0, checkpoint_s=0.0)
    )
    (attempt,) = harness.plan_and_commit()
    for state in ("pulling", "running"):
        harness.all_heartbeats()
        harness.set_task_states(attempt.machine, state)
    harness.all_heartbeats()
    offers = {offer.name: offer for offer in harness.scheduler.offers("a", harness.now)}
    gang = make_spec(1, tasks=1, gpus=4.0)
    need = (gang.cpus, gang.gpus, gang.memory_gb)
    assert offers[attempt.machine].wait_s_for((1, service.urgency_level), need) == math.inf
    (other,) = offers.keys() - {attempt.machine}
    assert (
        offers[other].wait_s_for((1, service.urgency_level), need)
        < harness.scheduler.heartbeat_interval_s
    )


def test_aged_gang_is_not_offered_capacity_that_only_a_guarantee_can_preempt() -> None:
    """Guards against a gang that reserves for ever a machine that only a guarantee could free.

    An aged gang preempts by urgency alone.
    """
    harness = SchedulerHarness(machines=2)
    for number in (1, 2):
        harness.add_job(make_spec(number, shape="batch", tasks=1, gpus=4.0, team="blue"))
    harness.plan_and_commit()
    harness.all_heartbeats()
    for name in ("host-0", "host-1"):
        harness.set_task_states(name, "running")
    harness.all_heartbeats()
    gang_spec = make_spec(3, tasks=1, gpus=4.0, urgency="best_effort")
    need = (gang_spec.cpus, gang_spec.gpus, gang_spec.memory_gb)
    borrowing_attempts = [
        attempt
        for job in harness.scheduler.jobs.values()
        if not job.within_guarantee
        for attempt in job.attempts.values()
    ]
    assert len(borrowing_attempts) == 1, "the second job of blue is beyond its guarantee"
    (offer,) = (
        offer
        for zone in "ab"
        for offer in harness.scheduler.offers(zone, harness.now)
        if offer.name == borrowing_attempts[0].machine
    )
    within_guarantee, aged = (0, 3), (AGED, 3)
    soon_limit_s = 3 * harness.scheduler.heartbeat_interval_s
    assert offer.wait_s_for(within_guarantee, need) < soon_limit_s
    assert offer.wait_s_for(aged, need) > soon_limit_s
    aged_and_urgent = (AGED, 1)
    assert offer.wait_s_for(aged_and_urgent, need) < soon_limit_s, (
        "its urgency alone lets it preempt that task"
    )
