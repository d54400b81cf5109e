"""Preemption rules: which work may preempt which, and the victims that cost least."""

from __future__ import annotations

from topazhold.core.jobs import GangState, Job, Resources
from topazhold.core.machines import Machine
from topazhold.core.quota import Usage
from topazhold.core.reservations import NOT_AGED, URGENCY_LEVELS, QueueKey
from topazhold.core.resource_offer import AGED, Priority
from topazhold.core.resources import add_resources, fits
from topazhold.core.task_attempts import AttemptState, TaskAttempt

#: Seconds of work; cost of preempting a replica, so high that replicas are chosen last.
SERVICE_COST_S = 1e5
#: Seconds of work; cost of each preempted task in addition to the work that it loses.
TASK_COST_S = 1.0
#: Seconds of work; cost of each urgency level of the victim above the least urgent one.
URGENCY_LEVEL_COST_S = 10.0
#: Seconds of work; cost of each urgency level of the victim above that of the preempting work.
MORE_URGENT_COST_S = 60.0
LEAST_URGENT_LEVEL = URGENCY_LEVELS - 1


def priority(job: Job) -> Priority:
    """Return the job's priority: work within a guaranteed quota first, then by urgency.

    An aged gang counts as within its guaranteed quota. Otherwise work within such quotas would
    fill every machine that a large gang needs, task by task, and the gang would never start.
    """
    return (0 if job.within_guarantee or job.is_aged else 1, job.urgency_level)


def queue_key(job: Job) -> QueueKey:
    """Return the job's sort key in the queue: priority, then the wait objective of its class.

    Aged gangs come before all other jobs of their priority, in order of submission.
    """
    return (*priority(job), job.submitted if job.is_aged else NOT_AGED + job.wait_objective_s)


def priority_may_preempt(preempting: Priority, victim: Job) -> bool:
    """Return whether work of a priority might preempt the victim, regardless of teams."""
    outside_quota, urgency_level = preempting
    if outside_quota == AGED:
        return victim.urgency_level > urgency_level
    if preempting >= priority(victim):
        return False
    return victim.urgency_level > urgency_level or (
        outside_quota == 0 and not victim.within_guarantee
    )


def may_preempt(job: Job, victim: Job, usage: Usage) -> bool:
    """Return whether the job may preempt the victim.

    It may if it is more urgent, or if it is within its guaranteed quota and the victim's team
    exceeds its own. Either way the victim must have the lower priority: otherwise urgent work
    beyond a quota and less urgent work within one would preempt each other forever.
    """
    if priority(job) >= priority(victim):
        return False
    if victim.urgency_level > job.urgency_level:
        return True
    return (
        job.within_guarantee
        and victim.spec.team != job.spec.team
        and usage.exceeds_guarantee(victim.spec.team)
    )


def preemption_cost_s(attempt: TaskAttempt, now: float, urgency_level: int = 0) -> float:
    """Return the cost in seconds of work of preempting the attempt, with its gang if it has one.

    `urgency_level` is that of the preempting work.
    """
    job = attempt.job
    tasks = len(job.attempts) if job.gang else 1
    elapsed_s = now - attempt.running_since if attempt.running_since is not None else 0.0
    lost_work_s = job.spec.save_s if job.spec.checkpoint_s > 0 else elapsed_s
    more_urgent = max(0, urgency_level - job.urgency_level)
    if job.service:
        return SERVICE_COST_S + elapsed_s
    return (
        (lost_work_s + TASK_COST_S) * tasks
        + URGENCY_LEVEL_COST_S * (LEAST_URGENT_LEVEL - job.urgency_level)
        + MORE_URGENT_COST_S * more_urgent
    )


def select_victims(
    machine: Machine, need: Resources, job: Job, usage: Usage, reserved: Resources, now: float
) -> list[TaskAttempt] | None:
    """Return the attempts to preempt so that `need` fits on the machine.

    Empty if it will fit without preemption, None if it can't fit. `reserved` is what is reserved
    for others on the machine.
    """
    available = add_resources(machine.free(), reserved, -1.0)
    candidates: list[TaskAttempt] = []
    for attempt in machine.attempts.values():
        if not attempt.is_active:
            continue
        if attempt.stopping:
            available = add_resources(available, attempt.job.need)
        elif may_preempt(job, attempt.job, usage) and attempt.job is not job:
            if attempt.job.gang and attempt.job.gang_state is GangState.STARTING:
                continue  # still starting: its start timeout applies first
            if attempt.state is not AttemptState.INTENDED:
                candidates.append(attempt)
    if fits(need, available):
        return []
    chosen: list[TaskAttempt] = []
    for attempt in sorted(
        candidates, key=lambda attempt: preemption_cost_s(attempt, now, job.urgency_level)
    ):
        chosen.append(attempt)
        available = add_resources(available, attempt.job.need)
        if fits(need, available):
            return chosen
    return None
