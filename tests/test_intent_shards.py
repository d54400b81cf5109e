"""Intent shards: the intents of several machines in one stored value."""

from __future__ import annotations

from tests.job_specs import make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core import failover, records
from topazhold.core.intent_shards import MAX_MACHINES_PER_SHARD, IntentShards
from topazhold.core.jobs import Job
from topazhold.core.task_attempts import TaskAttempt
from topazhold.wire.codec import json_size

#: Maximum size of a stored value.
MAX_VALUE_BYTES = 7000


def fleet(count: int) -> SchedulerHarness:
    """Return a harness with machines in two zones."""
    harness = SchedulerHarness(machines=0)
    for number in range(count):
        harness.heartbeat(f"host-{number:03d}", zone="ab"[number % 2])
    return harness


def attach_tasks(harness: SchedulerHarness, tasks: int) -> None:
    """Attach tasks to every machine, each of a job with the longest possible name."""
    for machine_index, machine in enumerate(harness.scheduler.machines.values()):
        for number in range(tasks):
            spec = make_spec(
                shape="batch", tasks=1, id=f"wk-{10**17 + 100 * machine_index + number}"
            )
            job = harness.add_job(spec)
            harness.scheduler.cluster.attach(TaskAttempt(job, 0, 2**60, machine.name, harness.now))


def test_machines_of_a_zone_share_shards() -> None:
    harness = fleet(40)
    shards = IntentShards(MAX_VALUE_BYTES)
    machines = harness.scheduler.machines
    used = {shards.shard_of(machine, machines).name for machine in machines.values()}
    assert len(used) == 2 * -(-20 // MAX_MACHINES_PER_SHARD)
    for name in used:
        zones = {machines[m].zone for m in shards._shards[name].machines}
        assert len(zones) == 1


def test_full_shard_is_split_and_every_value_fits() -> None:
    harness = fleet(32)
    attach_tasks(harness, 16)
    shards = IntentShards(MAX_VALUE_BYTES)
    machines = harness.scheduler.machines
    used = {shards.shard_of(machine, machines) for machine in machines.values()}
    values = shards.values(used, machines, "t")
    named: list[str] = []
    for _, value in values.values():
        assert json_size(value) <= MAX_VALUE_BYTES
        intents, unreadable = records.read_intents(value)
        assert unreadable == [] and all(len(each.attempts) == 16 for each in intents)
        named += [each.machine for each in intents]
    assert sorted(named) == sorted(machines)


def test_restarted_failover_keeps_shard_names_unique() -> None:
    """Guards against: two shards of one name overwrite each other, and the next failover runs a
    task twice."""
    harness = fleet(4)
    old_shards = IntentShards(MAX_VALUE_BYTES)
    old_shards.adopt("0001", 5, ["host-000"])
    shards = IntentShards(MAX_VALUE_BYTES)
    shards.adopt("0001", 7, ["host-000"])
    shard = shards.shard_of(harness.scheduler.machines["host-000"], harness.scheduler.machines)
    shards.set_revision("0001", 9)
    assert shard.revision == 9
    assert shards._create_shard().name == "0002"


def test_machine_in_two_shards_keeps_both_intents() -> None:
    """A machine that was moved to another shard may be in the old value too: both count."""
    harness = SchedulerHarness(machines=0, term=8)
    spec = make_spec(shape="batch", tasks=2)
    job = Job(spec, harness.now, 1e9, "hive-0")
    old, _ = records.read_intents({"boxes": {"host-0": [1, "a", False, "b1", [[spec.id, 0, 7]]]}})
    new, _ = records.read_intents({"boxes": {"host-0": [1, "a", False, "b1", [[spec.id, 1, 8]]]}})
    failover.rebuild(harness.scheduler, [job], new + old, harness.now)
    assert sorted(job.attempts) == [0, 1]


def test_unreadable_intents_are_reported() -> None:
    intents, unreadable = records.read_intents(
        {"boxes": {"host-0": "nonsense", "host-1": [1, "a", 0, "b", []]}}
    )
    assert [each.machine for each in intents] == ["host-1"] and unreadable == ["host-0"]
    assert records.read_intents("nonsense") == ([], [])


def test_moved_intents_are_included_until_they_are_written() -> None:
    """Guards against: after a failed transaction with both shards, the next writes the old one
    alone, and the moved intents are in no stored value."""
    harness = fleet(32)
    attach_tasks(harness, 16)
    shards = IntentShards(MAX_VALUE_BYTES)
    machines = harness.scheduler.machines
    first_shard = shards.shard_of(machines["host-000"], machines)
    for machine in machines.values():
        shards.shard_of(machine, machines)
    values = shards.values({first_shard}, machines, "t")
    assert len(values) > 1
    expected = {name for _, value in values.values() for name in value["boxes"]}
    retried_values = shards.values({first_shard}, machines, "t")
    assert {name for _, value in retried_values.values() for name in value["boxes"]} == expected
    for name in retried_values:
        shards.set_revision(name, 9)
    assert list(shards.values({first_shard}, machines, "t")) == [first_shard.name]
