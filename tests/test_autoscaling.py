"""Scale-out requests while the cloud has refused capacity in some zones."""

from __future__ import annotations

from tests.job_specs import MACHINE_TYPE
from topazhold.core.autoscaling import CapacityBackoff, Fleet, ScaleOutRequest, scale_out
from topazhold.core.capacity_demand import CapacityDemand
from topazhold.core.machines import Machine, MachineState

NOW = 100.0


def fleet_of(**by_zone: int) -> Fleet:
    """Return a fleet with the given number of ready on-demand machines in each zone."""
    machines = []
    for zone, count in by_zone.items():
        for number in range(count):
            machine = Machine(f"host-{zone}{number}", zone, False, MACHINE_TYPE, 0.0)
            machine.state = MachineState.READY
            machines.append(machine)
    return Fleet(MACHINE_TYPE, machines)


def requests_for(
    demand: CapacityDemand, fleet: Fleet, capacity_backoff: CapacityBackoff, spot: bool
) -> list[ScaleOutRequest]:
    return scale_out(
        {(MACHINE_TYPE.name, spot): demand}, MACHINE_TYPE, fleet, capacity_backoff, NOW
    )


def backoff_of_refused(*kinds: tuple[str, bool]) -> CapacityBackoff:
    capacity_backoff = CapacityBackoff()
    for zone, spot in kinds:
        capacity_backoff.on_refused(MACHINE_TYPE.name, zone, spot, 10.0, NOW)
    return capacity_backoff


def test_demand_bound_to_a_full_zone_is_not_requested_in_another() -> None:
    """Guards against renting machines that the demand can't use.

    A gang of zone a waited for 447 s while machines of zone b were rented and released. Each
    release made capacity for zone a, which the next request for zone b took before zone a was
    requested again.
    """
    for spot in (False, True):
        demand = CapacityDemand()
        demand.add(5.0, "a")
        demand.add(1.0, None)
        capacity_backoff = backoff_of_refused(("a", False), ("a", True), ("b", True))
        assert requests_for(demand, fleet_of(a=1, b=3), capacity_backoff, spot) == []


def test_unbound_demand_is_requested_in_a_zone_without_backoff() -> None:
    demand = CapacityDemand()
    demand.add(5.0, None)
    demand.at_least(4.0, "a")
    requests = requests_for(demand, fleet_of(a=1), backoff_of_refused(("a", False)), False)
    assert [(request.zone, request.count) for request in requests] == [("b", 4)]


def test_bound_demand_is_requested_in_its_zone_without_backoff() -> None:
    demand = CapacityDemand()
    demand.add(5.0, "a")
    requests = requests_for(demand, fleet_of(a=1, b=3), CapacityBackoff(), False)
    assert [(request.zone, request.count) for request in requests] == [("a", 4)]
