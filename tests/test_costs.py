"""The cost of a leader's work, in objects visited, must not grow where nothing changes."""

from __future__ import annotations

from typing import Any

import pytest

from tests.job_specs import MACHINE_TYPE, make_spec
from tests.scheduler_harness import SchedulerHarness
from topazhold.core.resource_offers import ResourceOffers
from topazhold.core.zone_demand import ZoneDemand


class CallCounter:
    """Counts the calls of a method."""

    def __init__(self, patch: pytest.MonkeyPatch, owner: type, name: str) -> None:
        self.count = 0
        method = getattr(owner, name)

        def counted(*args: Any, **kwargs: Any) -> Any:
            self.count += 1
            return method(*args, **kwargs)

        patch.setattr(owner, name, counted)

    def take_count(self) -> int:
        """Return the number of calls since the last time, and reset it."""
        count, self.count = self.count, 0
        return count


def test_only_offers_of_changed_machines_are_rebuilt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rebuilding all offers for each summary.

    At one summary a second that took an eighth of a leader's time with 168 machines.
    """
    for machines in (6, 60):
        harness = SchedulerHarness(machines)
        scheduler = harness.scheduler
        offer_calls = CallCounter(monkeypatch, ResourceOffers, "_offer")

        def request_offers(harness: SchedulerHarness = harness) -> None:
            for zone in "ab":
                harness.scheduler.offers(zone, harness.now)

        request_offers()
        assert offer_calls.take_count() == machines
        harness.now += scheduler.heartbeat_interval_s
        harness.all_heartbeats()
        request_offers()
        assert offer_calls.take_count() == 0, "nothing has changed"
        harness.add_job(make_spec(1, shape="batch", tasks=1, gpus=1.0))
        assert len(harness.plan_and_commit()) == 1
        harness.now += 0.5 * scheduler.heartbeat_interval_s
        request_offers()
        assert offer_calls.take_count() == 1, "one machine has got a task"
        harness.now += 0.5 * scheduler.summary_s
        harness.all_heartbeats()
        request_offers()
        assert offer_calls.take_count() == machines, (
            "old offers are rebuilt, since their delays have shortened"
        )
        monkeypatch.undo()


def test_free_slots_for_gangs_of_one_shape_are_counted_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against visiting every machine for each aged gang, once a second."""
    counts = []
    for gangs in (1, 12):
        harness = SchedulerHarness(machines=4)
        for number in range(gangs):
            gang = harness.add_job(make_spec(number, tasks=2, gpus=1.0))
            gang.is_aged = True
        free_slot_calls = CallCounter(monkeypatch, ZoneDemand, "_free_slots")
        harness.scheduler.parts.zone_demand.add_to({}, [MACHINE_TYPE], harness.now)
        counts.append(free_slot_calls.take_count())
        monkeypatch.undo()
    assert counts == [1, 1]
