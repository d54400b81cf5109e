"""The order in which jobs that wait have their turn."""

from __future__ import annotations

from topazhold.core import preemption
from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import GangState, Job, JobState


class JobQueue:
    """Jobs with tasks to place. Owns no state."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster

    def waiting_jobs(self, now: float) -> list[Job]:
        """Live jobs that have tasks to place now, in the order of their turns."""
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
        """When the job should have begun: deadlines by slack, others by arrival."""
        spec = job.spec
        if spec.deadline_s is None:
            return job.arrived
        return job.arrived + spec.deadline_s - self.expected_run_s(job)

    def expected_run_s(self, job: Job) -> float:
        """How long a task of the job is expected to run, in seconds."""
        return self._cluster.estimates.corrected_run_s(job.spec.job_class, job.spec.estimated_run_s)
