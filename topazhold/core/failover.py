"""A new leader's first view: live jobs, intents, holds.

Every intent is taken as possibly running until its machine reports under the
new term or is released.
"""

from __future__ import annotations

from collections.abc import Iterable

from topazhold.core import gangs
from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import MachineState
from topazhold.core.records import Intents
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import TaskAttempt


def missing_jobs(jobs: Iterable[str], intents: Iterable[Intents]) -> list[str]:
    """Jobs named by intents that are not live: they are over, and must be read."""
    known = set(jobs)
    return sorted({job for each in intents for job, _, _ in each.attempts} - known)


def rebuild(
    scheduler: Scheduler, jobs: Iterable[Job], intents: Iterable[Intents], now: float
) -> None:
    """Build the scheduler of a new term."""
    for job in jobs:
        scheduler.add_job(job)
        if job.complete and job.state is JobState.LIVE:
            scheduler.finished.append(job)
    for each in sorted(intents, key=lambda each: each.incarnation):
        machine = scheduler.add_machine(each.machine, each.zone, each.spot, each.machine_type, now)
        machine.incarnation = each.incarnation
        if machine.state is MachineState.STARTING and each.incarnation:
            machine.hear(False, now)
            machine.last_heartbeat_at = None
        for job_id, index, attempt_number in each.attempts:
            _adopt(scheduler, job_id, index, attempt_number, machine.name, each.incarnation, now)
    for job in list(scheduler.jobs.values()):
        if job.gang and job.state is JobState.LIVE:
            gangs.resume(job, now)
        scheduler.forget_if_ended(job)


def _adopt(
    scheduler: Scheduler,
    job_id: str,
    index: int,
    attempt_number: int,
    machine: str,
    incarnation: int,
    now: float,
) -> None:
    job = scheduler.jobs.get(job_id)
    if job is None or index >= job.spec.tasks or job.completed[index]:
        return
    old = job.attempts.get(index)
    if old is not None:
        # An ended run's intent stays until its machine's next one, so a task
        # may stand at two machines. Only the newer try can still be there:
        # it was planned after the older one was proven gone.
        if old.attempt_number >= attempt_number:
            return
        scheduler.supersede(old, now)
    attempt = TaskAttempt(job, index, attempt_number, machine, now)
    attempt.incarnation = incarnation
    scheduler.adopt(attempt)
