"""What a round of planning knows of the whole fleet, and what all plans have in common."""

from __future__ import annotations

import math

from topazhold.core import preemption
from topazhold.core.cluster_state import NO_RESOURCES, LowerWork
from topazhold.core.jobs import GangState, Job, JobState
from topazhold.core.machines import Machine, MachineState, add_resources, fits
from topazhold.core.reservations import QueueKey, Reservation, ReservedResources
from topazhold.core.resource_offers import ResourceOffers
from topazhold.core.task_attempts import AttemptState, TaskAttempt

#: A hold whose room is all there within so many heartbeat intervals binds work that
#: yields, too; a machine that boots longer than so many boot times is not counted on.
SOON_HEARTBEATS = 6.0
LATE_BOOTS = 1.5


class SchedulingRound(ResourceOffers):
    """The common ground of a round of planning.

    What many jobs ask for is added up once per round: what holds keep, which
    machines have room at all, what a team's lower work takes. Done per job, a
    round's cost grew with jobs times machines times holds, and a leader of 150
    machines spent its whole share of a core on it.
    """

    def _begin_round(self, jobs: list[Job], now: float) -> None:
        """What a round of planning needs to know of the whole fleet."""
        self._lower = {}
        self._full = set()
        self._reserved = ReservedResources(
            self.reservation_table,
            self._queue_key_of,
            lambda reservation: self._is_gathering(reservation, now),
        )
        self._needs = needs = {job.need for job in jobs}
        self._least = (
            min(need[0] for need in needs),
            min(need[1] for need in needs),
            min(need[2] for need in needs),
        )
        self._with_capacity = []
        free = total = 0.0
        for machine in self.machines.values():
            if self.usable(machine, now):
                available = machine.free()
                if not machine.spot:
                    free += available[1]
                    total += machine.total[1]
                if fits(self._least, available):
                    self._with_capacity.append(machine)
        # Free cards on ordinary machines beyond the headroom kept there. Classes that
        # are to start within seconds can't wait for others to save and leave; so work
        # that can wait does not fill the last machines.
        self._free_plain = free - self.reserve_share * total

    def _is_gathering(self, reservation: Reservation, now: float) -> bool:
        """Whether not even work that yields may come in between.

        A task that would be stopped before its image is there does nobody any good:
        when hundreds of machines came up together, arrays took those held by gangs
        of two whose other machine was seconds behind.
        """
        job = self.jobs[reservation.job]
        return job.gathering_until > now or self._is_available_soon(reservation, job, now)

    def _is_available_soon(self, reservation: Reservation, job: Job, now: float) -> bool:
        """Whether all room of a hold is likely to be there within a few heartbeat intervals."""
        known = self._known_available_soon.get(job.id)
        if (
            known is not None
            and known[0] == reservation.serial
            and now - known[1] < self.heartbeat_interval_s
        ):
            return known[2]
        soon = True
        for name, count in reservation.slots.items():
            machine = self.machines.get(name)
            known_type = machine is not None and machine.machine_type is not None
            offer = self._present_offer(machine, now) if machine and known_type else None
            if machine is None or offer is None:
                soon = False
                break
            if machine.state is MachineState.STARTING:
                if now - machine.rented_at > LATE_BOOTS * self._boot_s(machine):
                    soon = False
                    break
            # Natural ends only: whether others can be stopped, `_preempt_for_gang` finds out.
            whole = add_resources(NO_RESOURCES, job.need, float(count))
            wait = next(
                (delay for delay, available in offer.availability if fits(whole, available)),
                math.inf,
            )
            if wait >= SOON_HEARTBEATS * self.heartbeat_interval_s:
                soon = False
                break
        self._known_available_soon[job.id] = (reservation.serial, now, soon)
        return soon

    def _claim(self, job: Job) -> None:
        old = self._claims.get(job.spec.team, (0.0, 0.0))
        size = job.spec.tasks
        self._claims[job.spec.team] = (old[0] + job.need[0] * size, old[1] + job.need[1] * size)

    def _claimed(self, job: Job) -> tuple[float, float]:
        return self._claims.get(job.spec.team, (0.0, 0.0))

    def _lower_attempts(self, job: Job) -> list[TaskAttempt]:
        """Runs of the same team that a gang may stop to get at its limit."""
        return [
            attempt
            for other in self.jobs.values()
            if other.spec.team == job.spec.team
            and other.urgency_level > job.urgency_level
            # Work that ranks before the gang would be placed again at once.
            and preemption.priority(other) > preemption.priority(job)
            for attempt in other.attempts.values()
            if attempt.present and not (other.gang and other.gang_state is GangState.STARTING)
        ]

    def _lower_work(self, team_name: str) -> LowerWork:
        """What each job of a team has on machines; added up once per round."""
        found = self._lower.get(team_name)
        if found is not None:
            return found
        found = self._lower[team_name] = []
        for job in self.jobs.values():
            if job.spec.team != team_name or not job.attempts:
                continue
            if job.gang and job.gang_state is GangState.STARTING:
                continue
            count = sum(attempt.present for attempt in job.attempts.values())
            if count:
                found.append(
                    (
                        job.urgency_level,
                        preemption.priority(job),
                        job.need[0] * count,
                        job.need[1] * count,
                    )
                )
        return found

    def _limit_reachable(self, job: Job) -> bool:
        """Whether the gang fits its team's limit, lower work of the team stopped."""
        if self.usage.allows(job, job.spec.tasks):
            return True
        cpus = gpus = 0.0
        priority = preemption.priority(job)
        for urgency_level, of_priority, of_vcpus, of_cards in self._lower_work(job.spec.team):
            if urgency_level > job.urgency_level and of_priority > priority:
                cpus += of_vcpus
                gpus += of_cards
        return self.usage.allows(job, job.spec.tasks, (-cpus, -gpus))

    def _make_limit(self, job: Job, now: float) -> None:
        """Stop the team's own lower work until the gang fits the limit."""
        cpus = gpus = 0.0
        attempts = self._lower_attempts(job)
        attempts.sort(key=lambda attempt: (not attempt.stopping, preemption.loss(attempt, now)))
        for attempt in attempts:
            if self.usage.allows(job, job.spec.tasks, (-cpus, -gpus)):
                return
            cpus += attempt.job.need[0]
            gpus += attempt.job.need[1]
            if not attempt.stopping and attempt.state is not AttemptState.INTENDED:
                self.preempt(attempt, f"limit of {job.spec.team} for {job.id}", now)

    def _waiting_jobs(self, now: float) -> list[Job]:
        jobs = [
            job
            for job in self.jobs.values()
            if job.state is JobState.LIVE
            and job.waiting_count > 0
            and job.not_before <= now
            and not (job.gang and job.gang_state is not GangState.WAITING)
        ]
        jobs.sort(key=lambda job: (preemption.queue_key(job), self._due(job), job.id))
        return jobs

    def _queue_key_of(self, reservation: Reservation) -> QueueKey | None:
        """By what is known now: the hold itself names the turn of when it was made."""
        return (
            preemption.queue_key(self.jobs[reservation.job]) if self._binding(reservation) else None
        )

    def _due(self, job: Job) -> float:
        """When the job should have begun: deadlines by slack, others by arrival."""
        spec = job.spec
        if spec.deadline_s is None:
            return job.arrived
        return (
            job.arrived
            + spec.deadline_s
            - self.estimates.run_s(spec.job_class, spec.estimated_run_s)
        )

    def _new_attempt(
        self, job: Job, index: int, machine: Machine, attempt_number: int, now: float
    ) -> TaskAttempt:
        attempt = TaskAttempt(job, index, attempt_number, machine.name, now)
        attempt.incarnation = machine.incarnation
        machine.attach(attempt)
        self.usage.add(job)
        return attempt

    def _next_attempt_number(self) -> int:
        self.last_attempt_number += 1
        return self.last_attempt_number

    def _recordable(self, machine: Machine, count: int) -> bool:
        """Whether the machine's intents still fit a value with so many more tasks."""
        return len(machine.attempts) + count <= self.max_machine_attempts

    def _binding(self, reservation: Reservation) -> bool:
        """Whether a hold still keeps room: its gang waits and may start."""
        job = self.jobs.get(reservation.job)
        return (
            job is not None
            and job.state is JobState.LIVE
            and job.gang_state is GangState.WAITING
            and not self.spent(job, reservation)
            and self._limit_reachable(job)
        )

    def spent(self, job: Job, reservation: Reservation) -> bool:
        """Whether a hold was used up or refused, so that another is needed."""
        return (
            reservation.serial <= job.used_reservation
            or self.rejected.get(job.id) == reservation.serial
        )
