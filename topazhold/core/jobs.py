"""Accepted jobs with the progress of their tasks, and the states of jobs and gangs."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from enum import Enum

from topazhold.core.completion_bitmap import pack_bitmap, unpack_bitmap
from topazhold.core.failure_pauses import MachineFailures
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.wire import messages as wire
from topazhold.wire.jobs import JobSpec

#: Tasks per part; the completion bitmap of a part is one value of the key-value store.
TASKS_PER_PART = 4096

#: Seconds; wait objective of a job whose class has no start objective.
NO_OBJECTIVE = 1e9
#: Seconds; earlier than any time of the monotonic clock.
DISTANT_PAST = -1e9

#: CPUs, GPUs, memory in GB.
Resources = tuple[float, float, float]


class GangState(Enum):
    """State of a gang as a whole."""

    WAITING = "waiting"
    STARTING = "starting"
    FETCHING = "fetching"  # its start failed; machines that still fetch its image may finish
    RUNNING = "running"
    STOPPING = "stopping"


class JobState(Enum):
    """Whether a job is live, and how it ended if not."""

    LIVE = "live"
    DONE = "done"
    ABORTED = "aborted"


class Job:
    """An accepted job with the progress of its tasks."""

    def __init__(self, spec: JobSpec, arrived: float, submitted: float, node: str) -> None:
        """Create a live job.

        `node` is the controller that accepted it. All times are seconds: `submitted` is a
        wall-clock time, `arrived` and all others are on the local monotonic clock.
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
        self.is_aged = False  # a gang moved to the front for its long wait
        self.preempting_until = DISTANT_PAST  # other tasks are preempted for it until then
        self.attempts: dict[int, TaskAttempt] = {}  # by task index
        self.completed = bytearray(spec.tasks)
        self.completed_count = 0
        self.unsaved_parts: set[int] = set()  # parts with completions not yet stored
        self.saved_at = arrived
        self.next_unplaced = 0  # tasks from this index on were never placed
        self.requeued: list[int] = []  # heap of task indices to place again
        self.gang_state = GangState.WAITING
        self.gang_since = arrived
        self.keeps_fetches = False  # a gang whose next failed start must not give up fetches
        self.progress_s = 0.0  # of a gang, as of its last checkpoint
        self.failed_on: dict[str, MachineFailures] = {}  # by machine
        self.not_before = 0.0  # time before which no task is placed
        self.cancelled_at: float | None = None
        self.starting_reservation = 0  # serial of the one the gang starts with
        self.used_reservation = 0  # serial of the newest one used up

    # -- tasks -----------------------------------------------------------

    @property
    def waiting_count(self) -> int:
        """Number of tasks that are neither completed nor have an attempt."""
        return self.spec.tasks - self.completed_count - len(self.attempts)

    def running_count(self) -> int:
        """Return the number of running tasks."""
        return sum(1 for attempt in self.attempts.values() if attempt.state is AttemptState.RUNNING)

    def pop_waiting_tasks(self) -> Iterator[int]:
        """Yield the tasks to place, requeued ones first, removing each from the queue."""
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
        """Put a task back in the queue of tasks to place."""
        if index < self.next_unplaced and not self.completed[index]:
            heapq.heappush(self.requeued, index)

    def add_attempt(self, attempt: TaskAttempt) -> None:
        """Set the current attempt of its task."""
        self.attempts[attempt.index] = attempt

    def remove_attempt(self, attempt: TaskAttempt) -> None:
        """Remove an attempt and, if the job is live, requeue its task."""
        if self.attempts.get(attempt.index) is attempt:
            del self.attempts[attempt.index]
            if self.state is JobState.LIVE:
                self.requeue(attempt.index)

    def mark_completed(self, index: int) -> None:
        """Mark a task as completed; a service's replicas never count as completed."""
        if not self.completed[index] and not self.service:
            self.completed[index] = 1
            self.completed_count += 1
            self.unsaved_parts.add(index // TASKS_PER_PART)

    @property
    def is_complete(self) -> bool:
        """Whether all tasks have completed."""
        return self.completed_count == self.spec.tasks

    def zones_used(self, zone_of: dict[str, str]) -> dict[str, int]:
        """Return the number of active attempts by zone; unknown machines count under ''."""
        zones: dict[str, int] = {}
        for attempt in self.attempts.values():
            if attempt.is_active:
                zone = zone_of.get(attempt.machine, "")
                zones[zone] = zones.get(zone, 0) + 1
        return zones

    # -- failures ----------------------------------------------------------

    def record_failure(self, machine: str, now: float) -> MachineFailures:
        """Record that a task failed on a machine; return all failures of the job there."""
        failures = self.failed_on.setdefault(machine, MachineFailures())
        failures.record(now)
        return failures

    def forget_failures(self, machine: str) -> None:
        """Forget the failures on a machine, because a task has completed there."""
        self.failed_on.pop(machine, None)

    def end_avoidance(self) -> None:
        """Avoid no machine any longer: the job itself seems to be at fault."""
        for failures in self.failed_on.values():
            failures.avoided_until = DISTANT_PAST

    def avoids(self, machine: str, now: float) -> bool:
        """Return whether no task is placed on the machine for now, after failures there."""
        failures = self.failed_on.get(machine)
        return failures is not None and failures.avoided_until > now

    def avoids_any(self, now: float) -> bool:
        """Return whether the job avoids any machine for now."""
        return any(failures.avoided_until > now for failures in self.failed_on.values())

    # -- changes of state ------------------------------------------------

    def finish(self) -> None:
        """Mark a live job as done."""
        assert self.state is JobState.LIVE
        self.state = JobState.DONE

    def abort(self, cancelled_at: float) -> None:
        """Mark the job as aborted; `cancelled_at` is on the monotonic clock."""
        self.state = JobState.ABORTED
        self.cancelled_at = cancelled_at

    def enter_gang_state(self, state: GangState, now: float) -> None:
        """Change the gang's state; entering the current state has no effect."""
        if state is not self.gang_state:
            self.gang_state = state
            self.gang_since = now

    # -- the stored form --------------------------------------------------

    def part_text(self, part: int) -> str:
        """Return the completion bitmap of one part in its stored form."""
        return pack_bitmap(self.completed[part * TASKS_PER_PART : (part + 1) * TASKS_PER_PART])

    def load_part(self, part: int, text: str) -> None:
        """Add stored completions; those stored for a service are ignored.

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
