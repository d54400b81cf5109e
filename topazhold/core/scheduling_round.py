"""A scheduling round: which tasks that wait are placed where now.

Its phases: the guarantees are brought up to date, the jobs that wait are put in the order of
their turns, the fleet is surveyed, and each job places what it can by the rules of its shape.
What is planned is bound by its intents: once these are written, or have failed for good, the
round is told so.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from topazhold.core.array_placement import ArrayPlacement
from topazhold.core.binding_reservations import BindingReservations
from topazhold.core.cluster_state import ClusterState
from topazhold.core.fleet_survey import FleetSurvey
from topazhold.core.gang_placement import GangPlacement
from topazhold.core.job_queue import JobQueue
from topazhold.core.jobs import GangState, Job, Resources
from topazhold.core.machines import Machine
from topazhold.core.replica_placement import ReplicaPlacement
from topazhold.core.resources import NO_RESOURCES, fits
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.core.worker_commands import WorkerCommands


class PlacementStrategies(NamedTuple):
    """What places the tasks of jobs of each shape."""

    gangs: GangPlacement
    arrays: ArrayPlacement
    replicas: ReplicaPlacement


class SchedulingRounds:
    """Makes one round after another.

    Owns the sizes of the tasks that waited in the last round.
    """

    def __init__(
        self,
        cluster: ClusterState,
        queue: JobQueue,
        reservations: BindingReservations,
        placement: PlacementStrategies,
        commands: WorkerCommands,
        reserve_share: float,
    ) -> None:
        """`reserve_share`: of the GPUs of ordinary machines, kept free by work that can wait."""
        self._cluster = cluster
        self._queue = queue
        self._reservations = reservations
        self._placement = placement
        self._commands = commands
        self._reserve_share = reserve_share
        self._waiting_needs: set[Resources] = set()
        self._smallest_need = NO_RESOURCES

    def could_place_on(self, machine: Machine, now: float) -> bool:
        """Whether a round might place something on this machine.

        Asked at every heartbeat: of the sizes that waited in the last round, not of all jobs.
        """
        available = machine.free()
        if not fits(self._smallest_need, available) or not self._cluster.usable(machine, now):
            return False
        return any(fits(need, available) for need in self._waiting_needs)

    def plan(self, now: float) -> list[TaskAttempt]:
        """New attempts; their intents are to be written before anything else."""
        self._cluster.refresh_guarantees()
        jobs = self._queue.waiting_jobs(now)
        self._waiting_needs = {job.need for job in jobs}
        if not jobs:
            return []
        survey = self._survey(now)
        for job in jobs:
            if survey.is_full:
                break
            self._place(job, survey)
        return survey.planned

    def _survey(self, now: float) -> FleetSurvey:
        reserved = self._reservations.reserved_resources(now)
        self._smallest_need = (
            min(need[0] for need in self._waiting_needs),
            min(need[1] for need in self._waiting_needs),
            min(need[2] for need in self._waiting_needs),
        )
        return FleetSurvey(self._cluster, reserved, self._smallest_need, self._reserve_share, now)

    def _place(self, job: Job, survey: FleetSurvey) -> None:
        if job.gang:
            self._placement.gangs.place(job, survey)
        elif job.service:
            self._placement.replicas.place(job, survey)
        else:
            self._placement.arrays.place(job, survey)

    def intents_written(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        """The intents of these attempts are committed: their launches may leave."""
        self._cluster.count_changes()
        for attempt in attempts:
            if attempt.state is AttemptState.INTENDED:
                attempt.written(now)
                # Only now is the reservation used up. Used up by a plan whose intents
                # then failed, it would keep its gang from ever starting.
                attempt.job.used_reservation = max(
                    attempt.job.used_reservation, attempt.job.starting_reservation
                )
                if attempt.stopping:
                    self._cluster.remove_attempt(attempt, now)
                else:
                    self._commands.wake(self._cluster.machines[attempt.machine], now)

    def intents_failed(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        """The transaction failed for good: none of it was or will be written."""
        for attempt in attempts:
            if attempt.state is AttemptState.INTENDED:
                self._cluster.remove_attempt(attempt, now)
        self._cluster.count_changes()
        for job in {attempt.job for attempt in attempts if attempt.job.gang}:
            if not job.attempts:
                job.enter_gang_state(GangState.WAITING, now)
