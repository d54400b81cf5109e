"""The store's limits, which may be lowered at any time."""

from __future__ import annotations

from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Any

import curio
import pytest
from click.testing import CliRunner

from tests.fakes.controllers import make_settings
from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.job_specs import MACHINE_TYPE, make_spec
from tests.scheduler_harness import SchedulerHarness
from tests.test_intent_shards import attach_tasks, fleet
from tests.test_settings import VALID_SETTINGS
from topazhold import settings as conf
from topazhold.cli import main
from topazhold.control.election import ElectionResult
from topazhold.control.intents import Intents
from topazhold.control.key_value_store import KeyValueStore
from topazhold.control.summaries import SummaryPublisher
from topazhold.control.term_context import TermContext
from topazhold.core import records
from topazhold.core.intent_shards import IntentShards
from topazhold.core.jobs import Job
from topazhold.core.reservations import ReservationTable
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import TaskAttempt
from topazhold.interfaces.store import DECISION_PRIORITY
from topazhold.interfaces.store_errors import PreconditionFailedError, StoreUnavailableError
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import LaterLimits
from topazhold.wire import messages as wire
from topazhold.wire.codec import json_size, pack

#: Maximum size of a shard's value under the lowered limits.
LOWERED_VALUE_BYTES = 1800
LATER_LIMITS = "\n[cluster.state.next]\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 5\n"


# -- settings ---------------------------------------------------------------------


def test_lower_later_limits_apply_from_the_start(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS + LATER_LIMITS)
    state = conf.load(path).cluster.key_value_store
    assert (state.lasting_value_bytes, state.lasting_txn_ops) == (2048, 5)
    assert (state.write_rps, state.lasting_write_rps) == (20.0, 15.0)
    assert state.lasting_rps == state.rps, "a limit that is not named stays unchanged"


def test_higher_later_limits_are_not_used_early(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS + LATER_LIMITS.replace("value_kb = 2.0", "value_kb = 64.0"))
    assert conf.load(path).cluster.key_value_store.lasting_value_bytes == 8 * 1024


def test_without_later_limits_the_current_ones_apply(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS)
    state = conf.load(path).cluster.key_value_store
    assert (state.lasting_value_bytes, state.lasting_txn_ops) == (8 * 1024, 16)


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("value_kb = 2.0", "value_kb = 0.0", "cluster.state.next.value_kb"),
        ("value_kb = 2.0", "value_kb = nan", "cluster.state.next.value_kb"),
        ("write_rps = 15.0", "write_rps = -1.0", "cluster.state.next.write_rps"),
        ("txn_ops = 5", 'txn_ops = "few"', "txn_ops"),
    ],
)
def test_invalid_later_limits_are_named(tmp_path: Path, old: str, new: str, field: str) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(VALID_SETTINGS + LATER_LIMITS.replace(old, new))
    result = CliRunner().invoke(main, ["check", "--config", str(path)])
    assert result.exit_code == 2 and field in result.stderr


# -- intents stored under larger limits ---------------------------------------------


def shards_with_oversized_value(harness: SchedulerHarness, machines: list[str]) -> IntentShards:
    """Return shards with one stored value for all machines, as a larger limit allowed."""
    shards = IntentShards(LOWERED_VALUE_BYTES)
    shards.adopt("0001", 7, machines)
    return shards


def test_oversized_shard_is_split_and_keeps_every_intent() -> None:
    harness = fleet(16)
    attach_tasks(harness, 4)
    machines = harness.scheduler.machines
    shards = shards_with_oversized_value(harness, list(machines))
    changed_shard = shards.shard_of(machines["host-000"], machines)
    values = shards.values({changed_shard}, machines, "t")
    assert len(values) > 2
    assert all(json_size(value) <= LOWERED_VALUE_BYTES for _, value in values.values())
    named = [name for _, value in values.values() for name in value["boxes"]]
    assert sorted(named) == sorted(machines)


def test_machine_too_large_for_any_value_stays_in_its_stored_shard() -> None:
    """In a value of its own its intents would be lost: the store refuses such a value."""
    harness = fleet(6)
    attach_tasks(harness, 4)
    machines = harness.scheduler.machines
    spec = make_spec(700, shape="batch", tasks=60)
    job = harness.add_job(spec)
    for index in range(60):
        harness.scheduler.cluster.attach(TaskAttempt(job, index, 2**40, "host-002", harness.now))
    shards = shards_with_oversized_value(harness, list(machines))
    values = shards.values({shards.shard_of(machines["host-000"], machines)}, machines, "t")
    assert all(json_size(value) <= LOWERED_VALUE_BYTES for _, value in values.values())
    named = [name for _, value in values.values() for name in value["boxes"]]
    assert sorted(named) == sorted(machines.keys() - {"host-002"})
    assert "0001" not in values, "the stored value must go on naming it"
    assert shards.shard_of(machines["host-002"], machines).name == "0001"


class StrictStore:
    """A store that enforces the lowered limits."""

    def __init__(self, txn_ops: int, value_bytes: int) -> None:
        self.txn_ops = txn_ops
        self.value_bytes = value_bytes
        self.stored: dict[str, Any] = {}
        self.refusals_left = 0  # number of next transactions to refuse
        self.machines_per_commit: list[
            set[str]
        ] = []  # machines that stand in any value, after each step

    async def commit(self, conditions: Any, operations: Any, *_: Any, **__: Any) -> int:
        return await self.compare_and_swap(conditions, operations)

    async def compare_and_swap(self, conditions: Any, operations: Any, *_: Any) -> int:
        if self.refusals_left:
            self.refusals_left -= 1
            raise StoreUnavailableError("refused")
        assert len(operations) <= self.txn_ops
        for change in operations:
            if "put" in change:
                assert json_size(change["data"]) <= self.value_bytes, change["put"]
                self.stored[change["put"]] = change["data"]
            else:
                self.stored.pop(change["drop"], None)
        self.machines_per_commit.append(
            {name for value in self.stored.values() for name in value["boxes"]}
        )
        return 100 + len(self.machines_per_commit)


def lowered_settings() -> Any:
    """Return settings that announce lower limits of the store."""
    settings = make_settings("hive-0", "a", [])
    settings.cluster.key_value_store.next = LaterLimits(value_kb=2.0, txn_ops=5)
    return settings


@pytest.mark.parametrize("refuse", [0, 1, 2])
def test_pruning_a_removed_machine_keeps_the_intents_of_others(
    refuse: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The removed machine's shard is too large and is split. If it were written before the new
    shards and those refused, the moved machines' intents would be in no stored value."""
    harness = fleet(16)
    attach_tasks(harness, 4)
    machines = harness.scheduler.machines
    store = StrictStore(5, 2048)
    store.stored["on/0001"] = records.intents_value(machines.values(), "old")

    async def act(clock: VirtualTime) -> None:
        await curio.sleep(0)
        settings = lowered_settings()
        elected = ElectionResult(5, 7, 0.0)
        context = TermContext(settings, store, harness.scheduler, elected, lambda now: True)  # type: ignore[arg-type]
        context.shards.adopt("0001", 7, list(machines))
        shard = context.shards.forget_machine("host-015")
        assert shard is not None
        del machines["host-015"]
        store.refusals_left = refuse
        intents = Intents(context)
        for _ in range(3):
            await intents.prune({shard})

    run_virtual(act, monkeypatch)
    assert store.machines_per_commit
    for stored_machines in store.machines_per_commit:
        assert stored_machines >= set(machines)


def test_plan_on_an_oversized_shard_is_written_within_the_limits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The split that one more task causes takes more changes than fit one transaction."""
    harness = fleet(16)
    attach_tasks(harness, 16)
    machines = harness.scheduler.machines
    store = StrictStore(5, 2048)
    store.stored["on/0001"] = records.intents_value(machines.values(), "old")
    job = harness.add_job(make_spec(900, shape="batch", tasks=1))
    attempt = TaskAttempt(job, 0, 3, "host-000", harness.now)
    harness.scheduler.cluster.attach(attempt)

    async def act(clock: VirtualTime) -> None:
        await curio.sleep(0)
        settings = lowered_settings()
        elected = ElectionResult(5, 7, 0.0)
        context = TermContext(settings, store, harness.scheduler, elected, lambda now: True)  # type: ignore[arg-type]
        context.shards.adopt("0001", 7, list(machines))
        await Intents(context).write([attempt])

    run_virtual(act, monkeypatch)
    assert attempt.state.value == "written"
    for stored_machines in store.machines_per_commit:
        assert stored_machines >= set(machines)
    stored = [
        packed
        for value in store.stored.values()
        for packed in value["boxes"].get("host-000", [0, "", False, "", []])[4]
    ]
    assert [job.id, 0, 3] in stored


# -- other values -------------------------------------------------------------------


def test_summary_of_a_large_cluster_fits_the_lowered_limits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against: the names of a zone's 700 machines exceed a value, and nothing is written."""
    settings = lowered_settings()
    settings.cluster.zones = list("abcdefgh")
    settings.cluster.teams[0].gpus_max = 1e6
    scheduler = Scheduler(
        settings, OperatorSettings(), 3, ReservationTable("hive-0"), Random(1), 0.0
    )
    scheduler.machine_types = {"b1": MACHINE_TYPE}
    for number in range(5600):
        scheduler.add_machine(f"host-{number:06d}", "abcdefgh"[number % 8], False, "b1", 0.0)
    for number in range(300):
        spec = make_spec(tasks=4, id=f"wk-{10**17 + number}")
        scheduler.add_job(Job(spec, 0.0, 1e9, "hive-1"))
    store_operations: list[Any] = []
    transactions: list[int] = []

    class AcceptingStore:
        async def compare_and_swap(self, conditions: Any, operations: Any, priority: float) -> int:
            transactions.append(len(operations))
            return 1

    async def act(clock: VirtualTime) -> None:
        await curio.sleep(0)
        elected = ElectionResult(3, 7, 0.0)
        context = TermContext(settings, AcceptingStore(), scheduler, elected, lambda now: True)  # type: ignore[arg-type]
        summaries = SummaryPublisher(context, 5.0, None)  # type: ignore[arg-type]
        store_operations.append(summaries._store_operations(summaries.summary(1.0)))
        await summaries._write(store_operations[0])

    run_virtual(act, monkeypatch)
    assert len(store_operations[0]) == 9
    assert all(json_size(change["data"]) <= 2048 for change in store_operations[0])
    assert all(
        change["data"]["all"][1] and change["data"]["cache"] for change in store_operations[0][1:]
    )
    assert sum(transactions) == 9 and max(transactions) <= 5


def test_ended_job_record_fits_even_if_its_live_value_was_larger() -> None:
    spec = make_spec(
        image="i" * 200, job_class="c" * 200, team="t" * 200, machine_types=["m"] * 999
    )
    live = records.live_value(Job(spec, 0.0, 0.0, "hive-0"), "t")
    assert json_size(live) > 2048
    ended = records.ended_value(live["spec"], wire.DONE, 5.0, "t")
    assert json_size(ended) < 2048
    assert records.read_ended_job(ended, 6.0, 1.0).spec.team == spec.team


@pytest.mark.parametrize("tasks", [1, 7, 4096, 100_000])
def test_space_is_reserved_for_the_completion_bitmap(tasks: int) -> None:
    """A job is accepted only if its record still fits when all its tasks are completed."""
    spec = make_spec(shape="batch", tasks=tasks)
    job = Job(spec, 0.0, 0.0, "hive-0")
    before = json_size(records.live_value(job, "t"))
    for index in range(tasks):
        job.mark_completed(index)
    value = records.live_value(job, "t")
    assert json_size({**value, "count": 0}) <= before + records.max_bitmap_size(spec)


# -- the rate -------------------------------------------------------------------------------


class ScriptedClient:
    """A store client that returns the listed responses in turn."""

    def __init__(self, responses: list[tuple[int, Any]]) -> None:
        self.responses = responses
        self.request_count = 0

    async def request(self, *_: Any) -> tuple[int, bytes]:
        self.request_count += 1
        status, body = self.responses.pop(0)
        return status, pack(body)


def run_commits(
    client: ScriptedClient, later_limits: LaterLimits | None, monkeypatch: pytest.MonkeyPatch
) -> Any:
    """Commit a delete per response; return the outcomes and the final write rate."""
    settings = make_settings("hive-0", "a", [])
    settings.cluster.key_value_store.write_rps = 20.0
    settings.cluster.key_value_store.next = later_limits
    outcomes: list[Any] = []

    async def act(clock: VirtualTime) -> None:
        store = KeyValueStore(client, client, settings.cluster.key_value_store, 1.0)  # type: ignore[arg-type]
        store.set_share(0.5)
        while client.responses:
            try:
                outcomes.append(
                    await store.compare_and_swap([], [wire.delete("a/b")], DECISION_PRIORITY)
                )
            except (StoreUnavailableError, PreconditionFailedError) as exc:
                outcomes.append(type(exc))
        outcomes.append(store._limits._writes._rate)

    run_virtual(act, monkeypatch)
    return outcomes


def test_rate_limit_refusal_switches_to_the_later_limits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The limits are lowered without notice; only a refusal shows it. It is not retried."""
    client = ScriptedClient(
        [
            (HTTPStatus.OK, {"harvest": 3}),
            (HTTPStatus.TOO_MANY_REQUESTS, {}),
            (HTTPStatus.OK, {"harvest": 4}),
        ]
    )
    outcomes = run_commits(client, LaterLimits(write_rps=10.0), monkeypatch)
    assert outcomes == [3, StoreUnavailableError, 4, 5.0] and client.request_count == 3


def test_current_write_rate_is_kept_without_a_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    client = ScriptedClient([(HTTPStatus.OK, {"harvest": 3})])
    assert run_commits(client, LaterLimits(write_rps=10.0), monkeypatch) == [3, 10.0]


def test_too_large_value_is_logged_and_not_retried(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    caplog.set_level("INFO")
    client = ScriptedClient([(HTTPStatus.BAD_REQUEST, {"error": "too large"})])
    assert run_commits(client, None, monkeypatch) == [StoreUnavailableError, 10.0]
    assert client.request_count == 1 and "a/b" in caplog.text
