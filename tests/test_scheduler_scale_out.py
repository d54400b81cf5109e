"""Machines are requested in the zone where work lacks capacity."""

from __future__ import annotations

import pytest

from tests.job_specs import MACHINE_TYPE, make_spec
from tests.scheduler_harness import SchedulerHarness


def test_machine_is_rented_for_a_one_zone_gang_despite_free_machines_elsewhere(
    harness: SchedulerHarness,
) -> None:
    """Guards against counting free capacity of other zones, and machines in use, for the gang.

    Each zone has one free machine; its other machine is used by a long job.
    """
    for zone in "ab":
        long_job = harness.add_job(
            make_spec(ord(zone), shape="batch", tasks=1, gpus=4.0, zone=zone)
        )
        assert long_job is not None
    harness.plan_and_commit()
    harness.all_heartbeats()
    gang = harness.add_job(make_spec(7, tasks=2, gpus=4.0, spot=False))
    assert harness.plan_and_commit() == []
    harness.scheduler.last_arrival = -1e9  # no headroom without recent arrivals
    assert harness.scheduler.scale_out(harness.now) == [], (
        "not before ageing: tasks of others may end soon"
    )
    harness.now += harness.scheduler.ageing_threshold_s(gang) + 1.0
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    harness.scheduler.last_arrival = -1e9
    requests = harness.scheduler.scale_out(harness.now)
    assert [request.count for request in requests] == [1]


def test_machine_is_rented_in_the_full_zone_for_a_gang_of_two_zones() -> None:
    """A long job fills one zone; the other zone has more capacity than the gang needs."""
    harness = SchedulerHarness(machines=4)
    long_gang = harness.add_job(make_spec(5, tasks=2, gpus=4.0, zone="b", estimated_run_s=5000.0))
    harness.reserve(long_gang, {"host-1": 1, "host-3": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
    harness.add_job(make_spec(6, tasks=2, gpus=4.0, same_zone=False, spread_zones=True))
    harness.now += 300.0
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    harness.scheduler.last_arrival = -1e9
    requests = harness.scheduler.scale_out(harness.now)
    assert [(request.zone, request.count) for request in requests] == [("b", 1)]


def test_machine_is_rented_in_the_full_zone_for_a_service_of_two_zones() -> None:
    harness = SchedulerHarness(machines=4)
    long_gang = harness.add_job(make_spec(5, tasks=2, gpus=4.0, zone="b", estimated_run_s=5000.0))
    harness.reserve(long_gang, {"host-1": 1, "host-3": 1})
    harness.plan_and_commit()
    harness.all_heartbeats()
    spec = make_spec(
        6,
        shape="daemon",
        tasks=2,
        gpus=4.0,
        same_zone=False,
        spread_zones=True,
        estimated_run_s=0.0,
        checkpoint_s=0.0,
    )
    service = harness.add_job(spec)
    harness.plan_and_commit()
    assert service.waiting_count == 1, "at most one replica may be in a zone"
    harness.now += 300.0
    harness.all_heartbeats()
    harness.scheduler.tick(harness.now)
    harness.scheduler.last_arrival = -1e9
    requests = harness.scheduler.scale_out(harness.now)
    assert [(request.zone, request.count) for request in requests] == [("b", 1)]


def test_machines_are_rented_for_a_team_without_a_gpu_limit(harness: SchedulerHarness) -> None:
    """A limit of 0 means unlimited (deployment page, `gpus_max`)."""
    harness.scheduler.usage.teams["red"].gpus_max = 0.0
    harness.add_job(make_spec(1, shape="batch", tasks=6, gpus=4.0, same_zone=False))
    requests = harness.scheduler.scale_out(harness.now)
    assert sum(request.count for request in requests) >= 2, "six tasks, four machines"


def test_no_machines_are_rented_beyond_a_cpu_limit() -> None:
    """Guards against requesting machines for tasks that the CPU limit never lets start."""
    harness = SchedulerHarness(machines=0)
    harness.scheduler.usage.teams["red"].cpus_max = 2 * MACHINE_TYPE.cpus
    harness.add_job(
        make_spec(1, shape="batch", tasks=6, cpus=MACHINE_TYPE.cpus, gpus=0.0, same_zone=False)
    )
    harness.scheduler.last_arrival = -1e9  # no headroom without recent arrivals
    requests = harness.scheduler.scale_out(harness.now)
    assert sum(request.count for request in requests) == 2


def test_no_machines_are_rented_for_a_team_missing_from_the_settings(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against requesting machines for a job that can't start, and not logging why."""
    harness = SchedulerHarness(machines=0)
    harness.add_job(make_spec(1, shape="batch", team="gone", gpus=0.0, same_zone=False))
    harness.scheduler.last_arrival = -1e9
    assert harness.scheduler.scale_out(harness.now) == []
    assert "job wk-000001 can't start: the settings name no team gone" in caplog.text
