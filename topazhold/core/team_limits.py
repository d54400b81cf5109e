"""Teams' limits: whether a gang fits its team's limit, if need be by preemption in the team."""

from __future__ import annotations

from typing import NamedTuple

from topazhold.core import preemption
from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.jobs import GangState, Job
from topazhold.core.task_attempts import AttemptState, TaskAttempt


class JobUsage(NamedTuple):
    """Resources that one job of a team has on machines."""

    urgency_level: int
    priority: tuple[int, int]
    cpus: float
    gpus: float


class TeamLimits:
    """Checks gangs against their teams' limits and preempts the teams' lower-priority work.

    Owns a cache of the usage of each team's jobs, kept until `invalidate` so that a round
    computes it once.
    """

    def __init__(self, cluster: ClusterState, eviction: Eviction) -> None:
        self._cluster = cluster
        self._eviction = eviction
        self._job_usage: dict[str, list[JobUsage]] = {}

    def invalidate(self) -> None:
        """Drop the cached usage of all teams."""
        self._job_usage = {}

    def fits_with_preemption(self, job: Job) -> bool:
        """Return whether the gang fits its team's limit once lower-priority work is preempted."""
        usage = self._cluster.usage
        if usage.allows(job, job.spec.tasks):
            return True
        cpus = gpus = 0.0
        priority = preemption.priority(job)
        for job_usage in self._job_usage_of(job.spec.team):
            if job_usage.urgency_level > job.urgency_level and job_usage.priority > priority:
                cpus += job_usage.cpus
                gpus += job_usage.gpus
        return usage.allows(job, job.spec.tasks, (-cpus, -gpus))

    def preempt_for(self, job: Job, now: float) -> None:
        """Preempt lower-priority work of the team until the gang fits the limit."""
        usage = self._cluster.usage
        cpus = gpus = 0.0
        attempts = self._preemptible_attempts(job)
        attempts.sort(
            key=lambda attempt: (not attempt.stopping, preemption.preemption_cost_s(attempt, now))
        )
        for attempt in attempts:
            if usage.allows(job, job.spec.tasks, (-cpus, -gpus)):
                return
            cpus += attempt.job.need[0]
            gpus += attempt.job.need[1]
            if not attempt.stopping and attempt.state is not AttemptState.INTENDED:
                self._eviction.preempt(attempt, f"limit of {job.spec.team} for {job.id}", now)

    def _job_usage_of(self, team_name: str) -> list[JobUsage]:
        usages = self._job_usage.get(team_name)
        if usages is not None:
            return usages
        usages = self._job_usage[team_name] = []
        for job in self._cluster.jobs.values():
            if job.spec.team != team_name or not job.attempts:
                continue
            if job.gang and job.gang_state is GangState.STARTING:
                continue
            count = sum(attempt.is_active for attempt in job.attempts.values())
            if count:
                cpus, gpus = job.need[0] * count, job.need[1] * count
                usages.append(JobUsage(job.urgency_level, preemption.priority(job), cpus, gpus))
        return usages

    def _preemptible_attempts(self, job: Job) -> list[TaskAttempt]:
        """Return the attempts of its own team that a gang may preempt to fit the limit."""
        return [
            attempt
            for other in self._cluster.jobs.values()
            if other.spec.team == job.spec.team
            and other.urgency_level > job.urgency_level
            # Work of higher priority than the gang would be placed again at once.
            and preemption.priority(other) > preemption.priority(job)
            for attempt in other.attempts.values()
            if attempt.is_active and not (other.gang and other.gang_state is GangState.STARTING)
        ]
