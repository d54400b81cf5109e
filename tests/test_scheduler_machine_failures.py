"""Machines that stop sending heartbeats, are partitioned, fail or are reclaimed."""

from __future__ import annotations

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core import failover
from topazhold.core.jobs import Job
from topazhold.core.machines import MachineState
from topazhold.core.records import AttemptIntent, Intents
from topazhold.core.task_attempts import AttemptState
from topazhold.wire.cloud import ListedMachine


def harness_with_silent_machines(share: float) -> tuple[SchedulerHarness, int]:
    """Return a zone of forty machines, and how many of them are silent.

    That share of them fell silent at once, one and a half leases ago.
    """
    harness = SchedulerHarness(machines=0)
    for number in range(40):
        harness.heartbeat(f"host-{number:02d}")
    silent_count = int(40 * share)
    while harness.now < 100.0 + 1.5 * harness.scheduler.lease_s:
        harness.now += 1.0
        for number in range(silent_count, 40):
            harness.heartbeat(f"host-{number:02d}")
        harness.scheduler.tick(harness.now)
    return harness, silent_count


def test_tasks_of_a_removed_machine_free_their_teams_quota(harness: SchedulerHarness) -> None:
    """Guards against a quota used up by tasks of a machine that no longer exists."""
    harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    assert harness.scheduler.usage.used("red") == (4.0, 2.0)
    harness.scheduler.remove_machine(attempt.machine, harness.now)
    assert harness.scheduler.usage.used("red") == (0.0, 0.0)


def test_silent_machines_tasks_are_placed_again_only_after_its_release(
    harness: SchedulerHarness,
) -> None:
    job = harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    harness.heartbeat(attempt.machine)
    harness.now += 500.0
    for name in harness.scheduler.machines:
        if name != attempt.machine:
            harness.heartbeat(name)
    harness.scheduler.tick(harness.now)
    assert harness.plan_and_commit() == []
    assert attempt.machine in harness.scheduler.releases
    harness.scheduler.remove_machine(attempt.machine, harness.now)
    assert [new.index for new in harness.plan_and_commit()] == [0]
    assert job.attempts[0].machine != attempt.machine


def test_machines_of_a_zone_that_is_cut_off_are_not_released(harness: SchedulerHarness) -> None:
    """Many machines silent at once suggest a partition, behind which their tasks may run on."""
    harness = SchedulerHarness(machines=8)
    harness.now += 30.0
    for name, machine in harness.scheduler.machines.items():
        if machine.zone == "b":
            harness.heartbeat(name)
    harness.scheduler.tick(harness.now)
    assert harness.scheduler.releases == {}


def test_silent_machine_with_a_cancelled_task_is_released(harness: SchedulerHarness) -> None:
    harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    harness.heartbeat(attempt.machine)
    harness.scheduler.on_job_ended("wk-000001", False, harness.now, harness.now)
    harness.now += harness.scheduler.cancel_s * 0.7
    harness.scheduler.tick(harness.now)
    assert attempt.machine in harness.scheduler.releases


def test_machine_that_fails_several_jobs_drains_and_one_failing_job_drains_none(
    harness: SchedulerHarness,
) -> None:
    scheduler = harness.scheduler
    machine = scheduler.machines["host-0"]
    for number in (1, 2):
        scheduler.parts.failure_attribution.on_attempt_failed(
            machine, harness.add_job(make_spec(number)), harness.now
        )
    assert machine.state is MachineState.DRAINING
    failing_job = harness.add_job(make_spec(7))
    for name in ("host-1", "host-2", "host-3"):
        scheduler.parts.failure_attribution.on_attempt_failed(
            scheduler.machines[name], failing_job, harness.now
        )
    assert failing_job.not_before > harness.now
    for name in ("host-1", "host-2", "host-3"):
        assert scheduler.machines[name].state is MachineState.READY
        assert not scheduler.machines[name].error_jobs


def test_machine_under_notice_drains_and_its_tasks_save(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec(shape="batch", tasks=1, estimated_run_s=300.0))
    (attempt,) = harness.plan_and_commit()
    harness.heartbeat(attempt.machine)
    harness.set_task_states(attempt.machine, "running")
    harness.heartbeat(attempt.machine, notice_s=20.0)
    harness.scheduler.tick(harness.now)
    assert attempt.stop_grace_s is not None and attempt.stop_grace_s >= job.spec.save_s
    assert harness.scheduler.machines[attempt.machine].state is MachineState.DRAINING


def test_late_heartbeat_and_late_machine_list_change_nothing(harness: SchedulerHarness) -> None:
    job = harness.add_job(make_spec(shape="batch", tasks=1))
    (attempt,) = harness.plan_and_commit()
    harness.heartbeat(attempt.machine)
    harness.heartbeat(attempt.machine)
    assert attempt.state is AttemptState.PULLING
    harness.sequences[attempt.machine] -= 2
    tasks = harness.tasks[attempt.machine]
    harness.tasks[attempt.machine] = {}
    assert harness.heartbeat(attempt.machine) == []
    assert job.attempts[0] is attempt
    harness.tasks[attempt.machine] = tasks
    harness.scheduler.remove_machine("host-3", harness.now)

    harness.scheduler.on_machine_list(
        [ListedMachine("host-3", "b1", "b", "running")], harness.now, harness.now
    )
    assert "host-3" not in harness.scheduler.machines


def test_reconnected_zone_is_neither_unreachable_nor_released() -> None:
    """Guards against giving up a zone after a partition of some minutes.

    Its first heartbeats name the old term, and some machines send theirs later than others.
    """
    harness = SchedulerHarness(machines=0, term=8)
    names = [f"host-{number}" for number in range(8)]
    intents = [
        Intents(name, 1, "a", False, "b1", [AttemptIntent("wk-000001", number, 77)])
        for number, name in enumerate(names)
    ]
    job = Job(make_spec(shape="batch", tasks=8), harness.now, 1e9, "hive-0")
    failover.rebuild(harness.scheduler, [job], intents, harness.now)
    for _ in range(40):
        harness.now += 1.0
        harness.scheduler.tick(harness.now)
    for name in names[:6]:
        harness.heartbeat(name, term=7)
        assert not harness.scheduler.machines[name].command_unreachable
    for _ in range(8):
        harness.now += 1.0
        for name in names[:6]:
            harness.heartbeat(name)
        harness.scheduler.tick(harness.now)
    assert harness.scheduler.releases == {}
    for _ in range(8):  # the few that stay silent are released in the end
        harness.now += 1.0
        for name in names[:6]:
            harness.heartbeat(name)
        harness.scheduler.tick(harness.now)
    assert set(harness.scheduler.releases) == set(names[6:])


def test_hung_machines_of_a_zone_are_not_released_while_they_may_recover() -> None:
    """Guards against releasing a third of a zone that hangs longer than a lease and recovers."""
    harness, silent_count = harness_with_silent_machines(0.3)
    assert not harness.scheduler.releases
    missing = [
        m
        for m in harness.scheduler.machines.values()
        if harness.scheduler.parts.failure_detection.is_missing(m, harness.now)
    ]
    assert len(missing) == silent_count, (
        "capacity is planned to replace them, in case they are dead"
    )
    for number in range(silent_count - 1):
        harness.heartbeat(f"host-{number:02d}", incarnation=2)
    harness.now += 1.0
    harness.scheduler.tick(harness.now)
    assert list(harness.scheduler.releases) == [f"host-{silent_count - 1:02d}"], (
        "a single silent machine is released"
    )


def test_machines_of_a_zone_that_stay_silent_are_released() -> None:
    harness, silent_count = harness_with_silent_machines(0.3)
    for _ in range(8):
        harness.now += 1.0
        for number in range(silent_count, 40):
            harness.heartbeat(f"host-{number:02d}")
        harness.scheduler.tick(harness.now)
    assert len(harness.scheduler.releases) == silent_count


def test_machines_of_a_zone_that_is_cut_off_are_not_replaced() -> None:
    harness, _ = harness_with_silent_machines(0.6)
    assert not harness.scheduler.releases
    assert not any(
        harness.scheduler.parts.failure_detection.is_missing(m, harness.now)
        for m in harness.scheduler.machines.values()
    )
