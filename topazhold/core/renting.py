"""How many machines of which kind, and where."""

from __future__ import annotations

import math
from collections.abc import Iterable

from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import Machine, MachineState, times_fits
from topazhold.core.search import allowed
from topazhold.settings import Team
from topazhold.wire.messages import Breed, JobSpec

#: Most machines that the cloud gives at one request.
MOST_RENTED = 50


class Ask:
    """A rental request, still to be named."""

    __slots__ = ("breed", "zone", "spot", "count")

    def __init__(self, breed: str, zone: str, spot: bool, count: int) -> None:
        self.breed = breed
        self.zone = zone
        self.spot = spot
        self.count = count


class RentRules:
    """Ratios of the renting policy."""

    def __init__(self, headroom_share: float, idle_boots: float, use_spot: bool) -> None:
        self.headroom_share = headroom_share
        self.idle_boots = idle_boots  # idle time before a return, in boot times
        self.use_spot = use_spot


class Refusals:
    """Where the cloud had nothing to give, and until when not to ask again."""

    def __init__(self) -> None:
        self._until: dict[tuple[str, str, bool], tuple[float, float]] = {}

    def refused(self, breed: str, zone: str, spot: bool, base_s: float, now: float) -> None:
        key = (breed, zone, spot)
        _, pause = self._until.get(key, (0.0, 0.0))
        pause = min(max(base_s, pause * 2), base_s * 4)
        self._until[key] = (now + pause, pause)

    def granted(self, breed: str, zone: str, spot: bool) -> None:
        self._until.pop((breed, zone, spot), None)

    def open(self, breed: str, zone: str, spot: bool, now: float) -> bool:
        return self._until.get((breed, zone, spot), (0.0, 0.0))[0] <= now


def best_breed(spec: JobSpec, breeds: Iterable[Breed]) -> Breed | None:
    """The cheapest type per task that may run the job."""
    need = (spec.vcpus, spec.cards, spec.ram_gb)
    best: tuple[float, str] | None = None
    chosen: Breed | None = None
    for breed in breeds:
        if spec.breeds is not None and breed.label not in spec.breeds:
            continue
        if spec.apiary is not None and spec.apiary not in breed.apiaries:
            continue
        count = times_fits(need, (breed.vcpus, breed.cards, breed.ram_gb), spec.frames)
        if count:
            key = (breed.hourly / count, breed.label)
            if best is None or key < best:
                best, chosen = key, breed
    return chosen


class Wish:
    """Machines wanted of one type: for ordinary-only work and for either kind."""

    __slots__ = ("ordinary", "either", "gang_zone")

    def __init__(self) -> None:
        self.ordinary = 0.0
        self.either = 0.0
        self.gang_zone = 0  # machines that the largest one-zone gang needs


def wishes(jobs: Iterable[Job], breeds: list[Breed], teams: dict[str, Team]) -> dict[str, Wish]:
    """Machines' worth of unfinished work per type, within the teams' limits."""
    found: dict[str, Wish] = {}
    room = {name: team.gpus_max or math.inf for name, team in teams.items()}
    for job in sorted(jobs, key=lambda job: (not job.within, job.level, job.arrived)):
        if job.state is not JobState.LIVE:
            continue
        breed = best_breed(job.spec, breeds)
        if breed is None:
            continue
        tasks = job.spec.frames - job.done_count
        if job.need[1] > 0:
            tasks = min(tasks, int(room.get(job.spec.crew, 0.0) // job.need[1]))
            room[job.spec.crew] = room.get(job.spec.crew, 0.0) - tasks * job.need[1]
        if tasks <= 0:
            continue
        whole = (breed.vcpus, breed.cards, breed.ram_gb)
        machines = tasks / times_fits(job.need, whole, 1 << 20)
        wish = found.setdefault(breed.label, Wish())
        if job.spec.drones:
            wish.either += machines
        else:
            wish.ordinary += machines
        if job.gang and job.spec.same_place:
            wish.gang_zone = max(wish.gang_zone, math.ceil(machines))
    return found


def counted(machine: Machine) -> bool:
    """Whether a machine counts as capacity, now or soon."""
    return machine.state in (MachineState.STARTING, MachineState.UNSYNCED, MachineState.READY)


def rent(
    wish: Wish, breed: Breed, machines: Iterable[Machine], refusals: Refusals,
    rules: RentRules, now: float,
) -> list[Ask]:  # fmt: skip
    """Requests that bring a type's capacity up to what is wished."""
    have = {True: 0, False: 0}
    zones: dict[tuple[str, bool], int] = {
        (zone, spot): 0 for zone in breed.apiaries for spot in (True, False)
    }
    for machine in machines:
        if counted(machine) and machine.breed is not None and machine.breed.label == breed.label:
            have[machine.spot] += 1
            key = (machine.zone, machine.spot)
            zones[key] = zones.get(key, 0) + 1
    spare = 1.0 + rules.headroom_share
    either = wish.either * spare
    ordinary = wish.ordinary * spare + (1 if wish.ordinary else 0)
    asks: list[Ask] = []
    cheap = rules.use_spot and breed.market_price is not None
    short_spot = math.ceil(either) - have[True] if cheap else 0
    short_spot -= max(0, have[False] - math.ceil(ordinary))
    if short_spot > 0:
        asks += _spread(breed, True, short_spot, zones, refusals, now)
    missing = short_spot - sum(ask.count for ask in asks) if short_spot > 0 else 0
    if not cheap:
        missing = math.ceil(either)
    short = math.ceil(ordinary + max(0, missing)) - have[False]
    if short > 0:
        asks += _spread(breed, False, short, zones, refusals, now)
    return asks


def _spread(
    breed: Breed, spot: bool, count: int, zones: dict[tuple[str, bool], int],
    refusals: Refusals, now: float,
) -> list[Ask]:  # fmt: skip
    """Share a shortage out over the zones that still give, emptiest first."""
    usable = [
        zone for zone in breed.apiaries if refusals.open(breed.label, zone, spot, now)
    ]
    if not usable:
        return []
    counts = {zone: 0 for zone in usable}
    for _ in range(min(count, MOST_RENTED)):
        zone = min(usable, key=lambda zone: (zones.get((zone, spot), 0) + counts[zone], zone))
        counts[zone] += 1
    return [Ask(breed.label, zone, spot, number) for zone, number in counts.items() if number]


def returns(
    wish: Wish | None, breed: Breed, machines: list[Machine], rules: RentRules, now: float
) -> list[Machine]:
    """Idle machines beyond what is wished; dearest and longest idle first."""
    mine = [
        machine for machine in machines
        if counted(machine) and machine.breed is not None and machine.breed.label == breed.label
    ]  # fmt: skip
    spare = 1.0 + rules.headroom_share
    either = wish.either * spare if wish else 0.0
    ordinary = wish.ordinary * spare + 1 if wish else 1.0
    have_spot = sum(1 for machine in mine if machine.spot)
    have_ordinary = len(mine) - have_spot
    want_ordinary = ordinary + max(0.0, either - have_spot)
    extra = {
        False: have_ordinary - math.ceil(want_ordinary),
        True: have_spot - math.ceil(either),
    }
    patience = rules.idle_boots * breed.ready_s
    idle = [
        machine for machine in mine
        if machine.state is MachineState.READY and machine.empty
        and now - machine.idle_since > patience
    ]  # fmt: skip
    idle.sort(key=lambda machine: machine.idle_since)
    chosen = []
    for machine in idle:
        if extra[machine.spot] > 0:
            extra[machine.spot] -= 1
            chosen.append(machine)
    return chosen


def fits_some_type(spec: JobSpec, breeds: Iterable[Breed]) -> bool:
    """Whether a task fits an allowed type in an allowed zone."""
    need = (spec.vcpus, spec.cards, spec.ram_gb)
    return any(
        times_fits(need, (breed.vcpus, breed.cards, breed.ram_gb), 1) == 1
        and any(allowed(spec, breed.label, zone, False) for zone in breed.apiaries)
        for breed in breeds
    )
