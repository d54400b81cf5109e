"""The search for groups of machines, and the reservations made from it."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from tests.job_specs import make_spec
from topazhold.core import candidate_slots, group_search, zone_summary
from topazhold.core.candidate_slots import SearchContext, SearchRules
from topazhold.core.jobs import Resources
from topazhold.core.reservations import (
    QueueKey,
    Reservation,
    ReservationTable,
    ReservedResources,
    pack_value,
)
from topazhold.core.resource_offer import ResourceOffer, unpack_offer
from topazhold.wire.codec import json_size
from topazhold.wire.jobs import JobSpec

RULES = SearchRules(2.0, 16, 20, distance_s=1.0, preference_s=0.5, max_machine_tasks=120)
MACHINE_RESOURCES = (16.0, 4.0, 64.0)


def offer(name: str, zone: str, delay: float = 0.0, images: tuple[str, ...] = ()) -> ResourceOffer:
    return ResourceOffer(
        name, zone, "b1", False, frozenset(images), [(delay, MACHINE_RESOURCES)], [], 2.0
    )


def fleet(*offers: ResourceOffer) -> tuple[list[tuple[str, str]], dict[str, list[ResourceOffer]]]:
    caches: dict[str, list[ResourceOffer]] = {}
    for item in offers:
        caches.setdefault(item.zone, []).append(item)
    return [(item.name, item.zone) for item in offers], caches


def search(
    spec: JobSpec,
    directory: list[tuple[str, str]],
    caches: dict[str, list[ResourceOffer]],
    seed: int = 1,
    reserved_resources: dict[str, Resources] | None = None,
    tries: int = 2,
) -> group_search.Group | None:
    return group_search.find_group(
        Random(seed),
        directory,
        caches,
        SearchContext(spec, (1, 2), reserved_resources or {}, RULES),
        tries,
    )


def test_finds_the_earliest_group_that_has_the_image() -> None:
    directory, caches = fleet(
        offer("m1", "a", 30.0),
        offer("m2", "a"),
        offer("m3", "a", images=("img-0",)),
        offer("m4", "a", images=("img-0",)),
    )
    group = search(make_spec(tasks=2, gpus=4.0), directory, caches)
    assert group is not None
    assert group.slots == {"m3": 1, "m4": 1} and group.wait_s == 0.0


def test_several_tasks_share_a_machine() -> None:
    directory, caches = fleet(offer("m1", "a"), offer("m2", "a", 50.0))
    group = search(make_spec(tasks=2, gpus=2.0), directory, caches)
    assert group is not None and group.slots == {"m1": 2}


def test_same_zone_group_never_spans_zones() -> None:
    directory, caches = fleet(offer("m1", "a"), offer("m2", "b"), offer("m3", "b", 40.0))
    for seed in range(20):
        group = search(make_spec(tasks=2, gpus=4.0), directory, caches, seed)
        assert group is None or set(group.slots) == {"m2", "m3"}


def test_spread_group_has_at_most_half_its_tasks_in_a_zone() -> None:
    directory, caches = fleet(*(offer(f"m{n}", "ab"[n % 2]) for n in range(8)))
    spec = make_spec(tasks=5, gpus=4.0, same_zone=False, spread_zones=True)
    for seed in range(20):
        group = search(spec, directory, caches, seed)
        assert group is not None
        zones = [caches["a"][0].zone if int(name[1]) % 2 == 0 else "b" for name in group.slots]
        assert max(zones.count("a"), zones.count("b")) <= 3


def test_gathers_alpha_slots_per_task_from_pivots_in_all_zones() -> None:
    directory, caches = fleet(*(offer(f"m{n:02d}", "abc"[n % 3]) for n in range(30)))
    spec = make_spec(tasks=4, gpus=4.0, same_zone=False)
    zones_seen = set()
    for seed in range(30):
        slots = candidate_slots.gather_slots(
            Random(seed), directory, caches, SearchContext(spec, (1, 2), {}, RULES)
        )
        assert len(slots) == 8
        zones_seen |= {slot.offer.zone for slot in slots}
    assert zones_seen == {"a", "b", "c"}


def test_swap_loop_improves_the_initial_group() -> None:
    directory, caches = fleet(*(offer(f"m{n:02d}", "a", float(n)) for n in range(12)))
    spec = make_spec(tasks=4, gpus=4.0)
    slots = candidate_slots.gather_slots(
        Random(3), directory, caches, SearchContext(spec, (1, 2), {}, RULES)
    )
    group = group_search.select_group(Random(3), slots, spec, RULES)
    assert group is not None and set(group.slots) == {"m00", "m01", "m02", "m03"}


def test_capacity_reserved_for_others_is_not_used() -> None:
    directory, caches = fleet(offer("m1", "a"), offer("m2", "a", 5.0))
    group = search(
        make_spec(tasks=1, gpus=4.0),
        directory,
        caches,
        reserved_resources={"m1": MACHINE_RESOURCES},
    )
    assert group is not None and group.slots == {"m2": 1}


def reservation(job: str, machine: str, queue_key: QueueKey = (1, 2, 5.0)) -> Reservation:
    return Reservation(job, {machine: 1}, (4.0, 4.0, 8.0), 1.0, 1, 1.0, True, queue_key)


def test_reservations_survive_a_round_trip_and_unreadable_ones_are_skipped() -> None:
    reservation_table = ReservationTable("hive-0")
    value = pack_value([reservation("wk-1", "m1")], "t")
    value["holds"].append(["nonsense"])
    reservation_table.update("hive-1", value, 7)
    assert reservation_table.of_job("wk-1") is not None
    assert reservation_table.reserved_for_others("wk-2", (1, 2, 6.0), lambda reservation: True)[
        "m1"
    ] == (
        4.0,
        4.0,
        8.0,
    )
    assert (
        reservation_table.reserved_for_others("wk-2", (0, 2, 6.0), lambda reservation: True) == {}
    )


def test_reservations_bind_only_work_later_in_the_queue() -> None:
    """Guards against later small gangs that keep an earlier large one from its machines."""
    reservation_table = ReservationTable("hive-0")
    reservation_table.update(
        "hive-1",
        pack_value([reservation("wk-1", "m1"), reservation("wk-3", "m3", (0, 2, 9.0))], "t"),
        7,
    )
    assert reservation_table.reserved_for_others(
        "wk-2", (1, 2, 4.0), lambda reservation: True
    ).keys() == {"m3"}
    reserved = ReservedResources(
        reservation_table, lambda reservation: reservation.queue_key, lambda reservation: False
    )
    assert reserved.reserved_for_others("wk-2", (0, 2, 8.0)) == {}
    assert reserved.reserved_for_others("wk-2", (1, 2, 4.0)).keys() == {"m3"}
    assert reserved.reserved_for_others("wk-2", (1, 2, 6.0)).keys() == {"m1", "m3"}
    assert reserved.reserved_for_others("wk-1", (1, 2, 6.0))["m1"] == (0.0, 0.0, 0.0)
    reserved.release("wk-3")
    assert reserved.reserved_for_others("wk-2", (1, 3, 0.0))["m3"] == (0.0, 0.0, 0.0)


def test_reservation_write_is_conditional_on_all_other_reservations() -> None:
    reservation_table = ReservationTable("hive-0")
    reservation_table.update("hive-1", pack_value([], "t"), 7)
    assert reservation_table.preconditions() == [("hold/hive-0", 0), ("hold/hive-1", 7)]
    reservation_table.expire("hive-1", 9)
    assert reservation_table.preconditions() == [("hold/hive-0", 0)]


def test_offer_round_trip() -> None:
    item = ResourceOffer(
        "m1",
        "a",
        "b1",
        True,
        frozenset({"x", "y"}),
        [(0.0, MACHINE_RESOURCES), (9.5, MACHINE_RESOURCES)],
        [((1, 1), 2.0, MACHINE_RESOURCES)],
        2.0,
    )
    unpacked = unpack_offer("a", item.pack())
    assert unpacked.pack() == item.pack()
    assert [delay for delay, _ in unpacked.availability_for((1, 1), None)] == [0.0, 2.0, 9.5]


def test_reservation_is_scored_by_current_offers() -> None:
    """Guards against keeping a reservation on machines that become free later than others."""
    spec = make_spec(tasks=2, gpus=4.0)
    _, caches = fleet(offer("m1", "a", 80.0), offer("m2", "a", 90.0))
    reserved = {"m1": 1, "m2": 1}
    assert group_search.score_reservation(reserved, caches, spec, (1, 2), {}, RULES) >= 90.0
    assert group_search.score_reservation({"m9": 2}, caches, spec, (1, 2), {}, RULES) == float(
        "inf"
    )


def test_preemptible_work_uses_capacity_reserved_by_gangs_that_still_wait() -> None:
    """Guards against idle reserved machines.

    Gangs that waited for their last machine kept a quarter of a fleet idle.
    """
    reservation_table = ReservationTable("hive-0")
    reservation_table.update(
        "hive-1",
        pack_value([reservation("wk-1", "m1"), reservation("wk-3", "m3", (0, 2, 9.0))], "t"),
        7,
    )
    reserved = ReservedResources(
        reservation_table,
        lambda reservation: reservation.queue_key,
        lambda reservation: reservation.job == "wk-3",
    )
    assert reserved.reserved_for_others("wk-2", (1, 3, 7.0), preemptible=True).keys() == {"m3"}, (
        "only the reservation of wk-3 binds preemptible work"
    )
    assert reserved.reserved_for_others("wk-2", (1, 3, 7.0)).keys() == {"m1", "m3"}
    assert reserved.reserved_for_others("wk-2", (1, 3, 8.0), preemptible=True).keys() == {"m3"}
    without_binding = ReservedResources(
        reservation_table, lambda reservation: reservation.queue_key, lambda reservation: False
    )
    assert without_binding.reserved_for_others("wk-2", (1, 2, 7.0), preemptible=True).keys() == {
        "m1",
        "m3",
    }


def test_machine_without_a_free_gpu_is_not_available_now() -> None:
    """Guards against full machines that crowd machines about to boot out of the caches."""
    full = ResourceOffer(
        "m1",
        "a",
        "b1",
        False,
        frozenset(),
        [(0.0, (2.0, 0.0, 8.0)), (90.0, MACHINE_RESOURCES)],
        [],
        2.0,
    )
    assert zone_summary.availability_key(full)[0] == 90.0
    assert zone_summary.availability_key(offer("m2", "a", 40.0)) < zone_summary.availability_key(
        full
    )


def test_machine_names_of_a_whole_zone_fit_one_value() -> None:
    """Guards against lists cut to 40 names a zone: most of 300 machines were never a pivot."""
    names = [f"host-{number:06d}" for number in range(450)]
    assert zone_summary.unpack_names(zone_summary.pack_names(names)) == names
    assert json_size(zone_summary.pack_names(names)) < 4096
    for short_names in ([], ["host-1"], ["a", "b"]):
        assert zone_summary.unpack_names(zone_summary.pack_names(short_names)) == short_names


def test_small_gang_gets_the_best_group_and_each_group_is_scored_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against scoring the same group repeatedly.

    A swap loop scored some 70 groups of four candidates, which make only six. That took half
    the processor time of a full fleet, over 400 s a day.
    """
    rng = Random(3)
    scored: list[int] = []
    score_group = group_search.score_group

    def counted(*args: Any) -> Any:
        scored.append(1)
        return score_group(*args)

    for size in (1, 2, 4):
        offers = [offer(f"m{n}", "a", rng.uniform(0.0, 60.0)) for n in range(12)]
        directory, caches = fleet(*offers)
        spec = make_spec(tasks=size, gpus=4.0)
        scored.clear()
        with monkeypatch.context() as patch:
            patch.setattr(group_search, "score_group", counted)
            group = search(spec, directory, caches, tries=6)
        earliest = sorted(offers, key=lambda item: item.availability[0][0])[:size]
        assert group is not None and set(group.slots) == {item.name for item in earliest}
        assert len(scored) <= 73, "each group is scored once, however many tries"
