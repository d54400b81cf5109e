"""Machines: what they run, what capacity they have, what is known of them."""

from __future__ import annotations

from enum import Enum

from topazhold.core.estimates import fetch_s
from topazhold.core.image_cache import ImageCache
from topazhold.core.jobs import DISTANT_PAST, Resources
from topazhold.core.resources import NO_RESOURCES, add_resources
from topazhold.core.task_attempts import WITH_IMAGE, TaskAttempt
from topazhold.wire.cloud import MachineType

#: Reason of a drain and release, as it is recorded: jobs that are not at fault fail there.
QUARANTINED = "sick"
#: The same, as it is recorded: its heartbeats arrive, and no command reaches it.
COMMANDS_UNREACHABLE = "deaf"


class MachineState(Enum):
    """Where a machine stands, from its rental to the proof that it is gone."""

    STARTING = "starting"  # rented, its worker has not been heard
    UNSYNCED = "unsynced"  # heard of, but not yet under this term
    READY = "ready"
    DRAINING = "draining"  # takes no new work: notice, fault or return
    RELEASING = "releasing"  # release asked; nothing may be launched any more
    GONE = "gone"


class Machine:
    """One rented machine."""

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
        self.last_answered_at = DISTANT_PAST  # last heartbeat answered, here or by a follower
        self.incarnation_since = now  # when the present incarnation was first heard of
        self.lost_commands = 0  # answers with launches that can be seen not to have arrived
        self.command_unreachable_since: float | None = None
        self.unconfirmed = False  # known by a heartbeat alone that may be a late copy
        self.terminates_at: float | None = None  # end announced by a notice
        self.attempts: dict[tuple[str, int], TaskAttempt] = {}
        self.used: Resources = NO_RESOURCES
        self.orphans: dict[tuple[str, int], str] = {}  # (name, attempt) -> stage; of no job here
        self.images = ImageCache()
        self.error_jobs: set[str] = set()
        self.quarantined_until = 0.0
        self.idle_since = now
        self.missed_lists = 0  # lists in a row, asked for after it fell silent, without it
        self.reason = ""
        self.last_own_heartbeat_at = DISTANT_PAST  # last one received by this controller itself
        self.term_announced_at = DISTANT_PAST
        self.last_commanded_at = DISTANT_PAST  # last commanded directly
        self.offer_changes = 0  # of what its resource offer says
        self.wake_tasks: list[tuple[str, int]] = []  # ended tasks kept to wake its worker with

    # -- changes of state ------------------------------------------------

    def _enter(self, state: MachineState, now: float) -> None:
        if state is not self.state:
            self.state = state
            self.state_since = now
            self.offer_changes += 1

    @property
    def last_seen_at(self) -> float:
        """When the last heartbeat arrived; without any, when the machine entered its state."""
        return self.last_heartbeat_at if self.last_heartbeat_at is not None else self.state_since

    def on_heartbeat(self, synced: bool, now: float) -> None:
        """A heartbeat arrived; `synced`: it was written under this term."""
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
        """Heartbeats arrive, but commands don't reach the worker; whether that is a change."""
        if self.command_unreachable_since is not None:
            return False
        self.command_unreachable_since = now
        return True

    def mark_command_reachable(self) -> bool:
        """The worker has acted on a command; whether that is a change."""
        self.lost_commands = 0
        was_unreachable = self.command_unreachable_since is not None
        self.command_unreachable_since = None
        return was_unreachable

    @property
    def command_unreachable(self) -> bool:
        """Whether heartbeats arrive from the worker, but commands don't reach it."""
        return self.command_unreachable_since is not None

    def drain(self, reason: str, now: float) -> None:
        """Take no new work."""
        if self.state in (MachineState.UNSYNCED, MachineState.READY):
            self.reason = reason
            self._enter(MachineState.DRAINING, now)

    def release(self, reason: str, now: float) -> None:
        """The release is about to be asked for; no way back."""
        if self.state is not MachineState.GONE:
            self.reason = reason
            self._enter(MachineState.RELEASING, now)

    def mark_gone(self, now: float) -> None:
        """It is proven that the machine and everything on it are gone."""
        self._enter(MachineState.GONE, now)

    # -- what is learnt of it ----------------------------------------------

    def restore_incarnation(self, incarnation: int, now: float) -> None:
        """Intents of an earlier term name the machine: it was up, and is not heard yet."""
        self.incarnation = incarnation
        if self.state is MachineState.STARTING and incarnation:
            self.on_heartbeat(False, now)
            self.last_heartbeat_at = None

    def mark_unconfirmed(self) -> None:
        """Nothing but a heartbeat that may be a late copy tells of the machine."""
        self.unconfirmed = True

    def set_machine_type(self, machine_type: MachineType | None) -> None:
        """Take the machine's type from the catalog, if that has it by now."""
        if self.machine_type is None:
            self.machine_type = machine_type

    def set_age(self, age_s: float, now: float) -> None:
        """The cloud says that the machine was rented `age_s` seconds ago."""
        self.rented_at = now - age_s

    def announce_term(self, now: float) -> None:
        """The worker is about to be told of this term directly."""
        self.term_announced_at = now

    def note_listed(self, endpoint: str | None) -> None:
        """The cloud's list names the machine."""
        self.unconfirmed = False
        if self.endpoint is None:
            self.endpoint = endpoint
        self.missed_lists = 0

    def begin_incarnation(self, incarnation: int, now: float) -> None:
        """The worker has a new incarnation: the one before has ended, with all its tasks."""
        self.incarnation = incarnation
        self.incarnation_since = now
        self.orphans.clear()

    def note_answered(self, directly: bool, now: float) -> None:
        """A heartbeat that awaits an answer came; `directly`: to this controller itself."""
        self.last_answered_at = now
        if directly:
            self.last_own_heartbeat_at = now

    def update_from_heartbeat(self, sequence: int, endpoint: str, term: int) -> None:
        """The newest heartbeat of the present incarnation; its worker knows `term`."""
        self.sequence = sequence
        self.endpoint = endpoint
        self.term = term

    def note_busy(self, now: float) -> None:
        """There was a task on the machine, or there could be one, until now."""
        self.idle_since = now

    def note_termination_notice(self, left_s: float, now: float) -> None:
        """The cloud takes the machine in `left_s` seconds."""
        self.terminates_at = now + left_s
        self.drain("notice", now)

    def count_lost_command(self) -> int:
        """An answer with launches did not arrive; how many since one did."""
        self.lost_commands += 1
        return self.lost_commands

    def count_missed_list(self) -> None:
        """One more list lacks the machine, asked for after it fell silent."""
        self.missed_lists += 1

    def record_error(self, job_id: str) -> int:
        """A job that is not at fault itself failed here; how many such jobs there are."""
        self.error_jobs.add(job_id)
        return len(self.error_jobs)

    def forget_error(self, job_id: str) -> None:
        """The errors of a job count no more: it is at fault itself."""
        self.error_jobs.discard(job_id)

    def forget_errors(self) -> None:
        """A task has completed here: earlier errors count no more."""
        self.error_jobs.clear()

    def set_orphans(self, orphans: dict[tuple[str, int], str]) -> None:
        """What the newest heartbeat names that no intent explains."""
        self.orphans = orphans

    def quarantine_until(self, at: float) -> None:
        """A launch found no capacity: take no new work before `at`."""
        self.quarantined_until = at

    def count_offer_change(self) -> None:
        """Something changed that the machine's resource offer says."""
        self.offer_changes += 1

    def set_wake_tasks(self, tasks: list[tuple[str, int]]) -> None:
        """Ended tasks (name, attempt) that are left uncleared, to wake the worker with."""
        self.offer_changes += bool(self.wake_tasks) is not bool(tasks)
        self.wake_tasks = tasks

    def pop_wake_task(self) -> tuple[str, int]:
        """The ended task (name, attempt) to clear now; IndexError if none is kept."""
        task = self.wake_tasks.pop()
        self.offer_changes += not self.wake_tasks
        return task

    # -- resources ------------------------------------------------------------

    @property
    def total(self) -> Resources:
        """Resources of the whole machine; none while its type is not known."""
        if self.machine_type is None:
            return NO_RESOURCES
        return (self.machine_type.cpus, self.machine_type.gpus, self.machine_type.memory_gb)

    def attach(self, attempt: TaskAttempt) -> None:
        """An attempt is, or may come to be, on the machine."""
        self.offer_changes += 1
        self.attempts[(attempt.job.id, attempt.index)] = attempt
        self.used = add_resources(self.used, attempt.job.need)

    def detach(self, attempt: TaskAttempt) -> bool:
        """An attempt is not here any more; whether it was."""
        key = (attempt.job.id, attempt.index)
        if self.attempts.get(key) is not attempt:
            return False
        del self.attempts[key]
        self.offer_changes += 1
        # Sums drift; an empty machine is exactly empty again.
        self.used = (
            add_resources(self.used, attempt.job.need, -1.0) if self.attempts else NO_RESOURCES
        )
        return True

    def free(self) -> Resources:
        """Resources that nothing on the machine, or on its way there, takes."""
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
        """An image is there."""
        capacity_gb = self.machine_type.cache_gb if self.machine_type else 0.0
        self.offer_changes += self.images.use(image, size_gb, capacity_gb)

    def fetch_s(self, image: str, size_gb: float) -> float:
        """Expected seconds until the image is there, other fetches included."""
        if image in self.images or self.machine_type is None:
            return 0.0
        queue = {image: size_gb}
        for attempt in self.attempts.values():
            if attempt.is_active and attempt.state not in WITH_IMAGE:
                spec = attempt.job.spec
                if spec.image not in self.images:
                    queue.setdefault(spec.image, spec.image_gb)
        return fetch_s(sum(queue.values()), self.machine_type.fetch_gb_per_s)
