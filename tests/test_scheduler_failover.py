"""A new leader rebuilds its state from the intents and jobs of its predecessor."""

from __future__ import annotations

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core import failover
from topazhold.core.autoscaling import counts_as_capacity
from topazhold.core.jobs import GangState, Job, JobState
from topazhold.core.records import AttemptIntent, Intents
from topazhold.wire.cloud import ListedMachine
from topazhold.wire.workers import TaskStatus


def test_new_leader_places_intended_tasks_only_after_a_heartbeat_of_its_term() -> None:
    """A task of an intent may be running until its machine has sent a heartbeat of this term."""
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), harness.now, 1e9, "hive-0")
    intents = [Intents("host-0", 1, "a", False, "b1", [AttemptIntent("wk-000001", 0, 77)])]
    failover.rebuild(harness.scheduler, [job], intents, harness.now)
    harness.heartbeat("host-1")
    assert harness.plan_and_commit() == []
    harness.heartbeat("host-0", term=7)  # written before the worker saw the new term
    assert harness.plan_and_commit() == []
    harness.heartbeat("host-0")
    assert [attempt.index for attempt in harness.plan_and_commit()] == [0]


def test_new_leader_counts_tasks_of_aborted_jobs_until_they_are_gone() -> None:
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), harness.now, 1e9, "hive-0")
    job.abort(harness.now)
    intents = [Intents("host-0", 1, "a", False, "b1", [AttemptIntent("wk-000001", 0, 77)])]
    failover.rebuild(harness.scheduler, [job], intents, harness.now)
    assert harness.scheduler.usage.used("red") == (4.0, 2.0)
    harness.scheduler.tick(harness.now)
    assert job.state is JobState.ABORTED and job.attempts[0].stopping
    harness.heartbeat("host-0")
    assert harness.scheduler.usage.used("red") == (0.0, 0.0)


def test_new_leader_waits_for_heartbeats_before_releasing_for_a_cancelled_job() -> None:
    """Guards against releasing a machine for a stale intent.

    Only the workers' heartbeats show whether the task exists.
    """
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), harness.now, 1e9, "hive-0")
    job.abort(harness.now - 0.7 * harness.scheduler.cancel_s)
    intents = [Intents("host-0", 1, "a", False, "b1", [AttemptIntent("wk-000001", 0, 77)])]
    failover.rebuild(harness.scheduler, [job], intents, harness.now)
    harness.scheduler.tick(harness.now)
    assert harness.scheduler.releases == {}
    harness.now += 0.11 * harness.scheduler.cancel_s
    harness.scheduler.tick(harness.now)
    assert "host-0" in harness.scheduler.releases and harness.scheduler.must_be_released("host-0")


def test_new_leader_gives_a_gang_that_is_being_stopped_time_to_save() -> None:
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(tasks=2), harness.now, 1e9, "hive-0")
    intents = [
        Intents("host-0", 1, "a", False, "b1", [AttemptIntent("wk-000001", 0, 77)]),
        Intents("host-2", 1, "a", False, "b1", [AttemptIntent("wk-000001", 1, 77)]),
    ]
    failover.rebuild(harness.scheduler, [job], intents, harness.now)
    for index, name in enumerate(("host-0", "host-2")):
        task_name = f"wk-000001/{index}"
        harness.tasks[name] = {(task_name, 77): TaskStatus(task_name, 77, "flushing")}
        harness.heartbeat(name)
    harness.set_task_states("host-0", "ended", "stopped", kept=True)
    harness.heartbeat("host-0")
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.STOPPING
    assert all(command.grace_s != 0.0 for command in harness.heartbeat("host-2"))
    harness.set_task_states("host-2", "ended", "stopped", kept=True)
    harness.heartbeat("host-2")
    harness.scheduler.tick(harness.now)
    assert job.gang_state is GangState.WAITING


def test_newer_incarnation_proves_an_earlier_terms_tasks_gone() -> None:
    """Guards against waiting for ever for a machine that no command reaches.

    It never sends a heartbeat of the new term.
    """
    harness = SchedulerHarness(machines=0, term=8)
    job = Job(make_spec(shape="batch", tasks=1), harness.now, 1e9, "hive-0")
    intents = [Intents("host-0", 3, "a", False, "b1", [AttemptIntent("wk-000001", 0, 77)])]
    failover.rebuild(harness.scheduler, [job], intents, harness.now)
    harness.heartbeat("host-1")
    harness.heartbeat("host-0", term=7, incarnation=3)
    assert harness.plan_and_commit() == [], "the same incarnation may still run the task"
    harness.heartbeat("host-0", term=7, incarnation=4)
    assert [attempt.machine for attempt in harness.plan_and_commit()] == ["host-1"]


def test_late_heartbeat_to_a_new_leader_adds_no_capacity() -> None:
    """Guards against counting a machine that may have been released already.

    The machine does not know of its release, so only the cloud's list makes it capacity.
    """
    harness = SchedulerHarness(machines=1, term=8)
    harness.heartbeat("host-9", term=7)
    machine = harness.scheduler.machines["host-9"]
    assert not counts_as_capacity(machine) and counts_as_capacity(
        harness.scheduler.machines["host-0"]
    )
    assert harness.scheduler.directory() == [("host-0", "a")]
    harness.scheduler.on_machine_list(
        [ListedMachine("host-9", "b1", "a", "running")], harness.now, harness.now
    )
    assert counts_as_capacity(machine)
