"""Execution of tasks on the simulated machines; gangs start and end together."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from tests.fakes.worker import FakeTask, FakeWorker

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation


class TaskExecution:
    """Tracks the starts and results of all tasks."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.starts = 0
        self.first_start_at: dict[str, float] = {}  # by job
        self.completed: set[tuple[str, int]] = set()  # job and index of each task that is done
        self.job_run_s: dict[str, float] = {}  # run time of each task, by job
        self.task_run_s: dict[tuple[str, int], float] = {}  # overrides for single tasks

    def record_start(self, task: FakeTask) -> None:
        """Record the start of a task."""
        self.starts += 1
        self.first_start_at.setdefault(task.job, self._simulation.clock.now)

    def run_time_s(self, task: FakeTask) -> float:
        """Return the run time of a task; a replica runs without end."""
        run_s = self.task_run_s.get((task.job, task.index))
        if run_s is not None:
            return run_s
        if task.spec["shape"] == "daemon":
            return math.inf
        return self.job_run_s[task.job]

    def gang_members(self, task: FakeTask) -> list[tuple[FakeWorker, FakeTask]]:
        """Return the tasks of the same gang and attempt, with their workers."""
        return [
            (worker, member)
            for worker in self._simulation.cloud.workers.values()
            for member in worker.tasks.values()
            if member.job == task.job and member.attempt_number == task.attempt_number
        ]

    def start_gang_if_complete(self, worker: FakeWorker, task: FakeTask) -> None:
        """Run a gang once all its tasks have gathered, or end a task that waited too long."""
        max_wait_s = self._simulation.settings.cluster.workers.gang_wait_s
        gathered = [each for _, each in self.gang_members(task) if each.state == "gathering"]
        if len({each.index for each in gathered}) == task.spec["frames"]:
            for owner, member in self.gang_members(task):
                if member.state == "gathering":
                    member.state = "running"
                    member.remaining = self.run_time_s(task)
                    owner.state_changed = True
        elif self._simulation.clock.now - task.gathering_since > max_wait_s:
            worker.end_task(task, "incomplete")

    def complete(self, worker: FakeWorker, task: FakeTask) -> None:
        """End a task that has run for its time."""
        self._end_completed(worker, task)
        self._simulation.users.on_task_completed(task)

    def job_is_complete(self, task: FakeTask) -> bool:
        """Return whether all tasks of the task's job are done."""
        return all((task.job, index) in self.completed for index in range(task.spec["frames"]))

    def _end_completed(self, worker: FakeWorker, task: FakeTask) -> None:
        if task.spec["shape"] == "daemon":
            worker.end_task(task, "done")
        elif task.spec["shape"] == "gang":
            self._end_gang(worker, task)
        else:
            self.completed.add((task.job, task.index))
            worker.end_task(task, "done")

    def _end_gang(self, worker: FakeWorker, task: FakeTask) -> None:
        """Complete all tasks of a gang at once, or end this one if some are missing."""
        running = [each for each in self.gang_members(task) if each[1].state == "running"]
        if len(running) != task.spec["frames"]:
            worker.end_task(task, "peers")
            return
        for owner, member in running:
            self.completed.add((member.job, member.index))
            owner.end_task(member, "done")
