"""What the leader knows: jobs, machines, and the attempts of tasks on them."""

from __future__ import annotations

import logging
from collections.abc import Callable

from topazhold.core import quota, records
from topazhold.core.estimates import Estimates
from topazhold.core.jobs import Job, JobState
from topazhold.core.machines import Machine, MachineState
from topazhold.core.recent_names import RecentNames
from topazhold.core.start_objectives import StartObjectives
from topazhold.core.task_attempts import UNSENT, AttemptState, TaskAttempt
from topazhold.core.timing import Timing
from topazhold.settings import Settings
from topazhold.wire.cloud import MachineType

log = logging.getLogger(__name__)

#: Attempts are numbered within a term, so no number is ever used twice.
ATTEMPTS_PER_TERM = 1 << 24
#: A machine takes new work only if its last heartbeat here is at most so many intervals old.
MAX_HEARTBEAT_AGE_INTERVALS = 2.5

#: Bytes of a shard's stored value besides its packed attempts.
SHARD_OVERHEAD_BYTES = 512

#: States of a machine whose worker has been heard.
UP_STATES = (MachineState.UNSYNCED, MachineState.READY, MachineState.DRAINING)


class ClusterState:
    """Jobs, machines and attempts, and the invariants between them.

    The other parts read it freely, and change it by its methods only. Owns the tables `jobs`,
    `machines`, `zone_of` and `machine_types`, the teams' `usage`, the `estimates` of run times,
    the counts of changes, the numbers of attempts, and the queues of what the outside is to do:
    `to_command` (machines to send kills to directly), `releases` (machines to release, with the
    reason) and `finished` (jobs to move to `over`).
    """

    def __init__(
        self, settings: Settings, timing: Timing, objectives: StartObjectives, term: int, now: float
    ) -> None:
        self.term = term
        self.term_started_at = now
        self.timing = timing
        self.heartbeat_interval_s = timing.heartbeat_interval_s
        self.lease_s = timing.lease_s
        self._objectives = objectives
        self._max_heartbeat_age_s = MAX_HEARTBEAT_AGE_INTERVALS * timing.heartbeat_interval_s
        self._max_machine_attempts = max(
            1,
            (settings.cluster.state.lasting_value_bytes - SHARD_OVERHEAD_BYTES)
            // records.ATTEMPT_BYTES,
        )
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.zone_of: dict[str, str] = {}
        self.machine_types: dict[str, MachineType] = {}
        self.usage = quota.Usage(settings.cluster.teams)
        self.estimates = Estimates()
        self.last_arrival = now
        self.to_command: set[str] = set()
        self.releases: dict[str, str] = {}
        self.finished: list[Job] = []
        # Counts what a round may depend on, time aside: jobs and machines that come, go or
        # change their state, and tasks that are placed or are gone.
        self.changes = 0
        # Of these, machines that come, go, or become usable or unusable.
        self.fleet_changes = 0
        self._last_attempt_number = term * ATTEMPTS_PER_TERM
        self._guarantees_stale = True
        self._removed_machines = RecentNames()
        self._ended_jobs = RecentNames()
        self._job_forgotten_callbacks: list[Callable[[str], None]] = []
        self._machine_removed_callbacks: list[Callable[[str], None]] = []

    def on_job_forgotten(self, forget: Callable[[str], None]) -> None:
        """Have `forget` called with the id of each job that is over and has left all machines."""
        self._job_forgotten_callbacks.append(forget)

    def on_machine_removed(self, forget: Callable[[str], None]) -> None:
        """Have `forget` called with the name of each machine that is proven gone."""
        self._machine_removed_callbacks.append(forget)

    def count_changes(self, count: int = 1) -> None:
        """Something changed that a round depends on."""
        self.changes += count

    def count_fleet_change(self) -> None:
        """A machine came, went, or became usable or unusable."""
        self.changes += 1
        self.fleet_changes += 1

    def add_job(self, job: Job) -> None:
        """A job is live: accepted just now, or found by a new leader."""
        if job.id not in self.jobs and job.id not in self._ended_jobs:
            self.jobs[job.id] = job
            self.changes += 1
            if job.spec.team not in self.usage.teams:
                team_name = job.spec.team
                log.error("job %s can't start: the settings name no team %s", job.id, team_name)
            shortest_s = self._objectives.shortest_s(job)
            if shortest_s is not None:
                job.wait_objective_s = shortest_s
            self._guarantees_stale = True
            self.last_arrival = max(self.last_arrival, job.arrived)

    def end_job(self, job_id: str, done: bool, ended_at: float) -> Job | None:
        """The job was moved to `over`; None if it is not known here, or is over already."""
        # Also one that is not known here yet: its submission may be heard of later.
        self._ended_jobs.add(job_id)
        job = self.jobs.get(job_id)
        if job is None or job.state is not JobState.LIVE:
            return None
        self._guarantees_stale = True
        self.changes += 1
        if done:
            job.finish()
            log.info("job %s done", job_id)
        else:
            job.abort(ended_at)
            log.info("job %s aborted, tasks on machines: %d", job_id, len(job.attempts))
        return job

    def forget_if_ended(self, job: Job) -> None:
        """Drop a job that is over once no attempt of it is left on any machine."""
        if job.state is not JobState.LIVE and not job.attempts:
            self.jobs.pop(job.id, None)
            for forget in self._job_forgotten_callbacks:
                forget(job.id)

    def record_success(self, job_id: str, index: int) -> None:
        """A task has completed; a job that this completes is queued in `finished`."""
        job = self.jobs.get(job_id)
        if job is None or job.state is not JobState.LIVE or index >= job.spec.tasks:
            return
        done_before = job.completed_count
        if job.gang:
            # A gang completes together: one task done means all are.
            for task_index in range(job.spec.tasks):
                job.mark_completed(task_index)
        else:
            job.mark_completed(index)
        self.changes += job.completed_count != done_before
        self.queue_if_complete(job)

    def queue_if_complete(self, job: Job) -> None:
        """Queue a live job in `finished` once all its tasks are done."""
        if job.is_complete and job not in self.finished:
            self.finished.append(job)

    def refresh_guarantees(self) -> None:
        """Mark anew which jobs are within their teams' guaranteed quota, if that may differ."""
        if self._guarantees_stale:
            live = [job for job in self.jobs.values() if job.state is JobState.LIVE]
            quota.mark_guaranteed(live, self.usage.teams)
            self._guarantees_stale = False

    def add_machine(
        self, name: str, zone: str, spot: bool, machine_type: str, now: float
    ) -> Machine:
        """A machine was rented, listed, heard of by a heartbeat or found in the intents."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, zone, spot, self.machine_types.get(machine_type), now)
            self.machines[name] = machine
            self.zone_of[name] = zone
            self.count_fleet_change()
        return machine

    def add_rented(self, name: str, zone: str, spot: bool, machine_type: str, now: float) -> None:
        """The cloud names a machine in its answer to a scale-out request.

        The request may have been repeated, and the machine may be gone by now.
        """
        if name not in self._removed_machines:
            self.add_machine(name, zone, spot, machine_type, now)

    def is_removed(self, name: str) -> bool:
        """Whether a machine was released, and what is heard of it now is late."""
        return name in self._removed_machines

    def remove_machine(self, name: str, now: float) -> None:
        """A release was answered 200: the machine and all on it are gone."""
        machine = self.machines.get(name)
        self._removed_machines.add(name)
        self.releases.pop(name, None)
        self.to_command.discard(name)
        if machine is None:
            return
        # While the machine is still known: an attempt dropped after that would
        # count against its team's limit for the rest of the term.
        for attempt in list(machine.attempts.values()):
            self.remove_attempt(attempt, now)
        del self.machines[name]
        self.count_fleet_change()
        for forget in self._machine_removed_callbacks:
            forget(name)
        self.zone_of.pop(name, None)
        machine.mark_gone(now)
        log.info("machine %s gone: %s", name, machine.reason)

    def release(self, machine: Machine, reason: str, now: float) -> None:
        """Queue a machine in `releases`; what was never launched there is placed elsewhere."""
        if machine.state is not MachineState.RELEASING:
            log.info("machine %s released: %s", machine.name, reason)
            machine.release(reason, now)
            self.count_fleet_change()
            self.releases[machine.name] = reason
            self.remove_unsent(machine, now)

    def requeue_release(self, machine: Machine) -> None:
        """Queue a machine that is being released, if it is not queued."""
        self.releases.setdefault(machine.name, machine.reason)

    def must_be_released(self, name: str) -> bool:
        """Whether a machine is released for a cancelled job's task."""
        machine = self.machines.get(name)
        return machine is not None and any(
            attempt.job.state is JobState.ABORTED for attempt in machine.attempts.values()
        )

    def queue_command(self, name: str) -> None:
        """Queue a machine in `to_command`."""
        self.to_command.add(name)

    def silence_s(self, machine: Machine, now: float) -> float:
        """Seconds since the machine's last heartbeat, or since this term began."""
        return now - max(machine.last_seen_at, self.term_started_at)

    def usable(self, machine: Machine, now: float) -> bool:
        """Whether new work may be planned there."""
        return (
            machine.state is MachineState.READY
            and machine.command_unreachable_since is None
            and machine.quarantined_until <= now
            # Relayed heartbeats don't count: a launch needs an answer of our own.
            and now - machine.last_own_heartbeat_at < self._max_heartbeat_age_s
        )

    def next_attempt_number(self) -> int:
        """A number that no attempt of any term has."""
        self._last_attempt_number += 1
        return self._last_attempt_number

    def new_attempt(
        self, job: Job, index: int, machine: Machine, attempt_number: int, now: float
    ) -> TaskAttempt:
        """A new attempt that takes its resources and quota from now on; its job adds it itself."""
        attempt = TaskAttempt(job, index, attempt_number, machine.name, now)
        attempt.incarnation = machine.incarnation
        machine.attach(attempt)
        self.usage.add(job)
        return attempt

    def intents_fit(self, machine: Machine, count: int) -> bool:
        """Whether the machine's intents still fit a stored value with so many more tasks."""
        return len(machine.attempts) + count <= self._max_machine_attempts

    def attach(self, attempt: TaskAttempt) -> None:
        """An attempt that was not planned here may be on its machine."""
        self.changes += 1
        attempt.job.add_attempt(attempt)
        self.machines[attempt.machine].attach(attempt)
        self.usage.add(attempt.job)

    def adopt(self, attempt: TaskAttempt) -> None:
        """An intent of an earlier term: possibly running."""
        attempt.possibly_running = True
        attempt.state = AttemptState.LAUNCH_SENT
        self.attach(attempt)

    def remove_attempt(self, attempt: TaskAttempt, now: float) -> None:
        """An attempt is over: it ended, or is proven gone, or was never sent."""
        self.changes += 1
        machine = self.machines.get(attempt.machine)
        if machine is not None:
            if machine.detach(attempt):
                self.usage.remove(attempt.job)
                if machine.empty:
                    machine.note_busy(now)
        attempt.mark_gone(now)
        attempt.job.remove_attempt(attempt)
        self.forget_if_ended(attempt.job)

    def remove_unsent(self, machine: Machine, now: float) -> None:
        """Drop the attempts on a machine whose launches were never sent and won't be."""
        for attempt in list(machine.attempts.values()):
            if attempt.state in UNSENT and not attempt.possibly_running:
                self.remove_attempt(attempt, now)

    def remaining_s(self, attempt: TaskAttempt, now: float) -> float:
        """Seconds that a task is expected to run on."""
        spec = attempt.job.spec
        elapsed = attempt.job.progress_s
        if attempt.running_since is not None:
            elapsed += now - attempt.running_since
        return self.estimates.remaining_s(spec.job_class, spec.estimated_run_s, elapsed)
