"""The cloud's list of machines against the cluster's state."""

from __future__ import annotations

from collections.abc import Iterable

from topazhold.core.cluster_state import ClusterState
from topazhold.core.machines import Machine
from topazhold.wire import messages as wire
from topazhold.wire.cloud import ListedMachine

#: A machine that was rented so many list lags ago is on any list that is asked for now.
LISTED_LAGS = 4
#: A list may be so many lags old.
LIST_AGE_LAGS = 2


class MachineListReconciliation:
    """Takes in whole lists of machines. Owns no state: machines count lists without them."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._lag_s = cluster.timing.lag_s

    def on_machine_list(
        self, listed_machines: Iterable[ListedMachine], asked_at: float, now: float
    ) -> None:
        """A whole machine list, asked for at `asked_at` on the same clock as `now`."""
        names = set()
        for item in listed_machines:
            if self._cluster.is_removed(item.id):
                continue
            names.add(item.id)
            machine = self._listed_machine(item, now)
            machine.note_listed(item.endpoint)
            if item.state == wire.LISTED_FAILED:
                self._cluster.release(machine, "failed", now)
        for machine in list(self._cluster.machines.values()):
            if machine.name in names or now - machine.rented_at < LISTED_LAGS * self._lag_s:
                continue
            # Only a list asked for well after the machine was last heard says anything
            # about it.
            if asked_at - machine.last_seen_at > LIST_AGE_LAGS * self._lag_s:
                machine.count_missed_list()

    def _listed_machine(self, item: ListedMachine, now: float) -> Machine:
        machine = self._cluster.machines.get(item.id)
        if machine is None:
            machine = self._cluster.add_machine(
                item.id, item.zone, item.spot, item.machine_type, now
            )
            machine.learn_age(item.age_s, now)
        return machine
