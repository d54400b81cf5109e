"""The leader launches tasks only from written intents, and repeats lost launches."""

from __future__ import annotations

import msgspec

from tests.job_specs import MACHINE_TYPE, make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.jobs import GangState, Job
from topazhold.core.task_attempts import AttemptState
from topazhold.wire.workers import Command, Heartbeat


def launched(commands: list[Command]) -> list[str]:
    """Return the names of the tasks that the commands launch."""
    return [command.task_name for command in commands if command.kind == "launch"]


def test_task_is_launched_only_after_its_intent_is_written(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec())
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    attempts = harness.scheduler.plan(harness.now)
    assert len(attempts) == 2
    assert launched(harness.all_heartbeats()) == []
    harness.scheduler.intents_written(attempts, harness.now)
    assert sorted(launched(harness.all_heartbeats())) == ["wk-000001/0", "wk-000001/1"]


def test_lost_launch_is_repeated_on_the_same_machine(harness: SchedulerHarness) -> None:
    """The response with the launch was lost, so the next heartbeat lacks the task."""
    harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    assert launched(harness.heartbeat(attempt.machine, apply_commands=False)) == ["wk-000001/0"]
    assert launched(harness.heartbeat(attempt.machine)) == ["wk-000001/0"]
    assert attempt.state is AttemptState.LAUNCH_SENT
    harness.heartbeat(attempt.machine)
    assert attempt.state is AttemptState.PULLING


def test_answer_to_a_direct_command_does_not_prove_a_task_absent(harness: SchedulerHarness) -> None:
    """The response to a direct command may overtake a launch in transit."""
    harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    harness.heartbeat(attempt.machine, apply_commands=False)
    harness.sequences[attempt.machine] += 1
    heartbeat = Heartbeat(
        attempt.machine, "x:1", "b1", "a", False, 1, harness.sequences[attempt.machine], 5, []
    )
    harness.scheduler.on_heartbeat(heartbeat, True, harness.now)
    assert attempt.state is AttemptState.LAUNCH_SENT


def test_gang_keeps_its_reservation_when_intents_cannot_be_written(
    harness: SchedulerHarness,
) -> None:
    """The gang starts with the same reservation once the intents can be written."""
    job = harness.add_job(make_spec())
    harness.reserve(job, {"host-0": 1, "host-2": 1})
    harness.scheduler.intents_failed(harness.scheduler.plan(harness.now), harness.now)
    assert job.gang_state is GangState.WAITING
    assert harness.scheduler.usage.used("red") == (0.0, 0.0)
    assert len(harness.plan_and_commit()) == 2


def test_done_task_is_cleared_only_once_it_is_saved(harness: SchedulerHarness) -> None:
    """Until its completion mark is stored, the worker's status is the only record of it."""
    job = harness.add_job(make_spec(shape="batch", tasks=8, gpus=1.0, cpus=1.0))
    name = harness.plan_and_commit()[0].machine
    harness.all_heartbeats()
    harness.set_task_states(name, "ended", "done")
    assert harness.heartbeat(name) == [] and harness.scheduler.machines[name].wake_tasks == []
    job.unsaved_parts.clear()
    ended_count = len(harness.tasks[name])
    commands = harness.heartbeat(name)
    assert {command.kind for command in commands} <= {"clear"}
    assert len(commands) + len(harness.scheduler.machines[name].wake_tasks) == ended_count


def test_worker_with_an_unsent_launch_is_made_to_report_at_once(harness: SchedulerHarness) -> None:
    """A direct `clear` changes the worker's tasks, which makes it send a heartbeat at once."""
    harness.add_job(make_spec(1, shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    harness.heartbeat(attempt.machine)
    harness.set_task_states(attempt.machine, "ended", "error")
    harness.heartbeat(attempt.machine)
    harness.now += 0.5
    for name in harness.scheduler.machines:
        harness.heartbeat(name)
    harness.now += 0.5
    harness.add_job(make_spec(2, shape="batch", tasks=40, gpus=0.0, cpus=1.0, same_zone=False))
    harness.plan_and_commit()
    assert attempt.machine in harness.scheduler.to_command
    commands = harness.scheduler.direct_commands(harness.scheduler.machines[attempt.machine])
    assert [(command.kind, command.task_name) for command in commands] == [("clear", "wk-000001/0")]


def test_completion_marks_of_100_000_tasks_are_read_back(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec(shape="batch", tasks=100_000, gpus=0.0, cpus=1.0))
    assert len(harness.plan_and_commit()) > 0
    for index in range(0, 100_000, 2):
        job.mark_completed(index)
    reloaded = Job(job.spec, 0.0, 0.0, "")
    for part in range(25):
        part_text = job.part_text(part)
        assert len(part_text) < 1024
        if part_text:
            reloaded.load_part(part, part_text)
    assert reloaded.completed == job.completed and reloaded.completed_count == 50_000


def test_unsent_launch_is_withdrawn_from_a_draining_machine(harness: SchedulerHarness) -> None:
    """Guards against a task that waits for the machine instead of being placed elsewhere."""
    job = harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    harness.scheduler.machines[attempt.machine].drain("sick", harness.now)
    harness.scheduler.tick(harness.now)
    assert job.waiting_count == 1
    assert [new.machine != attempt.machine for new in harness.plan_and_commit()] == [True]


def test_task_is_launched_only_in_the_incarnation_that_its_intent_names(
    harness: SchedulerHarness,
) -> None:
    """Otherwise a newer incarnation would not prove a task of an older intent gone."""
    harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    attempt.incarnation = 9
    assert launched(harness.heartbeat(attempt.machine)) == []


def test_leader_whose_lease_may_have_expired_launches_nothing(harness: SchedulerHarness) -> None:
    harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    harness.sequences[attempt.machine] += 1
    heartbeat = Heartbeat(
        attempt.machine, "x:1", "b1", "a", False, 1, harness.sequences[attempt.machine], 5, []
    )
    machine = harness.scheduler.on_heartbeat(heartbeat, False, harness.now)
    assert machine is not None
    assert (
        harness.scheduler.response_commands(machine, heartbeat, harness.now, include_launches=False)
        == []
    )
    assert launched(harness.scheduler.response_commands(machine, heartbeat, harness.now)) == [
        "wk-000001/0"
    ]


def test_tasks_are_placed_on_machines_whose_fetch_rate_is_not_known(
    harness: SchedulerHarness,
) -> None:
    """Guards against dividing by a catalog rate of 0, which ended every leader's term."""
    unknown_rate = msgspec.structs.replace(MACHINE_TYPE, fetch_gb_per_s=0.0)
    for machine in harness.scheduler.machines.values():
        machine.machine_type = unknown_rate
    harness.add_job(make_spec(1, shape="batch", same_zone=False))
    assert len(harness.plan_and_commit()) == 2
