"""Machines whose heartbeats arrive, but which no command reaches."""

from __future__ import annotations

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.autoscaling import counts_as_capacity
from topazhold.core.jobs import GangState
from topazhold.core.task_attempts import AttemptState


def test_machine_whose_launches_never_arrive_is_unreachable_for_commands(
    harness: SchedulerHarness,
) -> None:
    """Guards against placing gangs on such a machine: its heartbeats look healthy."""
    job = harness.add_job(make_spec())
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.plan_and_commit()
    for _ in range(3):
        harness.heartbeat("host-0", apply_commands=False)
        harness.heartbeat("host-2")
    machine = harness.scheduler.machines["host-0"]
    assert machine.command_unreachable and not harness.scheduler.usable(machine, harness.now)
    assert not machine.attempts, "its tasks no longer use quota"
    assert not counts_as_capacity(machine)
    harness.scheduler.tick(harness.now)
    assert job.gang_state is not GangState.STARTING
    harness.all_heartbeats()
    harness.set_task_states("host-2", "ended", "stopped")
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    harness.reserve(job, {"host-0": 1, "host-2": 1}, serial=2)
    assert harness.plan_and_commit() == [] and harness.scheduler.rejected[job.id] == 2


def test_machine_whose_lease_expires_despite_responses_is_unreachable_for_commands(
    harness: SchedulerHarness,
) -> None:
    harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    harness.heartbeat(attempt.machine)
    harness.heartbeat(attempt.machine)
    assert attempt.state is AttemptState.PULLING
    harness.tasks[attempt.machine] = {}
    harness.now += 0.5
    harness.heartbeat(attempt.machine, incarnation=2)
    machine = harness.scheduler.machines[attempt.machine]
    assert machine.command_unreachable and attempt.state is AttemptState.GONE
    replacements = harness.plan_and_commit()
    assert replacements and replacements[0].machine != attempt.machine, (
        "the task is placed on another machine"
    )
    for _ in range(14):  # an incarnation older than its lease has received responses
        harness.now += 1.0
        harness.heartbeat(attempt.machine, incarnation=2)
    assert not machine.command_unreachable


def test_single_unreachable_machine_is_released_and_a_whole_zone_is_not() -> None:
    harness = SchedulerHarness(machines=8)
    for name in ("host-0", "host-1", "host-3", "host-5", "host-7"):
        harness.scheduler.machines[name].mark_command_unreachable(harness.now)
    for _ in range(25):
        harness.now += 1.0
        for name in harness.scheduler.machines:
            harness.sequences[name] += 1
            harness.scheduler.machines[name].last_heartbeat_at = harness.now
        harness.scheduler.tick(harness.now)
    assert set(harness.scheduler.releases) == {"host-0"}


def test_machine_that_hung_for_over_a_lease_is_still_reachable_for_commands(
    harness: SchedulerHarness,
) -> None:
    harness.now += 30.0
    harness.heartbeat("host-0", incarnation=2)
    assert not harness.scheduler.machines["host-0"].command_unreachable
