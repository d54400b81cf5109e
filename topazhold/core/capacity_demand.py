"""How many machines of which type and kind the unfinished work is worth, and where."""

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

#: More tasks than fit any machine.
UNLIMITED_TASKS = 1 << 20


@dataclass(frozen=True, slots=True)
class ScalingPolicy:
    """Ratios by which the fleet follows the demand."""

    headroom_share: float  # capacity beyond the demand, as a share of it
    idle_boots: float  # idle time before a machine is scaled in, in boot times
    use_spot: bool


@dataclass(slots=True, eq=False)
class CapacityDemand:
    """Machines demanded of one type and kind: anywhere, and in given zones at least.

    What is `bound` to a zone is of no use in any other.
    """

    total: float = 0.0
    minimum_by_zone: dict[str, float] = field(default_factory=dict)
    bound_by_zone: dict[str, float] = field(default_factory=dict)

    def add(self, machines: float, zone: str | None) -> None:
        """Demand more machines, bound to a zone if one is given."""
        self.total += machines
        if zone is not None:
            self.minimum_by_zone[zone] = self.minimum_by_zone.get(zone, 0.0) + machines
            self.bound_by_zone[zone] = self.bound_by_zone.get(zone, 0.0) + machines

    def at_least(self, machines: float, zone: str) -> None:
        """A zone must be able to take so much at once; others may use it in turn."""
        self.minimum_by_zone[zone] = max(self.minimum_by_zone.get(zone, 0.0), machines)

    def scale(self, factor: float) -> None:
        """Multiply all that is demanded."""
        self.total *= factor
        for zone in self.minimum_by_zone:
            self.minimum_by_zone[zone] *= factor
        for zone in self.bound_by_zone:
            self.bound_by_zone[zone] *= factor


#: Demands by machine type and kind (True: spot instances).
CapacityDemands = dict[tuple[str, bool], CapacityDemand]


class _UnboundGroup(NamedTuple):
    """A gang or service that may begin in any zone, with its worth in machines."""

    job: Job
    demand: CapacityDemand
    machines: float
    machine_type: MachineType


def _resources_of(machine_type: MachineType) -> Resources:
    return (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)


def cheapest_type(spec: JobSpec, machine_types: Iterable[MachineType]) -> MachineType | None:
    """The cheapest type per task that may run the job."""
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    best_key: tuple[float, str] | None = None
    cheapest: MachineType | None = None
    for machine_type in machine_types:
        if spec.machine_types is not None and machine_type.name not in spec.machine_types:
            continue
        if spec.zone is not None and spec.zone not in machine_type.zones:
            continue
        count = count_fitting(need, _resources_of(machine_type), spec.tasks)
        if count:
            key = (machine_type.price / count, machine_type.name)
            if best_key is None or key < best_key:
                best_key, cheapest = key, machine_type
    return cheapest


def fits_some_type(spec: JobSpec, machine_types: Iterable[MachineType]) -> bool:
    """Whether a task fits an allowed type in an allowed zone."""
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    return any(
        count_fitting(need, _resources_of(machine_type), 1) == 1
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
    """Machines' worth of unfinished work per type and kind, within the teams' limits.

    `zone_of` has the zone of every machine by name. Headroom is kept only while jobs keep
    coming (`jobs_arriving`).
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
        machines = tasks / count_fitting(job.need, _resources_of(machine_type), UNLIMITED_TASKS)
        spot = job.spec.spot and policy.use_spot and machine_type.spot_price is not None
        demand = demands.setdefault((machine_type.name, spot), CapacityDemand())
        zone = _bound_zone(job, zone_of)
        demand.add(machines, zone)
        if zone is None and (job.service or (job.gang and not job.attempts)):
            groups.append(_UnboundGroup(job, demand, machines, machine_type))
    _add_zone_minimums(groups, Counter(zone_of.values()))
    for demand in demands.values():
        demand.scale(1.0 + (policy.headroom_share if jobs_arriving else 0.0))
    return demands


def _add_zone_minimums(groups: Iterable[_UnboundGroup], machine_counts: Mapping[str, int]) -> None:
    """Demand capacity where a gang can start: enough of it in the wrong zones lets none begin.

    `machine_counts` has the machines of each zone; the largest zones are extended.
    """
    for job, demand, machines, machine_type in groups:
        zones_by_size = sorted(machine_type.zones, key=lambda zone: -machine_counts.get(zone, 0))
        if job.spec.same_place:
            demand.at_least(machines, zones_by_size[0])
        elif job.spec.scatter and len(zones_by_size) > 1:
            for zone in zones_by_size[:2]:
                demand.at_least(machines / 2, zone)


def _bound_zone(job: Job, zone_of: Mapping[str, str]) -> str | None:
    """The only zone that the job's waiting tasks may go to, if there is one."""
    if job.spec.zone is not None:
        return job.spec.zone
    if job.spec.same_place:
        for attempt in job.attempts.values():
            if attempt.present and attempt.machine in zone_of:
                return zone_of[attempt.machine]
    return None
