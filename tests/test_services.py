"""Services: jobs whose replicas run until the job is cancelled."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import curio
import pytest

from tests.job_specs import make_spec
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.fleet_survey import NonServiceSizes
from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import MachineState
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.wire.jobs import JobSpec


def service_spec(number: int = 1, **changes: Any) -> JobSpec:
    """Return a critical service of two small replicas, except for `changes`."""
    fields: dict[str, Any] = {
        "shape": "daemon",
        "urgency": "critical",
        "tasks": 2,
        "cpus": 1.0,
        "gpus": 0.0,
        "memory_gb": 2.0,
        "same_zone": False,
        "estimated_run_s": 0.0,
        "checkpoint_s": 0.0,
        "save_s": 0.0,
    }
    return make_spec(number, **{**fields, **changes})


def start_planned_tasks(harness: SchedulerHarness) -> None:
    """Place what can be placed, and bring all tasks on machines to run."""
    harness.plan_and_commit()
    harness.all_heartbeats()
    for name, tasks in harness.tasks.items():
        if any(task.state != "ended" for task in tasks.values()):
            harness.set_task_states(name, "running")
    harness.all_heartbeats()


def running_service(harness: SchedulerHarness, **changes: Any) -> Job:
    """Add a service and bring all its replicas to run."""
    job = harness.add_job(service_spec(**changes))
    start_planned_tasks(harness)
    assert job.running_count() == job.spec.tasks
    return job


def attempt_of(job: Job, index: int = 0) -> TaskAttempt:
    return job.attempts[index]


def test_replicas_go_to_different_machines_and_zones(harness: SchedulerHarness) -> None:
    """Guards against losing two replicas to one failure."""
    job = running_service(harness, tasks=4)
    machines = [attempt.machine for attempt in job.attempts.values()]
    assert len(set(machines)) == 4
    assert sorted(job.zones_used(harness.scheduler.zone_of).values()) == [2, 2]


@pytest.mark.parametrize("cause", ["done", "error", "stopped"])
def test_replica_that_ends_runs_again_and_the_job_is_never_done(
    harness: SchedulerHarness, cause: str
) -> None:
    job = running_service(harness)
    first = attempt_of(job)
    harness.now += 60.0
    harness.all_heartbeats()
    harness.set_task_states(first.machine, "ended", cause)
    harness.heartbeat(first.machine)
    assert job.waiting_count == 1 and not job.is_complete
    assert harness.scheduler.finished == [] and job.completed_count == 0
    start_planned_tasks(harness)
    replacement = attempt_of(job, first.index)
    assert replacement.attempt_number > first.attempt_number and job.running_count() == 2


def test_completion_marks_of_a_service_are_ignored() -> None:
    """Guards against a service that ends because a stored part has completion marks."""
    marked = Job(make_spec(shape="batch", tasks=2), 0.0, 0.0, "")
    marked.mark_completed(0)
    marked.mark_completed(1)
    job = Job(service_spec(tasks=2), 0.0, 0.0, "")
    job.load_part(0, marked.part_text(0))
    assert job.completed_count == 0 and not job.is_complete


def test_replica_is_replaced_only_once_it_is_proven_gone(harness: SchedulerHarness) -> None:
    """A silent machine may still run its replica; a newer incarnation proves that it is gone."""
    job = running_service(harness)
    lost_machine = attempt_of(job).machine
    others = [name for name in harness.scheduler.machines if name != lost_machine]
    for _ in range(8):
        harness.now += 1.0
        for name in others:
            harness.heartbeat(name)
        harness.scheduler.tick(harness.now)
        assert harness.plan_and_commit() == []
    harness.tasks[lost_machine].clear()
    harness.heartbeat(lost_machine, incarnation=2)
    assert [attempt.index for attempt in harness.plan_and_commit()] == [0]


def test_machine_with_replicas_is_released_once_its_lease_expires(
    harness: SchedulerHarness,
) -> None:
    """Guards against a replica that stays down while its machine may come back.

    Only the release proves the replica gone; tasks of other jobs can wait for the machine.
    """
    job = running_service(harness)
    lost_machine = attempt_of(job).machine
    harness.now += 1.1 * harness.scheduler.lease_s
    for name in harness.scheduler.machines:
        if name != lost_machine:
            harness.heartbeat(name)
    harness.scheduler.tick(harness.now)
    assert harness.scheduler.machines[lost_machine].state is MachineState.RELEASING
    harness.scheduler.remove_machine(lost_machine, harness.now)
    assert [attempt.index for attempt in harness.plan_and_commit()] == [0]


def test_machines_with_replicas_in_a_zone_that_is_cut_off_are_not_released() -> None:
    """The replicas may run on there, since a controller in the zone answers the workers."""
    harness = SchedulerHarness(machines=8)
    job = running_service(harness)
    zone = harness.scheduler.zone_of[attempt_of(job).machine]
    harness.now += 1.1 * harness.scheduler.lease_s
    for name, machine in harness.scheduler.machines.items():
        if machine.zone != zone:
            harness.heartbeat(name)
    harness.scheduler.tick(harness.now)
    states = {machine.state for machine in harness.scheduler.machines.values()}
    assert MachineState.RELEASING not in states


def test_unsent_launch_on_a_silent_machine_is_placed_elsewhere(harness: SchedulerHarness) -> None:
    """Guards against a replica that waits for the machine's release, well over a lease.

    The launch was never sent, so the replica can't be running there.
    """
    job = harness.add_job(service_spec(tasks=1))
    (attempt,) = harness.plan_and_commit()
    assert attempt.state is AttemptState.WRITTEN
    harness.now += 3.0
    for name in harness.scheduler.machines:
        if name != attempt.machine:
            harness.heartbeat(name)
    harness.scheduler.tick(harness.now)
    (replacement,) = harness.plan_and_commit()
    assert replacement.machine != attempt.machine and job.attempts[0] is replacement
    assert harness.heartbeat(attempt.machine) == [], "the withdrawn launch must not be sent"


def test_zone_spread_counts_present_replicas_when_one_is_replaced(
    harness: SchedulerHarness,
) -> None:
    """Guards against a replacement that puts more than half the replicas in one zone."""
    job = running_service(harness, tasks=2, spread_zones=True)
    failed_attempt = attempt_of(job)
    zone = harness.scheduler.zone_of[failed_attempt.machine]
    harness.set_task_states(failed_attempt.machine, "ended", "error")
    harness.heartbeat(failed_attempt.machine)
    for name, machine in harness.scheduler.machines.items():
        if machine.zone == zone:
            harness.heartbeat(name, notice_s=100.0)
    assert harness.plan_and_commit() == [], "the other zone already has half the replicas"


def test_replica_leaves_a_machine_under_notice(harness: SchedulerHarness) -> None:
    """A replica that fits elsewhere is stopped at once.

    Stopping it later gives the same gap, and losing the machine gives a longer one.
    """
    job = running_service(harness)
    lost_machine = attempt_of(job).machine
    harness.heartbeat(lost_machine, notice_s=20.0)
    harness.scheduler.tick(harness.now)
    assert attempt_of(job).stopping
    harness.set_task_states(lost_machine, "ended", "stopped")
    harness.heartbeat(lost_machine, notice_s=20.0)
    (attempt,) = harness.plan_and_commit()
    assert attempt.machine != lost_machine


def test_replica_without_another_place_stays_until_the_notice_expires() -> None:
    harness = SchedulerHarness(machines=1)
    job = running_service(harness, tasks=1)
    lost_machine = attempt_of(job).machine
    harness.heartbeat(lost_machine, notice_s=20.0)
    harness.scheduler.tick(harness.now)
    assert not attempt_of(job).stopping
    harness.now += 19.0
    harness.heartbeat(lost_machine, notice_s=1.0)
    harness.scheduler.tick(harness.now)
    assert attempt_of(job).stopping


def test_replica_is_packed_beside_a_gangs_task_rather_than_on_an_empty_machine(
    harness: SchedulerHarness,
) -> None:
    """A machine has room for the gang's task of ten CPUs and one replica of six, not for two."""
    gang = harness.add_job(make_spec(7, tasks=1, cpus=10.0, gpus=4.0))
    harness.reserve(gang, {"host-2": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
    job = harness.add_job(service_spec(tasks=1, cpus=6.0))
    (attempt,) = harness.plan_and_commit()
    assert attempt.machine == "host-2", "the empty machines can be released"
    non_service_sizes = NonServiceSizes(harness.scheduler.jobs.values())
    displaced_shares = {
        name: non_service_sizes.displaced_share(machine, job.need)
        for name, machine in harness.scheduler.machines.items()
    }
    assert displaced_shares == {"host-0": 0.0, "host-1": 0.0, "host-2": 1.0, "host-3": 0.0}


def test_work_is_preempted_for_a_replica_at_once() -> None:
    harness = SchedulerHarness(machines=1)
    filler = harness.add_job(make_spec(5, shape="batch", tasks=4, gpus=1.0, urgency="best_effort"))
    start_planned_tasks(harness)
    job = harness.add_job(service_spec(tasks=1))
    assert harness.plan_and_commit() == []
    assert [attempt.stopping for attempt in filler.attempts.values()].count(True) == 1
    assert job.waiting_count == 1


def test_service_within_its_guarantee_is_not_preempted_for_another_guarantee() -> None:
    """The team's other tasks are beyond its GPU guarantee, but the replicas use no GPUs."""
    harness = SchedulerHarness(machines=1)
    job = running_service(harness, tasks=1, cpus=16.0)
    harness.add_job(make_spec(5, shape="batch", tasks=5, team="red", gpus=2.0))
    harness.add_job(make_spec(6, shape="batch", tasks=1, team="blue", gpus=1.0))
    for _ in range(6):
        harness.now += 1.0
        harness.all_heartbeats()
        harness.plan_and_commit()
        harness.scheduler.tick(harness.now)
    assert job.within_guarantee and not attempt_of(job).stopping


def test_backoff_of_a_replica_that_fails_everywhere_grows_and_is_bounded() -> None:
    harness = SchedulerHarness(machines=6)
    job = harness.add_job(service_spec(tasks=1))
    backoffs_s = []
    for _ in range(12):
        while not harness.plan_and_commit():
            harness.now += 0.5
            harness.all_heartbeats()
        attempt = attempt_of(job)
        harness.all_heartbeats()
        harness.set_task_states(attempt.machine, "ended", "error")
        harness.heartbeat(attempt.machine)
        backoffs_s.append(max(0.0, job.not_before - harness.now))
        assert attempt.state is AttemptState.GONE
    assert backoffs_s[0] == 0.0 and max(backoffs_s) > 0.0
    assert max(backoffs_s) <= 2**5 * harness.scheduler.lease_s
    healthy = [m for m in harness.scheduler.machines.values() if m.state is MachineState.READY]
    assert len(healthy) >= 4, "a failing job must not drain the machines"


def test_failures_of_one_replica_are_attributed_to_its_machine(harness: SchedulerHarness) -> None:
    """The other replicas run, so the machine is at fault."""
    job = running_service(harness, tasks=2)
    failed_attempt = attempt_of(job)
    harness.set_task_states(failed_attempt.machine, "ended", "error")
    harness.heartbeat(failed_attempt.machine)
    assert harness.scheduler.machines[failed_attempt.machine].error_jobs == {job.id}
    (replacement,) = harness.plan_and_commit()
    assert replacement.machine != failed_attempt.machine


def test_machines_are_rented_for_a_service() -> None:
    harness = SchedulerHarness(machines=0)
    harness.add_job(service_spec(tasks=2, spread_zones=True))
    requests = harness.scheduler.scale_out(harness.now)
    assert {request.zone for request in requests} == {"a", "b"}


def test_no_replacement_after_a_cancellation(harness: SchedulerHarness) -> None:
    """A replica ends at the moment its job is cancelled."""
    job = running_service(harness)
    failed_attempt = attempt_of(job)
    harness.set_task_states(failed_attempt.machine, "ended", "error")
    harness.scheduler.on_job_ended(job.id, False, harness.now, harness.now)
    harness.heartbeat(failed_attempt.machine)
    assert harness.plan_and_commit() == [] and job.state is JobState.ABORTED
    assert all(attempt.stopping for attempt in job.attempts.values())


# -- with whole controllers --------------------------------------------------------


#: Limit by the protocol for how old the state in an answer to a user may be.
MAX_ANSWER_LAG_S = 3.0
SERVICE = {
    "shape": "daemon",
    "urgency": "critical",
    "cards": 0.0,
    "forage_s": 0.0,
    "cap_s": 0.0,
    "seal_s": 0.0,
    "run_s": 5000.0,
}


def running_replicas(scenario: Scenario, job: str) -> int:
    return sum(
        task.state == "running"
        for worker in scenario.cloud.workers.values()
        for task in worker.tasks.values()
        if task.job == job
    )


def test_replacement_and_cancellation_continue_after_a_failover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Replicas and the leader fail, and one job is cancelled before the next leader acts."""

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        via = scenario.other_controllers(leader)[0]
        kept_job = (await scenario.submit_running_jobs(1, via, **SERVICE))[0]
        cancelled_job = (await scenario.submit_running_jobs(1, via, **SERVICE))[0]
        for worker in scenario.cloud.workers.values():
            for task in list(worker.tasks.values()):
                if task.index == 0 and task.state == "running":
                    worker.end_task(task, "error")
        await scenario.stop(leader)
        assert await scenario.cancel(cancelled_job, via) == HTTPStatus.OK
        await scenario.wait_for_new_leader(leader)
        await scenario.wait_until(lambda: running_replicas(scenario, kept_job) == 3)
        await scenario.wait_until(lambda: cancelled_job not in scenario.present_jobs())
        # By the protocol an answer may lag: a single poll here would pass only by luck.
        polling_since = scenario.clock.now
        status, body = await scenario.poll(kept_job, via)
        while (status, body["stage"]) != (HTTPStatus.OK, "running"):
            assert scenario.clock.now - polling_since < MAX_ANSWER_LAG_S, (status, body)
            await curio.sleep(0.1)
            status, body = await scenario.poll(kept_job, via)
        assert (
            scenario.started_after_confirmation == [] and scenario.launched_after_confirmation == []
        )

    assert_no_violations(run_scenario(act, monkeypatch))


def test_replicas_outlast_an_outage_of_the_state_service(monkeypatch: pytest.MonkeyPatch) -> None:
    """Workers are still answered during an outage longer than their lease.

    No replica stops, and none is started twice.
    """

    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        job = (await scenario.submit_running_jobs(1, leader, **SERVICE))[0]
        starts = scenario.starts
        scenario.store.set_down(True)
        for _ in range(int(2 * scenario.worker_settings.lease_s)):
            await curio.sleep(1.0)
            assert running_replicas(scenario, job) == 3
        scenario.store.set_down(False)
        await curio.sleep(5.0)
        assert running_replicas(scenario, job) == 3 and scenario.starts == starts

    assert_no_violations(run_scenario(act, monkeypatch))


def test_many_services_are_cancelled_at_once_while_a_machine_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scenario: Scenario) -> None:
        await scenario.start()
        leader = scenario.leader()
        assert leader is not None
        jobs = await scenario.submit_running_jobs(6, leader, **SERVICE)
        scenario.busy_workers()[0].crash()
        for job in jobs:
            assert await scenario.cancel(job, leader) == HTTPStatus.OK
        await scenario.wait_until(lambda: not scenario.present_jobs() & set(jobs), 60.0)
        assert scenario.started_after_confirmation == []

    assert_no_violations(run_scenario(act, monkeypatch))
