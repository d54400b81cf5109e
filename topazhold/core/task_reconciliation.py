"""Reconciliation of a machine's attempts with the tasks in its worker's heartbeat."""

from __future__ import annotations

import logging

from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.failure_attribution import FailureAttribution
from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import Machine
from topazhold.core.task_attempts import ON_MACHINE, AttemptState, TaskAttempt
from topazhold.wire import messages as wire
from topazhold.wire.workers import Heartbeat, TaskStatus

log = logging.getLogger(__name__)

#: Heartbeat intervals for which a machine that rejected a launch for lack of capacity gets no
#: work, and for which a job whose image is unknown is not placed.
BACKOFF_HEARTBEATS = 2

#: Orphaned tasks: (name, attempt) -> stage.
Orphans = dict[tuple[str, int], str]


class TaskReconciliation:
    """Updates attempts from the tasks that workers report. Stateless."""

    def __init__(
        self, cluster: ClusterState, eviction: Eviction, failures: FailureAttribution
    ) -> None:
        self._cluster = cluster
        self._eviction = eviction
        self._failure_attribution = failures
        self._backoff_s = BACKOFF_HEARTBEATS * cluster.heartbeat_interval_s

    def reconcile(
        self, machine: Machine, heartbeat: Heartbeat, synced: bool, direct: bool, now: float
    ) -> bool:
        """Apply all tasks of a heartbeat; return whether it shows that a launch was lost.

        `synced`: the worker sent it under this term; `direct`: in reply to a direct command.
        """
        seen: set[tuple[str, int]] = set()
        orphans: Orphans = {}
        for task in heartbeat.tasks:
            key = wire.split_task_name(task.task_name)
            if key is None:
                continue
            attempt = machine.attempts.get(key)
            if attempt is not None and attempt.attempt_number == task.attempt_number:
                seen.add(key)
                self._reconcile_attempt(machine, attempt, task, now)
            elif task.state == wire.ENDED:
                if task.cause == wire.CAUSE_DONE:
                    self._cluster.record_success(*key)
            else:
                self._on_orphan(machine, key, task, orphans, now)
        machine.set_orphans(orphans)
        is_launch_lost = False
        for key, attempt in list(machine.attempts.items()):
            if key not in seen:
                is_launch_lost |= self._reconcile_missing(attempt, heartbeat, synced, direct, now)
        return is_launch_lost

    def _reconcile_attempt(
        self, machine: Machine, attempt: TaskAttempt, task: TaskStatus, now: float
    ) -> None:
        if task.state == wire.ENDED:
            self._on_attempt_ended(machine, attempt, task, now)
            return
        if attempt.state is AttemptState.INTENDED:
            return
        if attempt.state is AttemptState.LAUNCH_SENT and not attempt.possibly_running:
            machine.mark_command_reachable()
        state_before = attempt.state
        attempt.observe(task.state, now)
        if attempt.state is not state_before:
            machine.count_offer_change()
        if attempt.state in (AttemptState.GATHERING, AttemptState.RUNNING):
            spec = attempt.job.spec
            machine.note_image_fetched(spec.image, spec.image_gb)

    def _reconcile_missing(
        self, attempt: TaskAttempt, heartbeat: Heartbeat, synced: bool, direct: bool, now: float
    ) -> bool:
        """Handle an attempt missing from the heartbeat; return whether its launch was lost."""
        if attempt.possibly_running:
            if synced:
                self._cluster.remove_attempt(attempt, now)
        elif attempt.state is AttemptState.LAUNCH_SENT:
            # A worker has one heartbeat in flight at a time, so it sent this one after it had
            # either executed the response with the launch or lost it.
            if not direct and heartbeat.sequence > attempt.launch_sequence:
                if attempt.stopping:
                    self._cluster.remove_attempt(attempt, now)
                else:
                    attempt.mark_launch_lost(now)
                return True
        elif attempt.state in ON_MACHINE:
            self._cluster.remove_attempt(attempt, now)
        return False

    def _on_orphan(
        self,
        machine: Machine,
        key: tuple[str, int],
        task: TaskStatus,
        orphans: Orphans,
        now: float,
    ) -> None:
        """Stop a task without a matching attempt; it occupies the machine until it ends."""
        job_id, index = key
        job = self._cluster.jobs.get(job_id)
        if job is not None and index < job.spec.tasks and index not in job.attempts:
            attempt = TaskAttempt(job, index, task.attempt_number, machine.name, now)
            attempt.state = AttemptState.LAUNCH_SENT
            attempt.observe(task.state, now)
            self._cluster.attach(attempt)
            self._eviction.stop_attempt(attempt, 0.0, "unexpected", now)
            if job.gang and job.state is JobState.LIVE:
                self._eviction.stop_gang(job, 0.0, "unexpected task", now)
            return
        orphans[(task.task_name, task.attempt_number)] = task.state
        self._cluster.queue_command(machine.name)

    def _on_attempt_ended(
        self, machine: Machine, attempt: TaskAttempt, task: TaskStatus, now: float
    ) -> None:
        attempt.mark_ended(task.cause or "", bool(task.checkpoint_saved), now)
        log.info(
            "task %s attempt %d on %s ended: %s%s",
            attempt.task_name,
            attempt.attempt_number,
            machine.name,
            attempt.cause,
            " (checkpoint kept)" if task.checkpoint_saved else "",
        )
        if attempt.cause == wire.CAUSE_DONE:
            self._on_success(machine, attempt, now)
        else:
            self._on_failure(machine, attempt, now)
        job = attempt.job
        if job.service and not attempt.stopping:
            if attempt.cause in (wire.CAUSE_DONE, wire.CAUSE_ERROR):
                self._failure_attribution.on_replica_ended(machine, attempt, now)
        self._cluster.remove_attempt(attempt, now)

    def _on_success(self, machine: Machine, attempt: TaskAttempt, now: float) -> None:
        job, spec = attempt.job, attempt.job.spec
        machine.forget_errors()
        job.forget_failures(machine.name)
        machine.note_image_fetched(spec.image, spec.image_gb)
        is_full_run = job.progress_s == 0.0 and not attempt.stopping and not job.service
        if attempt.running_since is not None and is_full_run:
            self._cluster.estimates.observe(
                spec.job_class, spec.estimated_run_s, now - attempt.running_since
            )
        self._cluster.record_success(job.id, attempt.index)

    def _on_failure(self, machine: Machine, attempt: TaskAttempt, now: float) -> None:
        job = attempt.job
        if attempt.cause == wire.CAUSE_ERROR and not job.service:
            self._failure_attribution.on_attempt_failed(machine, job, now)
        elif attempt.cause == wire.CAUSE_NO_CAPACITY:
            machine.quarantine_until(now + self._backoff_s)
        elif attempt.cause == wire.CAUSE_INCOMPLETE:
            job.keeps_fetches = True
        elif attempt.cause == wire.CAUSE_UNKNOWN:
            job.not_before = now + self._backoff_s
        if job.gang and attempt.running_since is not None:
            self._record_gang_progress(job, attempt, attempt.running_since, now)

    def _record_gang_progress(
        self, job: Job, attempt: TaskAttempt, running_since: float, now: float
    ) -> None:
        """Update the gang's checkpointed progress, estimated from run times."""
        if attempt.index != min(job.attempts, default=attempt.index):
            return
        ran_s = (attempt.stop_requested_at if attempt.stopping else now) - running_since
        total_s = job.progress_s + max(0.0, ran_s)
        if attempt.checkpoint_kept:
            job.progress_s = total_s
        elif job.spec.checkpoint_s > 0:
            job.progress_s = max(job.progress_s, total_s - total_s % job.spec.checkpoint_s)
