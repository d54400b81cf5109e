"""What is observed: workers' reports and the cloud's list."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from topazhold.core.eviction import Eviction
from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import QUARANTINED, Machine, MachineState
from topazhold.core.task_attempts import ON_MACHINE, UNSENT, AttemptState, TaskAttempt
from topazhold.wire import messages as wire
from topazhold.wire.messages import Heartbeat, ListedMachine, TaskStatus

log = logging.getLogger(__name__)

#: A job that failed on so many machines is taken to be at fault itself.
BAD_JOB_MACHINES = 3
#: How often the pause of a job that fails everywhere doubles.
MAX_DOUBLINGS = 5
#: For so many leases a machine on which a replica ended by itself is remembered.
FAILURES_LEASES = 4.0
#: So many answers with launches that did not arrive make a machine deaf.
LOST_COMMANDS = 2
#: A session that ends so soon (in leases) after an answer has not heard the answer,
#: and one that lasts so long has heard some.
UNREACHED_LEASES = 0.7
REACHED_LEASES = 1.3
#: Errors of so many jobs that are not at fault make a machine sick.
QUARANTINE_JOBS = 2


class HeartbeatReconciliation(Eviction):
    """What reports and lists say, and what they prove."""

    def on_machine_list(
        self, listed_machines: Iterable[ListedMachine], asked_at: float, now: float
    ) -> None:
        """A whole machine list, asked for at `asked_at`."""
        names = set()
        for item in listed_machines:
            if item.id in self._removed_machines:
                continue
            names.add(item.id)
            machine = self.machines.get(item.id)
            if machine is None:
                machine = self.add_machine(
                    item.id,
                    item.zone,
                    item.spot,
                    item.machine_type,
                    now,
                )
                machine.rented_at = now - item.age_s
            machine.unconfirmed = False
            if machine.endpoint is None:
                machine.endpoint = item.endpoint
            machine.missed_lists = 0
            if item.state == wire.LISTED_FAILED:
                self.release(machine, "failed", now)
        for machine in list(self.machines.values()):
            if machine.name in names or now - machine.rented_at < 4 * self.lag_s:
                continue
            heard = (
                machine.last_heartbeat_at
                if machine.last_heartbeat_at is not None
                else machine.since
            )
            # A list may be two lags old: only one asked for well after the
            # machine was last heard says anything about it.
            if asked_at - heard > 2 * self.lag_s:
                machine.missed_lists += 1

    def on_heartbeat(
        self, heartbeat: Heartbeat, direct: bool, now: float, forwarded: bool = False
    ) -> Machine | None:
        """A worker's heartbeat; None if it is stale or from a released machine.

        `direct` marks the answer of a direct command. It may overtake the
        answer of a report that is still under way, so what it lacks proves
        nothing about a launch ordered there.
        """
        machine = self.machines.get(heartbeat.machine)
        if machine is None:
            if direct or heartbeat.machine in self._removed_machines:
                return None
            machine = self.add_machine(
                heartbeat.machine, heartbeat.zone, heartbeat.spot, heartbeat.machine_type, now
            )
            # A late copy may tell of a machine that is long gone. Until it is
            # listed, or reports under this term, it is not counted on.
            machine.unconfirmed = True
        if machine.machine_type is None:
            machine.machine_type = self.machine_types.get(heartbeat.machine_type)
        if machine.state is MachineState.RELEASING:
            return None
        before = self._availability(machine, now)
        if (heartbeat.incarnation, heartbeat.sequence) <= (machine.incarnation, machine.sequence):
            return None
        if heartbeat.incarnation > machine.incarnation:
            self._begin_incarnation(machine, heartbeat.incarnation, now)
        machine.sequence = heartbeat.sequence
        machine.endpoint = heartbeat.endpoint
        synced = heartbeat.fencing_token == self.term
        machine.hear(synced, now)
        self._check_command_reachability(machine, heartbeat, now)
        if not direct:
            machine.last_answered_at = now
            if not forwarded:
                machine.last_own_heartbeat_at = now
        self._on_preemption_notice(machine, heartbeat.notice_s, now)
        self._reconcile_tasks(machine, heartbeat, synced, direct, now)
        if not machine.empty:
            machine.idle_since = now
        if self._availability(machine, now) != before:
            self._fleet_changed()
        return machine

    def _availability(self, machine: Machine, now: float) -> tuple[MachineState, bool, bool]:
        """Whether new work may go to a machine, as far as its reports decide that."""
        return machine.state, machine.command_unreachable, self.usable(machine, now)

    def _begin_incarnation(self, machine: Machine, incarnation: int, now: float) -> None:
        """The worker's lease ended: all tasks of the earlier incarnation are gone."""
        for attempt in list(machine.attempts.values()):
            # A launch is ordered only in the session that its intent names, and
            # the worker drops answers to reports of an earlier one. So a newer
            # session settles an earlier term's intents too, also those of a
            # deaf machine, which never reports under the new term.
            if not attempt.possibly_running or attempt.incarnation < incarnation:
                self._remove_attempt(attempt, now)
        machine.orphans.clear()
        if machine.incarnation:
            log.info("machine %s began incarnation %d", machine.name, incarnation)
            if now - machine.last_answered_at < UNREACHED_LEASES * self.lease_s:
                self._on_command_unreachable(machine, "its lease ended though it was answered", now)
        machine.incarnation = incarnation
        machine.incarnation_since = now

    def _check_command_reachability(
        self, machine: Machine, heartbeat: Heartbeat, now: float
    ) -> None:
        """Whether answers reach the worker, as far as its reports show it."""
        term_before, machine.term = machine.term, heartbeat.fencing_token
        heard = (
            heartbeat.fencing_token == self.term != term_before
            or now - machine.incarnation_since > REACHED_LEASES * self.lease_s
        )
        if heard and machine.mark_command_reachable():
            log.info("machine %s gets commands again", machine.name)

    def _on_command_unreachable(self, machine: Machine, reason: str, now: float) -> None:
        """Answers don't reach the worker: no new work, no hold, no limit for it."""
        if machine.mark_command_unreachable(now):
            log.info("machine %s does not get commands: %s", machine.name, reason)
        for attempt in list(machine.attempts.values()):
            if attempt.state in UNSENT and not attempt.possibly_running:
                self._remove_attempt(attempt, now)

    def _on_preemption_notice(self, machine: Machine, notice_s: float | None, now: float) -> None:
        if notice_s is None:
            return
        if machine.gone_at is None:
            log.info("machine %s will be taken in %.1f s", machine.name, notice_s)
        machine.gone_at = now + notice_s
        machine.drain("notice", now)

    def _reconcile_tasks(
        self, machine: Machine, heartbeat: Heartbeat, synced: bool, direct: bool, now: float
    ) -> None:
        seen: set[tuple[str, int]] = set()
        orphans: dict[tuple[str, int], str] = {}
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
                    self._record_success(key, now)
            else:
                self._on_orphan(machine, key, task, orphans, now)
        machine.orphans = orphans
        lost = False
        for key, attempt in list(machine.attempts.items()):
            if key not in seen:
                lost |= self._reconcile_missing(attempt, heartbeat, synced, direct, now)
        if lost:
            machine.lost_commands += 1
            if machine.lost_commands >= LOST_COMMANDS:
                self._on_command_unreachable(machine, "launches don't arrive", now)

    def _reconcile_attempt(
        self, machine: Machine, attempt: TaskAttempt, task: TaskStatus, now: float
    ) -> None:
        if task.state == wire.ENDED:
            self._on_attempt_ended(machine, attempt, task, now)
            return
        if attempt.state is AttemptState.INTENDED:
            return
        if attempt.state is AttemptState.ORDERED and not attempt.possibly_running:
            machine.mark_command_reachable()
        before = attempt.state
        attempt.observe(task.state, now)
        machine.changes += attempt.state is not before
        if attempt.state in (AttemptState.GATHERING, AttemptState.RUNNING):
            spec = attempt.job.spec
            machine.fetched(spec.image, spec.image_gb)

    def _reconcile_missing(
        self, attempt: TaskAttempt, heartbeat: Heartbeat, synced: bool, direct: bool, now: float
    ) -> bool:
        """A run that the report lacks; whether its launch can be seen to be lost."""
        if attempt.possibly_running:
            if synced:
                self._remove_attempt(attempt, now)
        elif attempt.state is AttemptState.ORDERED:
            # Reports go out one at a time, so this one was sent after the
            # answer with the launch was carried out or dropped for good.
            if not direct and heartbeat.sequence > attempt.launch_sequence:
                if attempt.stopping:
                    self._remove_attempt(attempt, now)
                else:
                    attempt.launch_lost(now)
                return True
        elif attempt.state in ON_MACHINE:
            self._remove_attempt(attempt, now)
        return False

    def _on_orphan(
        self,
        machine: Machine,
        key: tuple[str, int],
        task: TaskStatus,
        orphans: dict[tuple[str, int], str],
        now: float,
    ) -> None:
        """A task that no intent of ours explains: it must go, and counts till then."""
        job = self.jobs.get(key[0])
        if job is not None and key[1] < job.spec.tasks and key[1] not in job.attempts:
            attempt = TaskAttempt(job, key[1], task.attempt_number, machine.name, now)
            attempt.state = AttemptState.ORDERED
            attempt.observe(task.state, now)
            self._attach(attempt)
            self._stop_attempt(attempt, 0.0, "unexpected", now)
            if job.gang and job.state is JobState.LIVE:
                self._stop_gang(job, 0.0, "unexpected task", now)
            return
        orphans[(task.task_name, task.attempt_number)] = task.state
        self.to_command.add(machine.name)

    def _on_attempt_ended(
        self, machine: Machine, attempt: TaskAttempt, task: TaskStatus, now: float
    ) -> None:
        job = attempt.job
        cause = task.cause or ""
        attempt.end(cause, bool(task.kept), now)
        log.info(
            "task %s try %d on %s ended: %s%s",
            attempt.task_name,
            attempt.attempt_number,
            machine.name,
            cause,
            " (saved)" if task.kept else "",
        )
        spec = job.spec
        if cause == wire.CAUSE_DONE:
            machine.error_jobs.clear()
            machine.fetched(spec.image, spec.image_gb)
            counts = job.progress_s == 0.0 and not attempt.stopping and not job.service
            if attempt.running_since is not None and counts:
                self.estimates.learn(
                    spec.job_class, spec.estimated_run_s, now - attempt.running_since
                )
            self._record_success((job.id, attempt.index), now)
        elif cause == wire.CAUSE_ERROR and not job.service:
            self._on_attempt_failed(machine, job, now)
        elif cause == wire.CAUSE_NO_CAPACITY:
            machine.quarantined_until = now + 2 * self.heartbeat_interval_s
        elif cause == wire.CAUSE_UNKNOWN:
            job.not_before = now + 2 * self.heartbeat_interval_s
        if job.gang and attempt.running_since is not None and cause != wire.CAUSE_DONE:
            self._record_gang_progress(attempt, cause, now)
        if job.service and not attempt.stopping and cause in (wire.CAUSE_DONE, wire.CAUSE_ERROR):
            self._on_replica_ended(machine, attempt, now)
        self._remove_attempt(attempt, now)

    def _record_gang_progress(self, attempt: TaskAttempt, cause: str, now: float) -> None:
        """What the gang has saved, as far as it can be told from outside."""
        job = attempt.job
        if attempt.index != min(job.attempts, default=attempt.index):
            return
        ran = (attempt.stop_at if attempt.stopping else now) - (attempt.running_since or now)
        total = job.progress_s + max(0.0, ran)
        if attempt.kept:
            job.progress_s = total
        elif job.spec.checkpoint_s > 0:
            job.progress_s = max(job.progress_s, total - total % job.spec.checkpoint_s)

    def _on_attempt_failed(self, machine: Machine, job: Job, now: float) -> None:
        """A task ended with `error`: is it the machine or the job?"""
        job.failed_on[machine.name] = now
        if len(job.failed_on) >= BAD_JOB_MACHINES:
            # A job that fails everywhere must not take the machines with it.
            for other in self.machines.values():
                other.error_jobs.discard(job.id)
            doublings = min(len(job.failed_on) - BAD_JOB_MACHINES, MAX_DOUBLINGS)
            job.not_before = now + self.lease_s * 2**doublings
        else:
            self._record_failure(machine, job, now)

    def _on_replica_ended(self, machine: Machine, attempt: TaskAttempt, now: float) -> None:
        """A replica ended by itself: it is placed again, later each time if it keeps ending.

        A job that has replicas running is not at fault itself, so its errors count against
        the machine, and it never waits for long.
        """
        job = attempt.job
        started_at = attempt.running_since
        if attempt.cause == wire.CAUSE_DONE and started_at is not None:
            if now - started_at > self.lease_s:
                return
        job.failed_on[machine.name] = now
        for name, at in list(job.failed_on.items()):
            if now - at > FAILURES_LEASES * self.lease_s:
                del job.failed_on[name]
        others_run = any(other.state is AttemptState.RUNNING for other in job.attempts.values())
        failures = len(job.failed_on)
        if attempt.cause == wire.CAUSE_ERROR and (others_run or failures < BAD_JOB_MACHINES):
            self._record_failure(machine, job, now)
        if failures >= BAD_JOB_MACHINES:
            base_s = self.heartbeat_interval_s if others_run else self.lease_s
            job.not_before = now + base_s * 2 ** min(failures - BAD_JOB_MACHINES, MAX_DOUBLINGS)

    def _record_failure(self, machine: Machine, job: Job, now: float) -> None:
        """A job that is not at fault itself failed on a machine."""
        machine.error_jobs.add(job.id)
        if len(machine.error_jobs) >= QUARANTINE_JOBS:
            machine.drain(QUARANTINED, now)
            log.info("machine %s quarantined: errors of %d jobs", machine.name, QUARANTINE_JOBS)

    def _record_success(self, key: tuple[str, int], now: float) -> None:
        """A task has completed."""
        job = self.jobs.get(key[0])
        if job is None or job.state is not JobState.LIVE or key[1] >= job.spec.tasks:
            return
        done_before = job.completed_count
        if job.gang:
            # A gang completes together: one task done means all are.
            for index in range(job.spec.tasks):
                job.mark_completed(index)
        else:
            job.mark_completed(key[1])
        self.changes += job.completed_count != done_before
        if job.complete and job not in self.finished:
            self.finished.append(job)
