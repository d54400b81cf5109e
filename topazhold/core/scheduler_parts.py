"""Composition root of the scheduler: builds its parts and wires their dependencies."""

from __future__ import annotations

from topazhold.core import autoscaling
from topazhold.core.array_placement import ArrayPlacement
from topazhold.core.binding_reservations import BindingReservations
from topazhold.core.cluster_state import ClusterState
from topazhold.core.draining import Draining
from topazhold.core.eviction import Eviction
from topazhold.core.failure_attribution import FailureAttribution
from topazhold.core.failure_detection import FailureDetection
from topazhold.core.fleet_scaling import FleetScaling
from topazhold.core.gang_placement import GangPlacement
from topazhold.core.gang_supervision import GangSupervision
from topazhold.core.heartbeat_reconciliation import HeartbeatReconciliation
from topazhold.core.job_queue import JobQueue
from topazhold.core.machine_list_reconciliation import MachineListReconciliation
from topazhold.core.replica_placement import ReplicaPlacement
from topazhold.core.reservations import ReservationTable
from topazhold.core.resource_offers import ResourceOffers
from topazhold.core.scheduling_round import PlacementStrategies, SchedulingRounds
from topazhold.core.start_objectives import StartObjectives
from topazhold.core.task_reconciliation import TaskReconciliation
from topazhold.core.team_limits import TeamLimits
from topazhold.core.timing import Timing
from topazhold.core.worker_commands import WorkerCommands
from topazhold.core.zone_demand import ZoneDemand
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings


class SchedulerParts:
    """The parts of one term's scheduler; each receives only lower-level parts.

    Has no state of its own.
    """

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        term: int,
        reservation_table: ReservationTable,
        now: float,
    ) -> None:
        self.timing = Timing.from_settings(settings, operator)
        self.objectives = StartObjectives(
            settings.cluster.wait_objectives(),
            operator.max_gang_wait_s,
            self.timing.heartbeat_interval_s,
        )
        self.cluster = ClusterState(settings, self.timing, self.objectives, term, now)
        self.commands = WorkerCommands(self.cluster)
        self.eviction = Eviction(self.cluster)
        self.gang_supervision = GangSupervision(self.cluster, self.eviction, self.objectives)
        self._wire_observation()
        self._wire_decisions(operator, reservation_table)

    def _wire_observation(self) -> None:
        cluster, eviction = self.cluster, self.eviction
        self.failure_detection = FailureDetection(cluster, Draining(cluster, eviction))
        self.failure_attribution = FailureAttribution(cluster)
        self.heartbeats = HeartbeatReconciliation(
            cluster, TaskReconciliation(cluster, eviction, self.failure_attribution)
        )
        self.machine_lists = MachineListReconciliation(cluster)

    def _wire_decisions(
        self, operator: OperatorSettings, reservation_table: ReservationTable
    ) -> None:
        cluster, eviction = self.cluster, self.eviction
        queue = JobQueue(cluster)
        limits = TeamLimits(cluster, eviction)
        self.resource_offers = ResourceOffers(
            cluster, reservation_table, operator.candidates_per_task
        )
        self.reservations = BindingReservations(
            cluster, reservation_table, queue, limits, self.resource_offers
        )
        placement = PlacementStrategies(
            GangPlacement(cluster, self.reservations, limits, eviction, self.gang_supervision),
            ArrayPlacement(cluster, queue, self.objectives, eviction),
            ReplicaPlacement(cluster, eviction),
        )
        self.rounds = SchedulingRounds(
            cluster, queue, self.reservations, placement, self.commands, operator.reserve_share
        )
        policy = autoscaling.ScalingPolicy(
            operator.headroom_share,
            operator.idle_boots,
            operator.use_spot,
            cluster.max_machine_attempts,
        )
        self.zone_demand = ZoneDemand(cluster, limits, policy)
        self.scaling = FleetScaling(
            cluster, self.reservations, self.failure_detection, self.zone_demand, policy
        )
