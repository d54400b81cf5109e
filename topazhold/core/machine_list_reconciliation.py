"""Reconciliation of the cluster's state with the cloud's list of machines."""

from __future__ import annotations

from collections.abc import Iterable

from topazhold.core.cluster_state import ClusterState
from topazhold.core.machines import Machine
from topazhold.wire import messages as wire
from topazhold.wire.cloud import ListedMachine

#: A machine rented at least this many list lags ago appears on every list requested now.
MIN_LISTED_AGE_LAGS = 4
#: Greatest age of a list's contents, in list lags.
MAX_LIST_AGE_LAGS = 2


class MachineListReconciliation:
    """Applies complete lists of machines. Stateless: each machine counts its missed lists."""

    def __init__(self, cluster: ClusterState) -> None:
        self._cluster = cluster
        self._list_lag_s = cluster.timing.list_lag_s

    def on_machine_list(
        self, listed_machines: Iterable[ListedMachine], requested_at: float, now: float
    ) -> None:
        """Apply a complete list, requested at `requested_at` on the same clock as `now`."""
        listed_names = set()
        for listed in listed_machines:
            if self._cluster.is_removed(listed.id):
                continue
            listed_names.add(listed.id)
            machine = self._find_or_add_machine(listed, now)
            machine.note_listed(listed.endpoint)
            if listed.state == wire.LISTED_FAILED:
                self._cluster.release(machine, "failed", now)
        for machine in list(self._cluster.machines.values()):
            if (
                machine.name in listed_names
                or now - machine.rented_at < MIN_LISTED_AGE_LAGS * self._list_lag_s
            ):
                continue
            # An older list may predate the machine's last heartbeat, so its absence there
            # proves nothing.
            if requested_at - machine.last_seen_at > MAX_LIST_AGE_LAGS * self._list_lag_s:
                machine.count_missed_list()

    def _find_or_add_machine(self, listed: ListedMachine, now: float) -> Machine:
        machine = self._cluster.machines.get(listed.id)
        if machine is None:
            machine = self._cluster.add_machine(
                listed.id, listed.zone, listed.spot, listed.machine_type, now
            )
            machine.set_age(listed.age_s, now)
        return machine
