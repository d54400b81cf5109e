"""Detection of silent machines, unreachable machines, and network partitions of zones."""

from __future__ import annotations

import logging
import math
from typing import NamedTuple

from topazhold.core.cluster_state import UP_STATES, ClusterState
from topazhold.core.draining import Draining
from topazhold.core.jobs import DISTANT_PAST
from topazhold.core.machines import COMMANDS_UNREACHABLE, Machine, MachineState
from topazhold.core.task_attempts import AttemptState

log = logging.getLogger(__name__)

#: Leases after which an isolated machine that commands don't reach is released.
UNREACHABLE_RELEASE_LEASES = 2.0
#: Up to this many failed machines of a zone are treated as isolated failures. If more fail,
#: and more than this share of the zone, a network partition is assumed.
MAX_ISOLATED_FAILURES = 2
PARTITION_SHARE = 0.4
#: Leases of silence after which a machine is suspected, and after which it is released if it
#: is isolated or one of a group. A group gets longer: workers that only hang return with a new
#: incarnation by then, long before replacements could be rented and booted. Meanwhile silent
#: machines don't count as capacity, so that replacements for dead ones are requested.
SUSPECT_LEASES = 0.6
ISOLATED_RELEASE_LEASES = 1.25
GROUP_RELEASE_LEASES = 2.0
#: Leases of silence after which a machine with service replicas is released: by then its
#: worker's lease has ended.
SERVICE_RELEASE_LEASES = 1.05
#: Boot times after which a machine has failed to start.
STARTUP_TIMEOUT_BOOTS = 4.0
#: Seconds; the boot time of an unknown machine type.
DEFAULT_BOOT_S = 60.0
#: Consecutive machine lists that must lack a starting or a silent machine to prove it gone.
STARTING_MISSED_LISTS = 3
SILENT_MISSED_LISTS = 2
#: Heartbeat intervals without a heartbeat here after which a machine counts as missing one.
HEARTBEAT_TIMEOUT_INTERVALS = 2.2
#: Leases for which a heartbeat counts as recent.
RECENT_LEASES = 0.5
#: This controller is partitioned from the workers if at least this many machines have a recent
#: heartbeat at any controller, and less than this share of them have one here.
MIN_SEEN_MACHINES = 2
MIN_SEEN_HERE_SHARE = 0.3
#: Heartbeat intervals without a heartbeat here after which an unsynced worker is sent the term
#: directly.
ANNOUNCEMENT_INTERVALS = 0.4


class ZoneCounts(NamedTuple):
    """Machines of a zone that are up, with those suspected and those commands don't reach."""

    up: int = 0
    suspected: int = 0
    command_unreachable: int = 0


class FailureDetection:
    """Decides when silent machines and machines that commands don't reach are released.

    Owns the cached counts of machines per zone, and when each zone last looked partitioned.
    """

    def __init__(self, cluster: ClusterState, draining: Draining) -> None:
        self._cluster = cluster
        self._draining = draining
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self._lease_s = cluster.lease_s
        self._counts: dict[str, ZoneCounts] = {}
        self._counted_at = -1.0  # time of the cached counts; negative before the first
        self._partition_seen_at: dict[str, float] = {}

    def machines_without_heartbeat(self, now: float) -> list[str]:
        """Return the names of machines without a recent heartbeat at this controller."""
        timeout_s = HEARTBEAT_TIMEOUT_INTERVALS * self._heartbeat_interval_s
        since = self._cluster.term_started_at
        return [
            machine.name
            for machine in self._cluster.machines.values()
            if machine.state in UP_STATES
            and now - max(machine.last_own_heartbeat_at, since) > timeout_s
        ]

    def is_partitioned_from_workers(self, now: float) -> bool:
        """Return whether most workers' heartbeats reach other controllers but not this one."""
        if now - self._cluster.term_started_at < self._lease_s:
            return False
        seen_by_any = seen_here = 0
        for machine in self._cluster.machines.values():
            if (
                machine.state in UP_STATES
                and self._cluster.silence_s(machine, now) < RECENT_LEASES * self._lease_s
            ):
                seen_by_any += 1
                seen_here += now - machine.last_own_heartbeat_at < RECENT_LEASES * self._lease_s
        return seen_by_any >= MIN_SEEN_MACHINES and seen_here < MIN_SEEN_HERE_SHARE * seen_by_any

    def needs_term_announcement(self, machine: Machine, now: float) -> bool:
        """Return whether a worker must be sent this term directly.

        It may still report to a former leader that does not know of this term. Once the worker
        knows the term, it ignores that leader's responses, and its heartbeats inform the leader.
        """
        return (
            machine.state is MachineState.UNSYNCED
            and now - max(machine.last_own_heartbeat_at, self._cluster.term_started_at)
            > ANNOUNCEMENT_INTERVALS * self._heartbeat_interval_s
        )

    def is_missing(self, machine: Machine, now: float) -> bool:
        """Return whether a machine is silent for a lease while its zone is not partitioned."""
        return (
            machine.state in UP_STATES
            and self._cluster.silence_s(machine, now) > self._lease_s
            and not math.isinf(self._release_after_leases(machine, now))
        )

    def check_machine(self, machine: Machine, now: float) -> None:
        """Do what is due for one machine: its release, draining, or the term announcement."""
        state = machine.state
        if state is MachineState.RELEASING:
            self._cluster.requeue_release(machine)
            return
        if state is MachineState.STARTING:
            self._check_startup(machine, now)
            return
        if state is MachineState.DRAINING:
            self._draining.step(machine, now)
        elif machine.attempts and not self._cluster.usable(machine, now):
            self._drop_unsent_launches(machine, now)
        if (
            self.needs_term_announcement(machine, now)
            and now - machine.term_announced_at > self._heartbeat_interval_s
        ):
            machine.announce_term(now)
            self._cluster.queue_command(machine.name)
        is_unreachable = machine.command_unreachable_since is not None
        if is_unreachable and self._is_isolated_unreachable(machine, now):
            self._cluster.release(machine, COMMANDS_UNREACHABLE, now)
            return
        self._check_silence(machine, now)

    def _check_startup(self, machine: Machine, now: float) -> None:
        boot_s = machine.machine_type.boot_s if machine.machine_type else DEFAULT_BOOT_S
        is_late = now - machine.rented_at > STARTUP_TIMEOUT_BOOTS * boot_s
        if is_late and now - self._cluster.term_started_at > self._lease_s:
            self._cluster.release(machine, "never came up", now)
        elif machine.missed_lists >= STARTING_MISSED_LISTS:
            self._cluster.release(machine, "not listed", now)

    def _is_isolated_unreachable(self, machine: Machine, now: float) -> bool:
        """Return whether commands have long not reached it while its zone is not partitioned."""
        since = machine.command_unreachable_since
        if since is None or now - since <= UNREACHABLE_RELEASE_LEASES * self._lease_s:
            return False
        counts = self._zone_counts(machine.zone, now)
        is_group_failure = counts.command_unreachable > MAX_ISOLATED_FAILURES
        return not (is_group_failure and counts.command_unreachable > PARTITION_SHARE * counts.up)

    def _check_silence(self, machine: Machine, now: float) -> None:
        silence_s = self._cluster.silence_s(machine, now)
        if silence_s > self._lease_s and machine.missed_lists >= SILENT_MISSED_LISTS:
            self._cluster.release(machine, "silent and not listed", now)
        elif silence_s > SERVICE_RELEASE_LEASES * self._lease_s:
            release_after_leases = self._release_after_leases(machine, now)
            if any(attempt.job.service for attempt in machine.attempts.values()):
                # Its tasks ended with the worker's lease. Other work can wait for the machine to
                # return, but a service stays down until its replicas are proven gone.
                release_after_leases = (
                    release_after_leases
                    if math.isinf(release_after_leases)
                    else SERVICE_RELEASE_LEASES
                )
            if silence_s > release_after_leases * self._lease_s:
                self._cluster.release(machine, "silent", now)

    def _drop_unsent_launches(self, machine: Machine, now: float) -> None:
        """Drop attempts whose launches can't be sent to a silent worker; tasks are requeued.

        No launch was sent, so no proof is needed. Gangs have their own time limit.
        """
        for attempt in list(machine.attempts.values()):
            if (
                attempt.state is AttemptState.WRITTEN
                and not attempt.possibly_running
                and not attempt.job.gang
            ):
                log.info(
                    "task %s not launched: machine %s is silent", attempt.task_name, machine.name
                )
                self._cluster.remove_attempt(attempt, now)

    def _release_after_leases(self, machine: Machine, now: float) -> float:
        """Return the leases of silence before a release; infinite while partitioned."""
        counts = self._zone_counts(machine.zone, now)
        if (
            counts.suspected > MAX_ISOLATED_FAILURES
            and counts.suspected > PARTITION_SHARE * counts.up
        ):
            self._partition_seen_at[machine.zone] = now
        # When a partition ends, machines return one by one, and the last ones look like
        # isolated failures.
        if (
            now - self._partition_seen_at.get(machine.zone, DISTANT_PAST)
            < ISOLATED_RELEASE_LEASES * self._lease_s
        ):
            return math.inf
        return (
            GROUP_RELEASE_LEASES
            if counts.suspected > MAX_ISOLATED_FAILURES
            else ISOLATED_RELEASE_LEASES
        )

    def _zone_counts(self, zone: str, now: float) -> ZoneCounts:
        """Return a zone's counts, computed for all zones once per value of `now`."""
        if self._counted_at != now:
            self._counted_at = now
            self._counts = {}
            for machine in self._cluster.machines.values():
                if machine.state in UP_STATES:
                    up, suspected, command_unreachable = self._counts.get(machine.zone, (0, 0, 0))
                    is_suspected = (
                        self._cluster.silence_s(machine, now) > SUSPECT_LEASES * self._lease_s
                    )
                    self._counts[machine.zone] = ZoneCounts(
                        up + 1,
                        suspected + is_suspected,
                        command_unreachable + machine.command_unreachable,
                    )
        return self._counts.get(zone, ZoneCounts())
