"""Each controller's record of confirmed cancellations, independent of the key-value store.

A committed cancellation is final, so any controller that knows of it may send kills. Each
controller therefore keeps a record, sends it to all peers until they acknowledge it, and kills
the recorded jobs' tasks in every response to a heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from topazhold.core.cancellation_knowledge import CancellationKnowledge
from topazhold.wire import messages as wire
from topazhold.wire.workers import Command, Heartbeat, TaskStatus

#: A cancellation is kept for this multiple of `cancel_s` plus a lease: by then its tasks have
#: ended, and stale heartbeats that show them no longer arrive.
RETENTION_FACTOR = 4.0
#: Maximum number of cancellations kept, whatever their age.
MAX_ENTRIES = 20_000
#: Entries in one message; the next one is sent after the acknowledgement.
MAX_ENTRIES_PER_MESSAGE = 500


class CancellationChanges(NamedTuple):
    """Entries that a peer lacks, numbered above `after` and up to `upto`."""

    after: int
    upto: int
    entries: list[list[Any]]  # [job, wall-clock time]


class _Entry(NamedTuple):
    """A cancelled job's entry number, and the wall-clock time of its cancellation."""

    number: int
    at: float


class _Received(NamedTuple):
    """Progress of receiving from a peer: all entries of its incarnation up to `upto` arrived."""

    incarnation: str
    upto: int


#: Entry number of a peer that does not know yet whether there are any entries.
NO_ENTRIES = -1


class Cancellations:
    """A controller's record, and how much of it each peer has acknowledged.

    Entries are numbered in the order in which they were added, and a peer acknowledges all
    entries up to a number. Numbers are valid for this process only, which `incarnation`
    identifies.
    """

    def __init__(
        self,
        incarnation: str,
        cancel_s: float,
        lease_s: float,
        knowledge: CancellationKnowledge | None = None,
    ) -> None:
        self.incarnation = incarnation
        self.knowledge = knowledge if knowledge is not None else CancellationKnowledge()
        #: Whether the record is known to lack no confirmed cancellation. A new process misses
        #: the earlier ones until an informed peer has sent it all entries, or until it has
        #: loaded the whole state as leader.
        self.informed = False
        self._retention_s = RETENTION_FACTOR * (cancel_s + lease_s)
        self._entries: dict[str, _Entry] = {}  # by job, oldest first
        self._last_number = 0
        self._acknowledged: dict[str, int] = {}  # by peer: number up to which it has all
        self._received: dict[str, _Received] = {}  # by peer

    def add(self, job: str, at: float, now: float) -> bool:
        """Add a cancellation confirmed at `at`; return whether it is new (wall-clock times)."""
        if job in self._entries or now - at > self._retention_s:
            return False
        self._last_number += 1
        self._entries[job] = _Entry(self._last_number, at)
        while self._entries:
            oldest = next(iter(self._entries))
            if (
                len(self._entries) <= MAX_ENTRIES
                and now - self._entries[oldest].at < self._retention_s
            ):
                break
            del self._entries[oldest]
        return True

    def __contains__(self, job: object) -> bool:
        return job in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def cancelled_at(self, job: str) -> float | None:
        """Return the wall-clock time at which the job was cancelled; None if it is not recorded."""
        entry = self._entries.get(job)
        return entry.at if entry is not None else None

    def cancelled_since(self, at: float) -> list[tuple[str, float]]:
        """Return the jobs cancelled after `at` with their wall-clock times, newest first."""
        return [(job, entry.at) for job, entry in reversed(self._entries.items()) if entry.at > at]

    # -- workers -------------------------------------------------------------

    def _cancelled_tasks(self, tasks: Iterable[TaskStatus]) -> list[TaskStatus]:
        """Return the tasks in a heartbeat that have not ended and whose jobs are cancelled."""
        if not self._entries:
            return []
        return [task for task in tasks if task.state != wire.ENDED and task.job in self._entries]

    def kill_commands(self, heartbeat: Heartbeat) -> list[Command]:
        """Return kills for a heartbeat's tasks of cancelled jobs; no other job state is needed."""
        return [
            wire.kill(task.task_name, task.attempt_number, 0.0)
            for task in self._cancelled_tasks(heartbeat.tasks)
        ]

    # -- peers ---------------------------------------------------------------

    def changes_for(self, peer: str) -> CancellationChanges | None:
        """Return the entries that a peer lacks; None if it has all of them.

        The first message to a peer is sent even without entries, so that the peer knows that
        there are none.
        """
        after = self._acknowledged.get(peer, NO_ENTRIES)
        if after >= self._last_number:
            return None
        entries: list[list[Any]] = []
        upto = self._last_number
        for job, entry in reversed(self._entries.items()):
            if entry.number <= after:
                break
            entries.append([job, entry.at])
        entries.reverse()
        if len(entries) > MAX_ENTRIES_PER_MESSAGE:
            entries = entries[:MAX_ENTRIES_PER_MESSAGE]
            upto = self._entries[entries[-1][0]].number
        return CancellationChanges(after, upto, entries)

    def record_acknowledgement(self, peer: str, incarnation: str, upto: int) -> bool:
        """Record that a peer has all of `incarnation` up to `upto`; return whether it lacks any."""
        known = upto if incarnation == self.incarnation else NO_ENTRIES
        self._acknowledged[peer] = known
        return known < self._last_number

    def peer_has(self, peer: str, job: str) -> bool:
        """Return whether the peer has acknowledged the job's cancellation."""
        entry = self._entries.get(job)
        if entry is None:
            return False
        return self._acknowledged.get(peer, NO_ENTRIES) >= entry.number

    def receive(
        self, peer: str, incarnation: str, after: int, upto: int, entries: Iterable[Any], now: float
    ) -> list[tuple[str, float]]:
        """Add a peer's changes; return the (job, wall-clock time) of the new ones.

        Changes after a gap are ignored: the unchanged acknowledgement makes the peer send them
        again.
        """
        received = self._received.get(peer)
        known = NO_ENTRIES
        if received is not None and received.incarnation == incarnation:
            known = received.upto
        if after > known:
            self._received[peer] = _Received(incarnation, known)
            return []
        added = []
        for job, at in entries:
            if isinstance(job, str) and self.add(job, float(at), now):
                added.append((job, float(at)))
        self._received[peer] = _Received(incarnation, max(known, int(upto)))
        return added

    @property
    def last_number(self) -> int:
        """Number of the newest entry."""
        return self._last_number

    def receipts(self) -> dict[str, list[Any]]:
        """Return the acknowledgements by peer: [incarnation, number up to which all arrived]."""
        return {peer: list(received) for peer, received in self._received.items()}

    def has_all_of(self, peer: str, incarnation: str, last: int) -> bool:
        """Return whether all of a peer's entries, up to its number `last`, have been received."""
        received = self._received.get(peer)
        return (
            received is not None and received.incarnation == incarnation and received.upto >= last
        )
