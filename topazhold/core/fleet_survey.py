"""The view of the whole fleet that a scheduling round works with."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import Job, JobState, Resources
from topazhold.core.machines import Machine
from topazhold.core.reservations import ReservedResources
from topazhold.core.resources import NO_RESOURCES, add_resources, count_fitting, fits
from topazhold.core.task_attempts import TaskAttempt

#: Most array and replica attempts planned in one round; a gang may exceed it.
MAX_PLACED_TASKS = 96
#: Task sizes of other jobs that are checked for displacement by a replica, the largest first.
MAX_TASK_SIZES = 24


class TeamClaim(NamedTuple):
    """The part of a team's limit that is kept for gangs whose machines are free."""

    cpus: float = 0.0
    gpus: float = 0.0


NO_CLAIM = TeamClaim()


class NonServiceSizes:
    """Task sizes of live jobs except services, and the share that a replica would displace.

    Owns a cache of the shares, by machine type and what services use of the machine.
    """

    def __init__(self, jobs: Iterable[Job]) -> None:
        sizes = {job.need for job in jobs if job.state is JobState.LIVE and not job.service}
        largest_first = sorted(sizes, key=lambda need: (need[1], need[0], need[2]), reverse=True)
        self._sizes = largest_first[:MAX_TASK_SIZES]
        self._shares: dict[object, float] = {}

    def displaced_share(self, machine: Machine, need: Resources) -> float:
        """Return the share of the task sizes that lose slots on the machine to one more replica.

        `need` is the replica's; resources that services use already are not counted as free.
        """
        assert machine.machine_type is not None
        services = NO_RESOURCES
        for attempt in machine.attempts.values():
            if attempt.job.service:
                services = add_resources(services, attempt.job.need)
        key = (machine.machine_type.name, round(services[0], 3), round(services[2], 3), need)
        share = self._shares.get(key)
        if share is None:
            before = add_resources(machine.total, services, -1.0)
            share = self._shares[key] = self._share_displaced(
                before, add_resources(before, need, -1.0)
            )
        return share

    def _share_displaced(self, before: Resources, after: Resources) -> float:
        sizes = self._sizes
        displaced = [
            size
            for size in sizes
            if count_fitting(size, after, MAX_PLACED_TASKS)
            < count_fitting(size, before, MAX_PLACED_TASKS)
        ]
        return len(displaced) / len(sizes) if sizes else 0.0


class FleetSurvey:
    """The fleet in one round: surveyed at its start and updated as tasks are placed.

    Values that many jobs need are computed once per round, so that the cost does not grow with
    jobs times machines times reservations. Owns `planned` (the round's attempts), `with_capacity`
    (usable machines with capacity for some waiting task), `reserved` (reserved resources),
    `unplaceable_requests` (requests of arrays that found no capacity), the teams' claims, the
    on-demand GPUs that are free beyond the reserve, and the task sizes of jobs other than services.
    """

    def __init__(
        self,
        cluster: ClusterState,
        reserved: ReservedResources,
        smallest_need: Resources,
        reserve_share: float,
        now: float,
    ) -> None:
        self.now = now
        self.planned: list[TaskAttempt] = []
        self.reserved = reserved
        self.with_capacity: list[Machine] = []
        self.unplaceable_requests: set[object] = set()
        self._cluster = cluster
        self._claims: dict[str, TeamClaim] = {}
        self._non_service_sizes: NonServiceSizes | None = None
        free = total = 0.0
        for machine in cluster.machines.values():
            if cluster.usable(machine, now):
                available = machine.free()
                if not machine.spot:
                    free += available[1]
                    total += machine.total[1]
                if fits(smallest_need, available):
                    self.with_capacity.append(machine)
        # Classes that must start within seconds can't wait until preempted tasks have saved
        # their checkpoints, so work that can wait must not fill the last on-demand machines.
        self._spare_on_demand_gpus = free - reserve_share * total

    @property
    def is_full(self) -> bool:
        """Whether the round has planned its maximum of attempts."""
        return len(self.planned) >= MAX_PLACED_TASKS

    # -- claims on teams' limits ---------------------------------------------

    def claim(self, job: Job) -> None:
        """Withhold what a gang needs of its team's limit from jobs later in the queue.

        Otherwise the team's arrays would use up the limit task by task, and a gang, which needs
        its share at once, would wait until they are all done.
        """
        cpus, gpus = self.claimed(job)
        size = job.spec.tasks
        self._claims[job.spec.team] = TeamClaim(
            cpus + job.need[0] * size, gpus + job.need[1] * size
        )

    def claimed(self, job: Job) -> TeamClaim:
        """Return what gangs of the job's team have claimed so far."""
        return self._claims.get(job.spec.team, NO_CLAIM)

    def allows_one_more(self, job: Job) -> bool:
        """Return whether one more task of the job stays within its team's limit."""
        return self._cluster.usage.allows(job, 1, self.claimed(job))

    # -- placed attempts -----------------------------------------------------

    def place(self, job: Job, index: int, machine: Machine) -> None:
        """Plan an attempt of one task of an array or a service."""
        cluster = self._cluster
        attempt = cluster.new_attempt(job, index, machine, cluster.next_attempt_number(), self.now)
        job.add_attempt(attempt)
        self.planned.append(attempt)

    def on_gang_placed(self, job: Job, attempts: list[TaskAttempt]) -> None:
        """Record the start of a gang, whose reservation then no longer binds others."""
        self.reserved.release(job.id)
        self.unplaceable_requests.clear()
        self.planned += attempts

    def has_spare_on_demand_gpus(self, need: Resources) -> bool:
        """Return whether a task leaves the GPU reserve of on-demand machines untouched."""
        return self._spare_on_demand_gpus >= need[1]

    def use_on_demand_gpus(self, need: Resources) -> None:
        """Count the GPUs of a task placed on an on-demand machine."""
        self._spare_on_demand_gpus -= need[1]

    def non_service_sizes(self) -> NonServiceSizes:
        """Return the task sizes of jobs other than services, collected once per round."""
        if self._non_service_sizes is None:
            self._non_service_sizes = NonServiceSizes(self._cluster.jobs.values())
        return self._non_service_sizes
