"""Cloud operations of real controllers, interrupted at every point by pauses and outages."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import curio
import pytest

from tests.fakes.cloud import FakeCloud
from tests.fakes.controllers import start_controller
from tests.fault_injection import TRIGGER_POINTS, OperationTrigger
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.versions import production
from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.operations.cloud_operations import (
    OperationState,
    OperationStateError,
    ScaleInOperation,
)
from topazhold.operations.lease_confidence import LeaseConfidence, LeaseConfidenceTracker
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.records import (
    OPERATION_PREFIX,
    SCALE_IN_PREFIX,
    SCALE_OUT_PREFIX,
    InvalidRecordError,
    ScaleInRecord,
    decode_record,
    encode_record,
)
from topazhold.operations.retention import MAX_RETAINED_SCALE_INS

#: Duration of a pause or an outage, much longer than a controller's lease.
PAUSE_S = 30.0
#: Time after which a request that the network held back arrives at the cloud.
REQUEST_DELAY_S = 120.0


def pause_sender(scenario: Scenario) -> Callable[[str], None]:
    """Return an action that pauses the sender of an operation for `PAUSE_S`."""

    def act(source: str) -> None:
        scenario.paused_until[source] = scenario.clock.now + PAUSE_S

    return act


def trigger_on(
    scenario: Scenario, point: str, kind: str, act: Callable[[str], None]
) -> OperationTrigger:
    """Call `act` with the sender of the first operation of a kind, at a point of that operation."""
    return OperationTrigger(scenario.network.hosts, point, kind, act, REQUEST_DELAY_S)


def stop_store(scenario: Scenario) -> Callable[[str], None]:
    """Return an action that stops the store; the test has to start it again."""

    def act(source: str) -> None:
        scenario.store.set_down(True)

    return act


async def start_cluster(scenario: Scenario) -> str:
    """Start the cluster with four machines and two running jobs; return the leader."""
    await scenario.start(machines=4)
    await scenario.submit_running_jobs(2, scenario.controller_names[0], gpus=1.0)
    leader = scenario.leader()
    assert leader is not None
    return leader


async def decide_operation(scenario: Scenario, leader: str, kind: str) -> None:
    """Have the leader decide on a scale-in ("return") or a scale-out ("rental")."""
    scheduler = scenario.controllers[leader].leader_term.scheduler
    if kind == "return":
        busy = {worker.name for worker in scenario.busy_workers()}
        idle = sorted(name for name in scheduler.machines if name not in busy)
        chosen = scheduler.machines[idle[0] if idle else min(scheduler.machines)]
        scheduler.release(chosen, "chosen", scenario.clock.now)
    else:
        via = scenario.other_controllers(leader)[0]
        await scenario.submit(via, 20.0, tasks=12, gpus=4.0, cpus=4.0)


async def wait_until_settled(scenario: Scenario) -> None:
    """Wait until all operations and their records are closed and the leader knows all machines."""
    await curio.sleep(REQUEST_DELAY_S + 10.0)
    await scenario.wait_until(lambda: scenario.leader() is not None)
    leader = scenario.leader()
    assert leader is not None
    await scenario.wait_until(lambda: not open_records(scenario), 240.0)
    known = scenario.controllers[leader].leader_term.scheduler.machines
    await scenario.wait_until(lambda: scenario.cloud.workers.keys() <= known.keys(), 60.0)


def open_records(scenario: Scenario) -> list[str]:
    """Return the keys of open records.

    A record of a scale-in whose machines are gone is only retained for outdated machine lists.
    """
    names = set(scenario.cloud.workers)
    return [
        key
        for key, (data, _, _) in scenario.store.data.items()
        if key.startswith(SCALE_OUT_PREFIX) or names & set(data.get("machines", ()) if data else ())
        if key.startswith(OPERATION_PREFIX)
    ]


@pytest.mark.parametrize("successors", [1, 2])
@pytest.mark.parametrize("kind", ["return", "rental"])
@pytest.mark.parametrize("point", TRIGGER_POINTS)
def test_operation_of_a_paused_executor_has_no_effect_after_failover(
    point: str, kind: str, successors: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        trigger = trigger_on(scenario, point, kind, pause_sender(scenario))
        await decide_operation(scenario, leader, kind)
        await scenario.wait_until(lambda: trigger.source is not None)
        assert trigger.source == leader
        new = await scenario.wait_for_new_leader(leader)
        if successors == 2:
            await scenario.stop(new)
            await scenario.start_again(new, 1.0)
            await scenario.wait_until(lambda: scenario.leader() not in (None, leader), 30.0)
        takeover_at = scenario.clock.now
        await wait_until_settled(scenario)
        stale_operations = [
            executed
            for executed in scenario.cloud.operations.executed
            if executed.at > takeover_at and executed.stale
        ]
        assert stale_operations == [], "an operation of a former leader had an effect"

    assert_no_violations(run_scenario(act, monkeypatch))


@pytest.mark.parametrize("kind", ["return", "rental"])
@pytest.mark.parametrize("point", TRIGGER_POINTS)
def test_operation_is_completed_once_though_the_store_fails_at_any_point(
    point: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        trigger = trigger_on(scenario, point, kind, stop_store(scenario))
        await decide_operation(scenario, leader, kind)
        await scenario.wait_until(lambda: trigger.source is not None)
        await curio.sleep(PAUSE_S)
        scenario.store.set_down(False)
        await wait_until_settled(scenario)

    assert_no_violations(run_scenario(act, monkeypatch))


@pytest.mark.parametrize("point", TRIGGER_POINTS)
def test_open_operation_survives_a_restart_of_all_controllers(
    point: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        trigger = trigger_on(scenario, point, "return", pause_sender(scenario))
        await decide_operation(scenario, leader, "return")
        await scenario.wait_until(lambda: trigger.source is not None)
        for name in list(scenario.controllers):
            await scenario.stop(name)
        scenario.paused_until.clear()
        await curio.sleep(1.0)
        for name in scenario.controller_names:  # the former leader may lead again
            await start_controller(scenario, name)
        await wait_until_settled(scenario)

    assert_no_violations(run_scenario(act, monkeypatch))


def test_no_operation_is_decided_twice_under_lost_answers_and_late_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scenario: Scenario) -> None:
        await start_cluster(scenario)
        network = scenario.network
        network.late_operation_share, network.late_write_share = 0.4, 0.3
        network.loss_share = 0.1
        submitting = await curio.spawn(scenario.run_users, 24, 48.0, daemon=True)
        for number in range(8):
            await curio.sleep(6.0)
            scenario.cloud.down = number % 3 == 2
        await submitting.join()
        scenario.cloud.down = False
        network.late_operation_share = network.late_write_share = network.loss_share = 0.0
        await wait_until_settled(scenario)
        assert len(scenario.cloud.operations.executed) > 3

    assert_no_violations(run_scenario(act, monkeypatch))


@pytest.mark.parametrize("status", [400, 429, 503])
def test_scale_out_completes_after_refusals_by_the_cloud(
    status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A request is retried under the same name, unless it was refused as malformed (400)."""

    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        cloud = scenario.network.hosts[FakeCloud.HOST]
        request_names: list[str] = []

        async def refuse(source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
            if method == "POST" and path == "/machines" and len(request_names) < 3:
                request_names.append(body["swarm_ask"])
                return status, {"error": "trouble"}
            return await cloud(source, method, path, body)

        scenario.network.hosts[FakeCloud.HOST] = refuse
        await decide_operation(scenario, leader, "rental")
        await scenario.wait_until(lambda: len(request_names) == 3)
        repeated = len(set(request_names)) < 3
        assert repeated == (status != 400)
        await scenario.wait_until(
            lambda: scenario.cloud.rented and len(scenario.cloud.workers) == 8
        )
        await wait_until_settled(scenario)

    assert_no_violations(run_scenario(act, monkeypatch))


def test_unrecorded_release_in_an_outage_is_announced_to_all_controllers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """In an outage of the store, a machine that can't stop a cancelled task is released."""

    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        via = scenario.other_controllers(leader)[0]
        (job,) = await scenario.submit_running_jobs(1, via, tasks=1, gpus=1.0)
        (worker,) = [w for w in scenario.cloud.workers.values() if job in w.hosted_jobs]
        worker.hanging_until = scenario.clock.now + 500.0
        assert await scenario.cancel(job, via) == HTTPStatus.OK
        await curio.sleep(0.5)
        scenario.store.set_down(True)
        await scenario.wait_until(lambda: worker.terminated)
        await curio.sleep(1.0)
        assert scenario.cloud.operations.unrecorded_releases == [worker.name]
        for node in scenario.controllers.values():
            assert worker.name in node.state.released.names()
        await curio.sleep(20.0)
        scenario.store.set_down(False)
        await scenario.stop(leader)
        new = await scenario.wait_for_new_leader(leader)
        assert worker.name not in scenario.controllers[new].leader_term.scheduler.machines
        await wait_until_settled(scenario)

    assert_no_violations(run_scenario(act, monkeypatch))


def test_scale_in_of_a_machine_with_a_pending_launch_completes_after_failover(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The leader pauses after writing the launch's intents; its successor releases the machine."""

    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        idle = next(w for w in scenario.cloud.workers.values() if not w.active_tasks())
        await scenario.submit(scenario.other_controllers(leader)[0], 10.0, tasks=4, gpus=4.0)
        intents_prefix = "on/"
        await scenario.wait_until(
            lambda: any(
                key.startswith(intents_prefix) and idle.name in data["boxes"]
                for key, (data, _, _) in scenario.store.data.items()
            )
        )
        scenario.paused_until[leader] = scenario.clock.now + PAUSE_S
        new = await scenario.wait_for_new_leader(leader)
        scheduler = scenario.controllers[new].leader_term.scheduler
        scheduler.release(scheduler.machines[idle.name], "chosen", scenario.clock.now)
        await scenario.wait_until(lambda: idle.terminated)
        await wait_until_settled(scenario)

    assert_no_violations(run_scenario(act, monkeypatch))


def test_leader_survives_a_spot_preemption_during_an_open_scale_in(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        preempted: list[str] = []

        def preempt(source: str) -> None:
            for name in scenario.controllers[leader].leader_term.scheduler.releases:
                preempted.append(name)
                scenario.cloud.remove(scenario.cloud.workers[name])

        trigger_on(scenario, "after_record", "return", preempt)
        await decide_operation(scenario, leader, "return")
        await scenario.wait_until(lambda: bool(preempted))
        await wait_until_settled(scenario)
        assert scenario.leader() == leader

    assert_no_violations(run_scenario(act, monkeypatch))


def test_successor_places_nothing_on_a_machine_of_an_open_scale_in(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The machine still sends heartbeats, and a gang that could use it is waiting."""

    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        trigger = trigger_on(scenario, "after_record", "return", pause_sender(scenario))
        scenario.cloud.down = True  # the successor can't complete it yet
        await decide_operation(scenario, leader, "return")
        await scenario.wait_until(lambda: trigger.source is not None)
        (name,) = scenario.controllers[leader].leader_term.scheduler.releases
        new = await scenario.wait_for_new_leader(leader)
        await scenario.submit(new, 10.0, tasks=8, gpus=1.0, shape="gang")
        await curio.sleep(20.0)
        worker = scenario.cloud.workers[name]
        assert not worker.tasks and worker.up, "the machine has tasks or is down"
        scenario.cloud.down = False
        await wait_until_settled(scenario)
        assert name not in scenario.cloud.workers

    assert_no_violations(run_scenario(act, monkeypatch))


def test_scale_in_is_dropped_if_an_older_version_used_the_machine_meanwhile(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The older version ignores the record and places tasks; the next leader keeps the machine."""

    async def act(scenario: Scenario) -> None:
        scenario.cloud.operations.checks_enabled = False  # production records none
        leader = await start_cluster(scenario)
        trigger = trigger_on(scenario, "after_record", "return", pause_sender(scenario))
        await decide_operation(scenario, leader, "return")
        await scenario.wait_until(lambda: trigger.source is not None)
        (name,) = scenario.controllers[leader].leader_term.scheduler.releases
        for node in list(scenario.controllers):
            await scenario.stop(node)
        scenario.paused_until.clear()
        scenario.versions = dict.fromkeys(scenario.controller_names, production())
        for node in scenario.controller_names:
            await start_controller(scenario, node)
        await scenario.wait_until(lambda: scenario.leader() is not None)
        await scenario.submit(  # enough tasks to use all machines
            scenario.controller_names[0], 500.0, tasks=16, gpus=1.0
        )
        worker = scenario.cloud.workers[name]
        await scenario.wait_until(lambda: any(t.state == "running" for t in worker.tasks.values()))
        for node in scenario.controller_names:
            await scenario.stop(node)
            del scenario.versions[node]
            await scenario.start_again(node)
        await scenario.wait_until(lambda: scenario.leader() is not None)
        await curio.sleep(30.0)
        assert any(t.state == "running" for t in scenario.cloud.workers[name].tasks.values())
        await scenario.wait_until(
            lambda: not any(k.startswith(SCALE_IN_PREFIX) for k in scenario.store.data)
        )

    assert_no_violations(run_scenario(act, monkeypatch))


def test_unreadable_records_are_left_alone_and_others_are_processed(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    unreadable_records = {
        f"{SCALE_IN_PREFIX}000000000001-00000001": {"machines": 3},
        f"{SCALE_IN_PREFIX}junk": None,
        f"{OPERATION_PREFIX}unheard/of": {"by": "x"},
    }

    async def act(scenario: Scenario) -> None:
        for key, value in unreadable_records.items():
            scenario.store.data[key] = (value, 5, None)
        leader = await start_cluster(scenario)
        await decide_operation(scenario, leader, "return")
        await curio.sleep(5.0)
        assert scenario.cloud.operations.executed
        assert unreadable_records.keys() <= scenario.store.data.keys()

    assert_no_violations(run_scenario(act, monkeypatch))
    for key in unreadable_records:
        assert f"{key} unreadable" in caplog.text


def scale_in_record(names: list[str], number: int = 1) -> ScaleInRecord:
    machines = dict.fromkeys(names, "idle")
    return ScaleInRecord(by="d1-1", term=1, number=number, at=1.0, machines=machines)


def test_scale_in_records_are_split_to_fit_and_validated() -> None:
    operation_log = OperationLog("hive-0", 7, max_value_bytes=2048, retention_s=10.0)
    reasons = {f"host-{number:06d}": "silent and not listed" for number in range(300)}
    operations = operation_log.decide_scale_in(reasons, 5.0)
    assert len(operations) > 3 and len({operation.key for operation in operations}) == len(
        operations
    )
    assert [name for operation in operations for name in operation.record.machines] == list(reasons)
    for each in operations:
        assert decode_record(each.key, encode_record(each.record)) == each.record
    with pytest.raises(InvalidRecordError):
        encode_record(scale_in_record([]))
    with pytest.raises(InvalidRecordError):
        decode_record(operations[0].key, encode_record(scale_in_record(["host-1"])))


def test_operation_states_change_only_in_order() -> None:
    scale_in = ScaleInOperation(scale_in_record(["host-1"]))
    for transition in (scale_in.mark_sent, lambda: scale_in.confirm(1.0), scale_in.close):
        with pytest.raises(OperationStateError):
            transition()
    scale_in.record_committed()
    with pytest.raises(OperationStateError):
        scale_in.record_committed()
    assert (scale_in.mark_sent(), scale_in.mark_sent()) == (False, True)
    scale_in.confirm(1.0)
    scale_in.close()
    assert scale_in.state is OperationState.CLOSED


def test_number_of_operations_in_the_log_is_bounded() -> None:
    """Closed operations are removed; retained scale-ins and open scale-outs are bounded."""
    operation_log = OperationLog("hive-0", 7, max_value_bytes=2048, retention_s=1e9)
    for number in range(2 * MAX_RETAINED_SCALE_INS):
        name = f"host-{number}"
        operation_log.mark_recorded(operation_log.decide_scale_in({name: "idle"}, 1.0), 1.0)
        operation_log.release_request(lambda name: False, False)
        operation_log.mark_machines_gone([name], 1.0)
        operation_log.mark_closed(operation_log.operations_to_close(2.0, 16))
    assert len(operation_log.open_operations()) <= MAX_RETAINED_SCALE_INS + 1
    while operation_log.may_scale_out():
        rental = operation_log.decide_scale_out(ScaleOutRequest("b1", "a", False, 1), 1.0)
        operation_log.mark_recorded([rental], 1.0)
        for _ in range(10):
            operation_log.start_request(rental)
    assert len(operation_log.scale_outs_due()) < 10


def test_lease_is_doubted_after_a_pause_or_a_clock_jump() -> None:
    lease_confidence = LeaseConfidenceTracker(max_gap_s=1.0, now=0.0, wall=1000.0)
    assert lease_confidence.check(0.9, 1000.9, True) is LeaseConfidence.CONFIRMED
    assert lease_confidence.check(2.5, 1002.5, True) is LeaseConfidence.DOUBTED, "paused"
    lease_confidence.confirm(requested_at=2.4)
    assert lease_confidence.check(2.6, 1002.6, True) is LeaseConfidence.DOUBTED, (
        "looked up before the pause"
    )
    lease_confidence.confirm(requested_at=2.6)
    assert lease_confidence.check(2.7, 1002.7, True) is LeaseConfidence.CONFIRMED
    assert lease_confidence.check(2.8, 1302.8, True) is LeaseConfidence.DOUBTED, (
        "suspended: the monotonic clock stood still"
    )
    lease_confidence.confirm(requested_at=2.8)
    assert lease_confidence.check(2.9, 1002.9, True) is LeaseConfidence.CONFIRMED, (
        "the time of day was set back"
    )
    assert lease_confidence.check(3.0, 1003.0, False) is LeaseConfidence.DOUBTED, (
        "the lease is about to expire"
    )
    lease_confidence.confirm(requested_at=3.0)
    lease_confidence.mark_lost()
    lease_confidence.confirm(requested_at=3.1)
    assert lease_confidence.check(3.1, 1003.1, True) is LeaseConfidence.LOST
