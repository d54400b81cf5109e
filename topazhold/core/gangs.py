"""The state machine of a gang: start all tasks together, or stop them all and wait again."""

from __future__ import annotations

from topazhold.core.jobs import GangState, Job
from topazhold.core.task_attempts import ON_MACHINE, AttemptState, TaskAttempt

#: Heartbeat intervals after the last image was fetched within which the gang must run.
START_HEARTBEATS = 1.5
#: Heartbeat intervals after the intents within which every worker must have taken its task.
LAUNCH_HEARTBEATS = 3.5
#: Heartbeat intervals of the workers' limit `gang_wait_s` that are kept as a reserve for the
#: launches of other tasks, and the least share of the limit that is left.
LAUNCH_RESERVE_HEARTBEATS = 2.0
MIN_IMAGE_WAIT_SHARE = 0.5


class GangTimeouts:
    """Time limits of a gang's start in seconds, derived from the workers' settings."""

    def __init__(self, heartbeat_interval_s: float, gang_wait_s: float) -> None:
        self.start_s = START_HEARTBEATS * heartbeat_interval_s
        self.launch_s = LAUNCH_HEARTBEATS * heartbeat_interval_s
        self.max_image_wait_s = max(
            gang_wait_s - LAUNCH_RESERVE_HEARTBEATS * heartbeat_interval_s,
            MIN_IMAGE_WAIT_SHARE * gang_wait_s,
        )


def start(job: Job, attempts: list[TaskAttempt], now: float) -> None:
    """Attach the planned attempts of a waiting gang and start it."""
    assert job.gang_state is GangState.WAITING and not job.attempts
    for attempt in attempts:
        job.add_attempt(attempt)
    job.keeps_fetches = False
    job.enter_gang_state(GangState.STARTING, now)


def stop(job: Job, grace_s: float, now: float) -> list[TaskAttempt]:
    """Stop all tasks at once; return the attempts whose stop is new or has less grace.

    No task of a gang is ever stopped alone: a gang stops in an orderly way only if every task
    gets the stop within `gang_peer_s` of the first one.
    """
    newly_stopped = []
    for attempt in job.attempts.values():
        if attempt.is_active:
            if not attempt.stopping or (attempt.stop_grace_s or 0.0) > grace_s:
                newly_stopped.append(attempt)
            attempt.request_stop(grace_s, now)
    job.enter_gang_state(GangState.STOPPING, now)
    return newly_stopped


def advance(job: Job, timeouts: GangTimeouts, now: float) -> str | None:
    """Advance the gang's state by those of its tasks; return a reason if it must stop."""
    attempts = job.attempts
    if job.gang_state in (GangState.STOPPING, GangState.FETCHING):
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
    """Return why a start has failed, if it has; tasks wait for images as long as workers let them.

    Launches that were held back for the fetches of others have their time from then on.
    """
    last_image_at = 0.0
    waits_for_task = False
    for attempt in job.attempts.values():
        if attempt.state is AttemptState.PULLING:
            waits_for_task = True
        elif attempt.state is AttemptState.GATHERING:
            last_image_at = max(last_image_at, attempt.state_since)
        elif attempt.state not in ON_MACHINE:
            if now - max(job.gang_since, attempt.launch_due_since) > timeouts.launch_s:
                return f"{attempt.machine} did not take its task"
            waits_for_task = waits_for_task or attempt.launch_due_since > job.gang_since
    if (
        not waits_for_task
        and last_image_at
        and now - max(last_image_at, job.gang_since) > timeouts.start_s
    ):
        return "not running a heartbeat interval after its images"
    return None


def enter_fetching(job: Job, now: float) -> bool:
    """Keep the fetches of a failed start if they are what it lacked; return whether it does.

    A task that waited as long as its worker lets it shows that. A new leader doesn't know why
    a task of an earlier term is gone.
    """
    is_fetching = any(
        attempt.state is AttemptState.PULLING and not attempt.stopping
        for attempt in job.attempts.values()
    )
    if job.keeps_fetches and is_fetching:
        job.enter_gang_state(GangState.FETCHING, now)
        return True
    return False


def describe_tasks(job: Job, now: float) -> str:
    """Return, for the log, how long each task of a gang has been in its state and where."""
    return ", ".join(
        f"{index} on {attempt.machine} {attempt.state.value} for {now - attempt.state_since:.1f} s"
        for index, attempt in sorted(job.attempts.items())
    )


def restore(job: Job, now: float) -> None:
    """Set the state of a gang at a failover, from the attempts that its intents name."""
    job.keeps_fetches = True
    if not job.attempts:
        job.enter_gang_state(GangState.WAITING, now)
    elif (
        len(job.attempts) < job.spec.tasks
        or len({attempt.attempt_number for attempt in job.attempts.values()}) > 1
    ):
        job.enter_gang_state(GangState.FETCHING, now)
    else:
        job.enter_gang_state(GangState.STARTING, now)
