"""Builds and caches the offers of machines, and selects those that a zone publishes."""

from __future__ import annotations

import math
from typing import NamedTuple

from topazhold.core import autoscaling, preemption
from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import DISTANT_PAST, GangState, Job, Resources
from topazhold.core.machines import Machine, MachineState
from topazhold.core.reservations import ReservationTable, add_reservation
from topazhold.core.resource_offer import (
    AGED,
    OUTSIDE_GUARANTEE,
    WITHIN_GUARANTEE,
    Priority,
    ResourceOffer,
)
from topazhold.core.resources import NO_RESOURCES, add_resources
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.core.zone_summary import CACHE_LENGTH, availability_key
from topazhold.wire import messages as wire

#: Maximum age of the cached offer of an unchanged machine, in heartbeat intervals.
OFFER_MAX_AGE_HEARTBEATS = 1.0
#: The same for summaries and searches, as a share of the period of summaries in the key-value
#: store, if that is longer: searches of other controllers see no newer offers anyway.
SHARED_OFFER_MAX_AGE_SUMMARIES = 0.5
#: Maximum age of the cached list of a zone's offers, in heartbeat intervals.
OFFER_LIST_MAX_AGE_HEARTBEATS = 0.2
#: Maximum number of steps in an offer at which running tasks end.
MAX_AVAILABILITY_STEPS = 4
#: Minimum expected wait for a booting machine, in heartbeat intervals.
MIN_BOOT_WAIT_HEARTBEATS = 2
#: Mean wait for a worker's next heartbeat, in heartbeat intervals.
MEAN_HEARTBEAT_WAIT = 0.5


class CachedOffer(NamedTuple):
    """A machine's offer, with the machine's count of changes and the time when it was built."""

    changes: int
    at: float
    offer: ResourceOffer


class PreemptibleWork(NamedTuple):
    """Attempts of one kind of job on a machine.

    Has one of the jobs, the sum of the resources, and the longest time for writing a
    checkpoint, in seconds.
    """

    job: Job
    resources: Resources
    save_s: float


class ResourceOffers:
    """Offers of machines, rebuilt only after a change or when too old.

    Owns the last offer of each machine, and the last list of offers of each zone.
    """

    def __init__(
        self, cluster: ClusterState, reservation_table: ReservationTable, alpha: float
    ) -> None:
        self._cluster = cluster
        self._reservation_table = reservation_table
        self._alpha = alpha
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self._max_age_s = OFFER_MAX_AGE_HEARTBEATS * cluster.heartbeat_interval_s
        self._max_shared_age_s = max(
            self._max_age_s, SHARED_OFFER_MAX_AGE_SUMMARIES * cluster.timing.summary_s
        )
        self._cached_offers: dict[str, CachedOffer] = {}
        self._zone_offers: dict[str, tuple[float, list[ResourceOffer]]] = {}
        cluster.on_machine_removed(self._forget)

    def _forget(self, name: str) -> None:
        self._cached_offers.pop(name, None)

    # -- one machine -------------------------------------------------------

    def current_offer(
        self, machine: Machine, now: float, shared: bool = False
    ) -> ResourceOffer | None:
        """Return the machine's offer, rebuilt only after a change or when too old.

        None if the machine takes no new work. `shared`: it is for a summary or a search.
        """
        if machine.state is not MachineState.STARTING and not self._cluster.usable(machine, now):
            return None
        cached = self._cached_offers.get(machine.name)
        if cached is not None and cached.changes == machine.offer_changes:
            if now - cached.at < (self._max_shared_age_s if shared else self._max_age_s):
                return cached.offer
        offer = self._offer(machine, now)
        self._cached_offers[machine.name] = CachedOffer(machine.offer_changes, now, offer)
        return offer

    def _offer(self, machine: Machine, now: float) -> ResourceOffer:
        assert machine.machine_type is not None
        preemptible: list[tuple[Priority, float, Resources]] = []
        if machine.state is MachineState.STARTING:
            wait_s = machine.machine_type.boot_s - (now - machine.rented_at)
            availability = [
                (max(wait_s, MIN_BOOT_WAIT_HEARTBEATS * self._heartbeat_interval_s), machine.total)
            ]
        else:
            availability = self._availability(machine, now)
            preemptible = self._preemptible(machine)
        return ResourceOffer(
            machine.name,
            machine.zone,
            machine.machine_type.name,
            machine.spot,
            frozenset(machine.images),
            availability,
            preemptible,
            machine.machine_type.fetch_gb_per_s,
        )

    def _availability(self, machine: Machine, now: float) -> list[tuple[float, Resources]]:
        """Return (seconds from now, free resources) as tasks end."""
        available = machine.free()
        # A worker that can be woken launches a task at once, others at their
        # next heartbeat.
        availability = [
            (
                0.0 if machine.wake_tasks else MEAN_HEARTBEAT_WAIT * self._heartbeat_interval_s,
                available,
            )
        ]
        ends = []
        for attempt in machine.attempts.values():
            # A replica of a service does not end by itself and has no run time estimate.
            if attempt.is_active and (attempt.stopping or not attempt.job.service):
                ends.append((self._remaining_s(machine, attempt, now), attempt.job.need))
        ends.sort(key=lambda end: end[0])
        stride = max(1, (len(ends) + MAX_AVAILABILITY_STEPS - 1) // MAX_AVAILABILITY_STEPS)
        for number, (remaining_s, need) in enumerate(ends, start=1):
            available = add_resources(available, need)
            if number % stride == 0 or number == len(ends):
                availability.append((remaining_s, available))
        return availability

    def _remaining_s(self, machine: Machine, attempt: TaskAttempt, now: float) -> float:
        spec = attempt.job.spec
        if attempt.stopping:
            return (
                max(0.0, spec.save_s - (now - attempt.stop_requested_at))
                + self._heartbeat_interval_s
            )
        remaining_s = self._cluster.remaining_s(attempt, now)
        if attempt.state is not AttemptState.RUNNING:
            remaining_s += machine.fetch_s(spec.image, spec.image_gb)
        return remaining_s

    def _preemptible(self, machine: Machine) -> list[tuple[Priority, float, Resources]]:
        """Return the resources that work of each priority could preempt."""
        kinds = self._preemptible_work(machine)
        steps = []
        for urgency_level in range(len(wire.URGENCIES)) if kinds else ():
            within_guarantee, outside, aged = (
                self._preemptible_by((quota_rank, urgency_level), kinds)
                for quota_rank in (WITHIN_GUARANTEE, OUTSIDE_GUARANTEE, AGED)
            )
            if within_guarantee[1] != NO_RESOURCES:
                steps.append(((WITHIN_GUARANTEE, urgency_level), *within_guarantee))
            if outside[1] != NO_RESOURCES:
                steps.append(((OUTSIDE_GUARANTEE, urgency_level), *outside))
            if aged[1] != within_guarantee[1]:
                # An aged gang must not count on tasks that only a guarantee may preempt.
                steps.append(((AGED, urgency_level), *aged))
        return steps

    @staticmethod
    def _preemptible_work(machine: Machine) -> list[PreemptibleWork]:
        """Return the machine's preemptible attempts, summed by kind of job.

        Summing keeps summaries cheap: each one calls this for every machine.
        """
        kinds: dict[tuple[bool, int], PreemptibleWork] = {}
        for attempt in machine.attempts.values():
            job = attempt.job
            if job.gang and job.gang_state is GangState.STARTING:
                continue
            save_s = job.spec.save_s if job.spec.checkpoint_s > 0 else 0.0
            kind = (job.within_guarantee, job.urgency_level)
            same_kind = kinds.get(kind)
            available, longest_s = (
                (same_kind.resources, same_kind.save_s) if same_kind else (NO_RESOURCES, 0.0)
            )
            kinds[kind] = PreemptibleWork(
                job, add_resources(available, job.need), max(longest_s, save_s)
            )
        return list(kinds.values())

    def _preemptible_by(
        self, priority: Priority, kinds: list[PreemptibleWork]
    ) -> tuple[float, Resources]:
        """Return (seconds until then, resources) that work of a priority could preempt."""
        available = NO_RESOURCES
        delay_s = 0.0
        for kind in kinds:
            if preemption.priority_may_preempt(priority, kind.job):
                available = add_resources(available, kind.resources)
                delay_s = max(delay_s, kind.save_s)
        return self._heartbeat_interval_s + delay_s, available

    # -- a zone ------------------------------------------------------------

    def of_zone(self, zone: str, now: float, largest: Job | None) -> list[ResourceOffer]:
        """Return the zone's cache: offers of machines with capacity, soonest free first.

        The cache is long enough for the alpha·N candidates of the largest waiting gang. Every
        other entry is chosen for how soon one of that gang's tasks fits: in a full zone, single
        GPUs become free rather than whole machines.

        Reserved machines are always included, since a reserved group can't be scored without
        the offers of all its machines. Fully reserved machines come last: when many machines
        boot together, they would fill the cache.
        """
        offers = self._offers_of_zone(zone, now)
        reserved = self._reserved_by_machine()
        fully_reserved = {
            offer.name
            for offer in offers
            if offer.name in reserved and offer.is_fully_reserved(reserved)
        }
        if fully_reserved:
            offers = [offer for offer in offers if offer.name not in fully_reserved] + [
                offer for offer in offers if offer.name in fully_reserved
            ]
        if largest is None:
            return _truncate(offers, CACHE_LENGTH, reserved)
        length = max(CACHE_LENGTH, math.ceil(self._alpha * largest.spec.tasks))
        priority = preemption.priority(largest)
        fitting = sorted(
            offers,
            key=lambda offer: (
                offer.name in fully_reserved,
                offer.wait_s_for(priority, largest.need),
                availability_key(offer),
            ),
        )
        interleaved = [offer for pair in zip(fitting, offers, strict=True) for offer in pair]
        return _truncate(list(dict.fromkeys(interleaved)), length, reserved)

    def _reserved_by_machine(self) -> dict[str, Resources]:
        """Return the resources of all reservations, by machine."""
        by_machine: dict[str, Resources] = {}
        for reservation in self._reservation_table.all():
            add_reservation(by_machine, reservation)
        return by_machine

    def _offers_of_zone(self, zone: str, now: float) -> list[ResourceOffer]:
        """Return all offers of a zone, cached for searches and summaries at about the same time."""
        at, offers = self._zone_offers.get(zone, (DISTANT_PAST, []))
        if now - at < OFFER_LIST_MAX_AGE_HEARTBEATS * self._heartbeat_interval_s:
            return offers
        offers = []
        for machine in self._cluster.machines.values():
            if machine.zone == zone and machine.machine_type is not None:
                offer = self.current_offer(machine, now, shared=True)
                if offer is not None:
                    offers.append(offer)
        offers.sort(key=availability_key)
        self._zone_offers[zone] = (now, offers)
        return offers

    def directory(self) -> list[tuple[str, str]]:
        """Return (machine, zone) of all machines that count as capacity, for search pivots."""
        return [
            (machine.name, machine.zone)
            for machine in self._cluster.machines.values()
            if autoscaling.counts_as_capacity(machine)
        ]


def _truncate(
    offers: list[ResourceOffer], length: int, reserved: dict[str, Resources]
) -> list[ResourceOffer]:
    """Return the first `length` offers, plus further ones of machines with reservations."""
    return offers[:length] + [offer for offer in offers[length:] if offer.name in reserved]
