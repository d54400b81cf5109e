"""Attempts to run tasks on machines, and their states."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from topazhold.wire import messages as wire

if TYPE_CHECKING:
    from topazhold.core.jobs import Job


class AttemptState(Enum):
    """State of a task attempt."""

    INTENDED = "intended"  # planned; the intent may not be written yet
    WRITTEN = "written"  # the intent is in the key-value store
    LAUNCH_SENT = "ordered"  # the launch was sent in the response to a heartbeat
    PULLING = "pulling"
    GATHERING = "gathering"
    RUNNING = "running"
    FLUSHING = "flushing"
    ENDED = "ended"  # a heartbeat shows its end; not yet cleared on the worker
    GONE = "gone"  # proven not to be on its machine


_OBSERVED = {
    wire.PULLING: AttemptState.PULLING,
    wire.GATHERING: AttemptState.GATHERING,
    wire.RUNNING: AttemptState.RUNNING,
    wire.FLUSHING: AttemptState.FLUSHING,
}

# Tuples, because a set lookup would call Enum.__hash__, which is written in Python.
#: States in which the worker is known to have the task.
ON_MACHINE = tuple(_OBSERVED.values())
#: States in which the worker has the task's image.
WITH_IMAGE = (AttemptState.GATHERING, AttemptState.RUNNING, AttemptState.FLUSHING)
#: States in which no launch has been sent, so the attempt can be removed safely.
UNSENT = (AttemptState.INTENDED, AttemptState.WRITTEN)


class TaskAttempt:
    """An attempt to run a task on a machine."""

    __slots__ = (
        "job",
        "index",
        "attempt_number",
        "machine",
        "incarnation",
        "state",
        "state_since",
        "launch_sequence",
        "launch_held",
        "launch_due_since",
        "running_since",
        "stop_grace_s",
        "stop_requested_at",
        "possibly_running",
        "cause",
        "checkpoint_kept",
        "task_name",
    )

    def __init__(self, job: Job, index: int, attempt_number: int, machine: str, now: float) -> None:
        """Create an attempt; all times are seconds on the controller's monotonic clock."""
        self.job = job
        self.index = index  # of the task in its job
        self.attempt_number = attempt_number
        self.machine = machine
        self.task_name = wire.task_name_of(job.id, index)
        self.incarnation = 0  # of the worker that the launch is sent to
        self.state = AttemptState.INTENDED
        self.state_since = now  # when it entered its state
        self.launch_sequence = -1  # of the heartbeat that the launch answered
        self.launch_held = False  # the launch is not sent yet, though the intent may be written
        self.launch_due_since = now  # when the launch could first be sent, as far as held back
        self.running_since: float | None = None
        self.stop_grace_s: float | None = None  # None unless a stop is requested
        self.stop_requested_at = 0.0  # when the stop was first requested
        self.possibly_running = False  # from an earlier term, not seen in a heartbeat yet
        self.cause: str | None = None  # reported cause of its end
        self.checkpoint_kept = False  # as reported by the worker

    def _enter(self, state: AttemptState, now: float) -> None:
        if state is not self.state:
            self.state = state
            self.state_since = now

    def mark_written(self, now: float) -> None:
        """Record that the intent is committed."""
        assert self.state is AttemptState.INTENDED
        self._enter(AttemptState.WRITTEN, now)

    def hold_launch(self, held: bool, now: float) -> None:
        """Hold back the launch, or no longer; `launch_due_since` is when that ended."""
        if self.launch_held or held:
            self.launch_due_since = now
        self.launch_held = held

    def mark_launch_sent(self, sequence: int, now: float) -> None:
        """Record that the response to heartbeat `sequence` carries the launch."""
        assert self.state is AttemptState.WRITTEN
        self.launch_sequence = sequence
        self._enter(AttemptState.LAUNCH_SENT, now)

    def mark_launch_lost(self, now: float) -> None:
        """Record that the launch was lost: a newer heartbeat lacks the task."""
        assert self.state is AttemptState.LAUNCH_SENT
        self._enter(AttemptState.WRITTEN, now)

    def observe(self, stage: str, now: float) -> None:
        """Record the protocol's `stage` in which a heartbeat shows the task."""
        state = _OBSERVED.get(stage)
        if state is None or self.state in (AttemptState.ENDED, AttemptState.GONE):
            return
        self.possibly_running = False
        if state is AttemptState.RUNNING and self.running_since is None:
            self.running_since = now
        self._enter(state, now)

    def mark_ended(self, cause: str, checkpoint_kept: bool, now: float) -> None:
        """Record that a heartbeat shows the task as ended."""
        self.possibly_running = False
        self.cause = cause
        self.checkpoint_kept = checkpoint_kept
        self._enter(AttemptState.ENDED, now)

    def mark_gone(self, now: float) -> None:
        """Record proof that the task is not on its machine and never will be."""
        self._enter(AttemptState.GONE, now)

    def request_stop(self, grace_s: float, now: float) -> None:
        """Request a stop; later calls can only shorten the grace period."""
        if self.stop_grace_s is None:
            self.stop_requested_at = now
            self.stop_grace_s = grace_s
        else:
            self.stop_grace_s = min(self.stop_grace_s, grace_s)

    @property
    def stopping(self) -> bool:
        """Whether a stop has been requested."""
        return self.stop_grace_s is not None

    @property
    def is_active(self) -> bool:
        """Whether the attempt counts against resources, quota and placement constraints."""
        return self.state not in (AttemptState.ENDED, AttemptState.GONE)
