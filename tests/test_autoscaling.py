"""What is asked of the cloud where it has refused some of it."""

from __future__ import annotations

from tests.job_specs import MACHINE_TYPE
from topazhold.core.autoscaling import CapacityBackoff, Fleet, ScaleOutRequest, scale_out
from topazhold.core.capacity_demand import CapacityDemand
from topazhold.core.machines import Machine, MachineState

NOW = 100.0


def fleet_of(**by_zone: int) -> Fleet:
    """Ordinary machines that are ready, so many in each zone."""
    machines = []
    for zone, count in by_zone.items():
        for number in range(count):
            machine = Machine(f"host-{zone}{number}", zone, False, MACHINE_TYPE, 0.0)
            machine.state = MachineState.READY
            machines.append(machine)
    return Fleet(MACHINE_TYPE, machines)


def asks_for(
    demand: CapacityDemand, fleet: Fleet, capacity_backoff: CapacityBackoff, spot: bool
) -> list[ScaleOutRequest]:
    return scale_out(
        {(MACHINE_TYPE.name, spot): demand}, MACHINE_TYPE, fleet, capacity_backoff, NOW
    )


def refused(*kinds: tuple[str, bool]) -> CapacityBackoff:
    capacity_backoff = CapacityBackoff()
    for zone, spot in kinds:
        capacity_backoff.on_refused(MACHINE_TYPE.name, zone, spot, 10.0, NOW)
    return capacity_backoff


def test_what_is_bound_to_a_full_zone_is_not_rented_in_another() -> None:
    """A gang of zone a waited for 447 s while machines of zone b were rented and given back.

    Each one given back was room for zone a, which the next request for zone b took before
    zone a was asked again.
    """
    for spot in (False, True):
        demand = CapacityDemand()
        demand.add(5.0, "a")
        demand.add(1.0, None)
        capacity_backoff = refused(("a", False), ("a", True), ("b", True))
        assert asks_for(demand, fleet_of(a=1, b=3), capacity_backoff, spot) == []


def test_what_may_run_anywhere_is_rented_where_there_is_room() -> None:
    demand = CapacityDemand()
    demand.add(5.0, None)
    demand.at_least(4.0, "a")
    requests = asks_for(demand, fleet_of(a=1), refused(("a", False)), False)
    assert [(ask.zone, ask.count) for ask in requests] == [("b", 4)]


def test_bound_work_is_asked_for_as_soon_as_its_zone_may_be_asked() -> None:
    demand = CapacityDemand()
    demand.add(5.0, "a")
    requests = asks_for(demand, fleet_of(a=1, b=3), CapacityBackoff(), False)
    assert [(ask.zone, ask.count) for ask in requests] == [("a", 4)]
