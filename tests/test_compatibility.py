"""The production and the current version decode each other's stored values and messages alike."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import curio
import msgspec
import pytest

from tests.compatibility_corpus import (
    CORPUS_DAYS,
    CORPUS_FILE,
    Corpus,
    CorpusCollector,
    collect_day,
)
from tests.fakes.controllers import create_controller
from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.job_specs import make_spec
from tests.random_days import play
from tests.simulation.deployment import CONTROLLER_NAMES, Simulation
from tests.test_service_days import LATER
from tests.versions import CURRENT, Version, deliver_peer_message, member, production
from topazhold.control.peer_group import PeerGroup
from topazhold.core import leadership, records, reservations
from topazhold.core.jobs import TASKS_PER_PART, Job
from topazhold.wire import messages as wire

#: Wall-clock and monotonic time at which values are read.
WALL_TIME_S, CLOCK_S = 1.7e9 + 2000.0, 500.0
#: Kinds of stored values that both versions know.
STORED_KINDS = {"crown", "hold", "live", "on", "over", "queen", "relay", "sum", "sum/*"}
#: Kinds that production does not know and leaves alone: records of open operations. A leader of
#: the old version works without them; the next leader of the new one completes or drops them
#: (`test_operations`).
NEW_STORED_KINDS = {"duty"}
#: Tags of messages that production drops: hints that only newer controllers use.
NEW_MESSAGE_TAGS = {"known", "released"}
#: Tags of messages that both versions know.
MESSAGE_TAGS = {"cancelled", "ping", "placed", "receipt", "relay", "summary"}


def decoded_job(job: Any) -> Any:
    """Return the comparable content of a decoded job."""
    return (
        msgspec.to_builtins(member(job, "spec")),
        bytes(member(job, "completed")),
        member(job, "completed_count"),
        member(job, "arrived"),
        member(job, "submitted"),
        member(job, "node"),
        member(job, "state").value,
        member(job, "cancelled_at"),
    )


def read_heartbeats(version: Version, heartbeats: Any) -> Any:
    convert = version.load("wire.codec", "convert")
    kind = version.load("wire.messages", "Heartbeat")
    return [msgspec.to_builtins(convert(item, kind)) for item in heartbeats]


def decoded_view(cluster_view: Any) -> Any:
    caches = {
        zone: [member(offer, "pack")() for offer in cache]
        for zone, cache in member(cluster_view, "caches").items()
    }
    names = ("directory", "waiting", "running", "lists_all_waiting", "term")
    return caches, *(member(cluster_view, name) for name in names)


def decode_live_job(version: Version, data: Any) -> Any:
    job = version.load("core.records", "read_live_job")(data, 5, WALL_TIME_S, CLOCK_S)
    return decoded_job(job), version.load("core.records", "completed_count")(data)


def decode_ended_job(version: Version, data: Any) -> Any:
    job = version.load("core.records", "read_ended_job")(data, WALL_TIME_S, CLOCK_S)
    stage = version.load("core.records", "ended_stage")(data)
    return decoded_job(job), stage, version.load("core.records", "ended_at")(data, 0.0)


def decode_intents(version: Version, data: Any) -> Any:
    intents, unreadable = version.load("core.records", "read_intents")(data)
    return [tuple(each) for each in intents], unreadable


def decode_reservations(version: Version, data: Any) -> Any:
    reservations = version.load("core.reservations", "unpack_value")(data)
    return [member(reservation, "pack")() for reservation in reservations]


def decode_summary(version: Version, key: str, data: Any) -> Any:
    cluster_view = version.load("control.cluster_view", "ClusterView")()
    if key == "sum/*":
        member(cluster_view, "read_jobs")(data)
    else:
        member(cluster_view, "read_zone")(key.partition("/")[2], data)
    return decoded_view(cluster_view)


def decode_stored(version: Version, key: str, data: Any) -> Any:
    """Decode a stored value with one version, to comparable content."""
    first = key.partition("/")[0]
    if first == "live":
        return decode_live_job(version, data)
    if first == "over":
        return decode_ended_job(version, data)
    if first == "on":
        return decode_intents(version, data)
    if first == "hold":
        return decode_reservations(version, data)
    if first in ("queen", "crown"):
        return version.load("core.leadership", "read_leader_value")(data)
    if first == "relay":
        return data["crown"], read_heartbeats(version, data["reports"])
    assert first == "sum"
    return decode_summary(version, key, data)


def controller_state(controller: Any) -> Any:
    """Return what a controller has learned from its peers, as comparable content."""
    leadership_state = member(controller, "state.leadership")
    cancellations = member(controller, "state.cancellations")
    return (
        member(leadership_state, "leader"),
        member(leadership_state, "term"),
        sorted(member(member(controller, "follower_heartbeats"), "_silent_machines")),
        sorted(member(cancellations, "_entries").items()),
        member(cancellations, "receipts")(),
        member(cancellations, "_acknowledged"),
        {
            name: (member(hint, "endpoint"), sorted(member(hint, "jobs")))
            for name, hint in member(
                member(controller, "state.placement_hints"), "by_machine"
            ).items()
        },
        decoded_view(member(controller, "placement_search.cluster_view")),
    )


def states_after_messages(
    version: Version, messages: list[Any], monkeypatch: pytest.MonkeyPatch
) -> Any:
    """Return the state of a controller of a version after each of these messages."""
    states: list[Any] = []

    async def main(clock: VirtualTime) -> None:
        simulation = Simulation(clock, 1)
        simulation.versions = {CONTROLLER_NAMES[0]: version}
        receiver = create_controller(simulation, CONTROLLER_NAMES[0], {"running": True})
        for message in messages:
            await deliver_peer_message(receiver, tuple(message))
            states.append(controller_state(receiver))

    run_virtual(main, monkeypatch)
    return states


def load_corpus() -> Corpus:
    corpus: Corpus = json.loads(CORPUS_FILE.read_text())
    return corpus


def current_corpus(monkeypatch: pytest.MonkeyPatch) -> Corpus:
    collector = CorpusCollector()
    for seed, kinds in CORPUS_DAYS:
        with monkeypatch.context() as patch:
            collect_day(seed, kinds, patch, collector, production=False)
    return collector.corpus()


def assert_read_alike(corpus: Corpus, monkeypatch: pytest.MonkeyPatch) -> None:
    """Assert that both versions decode every value and message to the same content."""
    for samples in corpus["stored"].values():
        for key, data in samples:
            expected = decode_stored(production(), key, data)
            assert decode_stored(CURRENT, key, data) == expected, key
    intents = [decode_stored(production(), *sample) for sample in corpus["stored"]["on"]]
    assert any(entries for entries, _ in intents) and not any(
        unreadable for _, unreadable in intents
    )
    assert any(decode_stored(production(), *sample) for sample in corpus["stored"]["hold"])
    for tag, messages in corpus["messages"].items():
        with monkeypatch.context() as patch:
            expected = states_after_messages(production(), messages, patch)
        with monkeypatch.context() as patch:
            assert states_after_messages(CURRENT, messages, patch) == expected, tag


def test_corpus_has_every_kind() -> None:
    corpus = load_corpus()
    assert corpus["stored"].keys() == STORED_KINDS
    assert corpus["messages"].keys() == MESSAGE_TAGS


def test_current_version_reads_what_production_has_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert_read_alike(load_corpus(), monkeypatch)


def test_production_version_reads_what_the_current_one_writes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """During an upgrade a controller of the old version may lead after one of the new version."""
    corpus = current_corpus(monkeypatch)
    assert corpus["stored"].keys() == STORED_KINDS | NEW_STORED_KINDS
    for kind in NEW_STORED_KINDS:
        del corpus["stored"][kind]
    for tag in NEW_MESSAGE_TAGS:
        corpus["messages"].pop(tag, None)
    assert corpus["messages"].keys() == MESSAGE_TAGS
    assert_read_alike(corpus, monkeypatch)


@pytest.mark.parametrize("tasks", [1, 9, TASKS_PER_PART, TASKS_PER_PART + 10])
def test_done_marks_are_read_alike(tasks: int) -> None:
    """Every third task is done; the marks of the first part are stored in the live value."""
    spec = make_spec(shape="batch", tasks=tasks)
    old_job = production().load("core.jobs", "Job")
    old_spec = production().load("wire.messages", "JobSpec")
    as_old = msgspec.convert(msgspec.to_builtins(spec), old_spec)
    jobs = [Job(spec, 0.0, 0.0, ""), old_job(as_old, 0.0, 0.0, "")]
    for job in jobs:
        for index in range(0, tasks, 3):
            member(job, "mark_completed")(index)
    fresh = [old_job(as_old, 0.0, 0.0, ""), Job(spec, 0.0, 0.0, "")]
    for writer, reader in zip(jobs, fresh, strict=True):
        for part in range((tasks + TASKS_PER_PART - 1) // TASKS_PER_PART):
            member(reader, "load_part")(part, member(writer, "part_text")(part))
        assert member(reader, "completed") == member(writer, "completed")


def test_end_of_a_job_is_read_alike() -> None:
    """The stored spec of an ended job is shortened; production still finds what it needs."""
    spec = make_spec(machine_types=["b1"] * 50, image="i" * 200, job_class="c" * 200)
    live = records.live_value(Job(spec, 0.0, 0.0, "hive-0"), "t")
    value = records.ended_value(live["spec"], wire.ABORTED, WALL_TIME_S - 3.0, "t")
    job = production().load("core.records", "read_ended_job")(value, WALL_TIME_S, CLOCK_S)
    team = member(member(job, "spec"), "team")
    assert (member(job, "id"), team, member(job, "need")) == (spec.id, spec.team, (4.0, 2.0, 8.0))
    assert member(job, "cancelled_at") == pytest.approx(CLOCK_S - 3.0)


def test_summary_with_refused_operations_is_read_alike(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: a field that appears only after a fault and that production can't read."""
    examples = current_corpus(monkeypatch)["stored"]["sum/*"]
    assert examples
    for key, data in examples:
        refused_operations = [["duty/rental/000000000001-00000001", "rental", "why"]]
        decoded = decode_stored(CURRENT, key, data)
        assert decode_stored(production(), key, {**data, "refused": refused_operations}) == decoded


# -- incompatible variants must be detected ---------------------------------


def rename_key(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(records, "LIVE_PREFIX", "job/")
    patch.setattr(records, "live_key", lambda job: f"job/{job}")


def rename_leader_key(patch: pytest.MonkeyPatch) -> None:
    """Each version elects its own leader, so there are two."""
    from topazhold.control import election, term_context
    from topazhold.operations import fenced_executor

    for module in (leadership, election, term_context, fenced_executor):
        patch.setattr(module, "LEADER_KEY", "leader/now")


def rename_field(patch: pytest.MonkeyPatch) -> None:
    original = records.intents_value

    def renamed(*args: Any) -> Any:
        data = original(*args)
        return {"by": data["by"], "machines": data["boxes"], "boxes": {}}

    patch.setattr(records, "intents_value", renamed)


def longer_hold(patch: pytest.MonkeyPatch) -> None:
    pack = reservations.Reservation.pack
    patch.setattr(reservations.Reservation, "pack", lambda self: [*pack(self), "more"])


def longer_ping(patch: pytest.MonkeyPatch) -> None:
    broadcast_original = PeerGroup.broadcast

    async def broadcast_longer(self: Any, message: tuple[Any, ...]) -> None:
        await broadcast_original(self, (*message, 1) if message[0] == "ping" else message)

    patch.setattr(PeerGroup, "broadcast", broadcast_longer)


def unreadable_intents(patch: pytest.MonkeyPatch) -> None:
    """Write one more element for each machine."""
    original = records.intents_value

    def longer(*args: Any) -> Any:
        data = original(*args)
        return {**data, "boxes": {name: [*item, 0] for name, item in data["boxes"].items()}}

    patch.setattr(records, "intents_value", longer)


CORPUS_VARIANTS = [rename_key, rename_leader_key, rename_field, longer_hold, longer_ping]


@pytest.mark.parametrize("change", [*CORPUS_VARIANTS, unreadable_intents])
def test_incompatible_writers_are_seen(
    change: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each variant writes values or messages that production does not decode alike."""
    change(monkeypatch)
    corpus = current_corpus(monkeypatch)
    with pytest.raises((AssertionError, ValueError, TypeError, KeyError)):
        assert corpus["stored"].keys() == STORED_KINDS
        assert_read_alike(corpus, monkeypatch)


@pytest.mark.parametrize("change", [rename_key, rename_leader_key, longer_ping])
def test_days_of_both_versions_see_an_incompatible_one(
    change: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    change(monkeypatch)
    for seed in (51, 52, 55):
        with monkeypatch.context() as day_patch:
            simulation = play(
                seed, ["crash_leader"], day_patch, jobs=25, trouble_s=60.0, calm_s=60.0, later=LATER
            )
        if simulation.violations:
            return
    pytest.fail("no day with both versions detected the incompatible variant")


def test_only_operations_are_stored_under_a_new_key(monkeypatch: pytest.MonkeyPatch) -> None:
    """Production ignores unknown keys, so values that it needs must not move to a new key."""

    async def main(clock: VirtualTime) -> None:
        simulation = Simulation(clock, 73)
        await simulation.run_day(20, 40.0, 60.0, ["crash_leader"])
        prefixes = {key.partition("/")[0] for key in simulation.store.data}
        assert prefixes <= {kind.partition("/")[0] for kind in STORED_KINDS | NEW_STORED_KINDS} | {
            "part"
        }
        await curio.sleep(0)

    run_virtual(main, monkeypatch)
