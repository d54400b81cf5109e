"""Scheduling rounds: decide which waiting tasks are placed now, and on which machines.

A round refreshes the guaranteed quotas, sorts the waiting jobs into queue order, surveys the
fleet, and lets each job place what it can by the strategy for its shape. Planned attempts become
binding with their intents in the key-value store; `intents_written` and `intents_failed` report
the outcome of each write.
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
    """The placement strategy for each shape of job."""

    gangs: GangPlacement
    arrays: ArrayPlacement
    replicas: ReplicaPlacement


class SchedulingRounds:
    """Runs the scheduling rounds of a leader.

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
        """Initialize the rounds.

        `reserve_share` is the share of the GPUs of on-demand machines that jobs which can wait
        leave free.
        """
        self._cluster = cluster
        self._queue = queue
        self._reservations = reservations
        self._placement = placement
        self._commands = commands
        self._reserve_share = reserve_share
        self._waiting_needs: set[Resources] = set()
        self._smallest_need = NO_RESOURCES

    def could_place_on(self, machine: Machine, now: float) -> bool:
        """Return whether a round might place a task on this machine.

        Called for every heartbeat, so it checks only the task sizes that waited in the last
        round instead of all jobs.
        """
        available = machine.free()
        if not fits(self._smallest_need, available) or not self._cluster.usable(machine, now):
            return False
        return any(fits(need, available) for need in self._waiting_needs)

    def plan(self, now: float) -> list[TaskAttempt]:
        """Return new attempts; their intents must be written before any other effect."""
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
        """Allow the launches of these attempts, whose intents are committed."""
        self._cluster.count_changes()
        for attempt in attempts:
            if attempt.state is AttemptState.INTENDED:
                attempt.mark_written(now)
                # A reservation is used up only here. If planning used it up and the intents
                # then failed, its gang could never start.
                attempt.job.used_reservation = max(
                    attempt.job.used_reservation, attempt.job.starting_reservation
                )
                if attempt.stopping:
                    self._cluster.remove_attempt(attempt, now)
                elif not attempt.launch_held:
                    self._commands.wake(self._cluster.machines[attempt.machine], now)

    def intents_failed(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        """Drop these attempts: their transaction failed and will never be applied."""
        for attempt in attempts:
            if attempt.state is AttemptState.INTENDED:
                self._cluster.remove_attempt(attempt, now)
        self._cluster.count_changes()
        for job in {attempt.job for attempt in attempts if attempt.job.gang}:
            if not job.attempts:
                job.enter_gang_state(GangState.WAITING, now)
