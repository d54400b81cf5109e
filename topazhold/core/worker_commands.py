"""Commands to workers: launches, kills, clears, and wake-ups that trigger a heartbeat."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from topazhold.core.cluster_state import MAX_HEARTBEAT_AGE_INTERVALS, ClusterState
from topazhold.core.jobs import TASKS_PER_PART, JobState
from topazhold.core.machines import Machine, MachineState
from topazhold.core.task_attempts import UNSENT, AttemptState
from topazhold.wire import messages as wire
from topazhold.wire.workers import Command, Heartbeat, TaskStatus

log = logging.getLogger(__name__)

#: Ended tasks left uncleared on a worker, each usable for one wake-up.
MAX_WAKE_TASKS = 3
#: Heartbeat intervals within which the response to a heartbeat has been built.
MAX_RESPONSE_HEARTBEATS = 0.1


class WorkerCommands:
    """Builds the commands for workers, in responses to heartbeats or sent directly.

    Owns `to_wake`, the machines whose workers are to send a heartbeat at once, and
    `_delayed_wakes`, those whose last heartbeat may not have been responded to yet.
    """

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._term = cluster.term
        self._max_response_s = MAX_RESPONSE_HEARTBEATS * cluster.heartbeat_interval_s
        self._responsive_s = MAX_HEARTBEAT_AGE_INTERVALS * cluster.heartbeat_interval_s
        self.to_wake: set[str] = set()
        self._delayed_wakes: set[str] = set()

    def response_commands(
        self, machine: Machine, heartbeat: Heartbeat, now: float, include_launches: bool
    ) -> list[Command]:
        """Return the commands for the response to a heartbeat: clears, kills, launches.

        Launches are included only if `include_launches`, for a ready machine that knows this
        term.
        """
        commands = self._clears(machine, heartbeat) + self.kills(machine)
        if (
            include_launches
            and machine.state is MachineState.READY
            and heartbeat.fencing_token == self._term
        ):
            for attempt in machine.attempts.values():
                # Launch only in the incarnation named by the intent: a newer incarnation
                # then proves the task gone, also to a later leader.
                if (
                    attempt.state is AttemptState.WRITTEN
                    and not attempt.stopping
                    and not attempt.launch_held
                    and attempt.incarnation == heartbeat.incarnation
                ):
                    attempt.mark_launch_sent(heartbeat.sequence, now)
                    log.info(
                        "launching task %s attempt %d on %s",
                        attempt.task_name,
                        attempt.attempt_number,
                        machine.name,
                    )
                    commands.append(wire.launch(attempt.task_name, attempt.attempt_number))
        return commands

    def _clears(self, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
        """Return clears for ended tasks, except for a few that are kept for wake-ups.

        A worker sends a heartbeat at once when its tasks change. Clearing a kept task
        directly is such a change, so a launch need not wait for the next regular heartbeat.
        """
        commands = []
        for task in heartbeat.tasks:
            if task.state == wire.ENDED:
                if task.cause == wire.CAUSE_DONE and self._is_completion_unsaved(task):
                    continue
                commands.append(wire.clear(task.task_name, task.attempt_number))
        machine.set_wake_tasks(
            [(command.task_name, command.attempt_number) for command in commands[:MAX_WAKE_TASKS]]
        )
        return commands[MAX_WAKE_TASKS:]

    def _is_completion_unsaved(self, task: TaskStatus) -> bool:
        """Return whether a task's completion is not stored yet, so only the worker has it."""
        key = wire.split_task_name(task.task_name)
        job = self._cluster.jobs.get(key[0]) if key else None
        return (
            job is not None
            and key is not None
            and job.state is JobState.LIVE
            and key[1] // TASKS_PER_PART in job.unsaved_parts
        )

    def direct_commands(self, machine: Machine) -> list[Command]:
        """Return the commands to send directly: kills, and the clear that wakes the worker."""
        commands = self.kills(machine)
        if machine.name in self.to_wake:
            self.to_wake.discard(machine.name)
            if machine.wake_tasks:
                commands.append(wire.clear(*machine.pop_wake_task()))
        return commands

    def wake(self, machine: Machine, now: float) -> None:
        """Make the worker send a heartbeat, whose response then carries its launches.

        If a heartbeat has just arrived, its response may not be built yet and may still include
        the launches. The wake-up is delayed until then, and skipped if it is not needed.
        """
        if not machine.wake_tasks:
            return
        if self._heartbeat_is_recent(machine, now):
            self._delayed_wakes.add(machine.name)
        else:
            self._wake_now(machine.name)

    def _wake_now(self, name: str) -> None:
        self.to_wake.add(name)
        self._cluster.queue_command(name)

    def _heartbeat_is_recent(self, machine: Machine, now: float) -> bool:
        """Return whether the response to the last heartbeat may not have been built yet."""
        return now - (machine.last_heartbeat_at or 0.0) <= self._max_response_s

    def wake_delayed(self, now: float) -> None:
        """Wake the workers whose launches missed the response for which they were delayed."""
        for name in list(self._delayed_wakes):
            machine = self._cluster.machines.get(name)
            if machine is not None and self._heartbeat_is_recent(machine, now):
                continue
            self._delayed_wakes.discard(name)
            if machine is not None and machine.wake_tasks:
                if any(
                    attempt.state is AttemptState.WRITTEN for attempt in machine.attempts.values()
                ):
                    self._wake_now(name)

    def is_responsive(self, machine: Machine, now: float) -> bool:
        """Return whether the last heartbeat is recent, so the worker is likely to respond."""
        return (
            machine.last_heartbeat_at is not None
            and now - machine.last_heartbeat_at < self._responsive_s
        )

    def command_order(self, names: Iterable[str], now: float) -> list[Machine]:
        """Return the machines to command directly: responsive, then cancelled work first."""
        candidates = []
        for name in names:
            machine = self._cluster.machines.get(name)
            if machine is not None and machine.endpoint is not None:
                must_be_released = self._cluster.must_be_released(name)
                priority = (
                    not self.is_responsive(machine, now),
                    not must_be_released,
                    machine.last_commanded_at,
                    name,
                )
                candidates.append((priority, machine))
        candidates.sort(key=lambda item: item[0])
        return [machine for _, machine in candidates]

    def kills(self, machine: Machine) -> list[Command]:
        """Return kills for all tasks that must leave the machine; each may be repeated."""
        commands = []
        for attempt in machine.attempts.values():
            if attempt.stop_grace_s is None or attempt.state in UNSENT:
                continue
            if attempt.state is AttemptState.FLUSHING and attempt.stop_grace_s > 0:
                continue
            commands.append(
                wire.kill(attempt.task_name, attempt.attempt_number, attempt.stop_grace_s)
            )
        for task_name, attempt_number in machine.orphans:
            commands.append(wire.kill(task_name, attempt_number, 0.0))
        return commands
