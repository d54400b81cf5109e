"""The gang's state machine: start together, or stop in order and wait again."""

from __future__ import annotations

from topazhold.core.jobs import GangState, Job
from topazhold.core.task_attempts import ON_MACHINE, AttemptState, TaskAttempt


class GangClock:
    """Time limits of a gang's start in seconds, as ratios to the workers' settings."""

    def __init__(self, heartbeat_interval_s: float, gang_wait_s: float) -> None:
        self.start_s = 1.5 * heartbeat_interval_s  # from the last image to all running
        self.launch_s = 3.5 * heartbeat_interval_s  # from the intents to all launches seen
        self.wait_s = 0.8 * gang_wait_s  # the workers' own limit must not come first


def begin(job: Job, attempts: list[TaskAttempt], now: float) -> None:
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


def step(job: Job, clock: GangClock, now: float) -> str | None:
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
        return _start_fault(job, clock, now)
    return None


def _start_fault(job: Job, clock: GangClock, now: float) -> str | None:
    last_image = 0.0
    pulling = False
    for attempt in job.attempts.values():
        if attempt.state is AttemptState.PULLING:
            pulling = True
        elif attempt.state is AttemptState.GATHERING:
            last_image = max(last_image, attempt.since)
        elif attempt.state not in ON_MACHINE and now - job.gang_since > clock.launch_s:
            return f"{attempt.machine} did not take its task"
    if not pulling and last_image and now - max(last_image, job.gang_since) > clock.start_s:
        return "not running a heartbeat interval after its images"
    if now - job.gang_since > clock.wait_s:
        waited = [
            attempt.since
            for attempt in job.attempts.values()
            if attempt.state is AttemptState.GATHERING
        ]
        if waited and now - min(waited) > clock.wait_s:
            return "waited too long for an image"
    return None


def resume(job: Job, now: float) -> None:
    """A new leader's first view of a gang: its intents are its tasks."""
    if not job.attempts:
        job.enter_gang_state(GangState.WAITING, now)
    elif (
        len(job.attempts) < job.spec.tasks
        or len({r.attempt_number for r in job.attempts.values()}) > 1
    ):
        job.enter_gang_state(GangState.STOPPING, now)
    else:
        job.enter_gang_state(GangState.STARTING, now)
