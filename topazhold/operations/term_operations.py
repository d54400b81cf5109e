"""The cloud operations of one term: their log and the loops that carry them out."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from topazhold.interfaces.cloud import CloudRequests
from topazhold.interfaces.term import IntentPruner, Term
from topazhold.operations.cleanup import CleanupExecutor
from topazhold.operations.cloud_operations import ScaleInOperation
from topazhold.operations.failover import rebuild_operations
from topazhold.operations.fenced_executor import FencedExecutor
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.scale_in import AnnounceReleased, ScaleInExecutor
from topazhold.operations.scale_out import ScaleOutExecutor
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings
from topazhold.wire.key_value_store import Entry

log = logging.getLogger(__name__)

#: How long the record of a scale-in is kept after its end, in lags of the cloud's machine list and
#: in worker leases: until then, a machine list or a late heartbeat may still name the machine.
RETENTION_LIST_LAGS = 4.0
RETENTION_WORKER_LEASES = 2.0


@dataclass(frozen=True)
class OperationSettings:
    """The settings of operations; times are in seconds."""

    controller_lease_s: float
    retention_s: float  # how long the record of a scale-in is kept after its end
    record_operations: bool

    @classmethod
    def from_settings(
        cls, settings: Settings, operator: OperatorSettings, controller_lease_s: float
    ) -> OperationSettings:
        """Return the settings that follow from the platform's and the operators' settings."""
        cloud, workers = settings.cluster.cloud, settings.cluster.workers
        retention_s = (
            RETENTION_LIST_LAGS * cloud.list_lag_s + RETENTION_WORKER_LEASES * workers.lease_s
        )
        return cls(controller_lease_s, retention_s, operator.record_operations)


@dataclass(frozen=True)
class OperationServices:
    """The dependencies of operations on other packages, besides the term itself."""

    cloud: CloudRequests
    intents: IntentPruner
    machines_listed: curio.Event  # set once a machine list of this term has arrived
    announce_released: AnnounceReleased


class TermOperations:
    """Decides, records and carries out the cloud operations of one term."""

    def __init__(
        self,
        context: Term,
        services: OperationServices,
        settings: OperationSettings,
        now: float,
    ) -> None:
        self._context = context
        self.operation_log = OperationLog(
            context.node,
            context.term,
            context.max_value_bytes,
            settings.retention_s,
            settings.record_operations,
        )
        self.executor = FencedExecutor(
            context, self.operation_log, settings.controller_lease_s, now
        )
        self.scale_in = ScaleInExecutor(
            context,
            self.executor,
            services.cloud,
            services.intents,
            services.announce_released,
        )
        self._scale_out = ScaleOutExecutor(
            context, self.executor, services.cloud, services.machines_listed
        )
        self._cleanup = CleanupExecutor(context, self.executor)
        context.clean_up = self._cleanup.on_job_ended

    async def rebuild(self, entries: list[Entry], released: list[str]) -> None:
        """Adopt the operations that earlier terms left open.

        `released` are machines that other controllers have reported as released.
        """
        now = await curio.clock()
        self.executor.begin(now)
        rebuild_operations(self._context.scheduler, self.operation_log, entries, now)
        await self.scale_in.released_by_peer(released, now)
        if self.operation_log.counters.adopted:
            scale_ins = sum(
                isinstance(operation, ScaleInOperation)
                for operation in self.operation_log.open_operations()
            )
            log.info(
                "term %d adopted %d operations, %d of them scale-ins",
                self._context.term,
                self.operation_log.counters.adopted,
                scale_ins,
            )

    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """Return the loops to run for as long as the term lasts."""
        return (
            self._scale_out.loop,
            self.scale_in.loop,
            self._cleanup.loop,
            self.executor.removal_loop,
            self.executor.watch_clocks,
        )

    def log_totals(self) -> None:
        """Log the totals of all operations of the term."""
        counters = self.operation_log.counters
        log.info(
            "operations of term %d: %d decided, %d adopted, %d superseded, %d sent unrecorded, "
            "%d refused, %d withdrawn, %d requests, %d of them repeated, %d confirmed, %d closed, "
            "%d records unreadable",
            self._context.term,
            counters.decided,
            counters.adopted,
            counters.superseded,
            counters.bypassed,
            counters.refused,
            counters.withdrawn,
            counters.requests,
            counters.repeated,
            counters.confirmed,
            counters.closed,
            counters.unreadable,
        )
