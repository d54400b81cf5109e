"""One item that the store always refuses, and others behind it that must go on.

The operations themselves are in `test_unrecordable_operation`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio
import pytest

from tests.fakes.key_value_store import FakeKeyValueStore
from tests.scenarios import Scenario, assert_no_violations, run_scenario
from tests.test_unrecordable_operation import (
    DECISIONS,
    Decide,
    assert_recorded_and_sent,
    begin,
    idle_machines,
    scale_in,
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

#: What the store refuses of a transaction's changes.
Refuses = Callable[[dict[str, Any]], bool]
#: A count that marks a scale-out as the one that fails.
MARKED_COUNT = 49
#: Within so many heartbeat intervals what is not refused has come about, with time to spare.
PASSED_HEARTBEATS = 8.0


def refuse_changes(scenario: Scenario, refuses: Refuses) -> None:
    """The store calls transactions with such a change malformed; to be called before the start."""
    store = scenario.network.hosts[FakeKeyValueStore.HOST]

    async def handle(source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/multi" and any(map(refuses, body.get("then", ()))):
            return 400, {"error": "too large"}
        answer: tuple[int, Any] = await store(source, method, path, body)
        return answer

    scenario.network.hosts[FakeKeyValueStore.HOST] = handle


def operation_log_of(scenario: Scenario, leader: str) -> Any:
    return scenario.controllers[leader].leader_term.operations.operation_log


async def pass_heartbeats(scenario: Scenario, count: float = PASSED_HEARTBEATS) -> None:
    await curio.sleep(count * scenario.worker_settings.heartbeat_interval_s)


def refusals(caplog: pytest.LogCaptureFixture) -> list[str]:
    """The lines about operations that were refused."""
    return [
        record.getMessage()
        for record in caplog.records
        if record.levelname == "ERROR" and record.name.startswith("topazhold.operations")
    ]


@DECISIONS
def test_record_that_the_store_refuses_does_not_hold_up_others(
    decide: Decide, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: a record refused with 400 stayed the first of its term to be written."""

    def is_marked(change: dict[str, Any]) -> bool:
        is_scale_out = change.get("put", "").startswith(SCALE_OUT_PREFIX)
        return is_scale_out and change["data"]["count"] == MARKED_COUNT

    async def act(scenario: Scenario) -> None:
        refuse_changes(scenario, is_marked)
        leader = await begin(scenario)
        request = ScaleOutRequest("b1", "a", False, MARKED_COUNT)
        operation = operation_log_of(scenario, leader).decide_scale_out(request, 1.0)
        await assert_recorded_and_sent(scenario, leader, decide)
        await pass_heartbeats(scenario)
        assert operation.record.request not in scenario.cloud.rented
        (line,) = refusals(caplog)
        assert operation.key in line and "rental" in line

    assert_no_violations(run_scenario(act, monkeypatch))


def test_operation_whose_key_is_taken_is_decided_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the key was read again in each round, and nothing else was written."""

    async def act(scenario: Scenario) -> None:
        leader = await begin(scenario)
        log = operation_log_of(scenario, leader)
        term = scenario.controllers[leader].leader_term.term
        last = log.decide_cleanup("wk-1", [1], 1.0)
        last.waive_record()
        taken = operation_key(SCALE_IN_PREFIX, term, last.record.number + 1)
        scenario.store.data[taken] = ({"by": "x"}, 5, None)
        shown = await scale_in(scenario, leader)
        await pass_heartbeats(scenario)
        assert shown.recorded() and shown.sent()
        assert scenario.store.data[taken][0] == {"by": "x"}

    assert_no_violations(run_scenario(act, monkeypatch))


def test_machine_that_no_record_takes_does_not_keep_others(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: its name refused the scale-in of all machines that were to go with it."""

    async def act(scenario: Scenario) -> None:
        leader = await begin(scenario)
        scheduler = scenario.controllers[leader].leader_term.scheduler
        idle = idle_machines(scenario, leader)[0]
        now = scenario.clock.now
        too_long = scheduler.add_machine("h" * (MAX_NAME_LENGTH + 1), "a", False, "b1", now)
        for machine in (too_long, scheduler.machines[idle]):
            scheduler.release(machine, "chosen", now)
        await pass_heartbeats(scenario)
        assert idle not in scenario.cloud.workers
        assert len(refusals(caplog)) == 2, "together with others, then alone, and never again"

    assert_no_violations(run_scenario(act, monkeypatch))


def test_scale_out_that_is_refused_is_not_decided_again_in_each_round(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: the same demand led to the same refused operation once a heartbeat."""

    async def act(scenario: Scenario) -> None:
        refuse_changes(
            scenario,
            lambda change: (
                change.get("put", "").startswith(SCALE_OUT_PREFIX) and change["data"]["zone"] == "a"
            ),
        )
        leader = await begin(scenario)
        via = scenario.other_controllers(leader)[0]
        job = await scenario.submit(via, tasks=12, gpus=2.0, cpus=2.0, zone="a")
        await pass_heartbeats(scenario, 16.0)
        assert 1 <= len(refusals(caplog)) <= 4
        assert scenario.leader() == leader
        assert job in scenario.present_jobs(), "the machines that are there are used"

    assert_no_violations(run_scenario(act, monkeypatch))


def test_clean_up_of_a_live_job_does_not_hold_up_others(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: it was tried first in each round, and by each successor."""

    async def act(scenario: Scenario) -> None:
        leader = await begin(scenario)
        (live,) = [key for key in scenario.store.data if key.startswith(records.LIVE_PREFIX)]
        ended = "wk-77"
        kept, left = (
            records.part_key(live[len(records.LIVE_PREFIX) :], 1),
            records.part_key(ended, 1),
        )
        for key in (kept, left):
            scenario.store.data[key] = ({"done": ""}, 5, None)
        log = operation_log_of(scenario, leader)
        for job in (live[len(records.LIVE_PREFIX) :], ended):
            log.decide_cleanup(job, [1], 1.0)
        await pass_heartbeats(scenario)
        assert left not in scenario.store.data and kept in scenario.store.data
        assert len(refusals(caplog)) == 1

    assert_no_violations(run_scenario(act, monkeypatch))


def test_job_whose_end_is_refused_does_not_hold_up_the_ends_of_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against: while one job could not be moved, no later one was ever called done."""

    async def act(scenario: Scenario) -> None:
        refused_keys: list[str] = []
        refuse_changes(scenario, lambda change: change.get("drop") in refused_keys)
        await scenario.start(machines=4)
        via = scenario.controller_names[0]
        refused = await scenario.submit(via, 5.0, tasks=1)
        refused_keys.append(records.live_key(refused))
        later = await scenario.submit(via, 10.0, tasks=1)
        await scenario.wait_until(lambda: (later, 0) in scenario.tasks.completed)
        await curio.sleep(3.0)
        _, answer = await scenario.poll(later, via)
        assert answer["stage"] == "done"
        _, answer = await scenario.poll(refused, via)
        assert answer["stage"] != "done", "its end is not stored"

    assert_no_violations(run_scenario(act, monkeypatch))


def test_completion_bitmap_that_cannot_be_read_does_not_keep_a_term_from_beginning(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against: each successor read it again, and ended before it led."""
    odd_parts = [("001", {"done": "odd"}), ("002", None), ("odd", {"done": ""})]

    async def act(scenario: Scenario) -> None:
        await scenario.start(machines=2)
        leader = scenario.leader()
        assert leader is not None
        via = scenario.other_controllers(leader)[0]
        large = await scenario.submit(via, tasks=3 * TASKS_PER_PART, gpus=4.0)
        for number, value in odd_parts:
            scenario.store.data[f"{records.PART_PREFIX}{large}/{number}"] = (value, 5, None)
        await scenario.stop(leader)
        await scenario.wait_for_new_leader(leader)
        status, _ = await scenario.poll(large, via)
        assert status == 200

    assert_no_violations(run_scenario(act, monkeypatch))
    for number, _ in odd_parts:
        assert f"/{number} unreadable" in caplog.text
