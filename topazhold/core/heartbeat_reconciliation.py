"""Reconciliation of the cluster's state with the heartbeats of its workers."""

from __future__ import annotations

import logging

from topazhold.core.cluster_state import ClusterState
from topazhold.core.machines import Machine, MachineState
from topazhold.core.task_reconciliation import TaskReconciliation
from topazhold.wire.workers import Heartbeat

log = logging.getLogger(__name__)

#: Lost responses with launches, since the last command that arrived, that mark a machine
#: unreachable for commands.
LOST_LAUNCHES_THRESHOLD = 2
#: In leases. If a worker's lease ends sooner than this after a response was sent, the response
#: did not arrive; an incarnation older than `REACHABLE_LEASES` has received at least one.
UNREACHABLE_LEASES = 0.7
REACHABLE_LEASES = 1.3


class HeartbeatReconciliation:
    """Applies heartbeats: a machine's incarnation, whether commands reach it, its tasks.

    Stateless: the results are stored on the machine.
    """

    def __init__(self, cluster: ClusterState, tasks: TaskReconciliation) -> None:
        self._cluster = cluster
        self._task_reconciliation = tasks
        self._term = cluster.term
        self._lease_s = cluster.lease_s

    def on_heartbeat(
        self, heartbeat: Heartbeat, direct: bool, now: float, forwarded: bool = False
    ) -> Machine | None:
        """Apply a heartbeat and return its machine; None if stale or from a released machine.

        `direct` marks a heartbeat sent in reply to a direct command. It may overtake the
        response to a regular heartbeat, so a task missing from it does not prove that a
        launch in that response was lost. `forwarded` means that a follower received it.
        """
        machine = self._find_or_add_machine(heartbeat, direct, now)
        if machine is None or machine.state is MachineState.RELEASING:
            return None
        availability_before = self._availability(machine, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return None
        if heartbeat.incarnation > machine.incarnation:
            self._on_new_incarnation(machine, heartbeat.incarnation, now)
        term_before = machine.term
        machine.update_from_heartbeat(
            heartbeat.sequence, heartbeat.endpoint, heartbeat.fencing_token
        )
        synced = heartbeat.fencing_token == self._term
        machine.on_heartbeat(synced, now)
        self._check_command_reachability(machine, term_before, now)
        if not direct:
            machine.note_answered(not forwarded, now)
        if heartbeat.notice_s is not None:
            self._on_preemption_notice(machine, heartbeat.notice_s, now)
        if self._task_reconciliation.reconcile(machine, heartbeat, synced, direct, now):
            self._on_lost_launch(machine, now)
        if not machine.empty:
            machine.note_busy(now)
        if self._availability(machine, now) != availability_before:
            self._cluster.count_fleet_change()
        return machine

    def _find_or_add_machine(
        self, heartbeat: Heartbeat, direct: bool, now: float
    ) -> Machine | None:
        """Return the sender's machine, added if unknown; None if it is gone.

        A heartbeat in reply to a direct command does not add a machine.
        """
        machine = self._cluster.machines.get(heartbeat.machine)
        if machine is None:
            if direct or self._cluster.is_removed(heartbeat.machine):
                return None
            machine = self._cluster.add_machine(
                heartbeat.machine, heartbeat.zone, heartbeat.spot, heartbeat.machine_type, now
            )
            # The heartbeat may be a delayed copy from a machine that no longer exists.
            # The machine is not counted as capacity until the cloud lists it or it sends
            # a heartbeat under this term.
            machine.mark_unconfirmed()
        if machine.machine_type is None:
            machine.set_machine_type(self._cluster.machine_types.get(heartbeat.machine_type))
        return machine

    def _availability(self, machine: Machine, now: float) -> tuple[MachineState, bool, bool]:
        """Return the attributes, set by heartbeats, that decide whether it takes new work."""
        return machine.state, machine.command_unreachable, self._cluster.usable(machine, now)

    def _on_new_incarnation(self, machine: Machine, incarnation: int, now: float) -> None:
        """Drop the earlier incarnation's tasks: all are gone, since the worker's lease ended."""
        for attempt in list(machine.attempts.values()):
            # A launch is sent only to the incarnation named by its intent, and the worker
            # ignores responses to heartbeats of an earlier incarnation. A newer incarnation
            # therefore also settles the intents of earlier terms, including those on a
            # machine that commands don't reach and that never learns the new term.
            if not attempt.possibly_running or attempt.incarnation < incarnation:
                self._cluster.remove_attempt(attempt, now)
        if machine.incarnation:
            log.info("machine %s started incarnation %d", machine.name, incarnation)
            if now - machine.last_answered_at < UNREACHABLE_LEASES * self._lease_s:
                self._on_command_unreachable(machine, "its lease ended though it was answered", now)
        machine.begin_incarnation(incarnation, now)

    def _check_command_reachability(self, machine: Machine, term_before: int, now: float) -> None:
        """Mark the machine reachable if its heartbeat shows that responses arrive."""
        is_reachable = (
            machine.term == self._term != term_before
            or now - machine.incarnation_since > REACHABLE_LEASES * self._lease_s
        )
        if is_reachable and machine.mark_command_reachable():
            log.info("machine %s receives commands again", machine.name)

    def _on_command_unreachable(self, machine: Machine, reason: str, now: float) -> None:
        """Mark a machine that responses don't reach: no new work and no reservations there.

        Its unsent attempts are dropped, so that they no longer count against team limits.
        """
        if machine.mark_command_unreachable(now):
            log.info("machine %s does not receive commands: %s", machine.name, reason)
        self._cluster.remove_unsent(machine, now)

    def _on_preemption_notice(self, machine: Machine, notice_s: float, now: float) -> None:
        if machine.terminates_at is None:
            log.info("machine %s will be preempted by the cloud in %.1f s", machine.name, notice_s)
        machine.note_termination_notice(notice_s, now)

    def _on_lost_launch(self, machine: Machine, now: float) -> None:
        if machine.count_lost_command() >= LOST_LAUNCHES_THRESHOLD:
            self._on_command_unreachable(machine, "launches don't arrive", now)
