"""A controller's reservations for gangs: searches, changes, renewals and conflicts."""

from __future__ import annotations

import time
from random import Random
from typing import Any

import pytest

from tests.fakes.controllers import make_settings
from tests.job_specs import make_spec
from topazhold.control.cluster_view import ClusterView
from topazhold.control.election import CONTROLLER_LEASE_BOUNDS_S, controller_lease_duration_s
from topazhold.control.gang_reservations import GangReservations
from topazhold.control.pending_gangs import PendingGang, PendingGangs, max_follower_searches
from topazhold.core.jobs import Job
from topazhold.core.preemption import queue_key
from topazhold.core.reservations import Reservation, ReservationTable
from topazhold.core.resource_offer import ResourceOffer
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings

FREE_RESOURCES = (16.0, 4.0, 64.0)


def make_offer(name: str, delay: float) -> ResourceOffer:
    return ResourceOffer(
        name, "a", "b1", False, frozenset({"img-0"}), [(delay, FREE_RESOURCES)], [], 2.0
    )


def make_cluster_view(**delays: float) -> ClusterView:
    cluster_view = ClusterView()
    cluster_view.directory = [(name, "a") for name in delays]
    cluster_view.caches = {"a": [make_offer(name, delay) for name, delay in delays.items()]}
    return cluster_view


class Clock:
    """A time of day that the test sets."""

    def __init__(self, monkeypatch: Any) -> None:
        self.now = 1e9
        monkeypatch.setattr("time.time", lambda: self.now)


def make_gang_reservations(settings: Settings) -> GangReservations:
    return GangReservations(settings, None, ReservationTable("hive-0"), Random(1))  # type: ignore[arg-type]


def make_pending_gangs(clock: Clock) -> PendingGangs:
    settings = make_settings("hive-0", "a", [])
    pending_gangs = PendingGangs(
        settings, OperatorSettings(), make_gang_reservations(settings), Random(1)
    )
    job = Job(make_spec(tasks=1, gpus=4.0), 0.0, clock.now, "hive-0")
    pending_gangs.by_id[job.id] = PendingGang(job.spec, queue_key(job), 0.0)
    return pending_gangs


def reserved_machines(pending_gangs: PendingGangs) -> set[str]:
    return set(pending_gangs.reservations.own["wk-000001"].slots)


def test_reservation_changes_only_for_a_clearly_better_group(monkeypatch: Any) -> None:
    """Gangs of eight changed reservations every few seconds and never got all their machines."""
    clock = Clock(monkeypatch)
    pending_gangs = make_pending_gangs(clock)
    pending_gangs.search_round(make_cluster_view(m1=100.0), 0.0)
    assert reserved_machines(pending_gangs) == {"m1"}
    clock.now += 10.0
    pending_gangs.search_round(make_cluster_view(m1=100.0, m2=85.0), 10.0)
    assert reserved_machines(pending_gangs) == {"m1"}
    pending_gangs.search_round(make_cluster_view(m1=100.0, m2=60.0), 11.0)
    assert reserved_machines(pending_gangs) == {"m2"}


def test_reserved_group_is_compared_by_its_current_estimate(monkeypatch: Any) -> None:
    clock = Clock(monkeypatch)
    pending_gangs = make_pending_gangs(clock)
    pending_gangs.search_round(make_cluster_view(m1=10.0), 0.0)
    clock.now += 10.0
    pending_gangs.search_round(make_cluster_view(m1=90.0, m2=20.0), 10.0)
    assert reserved_machines(pending_gangs) == {"m2"}


def test_expired_reservation_is_renewed_only_if_it_is_still_the_best(monkeypatch: Any) -> None:
    clock = Clock(monkeypatch)
    pending_gangs = make_pending_gangs(clock)
    pending_gangs.search_round(make_cluster_view(m1=100.0), 0.0)
    first_serial = pending_gangs.reservations.own["wk-000001"].serial
    clock.now += 61.0
    pending_gangs.search_round(make_cluster_view(m1=50.0, m2=49.0), 61.0)
    assert (
        reserved_machines(pending_gangs) == {"m1"}
        and pending_gangs.reservations.own["wk-000001"].serial > first_serial
    )
    clock.now += 61.0
    pending_gangs.search_round(make_cluster_view(), 122.0)
    assert pending_gangs.reservations.own == {}, "no offer of the reserved machine is left"


def test_gangs_with_reservations_are_searched_for_in_turn(monkeypatch: Any) -> None:
    """They were not while enough other gangs had no reservation."""
    clock = Clock(monkeypatch)
    pending_gangs = make_pending_gangs(clock)
    pending_gangs.search_round(make_cluster_view(m1=100.0), 0.0)
    for number in range(100, 140):
        job = Job(make_spec(number, tasks=4, gpus=4.0), 0.0, clock.now, "hive-0")
        pending_gangs.by_id[job.id] = PendingGang(job.spec, queue_key(job), 1.0)
    for second in range(1, 5):
        clock.now += 1.0
        pending_gangs.search_round(make_cluster_view(m1=100.0, m2=5.0), float(second))
    assert reserved_machines(pending_gangs) == {"m2"}


def test_conflict_drops_only_contested_new_reservations(monkeypatch: Any) -> None:
    """A conflict dropped all reservations, also those stored before."""
    pending_gangs = make_pending_gangs(Clock(monkeypatch))
    pending_gangs.search_round(make_cluster_view(m1=5.0, m2=50.0, m3=50.0), 0.0)
    pending_gangs.reservations.table.reservations["hive-0"] = dict(pending_gangs.reservations.own)
    pending_gangs.reservations.table.revisions["hive-0"] = 3
    for number, name in ((2, "m2"), (3, "m3")):
        job = Job(make_spec(number, tasks=1, gpus=4.0), 0.0, 1e9, "hive-0")
        pending_gangs.reservations.own[job.id] = Reservation(
            job.id, {name: 1}, job.need, 0.0, 9, 1e9, True, queue_key(job)
        )
    previous_revisions = dict(pending_gangs.reservations.table.revisions)
    other_gang = Job(make_spec(9, tasks=1, gpus=4.0), 0.0, 1e9, "hive-1")
    pending_gangs.reservations.table.revisions["hive-1"] = 4
    pending_gangs.reservations.table.reservations["hive-1"] = {
        other_gang.id: Reservation(
            other_gang.id, {"m2": 1}, other_gang.need, 0.0, 9, 1e9, True, queue_key(other_gang)
        )
    }
    pending_gangs.reservations.drop_contested(previous_revisions)
    assert set(pending_gangs.reservations.own) == {"wk-000001", "wk-000003"}


def test_truncated_list_does_not_list_all_waiting_gangs() -> None:
    """Followers took a list of sixty gangs for complete and dropped all other reservations."""
    cluster_view = ClusterView()
    cluster_view.read_jobs({"crown": 1, "waiting": [], "cut": True})
    assert not cluster_view.lists_all_waiting
    cluster_view.read_jobs({"crown": 1, "waiting": []})
    assert cluster_view.lists_all_waiting


def test_searches_per_round_depend_on_the_cpu_share() -> None:
    """64 searches on 18% of a core would delay lease renewal by a second."""
    assert [max_follower_searches(share) for share in (0.05, 0.18, 0.576, 1.476)] == [
        16,
        16,
        47,
        64,
    ]


def test_late_copy_of_a_summary_is_outdated() -> None:
    """A late write of an old summary listed gangs that had already started and omitted others,
    whose controllers then stopped searching for them."""
    cluster_view = ClusterView()
    cluster_view.read_jobs({"crown": 2, "at": 100.0, "waiting": []})
    assert cluster_view.is_outdated({"crown": 2, "at": 95.0}) and cluster_view.is_outdated(
        {"crown": 1, "at": 200.0}
    )
    assert not cluster_view.is_outdated({"crown": 2, "at": 105.0}) and not cluster_view.is_outdated(
        {"crown": 3, "at": 99.0}
    )


def test_search_round_stops_at_its_time_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a small share of a core sixteen searches delayed lease renewal by a second."""
    clock = [50.0]
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    searched: list[str] = []

    def search(self: PendingGangs, pending: PendingGang, *args: Any) -> None:
        searched.append(pending.spec.id)
        clock[0] += 0.06

    monkeypatch.setattr(PendingGangs, "_search", search)
    settings = make_settings("hive-0", "a", [])
    pending_gangs = PendingGangs(
        settings, OperatorSettings(), make_gang_reservations(settings), Random(1), max_round_s=0.1
    )
    for number in range(5):
        spec = make_spec(number)
        pending_gangs.by_id[spec.id] = PendingGang(spec, (0, 0, float(number)), float(number))
    order = list(pending_gangs.by_id)
    pending_gangs.search_round(ClusterView(), 1.0)
    assert searched == order[:2]
    pending_gangs.search_round(ClusterView(), 2.0)
    assert searched == order[:4], "the remaining gangs come first"
    pending_gangs.search_round(ClusterView(), 3.0)
    assert searched[4:] == [order[4], order[0]]


def test_controller_lease_is_longer_on_a_smaller_cpu_share() -> None:
    """With a lease of 1.5 s on 6.5% of a core a leader lost it every few seconds."""
    settings = make_settings("hive-0", "a", [])
    lease_durations = []
    for share in (2.0, 0.43, 0.065, 0.0):
        settings.cluster.limits.cpu_share = share
        lease_durations.append(controller_lease_duration_s(settings))
    min_s, max_s = CONTROLLER_LEASE_BOUNDS_S
    assert lease_durations[0] == lease_durations[1] == min_s
    assert min_s * 2 < lease_durations[2] < max_s
    assert lease_durations[3] == max_s
