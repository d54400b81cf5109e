"""Scale-out requests and scale-in of idle machines, according to the jobs' demand."""

from __future__ import annotations

from topazhold.core import autoscaling
from topazhold.core.avoidance_demand import add_avoidance_demand
from topazhold.core.binding_reservations import BindingReservations
from topazhold.core.cluster_state import ClusterState
from topazhold.core.failure_detection import FailureDetection
from topazhold.core.zone_demand import ZoneDemand
from topazhold.wire.cloud import MachineType


class FleetScaling:
    """Compares the demand for machines with the fleet.

    Owns `capacity_backoff`, the backoffs after the cloud refused requests.
    """

    def __init__(
        self,
        cluster: ClusterState,
        reservations: BindingReservations,
        failure_detection: FailureDetection,
        zone_demand: ZoneDemand,
        policy: autoscaling.ScalingPolicy,
    ) -> None:
        self._cluster = cluster
        self._reservations = reservations
        self._failure_detection = failure_detection
        self._zone_demand = zone_demand
        self._policy = policy
        self.capacity_backoff = autoscaling.CapacityBackoff()

    def scale_out(self, now: float) -> list[autoscaling.ScaleOutRequest]:
        """Return scale-out requests, and queue surplus idle machines in `releases`."""
        cluster = self._cluster
        machine_types = list(cluster.machine_types.values())
        cluster.refresh_guarantees()
        longest_boot_s = max((machine_type.boot_s for machine_type in machine_types), default=0.0)
        jobs_arriving = now - cluster.last_arrival < max(longest_boot_s, cluster.lease_s)
        demands = self._capacity_demands(machine_types, jobs_arriving, now)
        reserved = self._reservations.reserved_machines()
        requests: list[autoscaling.ScaleOutRequest] = []
        for machine_type in machine_types:
            # Machines silent for a lease are replaced, whether or not they return later,
            # except in a network partition.
            fleet = autoscaling.Fleet(
                machine_type,
                [
                    machine
                    for machine in cluster.machines.values()
                    if not self._failure_detection.is_missing(machine, now)
                ],
            )
            requests += autoscaling.scale_out(
                demands, machine_type, fleet, self.capacity_backoff, now
            )
            for machine in autoscaling.scale_in(
                demands, machine_type, fleet, self._policy, jobs_arriving, now
            ):
                if machine.name not in reserved:
                    cluster.release(machine, "idle", now)
        return requests

    def _capacity_demands(
        self, machine_types: list[MachineType], jobs_arriving: bool, now: float
    ) -> autoscaling.CapacityDemands:
        cluster = self._cluster
        demands = autoscaling.capacity_demands(
            cluster.jobs.values(),
            machine_types,
            cluster.usage.teams,
            cluster.zone_of,
            self._policy,
            jobs_arriving,
        )
        self._zone_demand.add_to(demands, machine_types, now)
        add_avoidance_demand(demands, cluster, machine_types, self._policy, now)
        return demands
