"""What is asked of the cloud where it has refused some of it."""

from __future__ import annotations

from tests.job_specs import MACHINE_TYPE
from topazhold.core.machines import Machine, MachineState
from topazhold.core.renting import Ask, Fleet, Refusals, Wish, rent

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


def asks_for(wish: Wish, fleet: Fleet, refusals: Refusals, spot: bool) -> list[Ask]:
    return rent({(MACHINE_TYPE.name, spot): wish}, MACHINE_TYPE, fleet, refusals, NOW)


def refused(*kinds: tuple[str, bool]) -> Refusals:
    refusals = Refusals()
    for zone, spot in kinds:
        refusals.refused(MACHINE_TYPE.name, zone, spot, 10.0, NOW)
    return refusals


def test_what_is_bound_to_a_full_zone_is_not_rented_in_another() -> None:
    """A gang of zone a waited for 447 s while machines of zone b were rented and given back.

    Each one given back was room for zone a, which the next request for zone b took before
    zone a was asked again.
    """
    for spot in (False, True):
        wish = Wish()
        wish.add(5.0, "a")
        wish.add(1.0, None)
        refusals = refused(("a", False), ("a", True), ("b", True))
        assert asks_for(wish, fleet_of(a=1, b=3), refusals, spot) == []


def test_what_may_run_anywhere_is_rented_where_there_is_room() -> None:
    wish = Wish()
    wish.add(5.0, None)
    wish.at_least(4.0, "a")
    asks = asks_for(wish, fleet_of(a=1), refused(("a", False)), False)
    assert [(ask.zone, ask.count) for ask in asks] == [("b", 4)]


def test_bound_work_is_asked_for_as_soon_as_its_zone_may_be_asked() -> None:
    wish = Wish()
    wish.add(5.0, "a")
    asks = asks_for(wish, fleet_of(a=1, b=3), Refusals(), False)
    assert [(ask.zone, ask.count) for ask in asks] == [("a", 4)]
