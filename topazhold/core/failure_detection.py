"""Machines that are silent or that commands don't reach, and network partitions of zones."""

from __future__ import annotations

import logging
import math
from typing import NamedTuple

from topazhold.core.cluster_state import UP, ClusterState
from topazhold.core.draining import Draining
from topazhold.core.machines import COMMANDS_LOST, Machine, MachineState
from topazhold.core.task_attempts import AttemptState

log = logging.getLogger(__name__)

#: A lone machine that commands don't reach is released after so many leases.
UNREACHABLE_RELEASE_LEASES = 2.0
#: So many machines of a zone with one trouble are taken one by one; more than this
#: share of the zone, and it is a network partition.
MAX_ISOLATED_FAILURES = 2
PARTITION_SHARE = 0.4
#: A machine counts as silent after so many leases. A lone one is released later, one
#: of a group later still: those that only hang are back with a new incarnation by then,
#: long before others could be rented and booted, and meanwhile they don't count as
#: capacity, so that dead ones are made up for.
SUSPECT_LEASES = 0.6
ISOLATED_RELEASE_LEASES = 1.25
GROUP_RELEASE_LEASES = 2.0
#: One with replicas of services is released once its worker's lease must have ended.
SERVICE_RELEASE_LEASES = 1.05
#: A machine has failed to start after so many boot times, of this length if unknown (seconds).
STARTUP_TIMEOUT_BOOTS = 4.0
DEFAULT_BOOT_S = 60.0
#: So many lists in a row without a machine that starts, or has fallen silent, prove it gone.
STARTING_MISSED_LISTS = 3
SILENT_MISSED_LISTS = 2

#: A machine lacks a heartbeat here after this many heartbeat intervals.
HEARTBEAT_TIMEOUT_INTERVALS = 2.2
#: A heartbeat is recent if it is less than this many leases old.
RECENT_LEASES = 0.5
#: This controller is partitioned from the workers if at least this many machines sent a recent
#: heartbeat to some controller, and less than this share of them to this one.
MIN_SEEN_MACHINES = 2
MIN_SEEN_HERE_SHARE = 0.3
#: A worker that has sent no heartbeat here for this many heartbeat intervals is sent the new
#: term directly.
ANNOUNCEMENT_INTERVALS = 0.4
#: Seconds; earlier than any time of the steady clock.
NEVER = -1e9


class ZoneCounts(NamedTuple):
    """Machines of a zone that are up; of these, the silent and those commands don't reach."""

    up: int = 0
    suspected: int = 0
    command_unreachable: int = 0


class FailureDetection:
    """Decides when a machine that is not heard, or does not hear, is released.

    Owns the counts of the last look at all machines, and when each zone was last seen
    partitioned from here.
    """

    def __init__(self, cluster: ClusterState, draining: Draining) -> None:
        self._cluster = cluster
        self._draining = draining
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self._lease_s = cluster.lease_s
        self._counts: dict[str, ZoneCounts] = {}
        self._counted_at = -1.0
        self._partition_seen_at: dict[str, float] = {}

    def machines_without_heartbeat(self, now: float) -> list[str]:
        """Machines whose heartbeats have not come here for a while."""
        timeout_s = HEARTBEAT_TIMEOUT_INTERVALS * self._heartbeat_interval_s
        since = self._cluster.since
        return [
            machine.name
            for machine in self._cluster.machines.values()
            if machine.state in UP and now - max(machine.last_own_heartbeat_at, since) > timeout_s
        ]

    def is_partitioned_from_workers(self, now: float) -> bool:
        """Whether others hear most of the workers, and this controller hardly any."""
        if now - self._cluster.since < self._lease_s:
            return False
        seen_by_any = seen_here = 0
        for machine in self._cluster.machines.values():
            if (
                machine.state in UP
                and self._cluster.silence_s(machine, now) < RECENT_LEASES * self._lease_s
            ):
                seen_by_any += 1
                seen_here += now - machine.last_own_heartbeat_at < RECENT_LEASES * self._lease_s
        return seen_by_any >= MIN_SEEN_MACHINES and seen_here < MIN_SEEN_HERE_SHARE * seen_by_any

    def needs_term_announcement(self, machine: Machine, now: float) -> bool:
        """Whether a worker has to be told of this term directly.

        It may be with a former leader who knows of no other; once it has seen
        the new term, its answers are void and its heartbeats tell it so.
        """
        return (
            machine.state is MachineState.UNSYNCED
            and now - max(machine.last_own_heartbeat_at, self._cluster.since)
            > ANNOUNCEMENT_INTERVALS * self._heartbeat_interval_s
        )

    def is_missing(self, machine: Machine, now: float) -> bool:
        """Whether a machine is silent for a lease, and its zone is not partitioned."""
        return (
            machine.state in UP
            and self._cluster.silence_s(machine, now) > self._lease_s
            and not math.isinf(self._release_after_leases(machine, now))
        )

    def check_machine(self, machine: Machine, now: float) -> None:
        """What time brings about for one machine."""
        state = machine.state
        if state is MachineState.RELEASING:
            self._cluster.release_again(machine)
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
            self._cluster.request_command(machine.name)
        is_unreachable = machine.command_unreachable_since is not None
        if is_unreachable and self._is_isolated_unreachable(machine, now):
            self._cluster.release(machine, COMMANDS_LOST, now)
            return
        self._check_silence(machine, now)

    def _check_startup(self, machine: Machine, now: float) -> None:
        boot_s = machine.machine_type.boot_s if machine.machine_type else DEFAULT_BOOT_S
        is_late = now - machine.rented_at > STARTUP_TIMEOUT_BOOTS * boot_s
        if is_late and now - self._cluster.since > self._lease_s:
            self._cluster.release(machine, "never came up", now)
        elif machine.missed_lists >= STARTING_MISSED_LISTS:
            self._cluster.release(machine, "not listed", now)

    def _is_isolated_unreachable(self, machine: Machine, now: float) -> bool:
        """Whether commands don't reach the machine for long, and its zone is not partitioned."""
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
                # Its tasks ended with the worker's lease. Other work waits for the machine
                # to come back; a service is down until its replicas are proven gone.
                release_after_leases = (
                    release_after_leases
                    if math.isinf(release_after_leases)
                    else SERVICE_RELEASE_LEASES
                )
            if silence_s > release_after_leases * self._lease_s:
                self._cluster.release(machine, "silent", now)

    def _drop_unsent_launches(self, machine: Machine, now: float) -> None:
        """Place tasks elsewhere whose launches can't leave, since the worker is not heard.

        No launch has left, so nothing has to be proven. Gangs have their own time limit.
        """
        for attempt in list(machine.attempts.values()):
            if (
                attempt.state is AttemptState.WRITTEN
                and not attempt.possibly_running
                and not attempt.job.gang
            ):
                log.info("task %s has no launch on silent %s", attempt.task_name, machine.name)
                self._cluster.remove_attempt(attempt, now)

    def _release_after_leases(self, machine: Machine, now: float) -> float:
        """After how many leases of silence a machine is released; infinite in a partition."""
        counts = self._zone_counts(machine.zone, now)
        if (
            counts.suspected > MAX_ISOLATED_FAILURES
            and counts.suspected > PARTITION_SHARE * counts.up
        ):
            self._partition_seen_at[machine.zone] = now
        # When a partition ends they come back one by one, and the last ones look like
        # lone silent machines.
        if (
            now - self._partition_seen_at.get(machine.zone, NEVER)
            < ISOLATED_RELEASE_LEASES * self._lease_s
        ):
            return math.inf
        return (
            GROUP_RELEASE_LEASES
            if counts.suspected > MAX_ISOLATED_FAILURES
            else ISOLATED_RELEASE_LEASES
        )

    def _zone_counts(self, zone: str, now: float) -> ZoneCounts:
        """The counts of a zone, made once per look at all machines."""
        if self._counted_at != now:
            self._counted_at = now
            self._counts = {}
            for machine in self._cluster.machines.values():
                if machine.state in UP:
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
