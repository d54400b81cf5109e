"""Scale-out: requests machines; each request is recorded with its name before it is sent."""

from __future__ import annotations

import logging
import time

import curio

from topazhold.core.autoscaling import MAX_SCALE_OUT_MACHINES, ScaleOutRequest
from topazhold.interfaces.cloud import (
    CloudCapacityError,
    CloudRequestRejectedError,
    CloudRequests,
    CloudUnavailableError,
)
from topazhold.interfaces.term import Term
from topazhold.operations.cloud_operations import OperationState, ScaleOutOperation
from topazhold.operations.fenced_executor import FencedExecutor
from topazhold.operations.requests import free_scale_out_slots

log = logging.getLogger(__name__)

#: Pause of requests for a kind of machine after the cloud had too few, in heartbeat intervals.
CAPACITY_BACKOFF_HEARTBEATS = 4


class ScaleOutExecutor:
    """Requests the machines that the scheduler wants, and completes open scale-outs."""

    def __init__(
        self,
        context: Term,
        executor: FencedExecutor,
        cloud: CloudRequests,
        machines_listed: curio.Event,
    ) -> None:
        self._context = context
        self._executor = executor
        self._cloud = cloud
        self._machines_listed = machines_listed  # set once a machine list of this term has arrived
        self._capacity_backoff_s = CAPACITY_BACKOFF_HEARTBEATS * context.heartbeat_interval_s
        self._fleet_known_at = 0.0  # in seconds of the monotonic clock; 0: no machine list yet

    async def loop(self) -> None:
        """Scale out for as long as the term lasts, completing open scale-outs first."""
        context = self._context
        while True:
            demand_left = False
            if await self._executor.verify_leadership():
                await self._send_due()
                if await self._fleet_is_known() and self._executor.operation_log.may_scale_out():
                    demand_left = await self._scale_out()
            await curio.sleep(context.retry_s if demand_left else context.heartbeat_interval_s)

    async def _fleet_is_known(self) -> bool:
        """Return whether the existing machines are known.

        A new leader waits for a machine list and then for the lag of the list: the last machines
        that its predecessor requested are not listed at first.
        """
        if not self._machines_listed.is_set():
            return False
        if not self._fleet_known_at:
            list_lag_s = self._context.scheduler.list_lag_s if self._context.term > 1 else 0.0
            self._fleet_known_at = await curio.clock() + list_lag_s
        return await curio.clock() >= self._fleet_known_at

    async def _scale_out(self) -> bool:
        """Decide, record and send scale-outs; return whether more should be decided soon."""
        operation_log = self._executor.operation_log
        wanted = self._context.scheduler.scale_out(await curio.clock())
        requests = wanted[: free_scale_out_slots(operation_log.unanswered_scale_outs())]
        for request in requests:
            operation_log.decide_scale_out(request, time.time())
        if requests:
            await self._executor.write_records()
            await self._send_due()
        wanted_machines = sum(request.count for request in wanted)
        return len(wanted) > len(requests) or wanted_machines >= MAX_SCALE_OUT_MACHINES

    async def _back_off_from_refused(self) -> None:
        """Apply the capacity backoff to scale-outs that could not be recorded."""
        now = await curio.clock()
        for record in self._executor.operation_log.refused.take_scale_outs():
            capacity_backoff = self._context.scheduler.capacity_backoff
            capacity_backoff.on_refused(*record.kind, self._capacity_backoff_s, now)

    async def _send_due(self) -> None:
        """Send all scale-outs that are recorded and not answered yet."""
        await self._executor.write_records()
        await self._back_off_from_refused()
        for operation in self._executor.operation_log.scale_outs_due():
            await self._cloud.wait_for_limits()
            if not await self._executor.lease_confirmed():
                return
            if operation.state is not OperationState.CONFIRMED:  # withdrawn meanwhile
                await self._send(operation)

    async def _send(self, operation: ScaleOutOperation) -> None:
        record, operation_log = operation.record, self._executor.operation_log
        capacity_backoff = self._context.scheduler.capacity_backoff
        if operation_log.start_request(operation):
            log.info("requesting scale-out %s again", record.request)
        request = ScaleOutRequest(record.machine_type, record.zone, record.spot, record.count)
        try:
            names = await self._cloud.rent(record.request, request)
        except (CloudCapacityError, CloudRequestRejectedError) as exc:
            if isinstance(exc, CloudRequestRejectedError):
                log.error("scale-out %s permanently refused: %s", record.request, exc)
            now = await curio.clock()
            capacity_backoff.on_refused(*record.kind, self._capacity_backoff_s, now)
            operation_log.complete_scale_out(operation, [], now)
            operation_log.withdraw_unsent(operation, now)
            return
        except CloudUnavailableError as exc:
            log.debug("scale-out %s failed: %s", record.request, exc)
            return
        now = await curio.clock()
        operation_log.complete_scale_out(operation, names, now)
        for name in names:
            self._context.scheduler.add_rented(
                name, record.zone, record.spot, record.machine_type, now
            )
        price = "spot" if record.spot else "ordinary"
        log.info(
            "scale-out: got %d of %d %s machines in %s",
            len(names),
            record.count,
            price,
            record.zone,
        )
        if len(names) < record.count:
            capacity_backoff.on_refused(*record.kind, self._capacity_backoff_s, now)
            operation_log.withdraw_unsent(operation, now)
        else:
            capacity_backoff.on_granted(*record.kind)
