"""Writing intents: transactions stay within the protocol's limits and keep all preconditions."""

from __future__ import annotations

from random import Random
from typing import Any

import curio
import pytest

from tests.fakes.controllers import make_settings
from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.job_specs import MACHINE_TYPE, make_spec
from topazhold.control.election import ElectionResult
from topazhold.control.intents import Intents
from topazhold.control.term_context import TermContext
from topazhold.core.jobs import Job
from topazhold.core.reservations import ReservationTable
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.operator_settings import OperatorSettings
from topazhold.wire import messages as wire

#: Preconditions that a transaction may have for each of its changes.
CONDITIONS_PER_CHANGE = 4
#: Maximum size of a transaction.
MAX_TRANSACTION_BYTES = 64 * 1024


class RecordingStore:
    """A store that records the keys of transactions and enforces the protocol's limits."""

    def __init__(self, txn_ops: int) -> None:
        self.txn_ops = txn_ops
        self.condition_keys: list[set[str]] = []
        self.written_keys: list[set[str]] = []

    async def commit(self, conditions: list[Any], operations: list[Any], *_: Any, **__: Any) -> int:
        return await self.compare_and_swap(conditions, operations)

    async def compare_and_swap(self, conditions: list[Any], operations: list[Any], *_: Any) -> int:
        assert len(operations) <= self.txn_ops
        assert len(conditions) <= CONDITIONS_PER_CHANGE * self.txn_ops
        body = wire.transaction_body(
            [wire.condition(key, revision) for key, revision in conditions], operations
        )
        assert len(str(body)) < MAX_TRANSACTION_BYTES
        self.condition_keys.append({key for key, _ in conditions})
        self.written_keys.append({wire.changed_key(change) for change in operations})
        return len(self.condition_keys)


def write_plan(
    monkeypatch: pytest.MonkeyPatch,
    machines: int,
    jobs: int,
    txn_ops: int | None = None,
    first_job: int = 0,
) -> tuple[RecordingStore, Any]:
    """Write a plan of one-task jobs, spread over the machines."""
    settings = make_settings("hive-0", "a", [])
    if txn_ops is not None:
        settings.cluster.key_value_store.txn_ops = txn_ops
    store = RecordingStore(settings.cluster.key_value_store.txn_ops)
    scheduler = Scheduler(
        settings, OperatorSettings(), 3, ReservationTable("hive-0"), Random(1), 0.0
    )
    scheduler.machine_types = {"b1": MACHINE_TYPE}
    names = [f"host-{number:06d}" for number in range(machines)]
    for name in names:
        scheduler.add_machine(name, "a", False, "b1", 0.0)
    attempts = []
    for number in range(jobs):
        job = Job(make_spec(first_job + number, tasks=1, shape="batch"), 0.0, 0.0, "hive-0")
        job.revision = 1 + first_job
        scheduler.add_job(job)
        attempts.append(TaskAttempt(job, 0, 1, names[number % machines], 0.0))
        job.add_attempt(attempts[-1])
        scheduler.machines[attempts[-1].machine].attach(attempts[-1])

    async def main(clock: VirtualTime) -> None:
        await curio.sleep(0)
        elected = ElectionResult(3, 7, 0.0)
        context = TermContext(settings, store, scheduler, elected, lambda now: True)  # type: ignore[arg-type]
        await Intents(context).write(attempts)

    run_virtual(main, monkeypatch)
    return store, attempts


def test_every_planned_job_has_a_precondition(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: preconditions beyond four times `txn_ops` are dropped, so that the last of
    many small jobs are launched although they were cancelled meanwhile."""
    store, attempts = write_plan(monkeypatch, machines=8, jobs=96)
    assert all(attempt.state is AttemptState.WRITTEN for attempt in attempts)
    for attempt in attempts:
        assert any(
            f"live/{attempt.job.id}" in condition_keys and "queen/now" in condition_keys
            for condition_keys in store.condition_keys
        ), attempt.job.id


def test_plan_that_splits_shards_stays_within_the_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shards that are split while they are written must not make a transaction too large."""
    store, attempts = write_plan(monkeypatch, machines=80, jobs=6000)
    assert all(attempt.state is AttemptState.WRITTEN for attempt in attempts)
    assert len(set().union(*store.written_keys)) > 5


def test_plan_stays_within_the_transaction_size_with_many_changes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against: the preconditions alone exceed it, and the plan is refused forever."""
    store, attempts = write_plan(monkeypatch, machines=96, jobs=2000, txn_ops=256, first_job=10**17)
    assert all(attempt.state is AttemptState.WRITTEN for attempt in attempts)
    assert len(store.condition_keys) > 1
