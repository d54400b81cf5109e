"""A controller's holds: kept, changed and booked anew."""

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

ROOM = (16.0, 4.0, 64.0)


def offer(name: str, delay: float) -> ResourceOffer:
    return ResourceOffer(name, "a", "b1", False, frozenset({"img-0"}), [(delay, ROOM)], [], 2.0)


def cluster_view(**delays: float) -> ClusterView:
    found = ClusterView()
    found.directory = [(name, "a") for name in delays]
    found.caches = {"a": [offer(name, delay) for name, delay in delays.items()]}
    return found


class Clock:
    """The time of day, set by hand."""

    def __init__(self, monkeypatch: Any) -> None:
        self.now = 1e9
        monkeypatch.setattr("time.time", lambda: self.now)


def gang_reservations(settings: Settings) -> GangReservations:
    return GangReservations(settings, None, ReservationTable("hive-0"), Random(1))  # type: ignore[arg-type]


def pending_gangs(clock: Clock) -> PendingGangs:
    settings = make_settings("hive-0", "a", [])
    found = PendingGangs(settings, OperatorSettings(), gang_reservations(settings), Random(1))
    job = Job(make_spec(tasks=1, gpus=4.0), 0.0, clock.now, "hive-0")
    found.by_id[job.id] = PendingGang(job.spec, queue_key(job), 0.0)
    return found


def reserved(found: PendingGangs) -> set[str]:
    return set(found.reservations.own["wk-000001"].slots)


def test_reservation_changes_only_for_a_clearly_better_group(monkeypatch: Any) -> None:
    """Gangs of eight changed machines every few seconds and never had them all."""
    clock = Clock(monkeypatch)
    found = pending_gangs(clock)
    found.search_round(cluster_view(m1=100.0), 0.0)
    assert reserved(found) == {"m1"}
    clock.now += 10.0
    found.search_round(cluster_view(m1=100.0, m2=85.0), 10.0)
    assert reserved(found) == {"m1"}
    found.search_round(cluster_view(m1=100.0, m2=60.0), 11.0)
    assert reserved(found) == {"m2"}


def test_reserved_machine_that_frees_late_loses_to_one_that_is_free(monkeypatch: Any) -> None:
    clock = Clock(monkeypatch)
    found = pending_gangs(clock)
    found.search_round(cluster_view(m1=10.0), 0.0)
    clock.now += 10.0
    found.search_round(cluster_view(m1=90.0, m2=20.0), 10.0)
    assert reserved(found) == {"m2"}


def test_expired_reservation_is_renewed_only_if_it_is_still_the_best(monkeypatch: Any) -> None:
    clock = Clock(monkeypatch)
    found = pending_gangs(clock)
    found.search_round(cluster_view(m1=100.0), 0.0)
    first = found.reservations.own["wk-000001"].serial
    clock.now += 61.0
    found.search_round(cluster_view(m1=50.0, m2=49.0), 61.0)
    assert reserved(found) == {"m1"} and found.reservations.own["wk-000001"].serial > first
    clock.now += 61.0
    found.search_round(cluster_view(), 122.0)
    assert found.reservations.own == {}, "nothing is known of it any more"


def test_all_gangs_are_searched_for_in_turns(monkeypatch: Any) -> None:
    """Those with holds were not, as long as enough others had none."""
    clock = Clock(monkeypatch)
    found = pending_gangs(clock)
    found.search_round(cluster_view(m1=100.0), 0.0)
    for number in range(100, 140):
        job = Job(make_spec(number, tasks=4, gpus=4.0), 0.0, clock.now, "hive-0")
        found.by_id[job.id] = PendingGang(job.spec, queue_key(job), 1.0)
    for second in range(1, 5):
        clock.now += 1.0
        found.search_round(cluster_view(m1=100.0, m2=5.0), float(second))
    assert reserved(found) == {"m2"}


def test_conflict_costs_only_what_the_other_reservation_touched(monkeypatch: Any) -> None:
    """All holds were thrown away at a conflict, those that stood before included."""
    found = pending_gangs(Clock(monkeypatch))
    found.search_round(cluster_view(m1=5.0, m2=50.0, m3=50.0), 0.0)
    found.reservations.table.reservations["hive-0"] = dict(found.reservations.own)
    found.reservations.table.revisions["hive-0"] = 3
    for number, name in ((2, "m2"), (3, "m3")):
        job = Job(make_spec(number, tasks=1, gpus=4.0), 0.0, 1e9, "hive-0")
        found.reservations.own[job.id] = Reservation(
            job.id, {name: 1}, job.need, 0.0, 9, 1e9, True, queue_key(job)
        )
    before = dict(found.reservations.table.revisions)
    other = Job(make_spec(9, tasks=1, gpus=4.0), 0.0, 1e9, "hive-1")
    found.reservations.table.revisions["hive-1"] = 4
    found.reservations.table.reservations["hive-1"] = {
        other.id: Reservation(other.id, {"m2": 1}, other.need, 0.0, 9, 1e9, True, queue_key(other))
    }
    found.reservations.drop_contested(before)
    assert set(found.reservations.own) == {"wk-000001", "wk-000003"}


def test_gang_left_out_of_a_cut_list_still_waits() -> None:
    """Sixty gangs were told of; followers dropped the holds of all others."""
    told = ClusterView()
    told.read_jobs({"crown": 1, "waiting": [], "cut": True})
    assert not told.lists_all_waiting
    told.read_jobs({"crown": 1, "waiting": []})
    assert told.lists_all_waiting


def test_searches_a_round_follow_the_share_of_a_core() -> None:
    """Sixty-four searches on 18% of a core would keep a lease waiting for a second."""
    assert [max_follower_searches(share) for share in (0.05, 0.18, 0.576, 1.476)] == [
        16,
        16,
        47,
        64,
    ]


def test_late_copy_of_a_summary_is_no_news() -> None:
    """Carried out late, an old one named gangs as waiting that had started, and left out
    others, whose controllers then gave up searching."""
    told = ClusterView()
    told.read_jobs({"crown": 2, "at": 100.0, "waiting": []})
    assert told.is_outdated({"crown": 2, "at": 95.0}) and told.is_outdated(
        {"crown": 1, "at": 200.0}
    )
    assert not told.is_outdated({"crown": 2, "at": 105.0}) and not told.is_outdated(
        {"crown": 3, "at": 99.0}
    )


def test_a_round_of_searches_ends_when_its_time_is_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a small share of a core sixteen searches kept the lease waiting for a second."""
    clock = [50.0]
    monkeypatch.setattr(time, "monotonic", lambda: clock[0])
    searched: list[str] = []

    def search(self: PendingGangs, pending: PendingGang, *args: Any) -> None:
        searched.append(pending.spec.id)
        clock[0] += 0.06

    monkeypatch.setattr(PendingGangs, "_search", search)
    settings = make_settings("hive-0", "a", [])
    found = PendingGangs(
        settings, OperatorSettings(), gang_reservations(settings), Random(1), max_round_s=0.1
    )
    for number in range(5):
        spec = make_spec(number)
        found.by_id[spec.id] = PendingGang(spec, (0, 0, float(number)), float(number))
    order = list(found.by_id)
    found.search_round(ClusterView(), 1.0)
    assert searched == order[:2]
    found.search_round(ClusterView(), 2.0)
    assert searched == order[:4], "those that were left come first"
    found.search_round(ClusterView(), 3.0)
    assert searched[4:] == [order[4], order[0]]


def test_a_lease_outlasts_more_work_where_the_processor_is_slower() -> None:
    """At 1.5 s on 6.5% of a core a leader lost its lease every few seconds."""
    settings = make_settings("hive-0", "a", [])
    lasts = []
    for share in (2.0, 0.43, 0.065, 0.0):
        settings.cluster.limits.cpu_share = share
        lasts.append(controller_lease_duration_s(settings))
    low, high = CONTROLLER_LEASE_BOUNDS_S
    assert lasts[0] == lasts[1] == low
    assert low * 2 < lasts[2] < high
    assert lasts[3] == high
