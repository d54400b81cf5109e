"""All duties of one term: their holder, their orders, and the loops that carry them out."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

import curio

from topazhold.control.cloud import Cloud
from topazhold.control.intents import Intents
from topazhold.control.machine_list import MachineList
from topazhold.control.term_context import TermContext
from topazhold.operations.cleanup import CleanupExecutor
from topazhold.operations.cloud_operations import ScaleInOperation
from topazhold.operations.failover import adopt
from topazhold.operations.fenced_executor import FencedExecutor
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.scale_in import AnnounceReleased, ScaleInExecutor
from topazhold.operations.scale_out import ScaleOutExecutor
from topazhold.settings import Operator, Settings
from topazhold.wire.messages import Entry

log = logging.getLogger(__name__)

#: A return's record is kept for as long as a list, or a late heartbeat, may still name the
#: machine: so many lags of the list and leases of the workers.
KEEP_LAGS = 4.0
KEEP_LEASES = 2.0


class TermOperations:
    """What the leader of one term does in the world outside, by orders."""

    def __init__(
        self,
        context: TermContext,
        cloud: Cloud,
        intents: Intents,
        settings: Settings,
        operator: Operator,
        controller_lease_s: float,
        now: float,
        announce_released: AnnounceReleased,
    ) -> None:
        workers = settings.cluster.workers
        keep_s = KEEP_LAGS * settings.cluster.cloud.list_lag_s + KEEP_LEASES * workers.lease_s
        self._context = context
        self.operation_log = OperationLog(
            context.node, context.term, context.value_limit, keep_s, operator.record_orders
        )
        self.executor = FencedExecutor(context, self.operation_log, controller_lease_s, now)
        self._machine_list = MachineList(context, cloud)
        self.scale_in = ScaleInExecutor(context, self.executor, cloud, intents, announce_released)
        self._scale_out = ScaleOutExecutor(context, self.executor, cloud, self._machine_list.listed)
        self._cleanup = CleanupExecutor(context, self.executor)
        context.clean_up = self._cleanup.on_job_ended

    async def take_over(self, entries: list[Entry], released: list[str]) -> None:
        """Complete what earlier terms left open; `released` machines are known to be gone."""
        now = await curio.clock()
        self.executor.begin(now)
        adopt(self._context.scheduler, self.operation_log, entries, now)
        await self.scale_in.released_by_peer(released, now)
        if self.operation_log.counters.adopted:
            returns = sum(
                isinstance(operation, ScaleInOperation)
                for operation in self.operation_log.open_operations()
            )
            log.info(
                "term %d takes over %d orders, %d of them returns",
                self._context.term,
                self.operation_log.counters.adopted,
                returns,
            )

    def loops(self) -> tuple[Callable[[], Awaitable[None]], ...]:
        """What goes on while the term lasts."""
        return (
            self._machine_list.loop,
            self._scale_out.loop,
            self.scale_in.loop,
            self._cleanup.loop,
            self.executor.close_loop,
            self.executor.watch_clocks,
        )

    def log_totals(self) -> None:
        """One line about all orders of the term."""
        counters = self.operation_log.counters
        log.info(
            "orders of term %d: %d decided, %d taken over, %d superseded, %d forced, "
            "%d requests, %d of them again, %d confirmed, %d closed, %d records unreadable",
            self._context.term,
            counters.decided,
            counters.adopted,
            counters.superseded,
            counters.forced,
            counters.sends,
            counters.repeats,
            counters.confirmed,
            counters.closed,
            counters.unreadable,
        )
