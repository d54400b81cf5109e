"""A new leader's first view: live jobs, intents, holds.

Every intent is taken as possibly running until its machine reports under the
new term or is released.
"""

from __future__ import annotations

from collections.abc import Iterable

from topazhold.core import gangs
from topazhold.core.jobs import Job, JobState, Run
from topazhold.core.machines import MachineState
from topazhold.core.realm import Realm
from topazhold.core.records import Intents


def missing_jobs(jobs: Iterable[str], intents: Iterable[Intents]) -> list[str]:
    """Jobs named by intents that are not live: they are over, and must be read."""
    known = set(jobs)
    return sorted({job for each in intents for job, _, _ in each.runs} - known)


def take_over(realm: Realm, jobs: Iterable[Job], intents: Iterable[Intents], now: float) -> None:
    """Build the realm of a new term."""
    for job in jobs:
        realm.add_job(job)
        if job.complete and job.state is JobState.LIVE:
            realm.finished.append(job)
    for each in sorted(intents, key=lambda each: each.flight):
        machine = realm.add_machine(each.machine, each.zone, each.spot, each.breed, now)
        machine.flight = each.flight
        if machine.state is MachineState.STARTING and each.flight:
            machine.hear(False, now)
            machine.heard_at = None
        for job_id, index, attempt in each.runs:
            _adopt(realm, job_id, index, attempt, machine.name, each.flight, now)
    for job in list(realm.jobs.values()):
        if job.gang and job.state is JobState.LIVE:
            gangs.resume(job, now)
        realm.forget_if_over(job)


def _adopt(
    realm: Realm, job_id: str, index: int, attempt: int, machine: str, flight: int, now: float
) -> None:
    job = realm.jobs.get(job_id)
    if job is None or index >= job.spec.frames or job.done[index]:
        return
    old = job.runs.get(index)
    if old is not None:
        # An ended run's intent stays until its machine's next one, so a task
        # may stand at two machines. Only the newer try can still be there:
        # it was planned after the older one was proven gone.
        if old.attempt >= attempt:
            return
        realm.supersede(old, now)
    run = Run(job, index, attempt, machine, now)
    run.flight = flight
    realm.adopt(run)
