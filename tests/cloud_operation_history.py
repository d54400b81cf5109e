"""Checks the operations that the cloud executes against their records in the store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from topazhold.core.leadership import LEADER_KEY
from topazhold.operations.records import SCALE_IN_PREFIX, SCALE_OUT_PREFIX

if TYPE_CHECKING:
    from tests.simulation.deployment import Simulation

#: Upper bound of the time from a response with a launch command to the launch by the worker.
MAX_LAUNCH_DELAY_S = 5.0


@dataclass(frozen=True)
class ExecutedOperation:
    """An operation that had an effect."""

    at: float
    source: str
    leader: str | None  # the leader at that moment
    recorded: bool  # whether the store had a record of it
    names: list[str] = field(default_factory=list)

    @property
    def stale(self) -> bool:
        return self.source != self.leader


class CloudOperationHistory:
    """Checks every operation that has an effect.

    `checks_enabled` is false while a version leads that records no operations.
    """

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self.checks_enabled = True
        #: Key and time of the record, by machine.
        self.recorded_returns: dict[str, tuple[str, float]] = {}
        self.recorded_rentals: set[str] = set()  # request names
        self.received = self.received_stale = 0  # executed or not
        self.executed: list[ExecutedOperation] = []
        self.unrecorded_releases: list[str] = []  # machines

    def on_stored(self, key: str, data: Any) -> None:
        """Note the record of an operation that is written to the store."""
        if key.startswith(SCALE_OUT_PREFIX):
            self.recorded_rentals.add(data["request"])
        elif key.startswith(SCALE_IN_PREFIX):
            for name in data["machines"]:
                first_key, _ = self.recorded_returns.setdefault(
                    name, (key, self._simulation.clock.now)
                )
                if first_key != key:
                    self._violate("returned_twice", f"{name} by {first_key} and {key}")

    def _violate(self, rule: str, text: str) -> None:
        if self.checks_enabled:
            self._simulation.record_violation(rule, text)

    def _leader(self) -> str | None:
        value = self._simulation.store.data.get(LEADER_KEY)
        return value[0]["node"] if value is not None else None

    def on_request(self, source: str) -> None:
        """Count an operation that arrives at the cloud."""
        self.received += 1
        self.received_stale += source != self._leader()

    def _execute(self, source: str, names: list[str], recorded: bool) -> None:
        leader = self._leader()
        self.executed.append(
            ExecutedOperation(self._simulation.clock.now, source, leader, recorded, names)
        )

    def on_release(self, source: str, workers: list[Any]) -> None:
        """Check the release of machines that exist; called before they are removed."""
        if not workers:
            return
        names = [worker.name for worker in workers]
        self._execute(source, names, all(name in self.recorded_returns for name in names))
        for worker in workers:
            if worker.name in self.recorded_returns:
                continue
            self.unrecorded_releases.append(worker.name)
            if not worker.hosted_jobs & self._simulation.rules.cancel_requested:
                self._violate("unrecorded_return", f"{worker.name} by {source}")

    def on_rental(self, source: str, request: str, names: list[str]) -> None:
        """Check a rental request that is executed for the first time."""
        self._execute(source, names, request in self.recorded_rentals)
        if request not in self.recorded_rentals:
            self._violate("unrecorded_rental", f"{request} by {source}")

    def on_launch(self, worker: Any, task_name: str) -> None:
        """Check that no task is launched on a machine that is recorded as returned."""
        record = self.recorded_returns.get(worker.name)
        if record is not None and self._simulation.clock.now - record[1] > MAX_LAUNCH_DELAY_S:
            self._violate("placed_on_returned", f"{task_name} on {worker.name}, {record[0]}")
