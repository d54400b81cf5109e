"""Eviction: orderly stops of tasks and gangs, preemption, and tasks of ended jobs."""

from __future__ import annotations

import logging

from topazhold.core import gangs
from topazhold.core.cluster_state import ClusterState
from topazhold.core.jobs import Job, JobState
from topazhold.core.task_attempts import UNSENT, AttemptState, TaskAttempt

log = logging.getLogger(__name__)

#: Heartbeat intervals for which a new leader collects the workers' heartbeats before it releases a
#: machine to enforce a cancellation.
SYNC_HEARTBEATS = 2.5
#: Share of `cancel_s` after which a machine that still has a cancelled task is released.
CANCEL_RELEASE_SHARE = 0.6
#: Share of `cancel_s` after which a new leader no longer waits for heartbeats before a release.
CANCEL_DEADLINE_SHARE = 0.8


class Eviction:
    """Stops single tasks and whole gangs.

    Owns no state: requested stops are marked on the attempts themselves.
    """

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self._lease_s = cluster.lease_s
        self._cancel_s = cluster.timing.cancel_s

    def on_job_ended(self, job_id: str, done: bool, ended_at: float, now: float) -> None:
        """Handle the move of a job to `over` by this or another controller."""
        job = self._cluster.end_job(job_id, done, ended_at)
        if job is None:
            return
        for attempt in list(job.attempts.values()):
            if attempt.state in UNSENT and not attempt.possibly_running:
                self._cluster.remove_attempt(attempt, now)
            elif not done:
                self.stop_attempt(attempt, 0.0, "job aborted", now)
        self._cluster.forget_if_ended(job)

    def stop_attempt(self, attempt: TaskAttempt, grace_s: float, reason: str, now: float) -> None:
        """Stop one task; an attempt whose launch was not sent is dropped."""
        if attempt.state is AttemptState.WRITTEN:
            self._cluster.remove_attempt(attempt, now)
            return
        if not attempt.stopping or (attempt.stop_grace_s or 0.0) > grace_s:
            log.info(
                "task %s attempt %d on %s stopped: %s",
                attempt.task_name,
                attempt.attempt_number,
                attempt.machine,
                reason,
            )
            self._request_kill(attempt)
        attempt.request_stop(grace_s, now)

    def stop_gang(self, job: Job, grace_s: float, reason: str, now: float) -> None:
        """Stop all tasks of a gang at once; attempts whose launch was not sent are dropped."""
        newly_stopped = gangs.stop(job, grace_s, now)
        if newly_stopped:
            log.info("gang %s stopped: %s", job.id, reason)
        for attempt in newly_stopped:
            if attempt.state is AttemptState.WRITTEN:
                self._cluster.remove_attempt(attempt, now)
            elif attempt.state is not AttemptState.INTENDED:
                self._request_kill(attempt)

    def _request_kill(self, attempt: TaskAttempt) -> None:
        self._cluster.count_changes()
        self._cluster.queue_command(attempt.machine)
        machine = self._cluster.machines.get(attempt.machine)
        if machine is not None:
            machine.count_offer_change()

    def preempt(self, attempt: TaskAttempt, reason: str, now: float) -> None:
        """Preempt a task or its whole gang, with time to save a checkpoint if the job has any."""
        job = attempt.job
        if job.gang:
            self.stop_gang(job, self.checkpoint_grace_s(job), reason, now)
        else:
            self.stop_attempt(attempt, self.checkpoint_grace_s(job), reason, now)

    def checkpoint_grace_s(self, job: Job) -> float:
        """Return the seconds that a kill leaves a task of the job for saving a checkpoint."""
        return job.spec.save_s + self._heartbeat_interval_s if job.spec.checkpoint_s > 0 else 0.0

    def stop_ended_job(self, job: Job, now: float) -> None:
        """Stop the remaining tasks of an ended job."""
        for attempt in list(job.attempts.values()):
            if job.state is JobState.DONE:
                if now - attempt.state_since > self._lease_s and not attempt.stopping:
                    self.stop_attempt(attempt, 0.0, "job done", now)
            elif job.cancelled_at is not None:
                self.stop_attempt(attempt, 0.0, "job aborted", now)
                self._enforce_cancellation(attempt, now - job.cancelled_at, now)

    def _enforce_cancellation(self, attempt: TaskAttempt, age_s: float, now: float) -> None:
        """Repeat a cancelled task's kill, or release its machine if kills have no effect."""
        # A new leader first collects the workers' heartbeats, unless `cancel_s` is about to
        # expire. Once it has expired, a fast release gains nothing and the tasks may already
        # be killed, so it waits for a whole lease.
        overdue = age_s > self._cancel_s
        sync_s = self._lease_s if overdue else SYNC_HEARTBEATS * self._heartbeat_interval_s
        deadline_near = not overdue and age_s > CANCEL_DEADLINE_SHARE * self._cancel_s
        workers_synced = now - self._cluster.term_started_at > sync_s or deadline_near
        machine = self._cluster.machines.get(attempt.machine)
        if age_s > CANCEL_RELEASE_SHARE * self._cancel_s and workers_synced and machine is not None:
            # No cancelled task may run anywhere after `cancel_s`: if it is not proven to have
            # stopped, its machine is released.
            self._cluster.release(machine, f"can't stop {attempt.task_name}", now)
        elif now - attempt.stop_requested_at > self._heartbeat_interval_s:
            self._cluster.queue_command(attempt.machine)
