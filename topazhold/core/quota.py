"""Usage, quota limits and guaranteed quotas of teams.

A limit or guaranteed quota of 0 means that there is none.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from topazhold.core.jobs import Job
from topazhold.core.resources import AMOUNT_TOLERANCE
from topazhold.settings import Team


def team_limit_allows(team: Team, cpus: float, gpus: float) -> bool:
    """Return whether the team's limits allow this usage."""
    if team.cpus_max and cpus > team.cpus_max + AMOUNT_TOLERANCE:
        return False
    return not team.gpus_max or gpus <= team.gpus_max + AMOUNT_TOLERANCE


@dataclass(slots=True)
class _Remaining:
    """What remains of a team's limits; None if there is no limit."""

    cpus: float | None
    gpus: float | None


class RemainingQuota:
    """What remains of the teams' limits as jobs consume them one after the other."""

    def __init__(self, teams: Mapping[str, Team]) -> None:
        self._remaining = {
            name: _Remaining(team.cpus_max or None, team.gpus_max or None)
            for name, team in teams.items()
        }

    def consume(self, job: Job, tasks: int) -> int:
        """Deduct as many of `tasks` tasks as the limits allow; return how many that is.

        It is 0 for a team that the settings don't name.
        """
        remaining = self._remaining.get(job.spec.team)
        if remaining is None:
            return 0
        cpus, gpus = job.need[0], job.need[1]
        count = _count_within(remaining.gpus, gpus, _count_within(remaining.cpus, cpus, tasks))
        if remaining.cpus is not None:
            remaining.cpus -= count * cpus
        if remaining.gpus is not None:
            remaining.gpus -= count * gpus
        return count


def _count_within(remaining: float | None, need: float, tasks: int) -> int:
    """Return how many of `tasks` tasks fit the remaining amount; None is no limit."""
    if remaining is None or need <= AMOUNT_TOLERANCE:
        return tasks
    return max(0, min(tasks, int((remaining + AMOUNT_TOLERANCE) // need)))


class Usage:
    """CPUs and GPUs in use per team, counted for each attempt from its intent until it is gone."""

    def __init__(self, teams: Iterable[Team]) -> None:
        self.teams = {team.name: team for team in teams}
        self._used: dict[str, list[float]] = {  # [CPUs, GPUs]
            name: [0.0, 0.0] for name in self.teams
        }

    def add(self, job: Job, count: int = 1) -> None:
        """Add the usage of `count` tasks of the job."""
        used = self._used.setdefault(job.spec.team, [0.0, 0.0])
        used[0] += job.need[0] * count
        used[1] += job.need[1] * count

    def remove(self, job: Job, count: int = 1) -> None:
        """Subtract the usage of `count` tasks of the job."""
        self.add(job, -count)

    def allows(self, job: Job, count: int = 1, claimed: tuple[float, float] = (0.0, 0.0)) -> bool:
        """Return whether `count` more tasks of the job stay within its team's limit.

        `claimed` is the CPUs and GPUs that other jobs of the team are to get first; a negative
        amount is what preempting some of them would free.
        """
        team = self.teams.get(job.spec.team)
        if team is None:
            return False
        used = self._used[team.name]
        return team_limit_allows(
            team,
            used[0] + claimed[0] + job.need[0] * count,
            used[1] + claimed[1] + job.need[1] * count,
        )

    def exceeds_guarantee(self, team_name: str) -> bool:
        """Return whether the team exceeds its guaranteed quota; a team without one always does."""
        team = self.teams.get(team_name)
        used = self._used.get(team_name)
        if team is None or used is None:
            return True
        for guaranteed, amount in ((team.cpus, used[0]), (team.gpus, used[1])):
            if guaranteed and amount > guaranteed + AMOUNT_TOLERANCE:
                return True
        return not team.cpus and not team.gpus

    def used(self, team_name: str) -> tuple[float, float]:
        """Return the CPUs and GPUs that the team uses now."""
        used = self._used.get(team_name, (0.0, 0.0))
        return (used[0], used[1])


def mark_guaranteed(jobs: Iterable[Job], teams: dict[str, Team]) -> None:
    """Set `within_guarantee` of each job: whether it and its team's earlier jobs fit the quota."""
    totals: dict[str, list[float]] = {}
    for job in sorted(jobs, key=lambda job: (job.submitted, job.id)):
        team = teams.get(job.spec.team)
        total = totals.setdefault(job.spec.team, [0.0, 0.0])
        total[0] += job.need[0] * job.spec.tasks
        total[1] += job.need[1] * job.spec.tasks
        job.within_guarantee = team is not None and (
            _needs_no_guaranteed_resource(team, job) or _fits_guarantee(team, total)
        )


def _needs_no_guaranteed_resource(team: Team, job: Job) -> bool:
    """Return whether the job needs none of the resources that its team has a guarantee for.

    Such a job can't exceed the quota. Without this rule, a team's training jobs would put its
    CPU-only services outside a quota that counts GPUs only.
    """
    needs = [
        need
        for guaranteed, need in zip((team.cpus, team.gpus), job.need, strict=False)
        if guaranteed
    ]
    return bool(needs) and not any(needs)


def _fits_guarantee(team: Team, total: list[float]) -> bool:
    """Return whether `total` fits the guaranteed quota; without a GPU quota it includes no GPU."""
    if not team.gpus and not team.cpus:
        return False
    if team.gpus and total[1] > team.gpus + AMOUNT_TOLERANCE:
        return False
    if not team.gpus and total[1] > AMOUNT_TOLERANCE:
        return False
    return not team.cpus or total[0] <= team.cpus + AMOUNT_TOLERANCE
