"""What the leader knows: jobs, machines, and the runs of tasks on them.

The layers above it each add one duty: `ordering` (commands), `stopping`,
`observing` (reports and lists), `placing`, and `scheduler` on top of all.
"""

from __future__ import annotations

import logging
import math
from random import Random

from topazhold.core import autoscaling, gangs, quota, records
from topazhold.core.estimates import Estimates
from topazhold.core.jobs import Job, JobState, Resources
from topazhold.core.machines import Machine, MachineState
from topazhold.core.reservations import Reservation, ReservationTable, ReservedResources
from topazhold.core.resource_offer import ResourceOffer
from topazhold.core.task_attempts import UNSENT, AttemptState, TaskAttempt
from topazhold.settings import Operator, Settings
from topazhold.wire.messages import MachineType

log = logging.getLogger(__name__)

#: Attempts are numbered within a term, so no number is ever used twice.
ATTEMPTS_PER_TERM = 1 << 24
#: A gang of one presses once it has waited for this share of its class's longest aim
#: for a start, or of the longest wait that the operators allow; by urgency.
AGEING_SHARES = (0.1, 0.2, 0.8, 1.0)
#: Gone machines, and jobs that are over, kept against late news of them: more than a
#: large fleet loses, and more jobs than end, while a message may be under way.
MAX_REMEMBERED = 20_000

#: Cards are kept free for classes that are to start within so many heartbeat intervals.
RESERVE_HEARTBEATS = 4.0

NO_RESOURCES: Resources = (0.0, 0.0, 0.0)

#: For each job of a team with tasks on machines: urgency, rank, CPUs, cards.
LowerWork = list[tuple[int, tuple[int, int], float, float]]

#: States of a machine whose worker has been heard.
UP = (MachineState.UNSYNCED, MachineState.READY, MachineState.DRAINING)


class ClusterState:
    """Jobs, machines and runs, and the changes that keep them in step."""

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        term: int,
        reservation_table: ReservationTable,
        rng: Random,
        now: float,
    ) -> None:
        cluster = settings.cluster
        workers = cluster.workers
        self.term = term
        self.since = now
        self.alpha = operator.alpha
        self.heartbeat_interval_s = workers.heartbeat_interval_s
        self.lease_s = workers.lease_s
        self.cancel_s = workers.cancel_s
        self.lag_s = cluster.cloud.list_lag_s
        self.reservation_expiry_s = operator.reservation_expiry_s
        self.summary_s = operator.summary_s
        self.clock = gangs.GangClock(workers.heartbeat_interval_s, workers.gang_wait_s)
        self.scaling_policy = autoscaling.ScalingPolicy(
            operator.headroom_share, operator.idle_boots, operator.use_spot
        )
        self.max_machine_attempts = max(
            1, (cluster.state.lasting_value_bytes - 512) // records.ATTEMPT_BYTES
        )
        self.reservation_table = reservation_table
        self.rng = rng
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.zone_of: dict[str, str] = {}
        self.machine_types: dict[str, MachineType] = {}
        self.usage = quota.Usage(cluster.teams)
        self.estimates = Estimates()
        self.capacity_backoff = autoscaling.CapacityBackoff()
        self.last_arrival = now
        self.last_attempt_number = term * ATTEMPTS_PER_TERM
        # What is to be done by the outside:
        self.to_command: set[str] = set()  # machines to send kills to directly
        self.to_wake: set[str] = set()  # machines to be made to report at once
        self.to_wake_later: set[str] = set()  # those whose last answer is perhaps not made yet
        self.releases: dict[str, str] = {}  # machines to release, with the reason
        self.finished: list[Job] = []  # jobs to move to `over`
        self.rejected: dict[str, int] = {}  # holds that can't be honoured, by serial
        # Counts what a plan may depend on, time aside: jobs and machines that come, go or
        # change their state, and tasks that are placed or are gone.
        self.changes = 0
        # Of these, machines that come, go, or can be used or not as they could before.
        self.fleet_changes = 0
        self._guaranteed_stale = True
        self._removed_machines: dict[str, None] = {}
        self._ended_jobs: dict[str, None] = {}
        self._starved_since: dict[str, float] = {}
        self._wanting_since: dict[str, float] = {}
        self._claims: dict[str, tuple[float, float]] = {}
        self.longest_wait_s = operator.longest_wait_s
        self.wait_objectives = cluster.wait_objectives()
        shortest = min((short for short, _ in self.wait_objectives.values()), default=math.inf)
        # Where work that is stopped has left well before, nothing need be kept free.
        self.keeps_reserve = shortest < RESERVE_HEARTBEATS * self.heartbeat_interval_s
        self.reserve_share = operator.reserve_share
        self._free_plain = 0.0
        # Of the round of planning that is under way:
        self._reserved = ReservedResources(
            reservation_table, lambda reservation: None, lambda reservation: False
        )
        self._with_capacity: list[Machine] = []
        self._lower: dict[str, LowerWork] = {}
        self._least: Resources = NO_RESOURCES
        self._needs: set[Resources] = set()  # sizes of tasks that wait
        self._full: set[object] = set()  # kinds of arrays that found no room
        self._work_kinds: list[Resources] | None = None  # sizes of tasks other than services'
        self._hindrances: dict[object, float] = {}  # by what services take of a machine
        # By gang: the hold that was last checked, and the count of the fleet's changes then.
        self._checked: dict[str, tuple[Reservation, int]] = {}
        # Of the last look at all machines: zone -> up, silent, deaf.
        self._counts: dict[str, tuple[int, int, int]] = {}
        self._counted_at = -1.0
        self._partition_seen_at: dict[
            str, float
        ] = {}  # zones, by when many were last silent at once
        self._offers: dict[str, tuple[float, list[ResourceOffer]]] = {}
        # By gang: its hold's serial, when it was judged, whether all room is there soon.
        self._known_available_soon: dict[str, tuple[int, float, bool]] = {}
        # By machine: its count of changes, when the offer was made, the offer.
        self._known_offers: dict[str, tuple[int, float, ResourceOffer]] = {}

    def add_job(self, job: Job) -> None:
        """A job is live: accepted just now, or found by a new leader."""
        if job.id not in self.jobs and job.id not in self._ended_jobs:
            self.jobs[job.id] = job
            self.changes += 1
            if job.spec.job_class in self.wait_objectives:
                job.wait_objective_s = self.wait_objectives[job.spec.job_class][0]
            self._guaranteed_stale = True
            self.last_arrival = max(self.last_arrival, job.arrived)

    def ageing_threshold_s(self, job: Job) -> float:
        """How long a gang waits like any other. The larger it is, the more seldom its
        room comes free by chance, and the sooner it has to press."""
        _, longest = self.wait_objectives.get(job.spec.job_class, (0.0, self.longest_wait_s))
        longest = min(longest, self.longest_wait_s)
        return AGEING_SHARES[job.urgency_level] * longest / math.sqrt(job.spec.tasks)

    def forget_if_ended(self, job: Job) -> None:
        if job.state is not JobState.LIVE and not job.attempts:
            self.jobs.pop(job.id, None)
            self.rejected.pop(job.id, None)
            self._starved_since.pop(job.id, None)
            self._wanting_since.pop(job.id, None)
            self._known_available_soon.pop(job.id, None)
            self._checked.pop(job.id, None)

    def _fleet_changed(self) -> None:
        self.changes += 1
        self.fleet_changes += 1

    def add_machine(
        self, name: str, zone: str, spot: bool, machine_type: str, now: float
    ) -> Machine:
        """A machine was rented, listed, reported or found in the intents."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, zone, spot, self.machine_types.get(machine_type), now)
            self.machines[name] = machine
            self.zone_of[name] = zone
            self._fleet_changed()
        return machine

    def add_rented(self, name: str, zone: str, spot: bool, machine_type: str, now: float) -> None:
        """The cloud names a machine in its answer to a rental.

        The rental may have been asked for again, and the machine may be gone by now.
        """
        if name not in self._removed_machines:
            self.add_machine(name, zone, spot, machine_type, now)

    def remove_machine(self, name: str, now: float) -> None:
        """A release was answered 200: the machine and all on it are gone."""
        machine = self.machines.get(name)
        self._remember(self._removed_machines, name)
        self.releases.pop(name, None)
        self.to_command.discard(name)
        if machine is None:
            return
        # While the machine is still known: a run dropped after that would
        # count against its team's limit for the rest of the term.
        for attempt in list(machine.attempts.values()):
            self._remove_attempt(attempt, now)
        del self.machines[name]
        self._fleet_changed()
        self._known_offers.pop(name, None)
        self.zone_of.pop(name, None)
        machine.mark_gone(now)
        log.info("machine %s gone: %s", name, machine.reason)

    @staticmethod
    def _remember(names: dict[str, None], name: str) -> None:
        names[name] = None
        if len(names) > MAX_REMEMBERED:
            del names[next(iter(names))]

    def release(self, machine: Machine, reason: str, now: float) -> None:
        if machine.state is not MachineState.RELEASING:
            log.info("machine %s released: %s", machine.name, reason)
            machine.release(reason, now)
            self._fleet_changed()
            self.releases[machine.name] = reason
            for attempt in list(machine.attempts.values()):
                if attempt.state in UNSENT and not attempt.possibly_running:
                    self._remove_attempt(attempt, now)

    def must_be_released(self, name: str) -> bool:
        """Whether a machine is released for a cancelled job's task."""
        machine = self.machines.get(name)
        return machine is not None and any(
            attempt.job.state is JobState.ABORTED for attempt in machine.attempts.values()
        )

    def _attach(self, attempt: TaskAttempt) -> None:
        self.changes += 1
        attempt.job.add_attempt(attempt)
        self.machines[attempt.machine].attach(attempt)
        self.usage.add(attempt.job)

    def adopt(self, attempt: TaskAttempt) -> None:
        """An intent of an earlier term: possibly running."""
        attempt.possibly_running = True
        attempt.state = AttemptState.ORDERED
        self._attach(attempt)

    def supersede(self, attempt: TaskAttempt, now: float) -> None:
        """A newer try of the task was planned, so this one had been proven gone."""
        self._remove_attempt(attempt, now)

    def _remove_attempt(self, attempt: TaskAttempt, now: float) -> None:
        """A run is over: it ended, or is proven gone, or was never sent."""
        self.changes += 1
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            if machine.detach(attempt):
                self.usage.remove(attempt.job)
                if machine.empty:
                    machine.idle_since = now
        attempt.vanish(now)
        attempt.job.remove_attempt(attempt)
        self.forget_if_ended(attempt.job)

    def silence_s(self, machine: Machine, now: float) -> float:
        heard = (
            machine.last_heartbeat_at if machine.last_heartbeat_at is not None else machine.since
        )
        return now - max(heard, self.since)

    def usable(self, machine: Machine, now: float) -> bool:
        """Whether new work may be planned there."""
        return (
            machine.state is MachineState.READY
            and machine.command_unreachable_since is None
            and machine.quarantined_until <= now
            # Relayed reports don't count: a launch needs an answer of our own.
            and now - machine.last_own_heartbeat_at < 2.5 * self.heartbeat_interval_s
        )

    def remaining_s(self, attempt: TaskAttempt, now: float) -> float:
        spec = attempt.job.spec
        elapsed = attempt.job.progress_s
        if attempt.running_since is not None:
            elapsed += now - attempt.running_since
        return self.estimates.remaining_s(spec.job_class, spec.estimated_run_s, elapsed)

    def refresh_guarantees(self) -> None:
        if self._guaranteed_stale:
            live = [job for job in self.jobs.values() if job.state is JobState.LIVE]
            quota.mark_guaranteed(live, self.usage.teams)
            self._guaranteed_stale = False
