"""Intents of several machines in one value of the state service."""

from __future__ import annotations

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core import failover, records
from topazhold.core.intent_shards import MAX_MACHINES_PER_SHARD, IntentShards
from topazhold.core.jobs import Job
from topazhold.core.task_attempts import TaskAttempt
from topazhold.wire.codec import json_size


def fleet(count: int) -> SchedulerHarness:
    harness = SchedulerHarness(machines=0)
    for number in range(count):
        harness.heartbeat(f"host-{number:03d}", zone="ab"[number % 2])
    return harness


def fill(harness: SchedulerHarness, tasks: int) -> None:
    """So many tasks on every machine, of jobs with the longest names."""
    for place, machine in enumerate(harness.scheduler.machines.values()):
        for number in range(tasks):
            spec = make_spec(shape="batch", tasks=1, id=f"wk-{10**17 + 100 * place + number}")
            job = harness.add_job(spec)
            harness.scheduler.cluster.attach(TaskAttempt(job, 0, 2**60, machine.name, harness.now))


def test_machines_of_a_zone_share_shards() -> None:
    harness = fleet(40)
    shards = IntentShards(7000)
    machines = harness.scheduler.machines
    used = {shards.shard_of(machine, machines).name for machine in machines.values()}
    assert len(used) == 2 * -(-20 // MAX_MACHINES_PER_SHARD)
    for name in used:
        zones = {machines[m].zone for m in shards._shards[name].machines}
        assert len(zones) == 1


def test_full_shard_gives_machines_away_and_every_value_fits() -> None:
    harness = fleet(32)
    fill(harness, 16)
    shards = IntentShards(7000)
    machines = harness.scheduler.machines
    used = {shards.shard_of(machine, machines) for machine in machines.values()}
    values = shards.values(used, machines, "t")
    named: list[str] = []
    for _, value in values.values():
        assert json_size(value) <= 7000
        found, odd = records.read_intents(value)
        assert odd == [] and all(len(each.attempts) == 16 for each in found)
        named += [each.machine for each in found]
    assert sorted(named) == sorted(machines)


def test_failover_begun_anew_keeps_one_shard_a_name() -> None:
    """Two of one name overwrote each other: a task ran twice after the next take-over."""
    harness = fleet(4)
    first = IntentShards(7000)
    first.adopt("0001", 5, ["host-000"])
    again = IntentShards(7000)
    again.adopt("0001", 7, ["host-000"])
    shard = again.shard_of(harness.scheduler.machines["host-000"], harness.scheduler.machines)
    again.set_revision("0001", 9)
    assert shard.revision == 9
    assert again._create_shard().name == "0002"


def test_machine_on_two_shards_keeps_both_intents() -> None:
    """A machine that changed its shard may stand in the old value too: both are believed."""
    harness = SchedulerHarness(machines=0, term=8)
    spec = make_spec(shape="batch", tasks=2)
    job = Job(spec, harness.now, 1e9, "hive-0")
    old, _ = records.read_intents({"boxes": {"host-0": [1, "a", False, "b1", [[spec.id, 0, 7]]]}})
    new, _ = records.read_intents({"boxes": {"host-0": [1, "a", False, "b1", [[spec.id, 1, 8]]]}})
    failover.rebuild(harness.scheduler, [job], new + old, harness.now)
    assert sorted(job.attempts) == [0, 1]


def test_unreadable_intents_are_named() -> None:
    found, odd = records.read_intents(
        {"boxes": {"host-0": "nonsense", "host-1": [1, "a", 0, "b", []]}}
    )
    assert [each.machine for each in found] == ["host-1"] and odd == ["host-0"]
    assert records.read_intents("nonsense") == ([], [])


def test_intents_of_machines_that_changed_shards_are_never_nowhere() -> None:
    """The transaction with both shards failed, and the next one named the old one alone."""
    harness = fleet(32)
    fill(harness, 16)
    shards = IntentShards(7000)
    machines = harness.scheduler.machines
    first = shards.shard_of(machines["host-000"], machines)
    for machine in machines.values():
        shards.shard_of(machine, machines)
    values = shards.values({first}, machines, "t")
    assert len(values) > 1
    wanted = {name for _, value in values.values() for name in value["boxes"]}
    again = shards.values({first}, machines, "t")
    assert {name for _, value in again.values() for name in value["boxes"]} == wanted
    for name in again:
        shards.set_revision(name, 9)
    assert list(shards.values({first}, machines, "t")) == [first.name]
