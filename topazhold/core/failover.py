"""Rebuilding of a new leader's state from the stored jobs and intents.

Every intent counts as possibly running until its machine sends a heartbeat under the new
term or is released.
"""

from __future__ import annotations

from collections.abc import Iterable

from topazhold.core import gangs
from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import Job, JobState
from topazhold.core.records import Intents
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import TaskAttempt


def missing_jobs(jobs: Iterable[str], intents: Iterable[Intents]) -> list[str]:
    """Return the jobs named by intents but not live: they have ended and must be loaded."""
    loaded_jobs = set(jobs)
    return sorted({job for record in intents for job, _, _ in record.attempts} - loaded_jobs)


def rebuild(
    scheduler: Scheduler, jobs: Iterable[Job], intents: Iterable[Intents], now: float
) -> None:
    """Populate the scheduler of a new term from what earlier terms stored."""
    cluster = scheduler.cluster
    for job in jobs:
        cluster.add_job(job)
        if job.state is JobState.LIVE:
            cluster.queue_if_complete(job)
    for record in sorted(intents, key=lambda record: record.incarnation):
        machine = cluster.add_machine(
            record.machine, record.zone, record.spot, record.machine_type, now
        )
        machine.restore_incarnation(record.incarnation, now)
        for job_id, index, attempt_number in record.attempts:
            _adopt(cluster, job_id, index, attempt_number, machine.name, record.incarnation, now)
    for job in list(cluster.jobs.values()):
        if job.gang and job.state is JobState.LIVE:
            gangs.restore(job, now)
        cluster.forget_if_ended(job)


def _adopt(
    cluster: ClusterState,
    job_id: str,
    index: int,
    attempt_number: int,
    machine: str,
    incarnation: int,
    now: float,
) -> None:
    job = cluster.jobs.get(job_id)
    if job is None or index >= job.spec.tasks or job.completed[index]:
        return
    existing = job.attempts.get(index)
    if existing is not None:
        # The intent of an ended attempt stays stored until its machine's next write, so
        # two machines may name the same task. Only the newer attempt can still be running,
        # since it was planned after the older one was proven gone.
        if existing.attempt_number >= attempt_number:
            return
        cluster.remove_attempt(existing, now)
    attempt = TaskAttempt(job, index, attempt_number, machine, now)
    attempt.incarnation = incarnation
    cluster.adopt(attempt)
