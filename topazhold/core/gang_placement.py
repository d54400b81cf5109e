"""Placement of gangs: on the machines reserved for them, all tasks at once or none."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import NamedTuple

from topazhold.core import preemption
from topazhold.core.binding_reservations import BindingReservations
from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.fleet_survey import NO_CLAIM, FleetSurvey
from topazhold.core.gang_supervision import GangSupervision
from topazhold.core.jobs import Job, Resources
from topazhold.core.machines import Machine
from topazhold.core.reservations import Reservation
from topazhold.core.resources import NO_RESOURCES, add_resources, fits
from topazhold.core.task_attempts import TaskAttempt
from topazhold.core.team_limits import TeamLimits

log = logging.getLogger(__name__)

#: Heartbeat intervals after a preemption for a gang during which its reservation binds all work,
#: even work that could be preempted again.
PREEMPTION_BINDING_HEARTBEATS = 2


class Shortfall(NamedTuple):
    """A reserved machine that lacks capacity, and the gang's total need on it."""

    machine: Machine
    total_need: Resources


class GangPlacement:
    """Plans gangs on their reserved machines. Owns no state."""

    def __init__(
        self,
        cluster: ClusterState,
        reservations: BindingReservations,
        limits: TeamLimits,
        eviction: Eviction,
        supervision: GangSupervision,
    ) -> None:
        self._cluster = cluster
        self._reservations = reservations
        self._limits = limits
        self._eviction = eviction
        self._supervision = supervision
        self._preemption_binding_s = PREEMPTION_BINDING_HEARTBEATS * cluster.heartbeat_interval_s

    def place(self, job: Job, survey: FleetSurvey) -> None:
        """Plan all tasks of a gang, or preempt work that keeps it from starting."""
        reservation = self._reservations.valid_reservation(job)
        if reservation is None or not self._limits.fits_with_preemption(job):
            return
        reserved_by_machine = survey.reserved.reserved_for_others(job.id, preemption.queue_key(job))
        shortfalls = self._shortfalls(job, reservation, reserved_by_machine, survey.now)
        if shortfalls:
            self._preempt_for(job, shortfalls, reserved_by_machine, survey.now)
            return
        claimed = survey.claimed(job)
        if not self._cluster.usage.allows(job, job.spec.tasks, claimed):
            # The machines are free; only the team's limit prevents the start.
            if claimed == NO_CLAIM:
                self._limits.preempt_for(job, survey.now)
            survey.claim(job)
            return
        machines = self._cluster.machines
        if all(
            count <= self._cluster.intent_room(machines[name])
            for name, count in reservation.slots.items()
        ):
            self._start(job, reservation, survey)

    def _shortfalls(
        self,
        job: Job,
        reservation: Reservation,
        reserved_by_machine: Mapping[str, Resources],
        now: float,
    ) -> list[Shortfall]:
        shortfalls = []
        for name, count in reservation.slots.items():
            machine = self._cluster.machines[name]
            available = add_resources(
                machine.free(), reserved_by_machine.get(name, NO_RESOURCES), -1.0
            )
            total_need = add_resources(NO_RESOURCES, job.need, float(count))
            if not self._cluster.usable(machine, now) or not fits(total_need, available):
                shortfalls.append(Shortfall(machine, total_need))
        return shortfalls

    def _start(self, job: Job, reservation: Reservation, survey: FleetSurvey) -> None:
        attempt_number = self._cluster.next_attempt_number()
        attempts: list[TaskAttempt] = []
        for name, count in reservation.slots.items():
            machine = self._cluster.machines[name]
            for _ in range(count):
                index = len(attempts)
                attempts.append(
                    self._cluster.new_attempt(job, index, machine, attempt_number, survey.now)
                )
        self._supervision.start(job, attempts, survey.now)
        survey.on_gang_placed(job, attempts)
        job.starting_reservation = reservation.serial
        log.info(
            "gang %s attempt %d starts on %s, waited %.1f s",
            job.id,
            attempt_number,
            ",".join(reservation.slots),
            survey.now - job.arrived,
        )

    def _preempt_for(
        self,
        job: Job,
        shortfalls: list[Shortfall],
        reserved_by_machine: Mapping[str, Resources],
        now: float,
    ) -> None:
        """Preempt on all reserved machines that lack capacity, or on none of them."""
        chosen: list[TaskAttempt] = []
        for machine, total_need in shortfalls:
            if not self._cluster.usable(machine, now):
                return
            reserved = reserved_by_machine.get(machine.name, NO_RESOURCES)
            victims = preemption.select_victims(
                machine, total_need, job, self._cluster.usage, reserved, now
            )
            if victims is None:
                return
            chosen += victims
        job.preempting_until = now + self._preemption_binding_s
        for attempt in chosen:
            if not attempt.stopping:
                self._eviction.preempt(attempt, f"capacity for {job.id}", now)
