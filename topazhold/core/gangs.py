"""The gang's state machine: start together, or stop in order and wait again."""

from __future__ import annotations

from topazhold.core.jobs import GangState, Job
from topazhold.core.task_attempts import ON_MACHINE, AttemptState, TaskAttempt

#: Heartbeat intervals from the last fetched image until all tasks must run.
START_HEARTBEATS = 1.5
#: Heartbeat intervals from the intents until all launches must have been observed.
LAUNCH_HEARTBEATS = 3.5
#: Share of the workers' own limit for a gang's start, which must not expire first.
WAIT_SHARE = 0.8


class GangTimeouts:
    """Time limits of a gang's start in seconds, as ratios to the workers' settings."""

    def __init__(self, heartbeat_interval_s: float, gang_wait_s: float) -> None:
        self.start_s = START_HEARTBEATS * heartbeat_interval_s
        self.launch_s = LAUNCH_HEARTBEATS * heartbeat_interval_s
        self.wait_s = WAIT_SHARE * gang_wait_s


def start(job: Job, attempts: list[TaskAttempt], now: float) -> None:
    """The gang's intents are planned."""
    assert job.gang_state is GangState.WAITING and not job.attempts
    for attempt in attempts:
        job.add_attempt(attempt)
    job.enter_gang_state(GangState.STARTING, now)


def stop(job: Job, grace_s: float, now: float) -> list[TaskAttempt]:
    """Stop all tasks at once; the attempts that this newly stops are returned.

    A stop reaches a gang in order only if every task is told within
    `gang_peer_s` of the first, so none is ever stopped alone.
    """
    newly_stopped = []
    for attempt in job.attempts.values():
        if attempt.present:
            if not attempt.stopping or (attempt.stop_grace or 0.0) > grace_s:
                newly_stopped.append(attempt)
            attempt.stop(grace_s, now)
    job.enter_gang_state(GangState.STOPPING, now)
    return newly_stopped


def advance(job: Job, timeouts: GangTimeouts, now: float) -> str | None:
    """Move on with what is known of the tasks; a reason if the gang must stop."""
    attempts = job.attempts
    if job.gang_state is GangState.STOPPING:
        if not attempts:
            job.enter_gang_state(GangState.WAITING, now)
        return None
    if job.gang_state is GangState.WAITING:
        return None
    if len(attempts) + job.completed_count < job.spec.tasks:
        return "a task is gone"
    if job.gang_state is GangState.STARTING:
        if any(attempt.state is AttemptState.RUNNING for attempt in attempts.values()):
            job.enter_gang_state(GangState.RUNNING, now)
            return None
        return _start_failure(job, timeouts, now)
    return None


def _start_failure(job: Job, timeouts: GangTimeouts, now: float) -> str | None:
    last_image_at = 0.0
    still_pulling = False
    for attempt in job.attempts.values():
        if attempt.state is AttemptState.PULLING:
            still_pulling = True
        elif attempt.state is AttemptState.GATHERING:
            last_image_at = max(last_image_at, attempt.since)
        elif attempt.state not in ON_MACHINE and now - job.gang_since > timeouts.launch_s:
            return f"{attempt.machine} did not take its task"
    if (
        not still_pulling
        and last_image_at
        and now - max(last_image_at, job.gang_since) > timeouts.start_s
    ):
        return "not running a heartbeat interval after its images"
    if now - job.gang_since > timeouts.wait_s:
        gathering_since = [
            attempt.since
            for attempt in job.attempts.values()
            if attempt.state is AttemptState.GATHERING
        ]
        if gathering_since and now - min(gathering_since) > timeouts.wait_s:
            return "waited too long for an image"
    return None


def restore(job: Job, now: float) -> None:
    """A new leader's first view of a gang: its intents are its tasks."""
    if not job.attempts:
        job.enter_gang_state(GangState.WAITING, now)
    elif (
        len(job.attempts) < job.spec.tasks
        or len({attempt.attempt_number for attempt in job.attempts.values()}) > 1
    ):
        job.enter_gang_state(GangState.STOPPING, now)
    else:
        job.enter_gang_state(GangState.STARTING, now)
