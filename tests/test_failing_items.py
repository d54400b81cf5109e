"""An item that the store always refuses must not block the items queued behind it.

Operations whose record is invalid are tested in `test_unrecordable_operation`.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import curio
import pytest

from tests.fakes.key_value_store import FakeKeyValueStore
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.test_unrecordable_operation import (
    DECISIONS,
    Decide,
    assert_recorded_and_sent,
    idle_machines,
    scale_in,
    start_cluster,
)
from topazhold.core import records
from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.core.jobs import TASKS_PER_PART
from topazhold.operations.records import (
    MAX_NAME_LENGTH,
    SCALE_IN_PREFIX,
    SCALE_OUT_PREFIX,
    operation_key,
)

#: Returns whether the store refuses a change of a transaction.
ChangePredicate = Callable[[dict[str, Any]], bool]
#: Machine count by which the store recognizes the scale-out to refuse.
MARKED_COUNT = 49
#: Heartbeat intervals within which everything that is not refused has completed, with a reserve.
SETTLING_HEARTBEATS = 8.0


def refuse_changes(scenario: Scenario, is_refused: ChangePredicate) -> None:
    """Make the store refuse transactions with such a change; call it before the cluster starts."""
    store = scenario.network.hosts[FakeKeyValueStore.HOST]

    async def handle(source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/multi" and any(map(is_refused, body.get("then", ()))):
            return HTTPStatus.BAD_REQUEST, {"error": "too large"}
        answer: tuple[int, Any] = await store(source, method, path, body)
        return answer

    scenario.network.hosts[FakeKeyValueStore.HOST] = handle


def operation_log_of(scenario: Scenario, leader: str) -> Any:
    return scenario.controllers[leader].leader_term.operations.operation_log


async def wait_heartbeats(scenario: Scenario, count: float = SETTLING_HEARTBEATS) -> None:
    await curio.sleep(count * scenario.worker_settings.heartbeat_interval_s)


def refusal_log_lines(caplog: pytest.LogCaptureFixture) -> list[str]:
    """Return the log lines about refused operations."""
    return [
        record.getMessage()
        for record in caplog.records
        if record.levelname == "ERROR" and record.name.startswith("topazhold.operations")
    ]


@DECISIONS
def test_record_that_the_store_refuses_does_not_hold_up_others(
    decide: Decide, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: a record refused with 400 stays first in the queue for the whole term."""

    def is_marked(change: dict[str, Any]) -> bool:
        is_scale_out = change.get("put", "").startswith(SCALE_OUT_PREFIX)
        return is_scale_out and change["data"]["count"] == MARKED_COUNT

    async def act(scenario: Scenario) -> None:
        refuse_changes(scenario, is_marked)
        leader = await start_cluster(scenario)
        request = ScaleOutRequest("b1", "a", False, MARKED_COUNT)
        operation = operation_log_of(scenario, leader).decide_scale_out(request, 1.0)
        await assert_recorded_and_sent(scenario, leader, decide)
        await wait_heartbeats(scenario)
        assert operation.record.request not in scenario.cloud.rented
        (line,) = refusal_log_lines(caplog)
        assert operation.key in line and "rental" in line

    assert_no_violations(run_scenario(act, monkeypatch))


def test_operation_whose_key_is_taken_is_decided_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the key is read again in each round, and no other record is written."""

    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        log = operation_log_of(scenario, leader)
        term = scenario.controllers[leader].leader_term.term
        previous = log.decide_cleanup("wk-1", [1], 1.0)
        previous.waive_record()
        taken_key = operation_key(SCALE_IN_PREFIX, term, previous.record.number + 1)
        scenario.store.data[taken_key] = ({"by": "x"}, 5, None)
        progress = await scale_in(scenario, leader)
        await wait_heartbeats(scenario)
        assert progress.recorded() and progress.sent()
        assert scenario.store.data[taken_key][0] == {"by": "x"}

    assert_no_violations(run_scenario(act, monkeypatch))


def test_machine_whose_name_no_record_can_hold_does_not_block_other_scale_ins(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: a too long name fails the scale-in of all machines in the same operation."""

    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        scheduler = scenario.controllers[leader].leader_term.scheduler
        idle = idle_machines(scenario, leader)[0]
        now = scenario.clock.now
        long_named_machine = scheduler.add_machine(
            "h" * (MAX_NAME_LENGTH + 1), "a", False, "b1", now
        )
        for machine in (long_named_machine, scheduler.machines[idle]):
            scheduler.release(machine, "chosen", now)
        await wait_heartbeats(scenario)
        assert idle not in scenario.cloud.workers
        assert len(refusal_log_lines(caplog)) == 2, (
            "refused once with the others, once alone, and not retried"
        )

    assert_no_violations(run_scenario(act, monkeypatch))


def test_scale_out_that_is_refused_is_not_decided_again_in_each_round(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: the same demand leads to the same refused operation at each heartbeat."""

    async def act(scenario: Scenario) -> None:
        refuse_changes(
            scenario,
            lambda change: (
                change.get("put", "").startswith(SCALE_OUT_PREFIX) and change["data"]["zone"] == "a"
            ),
        )
        leader = await start_cluster(scenario)
        via = scenario.other_controllers(leader)[0]
        job = await scenario.submit(via, tasks=12, gpus=2.0, cpus=2.0, zone="a")
        await wait_heartbeats(scenario, 16.0)
        assert 1 <= len(refusal_log_lines(caplog)) <= 4
        assert scenario.leader() == leader
        assert job in scenario.present_jobs(), "the job does not use the present machines"

    assert_no_violations(run_scenario(act, monkeypatch))


def test_clean_up_of_a_live_job_does_not_hold_up_others(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: the refused clean-up is tried first in each round and by each successor."""

    async def act(scenario: Scenario) -> None:
        leader = await start_cluster(scenario)
        (live_record,) = [key for key in scenario.store.data if key.startswith(records.LIVE_PREFIX)]
        ended_job = "wk-77"
        live_part, ended_part = (
            records.part_key(live_record[len(records.LIVE_PREFIX) :], 1),
            records.part_key(ended_job, 1),
        )
        for key in (live_part, ended_part):
            scenario.store.data[key] = ({"done": ""}, 5, None)
        log = operation_log_of(scenario, leader)
        for job in (live_record[len(records.LIVE_PREFIX) :], ended_job):
            log.decide_cleanup(job, [1], 1.0)
        await wait_heartbeats(scenario)
        assert ended_part not in scenario.store.data and live_part in scenario.store.data
        assert len(refusal_log_lines(caplog)) == 1

    assert_no_violations(run_scenario(act, monkeypatch))


def test_job_whose_end_is_refused_does_not_hold_up_the_ends_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against: while the end of one job can't be stored, no later job is reported done."""

    async def act(scenario: Scenario) -> None:
        refused_keys: list[str] = []
        refuse_changes(scenario, lambda change: change.get("drop") in refused_keys)
        await scenario.start(machines=4)
        via = scenario.controller_names[0]
        refused_job = await scenario.submit(via, 5.0, tasks=1)
        refused_keys.append(records.live_key(refused_job))
        later_job = await scenario.submit(via, 10.0, tasks=1)
        await scenario.wait_until(lambda: (later_job, 0) in scenario.tasks.completed)
        await curio.sleep(3.0)
        _, answer = await scenario.poll(later_job, via)
        assert answer["stage"] == "done"
        _, answer = await scenario.poll(refused_job, via)
        assert answer["stage"] != "done", "its end is not stored"

    assert_no_violations(run_scenario(act, monkeypatch))


def test_unreadable_completion_bitmap_does_not_prevent_a_new_term(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: each successor fails on reading the bitmap, and its term ends at once."""
    unreadable_parts = [("001", {"done": "odd"}), ("002", None), ("odd", {"done": ""})]

    async def act(scenario: Scenario) -> None:
        await scenario.start(machines=2)
        leader = scenario.leader()
        assert leader is not None
        via = scenario.other_controllers(leader)[0]
        large_job = await scenario.submit(via, tasks=3 * TASKS_PER_PART, gpus=4.0)
        for number, value in unreadable_parts:
            scenario.store.data[f"{records.PART_PREFIX}{large_job}/{number}"] = (value, 5, None)
        await scenario.stop(leader)
        await scenario.wait_for_new_leader(leader)
        status, _ = await scenario.poll(large_job, via)
        assert status == HTTPStatus.OK

    assert_no_violations(run_scenario(act, monkeypatch))
    for number, _ in unreadable_parts:
        assert f"/{number} unreadable" in caplog.text
