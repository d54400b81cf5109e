"""Facade over the leader's state of jobs and machines, and over its scheduling decisions.

Events are method calls that carry the time. Decisions are returned by `plan` and
`response_commands`, or appended to the queues `to_command`, `releases` and `finished`. Nothing
here blocks, reads a clock or draws unseeded random numbers.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from topazhold.core import autoscaling
from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import Machine
from topazhold.core.reservations import Reservation, ReservationTable
from topazhold.core.resource_offer import ResourceOffer
from topazhold.core.scheduler_parts import SchedulerParts
from topazhold.core.task_attempts import TaskAttempt
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings
from topazhold.wire.cloud import ListedMachine, MachineType
from topazhold.wire.workers import Command, Heartbeat


class Scheduler:
    """The scheduler of one leader term, as used by the control layer.

    Delegates to its `parts` and owns no other state. Tables and queues are shared with the part
    that owns them: `jobs`, `machines`, `zone_of`, `usage`, `estimates`, `releases`, `finished`
    and `to_command` with `ClusterState`, `rejected` with `BindingReservations`,
    `capacity_backoff` with `FleetScaling`. All times are seconds on one monotonic clock.
    """

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        term: int,
        reservation_table: ReservationTable,
        rng: Random,
        now: float,
    ) -> None:
        self.parts = parts = SchedulerParts(settings, operator, term, reservation_table, now)
        self.reservation_table = reservation_table
        self.rng = rng
        self.term = term
        self.heartbeat_interval_s = parts.timing.heartbeat_interval_s
        self.lease_s = parts.timing.lease_s
        self.cancel_s = parts.timing.cancel_s
        self.list_lag_s = parts.timing.list_lag_s
        self.summary_s = parts.timing.summary_s
        self.cluster = cluster = parts.cluster
        self.jobs = cluster.jobs
        self.machines = cluster.machines
        self.zone_of = cluster.zone_of
        self.usage = cluster.usage
        self.estimates = cluster.estimates
        self.releases = cluster.releases
        self.finished = cluster.finished
        self.to_command = cluster.to_command
        self.rejected = parts.reservations.rejected
        self.capacity_backoff = parts.scaling.capacity_backoff
        self._commands = parts.commands
        self._eviction = parts.eviction
        self._gang_supervision = parts.gang_supervision
        self._heartbeats = parts.heartbeats
        self._failure_detection = parts.failure_detection
        self._reservations = parts.reservations
        self._rounds = parts.rounds

    # -- settable state ------------------------------------------------------

    @property
    def changes(self) -> int:
        """Number of changes to the input of scheduling rounds, other than the time."""
        return self.cluster.changes

    @changes.setter
    def changes(self, changes: int) -> None:
        """Report a change outside the scheduler, such as a new reservation."""
        self.cluster.changes = changes

    @property
    def last_arrival(self) -> float:
        """Time at which the newest job arrived."""
        return self.cluster.last_arrival

    @last_arrival.setter
    def last_arrival(self, at: float) -> None:
        """Override the time at which the newest job arrived."""
        self.cluster.last_arrival = at

    @property
    def wait_objectives(self) -> dict[str, tuple[float, float]]:
        """Shortest and longest wait objective until a start, in seconds, by job class."""
        return self.parts.objectives.wait_objectives

    @wait_objectives.setter
    def wait_objectives(self, wait_objectives: dict[str, tuple[float, float]]) -> None:
        """Replace the objectives that later decisions use."""
        self.parts.objectives.wait_objectives = wait_objectives

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """The cloud's machine types, by name."""
        return self.cluster.machine_types

    @machine_types.setter
    def machine_types(self, machine_types: dict[str, MachineType]) -> None:
        """Share the table of the instance catalog, which updates it in place."""
        self.cluster.machine_types = machine_types

    # -- jobs ------------------------------------------------------------------

    def add_job(self, job: Job) -> None:
        """Add a live job: newly accepted, or loaded by a new leader."""
        self.cluster.add_job(job)

    def on_job_ended(self, job_id: str, done: bool, ended_at: float, now: float) -> None:
        """Handle the move of a job's record to `over`, by this or another controller."""
        self._eviction.on_job_ended(job_id, done, ended_at, now)

    def refresh_guarantees(self) -> None:
        """Update which jobs are within their teams' guaranteed quota, if that may have changed."""
        self.cluster.refresh_guarantees()

    def ageing_threshold_s(self, job: Job) -> float:
        """Return the wait, in seconds, after which a gang is aged."""
        return self.parts.objectives.ageing_threshold_s(job)

    def preempt(self, attempt: TaskAttempt, reason: str, now: float) -> None:
        """Preempt a task, or its whole gang, with time to write a checkpoint if it has one."""
        self._eviction.preempt(attempt, reason, now)

    # -- machines --------------------------------------------------------------

    def add_machine(
        self, name: str, zone: str, spot: bool, machine_type: str, now: float
    ) -> Machine:
        """Add a machine that was rented, listed, reported by a heartbeat or found in an intent."""
        return self.cluster.add_machine(name, zone, spot, machine_type, now)

    def add_rented(self, name: str, zone: str, spot: bool, machine_type: str, now: float) -> None:
        """Add a machine that the cloud named in its response to a scale-out request."""
        self.cluster.add_rented(name, zone, spot, machine_type, now)

    def release(self, machine: Machine, reason: str, now: float) -> None:
        """Append a machine to `releases`."""
        self.cluster.release(machine, reason, now)

    def must_be_released(self, name: str) -> bool:
        """Return whether a cancelled job still has an attempt on the machine."""
        return self.cluster.must_be_released(name)

    def remove_machine(self, name: str, now: float) -> None:
        """Remove a machine and its attempts after the cloud confirmed its release (HTTP 200)."""
        self.cluster.remove_machine(name, now)

    def usable(self, machine: Machine, now: float) -> bool:
        """Return whether new tasks may be placed on the machine."""
        return self.cluster.usable(machine, now)

    def on_machine_list(
        self, listed_machines: Iterable[ListedMachine], requested_at: float, now: float
    ) -> None:
        """Reconcile with a complete machine list of the cloud, requested at `requested_at`."""
        self.parts.machine_lists.on_machine_list(listed_machines, requested_at, now)

    # -- workers ---------------------------------------------------------------

    def on_heartbeat(
        self, heartbeat: Heartbeat, direct: bool, now: float, forwarded: bool = False
    ) -> Machine | None:
        """Apply a worker's heartbeat; None if it is stale or from a released machine.

        `direct`: it is the response to a direct command; `forwarded`: a follower received it.
        """
        return self._heartbeats.on_heartbeat(heartbeat, direct, now, forwarded)

    def response_commands(
        self, machine: Machine, heartbeat: Heartbeat, now: float, include_launches: bool = True
    ) -> list[Command]:
        """Return the commands for the response to a heartbeat: clears, kills, then launches."""
        return self._commands.response_commands(machine, heartbeat, now, include_launches)

    def kills(self, machine: Machine) -> list[Command]:
        """Return kills for all tasks that must leave the machine; they are idempotent."""
        return self._commands.kills(machine)

    def direct_commands(self, machine: Machine) -> list[Command]:
        """Return commands to push directly: kills, and the clear that wakes a worker to launch."""
        return self._commands.direct_commands(machine)

    def command_order(self, names: Iterable[str], now: float) -> list[Machine]:
        """Return machines in direct-command order: responsive ones and cancelled tasks first."""
        return self._commands.command_order(names, now)

    def is_responsive(self, machine: Machine, now: float) -> bool:
        """Return whether the worker's last heartbeat is recent enough to expect a response."""
        return self._commands.is_responsive(machine, now)

    # -- timers and failure detection ------------------------------------------

    def tick(self, now: float) -> None:
        """Run all time-driven steps that are due."""
        for job in list(self.jobs.values()):
            if job.state is not JobState.LIVE:
                self._eviction.stop_ended_job(job, now)
            elif job.gang:
                self._gang_supervision.advance(job, now)
        for machine in list(self.machines.values()):
            self._failure_detection.check_machine(machine, now)
        self._commands.wake_delayed(now)

    def machines_without_heartbeat(self, now: float) -> list[str]:
        """Return machines whose heartbeats have stopped arriving here."""
        return self._failure_detection.machines_without_heartbeat(now)

    def is_partitioned_from_workers(self, now: float) -> bool:
        """Return whether most workers' heartbeats reach other controllers but not this one."""
        return self._failure_detection.is_partitioned_from_workers(now)

    def needs_term_announcement(self, machine: Machine, now: float) -> bool:
        """Return whether this term has to be announced to a worker directly."""
        return self._failure_detection.needs_term_announcement(machine, now)

    # -- reservations and offers for gangs --------------------------------------

    def waiting_gangs(self, now: float) -> list[Job]:
        """Return waiting gangs whose teams' limits allow them to start."""
        return self._reservations.waiting_gangs(now)

    def largest_gang(self, now: float) -> Job | None:
        """Return the waiting gang with the most tasks among those confined to one zone."""
        return self._reservations.largest_gang(now)

    def needs_reservation(self, job: Job) -> bool:
        """Return whether the gang lacks a usable reservation."""
        return self._reservations.needs_reservation(job)

    def unreserved_s(self, job: Job, now: float) -> float:
        """Return how long, in seconds, the gang has had no usable reservation."""
        return self._reservations.unreserved_s(job, now)

    def is_consumed_or_rejected(self, job: Job, reservation: Reservation) -> bool:
        """Return whether a start consumed the reservation, or the leader rejected it."""
        return self._reservations.is_consumed_or_rejected(job, reservation)

    def offers(self, zone: str, now: float, largest: Job | None = None) -> list[ResourceOffer]:
        """Return a zone's offers, soonest free first, enough for the `largest` gang."""
        return self.parts.resource_offers.of_zone(zone, now, largest)

    def directory(self) -> list[tuple[str, str]]:
        """Return (machine, zone) of all machines that count as capacity, for search pivots."""
        return self.parts.resource_offers.directory()

    # -- scheduling rounds and scaling -----------------------------------------

    def could_place_on(self, machine: Machine, now: float) -> bool:
        """Return whether a scheduling round might place a task on this machine."""
        return self._rounds.could_place_on(machine, now)

    def plan(self, now: float) -> list[TaskAttempt]:
        """Run a scheduling round; the caller must write the intents of the new attempts first."""
        return self._rounds.plan(now)

    def intents_written(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        """Allow the launches of these attempts, now that their intents are committed."""
        self._rounds.intents_written(attempts, now)

    def intents_failed(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        """Undo these attempts: their transaction failed and will never be committed."""
        self._rounds.intents_failed(attempts, now)

    def scale_out(self, now: float) -> list[autoscaling.ScaleOutRequest]:
        """Return scale-out requests; append idle machines that are not needed to `releases`."""
        return self.parts.scaling.scale_out(now)
