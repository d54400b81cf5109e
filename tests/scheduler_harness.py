"""Drives a scheduler step by step, without a controller, store or network."""

from __future__ import annotations

from random import Random

from tests.fakes.controllers import make_settings
from tests.job_specs import MACHINE_TYPE
from topazhold.core.jobs import Job
from topazhold.core.preemption import queue_key
from topazhold.core.reservations import Reservation, ReservationTable
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import TaskAttempt
from topazhold.operator_settings import OperatorSettings
from topazhold.wire.jobs import JobSpec
from topazhold.wire.workers import Command, Heartbeat, TaskStatus


class SchedulerHarness:
    """A scheduler with ready machines whose heartbeats are sent by the test."""

    def __init__(self, machines: int = 4, term: int = 5) -> None:
        self.now = 100.0
        settings = make_settings("hive-0", "a", [])
        self.reservation_table = ReservationTable("hive-0")
        self.scheduler = Scheduler(
            settings, OperatorSettings(), term, self.reservation_table, Random(1), self.now
        )
        self.scheduler.machine_types = {"b1": MACHINE_TYPE}
        self.sequences: dict[str, int] = {}
        self.tasks: dict[str, dict[tuple[str, int], TaskStatus]] = {}
        for number in range(machines):
            self.heartbeat(f"host-{number}", zone="ab"[number % 2])

    def add_job(self, spec: JobSpec) -> Job:
        """Add a job that is accepted now."""
        job = Job(spec, self.now, self.now + 1e9, "hive-0")
        self.scheduler.add_job(job)
        return job

    def reserve(self, job: Job, slots: dict[str, int], serial: int = 1) -> Reservation:
        """Reserve resources for a gang; `slots` maps machines to numbers of tasks."""
        reservation = Reservation(job.id, slots, job.need, 0.0, serial, 1e9, True, queue_key(job))
        self.reservation_table.reservations.setdefault("hive-0", {})[job.id] = reservation
        return reservation

    def plan_and_commit(self) -> list[TaskAttempt]:
        """Plan, mark the intents of the planned attempts as written, and return the attempts."""
        attempts = self.scheduler.plan(self.now)
        self.scheduler.intents_written(attempts, self.now)
        return attempts

    def heartbeat(
        self,
        name: str,
        zone: str = "a",
        term: int | None = None,
        incarnation: int = 1,
        notice_s: float | None = None,
        apply_commands: bool = True,
    ) -> list[Command]:
        """Send a worker's heartbeat and return the commands in the response.

        `apply_commands` is false for a response that the worker does not receive.
        """
        message = self.next_heartbeat(name, zone, term, incarnation, notice_s)
        machine = self.scheduler.on_heartbeat(message, False, self.now)
        if machine is None:
            return []
        commands = self.scheduler.response_commands(machine, message, self.now)
        if apply_commands:
            self._apply_commands(name, commands)
        return commands

    def next_heartbeat(
        self,
        name: str,
        zone: str = "a",
        term: int | None = None,
        incarnation: int = 1,
        notice_s: float | None = None,
    ) -> Heartbeat:
        """Return the next heartbeat of a worker."""
        self.sequences[name] = self.sequences.get(name, 0) + 1
        machine = self.scheduler.machines.get(name)
        return Heartbeat(
            name,
            f"{name}:9",
            "b1",
            machine.zone if machine else zone,
            False,
            incarnation,
            self.sequences[name],
            self.scheduler.term if term is None else term,
            list(self.tasks.setdefault(name, {}).values()),
            notice_s,
        )

    def _apply_commands(self, name: str, commands: list[Command]) -> None:
        """Apply launches and clears to a worker's tasks; a test sets the effect of a kill."""
        tasks = self.tasks[name]
        for command in commands:
            key = (command.task_name, command.attempt_number)
            if command.kind == "launch":
                tasks[key] = TaskStatus(command.task_name, command.attempt_number, "pulling")
            elif command.kind == "clear":
                tasks.pop(key, None)

    def set_task_states(
        self, name: str, new_state: str, cause: str | None = None, kept: bool = False
    ) -> None:
        """Set the state of all tasks on a machine."""
        for task in self.tasks[name].values():
            task.state, task.cause, task.checkpoint_saved = new_state, cause, kept

    def all_heartbeats(self) -> list[Command]:
        """Send a heartbeat of every worker and return the commands in the responses."""
        commands = []
        for name in list(self.scheduler.machines):
            commands += self.heartbeat(name)
        return commands
