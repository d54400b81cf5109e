"""How many machines of which kind, and where."""

from __future__ import annotations

import math
from collections.abc import Iterable

from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import Machine, MachineState, count_fitting
from topazhold.core.placement_constraints import allowed
from topazhold.settings import Team
from topazhold.wire.messages import JobSpec, MachineType

#: Most machines that the cloud gives at one request.
MAX_SCALE_OUT_MACHINES = 50
#: Most machines that the cloud takes back at one request.
MAX_RELEASED_MACHINES = 100
#: Share of the usual patience with idle machines when no jobs come any more.
IDLE_WHEN_QUIET = 0.2


class ScaleOutRequest:
    """A rental request, still to be named."""

    __slots__ = ("machine_type", "zone", "spot", "count")

    def __init__(self, machine_type: str, zone: str, spot: bool, count: int) -> None:
        self.machine_type = machine_type
        self.zone = zone
        self.spot = spot
        self.count = count


class ScalingPolicy:
    """Ratios of the renting policy."""

    def __init__(self, headroom_share: float, idle_boots: float, use_spot: bool) -> None:
        self.headroom_share = headroom_share
        self.idle_boots = idle_boots  # idle time before a return, in boot times
        self.use_spot = use_spot


class CapacityBackoff:
    """Where the cloud had nothing to give, and until when not to ask again."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, str, bool], tuple[float, float]] = {}

    def on_refused(
        self, machine_type: str, zone: str, spot: bool, base_s: float, now: float
    ) -> None:
        key = (machine_type, zone, spot)
        _, pause = self._until.get(key, (0.0, 0.0))
        pause = min(max(base_s, pause * 2), base_s * 4)
        self._until[key] = (now + pause, pause)

    def on_granted(self, machine_type: str, zone: str, spot: bool) -> None:
        self._until.pop((machine_type, zone, spot), None)

    def may_request(self, machine_type: str, zone: str, spot: bool, now: float) -> bool:
        return self._until.get((machine_type, zone, spot), (0.0, 0.0))[0] <= now


def best_type(spec: JobSpec, machine_types: Iterable[MachineType]) -> MachineType | None:
    """The cheapest type per task that may run the job."""
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    best: tuple[float, str] | None = None
    chosen: MachineType | None = None
    for machine_type in machine_types:
        if spec.machine_types is not None and machine_type.name not in spec.machine_types:
            continue
        if spec.zone is not None and spec.zone not in machine_type.zones:
            continue
        count = count_fitting(
            need, (machine_type.cpus, machine_type.gpus, machine_type.memory_gb), spec.tasks
        )
        if count:
            key = (machine_type.price / count, machine_type.name)
            if best is None or key < best:
                best, chosen = key, machine_type
    return chosen


class CapacityDemand:
    """Machines wanted of one type and kind: anywhere, and in given zones at least.

    What is `bound` to a zone is of no use in any other.
    """

    __slots__ = ("total", "zones", "bound")

    def __init__(self) -> None:
        self.total = 0.0
        self.zones: dict[str, float] = {}
        self.bound: dict[str, float] = {}

    def add(self, machines: float, zone: str | None) -> None:
        self.total += machines
        if zone is not None:
            self.zones[zone] = self.zones.get(zone, 0.0) + machines
            self.bound[zone] = self.bound.get(zone, 0.0) + machines

    def at_least(self, machines: float, zone: str) -> None:
        """A zone must be able to take so much at once; others may use it in turn."""
        self.zones[zone] = max(self.zones.get(zone, 0.0), machines)

    def scale(self, factor: float) -> None:
        self.total *= factor
        for zone in self.zones:
            self.zones[zone] *= factor
        for zone in self.bound:
            self.bound[zone] *= factor


#: Wishes by type and kind (True: spot).
CapacityDemands = dict[tuple[str, bool], CapacityDemand]


def capacity_demands(
    jobs: Iterable[Job],
    machine_types: list[MachineType],
    teams: dict[str, Team],
    zone_of: dict[str, str],
    rules: ScalingPolicy,
    growing: bool,
) -> CapacityDemands:
    """Machines' worth of unfinished work per type and kind, within the teams' limits.

    Headroom is kept only while jobs keep coming.
    """
    found: CapacityDemands = {}
    gangs: list[tuple[CapacityDemand, Job, float, MachineType]] = []
    counts: dict[str, int] = {}
    for zone in zone_of.values():
        counts[zone] = counts.get(zone, 0) + 1
    available = {name: team.gpus_max or math.inf for name, team in teams.items()}
    for job in sorted(
        jobs, key=lambda job: (not job.within_guarantee, job.urgency_level, job.arrived)
    ):
        if job.state is not JobState.LIVE:
            continue
        machine_type = best_type(job.spec, machine_types)
        if machine_type is None:
            continue
        tasks = job.spec.tasks - job.completed_count
        if job.need[1] > 0:
            tasks = min(tasks, int(available.get(job.spec.team, 0.0) // job.need[1]))
            available[job.spec.team] = available.get(job.spec.team, 0.0) - tasks * job.need[1]
        if tasks <= 0:
            continue
        whole = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        machines = tasks / count_fitting(job.need, whole, 1 << 20)
        spot = job.spec.spot and rules.use_spot and machine_type.spot_price is not None
        demand = found.setdefault((machine_type.name, spot), CapacityDemand())
        bound = _bound_zone(job, zone_of)
        demand.add(machines, bound)
        if bound is None and (job.service or (job.gang and not job.attempts)):
            gangs.append((demand, job, machines, machine_type))
    for demand, job, machines, machine_type in gangs:
        # Room that is there, but in the wrong zones, lets no gang start.
        by_size = sorted(machine_type.zones, key=lambda zone: -counts.get(zone, 0))
        if job.spec.same_place:
            demand.at_least(machines, by_size[0])
        elif job.spec.scatter and len(by_size) > 1:
            for zone in by_size[:2]:
                demand.at_least(machines / 2, zone)
    for demand in found.values():
        demand.scale(1.0 + (rules.headroom_share if growing else 0.0))
    return found


def _bound_zone(job: Job, zone_of: dict[str, str]) -> str | None:
    """The only zone that the job's waiting tasks may go to, if there is one."""
    if job.spec.zone is not None:
        return job.spec.zone
    if job.spec.same_place:
        for attempt in job.attempts.values():
            if attempt.present and attempt.machine in zone_of:
                return zone_of[attempt.machine]
    return None


def counts_as_capacity(machine: Machine) -> bool:
    """Whether a machine counts as capacity, now or soon."""
    if machine.command_unreachable or machine.unconfirmed:
        return False
    return machine.state in (MachineState.STARTING, MachineState.UNSYNCED, MachineState.READY)


class Fleet:
    """Machines of one type, counted by zone and kind."""

    def __init__(self, machine_type: MachineType, machines: Iterable[Machine]) -> None:
        self.machines = [
            machine
            for machine in machines
            if counts_as_capacity(machine)
            and machine.machine_type is not None
            and machine.machine_type.name == machine_type.name
        ]
        self.zones: dict[tuple[str, bool], int] = {
            (zone, spot): 0 for zone in machine_type.zones for spot in (True, False)
        }
        for machine in self.machines:
            key = (machine.zone, machine.spot)
            self.zones[key] = self.zones.get(key, 0) + 1

    def count(self, spot: bool) -> int:
        return sum(number for (_, kind), number in self.zones.items() if kind is spot)


def scale_out(
    found: CapacityDemands,
    machine_type: MachineType,
    fleet: Fleet,
    capacity_backoff: CapacityBackoff,
    now: float,
) -> list[ScaleOutRequest]:
    """Requests that bring a type's capacity up to what is wished.

    Spot machines are asked for first; what the cloud won't give of them is
    made up by ordinary ones.
    """
    cheap = found.get((machine_type.name, True), CapacityDemand())
    plain = found.get((machine_type.name, False), CapacityDemand())
    # Ordinary machines beyond their own wish serve spot work too.
    spare = max(0, fleet.count(False) - math.ceil(plain.total))
    requests, missing, missing_zones = _scale_out_requests(
        machine_type, True, math.ceil(cheap.total) - spare, cheap, fleet, capacity_backoff, now
    )
    both = CapacityDemand()
    both.zones, both.bound = dict(plain.zones), dict(plain.bound)
    for zone, number in missing_zones.items():
        both.zones[zone] = both.zones.get(zone, 0.0) + number
        short = math.ceil(cheap.bound.get(zone, 0.0)) - fleet.zones.get((zone, True), 0)
        both.bound[zone] = both.bound.get(zone, 0.0) + max(0, min(number, short))
    more, _, _ = _scale_out_requests(
        machine_type, False, math.ceil(plain.total) + missing, both, fleet, capacity_backoff, now
    )
    return requests + more


def _scale_out_requests(
    machine_type: MachineType,
    spot: bool,
    total: int,
    demand: CapacityDemand,
    fleet: Fleet,
    capacity_backoff: CapacityBackoff,
    now: float,
) -> tuple[list[ScaleOutRequest], int, dict[str, int]]:
    """Requests of one kind, and what can't be asked for: in all, and by zone.

    What is bound to a zone that has none now is not asked for elsewhere: a machine there
    was given back idle, and its room in the cloud taken again before the zone's turn came.
    """
    usable = [
        zone
        for zone in machine_type.zones
        if capacity_backoff.may_request(machine_type.name, zone, spot, now)
    ]
    counts = dict.fromkeys(usable, 0)
    missing_zones: dict[str, int] = {}
    for zone, number in demand.zones.items():
        short = math.ceil(number) - fleet.zones.get((zone, spot), 0)
        if short > 0 and zone in counts:
            counts[zone] = min(short, MAX_SCALE_OUT_MACHINES)
        elif short > 0:
            missing_zones[zone] = short
    short = total - fleet.count(spot) - sum(counts.values())
    if usable:
        short -= sum(
            max(0, math.ceil(number) - fleet.zones.get((zone, spot), 0))
            for zone, number in demand.bound.items()
            if zone not in counts
        )
        for _ in range(min(short, MAX_SCALE_OUT_MACHINES)):
            zone = min(
                usable, key=lambda zone: (fleet.zones.get((zone, spot), 0) + counts[zone], zone)
            )
            counts[zone] += 1
        missing = sum(missing_zones.values())
    else:
        missing = max(short, sum(missing_zones.values()), 0)
    requests = [
        ScaleOutRequest(machine_type.name, zone, spot, number)
        for zone, number in counts.items()
        if number
    ]
    return requests, missing, missing_zones


def scale_in(
    found: CapacityDemands,
    machine_type: MachineType,
    fleet: Fleet,
    rules: ScalingPolicy,
    growing: bool,
    now: float,
) -> list[Machine]:
    """Idle machines beyond what is wished, the longest idle first.

    An idle machine is kept for about as long as a new one would take to boot:
    what it costs till then is what renting it anew would cost. When no jobs
    come any more there is less to wait for.
    """
    cheap = found.get((machine_type.name, True), CapacityDemand())
    plain = found.get((machine_type.name, False), CapacityDemand())
    short_spot = max(0.0, cheap.total - fleet.count(True))
    extra = {
        False: fleet.count(False) - math.ceil(plain.total + short_spot),
        True: fleet.count(True) - math.ceil(cheap.total),
    }
    floor = {(zone, False): number for zone, number in plain.zones.items()}
    floor.update({(zone, True): number for zone, number in cheap.zones.items()})
    patience = rules.idle_boots * machine_type.boot_s * (1.0 if growing else IDLE_WHEN_QUIET)
    idle = [
        machine
        for machine in fleet.machines
        if machine.state is MachineState.READY
        and machine.empty
        and now - machine.idle_since > patience
    ]
    idle.sort(key=lambda machine: machine.idle_since)
    left = dict(fleet.zones)
    chosen = []
    for machine in idle:
        key = (machine.zone, machine.spot)
        if extra[machine.spot] > 0 and left[key] - 1 >= floor.get(key, 0.0):
            extra[machine.spot] -= 1
            left[key] -= 1
            chosen.append(machine)
    return chosen


def fits_some_type(spec: JobSpec, machine_types: Iterable[MachineType]) -> bool:
    """Whether a task fits an allowed type in an allowed zone."""
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    return any(
        count_fitting(need, (machine_type.cpus, machine_type.gpus, machine_type.memory_gb), 1) == 1
        and any(allowed(spec, machine_type.name, zone, False) for zone in machine_type.zones)
        for machine_type in machine_types
    )
