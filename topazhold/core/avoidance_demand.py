"""Demand for machines in place of those that jobs avoid after failures there."""

from __future__ import annotations

import math
from collections.abc import Collection

from topazhold.core import autoscaling
from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import Job, JobState
from topazhold.core.machine_room import is_allowed, room_for
from topazhold.core.machines import Machine
from topazhold.core.resources import count_fitting
from topazhold.wire.cloud import MachineType


def add_avoidance_demand(
    demands: autoscaling.CapacityDemands,
    cluster: ClusterState,
    machine_types: list[MachineType],
    policy: autoscaling.ScalingPolicy,
    now: float,
) -> None:
    """Raise the demand by the capacity that it counts though the waiting job avoids it.

    Jobs that avoid machines share what is added for the one that lacks most.
    """
    capacity = [
        machine for machine in cluster.machines.values() if autoscaling.counts_as_capacity(machine)
    ]
    for job in cluster.jobs.values():
        if job.state is not JobState.LIVE or not job.waiting_count or not job.avoids_any(now):
            continue
        machine_type = autoscaling.cheapest_type(job.spec, machine_types)
        if machine_type is None or not cluster.usage.allows(job, 1):
            continue
        missing = _missing_tasks(job, capacity, cluster, now)
        if missing > 0:
            machines = math.ceil(
                missing
                / autoscaling.tasks_per_machine(
                    job.need, machine_type, min(missing, policy.max_machine_tasks)
                )
            )
            kind = autoscaling.demanded_kind(job.spec, machine_type, policy)
            demand = demands.setdefault(kind, autoscaling.CapacityDemand())
            present = _present_machines(kind, capacity, demands)
            demand.total = max(demand.total, present + machines)
            if job.spec.zone is not None:
                in_zone = sum(_is_of_kind(machine, kind, job.spec.zone) for machine in capacity)
                demand.at_least(in_zone + machines, job.spec.zone)


def _missing_tasks(
    job: Job, capacity: Collection[Machine], cluster: ClusterState, now: float
) -> int:
    """Return how many waiting tasks have capacity only on machines that their job avoids."""
    room = avoided_room = 0
    for machine in capacity:
        if job.avoids(machine.name, now):
            if is_allowed(machine, job):
                avoided_room += count_fitting(job.need, machine.free(), job.spec.tasks)
        else:
            room += room_for(cluster, machine, job, now)
    return min(job.waiting_count - room, avoided_room)


def _present_machines(
    kind: tuple[str, bool], capacity: Collection[Machine], demands: autoscaling.CapacityDemands
) -> int:
    """Return the machines that meet a kind's demand; spare on-demand machines run spot work."""
    machine_type, spot = kind
    present = sum(_is_of_kind(machine, kind) for machine in capacity)
    if not spot:
        return present
    on_demand = (machine_type, False)
    on_demand_demand = demands.get(on_demand, autoscaling.CapacityDemand())
    present_on_demand = sum(_is_of_kind(machine, on_demand) for machine in capacity)
    return present + max(0, present_on_demand - math.ceil(on_demand_demand.total))


def _is_of_kind(machine: Machine, kind: tuple[str, bool], zone: str | None = None) -> bool:
    return (
        machine.machine_type is not None
        and (machine.machine_type.name, machine.spot) == kind
        and zone in (None, machine.zone)
    )
