"""The duty of renting machines: every request is recorded under its name before it is sent."""

from __future__ import annotations

import logging
import time

import curio

from topazhold.control.cloud import (
    Cloud,
    CloudCapacityError,
    CloudRequestRejectedError,
    CloudUnavailableError,
)
from topazhold.control.term_context import TermContext
from topazhold.core.autoscaling import MAX_SCALE_OUT_MACHINES, ScaleOutRequest
from topazhold.operations.cloud_operations import ScaleOutOperation
from topazhold.operations.fenced_executor import FencedExecutor

log = logging.getLogger(__name__)

#: For so many heartbeat intervals the cloud is not asked again for what it does not have.
REFUSED_HEARTBEATS = 4


class ScaleOutExecutor:
    """Rents what is wished for, and completes rentals that were left open."""

    def __init__(
        self, context: TermContext, executor: FencedExecutor, cloud: Cloud, listed: curio.Event
    ) -> None:
        self._context = context
        self._executor = executor
        self._cloud = cloud
        self._listed = listed  # a machine list has come
        self._waits_until = 0.0

    async def loop(self) -> None:
        """Rent, again and again; what was left open is completed at once."""
        context = self._context
        since = await curio.clock()
        while True:
            more = False
            if await self._executor.may_act():
                await self._complete()
                if await self._knows_fleet(since) and self._executor.operation_log.may_scale_out():
                    more = await self._rent()
            await curio.sleep(context.retry_s if more else context.heartbeat_interval_s)

    async def _knows_fleet(self, since: float) -> bool:
        """Whether enough is known of what is rented already.

        A new leader waits for a list, and what its predecessor rented last is not even
        listed at first.
        """
        if not self._listed.is_set():
            return False
        if not self._waits_until:
            lag_s = self._context.scheduler.lag_s if self._context.term > 1 else 0.0
            self._waits_until = await curio.clock() + lag_s
        return await curio.clock() >= self._waits_until

    async def _rent(self) -> bool:
        """Decide, record and ask; whether so much was wished that more is likely to be."""
        requests = self._context.scheduler.scale_out(await curio.clock())
        for ask in requests:
            self._executor.operation_log.decide_scale_out(ask, time.time())
        if requests:
            await self._executor.record()
            await self._complete()
        return sum(ask.count for ask in requests) >= MAX_SCALE_OUT_MACHINES

    async def _complete(self) -> None:
        """Ask for what is recorded and not answered yet."""
        await self._executor.record()
        for operation in self._executor.operation_log.scale_outs_due():
            if not await self._executor.look():
                return
            await self._ask(operation)

    async def _ask(self, operation: ScaleOutOperation) -> None:
        record, operation_log = operation.record, self._executor.operation_log
        capacity_backoff = self._context.scheduler.capacity_backoff
        kind = (record.machine_type, record.zone, record.spot)
        pause_s = REFUSED_HEARTBEATS * self._context.heartbeat_interval_s
        if operation_log.sending(operation):
            log.info("rental %s asked for again", record.request)
        ask = ScaleOutRequest(record.machine_type, record.zone, record.spot, record.count)
        try:
            names = await self._cloud.rent(record.request, ask)
        except (CloudCapacityError, CloudRequestRejectedError) as exc:
            if isinstance(exc, CloudRequestRejectedError):
                log.error("rental %s refused for good: %s", record.request, exc)
            now = await curio.clock()
            capacity_backoff.on_refused(*kind, pause_s, now)
            operation_log.rented(operation, [], now)
            return
        except CloudUnavailableError as exc:
            log.debug("rental %s: %s", record.request, exc)
            return
        now = await curio.clock()
        operation_log.rented(operation, names, now)
        for name in names:
            self._context.scheduler.add_rented(
                name, record.zone, record.spot, record.machine_type, now
            )
        price = "spot" if record.spot else "ordinary"
        log.info("rented %d of %d %s in %s", len(names), record.count, price, record.zone)
        if len(names) < record.count:
            capacity_backoff.on_refused(*kind, pause_s, now)
        else:
            capacity_backoff.on_granted(*kind)
