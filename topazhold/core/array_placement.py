"""Where the tasks of arrays go: one by one, wherever they start soonest."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from topazhold.core import preemption
from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.failure_attribution import BAD_JOB_MACHINES
from topazhold.core.fleet_survey import FleetSurvey
from topazhold.core.job_queue import JobQueue
from topazhold.core.jobs import Job, Resources
from topazhold.core.machines import Machine
from topazhold.core.placement_constraints import placement_allowed
from topazhold.core.resources import NO_RESOURCES, add_resources, count_fitting
from topazhold.core.start_objectives import StartObjectives

#: Tasks of an array that get capacity back from other teams at once.
MAX_RECLAIMED_TASKS = 16
#: An array without capacity gets it back from other teams every so many heartbeat intervals.
RECLAIM_INTERVAL_HEARTBEATS = 2
#: What a place costs on top of the time until a task starts there, in heartbeat intervals:
#: where the job asked for a spot machine and this is none, where the machine is empty and
#: could be returned, and for each job that failed there.
NOT_SPOT_PENALTY_HEARTBEATS = 4
EMPTY_PENALTY_HEARTBEATS = 2
ERROR_PENALTY_HEARTBEATS = 5
#: Share of a task's run time that is allowed for the tasks of a job starting one after another.
STAGGERED_START_SHARE = 0.5
#: In place of a zone, where tasks may go to none.
NO_ZONE = "\0none"


class ArrayCandidate(NamedTuple):
    """A machine with capacity for so many tasks of one job."""

    machine: Machine
    slots: int


class ReclaimChoice(NamedTuple):
    """What it costs (in seconds of work) to get capacity for a task on a machine."""

    cost_s: float
    name: str


def choose_shared_zone(zones: Mapping[str, int], candidates: Iterable[ArrayCandidate]) -> str:
    """For tasks that must share a zone: the one that they are in already, or the roomiest."""
    if zones:
        return next(iter(zones)) if len(zones) == 1 else NO_ZONE
    slots_by_zone: dict[str, int] = {}
    for machine, count in candidates:
        slots_by_zone[machine.zone] = slots_by_zone.get(machine.zone, 0) + count
    return max(slots_by_zone, key=lambda zone: (slots_by_zone[zone], zone), default=NO_ZONE)


class ArrayPlacement:
    """Plans arrays' tasks.

    Owns, by job, since when an array has found no capacity or was last given some back.
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
        cluster.when_job_forgotten(self._forget)

    def _forget(self, job_id: str) -> None:
        self._starved_since.pop(job_id, None)

    def place(self, job: Job, survey: FleetSurvey) -> None:
        """Plan as many tasks of an array as there is capacity for, and as its team may run."""
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
        """Place tasks on the first places; whether none was left to place."""
        spec = job.spec
        zone_constrained = spec.same_place or spec.scatter
        zones = job.zones_used(self._cluster.zone_of) if zone_constrained else {}
        required_zone = choose_shared_zone(zones, candidates) if spec.same_place else None
        tasks = job.waiting_tasks()
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
        """Whether one more task may go to a machine that has capacity for it."""
        if survey.is_full or not self._cluster.recordable(machine, 1):
            return False
        if can_wait and not machine.spot and not survey.has_spare_on_demand_gpus(job.need):
            return False
        if not survey.allows_one_more(job):
            return False
        max_in_zone = (job.spec.tasks + 1) // 2
        return not (job.spec.scatter and zones.get(machine.zone, 0) >= max_in_zone)

    def _can_wait(self, job: Job, now: float) -> bool:
        """Whether the job may wait: it has no objective for its start, and there is slack.

        Also within its guarantee, if it may use spot machines: ordinary ones are all
        that those have who may not.
        """
        if not self._objectives.keeps_reserve or self._objectives.shortest_s(job) is not None:
            return False
        if job.within_guarantee and not job.spec.spot:
            return False
        # Its tasks seldom start all at once: half a task's run time is left for that.
        slack_s = self._cluster.lease_s
        return now < self._queue.due_at(
            job
        ) - slack_s - STAGGERED_START_SHARE * self._queue.expected_run_s(job)

    def _candidates(
        self, job: Job, reserved_by_machine: Mapping[str, Resources], survey: FleetSurvey
    ) -> list[ArrayCandidate]:
        """Machines with capacity, the ones where tasks start soonest first.

        Where an array finds none, one of the same kind whose turn comes later finds none
        in this round: reservations keep the more from it, and capacity only gets less.
        """
        spec = job.spec
        urgency_level = job.urgency_level if spec.checkpoint_s > 0 else None
        types = tuple(spec.machine_types) if spec.machine_types is not None else None
        request = (job.need, urgency_level, types, spec.zone, spec.spot)
        if request in survey.unplaceable_requests:
            return []
        ranked = []
        # Usable when the round began, and nothing is heard in between.
        for machine in survey.with_capacity:
            if machine.machine_type is None:
                continue
            if not placement_allowed(spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            if machine.name in job.failed_on and len(job.failed_on) < BAD_JOB_MACHINES:
                continue
            available = add_resources(
                machine.free(), reserved_by_machine.get(machine.name, NO_RESOURCES), -1.0
            )
            count = count_fitting(job.need, available, spec.tasks)
            if count:
                key = (self._cost_s(job, machine), available[1], machine.name)
                ranked.append((key, ArrayCandidate(machine, count)))
        if not ranked and not job.failed_on:
            survey.unplaceable_requests.add(request)
        ranked.sort(key=lambda candidate: candidate[0])
        return [candidate for _, candidate in ranked]

    def _cost_s(self, job: Job, machine: Machine) -> float:
        """Seconds until a task would start on a machine, and what else speaks against it."""
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
        """Within its guarantee a job gets back what other teams have borrowed."""
        now = survey.now
        if not job.within_guarantee or not survey.allows_one_more(job):
            return
        since = self._starved_since.setdefault(job.id, now)
        if now - since < RECLAIM_INTERVAL_HEARTBEATS * self._heartbeat_interval_s:
            return
        self._starved_since[job.id] = now
        remaining_tasks = min(job.waiting_count, MAX_RECLAIMED_TASKS)
        # The cheapest first: a lone task of an urgent gang must not leave for one
        # of an array where other arrays' tasks could.
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
            if not cluster.usable(machine, now) or machine.machine_type is None:
                continue
            if not placement_allowed(
                job.spec, machine.machine_type.name, machine.zone, machine.spot
            ):
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
