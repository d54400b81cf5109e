"""Attempts of tasks on machines, as an explicit state machine."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from topazhold.wire import messages as wire

if TYPE_CHECKING:
    from topazhold.core.jobs import Job


class AttemptState(Enum):
    """How far one attempt of one task has come."""

    INTENDED = "intended"  # planned; the intent may not be written yet
    WRITTEN = "written"  # the intent is in the key-value store
    LAUNCH_SENT = "ordered"  # the launch went out in the response to a heartbeat
    PULLING = "pulling"
    GATHERING = "gathering"
    RUNNING = "running"
    FLUSHING = "flushing"
    ENDED = "ended"  # a heartbeat shows its end; not cleared yet
    GONE = "gone"  # proven not to be on its machine


_OBSERVED = {
    wire.PULLING: AttemptState.PULLING,
    wire.GATHERING: AttemptState.GATHERING,
    wire.RUNNING: AttemptState.RUNNING,
    wire.FLUSHING: AttemptState.FLUSHING,
}

# Tuples: looking an enum's member up in a set calls its hash function, in Python.
#: States in which the worker is known to have the task.
ON_MACHINE = tuple(_OBSERVED.values())
#: States in which the worker has the task's image.
WITH_IMAGE = (AttemptState.GATHERING, AttemptState.RUNNING, AttemptState.FLUSHING)
#: States in which no launch has left this controller, so that dropping the attempt is safe.
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
        "state_since",
        "launch_sequence",
        "running_since",
        "stop_grace_s",
        "stop_requested_at",
        "possibly_running",
        "cause",
        "checkpoint_kept",
        "task_name",
    )

    def __init__(self, job: Job, index: int, attempt_number: int, machine: str, now: float) -> None:
        """All times are seconds on the controller's steady clock, as `now` is."""
        self.job = job
        self.index = index  # of the task in its job
        self.attempt_number = attempt_number
        self.machine = machine
        self.task_name = wire.task_name_of(job.id, index)
        self.incarnation = 0  # of the worker that the launch is for
        self.state = AttemptState.INTENDED
        self.state_since = now  # when it entered its state
        self.launch_sequence = -1  # of the heartbeat that the launch answered
        self.running_since: float | None = None
        self.stop_grace_s: float | None = None  # seconds; None unless it is to stop
        self.stop_requested_at = 0.0  # when the stop was first requested
        self.possibly_running = False  # left by an earlier term, not in a heartbeat yet
        self.cause: str | None = None  # of its end, as the worker names it
        self.checkpoint_kept = False  # whether its checkpoint is kept, as the worker says

    def _enter(self, state: AttemptState, now: float) -> None:
        if state is not self.state:
            self.state = state
            self.state_since = now

    def mark_written(self, now: float) -> None:
        """The intent is committed."""
        assert self.state is AttemptState.INTENDED
        self._enter(AttemptState.WRITTEN, now)

    def mark_launch_sent(self, sequence: int, now: float) -> None:
        """The launch goes out in the response to heartbeat `sequence`."""
        assert self.state is AttemptState.WRITTEN
        self.launch_sequence = sequence
        self._enter(AttemptState.LAUNCH_SENT, now)

    def mark_launch_lost(self, now: float) -> None:
        """A newer heartbeat lacks the task: that response was lost for good."""
        assert self.state is AttemptState.LAUNCH_SENT
        self._enter(AttemptState.WRITTEN, now)

    def observe(self, stage: str, now: float) -> None:
        """A heartbeat shows the task in `stage`, one of the protocol's."""
        state = _OBSERVED.get(stage)
        if state is None or self.state in (AttemptState.ENDED, AttemptState.GONE):
            return
        self.possibly_running = False
        if state is AttemptState.RUNNING and self.running_since is None:
            self.running_since = now
        self._enter(state, now)

    def mark_ended(self, cause: str, checkpoint_kept: bool, now: float) -> None:
        """A heartbeat shows that the task has ended."""
        self.possibly_running = False
        self.cause = cause
        self.checkpoint_kept = checkpoint_kept
        self._enter(AttemptState.ENDED, now)

    def mark_gone(self, now: float) -> None:
        """It is proven that the task is not on its machine and won't be."""
        self._enter(AttemptState.GONE, now)

    def request_stop(self, grace_s: float, now: float) -> None:
        """Request a stop; a later call can only shorten the grace, in seconds."""
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
        """Whether it counts against resources, quota and placement constraints."""
        return self.state not in (AttemptState.ENDED, AttemptState.GONE)
