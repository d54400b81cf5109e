"""Where tasks may be, as a follower knows it.

Hints, for one purpose: to end the tasks of cancelled jobs when no leader can. They come from
the leader's messages about machines that change, and from the heartbeats that this controller
answers itself.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from topazhold.wire import messages as wire
from topazhold.wire.cloud import ListedMachine
from topazhold.wire.workers import Heartbeat

#: Machines known; the leader's list is bounded by what it can use.
MAX_MACHINES_KNOWN = 10_000


class PlacementHint:
    """One machine: how to reach its worker, and whose tasks may be on it."""

    __slots__ = ("endpoint", "jobs", "incarnation", "sequence", "last_probed_at")

    def __init__(self, endpoint: str | None) -> None:
        self.endpoint = endpoint
        self.jobs: frozenset[str] = frozenset()
        self.incarnation = 0  # of the newest heartbeat, as is the sequence
        self.sequence = -1
        self.last_probed_at = 0.0  # when its worker was last probed, on the steady clock


class PlacementHints:
    """All machines of which this controller knows, by name."""

    def __init__(self) -> None:
        self.term = 0  # of the newest leader whose message has come
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
        """A leader's items: machine, endpoint, and jobs, or None if the machine is gone."""
        if term < self.term:
            return
        self.term = term
        for name, endpoint, jobs in items:
            if jobs is None:
                self.by_machine.pop(name, None)
            else:
                self._hint(str(name), endpoint).jobs = frozenset(map(str, jobs))

    def update_from_heartbeat(self, heartbeat: Heartbeat) -> None:
        """A worker's own heartbeat; one that is not newer than the last changes nothing."""
        hint = self._hint(heartbeat.machine, heartbeat.endpoint)
        if (heartbeat.incarnation, heartbeat.sequence) <= (hint.incarnation, hint.sequence):
            return
        hint.incarnation, hint.sequence = heartbeat.incarnation, heartbeat.sequence
        hint.jobs = frozenset(
            task.task_name.partition("/")[0] for task in heartbeat.tasks if task.state != wire.ENDED
        )

    def update_from_list(self, listed_machines: Iterable[ListedMachine]) -> None:
        """The cloud's list, for machines that no message and no heartbeat has named."""
        for item in listed_machines:
            if item.endpoint is not None:
                self._hint(item.id, item.endpoint)

    def remove(self, name: str) -> None:
        """The machine is proven gone."""
        self.by_machine.pop(name, None)

    def machines_of(self, jobs: frozenset[str]) -> dict[str, frozenset[str]]:
        """Machines that may have tasks of these jobs, with which of the jobs."""
        return {
            name: present for name, hint in self.by_machine.items() if (present := hint.jobs & jobs)
        }
