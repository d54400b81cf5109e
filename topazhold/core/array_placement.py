"""Where the tasks of arrays go: one by one, wherever they start soonest."""

from __future__ import annotations

from collections.abc import Mapping

from topazhold.core import preemption
from topazhold.core.cluster_state import NO_RESOURCES
from topazhold.core.heartbeat_reconciliation import BAD_JOB_MACHINES
from topazhold.core.jobs import Job, Resources
from topazhold.core.machines import Machine, add_resources, count_fitting
from topazhold.core.placement_constraints import allowed
from topazhold.core.scheduling_round import SchedulingRound
from topazhold.core.task_attempts import TaskAttempt

#: Tasks of an array that get room back from other teams at once.
MAX_PREEMPTED = 16
#: Runs planned in one round.
MAX_PLACED_TASKS = 96


class ArrayPlacement(SchedulingRound):
    """Plans of arrays' tasks."""

    def _plan_array(self, job: Job, planned: list[TaskAttempt], now: float) -> None:
        spec = job.spec
        if not self.usage.allows(job, 1, self._claimed(job)):
            return  # its team's limit, whatever room there is
        taken = self._reserved.taken(job.id, preemption.queue_key(job), spec.checkpoint_s > 0)
        places = self._array_places(job, taken, now)
        zones = job.zones_used(self.zone_of) if spec.same_place or spec.scatter else {}
        max_in_zone = (spec.tasks + 1) // 2
        only: str | None = None
        if spec.same_place:
            only = self._array_zone(zones, places)
        tasks = job.waiting_tasks()
        patient = self._patient(job, now)
        placed_all = False
        for machine, count in places:
            if only is not None and machine.zone != only:
                continue
            while count > 0 and len(planned) < MAX_PLACED_TASKS:
                if not self._recordable(machine, 1):
                    break
                if patient and not machine.spot and self._free_plain < job.need[1]:
                    break
                if not self.usage.allows(job, 1, self._claimed(job)):
                    break
                if spec.scatter and zones.get(machine.zone, 0) >= max_in_zone:
                    break
                index = next(tasks, None)
                if index is None:
                    placed_all = True
                    break
                attempt = self._new_attempt(job, index, machine, self._next_attempt_number(), now)
                job.add_attempt(attempt)
                planned.append(attempt)
                if not machine.spot:
                    self._free_plain -= job.need[1]
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
                count -= 1
            if placed_all:
                break
        if not placed_all and job.waiting_count > 0:
            self._array_is_starving(job, taken, now)
        else:
            self._starved_since.pop(job.id, None)

    def _patient(self, job: Job, now: float) -> bool:
        """Whether the job may wait: no quick start is aimed at, and there is slack.

        Also within its guarantee, if it may use spot machines: ordinary ones are all
        that those have who may not.
        """
        if not self.keeps_reserve or job.spec.job_class in self.wait_objectives:
            return False
        if job.within_guarantee and not job.spec.spot:
            return False
        # Its tasks seldom start all at once: half a run's time is left for that.
        run_s = self.estimates.run_s(job.spec.job_class, job.spec.estimated_run_s)
        return now < self._due(job) - self.lease_s - 0.5 * run_s

    def _array_zone(self, zones: dict[str, int], places: list[tuple[Machine, int]]) -> str:
        """The zone that the job is in already, or the roomiest."""
        if zones:
            return next(iter(zones)) if len(zones) == 1 else "\0none"
        sums: dict[str, int] = {}
        for machine, count in places:
            sums[machine.zone] = sums.get(machine.zone, 0) + count
        return max(sums, key=lambda zone: (sums[zone], zone), default="\0none")

    def _array_places(
        self, job: Job, taken: Mapping[str, Resources], now: float
    ) -> list[tuple[Machine, int]]:
        """Machines with room, the ones where tasks start soonest first.

        Where an array finds none, one of the same kind whose turn comes later finds none
        in this round: holds keep the more from it, and room only gets less.
        """
        spec = job.spec
        urgency_level = job.urgency_level if spec.checkpoint_s > 0 else None
        types = tuple(spec.machine_types) if spec.machine_types is not None else None
        kind = (job.need, urgency_level, types, spec.zone, spec.spot)
        if kind in self._full:
            return []
        found = []
        for machine in self._with_capacity:
            # Usable when the round began, and nothing is heard in between.
            if machine.machine_type is None:
                continue
            if not allowed(spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            if machine.name in job.failed_on and len(job.failed_on) < BAD_JOB_MACHINES:
                continue
            available = add_resources(machine.free(), taken.get(machine.name, NO_RESOURCES), -1.0)
            count = count_fitting(job.need, available, spec.tasks)
            if count:
                cost = machine.fetch_s(spec.image, spec.image_gb)
                if spec.spot and not machine.spot:
                    cost += 4 * self.heartbeat_interval_s
                if machine.empty:
                    cost += 2 * self.heartbeat_interval_s  # an empty machine can be returned
                cost += 5 * self.heartbeat_interval_s * len(machine.error_jobs)
                found.append((cost, available[1], machine.name, machine, count))
        if not found and not job.failed_on:
            self._full.add(kind)
        found.sort(key=lambda place: place[:3])
        return [(place[3], place[4]) for place in found]

    def _array_is_starving(self, job: Job, taken: Mapping[str, Resources], now: float) -> None:
        """Within its guarantee a job gets back what other teams have borrowed."""
        if not job.within_guarantee or not self.usage.allows(job, 1, self._claimed(job)):
            return
        since = self._starved_since.setdefault(job.id, now)
        if now - since < 2 * self.heartbeat_interval_s:
            return
        self._starved_since[job.id] = now
        wanted = min(job.waiting_count, MAX_PREEMPTED)
        choices: list[tuple[float, str]] = []
        for machine in self.machines.values():
            if not self.usable(machine, now) or machine.machine_type is None:
                continue
            if not allowed(job.spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            reserved = taken.get(machine.name, NO_RESOURCES)
            found = preemption.victims(machine, job.need, job, self.usage, reserved, now)
            if found:
                cost = sum(preemption.loss(attempt, now, job.urgency_level) for attempt in found)
                choices.append((cost, machine.name))
        # The cheapest first: a lone task of an urgent gang must not leave for one
        # of an array where other arrays' tasks could.
        for _, name in sorted(choices):
            while wanted > 0:
                reserved = taken.get(name, NO_RESOURCES)
                machine = self.machines[name]
                found = preemption.victims(machine, job.need, job, self.usage, reserved, now)
                if not found:
                    break
                for attempt in found:
                    self.preempt(attempt, f"guarantee of {job.spec.team}", now)
                wanted -= 1
