"""Who may be stopped for whom, and whom it costs least to stop."""

from __future__ import annotations

from topazhold.core.jobs import GangState, Job, Resources
from topazhold.core.machines import Machine, add_resources, fits
from topazhold.core.quota import Usage
from topazhold.core.reservations import NOT_AGED, QueueKey
from topazhold.core.resource_offer import AGED
from topazhold.core.task_attempts import AttemptState, TaskAttempt


def priority(job: Job) -> tuple[int, int]:
    """The order in which work goes: within a guarantee first, then by urgency.

    A gang that has waited long is as good as within a guarantee. Without that,
    work within guarantees fills every machine that a large gang needs, task by
    task, and the gang never begins.
    """
    return (0 if job.within_guarantee or job.is_aged else 1, job.urgency_level)


def queue_key(job: Job) -> QueueKey:
    """Whose holds bind whom: those of one class bind each other, first come first served.

    A class that is to start within ten seconds goes before one that has a minute.
    A gang that has waited long goes before them all, by its submission.
    """
    return (*priority(job), job.submitted if job.is_aged else NOT_AGED + job.wait_objective_s)


def behind(first: tuple[int, int], victim: Job) -> bool:
    """Whether work of rank `first` might stop the victim, teams left aside."""
    if first[0] == AGED:
        return victim.urgency_level > first[1]
    if first >= priority(victim):
        return False
    return victim.urgency_level > first[1] or (first[0] == 0 and not victim.within_guarantee)


def may_stop(job: Job, victim: Job, usage: Usage) -> bool:
    """Higher priority, or a guarantee against what another team borrows.

    Both only against work that ranks behind: else urgent work beyond a
    guarantee and low work within one stop each other in turn for ever.
    """
    if priority(job) >= priority(victim):
        return False
    if victim.urgency_level > job.urgency_level:
        return True
    return (
        job.within_guarantee
        and victim.spec.team != job.spec.team
        and usage.beyond_guarantee(victim.spec.team)
    )


#: What stopping a replica costs, in seconds of work: it is the last to be chosen.
SERVICE_LOSS_S = 1e5


def loss(attempt: TaskAttempt, now: float, urgency_level: int = 0) -> float:
    """Seconds of work, over all tasks told to stop with it, that a stop costs.

    `level` is the urgency of the work that it would be stopped for.
    """
    job = attempt.job
    tasks = len(job.attempts) if job.gang else 1
    elapsed = now - attempt.running_since if attempt.running_since is not None else 0.0
    lost = job.spec.save_s if job.spec.checkpoint_s > 0 else elapsed
    more_urgent = max(0, urgency_level - job.urgency_level)
    if job.service:
        return SERVICE_LOSS_S + elapsed
    return (lost + 1.0) * tasks + 10.0 * (3 - job.urgency_level) + 60.0 * more_urgent


def victims(
    machine: Machine, need: Resources, job: Job, usage: Usage, reserved: Resources, now: float
) -> list[TaskAttempt] | None:
    """Runs to stop so that `need` fits; [] if it will fit anyhow, None if it can't."""
    available = add_resources(machine.free(), reserved, -1.0)
    candidates: list[TaskAttempt] = []
    for attempt in machine.attempts.values():
        if not attempt.present:
            continue
        if attempt.stopping:
            available = add_resources(available, attempt.job.need)
        elif may_stop(job, attempt.job, usage) and attempt.job is not job:
            if attempt.job.gang and attempt.job.gang_state is GangState.STARTING:
                continue  # it has not begun to run; its own clock decides first
            if attempt.state is not AttemptState.INTENDED:
                candidates.append(attempt)
    if fits(need, available):
        return []
    chosen: list[TaskAttempt] = []
    for attempt in sorted(candidates, key=lambda attempt: loss(attempt, now, job.urgency_level)):
        chosen.append(attempt)
        available = add_resources(available, attempt.job.need)
        if fits(need, available):
            return chosen
    return None
