"""Commands to workers: launches, kills, clears, and what makes a worker report."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import TASKS_PER_PART, JobState
from topazhold.core.machines import Machine, MachineState
from topazhold.core.task_attempts import UNSENT, AttemptState
from topazhold.wire import messages as wire
from topazhold.wire.messages import Command, Heartbeat

log = logging.getLogger(__name__)

#: Ended tasks left on a worker to wake it with.
MAX_WAKE_TASKS = 3
#: The answer to a report is made within so many heartbeat intervals.
ANSWER_HEARTBEATS = 0.1


class WorkerCommands(ClusterState):
    """What a worker is told."""

    def answer(
        self, machine: Machine, heartbeat: Heartbeat, now: float, launches: bool = True
    ) -> list[Command]:
        """The commands for a heartbeat's answer: clears, kills, launches, in this order."""
        commands = self._clears(machine, heartbeat) + self.kills(machine)
        if (
            launches
            and machine.state is MachineState.READY
            and heartbeat.fencing_token == self.term
        ):
            for attempt in machine.attempts.values():
                # Only in the session that the intent names: a newer one then
                # proves the task gone, also to a leader who comes later.
                if (
                    attempt.state is AttemptState.WRITTEN
                    and not attempt.stopping
                    and attempt.incarnation == heartbeat.incarnation
                ):
                    attempt.order(heartbeat.sequence, now)
                    log.info(
                        "launch %s try %d on %s",
                        attempt.task_name,
                        attempt.attempt_number,
                        machine.name,
                    )
                    commands.append(wire.launch(attempt.task_name, attempt.attempt_number))
        return commands

    def _clears(self, machine: Machine, heartbeat: Heartbeat) -> list[Command]:
        """Clears for ended tasks, but for a few that are kept to ring with.

        A change of a worker's tasks makes it report at once. Clearing the kept
        task directly is such a change, so a launch need not wait for the next
        regular heartbeat.
        """
        commands = []
        for task in heartbeat.tasks:
            if task.state != wire.ENDED:
                continue
            if task.cause == wire.CAUSE_DONE:
                key = wire.split_task_name(task.task_name)
                job = self.jobs.get(key[0]) if key else None
                if (
                    job is not None
                    and key is not None
                    and job.state is JobState.LIVE
                    and key[1] // TASKS_PER_PART in job.unsaved_parts
                ):
                    continue  # the worker's word is the only record until it is saved
            commands.append(wire.clear(task.task_name, task.attempt_number))
        machine.changes += bool(machine.wake_tasks) is not bool(commands)
        machine.wake_tasks = [
            (command.task_name, command.attempt_number) for command in commands[:MAX_WAKE_TASKS]
        ]
        return commands[MAX_WAKE_TASKS:]

    def direct_commands(self, machine: Machine) -> list[Command]:
        """What goes out directly: kills, and the ring for a waiting launch."""
        commands = self.kills(machine)
        if machine.name in self.to_wake:
            self.to_wake.discard(machine.name)
            if machine.wake_tasks:
                commands.append(wire.clear(*machine.wake_tasks.pop()))
                machine.changes += not machine.wake_tasks
        return commands

    def _wake(self, machine: Machine, now: float) -> None:
        """Make the worker report, so that it gets its launches.

        The answer to a report that has just come may still be on its way to being made,
        and take them; whoever is not served by it is woken a moment later.
        """
        if not machine.wake_tasks:
            return
        if self.heartbeat_is_recent(machine, now):
            self.to_wake_later.add(machine.name)
        else:
            self.to_wake.add(machine.name)
            self.to_command.add(machine.name)

    def heartbeat_is_recent(self, machine: Machine, now: float) -> bool:
        """Whether the answer to the machine's last heartbeat may not be made yet."""
        return (
            now - (machine.last_heartbeat_at or 0.0)
            <= ANSWER_HEARTBEATS * self.heartbeat_interval_s
        )

    def wake_remaining(self, now: float) -> None:
        """Wake the workers whose launches came too late for the answer that was due."""
        for name in list(self.to_wake_later):
            machine = self.machines.get(name)
            if machine is not None and self.heartbeat_is_recent(machine, now):
                continue
            self.to_wake_later.discard(name)
            if machine is not None and machine.wake_tasks:
                if any(
                    attempt.state is AttemptState.WRITTEN for attempt in machine.attempts.values()
                ):
                    self.to_wake.add(name)
                    self.to_command.add(name)

    def heard_recently(self, machine: Machine, now: float) -> bool:
        """Whether the worker was heard not long ago, so that it is likely to answer."""
        return (
            machine.last_heartbeat_at is not None
            and now - machine.last_heartbeat_at < 2.5 * self.heartbeat_interval_s
        )

    def command_order(self, names: Iterable[str], now: float) -> list[Machine]:
        """Whom to command directly first: the living, and those with cancelled work."""
        found = []
        for name in names:
            machine = self.machines.get(name)
            if machine is not None and machine.endpoint is not None:
                key = (
                    not self.heard_recently(machine, now),
                    not self.must_be_released(name),
                    machine.commanded_at,
                )
                found.append((key, machine))
        found.sort(key=lambda item: (item[0], item[1].name))
        return [machine for _, machine in found]

    def kills(self, machine: Machine) -> list[Command]:
        """Kills for all that must leave the machine; every one can be repeated."""
        commands = []
        for attempt in machine.attempts.values():
            if attempt.stop_grace is None or attempt.state in UNSENT:
                continue
            if attempt.state is AttemptState.FLUSHING and attempt.stop_grace > 0:
                continue
            commands.append(
                wire.kill(attempt.task_name, attempt.attempt_number, attempt.stop_grace)
            )
        for task_name, attempt_number in machine.orphans:
            commands.append(wire.kill(task_name, attempt_number, 0.0))
        return commands
