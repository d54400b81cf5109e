"""An operation that can't be recorded must not block the operations decided after it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial
from http import HTTPStatus
from typing import Any, NamedTuple

import curio
import msgspec
import pytest

import topazhold.settings
from tests.fakes.cloud import FakeCloud
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.operations.records import InvalidRecordError, encode_record

#: `POST /machines` in the protocol: "`count` is at most 50".
MAX_MACHINES_PER_REQUEST = 50
#: Heartbeat intervals within which an operation is recorded and sent. The scale-out loop runs once
#: per interval: one until the operation is decided, one for a failed attempt, one in reserve.
MAX_RECORDING_HEARTBEATS = 3.0


class OperationProgress(NamedTuple):
    """Predicates: the store has the operation's record, the cloud has received its request."""

    recorded: Callable[[], bool]
    sent: Callable[[], bool]


#: Makes the leader decide on an operation through its usual inputs, machines and jobs.
Decide = Callable[[Scenario, str], Awaitable[OperationProgress]]


async def start_cluster(scenario: Scenario) -> str:
    """Start a cluster with an idle machine and no open scale-out; return the leader."""
    await scenario.start(machines=4)
    await scenario.submit_running_jobs(1, scenario.controller_names[0], tasks=3, gpus=1.0)
    leader = scenario.leader()
    assert leader is not None
    operation_log = scenario.controllers[leader].leader_term.operations.operation_log
    await scenario.wait_until(
        lambda: operation_log.may_scale_out() and idle_machines(scenario, leader)
    )
    return leader


def idle_machines(scenario: Scenario, leader: str) -> list[str]:
    """Return the machines without tasks that the leader knows."""
    busy = {worker.name for worker in scenario.busy_workers()}
    machines = scenario.controllers[leader].leader_term.scheduler.machines
    return sorted(machines.keys() & scenario.cloud.workers.keys() - busy)


async def scale_in(scenario: Scenario, leader: str) -> OperationProgress:
    """Release an idle machine."""
    scheduler = scenario.controllers[leader].leader_term.scheduler
    name = idle_machines(scenario, leader)[0]
    worker = scenario.cloud.workers[name]
    scheduler.release(scheduler.machines[name], "chosen", scenario.clock.now)
    return OperationProgress(
        lambda: name in scenario.cloud.operations.recorded_returns, lambda: worker.terminated
    )


async def scale_out(scenario: Scenario, leader: str) -> OperationProgress:
    """Submit a job that needs more machines than there are."""
    history, requests = scenario.cloud.operations, scenario.cloud.rented
    recorded, sent = set(history.recorded_rentals), set(requests)
    await scenario.submit(scenario.other_controllers(leader)[0], 20.0, tasks=12, gpus=4.0, cpus=4.0)
    return OperationProgress(
        lambda: history.recorded_rentals > recorded, lambda: requests.keys() > sent
    )


def decide_unrecordable(scenario: Scenario, leader: str) -> None:
    """Decide on a scale-out whose count is too large for a valid record."""
    operation_log = scenario.controllers[leader].leader_term.operations.operation_log
    operation = operation_log.decide_scale_out(
        ScaleOutRequest("b1", "a", False, 1), scenario.clock.now
    )
    operation.record = msgspec.structs.replace(operation.record, count=MAX_MACHINES_PER_REQUEST + 1)
    with pytest.raises(InvalidRecordError):
        encode_record(operation.record)


async def wait_until_in_time(scenario: Scenario, condition: Callable[[], bool]) -> bool:
    """Return whether the condition is met within `MAX_RECORDING_HEARTBEATS`."""
    deadline = (
        scenario.clock.now
        + MAX_RECORDING_HEARTBEATS * scenario.worker_settings.heartbeat_interval_s
    )
    while not condition() and scenario.clock.now < deadline:
        await curio.sleep(0.01)
    return condition()


async def assert_recorded_and_sent(scenario: Scenario, leader: str, decide: Decide) -> None:
    """Check that an operation is recorded and sent in time and without a change of leader."""
    progress = await decide(scenario, leader)
    await wait_until_in_time(scenario, lambda: progress.recorded() and progress.sent())
    assert progress.recorded(), f"not recorded within {MAX_RECORDING_HEARTBEATS} heartbeats"
    assert progress.sent(), f"not sent within {MAX_RECORDING_HEARTBEATS} heartbeats"
    assert scenario.leader() == leader


def refuse_large_requests(scenario: Scenario) -> list[int]:
    """Make the cloud refuse requests for too many machines; return a list of their counts."""
    cloud = scenario.network.hosts[FakeCloud.HOST]
    refused: list[int] = []

    async def handle(source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        if method == "POST" and path == "/machines" and body["count"] > MAX_MACHINES_PER_REQUEST:
            refused.append(body["count"])
            return HTTPStatus.BAD_REQUEST, {"error": "malformed"}
        answer: tuple[int, Any] = await cloud(source, method, path, body)
        return answer

    scenario.network.hosts[FakeCloud.HOST] = handle
    return refused


DECISIONS = pytest.mark.parametrize("decide", [scale_in, scale_out])


@DECISIONS
def test_unrecordable_operation_does_not_hold_up_others(
    decide: Decide, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        decide_unrecordable(scenario, leader)
        await assert_recorded_and_sent(scenario, leader, decide)

    assert_no_violations(run_scenario(act, monkeypatch))


@DECISIONS
def test_operation_alone_is_recorded_and_sent_in_time(
    decide: Decide, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Control: the same operations without an unrecordable one before them."""

    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        await assert_recorded_and_sent(scenario, leader, decide)

    assert_no_violations(run_scenario(act, monkeypatch))


@DECISIONS
def test_without_records_only_the_refused_request_is_lost(
    decide: Decide, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Control: with `record_orders` off, as the operators' page advises, others are executed."""
    settings_without_records = partial(topazhold.settings.OperatorSettings, record_operations=False)
    monkeypatch.setattr(topazhold.settings, "OperatorSettings", settings_without_records)

    async def act(scenario: Scenario) -> None:
        scenario.cloud.operations.checks_enabled = False  # nothing is recorded
        leader = await start_cluster(scenario)
        refused = refuse_large_requests(scenario)
        decide_unrecordable(scenario, leader)
        progress = await decide(scenario, leader)
        assert await wait_until_in_time(scenario, progress.sent), "blocked by the refused request"
        await curio.sleep(MAX_RECORDING_HEARTBEATS * scenario.worker_settings.heartbeat_interval_s)
        assert refused == [MAX_MACHINES_PER_REQUEST + 1], "requested once and not retried"
        assert not progress.recorded()

    assert_no_violations(run_scenario(act, monkeypatch))
    assert "permanently refused" in caplog.text
