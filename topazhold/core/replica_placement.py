"""Placement of service replicas.

A replica should start soon, apart from the job's other replicas, and where it displaces the
least other work.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from topazhold.core import preemption
from topazhold.core.array_placement import ArrayCandidate, choose_shared_zone
from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.fleet_survey import FleetSurvey
from topazhold.core.jobs import Job, Resources
from topazhold.core.machine_room import room_for, takes_job
from topazhold.core.machines import Machine
from topazhold.core.resources import NO_RESOURCES
from topazhold.core.task_attempts import TaskAttempt

#: Placement penalties in heartbeat intervals, added to the time until a replica would start: a
#: machine or zone with another replica of the job, a machine that would fit fewer tasks of other
#: jobs, an empty machine, which could otherwise be returned, a spot machine, which the cloud can
#: reclaim, and each job that has failed on the machine.
SAME_MACHINE_PENALTY_HEARTBEATS = 20.0
SAME_ZONE_PENALTY_HEARTBEATS = 0.1
DISPLACEMENT_PENALTY_HEARTBEATS = 8.0
EMPTY_PENALTY_HEARTBEATS = 3.0
SPOT_PENALTY_HEARTBEATS = 10.0
ERROR_PENALTY_HEARTBEATS = 5.0
#: Share of the heartbeat interval by which a heartbeat may be early or late.
HEARTBEAT_JITTER = 0.25
#: Lease durations for which a machine is avoided after a replica failed on it.
FAILURE_AVOIDANCE_LEASES = 4.0


@dataclass(slots=True)
class ReplicaCandidate:
    """A machine, the cost of a replica there, and how many more replicas it can take."""

    machine: Machine
    cost_s: float
    count: int


class PreemptionChoice(NamedTuple):
    """Attempts on a machine that could be preempted, and their cost in seconds of work."""

    cost_s: float
    name: str
    victims: list[TaskAttempt]


class ReplicaPlacement:
    """Plans the replicas of services, first ones and replacements alike.

    Owns, by job, the time of the last preemption for a service without capacity.
    """

    def __init__(self, cluster: ClusterState, eviction: Eviction) -> None:
        self._cluster = cluster
        self._eviction = eviction
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self._preempted_at: dict[str, float] = {}
        cluster.on_job_forgotten(self._forget)

    def _forget(self, job_id: str) -> None:
        self._preempted_at.pop(job_id, None)

    def place(self, job: Job, survey: FleetSurvey) -> None:
        """Plan as many replicas as there is capacity for, and preempt for the others."""
        if not survey.allows_one_more(job):
            return
        reserved_by_machine = survey.reserved.reserved_for_others(job.id, preemption.queue_key(job))
        candidates = self._candidates(job, reserved_by_machine, survey)
        zones = job.zones_used(self._cluster.zone_of)
        if job.spec.same_zone:
            required_zone = choose_shared_zone(
                zones,
                [ArrayCandidate(candidate.machine, candidate.count) for candidate in candidates],
            )
            candidates = [
                candidate for candidate in candidates if candidate.machine.zone == required_zone
            ]
        self._place_replicas(job, candidates, zones, survey)
        if job.waiting_count > 0 and not survey.is_full:
            self._preempt_for(job, reserved_by_machine, zones, survey.now)

    def _place_replicas(
        self, job: Job, options: list[ReplicaCandidate], zones: dict[str, int], survey: FleetSurvey
    ) -> None:
        """Fill the cheapest options first; each replica raises its machine's and zone's cost."""
        on_machine: dict[str, int] = {}
        for attempt in job.attempts.values():
            on_machine[attempt.machine] = on_machine.get(attempt.machine, 0) + 1
        tasks = job.pop_waiting_tasks()
        heap = [(candidate.cost_s, candidate.machine.name, candidate) for candidate in options]
        heapq.heapify(heap)
        while heap and not survey.is_full:
            queued_cost_s, name, candidate = heapq.heappop(heap)
            machine = candidate.machine
            in_zone = zones.get(machine.zone, 0)
            if _zone_full(job, in_zone):
                continue
            penalty_heartbeats = (
                SAME_MACHINE_PENALTY_HEARTBEATS * on_machine.get(name, 0)
                + SAME_ZONE_PENALTY_HEARTBEATS * in_zone
            )
            cost_s = candidate.cost_s + penalty_heartbeats * self._heartbeat_interval_s
            if cost_s > queued_cost_s:
                heapq.heappush(heap, (cost_s, name, candidate))
                continue
            if not survey.allows_one_more(job):
                return
            index = next(tasks, None)
            if index is None:
                return
            survey.place(job, index, machine)
            zones[machine.zone] = in_zone + 1
            on_machine[name] = on_machine.get(name, 0) + 1
            candidate.count -= 1
            if candidate.count > 0:
                heapq.heappush(heap, (cost_s, name, candidate))

    def _candidates(
        self, job: Job, reserved_by_machine: Mapping[str, Resources], survey: FleetSurvey
    ) -> list[ReplicaCandidate]:
        """Return the machines that have capacity now."""
        candidates = []
        for machine in survey.with_capacity:
            reserved = reserved_by_machine.get(machine.name, NO_RESOURCES)
            count = room_for(self._cluster, machine, job, survey.now, reserved)
            if count:
                candidates.append(
                    ReplicaCandidate(machine, self._cost_s(job, machine, survey), count)
                )
        return candidates

    def _cost_s(self, job: Job, machine: Machine, survey: FleetSurvey) -> float:
        """Return the seconds until a replica would start on a machine, plus penalties."""
        now = survey.now
        penalty_heartbeats = (
            DISPLACEMENT_PENALTY_HEARTBEATS
            * survey.non_service_sizes().displaced_share(machine, job.need)
        )
        if machine.empty:
            penalty_heartbeats += EMPTY_PENALTY_HEARTBEATS
        if machine.spot:
            penalty_heartbeats += SPOT_PENALTY_HEARTBEATS
        penalty_heartbeats += ERROR_PENALTY_HEARTBEATS * len(machine.error_jobs)
        failures = job.failed_on.get(machine.name)
        if (
            failures is not None
            and now - failures.last_at < FAILURE_AVOIDANCE_LEASES * self._cluster.lease_s
        ):
            penalty_heartbeats += SAME_MACHINE_PENALTY_HEARTBEATS
        delay_s = self._launch_delay_s(machine, now)
        delay_s += machine.fetch_s(job.spec.image, job.spec.image_gb)
        return delay_s + penalty_heartbeats * self._heartbeat_interval_s

    def _launch_delay_s(self, machine: Machine, now: float) -> float:
        """Return the expected seconds until the worker's next heartbeat, when it can get a launch.

        Whether the worker can be woken is ignored: that does not bring its heartbeat forward.
        """
        last_heartbeat_at = (
            machine.last_heartbeat_at if machine.last_heartbeat_at is not None else now
        )
        earliest = last_heartbeat_at + (1.0 - HEARTBEAT_JITTER) * self._heartbeat_interval_s
        latest = last_heartbeat_at + (1.0 + HEARTBEAT_JITTER) * self._heartbeat_interval_s
        return max(0.0, 0.5 * (max(now, earliest) + latest) - now)

    def _preempt_for(
        self,
        job: Job,
        reserved_by_machine: Mapping[str, Resources],
        zones: Mapping[str, int],
        now: float,
    ) -> None:
        """Preempt the cheapest victims that the rules allow, for replicas without capacity."""
        preempted_at = self._preempted_at.get(job.id)
        if preempted_at is not None and now - preempted_at < self._heartbeat_interval_s:
            return
        self._preempted_at[job.id] = now
        already_freeing = 0
        choices: list[PreemptionChoice] = []
        for machine, victims in self._preemption_options(job, reserved_by_machine, zones, now):
            if not victims:
                already_freeing += 1  # tasks that are stopping already make enough room
                continue
            cost_s = sum(
                preemption.preemption_cost_s(attempt, now, job.urgency_level) for attempt in victims
            )
            choices.append(PreemptionChoice(cost_s, machine.name, victims))
        choices.sort(key=lambda choice: (choice.cost_s, choice.name))
        for choice in choices[: max(0, job.waiting_count - already_freeing)]:
            for attempt in choice.victims:
                if not attempt.stopping:
                    self._eviction.preempt(attempt, f"capacity for {job.id}", now)

    def _preemption_options(
        self,
        job: Job,
        reserved_by_machine: Mapping[str, Resources],
        zones: Mapping[str, int],
        now: float,
    ) -> Iterator[tuple[Machine, list[TaskAttempt]]]:
        """Yield machines where a replica could fit, and the attempts to preempt for it there."""
        cluster = self._cluster
        for machine in cluster.machines.values():
            if not cluster.usable(machine, now) or not takes_job(machine, job, now):
                continue
            if _zone_full(job, zones.get(machine.zone, 0)):
                continue
            reserved = reserved_by_machine.get(machine.name, NO_RESOURCES)
            victims = preemption.select_victims(
                machine, job.need, job, cluster.usage, reserved, now
            )
            if victims is not None:
                yield machine, victims


def _zone_full(job: Job, in_zone: int) -> bool:
    """Return whether `in_zone` is the maximum of a job that must spread over zones."""
    return job.spec.spread_zones and in_zone >= (job.spec.tasks + 1) // 2
