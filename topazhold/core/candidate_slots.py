"""Candidates of a gang's search: slots for its tasks on offered machines.

The search starts at a random machine of the whole fleet, the pivot. The cache of its zone, then
those of the zones of further pivots, provide alpha·N slots for a gang of N tasks.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from topazhold.core.estimates import fetch_s
from topazhold.core.jobs import Resources
from topazhold.core.placement_constraints import placement_allowed
from topazhold.core.resource_offer import Priority, ResourceOffer
from topazhold.core.resources import count_fitting
from topazhold.wire.jobs import JobSpec

#: Cost of placing the first task on an empty machine, as a multiple of `preference_s`.
EMPTY_MACHINE_PREFERENCES = 1.5
#: Cost per share of free GPUs that a task leaves unused, as a multiple of `preference_s`.
UNUSED_SHARE_PREFERENCES = 0.5


@dataclass(frozen=True, slots=True)
class SearchRules:
    """Sizes and weights of the search."""

    alpha: float  # candidate slots gathered for each task
    groups: int  # groups that the swap loop improves
    rounds: int  # rounds of the swap loop
    distance_s: float  # cost, in seconds, of each task outside the main zone
    preference_s: float  # cost, in seconds, of violating one placement preference
    max_machine_tasks: int  # of a gang on one machine, whose intents must fit a stored value


@dataclass(frozen=True, slots=True)
class SearchContext:
    """Input shared by all steps of one gang's search."""

    spec: JobSpec
    priority: Priority
    reserved: Mapping[str, Resources]  # for others, by machine
    rules: SearchRules


class Slot:
    """Capacity for one task: the `nth` of the job on its machine, from 0."""

    __slots__ = ("offer", "name", "zone", "nth", "capacity_wait_s", "wait_s", "cost_s")

    def __init__(
        self, offer: ResourceOffer, nth: int, capacity_wait_s: float, wait_s: float, cost_s: float
    ) -> None:
        self.offer = offer
        self.name = offer.name
        self.zone = offer.zone
        self.nth = nth
        self.capacity_wait_s = capacity_wait_s  # seconds until the resources are free
        self.wait_s = wait_s  # seconds until the image is fetched too
        self.cost_s = cost_s  # of violated placement preferences, in seconds


def by_readiness(slot: Slot) -> tuple[float, int]:
    """Sort key: soonest ready first; of one machine, the earlier slot first."""
    return (slot.wait_s + slot.cost_s, slot.nth)


def offer_slots(offer: ResourceOffer, context: SearchContext, limit: int) -> list[Slot]:
    """Return up to `limit` slots of one machine, soonest first."""
    spec, rules = context.spec, context.rules
    if not placement_allowed(spec, offer.machine_type, offer.zone, offer.spot):
        return []
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    limit = min(limit, rules.max_machine_tasks)
    missing_gb = 0.0 if spec.image in offer.images else spec.image_gb
    image_fetch_s = fetch_s(missing_gb, offer.fetch_rate)
    slots: list[Slot] = []
    total_free = offer.availability[-1][1] if offer.availability else need
    for delay_s, available in offer.availability_for(
        context.priority, context.reserved.get(offer.name)
    ):
        count = count_fitting(need, available, limit)
        cost_s = 0.0
        if spec.spot and not offer.spot:
            cost_s += rules.preference_s  # keep on-demand machines for jobs that need them
        if available[1] > 0:
            unused_share = (available[1] - need[1]) / available[1]
            # Prefer machines that are already in use: gangs that need whole machines
            # find none if every machine runs a small task.
            cost_s += UNUSED_SHARE_PREFERENCES * rules.preference_s * unused_share
            if need[1] * count < total_free[1] and available[1] >= total_free[1]:
                cost_s += EMPTY_MACHINE_PREFERENCES * rules.preference_s
        while len(slots) < count:
            slots.append(Slot(offer, len(slots), delay_s, delay_s + image_fetch_s, cost_s))
    return slots


def gather_slots(
    rng: Random,
    directory: Sequence[tuple[str, str]],
    caches: Mapping[str, Sequence[ResourceOffer]],
    context: SearchContext,
    slots_by_zone: dict[str, list[Slot]] | None = None,
) -> list[Slot]:
    """Return alpha·N candidate slots from the zones of random pivots.

    `directory` has (machine, zone) of the whole fleet. `slots_by_zone` caches the slots of each
    zone across tries of the same search.
    """
    if slots_by_zone is None:
        slots_by_zone = {}
    spec = context.spec
    target_count = max(spec.tasks, math.ceil(context.rules.alpha * spec.tasks))
    pivots = [zone for _, zone in directory if spec.zone is None or zone == spec.zone]
    slots: list[Slot] = []
    while pivots and len(slots) < target_count:
        zone = rng.choice(pivots)
        pivots = [other for other in pivots if other != zone]
        if zone not in slots_by_zone:
            slots_by_zone[zone] = _cache_slots(caches.get(zone, ()), context)
        zone_slots = slots_by_zone[zone]
        if spec.same_zone:
            if len(zone_slots) >= spec.tasks:
                return zone_slots[:target_count]
            continue  # the zone can't take the gang: draw another pivot
        if spec.spread_zones:
            slots += zone_slots[: max(1, math.ceil(target_count / 2))]
        else:
            slots += zone_slots[: target_count - len(slots)]
    return [] if spec.same_zone else slots


def _cache_slots(offers: Sequence[ResourceOffer], context: SearchContext) -> list[Slot]:
    """Return all slots of a zone's cache, the soonest ready first."""
    slots: list[Slot] = []
    for offer in offers:
        slots += offer_slots(offer, context, context.spec.tasks)
    slots.sort(key=by_readiness)
    return slots
