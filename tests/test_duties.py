"""One holder of duties at a time: the real controllers, stopped at every point of an order."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio
import pytest

from tests.scenes import Scene, assert_rules, play_scene
from tests.standins import CloudService, start_node
from tests.traps import POINTS, Trap
from tests.versions import production
from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.operations.cloud_operations import (
    OperationState,
    OperationStateError,
    ScaleInOperation,
)
from topazhold.operations.lease_confidence import LeaseConfidence, LeaseConfidenceTracker
from topazhold.operations.operation_log import MAX_CLOSED_SCALE_INS, OperationLog
from topazhold.operations.records import (
    OPERATION_PREFIX,
    SCALE_IN_PREFIX,
    SCALE_OUT_PREFIX,
    InvalidRecordError,
    ScaleInRecord,
    read_record,
    write_record,
)

#: Longer than a lease of a controller, by far.
PAUSE_S = 30.0
HELD_S = 120.0


def freeze(scene: Scene) -> Callable[[str], None]:
    def act(source: str) -> None:
        scene.frozen[source] = scene.clock.now + PAUSE_S

    return act


def state_fails(scene: Scene) -> Callable[[str], None]:
    """The state service is out from this point on, for longer than any lease of a controller."""

    def act(source: str) -> None:
        scene.state.set_down(True)

    return act


async def begin(scene: Scene) -> str:
    await scene.begin(machines=4)
    await scene.jobs_running(2, scene.names[0], gpus=1.0)
    leader = scene.leader()
    assert leader is not None
    return leader


async def operation(scene: Scene, leader: str, kind: str) -> None:
    """Let the leader decide on a return or a rental."""
    scheduler = scene.nodes[leader].leader_term.scheduler
    if kind == "return":
        busy = {worker.name for worker in scene.busy_workers()}
        idle = sorted(name for name in scheduler.machines if name not in busy)
        chosen = scheduler.machines[idle[0] if idle else min(scheduler.machines)]
        scheduler.release(chosen, "chosen", scene.clock.now)
    else:
        via = scene.others(leader)[0]
        await scene.submit(via, 20.0, tasks=12, gpus=4.0, cpus=4.0)


async def settle(scene: Scene) -> None:
    """Every order ends, its record with it, and no controller is wrong about a machine."""
    await curio.sleep(HELD_S + 10.0)
    await scene.until(lambda: scene.leader() is not None)
    leader = scene.leader()
    assert leader is not None
    await scene.until(lambda: not open_records(scene), 240.0)
    known = scene.nodes[leader].leader_term.scheduler.machines
    await scene.until(lambda: scene.cloud.workers.keys() <= known.keys(), 60.0)


def open_records(scene: Scene) -> list[str]:
    """Records of orders that are not just kept for late lists."""
    names = set(scene.cloud.workers)
    return [
        key
        for key, (data, _, _) in scene.state.data.items()
        if key.startswith(SCALE_OUT_PREFIX) or names & set(data.get("machines", ()) if data else ())
        if key.startswith(OPERATION_PREFIX)
    ]


@pytest.mark.parametrize("successors", [1, 2])
@pytest.mark.parametrize("kind", ["return", "rental"])
@pytest.mark.parametrize("point", POINTS)
def test_paused_holder_goes_on_after_its_successors(
    point: str, kind: str, successors: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scene: Scene) -> None:
        leader = await begin(scene)
        trap = Trap(scene.net.hosts, point, kind, freeze(scene), HELD_S)
        await operation(scene, leader, kind)
        await scene.until(lambda: trap.source is not None)
        assert trap.source == leader
        new = await scene.new_leader(leader)
        if successors == 2:
            await scene.end(new)
            await scene.back(new, 1.0)
            await scene.until(lambda: scene.leader() not in (None, leader), 30.0)
        before = scene.clock.now
        await settle(scene)
        late = [done for done in scene.cloud.orders.executed if done.at > before and done.stale]
        assert late == [], "an order of a former holder had an effect"

    assert_rules(play_scene(act, monkeypatch))


@pytest.mark.parametrize("kind", ["return", "rental"])
@pytest.mark.parametrize("point", POINTS)
def test_state_service_fails_at_each_point(
    point: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scene: Scene) -> None:
        leader = await begin(scene)
        trap = Trap(scene.net.hosts, point, kind, state_fails(scene), HELD_S)
        await operation(scene, leader, kind)
        await scene.until(lambda: trap.source is not None)
        await curio.sleep(PAUSE_S)
        scene.state.set_down(False)
        await settle(scene)

    assert_rules(play_scene(act, monkeypatch))


@pytest.mark.parametrize("point", POINTS)
def test_all_controllers_end_with_an_order_open(
    point: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def act(scene: Scene) -> None:
        leader = await begin(scene)
        trap = Trap(scene.net.hosts, point, "return", freeze(scene), HELD_S)
        await operation(scene, leader, "return")
        await scene.until(lambda: trap.source is not None)
        for name in list(scene.nodes):
            await scene.end(name)
        scene.frozen.clear()
        await curio.sleep(1.0)
        for name in scene.names:  # the same node may lead again, under another term
            await start_node(scene, name)
        await settle(scene)

    assert_rules(play_scene(act, monkeypatch))


def test_lost_answers_and_late_transactions(monkeypatch: pytest.MonkeyPatch) -> None:
    """Of many orders none is decided twice, whatever is lost, late or refused."""

    async def act(scene: Scene) -> None:
        await begin(scene)
        scene.net.held_orders, scene.net.late_writes, scene.net.loss = 0.4, 0.3, 0.1
        coming = await curio.spawn(scene.users_come, 24, 48.0, daemon=True)
        for number in range(8):
            await curio.sleep(6.0)
            scene.cloud.down = number % 3 == 2
        await coming.join()
        scene.cloud.down = False
        scene.net.held_orders = scene.net.late_writes = scene.net.loss = 0.0
        await settle(scene)
        assert len(scene.cloud.orders.executed) > 3

    assert_rules(play_scene(act, monkeypatch))


@pytest.mark.parametrize("status", [400, 429, 503])
def test_cloud_refuses_then_gives_a_part(status: int, monkeypatch: pytest.MonkeyPatch) -> None:
    """A request is repeated under its name; what is refused for good is given up."""

    async def act(scene: Scene) -> None:
        leader = await begin(scene)
        cloud = scene.net.hosts[CloudService.HOST]
        asked: list[str] = []

        async def refuse(source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
            if method == "POST" and path == "/machines" and len(asked) < 3:
                asked.append(body["swarm_ask"])
                return status, {"error": "trouble"}
            return await cloud(source, method, path, body)

        scene.net.hosts[CloudService.HOST] = refuse
        await operation(scene, leader, "rental")
        await scene.until(lambda: len(asked) == 3)
        repeated = len(set(asked)) < 3
        assert repeated == (status != 400)
        await scene.until(lambda: scene.cloud.asks and len(scene.cloud.workers) == 8)
        await settle(scene)

    assert_rules(play_scene(act, monkeypatch))


def test_forced_return_is_made_known(monkeypatch: pytest.MonkeyPatch) -> None:
    """In an outage a machine with a cancelled task goes without a record; all learn of it."""

    async def act(scene: Scene) -> None:
        leader = await begin(scene)
        via = scene.others(leader)[0]
        (job,) = await scene.jobs_running(1, via, tasks=1, gpus=1.0)
        (worker,) = [w for w in scene.cloud.workers.values() if job in w.hosted]
        worker.hanging_until = scene.clock.now + 500.0
        assert await scene.cancel(job, via) == 200
        await curio.sleep(0.5)
        scene.state.set_down(True)
        await scene.until(lambda: worker.gone)
        await curio.sleep(1.0)
        assert scene.cloud.orders.forced == [worker.name]
        for node in scene.nodes.values():
            assert worker.name in node.state.released.names()
        await curio.sleep(20.0)
        scene.state.set_down(False)
        await scene.end(leader)
        new = await scene.new_leader(leader)
        assert worker.name not in scene.nodes[new].leader_term.scheduler.machines
        await settle(scene)

    assert_rules(play_scene(act, monkeypatch))


def test_return_of_a_machine_with_a_launch_under_way(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its intents are written; the holder stops before it answers, the next returns it."""

    async def act(scene: Scene) -> None:
        leader = await begin(scene)
        idle = next(w for w in scene.cloud.workers.values() if not w.present())
        await scene.submit(scene.others(leader)[0], 10.0, tasks=4, gpus=4.0)
        written = "on/"
        await scene.until(
            lambda: any(
                key.startswith(written) and idle.name in data["boxes"]
                for key, (data, _, _) in scene.state.data.items()
            )
        )
        scene.frozen[leader] = scene.clock.now + PAUSE_S
        new = await scene.new_leader(leader)
        scheduler = scene.nodes[new].leader_term.scheduler
        scheduler.release(scheduler.machines[idle.name], "chosen", scene.clock.now)
        await scene.until(lambda: idle.gone)
        await settle(scene)

    assert_rules(play_scene(act, monkeypatch))


def test_spot_machine_is_taken_while_its_return_is_open(monkeypatch: pytest.MonkeyPatch) -> None:
    async def act(scene: Scene) -> None:
        leader = await begin(scene)
        taken: list[str] = []

        def take(source: str) -> None:
            for name in scene.nodes[leader].leader_term.scheduler.releases:
                taken.append(name)
                scene.cloud.take(scene.cloud.workers[name])

        Trap(scene.net.hosts, "after_record", "return", take, HELD_S)
        await operation(scene, leader, "return")
        await scene.until(lambda: bool(taken))
        await settle(scene)
        assert scene.leader() == leader

    assert_rules(play_scene(act, monkeypatch))


def test_successor_places_nothing_on_a_machine_of_an_open_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The machine still reports, is booked for a gang, and has a launch on its way."""

    async def act(scene: Scene) -> None:
        leader = await begin(scene)
        trap = Trap(scene.net.hosts, "after_record", "return", freeze(scene), HELD_S)
        scene.cloud.down = True  # the successor can't complete it yet
        await operation(scene, leader, "return")
        await scene.until(lambda: trap.source is not None)
        (name,) = scene.nodes[leader].leader_term.scheduler.releases
        new = await scene.new_leader(leader)
        await scene.submit(new, 10.0, tasks=8, gpus=1.0, shape="gang")
        await curio.sleep(20.0)
        worker = scene.cloud.workers[name]
        assert not worker.tasks and worker.up, "it reports, and gets nothing"
        scene.cloud.down = False
        await settle(scene)
        assert name not in scene.cloud.workers

    assert_rules(play_scene(act, monkeypatch))


def test_return_that_a_leader_of_the_old_version_did_not_know_is_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An old leader ignores the record and uses the machine; the next new one leaves it."""

    async def act(scene: Scene) -> None:
        scene.cloud.orders.judges = False  # production records nothing
        leader = await begin(scene)
        trap = Trap(scene.net.hosts, "after_record", "return", freeze(scene), HELD_S)
        await operation(scene, leader, "return")
        await scene.until(lambda: trap.source is not None)
        (name,) = scene.nodes[leader].leader_term.scheduler.releases
        for node in list(scene.nodes):
            await scene.end(node)
        scene.frozen.clear()
        scene.versions = dict.fromkeys(scene.names, production())
        for node in scene.names:
            await start_node(scene, node)
        await scene.until(lambda: scene.leader() is not None)
        await scene.submit(scene.names[0], 500.0, tasks=16, gpus=1.0)  # on all machines
        worker = scene.cloud.workers[name]
        await scene.until(lambda: any(t.state == "running" for t in worker.tasks.values()))
        for node in scene.names:
            await scene.end(node)
            del scene.versions[node]
            await scene.back(node)
        await scene.until(lambda: scene.leader() is not None)
        await curio.sleep(30.0)
        assert any(t.state == "running" for t in scene.cloud.workers[name].tasks.values())
        await scene.until(lambda: not any(k.startswith(SCALE_IN_PREFIX) for k in scene.state.data))

    assert_rules(play_scene(act, monkeypatch))


def test_odd_records_are_left_and_the_rest_goes_on(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    odd = {
        f"{SCALE_IN_PREFIX}000000000001-00000001": {"machines": 3},
        f"{SCALE_IN_PREFIX}junk": None,
        f"{OPERATION_PREFIX}unheard/of": {"by": "x"},
    }

    async def act(scene: Scene) -> None:
        for key, value in odd.items():
            scene.state.data[key] = (value, 5, None)
        leader = await begin(scene)
        await operation(scene, leader, "return")
        await curio.sleep(5.0)
        assert scene.cloud.orders.executed
        assert odd.keys() <= scene.state.data.keys()

    assert_rules(play_scene(act, monkeypatch))
    for key in odd:
        assert f"{key} unreadable" in caplog.text


def record_of(names: list[str], number: int = 1) -> ScaleInRecord:
    machines = dict.fromkeys(names, "idle")
    return ScaleInRecord(by="d1-1", term=1, number=number, at=1.0, machines=machines)


def test_records_are_split_and_checked() -> None:
    operation_log = OperationLog("hive-0", 7, value_limit=2048, keep_s=10.0)
    reasons = {f"host-{number:06d}": "silent and not listed" for number in range(300)}
    operations = operation_log.decide_scale_in(reasons, 5.0)
    assert len(operations) > 3 and len({operation.key for operation in operations}) == len(
        operations
    )
    assert [name for operation in operations for name in operation.record.machines] == list(reasons)
    for each in operations:
        assert read_record(each.key, write_record(each.record)) == each.record
    with pytest.raises(InvalidRecordError):
        write_record(record_of([]))
    with pytest.raises(InvalidRecordError):
        read_record(operations[0].key, write_record(record_of(["host-1"])))


def test_states_change_in_order_only() -> None:
    one = ScaleInOperation(record_of(["host-1"]))
    for change in (one.sent, lambda: one.confirm(1.0), one.close):
        with pytest.raises(OperationStateError):
            change()
    one.record_committed()
    with pytest.raises(OperationStateError):
        one.record_committed()
    assert (one.sent(), one.sent()) == (False, True)
    one.confirm(1.0)
    one.close()
    assert one.state is OperationState.CLOSED


def test_orders_do_not_pile_up() -> None:
    """Closed ones are forgotten, kept ones are bounded, open rentals too."""
    operation_log = OperationLog("hive-0", 7, value_limit=2048, keep_s=1e9)
    for number in range(2 * MAX_CLOSED_SCALE_INS):
        name = f"host-{number}"
        operation_log.recorded(operation_log.decide_scale_in({name: "idle"}, 1.0), 1.0)
        operation_log.release_request(lambda name: False, False)
        operation_log.machines_gone([name], 1.0)
        operation_log.closed(operation_log.to_close(2.0, 16))
    assert len(operation_log.open_operations()) <= MAX_CLOSED_SCALE_INS + 1
    while operation_log.may_scale_out():
        rental = operation_log.decide_scale_out(ScaleOutRequest("b1", "a", False, 1), 1.0)
        operation_log.recorded([rental], 1.0)
        for _ in range(10):
            operation_log.sending(rental)
    assert len(operation_log.scale_outs_due()) < 10


def test_holder_doubts_itself_after_a_pause_or_a_jump() -> None:
    lease_confidence = LeaseConfidenceTracker(longest_gap_s=1.0, now=0.0, wall=1000.0)
    assert lease_confidence.look(0.9, 1000.9, True) is LeaseConfidence.CONFIRMED
    assert lease_confidence.look(2.5, 1002.5, True) is LeaseConfidence.DOUBTED, "it stood still"
    lease_confidence.confirm(asked_at=2.4)
    assert lease_confidence.look(2.6, 1002.6, True) is LeaseConfidence.DOUBTED, (
        "asked before the pause"
    )
    lease_confidence.confirm(asked_at=2.6)
    assert lease_confidence.look(2.7, 1002.7, True) is LeaseConfidence.CONFIRMED
    assert lease_confidence.look(2.8, 1302.8, True) is LeaseConfidence.DOUBTED, (
        "suspended: one clock stood"
    )
    lease_confidence.confirm(asked_at=2.8)
    assert lease_confidence.look(2.9, 1002.9, True) is LeaseConfidence.CONFIRMED, (
        "the time of day set back"
    )
    assert lease_confidence.look(3.0, 1003.0, False) is LeaseConfidence.DOUBTED, (
        "its lease is near its end"
    )
    lease_confidence.confirm(asked_at=3.0)
    lease_confidence.lose()
    lease_confidence.confirm(asked_at=3.1)
    assert lease_confidence.look(3.1, 1003.1, True) is LeaseConfidence.LOST
