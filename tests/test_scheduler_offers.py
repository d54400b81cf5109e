"""The machines that the leader offers to the controllers that search for gangs."""

from __future__ import annotations

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.task_attempts import AttemptState, TaskAttempt


def test_number_of_offers_grows_with_the_largest_gang() -> None:
    """Guards against too few offers for a gang of 16 tasks.

    Where GPUs are freed one at a time, hardly 16 of 20 offered machines are empty.
    """
    harness = SchedulerHarness(machines=0)
    for number in range(60):
        harness.heartbeat(f"host-{number}")
    assert len(harness.scheduler.offers("a", harness.now)) == 20
    gang = harness.add_job(make_spec(tasks=16, gpus=1.0))
    assert harness.scheduler.largest_gang(harness.now) is gang
    assert len(harness.scheduler.offers("a", harness.now, gang)) == 32


def test_fully_reserved_machines_do_not_crowd_out_other_offers() -> None:
    """Guards against offering gangs only the machines that others have reserved."""
    harness = SchedulerHarness(machines=0)
    for number in range(60):
        harness.heartbeat(f"host-{number:02d}")
    reserved_names = [offer.name for offer in harness.scheduler.offers("a", harness.now)]
    for number, name in enumerate(reserved_names):
        harness.reserve(harness.add_job(make_spec(number, tasks=1, gpus=4.0)), {name: 1})
    names = [offer.name for offer in harness.scheduler.offers("a", harness.now)]
    assert len(set(names) - set(reserved_names)) == 20
    assert set(reserved_names) <= set(names), "work ahead of them in the queue may still use them"


def test_offers_include_empty_machines_for_a_gang_that_needs_them() -> None:
    harness = SchedulerHarness(machines=0)
    for number in range(50):
        harness.heartbeat(f"host-{number:02d}")
    for machine in list(harness.scheduler.machines.values())[:45]:
        job = harness.add_job(
            make_spec(100 + len(harness.scheduler.jobs), shape="batch", tasks=1, gpus=1.0)
        )
        attempt = TaskAttempt(job, 0, 1, machine.name, harness.now)
        attempt.state = AttemptState.RUNNING
        harness.scheduler.cluster.attach(attempt)
    gang = harness.add_job(make_spec(tasks=5, gpus=4.0, cpus=16.0))
    empty_names = {f"host-{number:02d}" for number in range(45, 50)}
    assert empty_names <= {offer.name for offer in harness.scheduler.offers("a", harness.now, gang)}


def test_offers_always_include_reserved_machines() -> None:
    """Guards against giving up a reserved group, which can't be scored, for a later one."""
    harness = SchedulerHarness(machines=0)
    for number in range(30):
        harness.heartbeat(f"host-{number:02d}")
    job = harness.add_job(make_spec(tasks=1))
    last_offered_name = harness.scheduler.offers("a", harness.now)[-1].name
    offered_names = {offer.name for offer in harness.scheduler.offers("a", harness.now)}
    unoffered_name = next(name for name in harness.scheduler.machines if name not in offered_names)
    harness.reserve(job, {unoffered_name: 1})
    names = [offer.name for offer in harness.scheduler.offers("a", harness.now)]
    assert names[19] == last_offered_name and names[20:] == [unoffered_name]
