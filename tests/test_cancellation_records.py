"""A controller's cancellation records: storage, exchange with peers, and enforcement."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

import curio
import pytest

from tests.fakes.controllers import make_settings
from tests.fakes.virtual_time import VirtualTime, run_virtual
from topazhold.control.cancellation_enforcer import CancellationEnforcer
from topazhold.control.controller_services import initial_state
from topazhold.core.cancellations import MAX_ENTRIES_PER_MESSAGE, Cancellations
from topazhold.core.placement_hints import PlacementHints
from topazhold.wire.workers import Heartbeat, TaskStatus


def test_record_reaches_a_peer_in_parts_and_after_its_restart() -> None:
    sender = Cancellations("here-1", 30.0, 10.0)
    for number in range(2 * MAX_ENTRIES_PER_MESSAGE + 5):
        assert sender.add(f"wk-{number}", 1000.0, 1000.0)
    assert not sender.add("wk-3", 1000.0, 1000.0)
    for incarnation in ("there-1", "there-2"):
        receiver = Cancellations(incarnation, 30.0, 10.0)
        sender.record_acknowledgement("there", "", -1)  # the peer has just started
        messages = 0
        while (changes := sender.changes_for("there")) is not None:
            receiver.receive("here", sender.incarnation, *changes, 1001.0)
            sender.record_acknowledgement("there", *receiver.receipts()["here"])
            messages += 1
        assert messages == 3 and len(receiver) == len(sender)
        assert receiver.has_all_of("here", sender.incarnation, sender.last_number)
        assert sender.peer_has("there", "wk-1004")


def test_record_takes_nothing_out_of_order() -> None:
    """A lost message must not count as received: its jobs would never be sent again."""
    receiver = Cancellations("there-1", 30.0, 10.0)
    assert receiver.receive("here", "b", 5, 7, [["wk-7", 1000.0]], 1000.0) == []
    assert receiver.receipts()["here"] == ["b", -1]
    assert receiver.receive("here", "b", -1, 7, [["wk-7", 1000.0]], 1000.0) == [("wk-7", 1000.0)]


def test_record_is_bounded_by_time() -> None:
    record = Cancellations("b", 30.0, 10.0)
    for number in range(100):
        record.add(f"wk-{number}", 1000.0 + 10 * number, 1000.0 + 10 * number)
    assert len(record) <= 17 and "wk-99" in record


def test_out_of_order_heartbeat_does_not_change_placement_hints() -> None:
    def heartbeat(sequence: int, jobs: list[str]) -> Heartbeat:
        tasks = [TaskStatus(f"{job}/0", 1, "running") for job in jobs]
        return Heartbeat("host-1", "h:1", "b1", "a", False, 1, sequence, 3, tasks)

    placement_hints = PlacementHints()
    placement_hints.update_from_leader(3, [["host-1", "h:1", ["wk-1"]]])
    placement_hints.update_from_heartbeat(heartbeat(5, []))
    placement_hints.update_from_heartbeat(heartbeat(4, ["wk-1"]))
    assert placement_hints.machines_of(frozenset(["wk-1"])) == {}
    placement_hints.update_from_leader(2, [["host-1", "h:1", ["wk-1"]]])
    assert placement_hints.machines_of(frozenset(["wk-1"])) == {}, (
        "a message of an earlier leader was applied"
    )


def test_enforcer_releases_only_machines_of_jobs_that_no_other_handles(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It releases them only near the deadline, and only if no other controller handled the job."""
    released: list[tuple[float, list[str]]] = []
    announced: list[list[str]] = []
    handled = {"wk-1": False}

    async def announce_released(names: list[str]) -> None:
        announced.append(names)

    class Cloud:
        async def machines(self) -> list[Any]:
            return []

        async def release(self, names: list[str]) -> None:
            released.append((await curio.clock(), names))

    async def main(clock: VirtualTime) -> None:
        settings = make_settings("hive-0", "a", [])
        cancel_s = settings.cluster.workers.cancel_s
        record = Cancellations("b", cancel_s, settings.cluster.workers.lease_s)
        placement_hints = PlacementHints()
        placement_hints.update_from_leader(
            3, [["host-1", None, ["wk-1"]], ["host-2", None, ["wk-2"]]]
        )
        cancellation_enforcer = CancellationEnforcer(
            settings,
            Cloud(),  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            replace(initial_state(settings), cancellations=record, placement_hints=placement_hints),
            lambda job, now: handled[job],
            announce_released,
        )
        record.add("wk-1", time.time() - 0.65 * cancel_s, time.time())
        for _ in range(15):
            await cancellation_enforcer.round()
            await curio.sleep(0.01 * cancel_s)
        assert released == []
        handled["wk-1"] = True
        await cancellation_enforcer.round()
        await curio.sleep(0.01 * cancel_s)
        handled["wk-1"] = False
        for _ in range(14):
            await cancellation_enforcer.round()
            await curio.sleep(0.01 * cancel_s)
        assert [names for _, names in released] == [["host-1"]], "released once, near the deadline"
        assert announced == [["host-1"]], "the peers are informed of the release"

    run_virtual(main, monkeypatch)
