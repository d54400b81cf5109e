"""Search for a gang's machines: select the group of candidate slots with the lowest score.

The score of a group is the wait until all its tasks can start, image fetches included, plus
penalties for distance between its slots and for placement preferences. A local search improves
a few groups of N slots by swaps; if there are few possible groups, all are compared.
"""

from __future__ import annotations

import itertools
import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from topazhold.core.candidate_slots import (
    SearchContext,
    SearchRules,
    Slot,
    by_readiness,
    gather_slots,
    offer_slots,
)
from topazhold.core.jobs import Resources
from topazhold.core.resource_offer import Priority, ResourceOffer
from topazhold.wire.jobs import JobSpec

#: Maximum number of possible groups to compare exhaustively: 70, those of four out of eight
#: slots, are no more than a swap loop scores.
MAX_EXHAUSTIVE_GROUPS = 70
#: Maximum number of random draws per swap to find a slot outside the group.
MAX_SWAP_DRAWS = 4


@dataclass(slots=True, eq=False)
class Group:
    """Machines for all tasks of a gang, with the number of tasks on each."""

    score: float  # seconds; lower is better
    wait_s: float  # seconds until all tasks can run, images included
    capacity_wait_s: float  # seconds until the resources of all tasks are free
    slots: dict[str, int]


def score_group(group: Sequence[Slot], spec: JobSpec, rules: SearchRules) -> float:
    """Return the score in seconds, lower is better; infinite if constraints are violated."""
    zones: dict[str, int] = {}
    wait_s = 0.0
    cost_s = 0.0
    shares_machine = False
    for slot in group:
        zone = slot.zone
        zones[zone] = zones.get(zone, 0) + 1
        if slot.nth:
            shares_machine = True
        if slot.wait_s > wait_s:
            wait_s = slot.wait_s
        cost_s += slot.cost_s
    if shares_machine and _lacks_earlier_slot(group):
        return math.inf
    in_main_zone = max(zones.values())
    if spec.same_zone and len(zones) > 1:
        return math.inf
    if spec.spread_zones and in_main_zone > (spec.tasks + 1) // 2:
        return math.inf
    distance = len(group) - in_main_zone
    return wait_s + rules.distance_s * distance + cost_s / len(group)


def _lacks_earlier_slot(group: Sequence[Slot]) -> bool:
    """Return whether the group has a machine's nth slot but not all of its earlier ones."""
    nths_by_machine: dict[str, list[int]] = {}
    for slot in group:
        nths_by_machine.setdefault(slot.name, []).append(slot.nth)
    return any(max(nths) >= len(nths) for nths in nths_by_machine.values())


def select_group(
    rng: Random, slots: Sequence[Slot], spec: JobSpec, rules: SearchRules
) -> Group | None:
    """Return the group of N candidates with the lowest score found, if any is valid."""
    if len(slots) < spec.tasks:
        return None
    soonest = _soonest_group(slots, spec)
    if math.comb(len(slots), spec.tasks) <= MAX_EXHAUSTIVE_GROUPS:
        return _best_of_all(soonest, slots, spec, rules)
    return _best_by_swaps(rng, soonest, slots, spec, rules)


def _best_of_all(
    soonest: list[Slot] | None, slots: Sequence[Slot], spec: JobSpec, rules: SearchRules
) -> Group | None:
    """Compare all groups; ties go to the soonest group, as in the swap loop."""
    groups = itertools.chain(
        [soonest] if soonest else [], itertools.combinations(slots, spec.tasks)
    )
    best = min(groups, key=lambda group: score_group(group, spec, rules))
    return _as_group(best, score_group(best, spec, rules))


def _best_by_swaps(
    rng: Random,
    soonest: list[Slot] | None,
    slots: Sequence[Slot],
    spec: JobSpec,
    rules: SearchRules,
) -> Group | None:
    """Improve the soonest group and random ones in rounds of single-slot swaps."""
    best: list[Slot] | None = None
    best_score = math.inf
    groups: list[tuple[list[Slot], float]] = []
    for number in range(rules.groups):
        group = soonest if number == 0 and soonest else rng.sample(slots, spec.tasks)
        score = score_group(group, spec, rules)
        groups.append((group, score))
        if score < best_score:
            best, best_score = group, score
    for _ in range(rules.rounds):
        improved = False
        for number, (group, score) in enumerate(groups):
            swapped = _swap(rng, group, slots)
            new_score = score_group(swapped, spec, rules)
            if new_score < score:
                groups[number] = (swapped, new_score)
                improved = True
                if new_score < best_score:
                    best, best_score = swapped, new_score
        if not improved:
            break  # further rounds seldom help after one without improvement
    return _as_group(best, best_score)


def _as_group(best: Sequence[Slot] | None, score: float) -> Group | None:
    if best is None or math.isinf(score):
        return None
    counts: dict[str, int] = {}
    for slot in best:
        counts[slot.name] = counts.get(slot.name, 0) + 1
    wait_s = max(slot.wait_s for slot in best)
    return Group(score, wait_s, max(slot.capacity_wait_s for slot in best), counts)


def _soonest_group(slots: Sequence[Slot], spec: JobSpec) -> list[Slot] | None:
    """Return the soonest slots within the zone limits; each machine's in order of `nth`."""
    zone_limit = (spec.tasks + 1) // 2 if spec.spread_zones else spec.tasks
    zones: dict[str, int] = {}
    group: list[Slot] = []
    for slot in sorted(slots, key=by_readiness):
        zone = slot.zone
        if zones.get(zone, 0) < zone_limit:
            zones[zone] = zones.get(zone, 0) + 1
            group.append(slot)
            if len(group) == spec.tasks:
                return group
    return None


def _swap(rng: Random, group: Sequence[Slot], slots: Sequence[Slot]) -> list[Slot]:
    """Return the group with one slot replaced by a random one from outside, if drawn."""
    swapped = list(group)
    group_ids = {id(slot) for slot in group}
    for _ in range(MAX_SWAP_DRAWS):
        other = slots[int(rng.random() * len(slots))]  # randrange is much slower
        if id(other) not in group_ids:
            swapped[int(rng.random() * len(swapped))] = other
            break
    return swapped


def score_reservation(
    slots: Mapping[str, int],
    caches: Mapping[str, Sequence[ResourceOffer]],
    spec: JobSpec,
    priority: Priority,
    reserved: Mapping[str, Resources],
    rules: SearchRules,
) -> float:
    """Return the score of an already reserved group with current offers.

    `slots` has its tasks by machine, `reserved` the resources reserved for others.
    """
    context = SearchContext(spec, priority, reserved, rules)
    group: list[Slot] = []
    for offers in caches.values():
        for offer in offers:
            count = slots.get(offer.name, 0)
            if count:
                group += offer_slots(offer, context, count)
    if len(group) != spec.tasks:
        return math.inf
    return score_group(group, spec, rules)


def find_group(
    rng: Random,
    directory: Sequence[tuple[str, str]],
    caches: Mapping[str, Sequence[ResourceOffer]],
    context: SearchContext,
    tries: int,
) -> Group | None:
    """Return the best group of `tries` independent searches, each from its own pivot.

    `directory` has (machine, zone) of the whole fleet, `caches` the offers by zone.
    """
    spec, rules = context.spec, context.rules
    best: Group | None = None
    slots_by_zone: dict[str, list[Slot]] = {}
    exhausted_zones: set[str] = set()
    for _ in range(tries):
        slots = gather_slots(rng, directory, caches, context, slots_by_zone)
        if slots and spec.same_zone and math.comb(len(slots), spec.tasks) <= MAX_EXHAUSTIVE_GROUPS:
            # The first try in this zone compares all its groups.
            zone = slots[0].zone
            if zone in exhausted_zones:
                continue
            exhausted_zones.add(zone)
        group = select_group(rng, slots, spec, rules) if slots else None
        if group is not None and (best is None or group.score < best.score):
            best = group
    return best
