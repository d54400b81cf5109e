"""Scale-out and scale-in: machines to request from the cloud, and idle machines to release.

Both follow the demand computed in `capacity_demand`, whose names are re-exported here, as is
`CapacityBackoff`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from topazhold.core.capacity_backoff import CapacityBackoff
from topazhold.core.capacity_demand import (
    CapacityDemand,
    CapacityDemands,
    ScalingPolicy,
    capacity_demands,
    cheapest_type,
    demanded_kind,
    fits_some_type,
    tasks_per_machine,
)
from topazhold.core.machines import Machine, MachineState
from topazhold.wire.cloud import MachineType

__all__ = [
    "MAX_RELEASED_MACHINES",
    "MAX_SCALE_OUT_MACHINES",
    "CapacityBackoff",
    "CapacityDemand",
    "CapacityDemands",
    "Fleet",
    "ScaleOutRequest",
    "ScalingPolicy",
    "capacity_demands",
    "cheapest_type",
    "counts_as_capacity",
    "demanded_kind",
    "fits_some_type",
    "scale_in",
    "scale_out",
    "tasks_per_machine",
]

#: Most machines that the cloud grants per request.
MAX_SCALE_OUT_MACHINES = 50
#: Most machines that the cloud releases per request.
MAX_RELEASED_MACHINES = 100
#: Share of the usual idle time before scale-in that applies while no jobs arrive.
NO_ARRIVALS_IDLE_SHARE = 0.2


@dataclass(slots=True, eq=False)
class ScaleOutRequest:
    """A request for machines that has no identifier yet."""

    machine_type: str
    zone: str
    spot: bool
    count: int


def counts_as_capacity(machine: Machine) -> bool:
    """Return whether a machine provides capacity, now or once it has started."""
    if machine.command_unreachable or machine.unconfirmed:
        return False
    return machine.state in (MachineState.STARTING, MachineState.UNSYNCED, MachineState.READY)


class Fleet:
    """Machines of one type that count as capacity, and their counts by (zone, spot)."""

    def __init__(self, machine_type: MachineType, machines: Iterable[Machine]) -> None:
        self.machines = [
            machine
            for machine in machines
            if counts_as_capacity(machine)
            and machine.machine_type is not None
            and machine.machine_type.name == machine_type.name
        ]
        self.counts: dict[tuple[str, bool], int] = {
            (zone, spot): 0 for zone in machine_type.zones for spot in (True, False)
        }
        for machine in self.machines:
            key = (machine.zone, machine.spot)
            self.counts[key] = self.counts.get(key, 0) + 1

    def count(self, spot: bool) -> int:
        """Return the number of spot or on-demand machines in all zones."""
        return sum(count for (_, is_spot), count in self.counts.items() if is_spot is spot)


@dataclass(frozen=True, slots=True)
class _Supply:
    """Spot or on-demand machines of one type, and the zones where more may be requested."""

    machine_type: str
    spot: bool
    fleet: Fleet
    open_zones: list[str]

    def machines_in(self, zone: str) -> int:
        """Return the zone's current and starting machines of this supply."""
        return self.fleet.counts.get((zone, self.spot), 0)

    def shortfall(self, zone: str, machines: float) -> int:
        """Return how many of the demanded machines the zone lacks; negative for a surplus."""
        return math.ceil(machines) - self.machines_in(zone)


def _supply_of(
    machine_type: MachineType,
    spot: bool,
    fleet: Fleet,
    capacity_backoff: CapacityBackoff,
    now: float,
) -> _Supply:
    open_zones = [
        zone
        for zone in machine_type.zones
        if capacity_backoff.may_request(machine_type.name, zone, spot, now)
    ]
    return _Supply(machine_type.name, spot, fleet, open_zones)


class _ScaleOutPlan(NamedTuple):
    """Requests for one supply, and the machines that can't be requested, in total and by zone."""

    requests: list[ScaleOutRequest]
    missing: int
    missing_by_zone: dict[str, int]


def scale_out(
    demands: CapacityDemands,
    machine_type: MachineType,
    fleet: Fleet,
    capacity_backoff: CapacityBackoff,
    now: float,
) -> list[ScaleOutRequest]:
    """Return the requests that raise a type's capacity to the demand.

    Spot instances are requested first; on-demand machines replace those the cloud can't grant.
    """
    spot_demand = demands.get((machine_type.name, True), CapacityDemand())
    on_demand_demand = demands.get((machine_type.name, False), CapacityDemand())
    # On-demand machines beyond their own demand run spot work too.
    spare_on_demand = max(0, fleet.count(False) - math.ceil(on_demand_demand.total))
    spot_supply = _supply_of(machine_type, True, fleet, capacity_backoff, now)
    spot_plan = _plan_scale_out(
        spot_supply, math.ceil(spot_demand.total) - spare_on_demand, spot_demand
    )
    substitutes = _with_substitutes(on_demand_demand, spot_demand, spot_plan, fleet)
    on_demand_supply = _supply_of(machine_type, False, fleet, capacity_backoff, now)
    on_demand_total = math.ceil(on_demand_demand.total) + spot_plan.missing
    on_demand_plan = _plan_scale_out(on_demand_supply, on_demand_total, substitutes)
    return spot_plan.requests + on_demand_plan.requests


def _with_substitutes(
    on_demand: CapacityDemand, spot: CapacityDemand, spot_plan: _ScaleOutPlan, fleet: Fleet
) -> CapacityDemand:
    """Return the demand for on-demand machines, including those replacing spot instances."""
    demand = CapacityDemand(
        minimum_by_zone=dict(on_demand.minimum_by_zone), bound_by_zone=dict(on_demand.bound_by_zone)
    )
    for zone, missing in spot_plan.missing_by_zone.items():
        demand.minimum_by_zone[zone] = demand.minimum_by_zone.get(zone, 0.0) + missing
        bound_shortfall = math.ceil(spot.bound_by_zone.get(zone, 0.0)) - fleet.counts.get(
            (zone, True), 0
        )
        bound_missing = max(0, min(missing, bound_shortfall))
        demand.bound_by_zone[zone] = demand.bound_by_zone.get(zone, 0.0) + bound_missing
    return demand


def _plan_scale_out(supply: _Supply, total: int, demand: CapacityDemand) -> _ScaleOutPlan:
    """Plan requests for the zones' minimums, then for the rest of `total` machines.

    Demand bound to a zone without capacity is not requested in other zones: a machine there
    would stay idle, and use up capacity of the cloud that the bound zone needs.
    """
    counts = dict.fromkeys(supply.open_zones, 0)
    missing_by_zone: dict[str, int] = {}
    for zone, machines in demand.minimum_by_zone.items():
        shortfall = supply.shortfall(zone, machines)
        if shortfall > 0 and zone in counts:
            counts[zone] = shortfall
        elif shortfall > 0:
            missing_by_zone[zone] = shortfall
    missing = sum(missing_by_zone.values())
    shortfall = total - supply.fleet.count(supply.spot) - sum(counts.values())
    if counts:
        shortfall -= sum(
            max(0, supply.shortfall(zone, machines))
            for zone, machines in demand.bound_by_zone.items()
            if zone not in counts
        )
        _spread_evenly(shortfall, counts, supply)
    else:
        missing = max(shortfall, missing, 0)
    return _ScaleOutPlan(_split_requests(supply, counts), missing, missing_by_zone)


def _split_requests(supply: _Supply, counts: dict[str, int]) -> list[ScaleOutRequest]:
    """Split counts into requests within the protocol's limit, alternating between zones.

    Without the alternation, one zone's requests would wait for all of another's.
    """
    requests = []
    outstanding = {zone: count for zone, count in counts.items() if count > 0}
    while outstanding:
        for zone, count in list(outstanding.items()):
            batch_size = min(count, MAX_SCALE_OUT_MACHINES)
            requests.append(ScaleOutRequest(supply.machine_type, zone, supply.spot, batch_size))
            outstanding[zone] -= batch_size
            if not outstanding[zone]:
                del outstanding[zone]
    return requests


def _spread_evenly(machines: int, counts: dict[str, int], supply: _Supply) -> None:
    """Distribute machines as if one by one, each to the zone that then has the fewest."""
    if machines <= 0:
        return
    planned = {zone: supply.machines_in(zone) + count for zone, count in counts.items()}
    level = _fill_level(machines, sorted(planned.values()))
    filled = sorted(zone for zone in counts if planned[zone] <= level)
    for zone in filled:
        counts[zone] += level - planned[zone]
        machines -= level - planned[zone]
    for zone in filled[:machines]:
        counts[zone] += 1


def _fill_level(machines: int, planned: list[int]) -> int:
    """Return the count to which smaller zones can be raised; `planned` is ascending."""
    total = 0
    level = 0
    for filled_zones, lowest_count in enumerate(planned, start=1):
        total += lowest_count
        level = (machines + total) // filled_zones
        if filled_zones == len(planned) or level <= planned[filled_zones]:
            break
    return level


def scale_in(
    demands: CapacityDemands,
    machine_type: MachineType,
    fleet: Fleet,
    policy: ScalingPolicy,
    jobs_arriving: bool,
    now: float,
) -> list[Machine]:
    """Return the idle machines beyond the demand, the longest idle first.

    An idle machine is kept for about as long as a new one takes to boot, since until then it
    costs no more than replacing it would. While no jobs arrive (`jobs_arriving` is false) it
    is kept for less, since it is less likely to be needed.
    """
    spot_demand = demands.get((machine_type.name, True), CapacityDemand())
    on_demand_demand = demands.get((machine_type.name, False), CapacityDemand())
    spot_shortfall = max(0.0, spot_demand.total - fleet.count(True))
    surplus = {
        False: fleet.count(False) - math.ceil(on_demand_demand.total + spot_shortfall),
        True: fleet.count(True) - math.ceil(spot_demand.total),
    }
    minimums = {
        (zone, False): machines for zone, machines in on_demand_demand.minimum_by_zone.items()
    }
    minimums.update(
        {(zone, True): machines for zone, machines in spot_demand.minimum_by_zone.items()}
    )
    max_idle_s = (
        policy.idle_boots * machine_type.boot_s * (1.0 if jobs_arriving else NO_ARRIVALS_IDLE_SHARE)
    )
    remaining = dict(fleet.counts)
    chosen = []
    for machine in _idle_longer_than(max_idle_s, fleet, now):
        key = (machine.zone, machine.spot)
        if surplus[machine.spot] > 0 and remaining[key] - 1 >= minimums.get(key, 0.0):
            surplus[machine.spot] -= 1
            remaining[key] -= 1
            chosen.append(machine)
    return chosen


def _idle_longer_than(idle_s: float, fleet: Fleet, now: float) -> list[Machine]:
    """Return ready machines without work for over `idle_s` seconds, the longest idle first."""
    idle = [
        machine
        for machine in fleet.machines
        if machine.state is MachineState.READY
        and machine.empty
        and now - machine.idle_since > idle_s
    ]
    idle.sort(key=lambda machine: machine.idle_since)
    return idle
