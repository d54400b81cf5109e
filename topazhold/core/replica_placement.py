"""Where the replicas of services go: soon, apart from each other, and in nobody's way."""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from topazhold.core import preemption
from topazhold.core.array_placement import ArrayCandidate, zone_of_group
from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.fleet_survey import FleetSurvey
from topazhold.core.jobs import Job, Resources
from topazhold.core.machines import Machine
from topazhold.core.placement_constraints import allowed
from topazhold.core.resources import NO_RESOURCES, add_resources, count_fitting
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
#: A heartbeat comes an interval after the last one, give or take this share of it.
HEARTBEAT_SPREAD = 0.25
#: A machine on which a replica failed is avoided for so many leases.
FAILED_LEASES = 4.0


@dataclass(slots=True)
class ReplicaCandidate:
    """A machine with capacity for so many more replicas of one job, and what the next one costs."""

    machine: Machine
    cost_s: float
    count: int


class PreemptionChoice(NamedTuple):
    """What it costs (in seconds of work) to stop these attempts on a machine."""

    cost_s: float
    name: str
    victims: list[TaskAttempt]


class ReplicaPlacement:
    """Plans services' replicas, first ones and replacements alike.

    Owns, by job, when capacity was last made for a service that had none.
    """

    def __init__(self, cluster: ClusterState, eviction: Eviction) -> None:
        self._cluster = cluster
        self._eviction = eviction
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self._preempted_at: dict[str, float] = {}
        cluster.when_job_forgotten(self._forget)

    def _forget(self, job_id: str) -> None:
        self._preempted_at.pop(job_id, None)

    def place(self, job: Job, survey: FleetSurvey) -> None:
        """Plan as many replicas as there is capacity for, and preempt for those that have none."""
        if not survey.allows_one_more(job):
            return
        taken = survey.reserved.taken(job.id, preemption.queue_key(job))
        places = self._places(job, taken, survey)
        zones = job.zones_used(self._cluster.zone_of)
        if job.spec.same_place:
            only = zone_of_group(
                zones, [ArrayCandidate(each.machine, each.count) for each in places]
            )
            places = [place for place in places if place.machine.zone == only]
        self._place_replicas(job, places, zones, survey)
        if job.waiting_count > 0 and not survey.is_full:
            self._preempt_for(job, taken, zones, survey.now)

    def _place_replicas(
        self, job: Job, places: list[ReplicaCandidate], zones: dict[str, int], survey: FleetSurvey
    ) -> None:
        """The cheapest places first; each replica makes its machine and zone dearer."""
        on_machine: dict[str, int] = {}
        for attempt in job.attempts.values():
            on_machine[attempt.machine] = on_machine.get(attempt.machine, 0) + 1
        tasks = job.waiting_tasks()
        heap = [(place.cost_s, place.machine.name, place) for place in places]
        heapq.heapify(heap)
        while heap and not survey.is_full:
            known_cost_s, name, place = heapq.heappop(heap)
            machine = place.machine
            in_zone = zones.get(machine.zone, 0)
            if _zone_full(job, in_zone):
                continue
            intervals = (
                SAME_MACHINE_HEARTBEATS * on_machine.get(name, 0) + SAME_ZONE_HEARTBEATS * in_zone
            )
            cost_s = place.cost_s + intervals * self._heartbeat_interval_s
            if cost_s > known_cost_s:
                heapq.heappush(heap, (cost_s, name, place))
                continue
            if not self._cluster.recordable(machine, 1):
                continue
            if not survey.allows_one_more(job):
                return
            index = next(tasks, None)
            if index is None:
                return
            survey.place(job, index, machine)
            zones[machine.zone] = in_zone + 1
            on_machine[name] = on_machine.get(name, 0) + 1
            place.count -= 1
            if place.count > 0:
                heapq.heappush(heap, (cost_s, name, place))

    def _places(
        self, job: Job, taken: Mapping[str, Resources], survey: FleetSurvey
    ) -> list[ReplicaCandidate]:
        """Machines that have capacity now."""
        spec = job.spec
        places = []
        for machine in survey.with_capacity:
            if machine.machine_type is None:
                continue
            if not allowed(spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            available = add_resources(machine.free(), taken.get(machine.name, NO_RESOURCES), -1.0)
            count = count_fitting(job.need, available, spec.tasks)
            if count:
                places.append(ReplicaCandidate(machine, self._cost_s(job, machine, survey), count))
        return places

    def _cost_s(self, job: Job, machine: Machine, survey: FleetSurvey) -> float:
        """Seconds until a replica would start on a machine, and what else speaks against it."""
        now = survey.now
        intervals = HINDERS_HEARTBEATS * survey.other_work().hindered_share(machine, job.need)
        if machine.empty:
            intervals += EMPTY_HEARTBEATS
        if machine.spot:
            intervals += SPOT_HEARTBEATS
        intervals += ERROR_HEARTBEATS * len(machine.error_jobs)
        failed_at = job.failed_on.get(machine.name)
        if failed_at is not None and now - failed_at < FAILED_LEASES * self._cluster.lease_s:
            intervals += SAME_MACHINE_HEARTBEATS
        delay_s = self._launch_delay_s(machine, now)
        delay_s += machine.fetch_s(job.spec.image, job.spec.image_gb)
        return delay_s + intervals * self._heartbeat_interval_s

    def _launch_delay_s(self, machine: Machine, now: float) -> float:
        """Seconds until the worker is likely to send a heartbeat, and so can take a launch.

        Whether it can be woken is left aside: that brings its heartbeat no sooner.
        """
        last_heartbeat_at = (
            machine.last_heartbeat_at if machine.last_heartbeat_at is not None else now
        )
        earliest = last_heartbeat_at + (1.0 - HEARTBEAT_SPREAD) * self._heartbeat_interval_s
        latest = last_heartbeat_at + (1.0 + HEARTBEAT_SPREAD) * self._heartbeat_interval_s
        return max(0.0, 0.5 * (max(now, earliest) + latest) - now)

    def _preempt_for(
        self, job: Job, taken: Mapping[str, Resources], zones: Mapping[str, int], now: float
    ) -> None:
        """Stop what costs least for replicas that have no place, as the rules allow."""
        preempted_at = self._preempted_at.get(job.id)
        if preempted_at is not None and now - preempted_at < self._heartbeat_interval_s:
            return
        self._preempted_at[job.id] = now
        coming = 0
        choices: list[PreemptionChoice] = []
        for machine, found in self._preemptible(job, taken, zones, now):
            if not found:
                coming += 1  # something is leaving already
                continue
            cost_s = sum(preemption.loss(attempt, now, job.urgency_level) for attempt in found)
            choices.append(PreemptionChoice(cost_s, machine.name, found))
        choices.sort(key=lambda choice: (choice.cost_s, choice.name))
        for choice in choices[: max(0, job.waiting_count - coming)]:
            for attempt in choice.victims:
                if not attempt.stopping:
                    self._eviction.preempt(attempt, f"capacity for {job.id}", now)

    def _preemptible(
        self, job: Job, taken: Mapping[str, Resources], zones: Mapping[str, int], now: float
    ) -> Iterator[tuple[Machine, list[TaskAttempt]]]:
        """Machines where a replica would fit, and the attempts to stop for it there."""
        cluster = self._cluster
        for machine in cluster.machines.values():
            if not cluster.usable(machine, now) or machine.machine_type is None:
                continue
            if not allowed(job.spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            if _zone_full(job, zones.get(machine.zone, 0)):
                continue
            reserved = taken.get(machine.name, NO_RESOURCES)
            found = preemption.victims(machine, job.need, job, cluster.usage, reserved, now)
            if found is not None:
                yield machine, found


def _zone_full(job: Job, in_zone: int) -> bool:
    """Whether a job whose replicas are to be scattered may have no more in a zone."""
    return job.spec.scatter and in_zone >= (job.spec.tasks + 1) // 2
