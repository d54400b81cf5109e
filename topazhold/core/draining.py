"""Draining of machines: work is moved or checkpointed in time, then they are released."""

from __future__ import annotations

from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.machine_room import room_for
from topazhold.core.machines import QUARANTINED, Machine
from topazhold.core.task_attempts import AttemptState, TaskAttempt

#: Heartbeat intervals before the cloud preempts a machine in which its replicas are stopped, even
#: if they fit nowhere else.
FORCED_STOP_HEARTBEATS = 2.0


class Draining:
    """Evicts tasks gracefully from machines that take no new work. Stateless."""

    def __init__(self, cluster: ClusterState, eviction: Eviction) -> None:
        self._cluster = cluster
        self._eviction = eviction
        self._heartbeat_interval_s = cluster.heartbeat_interval_s

    def step(self, machine: Machine, now: float) -> None:
        """Move or stop work on a draining machine, and release it once it is empty."""
        self._drop_unsent_launches(machine, now)
        if machine.reason == QUARANTINED:
            self._drain_quarantined(machine, now)
        elif machine.terminates_at is not None:
            self._drain_before_preemption(machine, machine.terminates_at - now, now)

    def _drop_unsent_launches(self, machine: Machine, now: float) -> None:
        """Drop attempts that were never launched, stopping gangs with such attempts.

        A draining machine is sent no launches, so these tasks would wait forever.
        """
        for attempt in list(machine.attempts.values()):
            if attempt.state is AttemptState.WRITTEN and not attempt.possibly_running:
                if attempt.job.gang:
                    self._eviction.stop_gang(attempt.job, 0.0, "machine is leaving", now)
                else:
                    self._cluster.remove_attempt(attempt, now)

    def _drain_quarantined(self, machine: Machine, now: float) -> None:
        if machine.empty:
            self._cluster.release(machine, QUARANTINED, now)
        elif all(attempt.job.service for attempt in machine.attempts.values()):
            # Replicas never end by themselves, so the machine would be kept and paid for
            # indefinitely.
            self._move_replicas(machine, "machine is quarantined", now)

    def _drain_before_preemption(self, machine: Machine, time_left_s: float, now: float) -> None:
        """Evict work from a machine that the cloud preempts in `time_left_s` seconds."""
        force = time_left_s < FORCED_STOP_HEARTBEATS * self._heartbeat_interval_s
        self._move_replicas(machine, "machine will be taken", now, force)
        for attempt in list(machine.attempts.values()):
            if attempt.stopping or attempt.job.service or attempt.state is AttemptState.INTENDED:
                continue
            if attempt.state is not AttemptState.RUNNING or self._needs_checkpoint_now(
                attempt, time_left_s, now
            ):
                self._eviction.preempt(attempt, "machine will be taken", now)
        if machine.empty and time_left_s < 0:
            self._cluster.release(machine, "taken", now)

    def _move_replicas(
        self, machine: Machine, reason: str, now: float, force: bool = False
    ) -> None:
        """Stop the replicas that fit on another machine; with `force`, all of them.

        Replicas that are stopped are known to be gone at once; on a preempted machine that is
        known only after its lease.
        """
        for attempt in list(machine.attempts.values()):
            if (
                not attempt.job.service
                or attempt.stopping
                or attempt.state is AttemptState.INTENDED
            ):
                continue
            if force or self._fits_elsewhere(attempt, now):
                self._eviction.preempt(attempt, reason, now)

    def _fits_elsewhere(self, attempt: TaskAttempt, now: float) -> bool:
        """Return whether another machine has capacity for a replica."""
        job = attempt.job
        replicas_by_zone = job.zones_used(self._cluster.zone_of)
        current_zone = self._cluster.zone_of.get(attempt.machine)
        for machine in self._cluster.machines.values():
            if machine.name == attempt.machine or not self._cluster.usable(machine, now):
                continue
            if not room_for(self._cluster, machine, job, now):
                continue
            if machine.zone == current_zone:
                return True
            is_zone_full = replicas_by_zone.get(machine.zone, 0) >= (job.spec.tasks + 1) // 2
            if not job.spec.same_zone and not (job.spec.spread_zones and is_zone_full):
                return True
        return False

    def _needs_checkpoint_now(self, attempt: TaskAttempt, time_left_s: float, now: float) -> bool:
        """Return whether a task would outlast the machine and should write a checkpoint now."""
        if attempt.job.spec.checkpoint_s <= 0:
            return False
        return self._cluster.remaining_s(attempt, now) > time_left_s - self._heartbeat_interval_s
