"""The leader's view of the cluster: jobs, machines, and the task attempts on them."""

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

#: Attempt numbers reserved for each term, so that no number is ever used twice.
ATTEMPTS_PER_TERM = 1 << 24
#: Heartbeat intervals for which a machine takes new work after a heartbeat to this controller.
MAX_HEARTBEAT_AGE_INTERVALS = 2.5

#: States of a machine whose worker has sent a heartbeat.
UP_STATES = (MachineState.UNSYNCED, MachineState.READY, MachineState.DRAINING)


class ClusterState:
    """Holds jobs, machines and attempts, and keeps them consistent with each other.

    Other parts of the scheduler may read it directly but change it only through its methods.
    It owns the tables `jobs`, `machines`, `zone_of` and `machine_types`, the teams' `usage`, the
    `estimates` of run times, the change counters, the attempt numbers, and the queues of work
    for the callers: `to_command` (machines for direct commands), `releases` (machines to release,
    with the reason) and `finished` (jobs whose records move to `over`).
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
        self.max_machine_attempts = records.max_machine_attempts(
            settings.cluster.key_value_store.lasting_value_bytes
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
        # Counts every change, except the passing of time, that may alter a scheduling
        # round: jobs and machines added, removed or changing state, tasks placed or removed.
        self.changes = 0
        # The subset for machines that are added, removed, or become usable or unusable.
        self.fleet_changes = 0
        self._last_attempt_number = term * ATTEMPTS_PER_TERM
        self._guarantees_stale = True
        self._removed_machines = RecentNames()
        self._ended_jobs = RecentNames()
        self._job_forgotten_callbacks: list[Callable[[str], None]] = []
        self._machine_removed_callbacks: list[Callable[[str], None]] = []

    def on_job_forgotten(self, forget: Callable[[str], None]) -> None:
        """Call `forget` with the id of each ended job once it has no attempts left."""
        self._job_forgotten_callbacks.append(forget)

    def on_machine_removed(self, forget: Callable[[str], None]) -> None:
        """Call `forget` with the name of each machine that is removed."""
        self._machine_removed_callbacks.append(forget)

    def count_changes(self, count: int = 1) -> None:
        """Count changes that a scheduling round depends on."""
        self.changes += count

    def count_fleet_change(self) -> None:
        """Count a machine that was added, removed, or became usable or unusable."""
        self.changes += 1
        self.fleet_changes += 1

    def add_job(self, job: Job) -> None:
        """Add a live job, just accepted or loaded by a new leader."""
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
        """End a job whose record was moved to `over`; None if it is unknown or already ended."""
        # Also remembered for an unknown job: its submission may arrive after its end.
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
            log.info("job %s aborted, tasks still on machines: %d", job_id, len(job.attempts))
        return job

    def forget_if_ended(self, job: Job) -> None:
        """Remove an ended job that has no attempt left on any machine."""
        if job.state is not JobState.LIVE and not job.attempts:
            self.jobs.pop(job.id, None)
            for forget in self._job_forgotten_callbacks:
                forget(job.id)

    def record_success(self, job_id: str, index: int) -> None:
        """Mark a task as completed; queue its job in `finished` if that completes the job."""
        job = self.jobs.get(job_id)
        if job is None or job.state is not JobState.LIVE or index >= job.spec.tasks:
            return
        done_before = job.completed_count
        if job.gang:
            # The tasks of a gang complete together, so one completion counts for all.
            for task_index in range(job.spec.tasks):
                job.mark_completed(task_index)
        else:
            job.mark_completed(index)
        self.changes += job.completed_count != done_before
        self.queue_if_complete(job)

    def queue_if_complete(self, job: Job) -> None:
        """Queue a job in `finished` if all its tasks have completed."""
        if job.is_complete and job not in self.finished:
            self.finished.append(job)

    def refresh_guarantees(self) -> None:
        """Update which jobs are within their teams' guaranteed quota, if that may have changed."""
        if self._guarantees_stale:
            live = [job for job in self.jobs.values() if job.state is JobState.LIVE]
            quota.mark_guaranteed(live, self.usage.teams)
            self._guarantees_stale = False

    def add_machine(
        self, name: str, zone: str, spot: bool, machine_type: str, now: float
    ) -> Machine:
        """Return a machine, adding one newly rented, listed or named by a heartbeat or intent."""
        machine = self.machines.get(name)
        if machine is None:
            machine = Machine(name, zone, spot, self.machine_types.get(machine_type), now)
            self.machines[name] = machine
            self.zone_of[name] = zone
            self.count_fleet_change()
        return machine

    def add_rented(self, name: str, zone: str, spot: bool, machine_type: str, now: float) -> None:
        """Add a machine that the cloud's response to a scale-out request names.

        The response may be to a repeated request, so a machine that has been removed is ignored.
        """
        if name not in self._removed_machines:
            self.add_machine(name, zone, spot, machine_type, now)

    def is_removed(self, name: str) -> bool:
        """Return whether the machine was removed, so that any message about it is stale."""
        return name in self._removed_machines

    def remove_machine(self, name: str, now: float) -> None:
        """Remove a machine, and the attempts on it, after its release was answered 200."""
        machine = self.machines.get(name)
        self._removed_machines.add(name)
        self.releases.pop(name, None)
        self.to_command.discard(name)
        if machine is None:
            return
        # Before the machine is deleted: an attempt removed afterwards would not be detached,
        # and would count against its team's limit for the rest of the term.
        for attempt in list(machine.attempts.values()):
            self.remove_attempt(attempt, now)
        del self.machines[name]
        self.count_fleet_change()
        for forget in self._machine_removed_callbacks:
            forget(name)
        self.zone_of.pop(name, None)
        machine.mark_gone(now)
        log.info("machine %s removed: %s", name, machine.reason)

    def release(self, machine: Machine, reason: str, now: float) -> None:
        """Queue a machine in `releases` and remove its unsent attempts, to place them elsewhere."""
        if machine.state is not MachineState.RELEASING:
            log.info("machine %s queued for release: %s", machine.name, reason)
            machine.release(reason, now)
            self.count_fleet_change()
            self.releases[machine.name] = reason
            self.remove_unsent(machine, now)

    def requeue_release(self, machine: Machine) -> None:
        """Queue a releasing machine in `releases` again, unless it is still queued."""
        self.releases.setdefault(machine.name, machine.reason)

    def must_be_released(self, name: str) -> bool:
        """Return whether a cancelled job still has an attempt on the machine."""
        machine = self.machines.get(name)
        return machine is not None and any(
            attempt.job.state is JobState.ABORTED for attempt in machine.attempts.values()
        )

    def queue_command(self, name: str) -> None:
        """Queue a machine in `to_command`, to send it commands directly."""
        self.to_command.add(name)

    def silence_s(self, machine: Machine, now: float) -> float:
        """Return the seconds since the machine's last heartbeat, or since this term began."""
        return now - max(machine.last_seen_at, self.term_started_at)

    def usable(self, machine: Machine, now: float) -> bool:
        """Return whether new work may be placed on the machine."""
        return (
            machine.state is MachineState.READY
            and machine.command_unreachable_since is None
            and machine.quarantined_until <= now
            # Forwarded heartbeats don't count: launches go out only in this controller's responses.
            and now - machine.last_own_heartbeat_at < self._max_heartbeat_age_s
        )

    def next_attempt_number(self) -> int:
        """Return an attempt number that is unique across all terms."""
        self._last_attempt_number += 1
        return self._last_attempt_number

    def new_attempt(
        self, job: Job, index: int, machine: Machine, attempt_number: int, now: float
    ) -> TaskAttempt:
        """Create an attempt that holds its resources and quota; the caller adds it to its job."""
        attempt = TaskAttempt(job, index, attempt_number, machine.name, now)
        attempt.incarnation = machine.incarnation
        machine.attach(attempt)
        self.usage.add(job)
        return attempt

    def intent_room(self, machine: Machine) -> int:
        """Return for how many more attempts the machine's intents fit a stored value."""
        return max(0, self.max_machine_attempts - len(machine.attempts))

    def attach(self, attempt: TaskAttempt) -> None:
        """Add an attempt that this leader did not plan but that may be on its machine."""
        self.changes += 1
        attempt.job.add_attempt(attempt)
        self.machines[attempt.machine].attach(attempt)
        self.usage.add(attempt.job)

    def adopt(self, attempt: TaskAttempt) -> None:
        """Add an attempt from an earlier term's intent, which may be running."""
        attempt.possibly_running = True
        attempt.state = AttemptState.LAUNCH_SENT
        self.attach(attempt)

    def remove_attempt(self, attempt: TaskAttempt, now: float) -> None:
        """Remove an attempt that ended, is proven gone, or whose launch was never sent."""
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
        """Remove the attempts on a machine whose launches were not sent."""
        for attempt in list(machine.attempts.values()):
            if attempt.state in UNSENT and not attempt.possibly_running:
                self.remove_attempt(attempt, now)

    def remaining_s(self, attempt: TaskAttempt, now: float) -> float:
        """Return the expected remaining run time of an attempt's task, in seconds."""
        spec = attempt.job.spec
        elapsed = attempt.job.progress_s
        if attempt.running_since is not None:
            elapsed += now - attempt.running_since
        return self.estimates.remaining_s(spec.job_class, spec.estimated_run_s, elapsed)
