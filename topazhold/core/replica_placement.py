"""Where the replicas of services go: soon, apart from each other, and in nobody's way."""

from __future__ import annotations

import heapq
from collections.abc import Mapping

from topazhold.core import preemption
from topazhold.core.array_placement import MAX_PLACED_TASKS, ArrayPlacement
from topazhold.core.cluster_state import NO_RESOURCES
from topazhold.core.jobs import Job, JobState, Resources
from topazhold.core.machines import Machine, add_resources, count_fitting
from topazhold.core.placement_constraints import allowed
from topazhold.core.task_attempts import TaskAttempt

#: What a place costs on top of the time until a replica starts there, in heartbeat intervals:
#: where another replica of the job is, where the machine takes less other work from then
#: on, where it is empty and could be returned, or may be taken back, or fails tasks.
SAME_MACHINE_HEARTBEATS = 20.0
SAME_ZONE_HEARTBEATS = 0.1
HINDERS_HEARTBEATS = 8.0
EMPTY_HEARTBEATS = 3.0
SPOT_HEARTBEATS = 10.0
ERROR_HEARTBEATS = 5.0
#: A report comes a period after the last one, give or take this share of it.
HEARTBEAT_SPREAD = 0.25
#: A machine on which a replica failed is avoided for so many leases.
FAILED_LEASES = 4.0
#: Kinds of other work that are looked at to tell whether a replica is in their way.
MAX_KINDS = 24


class ReplicaCandidate:
    """A machine with room for replicas of one job."""

    __slots__ = ("cost_s", "count", "machine")

    def __init__(self, machine: Machine, cost_s: float, count: int) -> None:
        self.machine = machine
        self.cost_s = cost_s
        self.count = count


class ReplicaPlacement(ArrayPlacement):
    """Plans of services' replicas, first ones and replacements alike."""

    def _begin_round(self, jobs: list[Job], now: float) -> None:
        super()._begin_round(jobs, now)
        self._work_kinds = None
        self._hindrances = {}

    def _plan_service(self, job: Job, planned: list[TaskAttempt], now: float) -> None:
        if not self.usage.allows(job, 1, self._claimed(job)):
            return  # its team's limit, whatever room there is
        taken = self._reserved.taken(job.id, preemption.queue_key(job))
        places = self._service_places(job, taken, now)
        zones = job.zones_used(self.zone_of)
        if job.spec.same_place:
            pairs = [(place.machine, place.count) for place in places]
            only = self._array_zone(zones, pairs)
            places = [place for place in places if place.machine.zone == only]
        self._place_replicas(job, places, zones, planned, now)
        if job.waiting_count > 0 and len(planned) < MAX_PLACED_TASKS:
            self._preempt_for_replica(job, taken, zones, now)

    def _place_replicas(
        self,
        job: Job,
        places: list[ReplicaCandidate],
        zones: dict[str, int],
        planned: list[TaskAttempt],
        now: float,
    ) -> None:
        """The cheapest places first; each replica makes its machine and zone dearer."""
        on_machine: dict[str, int] = {}
        for attempt in job.attempts.values():
            on_machine[attempt.machine] = on_machine.get(attempt.machine, 0) + 1
        tasks = job.waiting_tasks()
        heap = [(place.cost_s, place.machine.name, place) for place in places]
        heapq.heapify(heap)
        while heap and len(planned) < MAX_PLACED_TASKS:
            known_cost_s, name, place = heapq.heappop(heap)
            machine = place.machine
            in_zone = zones.get(machine.zone, 0)
            if self._zone_full(job, in_zone):
                continue
            heartbeats = (
                SAME_MACHINE_HEARTBEATS * on_machine.get(name, 0) + SAME_ZONE_HEARTBEATS * in_zone
            )
            cost_s = place.cost_s + heartbeats * self.heartbeat_interval_s
            if cost_s > known_cost_s:
                heapq.heappush(heap, (cost_s, name, place))
                continue
            if not self._recordable(machine, 1):
                continue
            if not self.usage.allows(job, 1, self._claimed(job)):
                return
            index = next(tasks, None)
            if index is None:
                return
            attempt = self._new_attempt(job, index, machine, self._next_attempt_number(), now)
            job.add_attempt(attempt)
            planned.append(attempt)
            zones[machine.zone] = in_zone + 1
            on_machine[name] = on_machine.get(name, 0) + 1
            place.count -= 1
            if place.count > 0:
                heapq.heappush(heap, (cost_s, name, place))

    @staticmethod
    def _zone_full(job: Job, in_zone: int) -> bool:
        return job.spec.scatter and in_zone >= (job.spec.tasks + 1) // 2

    def _service_places(
        self, job: Job, taken: Mapping[str, Resources], now: float
    ) -> list[ReplicaCandidate]:
        """Machines that have room now."""
        spec = job.spec
        places = []
        for machine in self._with_capacity:
            if machine.machine_type is None:
                continue
            if not allowed(spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            available = add_resources(machine.free(), taken.get(machine.name, NO_RESOURCES), -1.0)
            count = count_fitting(job.need, available, spec.tasks)
            if count:
                places.append(
                    ReplicaCandidate(machine, self._place_cost_s(job, machine, now), count)
                )
        return places

    def _place_cost_s(self, job: Job, machine: Machine, now: float) -> float:
        """Time until a replica would start on a machine, and what else speaks against it."""
        heartbeats = HINDERS_HEARTBEATS * self._hindrance(machine, job.need)
        if machine.empty:
            heartbeats += EMPTY_HEARTBEATS
        if machine.spot:
            heartbeats += SPOT_HEARTBEATS
        heartbeats += ERROR_HEARTBEATS * len(machine.error_jobs)
        failed_at = job.failed_on.get(machine.name)
        if failed_at is not None and now - failed_at < FAILED_LEASES * self.lease_s:
            heartbeats += SAME_MACHINE_HEARTBEATS
        delay_s = self._launch_delay_s(machine, now)
        delay_s += machine.fetch_s(job.spec.image, job.spec.image_gb)
        return delay_s + heartbeats * self.heartbeat_interval_s

    def _launch_delay_s(self, machine: Machine, now: float) -> float:
        """How long until the worker is likely to report, and so can take a launch.

        Whether it can be woken is left aside: of 141 workers that were, none reported any
        sooner (simulated machines).
        """
        last_heartbeat_at = (
            machine.last_heartbeat_at if machine.last_heartbeat_at is not None else now
        )
        earliest = last_heartbeat_at + (1.0 - HEARTBEAT_SPREAD) * self.heartbeat_interval_s
        latest = last_heartbeat_at + (1.0 + HEARTBEAT_SPREAD) * self.heartbeat_interval_s
        return max(0.0, 0.5 * (max(now, earliest) + latest) - now)

    def _hindrance(self, machine: Machine, need: Resources) -> float:
        """Of the kinds of other work, the share of which the machine would take fewer tasks."""
        assert machine.machine_type is not None
        services = NO_RESOURCES
        for attempt in machine.attempts.values():
            if attempt.job.service:
                services = add_resources(services, attempt.job.need)
        key = (machine.machine_type.name, round(services[0], 3), round(services[2], 3), need)
        found = self._hindrances.get(key)
        if found is None:
            before = add_resources(machine.total, services, -1.0)
            found = self._hindrances[key] = self._lost_share(
                before, add_resources(before, need, -1.0)
            )
        return found

    def _lost_share(self, before: Resources, after: Resources) -> float:
        kinds = self._other_work()
        lost = [
            kind
            for kind in kinds
            if count_fitting(kind, after, MAX_PLACED_TASKS)
            < count_fitting(kind, before, MAX_PLACED_TASKS)
        ]
        return len(lost) / len(kinds) if kinds else 0.0

    def _other_work(self) -> list[Resources]:
        """The sizes of tasks of other unfinished jobs, the largest first."""
        if self._work_kinds is None:
            sizes = {
                job.need
                for job in self.jobs.values()
                if job.state is JobState.LIVE and not job.service
            }
            largest_first = sorted(
                sizes, key=lambda need: (need[1], need[0], need[2]), reverse=True
            )
            self._work_kinds = largest_first[:MAX_KINDS]
        return self._work_kinds

    def _preempt_for_replica(
        self, job: Job, taken: Mapping[str, Resources], zones: Mapping[str, int], now: float
    ) -> None:
        """Stop what costs least for replicas that have no place, as the rules allow."""
        asked_at = self._starved_since.get(job.id)
        if asked_at is not None and now - asked_at < self.heartbeat_interval_s:
            return
        self._starved_since[job.id] = now
        coming = 0
        choices: list[tuple[float, str, list[TaskAttempt]]] = []
        for machine in self.machines.values():
            if not self.usable(machine, now) or machine.machine_type is None:
                continue
            if not allowed(job.spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            if self._zone_full(job, zones.get(machine.zone, 0)):
                continue
            reserved = taken.get(machine.name, NO_RESOURCES)
            found = preemption.victims(machine, job.need, job, self.usage, reserved, now)
            if found is None:
                continue
            if not found:
                coming += 1  # something is leaving already
                continue
            cost = sum(preemption.loss(attempt, now, job.urgency_level) for attempt in found)
            choices.append((cost, machine.name, found))
        choices.sort(key=lambda choice: choice[:2])
        for _, _, attempts in choices[: max(0, job.waiting_count - coming)]:
            for attempt in attempts:
                if not attempt.stopping:
                    self.preempt(attempt, f"room for {job.id}", now)
