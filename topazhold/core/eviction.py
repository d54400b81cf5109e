"""What is stopped: tasks, gangs and machines, and everything that time brings about."""

from __future__ import annotations

import logging
import math

from topazhold.core import gangs
from topazhold.core.cluster_state import UP
from topazhold.core.jobs import GangState, Job, JobState
from topazhold.core.machines import QUARANTINED, Machine, MachineState, fits
from topazhold.core.placement_constraints import allowed
from topazhold.core.task_attempts import UNSENT, AttemptState, TaskAttempt
from topazhold.core.worker_commands import WorkerCommands

log = logging.getLogger(__name__)

#: A lone deaf machine is released after so many leases.
COMMAND_UNREACHABLE_LEASES = 2.0
#: So many machines of a zone with one trouble are taken one by one; more than this
#: share of the zone, and it is the way to them.
MAX_SINGLE_FAILURES = 2
MASS_SHARE = 0.4
#: A machine counts as silent after so many leases. A lone one is released later, one
#: of a group later still: those that only hang are back with a new session by then,
#: long before others could be rented and booted, and meanwhile they don't count as
#: capacity, so that dead ones are made up for.
QUIET_LEASES = 0.6
SILENT_LEASES = 1.25
GROUP_LEASES = 2.0
#: One with replicas of services is released once its worker's lease must have ended.
SERVICE_LEASES = 1.05
#: Replicas leave a machine that will be taken at the latest so many heartbeat intervals before.
LAST_MOVE_HEARTBEATS = 2.0


class Eviction(WorkerCommands):
    """Who has to leave, and when a machine has to go."""

    def on_job_ended(self, job_id: str, done: bool, over_at: float, now: float) -> None:
        """The job was moved to `over`, by this node or another."""
        # Also one that is not known here yet: news of its submission may come later.
        self._remember(self._ended_jobs, job_id)
        job = self.jobs.get(job_id)
        if job is None or job.state is not JobState.LIVE:
            return
        self._guaranteed_stale = True
        self.changes += 1
        if done:
            job.finish()
            log.info("job %s done", job_id)
        else:
            job.abort(over_at)
            log.info("job %s aborted, tasks on machines: %d", job_id, len(job.attempts))
        for attempt in list(job.attempts.values()):
            if attempt.state in UNSENT and not attempt.possibly_running:
                self._remove_attempt(attempt, now)
            elif not done:
                self._stop_attempt(attempt, 0.0, "job aborted", now)
        self.forget_if_ended(job)

    def _stop_attempt(self, attempt: TaskAttempt, grace_s: float, reason: str, now: float) -> None:
        if attempt.state is AttemptState.WRITTEN:
            self._remove_attempt(attempt, now)  # no launch has left
            return
        if not attempt.stopping or (attempt.stop_grace or 0.0) > grace_s:
            log.info(
                "task %s try %d on %s stopped: %s",
                attempt.task_name,
                attempt.attempt_number,
                attempt.machine,
                reason,
            )
            self._request_kill(attempt)
        attempt.stop(grace_s, now)

    def _stop_gang(self, job: Job, grace_s: float, reason: str, now: float) -> None:
        """Stop a whole gang in order; unsent tasks simply leave."""
        told = gangs.stop(job, grace_s, now)
        if told:
            log.info("gang %s stopped: %s", job.id, reason)
        for attempt in told:
            if attempt.state is AttemptState.WRITTEN:
                self._remove_attempt(attempt, now)
            elif attempt.state is not AttemptState.INTENDED:
                self._request_kill(attempt)

    def _request_kill(self, attempt: TaskAttempt) -> None:
        """A kill is to be sent."""
        self.changes += 1
        self.to_command.add(attempt.machine)
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            machine.changes += 1

    def preempt(self, attempt: TaskAttempt, reason: str, now: float) -> None:
        job = attempt.job
        settle = job.spec.save_s + self.heartbeat_interval_s if job.spec.checkpoint_s > 0 else 0.0
        if job.gang:
            self._stop_gang(job, settle, reason, now)
        else:
            self._stop_attempt(attempt, settle, reason, now)

    def tick(self, now: float) -> None:
        """Everything that happens because time passes."""
        for job in list(self.jobs.values()):
            if job.state is JobState.LIVE:
                if job.gang:
                    self._step_gang(job, now)
            else:
                self._stop_ended_job(job, now)
        for machine in list(self.machines.values()):
            self._watch(machine, now)
        self.wake_remaining(now)

    def _step_gang(self, job: Job, now: float) -> None:
        before = job.gang_state
        if before is GangState.WAITING and not job.is_aged:
            # For good: else the work that gave way to it would stop it in turn.
            job.is_aged = now - job.arrived > self.ageing_threshold_s(job)
            self.changes += job.is_aged
        reason = gangs.step(job, self.clock, now)
        if job.gang_state is GangState.RUNNING and before is GangState.STARTING:
            log.info("gang %s runs, %.1f s after it came", job.id, now - job.arrived)
        if reason is not None and not job.complete:
            # A gang found saving at a take-over must be let finish that: a second
            # kill without grace would cost what it is about to have saved.
            running = before is GangState.RUNNING or any(
                attempt.state is AttemptState.FLUSHING for attempt in job.attempts.values()
            )
            settle = (
                job.spec.save_s + self.heartbeat_interval_s
                if running and job.spec.checkpoint_s > 0
                else 0.0
            )
            self._stop_gang(job, settle, reason, now)
            gangs.step(job, self.clock, now)
        self.changes += job.gang_state is not before

    def _stop_ended_job(self, job: Job, now: float) -> None:
        """Tasks of a job that is over must leave their machines."""
        for attempt in list(job.attempts.values()):
            if job.state is JobState.DONE:
                if now - attempt.since > self.lease_s and not attempt.stopping:
                    self._stop_attempt(attempt, 0.0, "job done", now)
            elif job.cancelled_at is not None:
                self._stop_attempt(attempt, 0.0, "job aborted", now)
                age = now - job.cancelled_at
                # A new leader first hears the workers, unless there is no time; past
                # `cancel_s` nothing is gained by haste. After an outage of that length
                # it released 120 machines unheard, whose tasks had long been killed.
                past = age > self.cancel_s
                hearing_s = self.lease_s if past else 2.5 * self.heartbeat_interval_s
                no_time = not past and age > 0.8 * self.cancel_s
                heard_out = now - self.since > hearing_s or no_time
                machine = self.machines.get(attempt.machine)
                if age > 0.6 * self.cancel_s and heard_out and machine is not None:
                    # A task that nobody can be shown to have stopped takes its
                    # machine with it: after cancel_s it must not be anywhere.
                    self.release(machine, f"can't stop {attempt.task_name}", now)
                elif now - attempt.stop_at > self.heartbeat_interval_s:
                    self.to_command.add(attempt.machine)

    def machines_without_heartbeat(self, now: float) -> list[str]:
        """Machines whose reports have not come here for a while."""
        limit = 2.2 * self.heartbeat_interval_s
        return [
            machine.name
            for machine in self.machines.values()
            if machine.state in UP and now - max(machine.last_own_heartbeat_at, self.since) > limit
        ]

    def is_partitioned_from_workers(self, now: float) -> bool:
        """Whether others hear most of the workers, and this node hardly any."""
        if now - self.since < self.lease_s:
            return False
        heard = reached = 0
        for machine in self.machines.values():
            if machine.state in UP and self.silence_s(machine, now) < 0.5 * self.lease_s:
                heard += 1
                reached += now - machine.last_own_heartbeat_at < 0.5 * self.lease_s
        return heard >= 2 and reached < 0.3 * heard

    def needs_term_announcement(self, machine: Machine, now: float) -> bool:
        """Whether a worker has to be told of this term directly.

        It may be with a former leader who knows of no other; once it has seen
        the new term, its answers are void and its reports tell it so.
        """
        return (
            machine.state is MachineState.UNSYNCED
            and now - max(machine.last_own_heartbeat_at, self.since)
            > 0.4 * self.heartbeat_interval_s
        )

    def _watch(self, machine: Machine, now: float) -> None:
        state = machine.state
        if state is MachineState.RELEASING:
            self.releases.setdefault(machine.name, machine.reason)
            return
        if state is MachineState.STARTING:
            ready = machine.machine_type.boot_s if machine.machine_type else 60.0
            if now - machine.rented_at > 4.0 * ready and now - self.since > self.lease_s:
                self.release(machine, "never came up", now)
            elif machine.missed_lists >= 3:
                self.release(machine, "not listed", now)
            return
        if state is MachineState.DRAINING:
            self._drain(machine, now)
        elif machine.attempts and not self.usable(machine, now):
            self._remove_unsent(machine, now)
        if (
            self.needs_term_announcement(machine, now)
            and now - machine.term_announced_at > self.heartbeat_interval_s
        ):
            machine.term_announced_at = now
            self.to_command.add(machine.name)
        command_unreachable_since = machine.command_unreachable_since
        if (
            command_unreachable_since is not None
            and now - command_unreachable_since > COMMAND_UNREACHABLE_LEASES * self.lease_s
        ):
            up, _, command_unreachable = self._zone_counts(machine.zone, now)
            # Many deaf machines of a zone: then it is the way to them.
            if not (
                command_unreachable > MAX_SINGLE_FAILURES and command_unreachable > MASS_SHARE * up
            ):
                self.release(machine, "deaf", now)
                return
        silent = self.silence_s(machine, now)
        if silent > self.lease_s and machine.missed_lists >= 2:
            self.release(machine, "silent and not listed", now)
        elif silent > SERVICE_LEASES * self.lease_s:
            patience = self._silence_limit_leases(machine, now)
            if any(attempt.job.service for attempt in machine.attempts.values()):
                # Its tasks ended with the worker's lease. Other work waits for the machine
                # to come back; a service is down until its replicas are proven gone.
                patience = patience if math.isinf(patience) else SERVICE_LEASES
            if silent > patience * self.lease_s:
                self.release(machine, "silent", now)

    def _remove_unsent(self, machine: Machine, now: float) -> None:
        """Place tasks elsewhere whose launches can't leave, since the worker does not report.

        No launch has left, so nothing has to be proven. They waited for the machine's
        release before. Gangs have their own time limit.
        """
        for attempt in list(machine.attempts.values()):
            if (
                attempt.state is AttemptState.WRITTEN
                and not attempt.possibly_running
                and not attempt.job.gang
            ):
                log.info("task %s has no launch on silent %s", attempt.task_name, machine.name)
                self._remove_attempt(attempt, now)

    def _silence_limit_leases(self, machine: Machine, now: float) -> float:
        """After how many leases of silence a machine is released; infinite in a cut."""
        up, silent, _ = self._zone_counts(machine.zone, now)
        if silent > MAX_SINGLE_FAILURES and silent > MASS_SHARE * up:
            self._partition_seen_at[machine.zone] = now
        # When the cut ends they come back one by one. The last ones were released
        # as lone silent machines, with all their tasks, once most were back.
        if now - self._partition_seen_at.get(machine.zone, -1e9) < SILENT_LEASES * self.lease_s:
            return math.inf
        return GROUP_LEASES if silent > MAX_SINGLE_FAILURES else SILENT_LEASES

    def _zone_counts(self, zone: str, now: float) -> tuple[int, int, int]:
        """Machines of a zone that are up, silent, deaf; counted once per look at all."""
        if self._counted_at != now:
            self._counted_at = now
            self._counts = {}
            for machine in self.machines.values():
                if machine.state in UP:
                    up, silent, command_unreachable = self._counts.get(machine.zone, (0, 0, 0))
                    quiet = self.silence_s(machine, now) > QUIET_LEASES * self.lease_s
                    self._counts[machine.zone] = (
                        up + 1,
                        silent + quiet,
                        command_unreachable + machine.command_unreachable,
                    )
        return self._counts.get(zone, (0, 0, 0))

    def _drain(self, machine: Machine, now: float) -> None:
        # A launch that has not left won't leave any more: a task left waiting
        # here would wait for ever.
        for attempt in list(machine.attempts.values()):
            if attempt.state is AttemptState.WRITTEN and not attempt.possibly_running:
                if attempt.job.gang:
                    self._stop_gang(attempt.job, 0.0, "machine is leaving", now)
                else:
                    self._remove_attempt(attempt, now)
        if machine.reason == QUARANTINED:
            if machine.empty:
                self.release(machine, QUARANTINED, now)
            elif all(attempt.job.service for attempt in machine.attempts.values()):
                # Replicas never end: without a move it would be kept, and paid, for good.
                self._move_replicas(machine, "machine is sick", now)
            return
        if machine.gone_at is None:
            return
        left = machine.gone_at - now
        must = left < LAST_MOVE_HEARTBEATS * self.heartbeat_interval_s
        self._move_replicas(machine, "machine will be taken", now, must)
        for attempt in list(machine.attempts.values()):
            if attempt.stopping or attempt.job.service or attempt.state is AttemptState.INTENDED:
                continue
            if attempt.state is not AttemptState.RUNNING or self._would_lose(attempt, left, now):
                self.preempt(attempt, "machine will be taken", now)
        if machine.empty and left < 0:
            self.release(machine, "taken", now)

    def _move_replicas(self, machine: Machine, reason: str, now: float, must: bool = False) -> None:
        """Stop replicas on a machine that is leaving, where they have another place.

        `must`: also without one. That they are gone is known by then; of a machine that was
        taken with them it would be known only after a lease.
        """
        for attempt in list(machine.attempts.values()):
            if (
                not attempt.job.service
                or attempt.stopping
                or attempt.state is AttemptState.INTENDED
            ):
                continue
            if must or self._has_other_place(attempt, now):
                self.preempt(attempt, reason, now)

    def _has_other_place(self, attempt: TaskAttempt, now: float) -> bool:
        """Whether some other machine has room for a replica."""
        job = attempt.job
        zones = job.zones_used(self.zone_of)
        here = self.zone_of.get(attempt.machine)
        for machine in self.machines.values():
            if machine.name == attempt.machine or machine.machine_type is None:
                continue
            if not self.usable(machine, now) or not fits(job.need, machine.free()):
                continue
            if not allowed(job.spec, machine.machine_type.name, machine.zone, machine.spot):
                continue
            if machine.zone == here:
                return True
            full = zones.get(machine.zone, 0) >= (job.spec.tasks + 1) // 2
            if not job.spec.same_place and not (job.spec.scatter and full):
                return True
        return False

    def _would_lose(self, attempt: TaskAttempt, left: float, now: float) -> bool:
        """Whether a task on a machine with so much time left had better save now."""
        return (
            attempt.job.spec.checkpoint_s > 0
            and self.remaining_s(attempt, now) > left - self.heartbeat_interval_s
        )
