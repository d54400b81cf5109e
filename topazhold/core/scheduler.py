"""The leader's view of jobs and machines, and its decisions.

Events come in as method calls that carry the time; what is to be done comes
out in the queues (`strikes`, `releases`, `finished`) and from `plan` and
`answer`. Nothing here waits, reads a clock or draws unseeded numbers.
"""

from __future__ import annotations

import math

from topazhold.core import autoscaling, preemption
from topazhold.core.cluster_state import UP
from topazhold.core.gang_placement import GangPlacement
from topazhold.core.jobs import Job, JobState, Resources
from topazhold.core.machines import Machine, count_fitting
from topazhold.core.placement_constraints import allowed
from topazhold.core.reservations import add_reservation
from topazhold.core.resource_offer import ResourceOffer
from topazhold.core.zone_summary import CACHE_LENGTH, sooner
from topazhold.wire.messages import MachineType

#: How old a list of offers may be.
OFFER_HEARTBEATS = 0.2


class Scheduler(GangPlacement):
    """All duties together, with what others are told and what is rented."""

    def waiting_gangs(self, now: float) -> list[Job]:
        """Gangs that need a hold: none in force, and their team may use the room."""
        found = []
        self._lower = {}
        for job in self._waiting_jobs(now):
            if not job.gang or not self._limit_reachable(job):
                continue
            found.append(job)
        return found

    def wanting_s(self, job: Job, now: float) -> float:
        """How long the gang has been without a hold that is in force."""
        if not self.needs_reservation(job):
            self._wanting_since.pop(job.id, None)
            return 0.0
        return now - self._wanting_since.setdefault(job.id, now)

    def needs_reservation(self, job: Job) -> bool:
        reservation = self.reservation_table.of_job(job.id)
        return reservation is None or self.spent(job, reservation)

    def largest_gang(self, now: float) -> Job | None:
        """The waiting gang with the most tasks that must share a zone."""
        gangs = [job for job in self.waiting_gangs(now) if job.spec.same_place]
        return max(gangs, key=lambda job: (job.spec.tasks, job.id), default=None)

    def offers(self, zone: str, now: float, largest: Job | None = None) -> list[ResourceOffer]:
        """The zone's cache: machines with room, soonest free first.

        Twenty machines can't give a gang of sixteen its alpha·N candidates, and
        in a full zone they are those where a card comes free, not a machine. So
        the cache is as long as the largest waiting gang needs, and every other
        place in it goes to the machines that are soonest free for its tasks.

        Held machines are named in any case: a held group with a machine that is
        not known could not be judged, and was given up for a worse one. Those that
        are held whole come on top of the others: with 350 machines coming up at the
        same time the first 20 were soon held, and all other gangs found none.
        """
        found = self._all_offers(zone, now)
        reserved = self._reserved_by_machine()
        whole = {offer.name for offer in found if offer.name in reserved and offer.full(reserved)}
        if whole:
            found = [offer for offer in found if offer.name not in whole] + [
                offer for offer in found if offer.name in whole
            ]
        if largest is None:
            return found[:CACHE_LENGTH] + [
                offer for offer in found[CACHE_LENGTH:] if offer.name in reserved
            ]
        length = max(CACHE_LENGTH, math.ceil(self.alpha * largest.spec.tasks))
        priority = preemption.priority(largest)
        fitting = sorted(
            found,
            key=lambda offer: (
                offer.name in whole,
                offer.ready_for(priority, largest.need),
                sooner(offer),
            ),
        )
        both = [offer for pair in zip(fitting, found, strict=True) for offer in pair]
        order = list(dict.fromkeys(both))
        return order[:length] + [offer for offer in order[length:] if offer.name in reserved]

    def _reserved_by_machine(self) -> dict[str, Resources]:
        """What all holds together keep, machine by machine."""
        by_machine: dict[str, Resources] = {}
        for reservation in self.reservation_table.all():
            add_reservation(by_machine, reservation)
        return by_machine

    def _all_offers(self, zone: str, now: float) -> list[ResourceOffer]:
        """Every machine's offer; searches and summaries of about the same time share them."""
        at, found = self._offers.get(zone, (-1e9, []))
        if now - at < OFFER_HEARTBEATS * self.heartbeat_interval_s:
            return found
        found = []
        for machine in self.machines.values():
            if machine.zone == zone and machine.machine_type is not None:
                offer = self._present_offer(machine, now, shared=True)
                if offer is not None:
                    found.append(offer)
        found.sort(key=sooner)
        self._offers[zone] = (now, found)
        return found

    def directory(self) -> list[tuple[str, str]]:
        """All machines, for pivots."""
        return [
            (machine.name, machine.zone)
            for machine in self.machines.values()
            if autoscaling.counts_as_capacity(machine)
        ]

    def _is_missing(self, machine: Machine, now: float) -> bool:
        return (
            machine.state in UP
            and self.silence_s(machine, now) > self.lease_s
            and not math.isinf(self._silence_limit_leases(machine, now))
        )

    def _demand_for_zones(
        self, found: autoscaling.CapacityDemands, machine_types: list[MachineType], now: float
    ) -> None:
        """Machines for a job that has waited while its room is there, but in the wrong zones.

        What is wished for a zone counts on others' work there to end in time. Beside
        work that ran on for minutes a gang of one zone waited as long, and a machine
        of another zone stood free. The same goes for jobs that may not have all their
        tasks in one zone.
        """
        waiting = [
            job
            for job in self.jobs.values()
            if job.state is JobState.LIVE
            and (job.spec.same_place or job.spec.scatter)
            and job.spec.zone is None
            and self._is_starving(job, now)
        ]
        # Gangs of one shape find the same room: counted once for all of them.
        counts_as_capacity: dict[object, dict[str, int]] = {}
        for job in sorted(waiting, key=lambda job: (job.arrived, job.id)):
            machine_type = autoscaling.best_type(job.spec, machine_types)
            if machine_type is None or not self._limit_reachable(job):
                continue
            types = tuple(job.spec.machine_types) if job.spec.machine_types is not None else None
            shape = (job.need, job.spec.tasks, job.spec.spot, types, machine_type.name)
            free = counts_as_capacity.get(shape)
            if free is None:
                free = counts_as_capacity[shape] = self._free_slots(job, machine_type)
            short = self._short_zone(job, machine_type.zones, free)
            if short is None:
                continue
            zone, tasks = short
            whole = (machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            each = count_fitting(job.need, whole, job.spec.tasks)
            more = math.ceil(tasks / each)
            spot = (
                job.spec.spot
                and self.scaling_policy.use_spot
                and machine_type.spot_price is not None
            )
            there = sum(
                machine.zone == zone
                and machine.spot is spot
                and autoscaling.counts_as_capacity(machine)
                for machine in self.machines.values()
                if machine.machine_type is not None
            )
            demand = found.setdefault((machine_type.name, spot), autoscaling.CapacityDemand())
            demand.at_least(there + more, zone)
            return  # one at a time

    def _is_starving(self, job: Job, now: float) -> bool:
        """Whether a gang presses, or a service has lacked replicas for longer than others."""
        if job.gang:
            return job.is_aged and not job.attempts
        return job.service and job.waiting_count > 0 and now - job.arrived > self.lease_s

    def _short_zone(
        self, job: Job, zones: list[str], free: dict[str, int]
    ) -> tuple[str, int] | None:
        """A zone in which room for so many more tasks would let the job run, if zones alone
        are in the way."""
        wanted = job.waiting_count
        if sum(free.values()) < wanted:
            return None
        if job.spec.same_place:
            zone = max(zones, key=lambda zone: (free[zone], zone))
            return (zone, wanted - free[zone]) if free[zone] < wanted else None
        limit = (job.spec.tasks + 1) // 2
        there = job.zones_used(self.zone_of)
        allowed_more = {zone: max(0, limit - there.get(zone, 0)) for zone in zones}
        missing = wanted - sum(min(free[zone], allowed_more[zone]) for zone in zones)
        if missing <= 0:
            return None
        open_zones = [zone for zone in zones if free[zone] < allowed_more[zone]]
        if not open_zones:
            return None
        zone = min(open_zones, key=lambda zone: (free[zone], zone))
        return zone, min(missing, allowed_more[zone] - free[zone])

    def _free_slots(self, job: Job, machine_type: MachineType) -> dict[str, int]:
        """Zone by zone, how many tasks of a job the machines have room for now or soon."""
        free: dict[str, int] = dict.fromkeys(machine_type.zones, 0)
        for machine in self.machines.values():
            if not autoscaling.counts_as_capacity(machine) or machine.machine_type is None:
                continue
            if allowed(job.spec, machine.machine_type.name, machine.zone, machine.spot):
                slots = count_fitting(job.need, machine.free(), job.spec.tasks)
                free[machine.zone] = free.get(machine.zone, 0) + slots
        return free

    def scale_out(self, now: float) -> list[autoscaling.ScaleOutRequest]:
        """Rental requests; idle machines that are not wanted go to `releases`."""
        machine_types = list(self.machine_types.values())
        self.refresh_guarantees()
        slowest = max((machine_type.boot_s for machine_type in machine_types), default=0.0)
        growing = now - self.last_arrival < max(slowest, self.lease_s)
        found = autoscaling.capacity_demands(
            self.jobs.values(),
            machine_types,
            self.usage.teams,
            self.zone_of,
            self.scaling_policy,
            growing,
        )
        self._demand_for_zones(found, machine_types, now)
        self._lower = {}
        reserved = {
            name
            for reservation in self.reservation_table.all()
            if self._binding(reservation)
            for name in reservation.slots
        }
        requests: list[autoscaling.ScaleOutRequest] = []
        for machine_type in machine_types:
            # What has been silent for a lease is made up for, whether it comes back
            # or not; in a cut nothing is.
            fleet = autoscaling.Fleet(
                machine_type, [m for m in self.machines.values() if not self._is_missing(m, now)]
            )
            requests += autoscaling.scale_out(
                found, machine_type, fleet, self.capacity_backoff, now
            )
            for machine in autoscaling.scale_in(
                found, machine_type, fleet, self.scaling_policy, growing, now
            ):
                if machine.name not in reserved:
                    self.release(machine, "idle", now)
        return requests
