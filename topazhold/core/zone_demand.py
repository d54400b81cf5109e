"""Demand for machines in single zones, for jobs whose capacity exists in the wrong zones."""

from __future__ import annotations

import math
from typing import NamedTuple

from topazhold.core import autoscaling
from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import Job, JobState
from topazhold.core.machine_room import room_for
from topazhold.core.team_limits import TeamLimits
from topazhold.wire.cloud import MachineType


class ZoneShortage(NamedTuple):
    """A zone, and the number of a job's tasks that it lacks capacity for."""

    zone: str
    tasks: int


class ZoneDemand:
    """Adds demand for the machines that long-waiting jobs lack in single zones.

    The regular demand assumes that running work in a zone ends in time. If it does not, a gang
    that must share a zone waits as long, and so do jobs that must spread over zones. Stateless.
    """

    def __init__(
        self, cluster: ClusterState, limits: TeamLimits, policy: autoscaling.ScalingPolicy
    ) -> None:
        self._cluster = cluster
        self._limits = limits
        self._policy = policy

    def add_to(
        self, demands: autoscaling.CapacityDemands, machine_types: list[MachineType], now: float
    ) -> None:
        """Add demand in one zone for the first job that lacks capacity; one job per call."""
        waiting = [job for job in self._cluster.jobs.values() if self._waits_for_zone(job, now)]
        # Jobs of one shape see the same free capacity, so it is counted once per shape.
        free_by_shape: dict[object, dict[str, int]] = {}
        for job in sorted(waiting, key=lambda job: (job.arrived, job.id)):
            machine_type = autoscaling.cheapest_type(job.spec, machine_types)
            if machine_type is None or not self._limits.fits_with_preemption(job):
                continue
            allowed_types = (
                tuple(job.spec.machine_types) if job.spec.machine_types is not None else None
            )
            shape = (job.need, job.spec.tasks, job.spec.spot, allowed_types, machine_type.name)
            free = free_by_shape.get(shape)
            if free is None:
                free = free_by_shape[shape] = self._free_slots(job, machine_type, now)
            shortage = self._shortage(job, machine_type.zones, free)
            if shortage is not None:
                self._demand_machines(demands, job, machine_type, shortage)
                return

    def _demand_machines(
        self,
        demands: autoscaling.CapacityDemands,
        job: Job,
        machine_type: MachineType,
        shortage: ZoneShortage,
    ) -> None:
        tasks_per_machine = autoscaling.tasks_per_machine(
            job.need, machine_type, min(job.spec.tasks, self._policy.max_machine_tasks)
        )
        additional_machines = math.ceil(shortage.tasks / tasks_per_machine)
        kind = autoscaling.demanded_kind(job.spec, machine_type, self._policy)
        present_machines = sum(
            machine.zone == shortage.zone
            and machine.spot is kind[1]
            and autoscaling.counts_as_capacity(machine)
            for machine in self._cluster.machines.values()
            if machine.machine_type is not None
        )
        demand = demands.setdefault(kind, autoscaling.CapacityDemand())
        demand.at_least(present_machines + additional_machines, shortage.zone)

    def _waits_for_zone(self, job: Job, now: float) -> bool:
        """Return whether a job with zone constraints has waited long.

        True for an aged gang, or a service that still lacks replicas a lease after its arrival.
        """
        if job.state is not JobState.LIVE or job.spec.zone is not None:
            return False
        if not (job.spec.same_zone or job.spec.spread_zones):
            return False
        if job.gang:
            return job.is_aged and not job.attempts
        is_late = now - job.arrived > self._cluster.lease_s
        return job.service and job.waiting_count > 0 and is_late

    def _shortage(self, job: Job, zones: list[str], free: dict[str, int]) -> ZoneShortage | None:
        """Return a zone where more capacity would let the job run.

        None if the job lacks capacity in total, or if zones are not what keeps it waiting.
        """
        wanted = job.waiting_count
        if sum(free.values()) < wanted:
            return None
        if job.spec.same_zone:
            zone = max(zones, key=lambda zone: (free[zone], zone))
            return ZoneShortage(zone, wanted - free[zone]) if free[zone] < wanted else None
        max_in_zone = (job.spec.tasks + 1) // 2
        tasks_by_zone = job.zones_used(self._cluster.zone_of)
        allowance = {zone: max(0, max_in_zone - tasks_by_zone.get(zone, 0)) for zone in zones}
        missing = wanted - sum(min(free[zone], allowance[zone]) for zone in zones)
        if missing <= 0:
            return None
        open_zones = [zone for zone in zones if free[zone] < allowance[zone]]
        if not open_zones:
            return None
        zone = min(open_zones, key=lambda zone: (free[zone], zone))
        return ZoneShortage(zone, min(missing, allowance[zone] - free[zone]))

    def _free_slots(self, job: Job, machine_type: MachineType, now: float) -> dict[str, int]:
        """Return by zone how many tasks of a job fit on machines that count as capacity."""
        free: dict[str, int] = dict.fromkeys(machine_type.zones, 0)
        for machine in self._cluster.machines.values():
            if autoscaling.counts_as_capacity(machine):
                slots = room_for(self._cluster, machine, job, now)
                free[machine.zone] = free.get(machine.zone, 0) + slots
        return free
