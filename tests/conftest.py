"""What the direct tests share: specs, schedulers and reports made to measure."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from tests.standins import settings_for
from topazhold.core.jobs import Job
from topazhold.core.preemption import queue_key
from topazhold.core.reservations import Reservation, ReservationTable
from topazhold.core.scheduler import Scheduler
from topazhold.core.task_attempts import TaskAttempt
from topazhold.settings import Operator
from topazhold.wire.messages import Command, Heartbeat, JobSpec, MachineType, TaskStatus


def make_spec(number: int = 1, **changes: Any) -> JobSpec:
    fields: dict[str, Any] = {
        "id": f"wk-{number:06d}",
        "job_class": "train",
        "team": "red",
        "shape": "gang",
        "urgency": "normal",
        "tasks": 2,
        "cpus": 4.0,
        "gpus": 2.0,
        "memory_gb": 8.0,
        "image": "img-0",
        "image_gb": 4.0,
        "same_place": True,
        "scatter": False,
        "spot": False,
        "estimated_run_s": 20.0,
        "checkpoint_s": 5.0,
        "save_s": 1.0,
    }
    fields.update(changes)
    return JobSpec(**fields)


MACHINE_TYPE = MachineType("b1", 16.0, 4.0, 64.0, 10.0, 30.0, ["a", "b"], 100.0, 2.0, 4.0)


class Bench:
    """A scheduler with ready machines, driven by hand."""

    def __init__(self, machines: int = 4, term: int = 5) -> None:
        self.now = 100.0
        settings = settings_for("hive-0", "a", [])
        self.reservation_table = ReservationTable("hive-0")
        self.scheduler = Scheduler(
            settings, Operator(), term, self.reservation_table, Random(1), self.now
        )
        self.scheduler.machine_types = {"b1": MACHINE_TYPE}
        self.sequences: dict[str, int] = {}
        self.tasks: dict[str, dict[tuple[str, int], TaskStatus]] = {}
        for number in range(machines):
            self.report(f"host-{number}", zone="ab"[number % 2])

    def job(self, spec: JobSpec) -> Job:
        job = Job(spec, self.now, self.now + 1e9, "hive-0")
        self.scheduler.add_job(job)
        return job

    def reservation(self, job: Job, slots: dict[str, int], serial: int = 1) -> Reservation:
        reservation = Reservation(job.id, slots, job.need, 0.0, serial, 1e9, True, queue_key(job))
        self.reservation_table.reservations.setdefault("hive-0", {})[job.id] = reservation
        return reservation

    def plan(self) -> list[TaskAttempt]:
        """Plan and commit."""
        attempts = self.scheduler.plan(self.now)
        self.scheduler.intents_written(attempts, self.now)
        return attempts

    def report(
        self,
        name: str,
        zone: str = "a",
        term: int | None = None,
        incarnation: int = 1,
        notice_s: float | None = None,
        carry_out: bool = True,
    ) -> list[Command]:
        """A worker's report of the tasks that it has, and the commands it gets."""
        self.sequences[name] = self.sequences.get(name, 0) + 1
        tasks = self.tasks.setdefault(name, {})
        machine = self.scheduler.machines.get(name)
        heartbeat = Heartbeat(
            name,
            f"{name}:9",
            "b1",
            machine.zone if machine else zone,
            False,
            incarnation,
            self.sequences[name],
            self.scheduler.term if term is None else term,
            list(tasks.values()),
            notice_s,
        )
        heard = self.scheduler.on_heartbeat(heartbeat, False, self.now)
        commands = self.scheduler.answer(heard, heartbeat, self.now) if heard is not None else []
        if carry_out:
            for command in commands:
                key = (command.task_name, command.attempt_number)
                if command.kind == "launch":
                    tasks[key] = TaskStatus(command.task_name, command.attempt_number, "pulling")
                elif command.kind == "clear":
                    tasks.pop(key, None)
        return commands

    def state(self, name: str, stage: str, cause: str | None = None, kept: bool = False) -> None:
        """All tasks on a machine enter a stage."""
        for task_name in self.tasks[name].values():
            task_name.state, task_name.cause, task_name.kept = stage, cause, kept

    def all_report(self) -> list[Command]:
        commands = []
        for name in list(self.scheduler.machines):
            commands += self.report(name)
        return commands


@pytest.fixture
def bench() -> Bench:
    return Bench()
