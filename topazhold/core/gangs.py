"""The gang's state machine: start together, or stop in order and wait again."""

from __future__ import annotations

from topazhold.core.jobs import ON_MACHINE, GangState, Job, Run, RunState


class GangClock:
    """Time limits, as ratios to the workers' settings."""

    def __init__(self, heartbeat_interval_s: float, gang_wait_s: float) -> None:
        self.start_s = 1.5 * heartbeat_interval_s  # from the last image to all running
        self.launch_s = 3.5 * heartbeat_interval_s  # from the intents to all launches seen
        self.wait_s = 0.8 * gang_wait_s  # the workers' own limit must not come first


def begin(job: Job, runs: list[Run], now: float) -> None:
    """The gang's intents are planned."""
    assert job.gang_state is GangState.WAITING and not job.runs
    for run in runs:
        job.add_run(run)
    job.enter_gang_state(GangState.STARTING, now)


def stop(job: Job, grace_s: float, now: float) -> list[Run]:
    """Tell all tasks at once; the runs that this newly tells are returned.

    A stop reaches a gang in order only if every task is told within
    `gang_peer_s` of the first, so none is ever stopped alone.
    """
    told = []
    for run in job.runs.values():
        if run.present:
            if not run.stopping or (run.stop_grace or 0.0) > grace_s:
                told.append(run)
            run.stop(grace_s, now)
    job.enter_gang_state(GangState.STOPPING, now)
    return told


def step(job: Job, clock: GangClock, now: float) -> str | None:
    """Move on with what is known of the tasks; a reason if the gang must stop."""
    runs = job.runs
    if job.gang_state is GangState.STOPPING:
        if not runs:
            job.enter_gang_state(GangState.WAITING, now)
        return None
    if job.gang_state is GangState.WAITING:
        return None
    if len(runs) + job.done_count < job.spec.tasks:
        return "a task is gone"
    if job.gang_state is GangState.STARTING:
        if any(run.state is RunState.RUNNING for run in runs.values()):
            job.enter_gang_state(GangState.RUNNING, now)
            return None
        return _start_fault(job, clock, now)
    return None


def _start_fault(job: Job, clock: GangClock, now: float) -> str | None:
    last_image = 0.0
    pulling = False
    for run in job.runs.values():
        if run.state is RunState.PULLING:
            pulling = True
        elif run.state is RunState.GATHERING:
            last_image = max(last_image, run.since)
        elif run.state not in ON_MACHINE and now - job.gang_since > clock.launch_s:
            return f"{run.machine} did not take its task"
    if not pulling and last_image and now - max(last_image, job.gang_since) > clock.start_s:
        return "not running a heartbeat interval after its images"
    if now - job.gang_since > clock.wait_s:
        waited = [run.since for run in job.runs.values() if run.state is RunState.GATHERING]
        if waited and now - min(waited) > clock.wait_s:
            return "waited too long for an image"
    return None


def resume(job: Job, now: float) -> None:
    """A new leader's first view of a gang: its intents are its tasks."""
    if not job.runs:
        job.enter_gang_state(GangState.WAITING, now)
    elif len(job.runs) < job.spec.tasks or len({r.attempt for r in job.runs.values()}) > 1:
        job.enter_gang_state(GangState.STOPPING, now)
    else:
        job.enter_gang_state(GangState.STARTING, now)
