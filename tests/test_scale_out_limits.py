"""The protocol accepts at most 50 machines in one scale-out request."""

from __future__ import annotations

from typing import Any, NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.job_specs import MACHINE_TYPE, make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.autoscaling import CapacityBackoff, Fleet, ScaleOutRequest, scale_out
from topazhold.core.capacity_demand import CapacityDemand
from topazhold.core.machines import Machine, MachineState

#: `POST /machines` in the protocol: "`count` is at most 50". Not imported from the code under
#: test, which must keep to the protocol.
PROTOCOL_MACHINES = 50
#: Most machines of one drawn demand.
MAX_DEMANDED = 130
#: Most machines of one zone and kind in a drawn fleet.
MAX_PRESENT = 40
NOW = 100.0
#: Draws the same examples in every run and stores none. The seed is derived from the source of
#: the test function: another docstring or name draws other examples.
FIXED_EXAMPLES = settings(max_examples=300, deadline=None, derandomize=True, database=None)

ZONES = st.sampled_from(MACHINE_TYPE.zones)
ANYWHERE_OR_ZONE = st.none() | ZONES
#: A zone, and whether the machines are spot (else on-demand).
KINDS = st.tuples(ZONES, st.booleans())
MACHINE_COUNTS = st.dictionaries(KINDS, st.integers(0, MAX_PRESENT))
REFUSED_KINDS = st.sets(KINDS)


class Demand(NamedTuple):
    """A drawn demand for machines, spot or on-demand."""

    machines: list[tuple[int, str | None]]  # number of machines, and their zone or None for any
    minimum_by_zone: dict[str, int]  # least number of machines by zone, bound to it or not

    @property
    def total(self) -> int:
        return sum(machines for machines, _ in self.machines)

    def demand(self) -> CapacityDemand:
        demand = CapacityDemand()
        for machines, zone in self.machines:
            demand.add(float(machines), zone)
        for zone, machines in self.minimum_by_zone.items():
            demand.at_least(float(machines), zone)
        return demand


DEMAND_SIZES = st.integers(0, MAX_DEMANDED)
DEMANDS = st.builds(
    Demand,
    st.lists(st.tuples(DEMAND_SIZES, ANYWHERE_OR_ZONE), max_size=4),
    st.dictionaries(ZONES, DEMAND_SIZES),
)
#: Demands that fit one request.
SMALL_DEMANDS = st.builds(
    Demand,
    st.lists(st.tuples(st.integers(0, PROTOCOL_MACHINES), ANYWHERE_OR_ZONE), max_size=4),
    st.just({}),
).filter(lambda demand: demand.total <= PROTOCOL_MACHINES)

NOTHING = Demand([], {})


def fleet_of(counts: dict[tuple[str, bool], int]) -> Fleet:
    """Return a fleet with the given number of ready machines by zone and kind."""
    machines = []
    for (zone, spot), count in counts.items():
        for number in range(count):
            name = f"host-{zone}-{'spot' if spot else 'ordinary'}-{number}"
            machine = Machine(name, zone, spot, MACHINE_TYPE, 0.0)
            machine.state = MachineState.READY
            machines.append(machine)
    return Fleet(MACHINE_TYPE, machines)


def refuse(capacity_backoff: CapacityBackoff, kinds: set[tuple[str, bool]], now: float) -> None:
    """Record that the cloud has refused these kinds of machines now."""
    for zone, spot in kinds:
        capacity_backoff.on_refused(MACHINE_TYPE.name, zone, spot, 10.0, now)


def requests_for(
    spot: Demand,
    ordinary: Demand,
    present: dict[tuple[str, bool], int],
    refused: set[tuple[str, bool]],
) -> list[ScaleOutRequest]:
    capacity_backoff = CapacityBackoff()
    refuse(capacity_backoff, refused, NOW)
    name = MACHINE_TYPE.name
    demands = {(name, True): spot.demand(), (name, False): ordinary.demand()}
    return scale_out(demands, MACHINE_TYPE, fleet_of(present), capacity_backoff, NOW)


def assert_within_protocol(requests: list[ScaleOutRequest]) -> None:
    for request in requests:
        assert 1 <= request.count <= PROTOCOL_MACHINES, (
            f"a request names {request.count} machines of zone {request.zone}, "
            f"the protocol takes {PROTOCOL_MACHINES}"
        )


@FIXED_EXAMPLES
@given(spot=DEMANDS, ordinary=DEMANDS, there=MACHINE_COUNTS, refused=REFUSED_KINDS)
def test_no_scale_out_request_names_more_than_the_protocol_takes(
    spot: Demand,
    ordinary: Demand,
    there: dict[tuple[str, bool], int],
    refused: set[tuple[str, bool]],
) -> None:
    assert_within_protocol(requests_for(spot, ordinary, there, refused))


@FIXED_EXAMPLES
@given(
    jobs=st.lists(
        st.fixed_dictionaries(
            {
                "tasks": st.integers(1, MAX_DEMANDED),
                "zone": ANYWHERE_OR_ZONE,
                "spot": st.booleans(),
                "same_zone": st.booleans(),
            }
        ),
        max_size=4,
    ),
    there=st.integers(0, 4),
    refused=REFUSED_KINDS,
)
def test_no_scale_out_request_for_jobs_names_more_than_the_protocol_takes(
    jobs: list[dict[str, Any]], there: int, refused: set[tuple[str, bool]]
) -> None:
    """The whole way, from jobs whose tasks take a machine each."""
    harness = SchedulerHarness(machines=there)
    for number, job in enumerate(jobs):
        harness.add_job(make_spec(number, cpus=MACHINE_TYPE.cpus, gpus=0.0, shape="batch", **job))
    refuse(harness.scheduler.capacity_backoff, refused, harness.now)
    assert_within_protocol(harness.scheduler.scale_out(harness.now))


@FIXED_EXAMPLES
@given(demand=SMALL_DEMANDS, spot=st.booleans())
def test_small_demands_are_requested_whole_and_once(demand: Demand, spot: bool) -> None:
    """Control: with nothing there and nothing refused, the requests add up to the demand."""
    requests = requests_for(*((demand, NOTHING) if spot else (NOTHING, demand)), {}, set())
    assert_within_protocol(requests)
    assert sum(request.count for request in requests) == demand.total
    assert all(request.spot is spot for request in requests)


@FIXED_EXAMPLES
@given(demand=SMALL_DEMANDS, spot=st.booleans())
def test_what_is_there_already_is_not_requested(demand: Demand, spot: bool) -> None:
    """Control: the fleet of the test counts."""
    there = {(zone, spot): demand.total for zone in MACHINE_TYPE.zones}
    assert requests_for(*((demand, NOTHING) if spot else (NOTHING, demand)), there, set()) == []


@FIXED_EXAMPLES
@given(demand=SMALL_DEMANDS, refused=REFUSED_KINDS)
def test_nothing_is_requested_where_the_cloud_has_just_refused(
    demand: Demand, refused: set[tuple[str, bool]]
) -> None:
    """Control: the refusals of the test count."""
    requests = requests_for(demand, demand, {}, refused)
    assert not refused & {(request.zone, request.spot) for request in requests}
