"""Jobs, and the runs of their tasks on machines, as explicit state machines."""

from __future__ import annotations

import base64
import heapq
from collections.abc import Iterator
from enum import Enum

from topazhold.wire import messages as wire
from topazhold.wire.messages import JobSpec

#: Tasks whose done marks share one value of the state service.
TASKS_PER_PART = 4096

#: The wait aimed at for a class that has no aim for its start.
NO_OBJECTIVE = 1e9

Resources = tuple[float, float, float]


class AttemptState(Enum):
    """Where one attempt of one task stands."""

    INTENDED = "intended"  # planned; the intent may not be written yet
    WRITTEN = "written"  # the intent is in the state service
    ORDERED = "ordered"  # the launch went out in a heartbeat's answer
    PULLING = "pulling"
    GATHERING = "gathering"
    RUNNING = "running"
    FLUSHING = "flushing"
    ENDED = "ended"  # reported as ended, not cleared yet
    GONE = "gone"  # proven not to be on its machine


class GangState(Enum):
    """Where a gang as a whole stands."""

    WAITING = "waiting"
    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


class JobState(Enum):
    LIVE = "live"
    DONE = "done"
    ABORTED = "aborted"


_OBSERVED = {
    wire.PULLING: AttemptState.PULLING,
    wire.GATHERING: AttemptState.GATHERING,
    wire.RUNNING: AttemptState.RUNNING,
    wire.FLUSHING: AttemptState.FLUSHING,
}

# Tuples: looking an enum's member up in a set calls its hash function, in Python.
#: States in which the worker is known to have the task.
ON_MACHINE = tuple(_OBSERVED.values())
#: Those of them in which the task has its image.
WITH_IMAGE = (AttemptState.GATHERING, AttemptState.RUNNING, AttemptState.FLUSHING)
#: States in which no launch has left this node, so dropping the run is safe.
UNSENT = (AttemptState.INTENDED, AttemptState.WRITTEN)


class TaskAttempt:
    """One attempt of one task on one machine."""

    __slots__ = (
        "job",
        "index",
        "attempt_number",
        "machine",
        "incarnation",
        "state",
        "since",
        "launch_sequence",
        "running_since",
        "stop_grace",
        "stop_at",
        "possibly_running",
        "cause",
        "kept",
        "task_name",
    )

    def __init__(self, job: Job, index: int, attempt_number: int, machine: str, now: float) -> None:
        self.job = job
        self.index = index
        self.attempt_number = attempt_number
        self.machine = machine
        self.task_name = wire.task_name_of(job.id, index)
        self.incarnation = 0
        self.state = AttemptState.INTENDED
        self.since = now
        self.launch_sequence = -1
        self.running_since: float | None = None
        self.stop_grace: float | None = None
        self.stop_at = 0.0
        self.possibly_running = False
        self.cause: str | None = None
        self.kept = False

    def _enter(self, state: AttemptState, now: float) -> None:
        if state is not self.state:
            self.state = state
            self.since = now

    def written(self, now: float) -> None:
        """The intent is committed."""
        assert self.state is AttemptState.INTENDED
        self._enter(AttemptState.WRITTEN, now)

    def order(self, sequence: int, now: float) -> None:
        """The launch goes out in the answer to report `sequence`."""
        assert self.state is AttemptState.WRITTEN
        self.launch_sequence = sequence
        self._enter(AttemptState.ORDERED, now)

    def launch_lost(self, now: float) -> None:
        """A newer heartbeat lacks the task: that answer was dropped for good."""
        assert self.state is AttemptState.ORDERED
        self._enter(AttemptState.WRITTEN, now)

    def observe(self, stage: str, now: float) -> None:
        """The worker reports the task in `stage`."""
        state = _OBSERVED.get(stage)
        if state is None or self.state in (AttemptState.ENDED, AttemptState.GONE):
            return
        self.possibly_running = False
        if state is AttemptState.RUNNING and self.running_since is None:
            self.running_since = now
        self._enter(state, now)

    def end(self, cause: str, kept: bool, now: float) -> None:
        """The worker reports that the task has ended."""
        self.possibly_running = False
        self.cause = cause
        self.kept = kept
        self._enter(AttemptState.ENDED, now)

    def vanish(self, now: float) -> None:
        """It is proven that the task is not on its machine and won't be."""
        self._enter(AttemptState.GONE, now)

    def stop(self, grace_s: float, now: float) -> None:
        """Ask for a stop; a later call can only shorten the grace."""
        if self.stop_grace is None:
            self.stop_at = now
            self.stop_grace = grace_s
        else:
            self.stop_grace = min(self.stop_grace, grace_s)

    @property
    def stopping(self) -> bool:
        return self.stop_grace is not None

    @property
    def present(self) -> bool:
        """Whether it counts against room, quota and place."""
        return self.state not in (AttemptState.ENDED, AttemptState.GONE)


class Job:
    """An accepted job with its tasks' progress."""

    def __init__(self, spec: JobSpec, arrived: float, submitted: float, node: str) -> None:
        self.spec = spec
        self.id = spec.id
        self.arrived = arrived  # on the local steady clock
        self.submitted = submitted  # time of day
        self.node = node
        self.revision = 0
        self.state = JobState.LIVE
        self.gang = spec.gang
        self.service = spec.service
        self.need: Resources = (spec.cpus, spec.gpus, spec.memory_gb)
        self.urgency_level = wire.URGENCIES.index(spec.urgency)
        self.within_guarantee = False
        self.wait_objective_s = NO_OBJECTIVE
        self.is_aged = False  # a gang that has waited long
        self.gathering_until = -1e9  # work gives way to it, on all its machines
        self.attempts: dict[int, TaskAttempt] = {}
        self.completed = bytearray(spec.tasks)
        self.completed_count = 0
        self.unsaved_parts: set[int] = set()  # parts with marks not yet saved
        self.saved_at = arrived
        self.next_unplaced = 0  # no task from here on was ever placed
        self.requeued: list[int] = []
        self.gang_state = GangState.WAITING
        self.gang_since = arrived
        self.progress_s = 0.0
        self.failed_on: dict[str, float] = {}
        self.not_before = 0.0
        self.cancelled_at: float | None = None
        self.starting_reservation = 0  # serial of the hold that the gang is starting with
        self.used_reservation = 0  # serial of the newest hold that is used up

    # -- tasks -----------------------------------------------------------

    @property
    def waiting_count(self) -> int:
        """Tasks that are neither done nor on a machine."""
        return self.spec.tasks - self.completed_count - len(self.attempts)

    def running_count(self) -> int:
        return sum(1 for attempt in self.attempts.values() if attempt.state is AttemptState.RUNNING)

    def waiting_tasks(self) -> Iterator[int]:
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
        self.attempts[attempt.index] = attempt

    def remove_attempt(self, attempt: TaskAttempt) -> None:
        """Forget a run that has ended or is proven gone."""
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
    def complete(self) -> bool:
        return self.completed_count == self.spec.tasks

    def zones_used(self, zone_of: dict[str, str]) -> dict[str, int]:
        """Present tasks per zone; machines unknown by now count under ''."""
        zones: dict[str, int] = {}
        for attempt in self.attempts.values():
            if attempt.present:
                zone = zone_of.get(attempt.machine, "")
                zones[zone] = zones.get(zone, 0) + 1
        return zones

    # -- changes of state ------------------------------------------------

    def finish(self) -> None:
        assert self.state is JobState.LIVE
        self.state = JobState.DONE

    def abort(self, cancelled_at: float) -> None:
        self.state = JobState.ABORTED
        self.cancelled_at = cancelled_at

    def enter_gang_state(self, state: GangState, now: float) -> None:
        if state is not self.gang_state:
            self.gang_state = state
            self.gang_since = now

    # -- the saved form --------------------------------------------------

    def part_text(self, part: int) -> str:
        """Done marks of one part; text, since the interface has no binary data."""
        marks = self.completed[part * TASKS_PER_PART : (part + 1) * TASKS_PER_PART]
        return _marks_to_text(marks)

    def load_part(self, part: int, text: str) -> None:
        """Done marks as they were saved; none are believed of a service."""
        if self.service:
            return
        for offset in _text_to_marks(text):
            index = part * TASKS_PER_PART + offset
            if index < self.spec.tasks and not self.completed[index]:
                self.completed[index] = 1
                self.completed_count += 1


def _marks_to_text(marks: bytearray) -> str:
    if not any(marks):
        return ""
    bits = 0
    for offset, mark in enumerate(marks):
        if mark:
            bits |= 1 << offset
    return base64.b64encode(bits.to_bytes((len(marks) + 7) // 8, "little")).decode("ascii")


def _text_to_marks(text: str) -> Iterator[int]:
    bits = int.from_bytes(base64.b64decode(text), "little")
    while bits:
        low = bits & -bits
        yield low.bit_length() - 1
        bits ^= low
