"""Summaries of large clusters, sent to peers and written to the store within its limits."""

from __future__ import annotations

from random import Random
from typing import Any

import curio
import pytest

from tests.fakes.controllers import make_settings
from tests.fakes.virtual_time import VirtualTime, run_virtual
from tests.job_specs import MACHINE_TYPE, make_spec
from topazhold.control.election import ElectionResult
from topazhold.control.summaries import SummaryPublisher
from topazhold.control.term_context import TermContext
from topazhold.core.jobs import Job
from topazhold.core.reservations import ReservationTable
from topazhold.core.scheduler import Scheduler
from topazhold.io.peer_transport import MAX_MESSAGE_BYTES, encode_frame
from topazhold.operator_settings import OperatorSettings
from topazhold.wire.codec import json_size

#: Maximum size of a stored value, in KiB.
VALUE_KB = 16.0
#: Maximum size of a summary's changes: a transaction of 64 KiB, less its preconditions.
MAX_CHANGES_BYTES = 60 * 1024


def test_summary_of_many_zones_fits_one_transaction(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: the values of six zones, 16 KiB each, exceed the 64 KiB of a transaction,
    and none is written. A shortened value is marked as cut."""
    settings = make_settings("hive-0", "a", [])
    settings.cluster.zones = list("abcdef")
    settings.cluster.key_value_store.value_kb = VALUE_KB
    settings.cluster.teams[0].gpus_max = 1e6
    scheduler = Scheduler(
        settings, OperatorSettings(), 3, ReservationTable("hive-0"), Random(1), 0.0
    )
    scheduler.machine_types = {"b1": MACHINE_TYPE}
    for number in range(900):
        scheduler.add_machine(f"host-{number:06d}", "abcdef"[number % 6], False, "b1", 0.0)
    for number in range(400):
        scheduler.add_job(Job(make_spec(number, tasks=4), 0.0, 1e9, "hive-1"))
    results: list[Any] = []

    async def main(clock: VirtualTime) -> None:
        await curio.sleep(0)
        elected = ElectionResult(3, 7, 0.0)
        context = TermContext(settings, None, scheduler, elected, lambda now: True)  # type: ignore[arg-type]
        summaries = SummaryPublisher(context, 5.0, None)  # type: ignore[arg-type]
        results.append(summaries.summary(1.0))
        results.append(summaries._store_operations(results[0]))

    run_virtual(main, monkeypatch)
    values, operations = results
    assert len(values[""]["waiting"]) == 400
    assert 0 < len(encode_frame(("summary", 3, values))) < MAX_MESSAGE_BYTES
    assert json_size(operations) < MAX_CHANGES_BYTES
    assert all(json_size(change["data"]) < VALUE_KB * 1024 for change in operations)
    assert operations[0]["data"]["cut"] is True


def test_other_tasks_run_while_a_summary_is_collected(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against: building a summary in one go delays the lease's renewal until it expires."""
    settings = make_settings("hive-0", "a", [])
    settings.cluster.zones = list("abcdef")
    scheduler = Scheduler(
        settings, OperatorSettings(), 3, ReservationTable("hive-0"), Random(1), 0.0
    )
    turns: list[int] = []
    collected: list[dict[str, Any]] = []

    async def other() -> None:
        while not collected:
            turns.append(len(turns))
            await curio.sleep(0)

    async def main(clock: VirtualTime) -> None:
        elected = ElectionResult(3, 7, 0.0)
        context = TermContext(settings, None, scheduler, elected, lambda now: True)  # type: ignore[arg-type]
        summaries = SummaryPublisher(context, 5.0, None)  # type: ignore[arg-type]
        task = await curio.spawn(other)
        collected.append(await summaries._collect(1.0))
        await task.join()
        collected.append(summaries.summary(1.0))

    run_virtual(main, monkeypatch)
    assert len(turns) >= 7, "collecting yields after each zone and after the jobs"
    collected_by_step, built_at_once = collected
    assert collected_by_step.pop("")["waiting"] == built_at_once.pop("")["waiting"]
    assert collected_by_step == built_at_once
