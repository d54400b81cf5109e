"""The leader's view of jobs and machines, and its decisions, behind one face.

Events come in as method calls that carry the time; what is to be done comes out in the
queues (`to_command`, `releases`, `finished`) and from `plan` and `response_commands`. Nothing here
waits, reads a clock or draws unseeded numbers.
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
from topazhold.operator_settings import Operator
from topazhold.settings import Settings
from topazhold.wire.cloud import ListedMachine, MachineType
from topazhold.wire.workers import Command, Heartbeat


class Scheduler:
    """What the rest of the program sees of a term's scheduler.

    Owns nothing but its `parts`; tables and queues that it names are those of the part that
    owns them: `jobs`, `machines`, `zone_of`, `usage`, `estimates`, `releases`, `finished` and
    `to_command` of `ClusterState`, `rejected` of `BindingReservations`,
    `capacity_backoff` of `FleetScaling`. All times are seconds, on one steady clock.
    """

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
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
        self.lag_s = parts.timing.list_lag_s
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
        self._heartbeats = parts.heartbeats
        self._failure_detection = parts.failure_detection
        self._reservations = parts.reservations
        self._rounds = parts.rounds

    # -- state that may be set anew ------------------------------------------

    @property
    def changes(self) -> int:
        """Counts what a round may depend on, time aside."""
        return self.cluster.changes

    @changes.setter
    def changes(self, changes: int) -> None:
        """Tell of a change outside, such as a reservation's, by another count."""
        self.cluster.changes = changes

    @property
    def last_arrival(self) -> float:
        """When the newest job came."""
        return self.cluster.last_arrival

    @last_arrival.setter
    def last_arrival(self, at: float) -> None:
        """Take the newest job to have come at another time."""
        self.cluster.last_arrival = at

    @property
    def wait_objectives(self) -> dict[str, tuple[float, float]]:
        """By job class, the shortest and the longest objective for a start, in seconds."""
        return self.parts.objectives.wait_objectives

    @wait_objectives.setter
    def wait_objectives(self, wait_objectives: dict[str, tuple[float, float]]) -> None:
        """Have other objectives hold for what is judged from now on."""
        self.parts.objectives.wait_objectives = wait_objectives

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """The cloud's types of machines, by name."""
        return self.cluster.machine_types

    @machine_types.setter
    def machine_types(self, machine_types: dict[str, MachineType]) -> None:
        """Share the catalog's table, whose contents may change later."""
        self.cluster.machine_types = machine_types

    # -- jobs ------------------------------------------------------------------

    def add_job(self, job: Job) -> None:
        """A job is live: accepted just now, or found by a new leader."""
        self.cluster.add_job(job)

    def on_job_ended(self, job_id: str, done: bool, over_at: float, now: float) -> None:
        """The job was moved to `over`, by this controller or another."""
        self._eviction.on_job_ended(job_id, done, over_at, now)

    def refresh_guarantees(self) -> None:
        """Mark anew which jobs are within their teams' guaranteed quota, if that may differ."""
        self.cluster.refresh_guarantees()

    def ageing_threshold_s(self, job: Job) -> float:
        """How long, in seconds, a gang waits like any other before it is aged."""
        return self.parts.objectives.ageing_threshold_s(job)

    def preempt(self, attempt: TaskAttempt, reason: str, now: float) -> None:
        """Preempt a task, or its whole gang, with time to write a checkpoint if it has any."""
        self._eviction.preempt(attempt, reason, now)

    # -- machines --------------------------------------------------------------

    def add_machine(
        self, name: str, zone: str, spot: bool, machine_type: str, now: float
    ) -> Machine:
        """A machine was rented, listed, heard of by a heartbeat or found in the intents."""
        return self.cluster.add_machine(name, zone, spot, machine_type, now)

    def add_rented(self, name: str, zone: str, spot: bool, machine_type: str, now: float) -> None:
        """The cloud names a machine in its answer to a scale-out request."""
        self.cluster.add_rented(name, zone, spot, machine_type, now)

    def release(self, machine: Machine, reason: str, now: float) -> None:
        """Queue a machine in `releases`."""
        self.cluster.release(machine, reason, now)

    def must_be_released(self, name: str) -> bool:
        """Whether a machine is released for a cancelled job's task."""
        return self.cluster.must_be_released(name)

    def remove_machine(self, name: str, now: float) -> None:
        """A release was answered 200: the machine and all on it are gone."""
        self.cluster.remove_machine(name, now)

    def usable(self, machine: Machine, now: float) -> bool:
        """Whether new work may be planned there."""
        return self.cluster.usable(machine, now)

    def on_machine_list(
        self, listed_machines: Iterable[ListedMachine], asked_at: float, now: float
    ) -> None:
        """A whole machine list of the cloud, asked for at `asked_at`."""
        self.parts.machine_lists.on_machine_list(listed_machines, asked_at, now)

    # -- workers ---------------------------------------------------------------

    def on_heartbeat(
        self, heartbeat: Heartbeat, direct: bool, now: float, forwarded: bool = False
    ) -> Machine | None:
        """A worker's heartbeat; None if it is stale or from a released machine.

        `direct`: it answers a direct command; `forwarded`: a follower took it in.
        """
        return self._heartbeats.on_heartbeat(heartbeat, direct, now, forwarded)

    def response_commands(
        self, machine: Machine, heartbeat: Heartbeat, now: float, launches: bool = True
    ) -> list[Command]:
        """The commands for a heartbeat's answer: clears, kills, launches, in this order."""
        return self._commands.response_commands(machine, heartbeat, now, launches)

    def kills(self, machine: Machine) -> list[Command]:
        """Kills for all that must leave the machine; every one can be repeated."""
        return self._commands.kills(machine)

    def direct_commands(self, machine: Machine) -> list[Command]:
        """What goes out directly: kills, and the clear that wakes a worker for its launch."""
        return self._commands.direct_commands(machine)

    def command_order(self, names: Iterable[str], now: float) -> list[Machine]:
        """Whom to command directly first: the living, and those with cancelled work."""
        return self._commands.command_order(names, now)

    def is_responsive(self, machine: Machine, now: float) -> bool:
        """Whether the worker was heard not long ago, so that it is likely to answer."""
        return self._commands.is_responsive(machine, now)

    # -- what time brings about ------------------------------------------------

    def tick(self, now: float) -> None:
        """Do everything that is due because time passes."""
        for job in list(self.jobs.values()):
            if job.state is not JobState.LIVE:
                self._eviction.stop_ended_job(job, now)
            elif job.gang:
                self._eviction.advance_gang(job, now)
        for machine in list(self.machines.values()):
            self._failure_detection.check_machine(machine, now)
        self._commands.wake_delayed(now)

    def machines_without_heartbeat(self, now: float) -> list[str]:
        """Machines whose heartbeats have not come here for a while."""
        return self._failure_detection.machines_without_heartbeat(now)

    def is_partitioned_from_workers(self, now: float) -> bool:
        """Whether others hear most of the workers, and this controller hardly any."""
        return self._failure_detection.is_partitioned_from_workers(now)

    def needs_term_announcement(self, machine: Machine, now: float) -> bool:
        """Whether a worker has to be told of this term directly."""
        return self._failure_detection.needs_term_announcement(machine, now)

    # -- searches for gangs' machines ------------------------------------------

    def waiting_gangs(self, now: float) -> list[Job]:
        """Gangs that wait, and whose teams may use the capacity."""
        return self._reservations.waiting_gangs(now)

    def largest_gang(self, now: float) -> Job | None:
        """The waiting gang with the most tasks that must share a zone."""
        return self._reservations.largest_gang(now)

    def needs_reservation(self, job: Job) -> bool:
        """Whether no reservation of the gang is in force."""
        return self._reservations.needs_reservation(job)

    def unreserved_s(self, job: Job, now: float) -> float:
        """How long, in seconds, the gang has been without a reservation that is in force."""
        return self._reservations.unreserved_s(job, now)

    def is_consumed_or_rejected(self, job: Job, reservation: Reservation) -> bool:
        """Whether a reservation was used up or refused, so that another is needed."""
        return self._reservations.is_consumed_or_rejected(job, reservation)

    def offers(self, zone: str, now: float, largest: Job | None = None) -> list[ResourceOffer]:
        """A zone's machines with capacity, soonest free first: enough for the `largest` gang."""
        return self.parts.resource_offers.of_zone(zone, now, largest)

    def directory(self) -> list[tuple[str, str]]:
        """All machines that count as capacity, with their zones, for pivots."""
        return self.parts.resource_offers.directory()

    # -- scheduling rounds and scaling -----------------------------------------

    def could_place_on(self, machine: Machine, now: float) -> bool:
        """Whether a round might place something on this machine."""
        return self._rounds.could_place_on(machine, now)

    def plan(self, now: float) -> list[TaskAttempt]:
        """New attempts; their intents are to be written before anything else."""
        return self._rounds.plan(now)

    def intents_written(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        """The intents of these attempts are committed: their launches may leave."""
        self._rounds.intents_written(attempts, now)

    def intents_failed(self, attempts: Iterable[TaskAttempt], now: float) -> None:
        """The transaction failed for good: none of it was or will be written."""
        self._rounds.intents_failed(attempts, now)

    def scale_out(self, now: float) -> list[autoscaling.ScaleOutRequest]:
        """Scale-out requests; idle machines that are not wanted go to `releases`."""
        return self.parts.scaling.scale_out(now)
