"""The leader's validation of reservations: which are binding, consumed or rejected."""

from __future__ import annotations

import logging
import math
from typing import NamedTuple

from topazhold.core import preemption
from topazhold.core.cluster_state import ClusterState
from topazhold.core.job_queue import JobQueue
from topazhold.core.jobs import GangState, Job, JobState
from topazhold.core.machine_room import is_allowed
from topazhold.core.machines import Machine, MachineState
from topazhold.core.reservations import QueueKey, Reservation, ReservationTable, ReservedResources
from topazhold.core.resource_offers import ResourceOffers
from topazhold.core.resources import NO_RESOURCES, add_resources, count_fitting, fits
from topazhold.core.team_limits import TeamLimits

log = logging.getLogger(__name__)

#: Heartbeat intervals within which all capacity of a reservation must become available for it
#: to bind preemptible work too.
AVAILABLE_SOON_HEARTBEATS = 6.0
#: Multiple of its type's boot time after which a booting machine is not counted as available.
OVERDUE_BOOT_FACTOR = 1.5


class CheckedReservation(NamedTuple):
    """The last reservation validated for a gang, and the count of fleet changes at that time."""

    reservation: Reservation
    fleet_changes: int


class AvailabilityCheck(NamedTuple):
    """Whether all capacity of the reservation with this serial is available soon, as of `at`."""

    serial: int
    at: float
    is_soon: bool


class BindingReservations:
    """Validates the reservations of all controllers, as leader.

    Owns, by gang: `rejected` (the serial of a reservation that can't be satisfied), the last
    validated reservation, the last availability check, and the time since which the gang has
    had no usable reservation.
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
        self._availability_checks: dict[str, AvailabilityCheck] = {}
        self._unreserved_since: dict[str, float] = {}
        cluster.on_job_forgotten(self._forget)

    def _forget(self, job_id: str) -> None:
        self.rejected.pop(job_id, None)
        self._checked.pop(job_id, None)
        self._availability_checks.pop(job_id, None)
        self._unreserved_since.pop(job_id, None)

    # -- gangs without a reservation ---------------------------------------

    def waiting_gangs(self, now: float) -> list[Job]:
        """Return waiting gangs whose teams' limits allow them to start."""
        self._limits.invalidate()
        return [
            job
            for job in self._queue.waiting_jobs(now)
            if job.gang and self._limits.fits_with_preemption(job)
        ]

    def largest_gang(self, now: float) -> Job | None:
        """Return the waiting gang with the most tasks among those confined to one zone."""
        gangs = [job for job in self.waiting_gangs(now) if job.spec.same_zone]
        return max(gangs, key=lambda job: (job.spec.tasks, job.id), default=None)

    def needs_reservation(self, job: Job) -> bool:
        """Return whether the gang lacks a usable reservation."""
        reservation = self._reservation_table.of_job(job.id)
        return reservation is None or self.is_consumed_or_rejected(job, reservation)

    def unreserved_s(self, job: Job, now: float) -> float:
        """Return how long, in seconds, the gang has had no usable reservation."""
        if not self.needs_reservation(job):
            self._unreserved_since.pop(job.id, None)
            return 0.0
        return now - self._unreserved_since.setdefault(job.id, now)

    # -- binding reservations ------------------------------------------------

    def valid_reservation(self, job: Job) -> Reservation | None:
        """Return the gang's reservation; None if it has none, or it is consumed or invalid."""
        reservation = self._reservation_table.of_job(job.id)
        if reservation is None or self.is_consumed_or_rejected(job, reservation):
            return None
        if self._is_check_due(job, reservation) and self._reject_if_invalid(job, reservation):
            return None
        return reservation

    def is_consumed_or_rejected(self, job: Job, reservation: Reservation) -> bool:
        """Return whether a start consumed the reservation, or it was rejected."""
        return (
            reservation.serial <= job.used_reservation
            or self.rejected.get(job.id) == reservation.serial
        )

    def is_binding(self, reservation: Reservation) -> bool:
        """Return whether a reservation holds capacity: its gang is waiting and may start."""
        job = self._cluster.jobs.get(reservation.job)
        return (
            job is not None
            and job.state is JobState.LIVE
            and job.gang_state is GangState.WAITING
            and not self.is_consumed_or_rejected(job, reservation)
            and self._limits.fits_with_preemption(job)
        )

    def reserved_machines(self) -> set[str]:
        """Return the machines on which a binding reservation holds capacity."""
        self._limits.invalidate()
        return {
            name
            for reservation in self._reservation_table.all()
            if self.is_binding(reservation)
            for name in reservation.slots
        }

    def reserved_resources(self, now: float) -> ReservedResources:
        """Return the reserved resources for a scheduling round, which queries in queue order."""
        self._limits.invalidate()
        return ReservedResources(
            self._reservation_table,
            self._queue_key_of,
            lambda reservation: self._binds_preemptible(reservation, now),
        )

    def _queue_key_of(self, reservation: Reservation) -> QueueKey | None:
        """Return the current queue key of the gang, which may differ from the reservation's.

        None if the reservation is not binding.
        """
        return (
            preemption.queue_key(self._cluster.jobs[reservation.job])
            if self.is_binding(reservation)
            else None
        )

    def _binds_preemptible(self, reservation: Reservation, now: float) -> bool:
        """Return whether the reservation binds preemptible work too.

        A task that would be preempted before its image is fetched is of no use.
        """
        job = self._cluster.jobs[reservation.job]
        return job.preempting_until > now or self._is_available_soon(reservation, job, now)

    def _is_available_soon(self, reservation: Reservation, job: Job, now: float) -> bool:
        """Return whether all capacity of a reservation is likely available in a few heartbeats."""
        last_check = self._availability_checks.get(job.id)
        if last_check is not None and last_check.serial == reservation.serial:
            if now - last_check.at < self._heartbeat_interval_s:
                return last_check.is_soon
        is_soon = all(
            self._is_slot_available_soon(self._cluster.machines.get(name), job, count, now)
            for name, count in reservation.slots.items()
        )
        self._availability_checks[job.id] = AvailabilityCheck(reservation.serial, now, is_soon)
        return is_soon

    def _is_slot_available_soon(
        self, machine: Machine | None, job: Job, count: int, now: float
    ) -> bool:
        if machine is None or machine.machine_type is None:
            return False
        offer = self._offers.current_offer(machine, now)
        if offer is None:
            return False
        if machine.state is MachineState.STARTING:
            if now - machine.rented_at > OVERDUE_BOOT_FACTOR * machine.machine_type.boot_s:
                return False
        # Counts only tasks that end by themselves: `GangPlacement` decides on preemption.
        total_need = add_resources(NO_RESOURCES, job.need, float(count))
        wait_s = next(
            (delay_s for delay_s, available in offer.availability if fits(total_need, available)),
            math.inf,
        )
        return wait_s < AVAILABLE_SOON_HEARTBEATS * self._heartbeat_interval_s

    # -- validation ----------------------------------------------------------

    def _is_check_due(self, job: Job, reservation: Reservation) -> bool:
        """Return whether the reservation is new, or the fleet changed since its last check."""
        checked = self._checked.get(job.id)
        return (
            checked is None
            or checked.reservation is not reservation
            or checked.fleet_changes != self._cluster.fleet_changes
        )

    def _reject_if_invalid(self, job: Job, reservation: Reservation) -> bool:
        """Reject a reservation that can't be satisfied; return whether it was rejected."""
        self._checked[job.id] = CheckedReservation(reservation, self._cluster.fleet_changes)
        reason = self._rejection_reason(job, reservation)
        if reason is None:
            return False
        log.info("reservation of %s rejected: %s", job.id, reason)
        self.rejected[job.id] = reservation.serial
        return True

    def _rejection_reason(self, job: Job, reservation: Reservation) -> str | None:
        """Return why the reservation can never be satisfied; None if it is valid."""
        spec = job.spec
        if sum(reservation.slots.values()) != spec.tasks or min(reservation.slots.values()) < 1:
            return "wrong number of tasks"
        zones: dict[str, int] = {}
        for name, count in reservation.slots.items():
            machine = self._cluster.machines.get(name)
            if machine is None or machine.machine_type is None:
                return f"{name} is not known"
            reason = _slot_rejection_reason(job, machine, count)
            if reason is None and count > self._cluster.max_machine_attempts:
                reason = "limited to fewer tasks by the size of its intents"
            if reason is not None:
                return f"{name} is {reason}"
            zones[machine.zone] = zones.get(machine.zone, 0) + count
        if spec.same_zone and len(zones) > 1:
            return "more than one zone"
        if spec.spread_zones and max(zones.values()) > (spec.tasks + 1) // 2:
            return "too many in one zone"
        return None


def _slot_rejection_reason(job: Job, machine: Machine, count: int) -> str | None:
    """Return why a machine can't take `count` tasks of a gang; None if it can."""
    if machine.state in (MachineState.DRAINING, MachineState.RELEASING):
        return "leaving"
    if machine.command_unreachable:
        return "out of reach of commands"
    if not is_allowed(machine, job):
        return "not allowed"
    if count_fitting(job.need, machine.total, count) < count:
        return "too small"
    return None
