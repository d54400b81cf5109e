"""Machines: their state, their attempts and their free resources."""

from __future__ import annotations

from enum import Enum

from topazhold.core.estimates import fetch_s
from topazhold.core.image_cache import ImageCache
from topazhold.core.jobs import DISTANT_PAST, Resources
from topazhold.core.resources import NO_RESOURCES, add_resources
from topazhold.core.task_attempts import WITH_IMAGE, TaskAttempt
from topazhold.wire.cloud import MachineType

#: Recorded reason of a drain and release: jobs that are not themselves at fault fail there.
QUARANTINED = "sick"
#: Recorded reason of a drain and release: heartbeats arrive, but commands don't reach the worker.
COMMANDS_UNREACHABLE = "deaf"


class MachineState(Enum):
    """Lifecycle of a machine, from its rental to its confirmed release."""

    STARTING = "starting"  # rented, no heartbeat yet
    UNSYNCED = "unsynced"  # heartbeats arrive, but none from this term yet
    READY = "ready"
    DRAINING = "draining"  # takes no new work: termination notice or quarantine
    RELEASING = "releasing"  # release queued or requested; nothing may be launched
    GONE = "gone"


class Machine:
    """A rented machine, with the attempts on it."""

    def __init__(
        self, name: str, zone: str, spot: bool, machine_type: MachineType | None, now: float
    ) -> None:
        self.name = name
        self.zone = zone
        self.spot = spot
        self.machine_type = machine_type
        self.state = MachineState.STARTING
        self.state_since = now
        self.rented_at = now
        self.endpoint: str | None = None
        self.incarnation = 0
        self.sequence = -1
        self.term = 0
        self.last_heartbeat_at: float | None = None
        self.last_answered_at = DISTANT_PAST  # by this controller or a follower
        self.incarnation_since = now  # when the incarnation was first seen
        self.lost_commands = 0  # responses with launches known to be lost, in a row
        self.command_unreachable_since: float | None = None
        self.unconfirmed = False  # known only from a possibly stale heartbeat
        self.terminates_at: float | None = None  # from a termination notice
        self.attempts: dict[tuple[str, int], TaskAttempt] = {}
        self.used: Resources = NO_RESOURCES
        self.orphans: dict[tuple[str, int], str] = {}  # (task, attempt) -> stage, of unknown jobs
        self.images = ImageCache()
        self.error_jobs: set[str] = set()
        self.quarantined_until = 0.0
        self.idle_since = now
        self.missed_lists = 0  # consecutive lists without it, requested since its last heartbeat
        self.reason = ""
        self.last_own_heartbeat_at = DISTANT_PAST  # received by this controller itself
        self.term_announced_at = DISTANT_PAST
        self.last_commanded_at = DISTANT_PAST  # by a direct command
        self.offer_changes = 0  # changes that affect its resource offer
        self.wake_tasks: list[tuple[str, int]] = []  # ended tasks whose clear wakes the worker

    # -- changes of state ------------------------------------------------

    def _enter(self, state: MachineState, now: float) -> None:
        if state is not self.state:
            self.state = state
            self.state_since = now
            self.offer_changes += 1

    @property
    def last_seen_at(self) -> float:
        """Time of the last heartbeat, or of entering the state if there was none."""
        return self.last_heartbeat_at if self.last_heartbeat_at is not None else self.state_since

    def on_heartbeat(self, synced: bool, now: float) -> None:
        """Record a heartbeat; `synced` if its worker knew this term when sending it."""
        self.last_heartbeat_at = now
        self.missed_lists = 0
        if self.state is MachineState.STARTING:
            self._enter(MachineState.UNSYNCED, now)
            self.idle_since = now
        if synced:
            self.unconfirmed = False
            if self.state is MachineState.UNSYNCED:
                self._enter(MachineState.READY, now)

    def mark_command_unreachable(self, now: float) -> bool:
        """Record that commands don't reach the worker; return whether that is new."""
        if self.command_unreachable_since is not None:
            return False
        self.command_unreachable_since = now
        return True

    def mark_command_reachable(self) -> bool:
        """Record that commands reach the worker; return whether they did not before."""
        self.lost_commands = 0
        was_unreachable = self.command_unreachable_since is not None
        self.command_unreachable_since = None
        return was_unreachable

    @property
    def command_unreachable(self) -> bool:
        """Whether the worker sends heartbeats but commands don't reach it."""
        return self.command_unreachable_since is not None

    def drain(self, reason: str, now: float) -> None:
        """Stop placing new work on the machine, unless it is already draining or releasing."""
        if self.state in (MachineState.UNSYNCED, MachineState.READY):
            self.reason = reason
            self._enter(MachineState.DRAINING, now)

    def release(self, reason: str, now: float) -> None:
        """Mark the machine as releasing; this can't be undone."""
        if self.state is not MachineState.GONE:
            self.reason = reason
            self._enter(MachineState.RELEASING, now)

    def mark_gone(self, now: float) -> None:
        """Mark the machine, and everything on it, as confirmed gone."""
        self._enter(MachineState.GONE, now)

    # -- observations ------------------------------------------------------

    def restore_incarnation(self, incarnation: int, now: float) -> None:
        """Restore the incarnation from an earlier term's intents: the machine was up then."""
        self.incarnation = incarnation
        if self.state is MachineState.STARTING and incarnation:
            self.on_heartbeat(False, now)
            self.last_heartbeat_at = None

    def mark_unconfirmed(self) -> None:
        """Mark the machine as known only from a heartbeat that may be stale."""
        self.unconfirmed = True

    def set_machine_type(self, machine_type: MachineType | None) -> None:
        """Set the machine's type if it is unknown; None if the catalog lacks it still."""
        if self.machine_type is None:
            self.machine_type = machine_type

    def set_age(self, age_s: float, now: float) -> None:
        """Set the rental time from the age that the cloud reports."""
        self.rented_at = now - age_s

    def announce_term(self, now: float) -> None:
        """Record that this term is being announced to the worker directly."""
        self.term_announced_at = now

    def note_listed(self, endpoint: str | None) -> None:
        """Record that the cloud's list names the machine."""
        self.unconfirmed = False
        if self.endpoint is None:
            self.endpoint = endpoint
        self.missed_lists = 0

    def begin_incarnation(self, incarnation: int, now: float) -> None:
        """Start a new incarnation of the worker; the previous one and all its tasks have ended."""
        self.incarnation = incarnation
        self.incarnation_since = now
        self.orphans.clear()

    def note_answered(self, directly: bool, now: float) -> None:
        """Record a heartbeat that gets a response; `directly` if this controller received it."""
        self.last_answered_at = now
        if directly:
            self.last_own_heartbeat_at = now

    def update_from_heartbeat(self, sequence: int, endpoint: str, term: int) -> None:
        """Update from the current incarnation's newest heartbeat; its worker knows `term`."""
        self.sequence = sequence
        self.endpoint = endpoint
        self.term = term

    def note_busy(self, now: float) -> None:
        """Record that the machine had, or may have had, a task until now."""
        self.idle_since = now

    def note_termination_notice(self, left_s: float, now: float) -> None:
        """Drain the machine: the cloud terminates it in `left_s` seconds."""
        self.terminates_at = now + left_s
        self.drain("notice", now)

    def count_lost_command(self) -> int:
        """Count a lost response with launches; return the number since commands last arrived."""
        self.lost_commands += 1
        return self.lost_commands

    def count_missed_list(self) -> None:
        """Count a list without the machine that was requested after its last heartbeat."""
        self.missed_lists += 1

    def record_error(self, job_id: str) -> int:
        """Record a failure of a job not known to be faulty; return the number of such jobs."""
        self.error_jobs.add(job_id)
        return len(self.error_jobs)

    def forget_error(self, job_id: str) -> None:
        """Stop counting a job's failure against the machine: the job itself is faulty."""
        self.error_jobs.discard(job_id)

    def forget_errors(self) -> None:
        """Clear the recorded failures, because a task has completed on the machine."""
        self.error_jobs.clear()

    def set_orphans(self, orphans: dict[tuple[str, int], str]) -> None:
        """Store the tasks of the newest heartbeat that match no attempt."""
        self.orphans = orphans

    def quarantine_until(self, at: float) -> None:
        """Take no new work before `at`, because a launch found no capacity."""
        self.quarantined_until = at

    def count_offer_change(self) -> None:
        """Count a change that affects the machine's resource offer."""
        self.offer_changes += 1

    def set_wake_tasks(self, tasks: list[tuple[str, int]]) -> None:
        """Store ended tasks (name, attempt) left uncleared: clearing one wakes the worker."""
        self.offer_changes += bool(self.wake_tasks) is not bool(tasks)
        self.wake_tasks = tasks

    def pop_wake_task(self) -> tuple[str, int]:
        """Remove and return an ended task (name, attempt) to clear; IndexError if there is none."""
        task = self.wake_tasks.pop()
        self.offer_changes += not self.wake_tasks
        return task

    # -- resources ------------------------------------------------------------

    @property
    def total(self) -> Resources:
        """Total resources of the machine; zero while its type is unknown."""
        if self.machine_type is None:
            return NO_RESOURCES
        return (self.machine_type.cpus, self.machine_type.gpus, self.machine_type.memory_gb)

    def attach(self, attempt: TaskAttempt) -> None:
        """Add an attempt that is, or may come to be, on the machine."""
        self.offer_changes += 1
        self.attempts[(attempt.job.id, attempt.index)] = attempt
        self.used = add_resources(self.used, attempt.job.need)

    def detach(self, attempt: TaskAttempt) -> bool:
        """Remove an attempt; return whether it was on the machine."""
        key = (attempt.job.id, attempt.index)
        if self.attempts.get(key) is not attempt:
            return False
        del self.attempts[key]
        self.offer_changes += 1
        # Floating-point sums drift, so the usage of an empty machine is reset to zero.
        self.used = (
            add_resources(self.used, attempt.job.need, -1.0) if self.attempts else NO_RESOURCES
        )
        return True

    def free(self) -> Resources:
        """Return the resources that no attempt, launched or planned, holds."""
        machine_type = self.machine_type
        if machine_type is None:
            return NO_RESOURCES
        used = self.used
        return (
            machine_type.cpus - used[0],
            machine_type.gpus - used[1],
            machine_type.memory_gb - used[2],
        )

    @property
    def empty(self) -> bool:
        """Whether no task is, or may come to be, on the machine."""
        return not self.orphans and not self.attempts

    def note_image_fetched(self, image: str, size_gb: float) -> None:
        """Record the use of an image that the machine has fetched."""
        capacity_gb = self.machine_type.cache_gb if self.machine_type else 0.0
        self.offer_changes += self.images.use(image, size_gb, capacity_gb)

    def fetch_s(self, image: str, size_gb: float) -> float:
        """Return the expected seconds until the image is fetched, behind the pending fetches."""
        return 0.0 if image in self.images else self.pending_fetches_s(image, size_gb)

    def pending_fetches_s(self, image: str, size_gb: float) -> float:
        """Return the expected seconds that fetching the image and the pending ones takes."""
        if self.machine_type is None:
            return 0.0
        queue = {image: size_gb}
        for attempt in self.attempts.values():
            if attempt.is_active and attempt.state not in WITH_IMAGE:
                spec = attempt.job.spec
                if spec.image not in self.images:
                    queue.setdefault(spec.image, spec.image_gb)
        return fetch_s(sum(queue.values()), self.machine_type.fetch_gb_per_s)
