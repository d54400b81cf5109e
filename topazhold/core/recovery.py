"""A new queen's first view: live jobs, intents, holds.

Every intent is taken as possibly running until its machine reports under the
new crown or is released.
"""

from __future__ import annotations

from collections.abc import Iterable

from topazhold.core import gangs, records
from topazhold.core.jobs import Job, JobState, Run
from topazhold.core.machines import Machine, MachineState
from topazhold.core.realm import Realm

Intents = tuple[str, int, int, list[tuple[str, int, int]], tuple[str, bool, str]]


def missing_jobs(jobs: Iterable[str], intents: Iterable[Intents]) -> list[str]:
    """Jobs named by intents that are not live: they are over, and must be read."""
    known = set(jobs)
    return sorted({job for _, _, _, runs, _ in intents for job, _, _ in runs} - known)


def read_intents(machine: str, data: object, mark: int) -> Intents:
    flight, runs, place = records.read_on(data)
    return (machine, flight, mark, runs, place)


def take_over(realm: Realm, jobs: Iterable[Job], intents: Iterable[Intents], now: float) -> None:
    """Build the realm of a new reign."""
    for job in jobs:
        realm.add_job(job)
        if job.complete and job.state is JobState.LIVE:
            realm.finished.append(job)
    for name, flight, mark, runs, (zone, spot, breed) in intents:
        machine = realm.add_machine(name, zone, spot, breed, now)
        machine.on_mark = mark
        machine.flight = flight
        if machine.state is MachineState.STARTING and flight:
            machine.hear(False, now)
            machine.heard_at = None
        for job_id, index, attempt in runs:
            _adopt(realm, job_id, index, attempt, machine, now)
    for job in list(realm.jobs.values()):
        if job.gang and job.state is JobState.LIVE:
            gangs.resume(job, now)
        realm.forget_if_over(job)


def _adopt(
    realm: Realm, job_id: str, index: int, attempt: int, machine: Machine, now: float
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
    run = Run(job, index, attempt, machine.name, now)
    run.flight = machine.flight
    realm.adopt(run)
