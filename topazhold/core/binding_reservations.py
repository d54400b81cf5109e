"""Reservations as the leader judges them: whether they bind, are spent, or must be refused."""

from __future__ import annotations

import logging
import math
from typing import NamedTuple

from topazhold.core import preemption
from topazhold.core.cluster_state import ClusterState
from topazhold.core.job_queue import JobQueue
from topazhold.core.jobs import GangState, Job, JobState
from topazhold.core.machines import Machine, MachineState
from topazhold.core.placement_constraints import placement_allowed
from topazhold.core.reservations import QueueKey, Reservation, ReservationTable, ReservedResources
from topazhold.core.resource_offers import ResourceOffers
from topazhold.core.resources import NO_RESOURCES, add_resources, count_fitting, fits
from topazhold.core.team_limits import TeamLimits

log = logging.getLogger(__name__)

#: A reservation whose capacity is all there within so many heartbeat intervals binds work that
#: yields, too; a machine that boots longer than so many boot times is not counted on.
SOON_HEARTBEATS = 6.0
LATE_BOOTS = 1.5


class CheckedReservation(NamedTuple):
    """The reservation last checked for a gang, and the count of the fleet's changes then."""

    reservation: Reservation
    fleet_changes: int


class JudgedAvailability(NamedTuple):
    """Whether all capacity of a reservation is there soon: its serial, when that was judged."""

    serial: int
    at: float
    soon: bool


class BindingReservations:
    """What the leader makes of the reservations that all controllers have booked.

    Owns, by gang: `rejected` (the serial of a reservation that can't be honoured), the last
    check, the last judgement of whether all capacity is there soon, and since when the gang has
    been without a reservation.
    """

    def __init__(
        self,
        cluster: ClusterState,
        reservation_table: ReservationTable,
        queue: JobQueue,
        limits: TeamLimits,
        offers: ResourceOffers,
    ) -> None:
        self._cluster = cluster
        self._reservation_table = reservation_table
        self._queue = queue
        self._limits = limits
        self._offers = offers
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self.rejected: dict[str, int] = {}
        self._checked: dict[str, CheckedReservation] = {}
        self._soon_judged: dict[str, JudgedAvailability] = {}
        self._wanting_since: dict[str, float] = {}
        cluster.when_job_forgotten(self._forget)

    def _forget(self, job_id: str) -> None:
        self.rejected.pop(job_id, None)
        self._checked.pop(job_id, None)
        self._soon_judged.pop(job_id, None)
        self._wanting_since.pop(job_id, None)

    # -- gangs without a reservation ---------------------------------------

    def waiting_gangs(self, now: float) -> list[Job]:
        """Gangs that wait, and whose teams may use the capacity."""
        self._limits.invalidate()
        return [
            job
            for job in self._queue.waiting_jobs(now)
            if job.gang and self._limits.fits_with_preemption(job)
        ]

    def largest_gang(self, now: float) -> Job | None:
        """The waiting gang with the most tasks that must share a zone."""
        gangs = [job for job in self.waiting_gangs(now) if job.spec.same_place]
        return max(gangs, key=lambda job: (job.spec.tasks, job.id), default=None)

    def needs_reservation(self, job: Job) -> bool:
        """Whether no reservation of the gang is in force."""
        reservation = self._reservation_table.of_job(job.id)
        return reservation is None or self.spent(job, reservation)

    def wanting_s(self, job: Job, now: float) -> float:
        """How long, in seconds, the gang has been without a reservation that is in force."""
        if not self.needs_reservation(job):
            self._wanting_since.pop(job.id, None)
            return 0.0
        return now - self._wanting_since.setdefault(job.id, now)

    # -- whom a reservation binds --------------------------------------------

    def in_force(self, job: Job) -> Reservation | None:
        """The gang's reservation; None if it has none, or that is spent or can't be honoured."""
        reservation = self._reservation_table.of_job(job.id)
        if reservation is None or self.spent(job, reservation):
            return None
        if self._check_due(job, reservation) and self._refuse(job, reservation):
            return None
        return reservation

    def spent(self, job: Job, reservation: Reservation) -> bool:
        """Whether a reservation was used up or refused, so that another is needed."""
        return (
            reservation.serial <= job.used_reservation
            or self.rejected.get(job.id) == reservation.serial
        )

    def binding(self, reservation: Reservation) -> bool:
        """Whether a reservation still keeps capacity: its gang waits and may start."""
        job = self._cluster.jobs.get(reservation.job)
        return (
            job is not None
            and job.state is JobState.LIVE
            and job.gang_state is GangState.WAITING
            and not self.spent(job, reservation)
            and self._limits.fits_with_preemption(job)
        )

    def reserved_machines(self) -> set[str]:
        """Machines on which a reservation keeps capacity."""
        self._limits.invalidate()
        return {
            name
            for reservation in self._reservation_table.all()
            if self.binding(reservation)
            for name in reservation.slots
        }

    def reserved_resources(self, now: float) -> ReservedResources:
        """What reservations keep, for a round whose turns go by in order."""
        self._limits.invalidate()
        return ReservedResources(
            self._reservation_table,
            self._queue_key_of,
            lambda reservation: self._is_gathering(reservation, now),
        )

    def _queue_key_of(self, reservation: Reservation) -> QueueKey | None:
        """The turn of its gang as it is now, not as the reservation names it; None if it
        binds nobody."""
        return (
            preemption.queue_key(self._cluster.jobs[reservation.job])
            if self.binding(reservation)
            else None
        )

    def _is_gathering(self, reservation: Reservation, now: float) -> bool:
        """Whether not even work that yields may come in between.

        A task that would be stopped before its image is there does nobody any good.
        """
        job = self._cluster.jobs[reservation.job]
        return job.gathering_until > now or self._is_available_soon(reservation, job, now)

    def _is_available_soon(self, reservation: Reservation, job: Job, now: float) -> bool:
        """Whether all capacity of a reservation is likely there within a few heartbeats."""
        known = self._soon_judged.get(job.id)
        if known is not None and known.serial == reservation.serial:
            if now - known.at < self._heartbeat_interval_s:
                return known.soon
        soon = all(
            self._is_slot_available_soon(self._cluster.machines.get(name), job, count, now)
            for name, count in reservation.slots.items()
        )
        self._soon_judged[job.id] = JudgedAvailability(reservation.serial, now, soon)
        return soon

    def _is_slot_available_soon(
        self, machine: Machine | None, job: Job, count: int, now: float
    ) -> bool:
        if machine is None or machine.machine_type is None:
            return False
        offer = self._offers.present_offer(machine, now)
        if offer is None:
            return False
        if machine.state is MachineState.STARTING:
            if now - machine.rented_at > LATE_BOOTS * machine.machine_type.boot_s:
                return False
        # Natural ends only: whether others can be stopped, `GangPlacement` finds out.
        whole = add_resources(NO_RESOURCES, job.need, float(count))
        wait_s = next(
            (delay for delay, available in offer.availability if fits(whole, available)), math.inf
        )
        return wait_s < SOON_HEARTBEATS * self._heartbeat_interval_s

    # -- whether a reservation can be honoured -------------------------------

    def _check_due(self, job: Job, reservation: Reservation) -> bool:
        """Whether a reservation has to be checked: it is new, or machines have changed since."""
        checked = self._checked.get(job.id)
        return (
            checked is None
            or checked.reservation is not reservation
            or checked.fleet_changes != self._cluster.fleet_changes
        )

    def _refuse(self, job: Job, reservation: Reservation) -> bool:
        """Refuse a reservation that can't be honoured; whether that was so."""
        self._checked[job.id] = CheckedReservation(reservation, self._cluster.fleet_changes)
        fault = self._reservation_fault(job, reservation)
        if fault is None:
            return False
        log.info("reservation of %s refused: %s", job.id, fault)
        self.rejected[job.id] = reservation.serial
        return True

    def _reservation_fault(self, job: Job, reservation: Reservation) -> str | None:
        """Why a reservation can't be honoured, whatever time passes."""
        spec = job.spec
        if sum(reservation.slots.values()) != spec.tasks or min(reservation.slots.values()) < 1:
            return "wrong number of tasks"
        zones: dict[str, int] = {}
        for name, count in reservation.slots.items():
            machine = self._cluster.machines.get(name)
            if machine is None or machine.machine_type is None:
                return f"{name} is not known"
            fault = _slot_fault(job, machine, machine.machine_type.name, count)
            if fault is not None:
                return f"{name} is {fault}"
            zones[machine.zone] = zones.get(machine.zone, 0) + count
        if spec.same_place and len(zones) > 1:
            return "more than one zone"
        if spec.scatter and max(zones.values()) > (spec.tasks + 1) // 2:
            return "too many in one zone"
        return None


def _slot_fault(job: Job, machine: Machine, machine_type: str, count: int) -> str | None:
    """What a machine is that can't take so many tasks of a gang."""
    if machine.state in (MachineState.DRAINING, MachineState.RELEASING):
        return "leaving"
    if machine.command_unreachable:
        return "out of reach of commands"
    if not placement_allowed(job.spec, machine_type, machine.zone, machine.spot):
        return "not allowed"
    if count_fitting(job.need, machine.total, count) < count:
        return "too small"
    return None
