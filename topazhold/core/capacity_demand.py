"""Demand for machines by type, spot or on-demand, and zone, derived from unfinished work."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from topazhold.core.jobs import Job, JobState, Resources
from topazhold.core.placement_constraints import placement_allowed
from topazhold.core.quota import RemainingQuota
from topazhold.core.resources import count_fitting
from topazhold.settings import Team
from topazhold.wire.cloud import MachineType
from topazhold.wire.jobs import JobSpec


@dataclass(frozen=True, slots=True)
class ScalingPolicy:
    """Parameters by which the size of the fleet follows the demand."""

    headroom_share: float  # extra capacity, as a share of the demand
    idle_boots: float  # idle time before scale-in, in boot times
    use_spot: bool
    max_machine_tasks: int  # whose intents fit a stored value


@dataclass(slots=True, eq=False)
class CapacityDemand:
    """Demand for machines of one type, spot or on-demand: in total, and minimums by zone.

    Demand in `bound_by_zone` can't be met in any other zone.
    """

    total: float = 0.0
    minimum_by_zone: dict[str, float] = field(default_factory=dict)
    bound_by_zone: dict[str, float] = field(default_factory=dict)

    def add(self, machines: float, zone: str | None) -> None:
        """Add demand for machines, bound to a zone if one is given."""
        self.total += machines
        if zone is not None:
            self.minimum_by_zone[zone] = self.minimum_by_zone.get(zone, 0.0) + machines
            self.bound_by_zone[zone] = self.bound_by_zone.get(zone, 0.0) + machines

    def at_least(self, machines: float, zone: str) -> None:
        """Raise a zone's minimum to `machines`; jobs that run in turn share that capacity."""
        self.minimum_by_zone[zone] = max(self.minimum_by_zone.get(zone, 0.0), machines)

    def scale(self, factor: float) -> None:
        """Multiply all demand by a factor."""
        self.total *= factor
        for zone in self.minimum_by_zone:
            self.minimum_by_zone[zone] *= factor
        for zone in self.bound_by_zone:
            self.bound_by_zone[zone] *= factor


#: Demand by (machine type, spot).
CapacityDemands = dict[tuple[str, bool], CapacityDemand]


class _UnboundGroup(NamedTuple):
    """A gang or service that may start in any zone, with its demand in machines."""

    job: Job
    demand: CapacityDemand
    machines: float
    machine_type: MachineType


def _resources_of(machine_type: MachineType) -> Resources:
    return (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)


def tasks_per_machine(need: Resources, machine_type: MachineType, limit: int) -> int:
    """Return how many tasks of a size fit on an empty machine of a type, up to `limit`."""
    return count_fitting(need, _resources_of(machine_type), limit)


def demanded_kind(
    spec: JobSpec, machine_type: MachineType, policy: ScalingPolicy
) -> tuple[str, bool]:
    """Return the kind of machine, as (type, spot), that is demanded for a job."""
    spot = spec.spot and policy.use_spot and machine_type.spot_price is not None
    return (machine_type.name, spot)


def cheapest_type(spec: JobSpec, machine_types: Iterable[MachineType]) -> MachineType | None:
    """Return the type with the lowest price per task that may run the job."""
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    best_key: tuple[float, str] | None = None
    cheapest: MachineType | None = None
    for machine_type in machine_types:
        if spec.machine_types is not None and machine_type.name not in spec.machine_types:
            continue
        if spec.zone is not None and spec.zone not in machine_type.zones:
            continue
        count = tasks_per_machine(need, machine_type, spec.tasks)
        if count:
            key = (machine_type.price / count, machine_type.name)
            if best_key is None or key < best_key:
                best_key, cheapest = key, machine_type
    return cheapest


def fits_some_type(spec: JobSpec, machine_types: Iterable[MachineType]) -> bool:
    """Return whether a task fits an allowed type in an allowed zone."""
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    return any(
        tasks_per_machine(need, machine_type, 1) == 1
        and any(
            placement_allowed(spec, machine_type.name, zone, False) for zone in machine_type.zones
        )
        for machine_type in machine_types
    )


def capacity_demands(
    jobs: Iterable[Job],
    machine_types: list[MachineType],
    teams: Mapping[str, Team],
    zone_of: Mapping[str, str],
    policy: ScalingPolicy,
    jobs_arriving: bool,
) -> CapacityDemands:
    """Return the machines that unfinished work needs, by type, within the teams' limits.

    `zone_of` maps machine names to zones. Headroom is added only while jobs arrive
    (`jobs_arriving`).
    """
    demands: CapacityDemands = {}
    groups: list[_UnboundGroup] = []
    remaining_quota = RemainingQuota(teams)
    for job in sorted(
        jobs, key=lambda job: (not job.within_guarantee, job.urgency_level, job.arrived)
    ):
        if job.state is not JobState.LIVE:
            continue
        machine_type = cheapest_type(job.spec, machine_types)
        if machine_type is None:
            continue
        tasks = remaining_quota.consume(job, job.spec.tasks - job.completed_count)
        if tasks <= 0:
            continue
        machines = tasks / tasks_per_machine(job.need, machine_type, policy.max_machine_tasks)
        kind = demanded_kind(job.spec, machine_type, policy)
        demand = demands.setdefault(kind, CapacityDemand())
        zone = _bound_zone(job, zone_of)
        demand.add(machines, zone)
        if zone is None and (job.service or (job.gang and not job.attempts)):
            groups.append(_UnboundGroup(job, demand, machines, machine_type))
    _add_zone_minimums(groups, Counter(zone_of.values()))
    for demand in demands.values():
        demand.scale(1.0 + (policy.headroom_share if jobs_arriving else 0.0))
    return demands


def _add_zone_minimums(groups: Iterable[_UnboundGroup], machine_counts: Mapping[str, int]) -> None:
    """Raise the minimums of zones so that each group fits its zone constraints.

    Enough capacity in total may be spread over zones so that no gang can start. The zones with
    the most machines, as given by `machine_counts`, are extended.
    """
    for job, demand, machines, machine_type in groups:
        zones_by_size = sorted(machine_type.zones, key=lambda zone: -machine_counts.get(zone, 0))
        if job.spec.same_zone:
            demand.at_least(machines, zones_by_size[0])
        elif job.spec.spread_zones and len(zones_by_size) > 1:
            for zone in zones_by_size[:2]:
                demand.at_least(machines / 2, zone)


def _bound_zone(job: Job, zone_of: Mapping[str, str]) -> str | None:
    """Return the only zone in which the job's waiting tasks may be placed, if any."""
    if job.spec.zone is not None:
        return job.spec.zone
    if job.spec.same_zone:
        for attempt in job.attempts.values():
            if attempt.is_active and attempt.machine in zone_of:
                return zone_of[attempt.machine]
    return None
