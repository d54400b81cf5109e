"""What each machine has to offer, and when."""

from __future__ import annotations

from topazhold.core import preemption
from topazhold.core.cluster_state import NO_RESOURCES
from topazhold.core.heartbeat_reconciliation import HeartbeatReconciliation
from topazhold.core.jobs import GangState, Job, Resources
from topazhold.core.machines import Machine, MachineState, add_resources
from topazhold.core.resource_offer import AGED, Priority, ResourceOffer
from topazhold.core.task_attempts import AttemptState
from topazhold.wire import messages as wire

#: How old the offer of a machine may be on which nothing changed, in heartbeat intervals.
SAME_OFFER_HEARTBEATS = 1.0
#: The same for summaries and searches, as a share of the time between two summaries in the
#: state service, if that is longer: the other controllers' searches see no newer ones.
SAME_OFFER_SUMMARIES = 0.5
#: Natural ends listed in an offer.
MAX_AVAILABILITY_STEPS = 4


class ResourceOffers(HeartbeatReconciliation):
    """Offers of machines, each made anew only where something changed."""

    def _present_offer(
        self, machine: Machine, now: float, shared: bool = False
    ) -> ResourceOffer | None:
        """The machine's offer, made anew only where something changed on it.

        Making every offer anew for every summary and search took a fifth of a leader's
        time with 790 machines. `shared`: it is for a summary or a search.
        """
        if machine.state is not MachineState.STARTING and not self.usable(machine, now):
            return None
        known = self._known_offers.get(machine.name)
        if known is not None and known[0] == machine.changes:
            age_s = SAME_OFFER_HEARTBEATS * self.heartbeat_interval_s
            if shared:
                age_s = max(age_s, SAME_OFFER_SUMMARIES * self.summary_s)
            if now - known[1] < age_s:
                return known[2]
        offer = self._offer(machine, now)
        self._known_offers[machine.name] = (machine.changes, now, offer)
        return offer

    def _offer(self, machine: Machine, now: float) -> ResourceOffer:
        assert machine.machine_type is not None
        availability: list[tuple[float, Resources]] = []
        preemptible: list[tuple[Priority, float, Resources]] = []
        if machine.state is MachineState.STARTING:
            wait = machine.machine_type.boot_s - (now - machine.rented_at)
            availability.append((max(wait, 2 * self.heartbeat_interval_s), machine.total))
        else:
            available = machine.free()
            # A worker that can be rung takes a launch at once, others at their
            # next report.
            availability.append(
                (0.0 if machine.wake_tasks else 0.5 * self.heartbeat_interval_s, available)
            )
            ends = []
            for attempt in machine.attempts.values():
                # A service's replica does not end by itself. Its estimate of 0 s made it seem
                # about to: a gang held the machine for good while another stood empty.
                if attempt.present and (attempt.stopping or not attempt.job.service):
                    if attempt.stopping:
                        left = (
                            max(0.0, attempt.job.spec.save_s - (now - attempt.stop_at))
                            + self.heartbeat_interval_s
                        )
                    else:
                        left = self.remaining_s(attempt, now)
                        if attempt.state is not AttemptState.RUNNING:
                            left += machine.fetch_s(
                                attempt.job.spec.image, attempt.job.spec.image_gb
                            )
                    ends.append((left, attempt.job.need))
            ends.sort(key=lambda end: end[0])
            step = max(1, (len(ends) + MAX_AVAILABILITY_STEPS - 1) // MAX_AVAILABILITY_STEPS)
            for number, (left, need) in enumerate(ends, start=1):
                available = add_resources(available, need)
                if number % step == 0 or number == len(ends):
                    availability.append((left, available))
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

    def _preemptible(self, machine: Machine) -> list[tuple[Priority, float, Resources]]:
        """Room that work of each rank could take from work behind it."""
        # Runs of one kind of job are added up first: this is asked of every
        # machine for every summary.
        kinds: dict[tuple[bool, int], tuple[Job, Resources, float]] = {}
        for attempt in machine.attempts.values():
            job = attempt.job
            if job.gang and job.gang_state is GangState.STARTING:
                continue
            seal = job.spec.save_s if job.spec.checkpoint_s > 0 else 0.0
            kind = (job.within_guarantee, job.urgency_level)
            _, available, longest = kinds.get(kind, (job, NO_RESOURCES, 0.0))
            kinds[kind] = (job, add_resources(available, job.need), max(longest, seal))
        found = []
        for urgency_level in range(len(wire.URGENCIES)) if kinds else ():
            within_guarantee, outside, is_aged = (
                self._behind((first, urgency_level), list(kinds.values())) for first in (0, 1, AGED)
            )
            if within_guarantee[1] != NO_RESOURCES:
                found.append(((0, urgency_level), *within_guarantee))
            if outside[1] != NO_RESOURCES:
                found.append(((1, urgency_level), *outside))
            if is_aged[1] != within_guarantee[1]:
                # Work that only a guarantee might stop: a pressing gang that counted on it
                # waited for it for good, beside an empty machine.
                found.append(((AGED, urgency_level), *is_aged))
        return found

    def _behind(
        self, priority: Priority, kinds: list[tuple[Job, Resources, float]]
    ) -> tuple[float, Resources]:
        """When, and how much, work of a rank could take from work behind it."""
        available = NO_RESOURCES
        delay = 0.0
        for job, of_kind, seal in kinds:
            if preemption.behind(priority, job):
                available = add_resources(available, of_kind)
                delay = max(delay, seal)
        return self.heartbeat_interval_s + delay, available

    @staticmethod
    def _boot_s(machine: Machine) -> float:
        """The usual boot time of the machine's type."""
        return machine.machine_type.boot_s if machine.machine_type is not None else 0.0
