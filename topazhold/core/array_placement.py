"""Placement of array tasks: one by one, on the machines where they start soonest."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from topazhold.core import preemption
from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.fleet_survey import FleetSurvey
from topazhold.core.job_queue import JobQueue
from topazhold.core.jobs import DISTANT_PAST, Job, Resources
from topazhold.core.machine_room import room_for, takes_job
from topazhold.core.machines import Machine
from topazhold.core.resources import NO_RESOURCES
from topazhold.core.start_objectives import StartObjectives

log = logging.getLogger(__name__)

#: Tasks of an array for which capacity is reclaimed from other teams in one round.
MAX_RECLAIMED_TASKS = 16
#: Heartbeat intervals that an array without capacity waits before each reclaim from other teams.
RECLAIM_INTERVAL_HEARTBEATS = 2
#: Placement penalties in heartbeat intervals, added to the time until a task would start: an
#: on-demand machine for a job that may use spot machines, an empty machine, which could otherwise
#: be returned, and each job that has failed on the machine.
NOT_SPOT_PENALTY_HEARTBEATS = 4
EMPTY_PENALTY_HEARTBEATS = 2
ERROR_PENALTY_HEARTBEATS = 5
#: Share of a task's run time that is left as slack, since a job's tasks seldom start all at once.
STAGGERED_START_SHARE = 0.5
#: Zone name that matches no machine, for tasks that can go to no zone.
NO_ZONE = "\0none"


class ArrayCandidate(NamedTuple):
    """A machine, and the number of tasks of one job that it has capacity for."""

    machine: Machine
    slots: int


class ReclaimChoice(NamedTuple):
    """A machine, and the cost in seconds of work of preempting for one task there."""

    cost_s: float
    name: str


def choose_shared_zone(zones: Mapping[str, int], candidates: Iterable[ArrayCandidate]) -> str:
    """Return the zone for tasks that must share one.

    That is the zone that some of them are in already, or else the one with the most capacity.
    """
    if zones:
        return next(iter(zones)) if len(zones) == 1 else NO_ZONE
    slots_by_zone: dict[str, int] = {}
    for machine, count in candidates:
        slots_by_zone[machine.zone] = slots_by_zone.get(machine.zone, 0) + count
    return max(slots_by_zone, key=lambda zone: (slots_by_zone[zone], zone), default=NO_ZONE)


class ArrayPlacement:
    """Plans the tasks of arrays.

    Owns, by job, the time since which an array has found no capacity, or of its last reclaim, and
    the time when it was last logged that the array avoids machines.
    """

    def __init__(
        self,
        cluster: ClusterState,
        queue: JobQueue,
        objectives: StartObjectives,
        eviction: Eviction,
    ) -> None:
        self._cluster = cluster
        self._queue = queue
        self._objectives = objectives
        self._eviction = eviction
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self._starved_since: dict[str, float] = {}
        self._avoidance_logged_at: dict[str, float] = {}
        cluster.on_job_forgotten(self._forget)

    def _forget(self, job_id: str) -> None:
        self._starved_since.pop(job_id, None)
        self._avoidance_logged_at.pop(job_id, None)

    def place(self, job: Job, survey: FleetSurvey) -> None:
        """Plan as many tasks of an array as capacity and its team's limit allow."""
        if not survey.allows_one_more(job):
            return
        reserved_by_machine = survey.reserved.reserved_for_others(
            job.id, preemption.queue_key(job), job.spec.checkpoint_s > 0
        )
        candidates = self._candidates(job, reserved_by_machine, survey)
        placed_all = self._place_tasks(job, candidates, survey)
        if not placed_all and job.waiting_count > 0:
            self._reclaim(job, reserved_by_machine, survey)
        else:
            self._starved_since.pop(job.id, None)

    def _place_tasks(self, job: Job, candidates: list[ArrayCandidate], survey: FleetSurvey) -> bool:
        """Place tasks on the candidates in order; return whether no task is left to place."""
        spec = job.spec
        zone_constrained = spec.same_zone or spec.spread_zones
        zones = job.zones_used(self._cluster.zone_of) if zone_constrained else {}
        required_zone = choose_shared_zone(zones, candidates) if spec.same_zone else None
        tasks = job.pop_waiting_tasks()
        can_wait = self._can_wait(job, survey.now)
        for machine, count in candidates:
            if required_zone is not None and machine.zone != required_zone:
                continue
            for _ in range(count):
                if not self._may_place(job, machine, zones, can_wait, survey):
                    break
                index = next(tasks, None)
                if index is None:
                    return True
                survey.place(job, index, machine)
                if not machine.spot:
                    survey.use_on_demand_gpus(job.need)
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
        return False

    def _may_place(
        self,
        job: Job,
        machine: Machine,
        zones: Mapping[str, int],
        can_wait: bool,
        survey: FleetSurvey,
    ) -> bool:
        """Return whether one more task may go to a machine that has capacity for it."""
        if survey.is_full:
            return False
        if can_wait and not machine.spot and not survey.has_spare_on_demand_gpus(job.need):
            return False
        if not survey.allows_one_more(job):
            return False
        max_in_zone = (job.spec.tasks + 1) // 2
        return not (job.spec.spread_zones and zones.get(machine.zone, 0) >= max_in_zone)

    def _can_wait(self, job: Job, now: float) -> bool:
        """Return whether the job can wait: it has no start objective, and has slack.

        A job within its guaranteed quota can wait only if it may use spot machines; otherwise
        on-demand machines are all that it can run on.
        """
        if not self._objectives.keeps_reserve or self._objectives.shortest_s(job) is not None:
            return False
        if job.within_guarantee and not job.spec.spot:
            return False
        slack_s = self._cluster.lease_s
        return now < self._queue.due_at(
            job
        ) - slack_s - STAGGERED_START_SHARE * self._queue.expected_run_s(job)

    def _candidates(
        self, job: Job, reserved_by_machine: Mapping[str, Resources], survey: FleetSurvey
    ) -> list[ArrayCandidate]:
        """Return the machines with capacity, cheapest first.

        If an array finds none, a later array with the same request finds none either in this
        round: more reservations bind it, and capacity only decreases. Such requests are skipped.
        """
        spec = job.spec
        urgency_level = job.urgency_level if spec.checkpoint_s > 0 else None
        types = tuple(spec.machine_types) if spec.machine_types is not None else None
        request = (job.need, urgency_level, types, spec.zone, spec.spot)
        if request in survey.unplaceable_requests:
            return []
        ranked = []
        # These were usable when the round began; no heartbeat is handled during a round.
        for machine in survey.with_capacity:
            reserved = reserved_by_machine.get(machine.name, NO_RESOURCES)
            count = room_for(self._cluster, machine, job, survey.now, reserved)
            if count:
                key = (self._cost_s(job, machine), machine.free()[1] - reserved[1], machine.name)
                ranked.append((key, ArrayCandidate(machine, count)))
        if not ranked:
            if job.avoids_any(survey.now):
                self._log_avoided(job, survey.now)
            else:
                survey.unplaceable_requests.add(request)
        ranked.sort(key=lambda candidate: candidate[0])
        return [candidate for _, candidate in ranked]

    def _log_avoided(self, job: Job, now: float) -> None:
        """Log, once per lease, that an array finds no capacity while it avoids machines."""
        if now - self._avoidance_logged_at.get(job.id, DISTANT_PAST) > self._cluster.lease_s:
            self._avoidance_logged_at[job.id] = now
            log.info(
                "job %s finds no capacity, avoiding machines on which it failed: %s",
                job.id,
                ",".join(name for name in job.failed_on if job.avoids(name, now)),
            )

    def _cost_s(self, job: Job, machine: Machine) -> float:
        """Return the seconds until a task would start on a machine, plus penalties."""
        spec = job.spec
        cost_s = machine.fetch_s(spec.image, spec.image_gb)
        if spec.spot and not machine.spot:
            cost_s += NOT_SPOT_PENALTY_HEARTBEATS * self._heartbeat_interval_s
        if machine.empty:
            cost_s += EMPTY_PENALTY_HEARTBEATS * self._heartbeat_interval_s
        return cost_s + ERROR_PENALTY_HEARTBEATS * self._heartbeat_interval_s * len(
            machine.error_jobs
        )

    def _reclaim(
        self, job: Job, reserved_by_machine: Mapping[str, Resources], survey: FleetSurvey
    ) -> None:
        """Preempt other teams' borrowed capacity for a job within its guaranteed quota."""
        now = survey.now
        if not job.within_guarantee or not survey.allows_one_more(job):
            return
        since = self._starved_since.setdefault(job.id, now)
        if now - since < RECLAIM_INTERVAL_HEARTBEATS * self._heartbeat_interval_s:
            return
        self._starved_since[job.id] = now
        remaining_tasks = min(job.waiting_count, MAX_RECLAIMED_TASKS)
        # Cheapest first, so that no task of an urgent gang is preempted for an array task
        # where tasks of other arrays could be.
        for choice in sorted(self._reclaim_choices(job, reserved_by_machine, now)):
            reserved = reserved_by_machine.get(choice.name, NO_RESOURCES)
            machine = self._cluster.machines[choice.name]
            while remaining_tasks > 0:
                victims = preemption.select_victims(
                    machine, job.need, job, self._cluster.usage, reserved, now
                )
                if not victims:
                    break
                for attempt in victims:
                    self._eviction.preempt(attempt, f"guarantee of {job.spec.team}", now)
                remaining_tasks -= 1

    def _reclaim_choices(
        self, job: Job, reserved_by_machine: Mapping[str, Resources], now: float
    ) -> Iterator[ReclaimChoice]:
        cluster = self._cluster
        for machine in cluster.machines.values():
            if not cluster.usable(machine, now) or not takes_job(machine, job, now):
                continue
            reserved = reserved_by_machine.get(machine.name, NO_RESOURCES)
            victims = preemption.select_victims(
                machine, job.need, job, cluster.usage, reserved, now
            )
            if victims:
                cost_s = sum(
                    preemption.preemption_cost_s(attempt, now, job.urgency_level)
                    for attempt in victims
                )
                yield ReclaimChoice(cost_s, machine.name)
