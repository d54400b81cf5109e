"""Accepted jobs with their tasks' progress, and gangs as explicit state machines."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from enum import Enum

from topazhold.core.completion_bitmap import pack_bitmap, unpack_bitmap
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.wire import messages as wire
from topazhold.wire.jobs import JobSpec

#: Tasks whose completion bitmap shares one value of the key-value store: a part.
TASKS_PER_PART = 4096

#: Seconds; the wait objective of a class that has none for its start.
NO_OBJECTIVE = 1e9
#: Seconds; earlier than any time of a steady clock.
DISTANT_PAST = -1e9

#: CPUs, GPUs, memory in GB.
Resources = tuple[float, float, float]


class GangState(Enum):
    """How far a gang as a whole has come."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class JobState(Enum):
    """Whether a job still has work to do, and how it ended if not."""

    LIVE = "live"
    DONE = "done"
    ABORTED = "aborted"


class Job:
    """An accepted job with its tasks' progress."""

    def __init__(self, spec: JobSpec, arrived: float, submitted: float, node: str) -> None:
        """`node` is the controller that accepted it; times are seconds.

        `arrived` and what follows from it are on the local steady clock, `submitted` is the
        time of day.
        """
        self.spec = spec
        self.id = spec.id
        self.arrived = arrived
        self.submitted = submitted
        self.node = node
        self.revision = 0  # of its value in the key-value store
        self.state = JobState.LIVE
        self.gang = spec.gang
        self.service = spec.service
        self.need: Resources = (spec.cpus, spec.gpus, spec.memory_gb)
        self.urgency_level = wire.URGENCIES.index(spec.urgency)
        self.within_guarantee = False
        self.wait_objective_s = NO_OBJECTIVE
        self.is_aged = False  # a gang that has waited so long that it goes first
        self.preempting_until = DISTANT_PAST  # till then others are preempted on all its machines
        self.attempts: dict[int, TaskAttempt] = {}  # by task index
        self.completed = bytearray(spec.tasks)
        self.completed_count = 0
        self.unsaved_parts: set[int] = set()  # with completions that are not stored yet
        self.saved_at = arrived
        self.next_unplaced = 0  # no task from here on was ever placed
        self.requeued: list[int] = []  # a heap of tasks to place again
        self.gang_state = GangState.WAITING
        self.gang_since = arrived
        self.progress_s = 0.0  # of a gang, as its checkpoints have it
        self.failed_on: dict[str, float] = {}  # machine -> when a task failed there
        self.not_before = 0.0  # no task is placed earlier
        self.cancelled_at: float | None = None
        self.starting_reservation = 0  # serial of the reservation that the gang starts with
        self.used_reservation = 0  # serial of the newest reservation that is used up

    # -- tasks -----------------------------------------------------------

    @property
    def waiting_count(self) -> int:
        """Tasks that are neither completed nor on a machine."""
        return self.spec.tasks - self.completed_count - len(self.attempts)

    def running_count(self) -> int:
        """Tasks that are running."""
        return sum(1 for attempt in self.attempts.values() if attempt.state is AttemptState.RUNNING)

    def pop_waiting_tasks(self) -> Iterator[int]:
        """Tasks to place, lowest first; each is taken off as it is yielded."""
        while self.requeued:
            index = heapq.heappop(self.requeued)
            if not self.completed[index] and index not in self.attempts:
                yield index
        while self.next_unplaced < self.spec.tasks:
            index = self.next_unplaced
            self.next_unplaced += 1
            if not self.completed[index] and index not in self.attempts:
                yield index

    def requeue(self, index: int) -> None:
        """Queue a task that was taken off the queue."""
        if index < self.next_unplaced and not self.completed[index]:
            heapq.heappush(self.requeued, index)

    def add_attempt(self, attempt: TaskAttempt) -> None:
        """Make it the attempt of its task."""
        self.attempts[attempt.index] = attempt

    def remove_attempt(self, attempt: TaskAttempt) -> None:
        """Forget an attempt that has ended or is proven gone."""
        if self.attempts.get(attempt.index) is attempt:
            del self.attempts[attempt.index]
            if self.state is JobState.LIVE:
                self.requeue(attempt.index)

    def mark_completed(self, index: int) -> None:
        """A task has completed; a service's replica never does, whatever its worker says."""
        if not self.completed[index] and not self.service:
            self.completed[index] = 1
            self.completed_count += 1
            self.unsaved_parts.add(index // TASKS_PER_PART)

    @property
    def is_complete(self) -> bool:
        """Whether all tasks have completed."""
        return self.completed_count == self.spec.tasks

    def zones_used(self, zone_of: dict[str, str]) -> dict[str, int]:
        """Present attempts per zone; machines unknown by now count under ''."""
        zones: dict[str, int] = {}
        for attempt in self.attempts.values():
            if attempt.is_active:
                zone = zone_of.get(attempt.machine, "")
                zones[zone] = zones.get(zone, 0) + 1
        return zones

    # -- changes of state ------------------------------------------------

    def finish(self) -> None:
        """All tasks have completed."""
        assert self.state is JobState.LIVE
        self.state = JobState.DONE

    def abort(self, cancelled_at: float) -> None:
        """The job was cancelled at that time of the steady clock."""
        self.state = JobState.ABORTED
        self.cancelled_at = cancelled_at

    def enter_gang_state(self, state: GangState, now: float) -> None:
        """Change the gang's state; entering the present one changes nothing."""
        if state is not self.gang_state:
            self.gang_state = state
            self.gang_since = now

    # -- the stored form --------------------------------------------------

    def part_text(self, part: int) -> str:
        """Completions of one part as they are stored."""
        return pack_bitmap(self.completed[part * TASKS_PER_PART : (part + 1) * TASKS_PER_PART])

    def load_part(self, part: int, text: str) -> None:
        """Take over stored completions; a service has none, whatever is stored.

        Raises:
            ValueError: the text is wrongly padded Base64.
        """
        if self.service:
            return
        for offset in unpack_bitmap(text):
            index = part * TASKS_PER_PART + offset
            if index < self.spec.tasks and not self.completed[index]:
                self.completed[index] = 1
                self.completed_count += 1
