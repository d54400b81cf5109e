"""The search for a gang's machines: pivots, zone caches, swap loop.

A random machine of the whole fleet is the pivot. Its zone's cache, then the
caches of the machines gathered so far, then those of further pivots give
alpha·N candidate slots. A swap loop picks the N with the lowest score: the
wait until all can start (image fetches included) and the distance to the
group's zone.
"""

from __future__ import annotations

import itertools
import math
import os.path
from collections.abc import Callable, Iterable, Mapping, Sequence
from random import Random
from typing import Any

from topazhold.core.jobs import Resources
from topazhold.core.machines import SLACK, add_resources, count_fitting, fits
from topazhold.wire.messages import JobSpec

#: (outside its guarantee, urgency): smaller goes first.
Priority = tuple[int, int]
#: In place of the first: a gang that presses. It goes first like work within its guarantee,
#: but others are stopped for it by their urgency alone.
AGED = 2

#: What breaking into an empty machine costs, in full preferences.
BREAK_PREFERENCE = 1.5
#: Machines in a zone's cache.
CACHE_LENGTH = 20
#: So many groups at the most are looked at one by one.
MAX_GROUPS = 70


class ResourceOffer:
    """What one machine can give, and when."""

    __slots__ = (
        "name",
        "zone",
        "machine_type",
        "spot",
        "images",
        "availability",
        "preemptible",
        "fetch_rate",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        machine_type: str,
        spot: bool,
        images: frozenset[str],
        availability: list[tuple[float, Resources]],
        preemptible: list[tuple[Priority, float, Resources]],
        fetch_rate: float,
    ) -> None:
        self.name = name
        self.zone = zone
        self.machine_type = machine_type
        self.spot = spot
        self.images = images
        self.availability = availability  # (seconds from now, room free then)
        self.preemptible = preemptible  # (rank, seconds, room that it may take from others)
        self.fetch_rate = fetch_rate

    def availability_for(
        self, priority: Priority, reserved: Resources | None
    ) -> list[tuple[float, Resources]]:
        """Room over time for work of a rank, less what others hold."""
        availability = list(self.availability)
        if availability:
            for delay, available in self._preemptible_for(priority):
                availability.append((delay, add_resources(availability[0][1], available)))
        if reserved is not None:
            availability = [
                (delay, add_resources(available, reserved, -1.0))
                for delay, available in availability
            ]
        availability.sort(key=lambda step: step[0])
        return availability

    def _preemptible_for(self, priority: Priority) -> list[tuple[float, Resources]]:
        """What work of a rank may take from others; a pressing gang has its own entry only
        where it may take less than work within its guarantee."""
        found = [
            (delay, available)
            for of_priority, delay, available in self.preemptible
            if of_priority == priority
        ]
        if not found and priority[0] == AGED:
            return self._preemptible_for((0, priority[1]))
        return found

    def full(self, reserved: Mapping[str, Resources]) -> bool:
        """Whether holds keep all that will ever be free here."""
        if not self.availability:
            return True
        available = add_resources(
            self.availability[-1][1], reserved.get(self.name, (0.0, 0.0, 0.0)), -1.0
        )
        gpus = self.availability[-1][1][1] > 0
        return (available[1] if gpus else available[0]) <= SLACK

    def ready_for(self, priority: Priority, need: Resources) -> float:
        """How soon there is room for one task of this size."""
        for delay, available in self.availability_for(priority, None):
            if fits(need, available):
                return delay
        return math.inf

    def pack(self) -> list[Any]:
        return [
            self.name,
            self.machine_type,
            self.spot,
            sorted(self.images),
            [
                [round(delay, 1), *(round(part, 3) for part in available)]
                for delay, available in self.availability
            ],
            [
                [*priority, round(delay, 1), *(round(part, 3) for part in available)]
                for priority, delay, available in self.preemptible
            ],
            round(self.fetch_rate, 3),
        ]


def unpack_offer(zone: str, data: Any) -> ResourceOffer:
    """Read an offer out of a zone's summary; ValueError if it is none."""
    try:
        name, machine_type, spot, images, availability, preemptible, rate = data
        return ResourceOffer(
            str(name),
            zone,
            str(machine_type),
            bool(spot),
            frozenset(images),
            [(float(r[0]), (float(r[1]), float(r[2]), float(r[3]))) for r in availability],
            [
                ((int(e[0]), int(e[1])), float(e[2]), (float(e[3]), float(e[4]), float(e[5])))
                for e in preemptible
            ],
            float(rate),
        )
    except (TypeError, IndexError) as exc:
        raise ValueError(f"not an offer: {exc}") from None


class Slot:
    """Room for one task: the `nth` of this job's on its machine."""

    __slots__ = ("offer", "name", "zone", "nth", "delay", "ready", "cost")

    def __init__(
        self, offer: ResourceOffer, nth: int, delay: float, ready: float, cost: float
    ) -> None:
        self.offer = offer
        self.name = offer.name
        self.zone = offer.zone
        self.nth = nth
        self.delay = delay  # wait for room
        self.ready = ready  # wait for room and image
        self.cost = cost  # small preferences, in seconds


class Group:
    """The best group found."""

    __slots__ = ("score", "wait", "capacity_wait", "slots")

    def __init__(
        self, score: float, wait: float, capacity_wait: float, slots: dict[str, int]
    ) -> None:
        self.score = score
        self.wait = wait
        self.capacity_wait = capacity_wait
        self.slots = slots


class SearchRules:
    """Sizes and weights of the search."""

    def __init__(
        self, alpha: float, groups: int, rounds: int, distance_s: float, preference_s: float
    ) -> None:
        self.alpha = alpha
        self.groups = groups
        self.rounds = rounds
        self.distance_s = distance_s  # seconds that one step of distance is worth
        self.preference_s = preference_s  # seconds that a full preference is worth


def allowed(spec: JobSpec, machine_type: str, zone: str, spot: bool) -> bool:
    """Whether the job may be on such a machine."""
    if spec.machine_types is not None and machine_type not in spec.machine_types:
        return False
    if spec.zone is not None and zone != spec.zone:
        return False
    return spec.spot or not spot


def offer_slots(
    offer: ResourceOffer,
    spec: JobSpec,
    priority: Priority,
    reserved: Resources | None,
    limit: int,
    rules: SearchRules,
) -> list[Slot]:
    """Up to `limit` slots of one machine, soonest first."""
    if not allowed(spec, offer.machine_type, offer.zone, offer.spot):
        return []
    need = (spec.cpus, spec.gpus, spec.memory_gb)
    fetch = 0.0
    if spec.image not in offer.images:
        fetch = spec.image_gb / offer.fetch_rate if offer.fetch_rate > 0 else 0.0
    slots: list[Slot] = []
    whole = offer.availability[-1][1] if offer.availability else need
    for delay, available in offer.availability_for(priority, reserved):
        count = count_fitting(need, available, limit)
        cost = 0.0
        if spec.spot and not offer.spot:
            cost += rules.preference_s  # leave ordinary machines to those who need them
        if available[1] > 0:
            left = (available[1] - need[1]) / available[1]
            # Fill machines that are in use already: gangs of whole machines find
            # none where every one has a small task on it.
            cost += 0.5 * rules.preference_s * left
            if need[1] * count < whole[1] and available[1] >= whole[1]:
                cost += BREAK_PREFERENCE * rules.preference_s
        while len(slots) < count:
            slots.append(Slot(offer, len(slots), delay, delay + fetch, cost))
    return slots


def gather(
    rng: Random,
    directory: Sequence[tuple[str, str]],
    caches: Mapping[str, Sequence[ResourceOffer]],
    spec: JobSpec,
    priority: Priority,
    taken: Mapping[str, Resources],
    rules: SearchRules,
    seen: dict[str, list[Slot]] | None = None,
) -> list[Slot]:
    """Alpha·N candidate slots from a random pivot's cache and those it leads to.

    `seen` keeps the slots of caches that an earlier try of the same search read.
    """
    seen = {} if seen is None else seen
    want = max(spec.tasks, math.ceil(rules.alpha * spec.tasks))
    pivots = [zone for _, zone in directory if spec.zone is None or zone == spec.zone]
    found: list[Slot] = []
    visited: set[str] = set()
    while pivots and len(found) < want:
        zone = rng.choice(pivots)
        pivots = [other for other in pivots if other != zone]
        if zone in visited:
            continue
        visited.add(zone)
        if zone not in seen:
            seen[zone] = _cache_slots(caches.get(zone, ()), spec, priority, taken, rules)
        near = seen[zone]
        if spec.same_place:
            if len(near) >= spec.tasks:
                return near[:want]
            continue  # this zone can't take the gang; another pivot
        if spec.scatter:
            near = near[: max(1, math.ceil(want / 2))]
        found += near[: want - len(found)] if not spec.scatter else near
    return [] if spec.same_place else found


def _cache_slots(
    offers: Sequence[ResourceOffer],
    spec: JobSpec,
    priority: Priority,
    taken: Mapping[str, Resources],
    rules: SearchRules,
) -> list[Slot]:
    """All slots of a zone's cache, the soonest ready first."""
    slots: list[Slot] = []
    for offer in offers:
        slots += offer_slots(offer, spec, priority, taken.get(offer.name), spec.tasks, rules)
    slots.sort(key=lambda slot: (slot.ready + slot.cost, slot.nth))
    return slots


def score_group(group: Sequence[Slot], spec: JobSpec, rules: SearchRules) -> float:
    """Lower is better; infinite if the job's placement rules are broken."""
    zones: dict[str, int] = {}
    wait = 0.0
    cost = 0.0
    shared = False
    for slot in group:
        zone = slot.zone
        zones[zone] = zones.get(zone, 0) + 1
        if slot.nth:
            shared = True
        if slot.ready > wait:
            wait = slot.ready
        cost += slot.cost
    if shared and _lacks_lower(group):
        return math.inf
    centre = max(zones.values())
    if spec.same_place and len(zones) > 1:
        return math.inf
    if spec.scatter and centre > (spec.tasks + 1) // 2:
        return math.inf
    distance = len(group) - centre
    return wait + rules.distance_s * distance + cost / len(group)


def _lacks_lower(group: Sequence[Slot]) -> bool:
    """The nth slot of a machine counts on the ones before it."""
    counts: dict[str, list[int]] = {}
    for slot in group:
        counts.setdefault(slot.name, []).append(slot.nth)
    return any(max(nths) >= len(nths) for nths in counts.values())


def pick(rng: Random, slots: Sequence[Slot], spec: JobSpec, rules: SearchRules) -> Group | None:
    """The group of N among the candidates with the lowest score.

    Few candidates are looked at in all ways: four of eight give 70 groups, no more
    than a swap loop tries, and a gang of one has two. With more, the swap loop
    improves groups round by round.
    """
    size = spec.tasks
    if len(slots) < size:
        return None
    first = _first_group(slots, spec)
    if math.comb(len(slots), size) <= MAX_GROUPS:
        # Among equals the soonest slots come first, as in the swap loop.
        every = itertools.chain([first] if first else [], itertools.combinations(slots, size))
        chosen = min(every, key=lambda group: score_group(group, spec, rules))
        return _as_group(chosen, score_group(chosen, spec, rules))
    best: list[Slot] | None = None
    best_score = math.inf
    groups: list[tuple[list[Slot], float]] = []
    for number in range(rules.groups):
        group = first if number == 0 and first else rng.sample(list(slots), size)
        score = score_group(group, spec, rules)
        groups.append((group, score))
        if score < best_score:
            best, best_score = group, score
        if len(slots) == size:
            break
    if len(slots) > size:
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
                break  # a round without a better group: more of them seldom help
    return _as_group(best, best_score)


def _as_group(best: Sequence[Slot] | None, score: float) -> Group | None:
    if best is None or math.isinf(score):
        return None
    counts: dict[str, int] = {}
    for slot in best:
        counts[slot.name] = counts.get(slot.name, 0) + 1
    wait = max(slot.ready for slot in best)
    return Group(score, wait, max(slot.delay for slot in best), counts)


def _first_group(slots: Sequence[Slot], spec: JobSpec) -> list[Slot] | None:
    """The soonest slots, with the earlier ones of every machine, zone caps kept."""
    limit = (spec.tasks + 1) // 2 if spec.scatter else spec.tasks
    zones: dict[str, int] = {}
    group: list[Slot] = []
    for slot in sorted(slots, key=lambda slot: (slot.ready + slot.cost, slot.nth)):
        zone = slot.zone
        if zones.get(zone, 0) < limit:
            zones[zone] = zones.get(zone, 0) + 1
            group.append(slot)
            if len(group) == spec.tasks:
                return group
    return None


def _swap(rng: Random, group: Sequence[Slot], slots: Sequence[Slot]) -> list[Slot]:
    swapped = list(group)
    inside = {id(slot) for slot in group}
    for _ in range(4):
        other = slots[int(rng.random() * len(slots))]  # randrange takes five times as long
        if id(other) not in inside:
            swapped[int(rng.random() * len(swapped))] = other
            break
    return swapped


def score_reserved(
    reserved: Mapping[str, int],
    caches: Mapping[str, Sequence[ResourceOffer]],
    spec: JobSpec,
    priority: Priority,
    taken: Mapping[str, Resources],
    rules: SearchRules,
) -> float:
    """What a group that is held already would score by what is known now."""
    group: list[Slot] = []
    for offers in caches.values():
        for offer in offers:
            count = reserved.get(offer.name, 0)
            if count:
                group += offer_slots(offer, spec, priority, taken.get(offer.name), count, rules)
    if len(group) != spec.tasks:
        return math.inf
    return score_group(group, spec, rules)


def search(
    rng: Random,
    directory: Sequence[tuple[str, str]],
    caches: Mapping[str, Sequence[ResourceOffer]],
    spec: JobSpec,
    priority: Priority,
    taken: Mapping[str, Resources],
    rules: SearchRules,
    tries: int,
) -> Group | None:
    """The best group of a few independent searches, each from its own pivot."""
    best: Group | None = None
    seen: dict[str, list[Slot]] = {}
    settled: set[str] = set()
    for _ in range(tries):
        slots = gather(rng, directory, caches, spec, priority, taken, rules, seen)
        if slots and spec.same_place and math.comb(len(slots), spec.tasks) <= MAX_GROUPS:
            # All groups of this zone are looked at the first time.
            zone = slots[0].zone
            if zone in settled:
                continue
            settled.add(zone)
        group = pick(rng, slots, spec, rules) if slots else None
        if group is not None and (best is None or group.score < best.score):
            best = group
    return best


def pack_names(names: Sequence[str]) -> list[str]:
    """Machines' names, what they have in common once: a value takes a zone's all."""
    common = os.path.commonprefix(list(names))  # noqa: RUF071 (names, not paths)
    return [common, ",".join(name[len(common) :] for name in names)]


def unpack_names(packed: Any) -> list[str]:
    common, ends = packed
    return [f"{common}{end}" for end in str(ends).split(",")] if common or ends else []


def cut_names(packed: list[str], limit: int, queue_key: int) -> list[str]:
    """Packed names within a size: all, or every second, third, and so on, others each turn."""
    common, ends = packed
    step = len(common) + len(ends) + len('["",""]')
    step = -(-step // max(1, limit))
    if step <= 1:
        return packed
    return [common, ",".join(ends.split(",")[queue_key % step :: step])]


def cut_summary(packed: Iterable[Any], limit: int, size_of: Callable[[Any], int]) -> list[Any]:
    """A zone's packed cache for the state service, cut to its value limit."""
    kept: list[Any] = []
    size = 0
    for item in packed:
        size += size_of(item) + 1
        if size > limit:
            break
        kept.append(item)
    return kept


def sooner(offer: ResourceOffer) -> tuple[float, float]:
    """Order of a cache: soonest free first, then the roomiest.

    A machine whose cards are all taken is not free for the CPUs and memory that are
    left: such ones stood before those about to come up.
    """
    gpus = bool(offer.availability) and offer.availability[-1][1][1] > 0
    for delay, available in offer.availability:
        if available[0] > 0 and (available[1] > 0 or not gpus):
            return (delay, -available[1])
    return (math.inf, 0.0)
