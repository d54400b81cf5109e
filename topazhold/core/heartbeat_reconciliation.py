"""Workers' heartbeats against the cluster's state: what they say, and what they prove."""

from __future__ import annotations

import logging

from topazhold.core.cluster_state import ClusterState
from topazhold.core.machines import Machine, MachineState
from topazhold.core.task_reconciliation import TaskReconciliation
from topazhold.wire.workers import Heartbeat

log = logging.getLogger(__name__)

#: So many answers with launches that did not arrive make a machine unreachable for commands.
LOST_LAUNCHES_THRESHOLD = 2
#: An incarnation that ends so soon (in leases) after an answer has not heard the answer,
#: and one that lasts so long has heard some.
UNREACHABLE_LEASES = 0.7
REACHABLE_LEASES = 1.3


class HeartbeatReconciliation:
    """Takes in heartbeats: a machine's incarnation, whether commands reach it, its tasks.

    Owns no state: what is learnt is kept by the machine.
    """

    def __init__(self, cluster: ClusterState, tasks: TaskReconciliation) -> None:
        self._cluster = cluster
        self._task_reconciliation = tasks
        self._term = cluster.term
        self._lease_s = cluster.lease_s

    def on_heartbeat(
        self, heartbeat: Heartbeat, direct: bool, now: float, forwarded: bool = False
    ) -> Machine | None:
        """A worker's heartbeat; None if it is stale or from a released machine.

        `direct` marks the answer of a direct command. It may overtake the
        answer of a heartbeat that is still under way, so what it lacks proves
        nothing about a launch ordered there. `forwarded`: a follower took it in.
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
        machine.note_heartbeat(heartbeat.sequence, heartbeat.endpoint, heartbeat.fencing_token)
        synced = heartbeat.fencing_token == self._term
        machine.on_heartbeat(synced, now)
        self._check_command_reachability(machine, term_before, now)
        if not direct:
            machine.answered(not forwarded, now)
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
        """The machine that a heartbeat is from; None if it is gone, or known by nothing else."""
        machine = self._cluster.machines.get(heartbeat.machine)
        if machine is None:
            if direct or self._cluster.is_removed(heartbeat.machine):
                return None
            machine = self._cluster.add_machine(
                heartbeat.machine, heartbeat.zone, heartbeat.spot, heartbeat.machine_type, now
            )
            # A late copy may tell of a machine that is long gone. Until it is
            # listed, or heard under this term, it is not counted on.
            machine.mark_unconfirmed()
        if machine.machine_type is None:
            machine.learn_type(self._cluster.machine_types.get(heartbeat.machine_type))
        return machine

    def _availability(self, machine: Machine, now: float) -> tuple[MachineState, bool, bool]:
        """Whether new work may go to a machine, as far as its heartbeats decide that."""
        return machine.state, machine.command_unreachable, self._cluster.usable(machine, now)

    def _on_new_incarnation(self, machine: Machine, incarnation: int, now: float) -> None:
        """The worker's lease ended: all tasks of the earlier incarnation are gone."""
        for attempt in list(machine.attempts.values()):
            # A launch is ordered only in the incarnation that its intent names, and
            # the worker drops answers to heartbeats of an earlier one. So a newer
            # one settles an earlier term's intents too, also those of a machine that
            # commands don't reach, which is never heard under the new term.
            if not attempt.possibly_running or attempt.incarnation < incarnation:
                self._cluster.remove_attempt(attempt, now)
        if machine.incarnation:
            log.info("machine %s began incarnation %d", machine.name, incarnation)
            if now - machine.last_answered_at < UNREACHABLE_LEASES * self._lease_s:
                self._on_command_unreachable(machine, "its lease ended though it was answered", now)
        machine.begin_incarnation(incarnation, now)

    def _check_command_reachability(self, machine: Machine, term_before: int, now: float) -> None:
        """Whether answers reach the worker, as far as its heartbeat shows it."""
        is_reachable = (
            machine.term == self._term != term_before
            or now - machine.incarnation_since > REACHABLE_LEASES * self._lease_s
        )
        if is_reachable and machine.mark_command_reachable():
            log.info("machine %s gets commands again", machine.name)

    def _on_command_unreachable(self, machine: Machine, reason: str, now: float) -> None:
        """Answers don't reach the worker: no new work, no reservation, no limit for it."""
        if machine.mark_command_unreachable(now):
            log.info("machine %s does not get commands: %s", machine.name, reason)
        self._cluster.remove_unsent(machine, now)

    def _on_preemption_notice(self, machine: Machine, notice_s: float, now: float) -> None:
        if machine.gone_at is None:
            log.info("machine %s will be taken in %.1f s", machine.name, notice_s)
        machine.expect_end(notice_s, now)

    def _on_lost_launch(self, machine: Machine, now: float) -> None:
        if machine.count_lost_command() >= LOST_LAUNCHES_THRESHOLD:
            self._on_command_unreachable(machine, "launches don't arrive", now)
