"""What the direct tests share: specs, schedulers and reports made to measure."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest

from tests.fakes.controllers import make_settings
from topazhold.core.holds import Hold, HoldTable
from topazhold.core.jobs import Job, Run
from topazhold.core.preemption import turn
from topazhold.core.scheduler import Scheduler
from topazhold.settings import Operator
from topazhold.wire.messages import Command, JobSpec, MachineType, Report, TaskReport


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
        settings = make_settings("hive-0", "a", [])
        self.hold_table = HoldTable("hive-0")
        self.scheduler = Scheduler(settings, Operator(), term, self.hold_table, Random(1), self.now)
        self.scheduler.machine_types = {"b1": MACHINE_TYPE}
        self.sequences: dict[str, int] = {}
        self.tasks: dict[str, dict[tuple[str, int], TaskReport]] = {}
        for number in range(machines):
            self.report(f"host-{number}", zone="ab"[number % 2])

    def job(self, spec: JobSpec) -> Job:
        job = Job(spec, self.now, self.now + 1e9, "hive-0")
        self.scheduler.add_job(job)
        return job

    def hold(self, job: Job, slots: dict[str, int], serial: int = 1) -> Hold:
        hold = Hold(job.id, slots, job.need, 0.0, serial, 1e9, True, turn(job))
        self.hold_table.holds.setdefault("hive-0", {})[job.id] = hold
        return hold

    def plan(self) -> list[Run]:
        """Plan and commit."""
        runs = self.scheduler.plan(self.now)
        self.scheduler.intents_written(runs, self.now)
        return runs

    def report(
        self,
        name: str,
        zone: str = "a",
        term: int | None = None,
        session: int = 1,
        notice_s: float | None = None,
        carry_out: bool = True,
    ) -> list[Command]:
        """A worker's report of the tasks that it has, and the commands it gets."""
        self.sequences[name] = self.sequences.get(name, 0) + 1
        tasks = self.tasks.setdefault(name, {})
        machine = self.scheduler.machines.get(name)
        rep = Report(
            name,
            f"{name}:9",
            "b1",
            machine.zone if machine else zone,
            False,
            session,
            self.sequences[name],
            self.scheduler.term if term is None else term,
            list(tasks.values()),
            notice_s,
        )
        heard = self.scheduler.report(rep, False, self.now)
        commands = self.scheduler.answer(heard, rep, self.now) if heard is not None else []
        if carry_out:
            for command in commands:
                key = (command.task_name, command.attempt)
                if command.kind == "launch":
                    tasks[key] = TaskReport(command.task_name, command.attempt, "pulling")
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
