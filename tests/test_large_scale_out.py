"""Scale-out by more machines in one zone than one request may name."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Any

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

import tests.fakes.cloud
from tests.fakes.cloud import FakeCloud
from tests.fault_injection import TRIGGER_POINTS, OperationTrigger
from tests.job_specs import MACHINE_TYPE
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.test_scale_out_limits import (
    ANYWHERE_OR_ZONE,
    FIXED_EXAMPLES,
    MACHINE_COUNTS,
    NOTHING,
    PROTOCOL_MACHINES,
    Demand,
    assert_within_protocol,
    requests_for,
)
from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.operations.cloud_operations import OperationState
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.requests import MAX_OPEN_SCALE_OUTS
from topazhold.operator_settings import OperatorSettings

LARGE_SIZES = st.integers(0, 40 * PROTOCOL_MACHINES)
LARGE_DEMANDS = st.builds(
    Demand, st.lists(st.tuples(LARGE_SIZES, ANYWHERE_OR_ZONE), max_size=4), st.just({})
)
#: Tasks that need a machine each, all in one zone. With the headroom, they need more machines
#: than may be requested in one round.
TASKS = 450
WANTED_MACHINES = math.ceil(TASKS * (1.0 + OperatorSettings().headroom_share))
assert WANTED_MACHINES > PROTOCOL_MACHINES * MAX_OPEN_SCALE_OUTS
#: No machine finishes booting before the end of a scenario, and none is released as late.
BOOT_S = 10_000.0
#: Covers several rounds, a machine list with its lag, and a late delivery.
SETTLED_S = 60.0
#: How long the network holds a request that it delivers late to the cloud.
REQUEST_HOLD_S = 20.0


def by_zone(requests: list[ScaleOutRequest]) -> Counter[str]:
    """Return the requested machines by zone."""
    counts: Counter[str] = Counter()
    for request in requests:
        counts[request.zone] += request.count
    return counts


@FIXED_EXAMPLES
@given(demand=LARGE_DEMANDS, spot=st.booleans())
def test_large_demands_are_requested_whole_once_and_where_they_are_bound(
    demand: Demand, spot: bool
) -> None:
    """Guards against: what goes beyond one request is lost, doubled, or put in another zone."""
    requests = requests_for(*((demand, NOTHING) if spot else (NOTHING, demand)), {}, set())
    assert_within_protocol(requests)
    counts = by_zone(requests)
    assert counts.total() == demand.total
    bound = demand.demand().bound_by_zone
    assert all(counts[zone] >= machines for zone, machines in bound.items())


@FIXED_EXAMPLES
@given(machines=LARGE_SIZES, there=MACHINE_COUNTS, spot=st.booleans())
def test_machines_for_any_zone_go_where_the_fewest_are(
    machines: int, there: dict[tuple[str, bool], int], spot: bool
) -> None:
    """Guards against: spread at once, they end up elsewhere than one by one."""
    demand = Demand([(machines, None)], {})
    requests = requests_for(*((demand, NOTHING) if spot else (NOTHING, demand)), there, set())
    counts = by_zone(requests)
    present = {zone: there.get((zone, spot), 0) for zone in MACHINE_TYPE.zones}
    expected = dict.fromkeys(MACHINE_TYPE.zones, 0)
    for _ in range(counts.total()):
        fewest = min(expected, key=lambda zone: (present[zone] + expected[zone], zone))
        expected[fewest] += 1
    assert {zone: counts[zone] for zone in MACHINE_TYPE.zones} == expected


def rented_in(scenario: Scenario, zone: str) -> int:
    """Return the number of machines that the cloud has rented out in a zone."""
    names = {name for names in scenario.cloud.rented.values() for name in names}
    return sum(scenario.cloud.workers[name].zone == zone for name in names)


async def start_slow_cloud(
    scenario: Scenario, monkeypatch: pytest.MonkeyPatch, capacity: int = 2 * WANTED_MACHINES
) -> str:
    """Start controllers and a cloud whose machines never finish booting; return the leader."""
    (machine_type,) = tests.fakes.cloud.CATALOG["breeds"]
    catalog = {"breeds": [{**machine_type, "ready_s": BOOT_S}]}
    monkeypatch.setattr(tests.fakes.cloud, "CATALOG", catalog)
    monkeypatch.setattr(tests.fakes.cloud, "DEAD_ON_ARRIVAL_SHARE", 1.0)
    scenario.cloud.capacity = capacity
    for settings in scenario.controller_settings.values():
        for team in settings.cluster.teams:
            team.gpus_max = 0.0
    await scenario.start(machines=0)
    leader = scenario.leader()
    assert leader is not None
    return leader


async def submit_large_job(scenario: Scenario, leader: str) -> None:
    """Submit a job whose tasks need a machine each, all in zone a."""
    via = scenario.other_controllers(leader)[0]
    await scenario.submit(via, tasks=TASKS, gpus=4.0, cpus=4.0, zone="a")


async def assert_exactly_wanted_machines_rented(scenario: Scenario) -> None:
    """Assert that exactly the wanted machines are rented, in their zone, and no more later."""
    await scenario.wait_until(lambda: rented_in(scenario, "a") >= WANTED_MACHINES, SETTLED_S)
    await curio.sleep(SETTLED_S)
    assert rented_in(scenario, "a") == WANTED_MACHINES == len(scenario.cloud.workers)


def test_many_machines_of_one_zone_are_rented_once_each(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a request of over 50 machines, which can't be recorded."""

    async def act(scenario: Scenario) -> None:
        leader = await start_slow_cloud(scenario, monkeypatch)
        await submit_large_job(scenario, leader)
        await assert_exactly_wanted_machines_rented(scenario)
        assert scenario.leader() == leader

    assert_no_violations(run_scenario(act, monkeypatch))


@pytest.mark.parametrize("point", TRIGGER_POINTS)
def test_many_machines_are_rented_once_each_while_the_leader_changes(
    point: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a new leader that loses the machines of open requests or rents them twice."""

    async def act(scenario: Scenario) -> None:
        def stop(source: str) -> None:
            scenario.paused_until[source] = scenario.clock.now + SETTLED_S

        leader = await start_slow_cloud(scenario, monkeypatch)
        trigger = OperationTrigger(scenario.network.hosts, point, "rental", stop, REQUEST_HOLD_S)
        await submit_large_job(scenario, leader)
        await scenario.wait_until(lambda: trigger.source is not None)
        await scenario.wait_for_new_leader(leader)
        await assert_exactly_wanted_machines_rented(scenario)

    assert_no_violations(run_scenario(act, monkeypatch))


def record_request_names(scenario: Scenario) -> list[str]:
    """Return a list to which the name of each request is added as it arrives at the cloud."""
    cloud: Callable[..., Any] = scenario.network.hosts[FakeCloud.HOST]
    names: list[str] = []

    async def handle(source: str, method: str, path: str, body: Any) -> Any:
        if method == "POST" and path == "/machines":
            names.append(body["swarm_ask"])
        return await cloud(source, method, path, body)

    scenario.network.hosts[FakeCloud.HOST] = handle
    return names


def test_requests_beyond_the_clouds_capacity_are_withdrawn(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against further requests to a full cloud: each refusal doubles the backoff."""
    capacity = PROTOCOL_MACHINES + 10

    async def act(scenario: Scenario) -> None:
        names = record_request_names(scenario)
        leader = await start_slow_cloud(scenario, monkeypatch, capacity)
        await submit_large_job(scenario, leader)
        await scenario.wait_until(lambda: rented_in(scenario, "a") == capacity)
        await curio.sleep(2 * scenario.worker_settings.heartbeat_interval_s)
        assert len(names) == 2, "one request is filled and one filled in part"
        log = scenario.controllers[leader].leader_term.operations.operation_log
        assert log.counters.withdrawn == MAX_OPEN_SCALE_OUTS - len(names)
        assert log.may_scale_out()

    assert_no_violations(run_scenario(act, monkeypatch))


def test_requests_keep_to_the_rate_limit_of_the_cloud(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against counting requests held back by the rate limit as sent.

    They would be unanswered, and block other requests.
    """

    async def act(scenario: Scenario) -> None:
        for settings in scenario.controller_settings.values():
            settings.cluster.cloud.rps = 3.0
        leader = await start_slow_cloud(scenario, monkeypatch)
        await submit_large_job(scenario, leader)
        await assert_exactly_wanted_machines_rented(scenario)
        log = scenario.controllers[leader].leader_term.operations.operation_log
        assert log.counters.repeated == 0

    assert_no_violations(run_scenario(act, monkeypatch))


def test_adopted_request_is_not_withdrawn() -> None:
    """Guards against never learning of machines that the earlier term's request has rented."""
    request = ScaleOutRequest("b1", "a", False, 1)
    predecessor_log = OperationLog("hive-0", 1, 2048, retention_s=10.0)
    adopted = predecessor_log.decide_scale_out(request, 1.0)
    log = OperationLog("hive-1", 2, 2048, retention_s=10.0)
    adopted_request = log.adopt(adopted.record, 1.0)
    refused, unsent = (log.decide_scale_out(request, 1.0) for _ in range(2))
    log.mark_recorded([refused, unsent], 1.0)
    log.start_request(refused)
    log.complete_scale_out(refused, [], 2.0)
    log.withdraw_unsent(refused, 2.0)
    assert unsent.state is OperationState.CONFIRMED
    assert log.scale_outs_due() == [adopted_request]
