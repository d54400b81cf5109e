"""Supervision of gangs: ageing, the progress of their starts, and what follows a failed start."""

from __future__ import annotations

import logging

from topazhold.core import gang_launches, gangs
from topazhold.core.cluster_state import ClusterState
from topazhold.core.eviction import Eviction
from topazhold.core.jobs import GangState, Job
from topazhold.core.start_objectives import StartObjectives
from topazhold.core.task_attempts import AttemptState, TaskAttempt

log = logging.getLogger(__name__)

#: Multiple of the time that a fetch takes at the slowest rate, after which it is given up.
FETCH_TIMEOUT_FACTOR = 2.0


class GangSupervision:
    """Advances gangs with time. Owns no state but the `GangTimeouts`."""

    def __init__(
        self, cluster: ClusterState, eviction: Eviction, objectives: StartObjectives
    ) -> None:
        self._cluster = cluster
        self._eviction = eviction
        self._objectives = objectives
        self._timeouts = gangs.GangTimeouts(
            cluster.heartbeat_interval_s, cluster.timing.gang_wait_s
        )

    def start(self, job: Job, attempts: list[TaskAttempt], now: float) -> None:
        """Start a waiting gang with its planned attempts."""
        gangs.start(job, attempts, now)
        self._hold_back_launches(job, now)

    def advance(self, job: Job, now: float) -> None:
        """Apply what depends on time to a live gang: ageing, the start's progress, timeouts."""
        previous_state = job.gang_state
        if previous_state is GangState.WAITING and not job.is_aged:
            # Ageing is never undone: work that was preempted for an aged gang would otherwise
            # preempt it in turn.
            job.is_aged = now - job.arrived > self._objectives.ageing_threshold_s(job)
            self._cluster.count_changes(job.is_aged)
        elif previous_state is GangState.STARTING:
            self._hold_back_launches(job, now)
        reason = gangs.advance(job, self._timeouts, now)
        if job.gang_state is GangState.RUNNING and previous_state is GangState.STARTING:
            log.info("gang %s is running, %.1f s after it arrived", job.id, now - job.arrived)
        if reason is not None and not job.is_complete:
            self._stop(job, reason, now)
        if job.gang_state is GangState.FETCHING:
            self._stop_tasks_without_fetch(job, now)
            gangs.advance(job, self._timeouts, now)
        self._cluster.count_changes(job.gang_state is not previous_state)

    def _hold_back_launches(self, job: Job, now: float) -> None:
        gang_launches.hold_back_launches(
            job, self._cluster.machines, self._timeouts.max_image_wait_s, now
        )

    def _stop(self, job: Job, reason: str, now: float) -> None:
        """Stop a gang whose start failed or that lost a task, but for fetches worth keeping."""
        if job.gang_state is GangState.STARTING:
            starting_s = now - job.gang_since
            tasks = gangs.describe_tasks(job, now)
            log.info("gang %s did not start in %.1f s: %s", job.id, starting_s, tasks)
            if gangs.enter_fetching(job, now):
                log.info("gang %s stopped but for its fetches: %s", job.id, reason)
                return
        # A gang that is saving a checkpoint at a failover must finish that: a second kill
        # without grace would lose the checkpoint.
        has_run = job.gang_state is GangState.RUNNING or any(
            attempt.state is AttemptState.FLUSHING for attempt in job.attempts.values()
        )
        grace_s = self._eviction.checkpoint_grace_s(job) if has_run else 0.0
        self._eviction.stop_gang(job, grace_s, reason, now)
        gangs.advance(job, self._timeouts, now)

    def _stop_tasks_without_fetch(self, job: Job, now: float) -> None:
        """Stop the tasks of a failed start that have their image or won't get it in time."""
        for attempt in list(job.attempts.values()):
            if not attempt.stopping and self._is_fetch_over(job, attempt, now):
                self._eviction.stop_attempt(attempt, 0.0, "its gang did not start", now)

    def _is_fetch_over(self, job: Job, attempt: TaskAttempt, now: float) -> bool:
        """Return whether a task of a failed start has no fetch that is worth keeping.

        A task of an earlier term that no heartbeat has shown yet may be fetching. One that runs
        or saves its progress ends by itself.
        """
        if attempt.state is AttemptState.PULLING:
            machine = self._cluster.machines.get(attempt.machine)
            return machine is not None and gang_launches.is_fetch_overdue(
                attempt, machine, now, FETCH_TIMEOUT_FACTOR
            )
        if attempt.state is AttemptState.LAUNCH_SENT:
            is_late = now - job.gang_since > self._timeouts.launch_s
            return is_late and not attempt.possibly_running
        return attempt.state not in (AttemptState.RUNNING, AttemptState.FLUSHING)
