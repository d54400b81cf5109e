"""Hints about which machines may have which jobs' tasks, as known to a follower.

They are used only to end the tasks of cancelled jobs when no leader can. They come from the
leader's messages about changed machines, from the heartbeats that this controller answers
itself, and from the cloud's list of machines.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from topazhold.wire import messages as wire
from topazhold.wire.cloud import ListedMachine
from topazhold.wire.workers import Heartbeat

#: Maximum number of hints; the leader's list is bounded by the machines that it can use.
MAX_MACHINES_KNOWN = 10_000


class PlacementHint:
    """How to reach a machine's worker, and the jobs whose tasks may be on the machine."""

    __slots__ = ("endpoint", "jobs", "incarnation", "sequence", "last_probed_at")

    def __init__(self, endpoint: str | None) -> None:
        self.endpoint = endpoint
        self.jobs: frozenset[str] = frozenset()
        self.incarnation = 0  # of the newest heartbeat, as is the sequence
        self.sequence = -1
        self.last_probed_at = 0.0  # on the monotonic clock


class PlacementHints:
    """The hints of all machines known to this controller."""

    def __init__(self) -> None:
        self.term = 0  # newest term of which a message has arrived
        self.by_machine: dict[str, PlacementHint] = {}

    def _hint(self, name: str, endpoint: str | None) -> PlacementHint:
        hint = self.by_machine.get(name)
        if hint is None:
            hint = self.by_machine[name] = PlacementHint(endpoint)
            if len(self.by_machine) > MAX_MACHINES_KNOWN:
                del self.by_machine[next(iter(self.by_machine))]
        elif endpoint:
            hint.endpoint = endpoint
        return hint

    def update_from_leader(self, term: int, items: Iterable[Any]) -> None:
        """Apply a leader's items: machine, endpoint, and jobs, or None if it was removed."""
        if term < self.term:
            return
        self.term = term
        for name, endpoint, jobs in items:
            if jobs is None:
                self.by_machine.pop(name, None)
            else:
                self._hint(str(name), endpoint).jobs = frozenset(map(str, jobs))

    def update_from_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Apply a worker's heartbeat unless it is older than the last one, or a copy of it."""
        hint = self._hint(heartbeat.machine, heartbeat.endpoint)
        if (heartbeat.incarnation, heartbeat.sequence) <= (hint.incarnation, hint.sequence):
            return
        hint.incarnation, hint.sequence = heartbeat.incarnation, heartbeat.sequence
        hint.jobs = frozenset(task.job for task in heartbeat.tasks if task.state != wire.ENDED)

    def update_from_list(self, listed_machines: Iterable[ListedMachine]) -> None:
        """Apply the cloud's list, for machines that no message or heartbeat has named."""
        for item in listed_machines:
            if item.endpoint is not None:
                self._hint(item.id, item.endpoint)

    def remove(self, name: str) -> None:
        """Remove a machine that is proven gone."""
        self.by_machine.pop(name, None)

    def machines_of(self, jobs: frozenset[str]) -> dict[str, frozenset[str]]:
        """Return the machines that may have tasks of `jobs`, each with those jobs."""
        return {
            name: present for name, hint in self.by_machine.items() if (present := hint.jobs & jobs)
        }
