"""Quotas, preemption and ageing: the order in which jobs are placed."""

from __future__ import annotations

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core import preemption

#: The wait within which every gang should start, by the default settings.
LONGEST_WAIT_S = 240.0


def test_quota_counts_a_task_once_its_intent_is_written(harness: SchedulerHarness) -> None:
    harness = SchedulerHarness(machines=8)
    harness.add_job(make_spec(team="blue", shape="batch", tasks=20, gpus=1.0, cpus=1.0))
    assert len(harness.plan_and_commit()) == 12  # blue's limit
    harness.all_heartbeats()
    assert harness.plan_and_commit() == []


def test_gang_at_its_teams_limit_preempts_less_urgent_work_of_the_team() -> None:
    harness = SchedulerHarness(machines=8)
    harness.add_job(
        make_spec(1, team="blue", shape="batch", tasks=12, gpus=1.0, urgency="best_effort")
    )
    assert len(harness.plan_and_commit()) == 12
    harness.all_heartbeats()
    gang = harness.add_job(make_spec(2, team="blue", gpus=2.0))
    candidates = [
        name
        for name, machine in harness.scheduler.machines.items()
        if machine.zone == "a" and machine.empty
    ] + [
        name
        for name, machine in harness.scheduler.machines.items()
        if machine.zone == "a" and not machine.empty and machine.free()[1] >= 2
    ]
    harness.reserve(gang, dict.fromkeys(candidates[:2], 1))
    harness.plan_and_commit()
    stopping = [
        attempt
        for attempt in harness.scheduler.jobs["wk-000001"].attempts.values()
        if attempt.stopping
    ]
    assert len(stopping) == 4


def test_urgent_gang_preempts_less_urgent_work_and_an_equal_one_does_not() -> None:
    harness = SchedulerHarness(machines=2)
    low = harness.add_job(
        make_spec(
            1,
            shape="batch",
            tasks=2,
            gpus=4.0,
            same_zone=False,
            team="blue",
            urgency="best_effort",
        )
    )
    assert len(harness.plan_and_commit()) == 2
    harness.all_heartbeats()
    equal = harness.add_job(make_spec(2, tasks=1, gpus=4.0, urgency="best_effort", team="blue"))
    harness.reserve(equal, {"host-0": 1})
    harness.plan_and_commit()
    assert not any(attempt.stopping for attempt in low.attempts.values())
    urgent = harness.add_job(make_spec(3, tasks=1, gpus=4.0, urgency="urgent"))
    harness.reserve(urgent, {"host-0": 1})
    harness.plan_and_commit()
    assert [attempt.machine for attempt in low.attempts.values() if attempt.stopping] == ["host-0"]


def test_reservations_of_lower_priority_gangs_do_not_block_higher_priority_work() -> None:
    """Guards against best-effort gangs that reserve all machines and starve urgent work."""
    harness = SchedulerHarness(machines=2)
    for number in (1, 2):
        best_effort_gang = harness.add_job(
            make_spec(number, tasks=1, gpus=4.0, team="blue", urgency="best_effort")
        )
        harness.reserve(best_effort_gang, {f"host-{number - 1}": 1})
    harness.scheduler.refresh_guarantees()
    harness.scheduler.jobs["wk-000002"].within_guarantee = False
    urgent_gang = harness.add_job(make_spec(3, tasks=1, gpus=4.0, urgency="urgent"))
    harness.reserve(urgent_gang, {"host-1": 1})
    attempts = harness.plan_and_commit()
    assert ("wk-000003", "host-1") in {(attempt.job.id, attempt.machine) for attempt in attempts}
    assert ("wk-000002", "host-1") not in {
        (attempt.job.id, attempt.machine) for attempt in attempts
    }


def test_wrong_estimates_are_corrected_within_bounds(harness: SchedulerHarness) -> None:
    estimates = harness.scheduler.estimates
    for _ in range(200):
        estimates.observe("train", 10.0, 1000.0)
    assert 2.5 < estimates.correction("train") <= 3.0
    assert estimates.correction("other") == 1.0


def test_no_two_jobs_may_preempt_each_other() -> None:
    """Guards against endless preemption between two jobs.

    An urgent job beyond its guarantee and a best-effort job within one are no exception.
    """
    harness = SchedulerHarness(machines=2)
    urgent = harness.add_job(make_spec(1, urgency="urgent", team="blue"))
    low = harness.add_job(make_spec(2, urgency="best_effort", team="red"))
    urgent.within_guarantee, low.within_guarantee = False, True
    for job in (urgent, low):
        harness.scheduler.usage.add(job, 20)
    preempts = preemption.may_preempt
    assert preempts(low, urgent, harness.scheduler.usage)
    assert not preempts(urgent, low, harness.scheduler.usage)


def test_aged_gang_preempts_work_within_guarantees() -> None:
    """Guards against arrays within guarantees that fill each machine a large gang waits for."""
    harness = SchedulerHarness(machines=2)
    filler = harness.add_job(
        make_spec(
            1,
            shape="batch",
            tasks=4,
            gpus=2.0,
            urgency="best_effort",
            team="red",
            same_zone=False,
        )
    )
    harness.plan_and_commit()
    harness.all_heartbeats()
    harness.set_task_states("host-0", "running")
    harness.all_heartbeats()
    gang = harness.add_job(make_spec(2, tasks=1, gpus=4.0, team="blue", urgency="urgent"))
    borrowing_gang = harness.add_job(make_spec(3, tasks=1, gpus=4.0, team="blue", urgency="urgent"))
    harness.scheduler.refresh_guarantees()
    assert filler.within_guarantee and gang.within_guarantee and not borrowing_gang.within_guarantee
    assert preemption.priority(borrowing_gang) > preemption.priority(filler)
    assert not preemption.may_preempt(borrowing_gang, filler, harness.scheduler.usage)
    harness.now += harness.scheduler.ageing_threshold_s(borrowing_gang) + 1.0
    harness.scheduler.tick(harness.now)
    assert borrowing_gang.is_aged and preemption.may_preempt(
        borrowing_gang, filler, harness.scheduler.usage
    )
    assert not preemption.may_preempt(filler, borrowing_gang, harness.scheduler.usage), (
        "two jobs must not preempt each other"
    )


def test_urgent_and_large_gangs_age_sooner(harness: SchedulerHarness) -> None:
    """Guards against small gangs that keep the largest from starting within the longest wait."""
    jobs = [
        harness.add_job(make_spec(number, tasks=tasks, urgency=urgency))
        for number, (tasks, urgency) in enumerate(
            [(16, "urgent"), (1, "urgent"), (8, "normal"), (1, "normal")], start=1
        )
    ]
    thresholds_s = [harness.scheduler.ageing_threshold_s(job) for job in jobs]
    assert thresholds_s == sorted(thresholds_s) and thresholds_s[-1] < LONGEST_WAIT_S
    assert thresholds_s[0] < 0.1 * LONGEST_WAIT_S and thresholds_s[2] < 0.3 * LONGEST_WAIT_S


def test_class_with_the_shorter_wait_objective_goes_first(harness: SchedulerHarness) -> None:
    harness.scheduler.wait_objectives = {"quick": (10.0, 50.0), "train": (60.0, 180.0)}
    slow = harness.add_job(make_spec(1, tasks=1))
    harness.now += 5.0
    quick = harness.add_job(make_spec(2, tasks=1, job_class="quick"))
    assert preemption.queue_key(quick) < preemption.queue_key(slow)
    harness.now += harness.scheduler.ageing_threshold_s(slow)
    harness.scheduler.tick(harness.now)
    assert preemption.queue_key(slow) < preemption.queue_key(quick), "an aged gang goes first"
