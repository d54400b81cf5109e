"""Confirmed cancellations, as every controller knows them apart from the key-value store.

A cancellation is a fact once it is committed, and whoever learns of it may act on it: kills
are safe from any controller. So each one keeps a record, sends it to all peers until they
have it, and kills what the record names in every response to a heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from topazhold.wire import messages as wire
from topazhold.wire.workers import Command, Heartbeat, TaskStatus

#: A cancellation is kept for so many times `cancel_s` and a lease together: by then
#: its tasks are long gone, and so are late copies of heartbeats that show them.
RETENTION_FACTOR = 4.0
#: Bound on those kept, whatever their age.
MAX_ENTRIES = 20_000
#: Entries in one message; the next follows on the acknowledgement.
MAX_ENTRIES_PER_MESSAGE = 500


class CancellationChanges(NamedTuple):
    """Entries that a peer lacks: those numbered above `after`, up to `upto`."""

    after: int
    upto: int
    entries: list[list[Any]]  # [job, time of day]


class _Entry(NamedTuple):
    """A cancelled job's number in this record, and the time of day of its cancellation."""

    number: int
    at: float


class _Received(NamedTuple):
    """What has come from a peer: all of that incarnation's entries up to a number."""

    incarnation: str
    upto: int


#: In place of a number: not even known that there are no entries.
NO_ENTRIES = -1


class Cancellations:
    """One controller's record, and how much of it each peer has.

    Entries are numbered in the order in which they came; a peer acknowledges all up to a
    number. The numbers belong to this process: its `incarnation` tells it from others.
    """

    def __init__(self, incarnation: str, cancel_s: float, lease_s: float) -> None:
        self.incarnation = incarnation
        #: Whether no confirmation can have been missed. A process that has just started
        #: can't know of those before, until an informed peer has sent it all, or it has
        #: read the whole state as leader.
        self.informed = False
        self._retention_s = RETENTION_FACTOR * (cancel_s + lease_s)
        self._entries: dict[str, _Entry] = {}  # by job, the oldest first
        self._last_number = 0
        self._acknowledged: dict[str, int] = {}  # peer -> number up to which it has all
        self._received: dict[str, _Received] = {}  # by peer

    def add(self, job: str, at: float, now: float) -> bool:
        """A cancellation confirmed at `at`; whether it was unknown. Both times are times of day."""
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
        """When the job was cancelled, by the time of day."""
        entry = self._entries.get(job)
        return entry.at if entry is not None else None

    def cancelled_since(self, at: float) -> list[tuple[str, float]]:
        """Jobs cancelled after `at`, with the time of day, the newest first."""
        return [(job, entry.at) for job, entry in reversed(self._entries.items()) if entry.at > at]

    # -- workers -------------------------------------------------------------

    def _cancelled_tasks(self, tasks: Iterable[TaskStatus]) -> list[TaskStatus]:
        """Those tasks of a heartbeat that are to end for a cancellation."""
        if not self._entries:
            return []
        return [
            task
            for task in tasks
            if task.state != wire.ENDED and task.task_name.partition("/")[0] in self._entries
        ]

    def kill_commands(self, heartbeat: Heartbeat) -> list[Command]:
        """Kills of the attempts that the heartbeat names; they need no knowledge of the jobs."""
        return [
            wire.kill(task.task_name, task.attempt_number, 0.0)
            for task in self._cancelled_tasks(heartbeat.tasks)
        ]

    # -- peers ---------------------------------------------------------------

    def changes_for(self, peer: str) -> CancellationChanges | None:
        """What a peer lacks; None if it has everything.

        The first message to a peer is sent even when it carries nothing: it tells the peer
        that there is nothing to know.
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
        """A peer has all of `incarnation` up to a number; whether it lacks anything."""
        known = upto if incarnation == self.incarnation else NO_ENTRIES
        self._acknowledged[peer] = known
        return known < self._last_number

    def peer_has(self, peer: str, job: str) -> bool:
        """Whether the peer has acknowledged the job's cancellation."""
        entry = self._entries.get(job)
        if entry is None:
            return False
        return self._acknowledged.get(peer, NO_ENTRIES) >= entry.number

    def receive(
        self, peer: str, incarnation: str, after: int, upto: int, entries: Iterable[Any], now: float
    ) -> list[tuple[str, float]]:
        """A peer's changes; the (job, time of day) of those that were unknown here.

        What comes out of order is not taken: the acknowledgement, which stays as it was, has
        it sent again.
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
        """The number of the newest entry."""
        return self._last_number

    def receipts(self) -> dict[str, list[Any]]:
        """[incarnation, number up to which all has come] of each peer, to be acknowledged."""
        return {peer: list(received) for peer, received in self._received.items()}

    def has_all_of(self, peer: str, incarnation: str, last: int) -> bool:
        """Whether all that a peer knows is known here."""
        return self._received.get(peer) == (incarnation, last)
