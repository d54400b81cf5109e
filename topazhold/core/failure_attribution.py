"""Attribution of task failures to the job or to the machine, with backoff and quarantine."""

from __future__ import annotations

import logging

from topazhold.core.cluster_state import ClusterState
from topazhold.core.failure_pauses import failure_pause_s
from topazhold.core.jobs import Job
from topazhold.core.machines import QUARANTINED, Machine
from topazhold.core.task_attempts import AttemptState, TaskAttempt
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: Machines on which a job must fail to count as faulty itself.
BAD_JOB_MACHINES = 3
#: Leases for which a machine on which a replica ended by itself is remembered.
FAILURE_WINDOW_LEASES = 4.0
#: Non-faulty jobs that must fail on a machine to have it quarantined.
QUARANTINE_FAILED_JOBS = 2


class FailureAttribution:
    """Counts errors against jobs or machines.

    Stateless: a job stores its failures by machine, a machine the jobs that failed on it. Both
    are lost at a failover, so a new leader places such a job again at once.
    """

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._heartbeat_interval_s = cluster.heartbeat_interval_s
        self._lease_s = cluster.lease_s

    def on_attempt_failed(self, machine: Machine, job: Job, now: float) -> None:
        """Handle a task of a gang or an array that ended with `error`.

        An array avoids the machine for a while. A job that failed on several machines seems
        faulty itself: it avoids none of them, but is not placed at all for a while.
        """
        failures = job.record_failure(machine.name, now)
        if len(job.failed_on) >= BAD_JOB_MACHINES:
            # A faulty job must not get the machines quarantined.
            for other in self._cluster.machines.values():
                other.forget_error(job.id)
            job.end_avoidance()
            job.not_before = now + failure_pause_s(
                self._lease_s, len(job.failed_on) - BAD_JOB_MACHINES
            )
            return
        if not job.gang:
            failures.pause(self._lease_s, now)
        self._record_machine_failure(machine, job, now)

    def on_replica_ended(self, machine: Machine, attempt: TaskAttempt, now: float) -> None:
        """Handle a replica that ended by itself: back off if replicas keep ending.

        A job with running replicas is not faulty itself, so its errors count against the
        machine, and its backoff stays short.
        """
        job = attempt.job
        started_at = attempt.running_since
        if attempt.cause == wire.CAUSE_DONE and started_at is not None:
            if now - started_at > self._lease_s:
                return
        job.record_failure(machine.name, now)
        for name, failures in list(job.failed_on.items()):
            if now - failures.last_at > FAILURE_WINDOW_LEASES * self._lease_s:
                job.forget_failures(name)
        has_running_replica = any(
            other.state is AttemptState.RUNNING for other in job.attempts.values()
        )
        failed_machines = len(job.failed_on)
        if attempt.cause == wire.CAUSE_ERROR and (
            has_running_replica or failed_machines < BAD_JOB_MACHINES
        ):
            self._record_machine_failure(machine, job, now)
        if failed_machines >= BAD_JOB_MACHINES:
            base_backoff_s = self._heartbeat_interval_s if has_running_replica else self._lease_s
            job.not_before = now + failure_pause_s(
                base_backoff_s, failed_machines - BAD_JOB_MACHINES
            )

    def _record_machine_failure(self, machine: Machine, job: Job, now: float) -> None:
        """Count a non-faulty job's error against a machine; quarantine it at the threshold."""
        if machine.record_error(job.id) >= QUARANTINE_FAILED_JOBS:
            machine.drain(QUARANTINED, now)
            log.info(
                "machine %s quarantined: errors of %d jobs", machine.name, QUARANTINE_FAILED_JOBS
            )
