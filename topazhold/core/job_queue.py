"""The queue of jobs that have tasks to place."""

from __future__ import annotations

from topazhold.core import preemption
from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import GangState, Job, JobState


class JobQueue:
    """Orders the jobs with tasks to place. Owns no state."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster

    def waiting_jobs(self, now: float) -> list[Job]:
        """Return the live jobs that have tasks to place now, in queue order."""
        jobs = [
            job
            for job in self._cluster.jobs.values()
            if job.state is JobState.LIVE
            and job.waiting_count > 0
            and job.not_before <= now
            and not (job.gang and job.gang_state is not GangState.WAITING)
        ]
        jobs.sort(key=lambda job: (preemption.queue_key(job), self.due_at(job), job.id))
        return jobs

    def due_at(self, job: Job) -> float:
        """Return the latest start that meets the job's deadline; its arrival without one."""
        spec = job.spec
        if spec.deadline_s is None:
            return job.arrived
        return job.arrived + spec.deadline_s - self.expected_run_s(job)

    def expected_run_s(self, job: Job) -> float:
        """Return the expected run time of a task of the job, in seconds."""
        return self._cluster.estimates.corrected_run_s(job.spec.job_class, job.spec.estimated_run_s)
