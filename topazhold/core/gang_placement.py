"""What is placed where: a round of planning, and gangs by their holds."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping

from topazhold.core import gangs, preemption
from topazhold.core.array_placement import MAX_PLACED_TASKS
from topazhold.core.cluster_state import NO_RESOURCES
from topazhold.core.jobs import GangState, Job, Resources
from topazhold.core.machines import Machine, MachineState, add_resources, count_fitting, fits
from topazhold.core.placement_constraints import allowed
from topazhold.core.replica_placement import ReplicaPlacement
from topazhold.core.reservations import Reservation
from topazhold.core.task_attempts import AttemptState, TaskAttempt

log = logging.getLogger(__name__)


class GangPlacement(ReplicaPlacement):
    """Plans of new runs; their intents are written before anything is launched."""

    def wants_plan(self, machine: Machine, now: float) -> bool:
        """Whether a round of planning might place something on this machine."""
        available = machine.free()
        if not fits(self._least, available) or not self.usable(machine, now):
            return False
        # Asked at every report: of the sizes that the last round saw waiting, not of
        # all jobs.
        return any(fits(need, available) for need in self._needs)

    def plan(self, now: float) -> list[TaskAttempt]:
        """New runs; their intents are to be written before anything else."""
        self.refresh_guarantees()
        jobs = self._waiting_jobs(now)
        if not jobs:
            self._needs = set()
            return []
        self._begin_round(jobs, now)
        planned: list[TaskAttempt] = []
        # What gangs whose machines are free are to have of their teams' limits.
        # Without it a team's arrays take up its limit task by task, and a gang
        # that needs more at once waits until they are all done.
        self._claims = {}
        for job in jobs:
            if len(planned) >= MAX_PLACED_TASKS:
                break
            if job.gang:
                self._plan_gang(job, planned, now)
            elif job.service:
                self._plan_service(job, planned, now)
            else:
                self._plan_array(job, planned, now)
        return planned

    def _plan_gang(self, job: Job, planned: list[TaskAttempt], now: float) -> None:
        reservation = self.reservation_table.of_job(job.id)
        if reservation is None or self.spent(job, reservation):
            return
        if self._check_due(job, reservation) and self._refuse(job, reservation):
            return
        if not self._limit_reachable(job):
            return
        taken = self._reserved.taken(job.id, preemption.queue_key(job))
        short: list[tuple[Machine, Resources]] = []
        for name, count in reservation.slots.items():
            machine = self.machines[name]
            available = add_resources(machine.free(), taken.get(name, NO_RESOURCES), -1.0)
            whole = add_resources(NO_RESOURCES, job.need, float(count))
            if not self.usable(machine, now) or not fits(whole, available):
                short.append((machine, whole))
        if short:
            self._preempt_for_gang(job, short, taken, now)
            return
        if not self.usage.allows(job, job.spec.tasks, self._claimed(job)):
            # The machines are free and only the team's own limit is in the way.
            if self._claimed(job) == (0.0, 0.0):
                self._make_limit(job, now)
            self._claim(job)
            return
        if not all(self._recordable(self.machines[n], c) for n, c in reservation.slots.items()):
            return
        attempt_number = self._next_attempt_number()
        attempts: list[TaskAttempt] = []
        tasks = iter(range(job.spec.tasks))
        for name, count in reservation.slots.items():
            for _ in range(count):
                attempts.append(
                    self._new_attempt(job, next(tasks), self.machines[name], attempt_number, now)
                )
        gangs.begin(job, attempts, now)
        self._reserved.release(job.id)
        self._full.clear()
        job.starting_reservation = reservation.serial
        planned += attempts
        log.info(
            "gang %s try %d starts on %s, waited %.1f s",
            job.id,
            attempt_number,
            ",".join(reservation.slots),
            now - job.arrived,
        )

    def _check_due(self, job: Job, reservation: Reservation) -> bool:
        """Whether a hold has to be checked: it is new, or machines have changed since."""
        checked = self._checked.get(job.id)
        return checked is None or checked[0] is not reservation or checked[1] != self.fleet_changes

    def _refuse(self, job: Job, reservation: Reservation) -> bool:
        """Refuse a hold that can't be honoured; whether that was so."""
        self._checked[job.id] = (reservation, self.fleet_changes)
        fault = self._reservation_fault(job, reservation)
        if fault is None:
            return False
        log.info("reservation of %s refused: %s", job.id, fault)
        self.rejected[job.id] = reservation.serial
        return True

    def _reservation_fault(self, job: Job, reservation: Reservation) -> str | None:
        """Why a hold can't be honoured, whatever time passes."""
        spec = job.spec
        if sum(reservation.slots.values()) != spec.tasks or min(reservation.slots.values()) < 1:
            return "wrong number of tasks"
        zones: dict[str, int] = {}
        for name, count in reservation.slots.items():
            machine = self.machines.get(name)
            if machine is None or machine.machine_type is None:
                return f"{name} is not known"
            if machine.state in (MachineState.DRAINING, MachineState.RELEASING):
                return f"{name} is leaving"
            if machine.command_unreachable:
                return f"{name} is deaf"
            if not allowed(spec, machine.machine_type.name, machine.zone, machine.spot):
                return f"{name} is not allowed"
            if count_fitting(job.need, machine.total, count) < count:
                return f"{name} is too small"
            zones[machine.zone] = zones.get(machine.zone, 0) + count
        if spec.same_place and len(zones) > 1:
            return "more than one zone"
        if spec.scatter and max(zones.values()) > (spec.tasks + 1) // 2:
            return "too many in one zone"
        return None

    def _preempt_for_gang(
        self,
        job: Job,
        short: list[tuple[Machine, Resources]],
        taken: Mapping[str, Resources],
        now: float,
    ) -> None:
        """Stop others for a held group, all of it or nothing."""
        chosen: list[TaskAttempt] = []
        for machine, whole in short:
            if not self.usable(machine, now):
                return
            found = preemption.victims(
                machine, whole, job, self.usage, taken.get(machine.name, NO_RESOURCES), now
            )
            if found is None:
                return
            chosen += found
        # From now on not even work that yields may come in between.
        job.gathering_until = now + 2 * self.heartbeat_interval_s
        for attempt in chosen:
            if not attempt.stopping:
                self.preempt(attempt, f"room for {job.id}", now)

    def intents_written(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        self.changes += 1
        for attempt in attempts:
            if attempt.state is AttemptState.INTENDED:
                attempt.written(now)
                # Only now is the hold used up. Used up by a plan whose intents
                # then failed, it would keep its gang from ever starting.
                attempt.job.used_reservation = max(
                    attempt.job.used_reservation, attempt.job.starting_reservation
                )
                if attempt.stopping:
                    self._remove_attempt(attempt, now)
                else:
                    self._wake(self.machines[attempt.machine], now)

    def intents_failed(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        """The transaction failed for good: none of it was or will be written."""
        for attempt in attempts:
            if attempt.state is AttemptState.INTENDED:
                self._remove_attempt(attempt, now)
        self.changes += 1
        for job in {attempt.job for attempt in attempts if attempt.job.gang}:
            if not job.attempts:
                job.enter_gang_state(GangState.WAITING, now)
