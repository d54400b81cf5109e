"""Confirmed cancellations, as every controller knows them apart from the state service.

A cancellation is a fact once it is committed, and whoever hears of it may act on
it: kills are safe from anybody. So each controller keeps a record, tells it to
all peers until they have it, and kills what the record names in every answer
that it gives to a worker.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from topazhold.wire import messages as wire
from topazhold.wire.workers import Command, Heartbeat, TaskStatus

#: A cancellation is kept for so many times `cancel_s` and a lease together: by then
#: its tasks are long gone, and so are late copies of reports that show them.
KEEP_TIMES = 4.0
#: Bound on those kept, whatever their age.
MAX_ENTRIES = 20_000
#: Entries in one message; the next follows on the acknowledgement.
MAX_SENT = 500


class Cancellations:
    """One controller's record, and how much of it each peer has.

    Entries are numbered in the order in which they came; a peer acknowledges all
    up to a number. The numbers belong to this process: `boot` tells it from others.
    """

    def __init__(self, incarnation: str, cancel_s: float, lease_s: float) -> None:
        self.incarnation = incarnation
        #: Whether no confirmation can have been missed. A process that has just
        #: started can't know of those before, until a peer that can tells it all,
        #: or it has read the whole state as leader.
        self.informed = False
        self._keep_s = KEEP_TIMES * (cancel_s + lease_s)
        self._entries: dict[str, tuple[int, float]] = {}  # job -> number, time of day
        self._last = 0
        self._acked: dict[str, int] = {}  # peer -> number up to which it has all
        self._got: dict[str, tuple[str, int]] = {}  # peer -> its boot, what came from it

    def add(self, job: str, at: float, now: float) -> bool:
        """A cancellation confirmed at `at` (time of day); whether it is news."""
        if job in self._entries or now - at > self._keep_s:
            return False
        self._last += 1
        self._entries[job] = (self._last, at)
        while self._entries:
            oldest = next(iter(self._entries))
            if len(self._entries) <= MAX_ENTRIES and now - self._entries[oldest][1] < self._keep_s:
                break
            del self._entries[oldest]
        return True

    def __contains__(self, job: object) -> bool:
        return job in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def at(self, job: str) -> float | None:
        """When the job was cancelled, by the time of day."""
        entry = self._entries.get(job)
        return entry[1] if entry is not None else None

    def since(self, at: float) -> list[tuple[str, float]]:
        """Jobs cancelled after `at`, with the time of day, the newest first."""
        return [(job, when) for job, (_, when) in reversed(self._entries.items()) if when > at]

    # -- workers -------------------------------------------------------------

    def shown(self, tasks: Iterable[TaskStatus]) -> list[TaskStatus]:
        """Those tasks of a report that a cancellation ends."""
        if not self._entries:
            return []
        return [
            task
            for task in tasks
            if task.state != wire.ENDED and task.task_name.partition("/")[0] in self._entries
        ]

    def kills(self, heartbeat: Heartbeat) -> list[Command]:
        """Kills, with the attempts that the report names; they need no knowledge of the jobs."""
        return [
            wire.kill(task.task_name, task.attempt_number, 0.0)
            for task in self.shown(heartbeat.tasks)
        ]

    # -- peers ---------------------------------------------------------------

    def news(self, peer: str) -> tuple[int, int, list[list[Any]]] | None:
        """What a peer lacks: after which number, up to which, and the entries.

        None if it has everything. The first message to a peer is sent even when it
        carries nothing: it tells the peer that there is nothing to know.
        """
        after = self._acked.get(peer, -1)
        if after >= self._last:
            return None
        fresh: list[list[Any]] = []
        upto = self._last
        for job, (number, at) in reversed(self._entries.items()):
            if number <= after:
                break
            fresh.append([job, at])
        fresh.reverse()
        if len(fresh) > MAX_SENT:
            fresh = fresh[:MAX_SENT]
            upto = self._entries[fresh[-1][0]][0]
        return after, upto, fresh

    def acknowledged(self, peer: str, incarnation: str, upto: int) -> bool:
        """A peer has all up to a number; whether it lacks anything."""
        self._acked[peer] = upto if incarnation == self.incarnation else -1
        return self._acked[peer] < self._last

    def peer_has(self, peer: str, job: str) -> bool:
        entry = self._entries.get(job)
        return entry is not None and self._acked.get(peer, -1) >= entry[0]

    def receive(
        self, peer: str, incarnation: str, after: int, upto: int, entries: Iterable[Any], now: float
    ) -> list[tuple[str, float]]:
        """A peer's news; those that are news here too.

        What comes out of order is not taken: the acknowledgement, which stays as it
        was, has it sent anew.
        """
        of_incarnation, got = self._got.get(peer, ("", -1))
        if of_incarnation != incarnation:
            got = -1
        if after > got:
            self._got[peer] = (incarnation, got)
            return []
        fresh = []
        for job, at in entries:
            if isinstance(job, str) and self.add(job, float(at), now):
                fresh.append((job, float(at)))
        self._got[peer] = (incarnation, max(got, int(upto)))
        return fresh

    @property
    def last(self) -> int:
        """The number of the newest entry."""
        return self._last

    def receipts(self) -> dict[str, list[Any]]:
        """What has come from each peer, to be acknowledged."""
        return {peer: [incarnation, got] for peer, (incarnation, got) in self._got.items()}

    def level_with(self, peer: str, incarnation: str, last: int) -> bool:
        """Whether all that a peer knows is known here."""
        return self._got.get(peer) == (incarnation, last)
