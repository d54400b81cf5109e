"""Scale-in: releases machines, each by one operation that is recorded first.

`Scheduler.releases` maps the machines to release to the reasons: idle, silent, failed, never
started, not listed, unreachable by commands, quarantined, past the end of a spot notice, with
cancelled tasks not proven to be gone, with unreadable intents, or in an open scale-in of an
earlier term.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio

from topazhold.core.intent_shards import IntentShard
from topazhold.interfaces.cloud import CloudRequests, CloudUnavailableError
from topazhold.interfaces.term import IntentPruner, Term
from topazhold.operations.cloud_operations import OperationState
from topazhold.operations.fenced_executor import FencedExecutor
from topazhold.operations.requests import ReleaseRequest

log = logging.getLogger(__name__)

#: Announces machines that were released without a record to the other controllers.
AnnounceReleased = Callable[[list[str]], Awaitable[None]]


class ScaleInExecutor:
    """Decides, records and sends the releases of a term."""

    def __init__(
        self,
        context: Term,
        executor: FencedExecutor,
        cloud: CloudRequests,
        intents: IntentPruner,
        announce_released: AnnounceReleased,
    ) -> None:
        self._context = context
        self._executor = executor
        self._cloud = cloud
        self._intents = intents
        self._announce_released = announce_released

    async def loop(self) -> None:
        """Release machines for as long as the term lasts."""
        while True:
            await curio.sleep(self._context.retry_s)
            request = await self.next_request()
            if request is not None:
                await self._send(request)

    async def next_request(self) -> ReleaseRequest | None:
        """Decide and record new releases; return the next request to send, if any.

        A leader in doubt of its lease must not release machines that another leader may be
        using, except those with cancelled tasks, which are released in any case.
        """
        scheduler, operation_log = self._context.scheduler, self._executor.operation_log
        if not scheduler.releases and not operation_log.open_operations():
            return None
        may_release = await self._executor.verify_leadership()
        if may_release:
            operation_log.decide_scale_in(scheduler.releases, time.time())
            await self._executor.write_records()
            may_release = await self._executor.lease_confirmed()  # recording takes time
        if self._executor.may_bypass_records(await curio.clock()):
            self._bypass_records()
        elif not may_release:
            return None
        return operation_log.release_request(
            scheduler.must_be_released, only_required=not may_release
        )

    def _bypass_records(self) -> None:
        """Release machines with cancelled tasks even while nothing can be recorded."""
        scheduler, operation_log = self._context.scheduler, self._executor.operation_log
        unrecorded = {}
        for name, reason in scheduler.releases.items():
            if scheduler.must_be_released(name):
                operation = operation_log.scale_in_of(name)
                if operation is None or operation.state is OperationState.DECIDED:
                    unrecorded[name] = reason
        operation_log.bypass_records(unrecorded, time.time())
        if unrecorded:
            log.info("releasing %d machines with cancelled tasks without a record", len(unrecorded))

    async def _send(self, request: ReleaseRequest) -> None:
        again = " again" if request.repeated else ""
        log.info("requesting the release of %d machines%s", len(request.names), again)
        try:
            await self._cloud.release(request.names)
        except CloudUnavailableError as exc:
            log.debug("release of machines failed: %s", exc)
            return
        now = await curio.clock()
        operation_log = self._executor.operation_log
        unrecorded = [
            name
            for name in request.names
            if (operation := operation_log.scale_in_of(name)) is not None
            and operation.bypasses_record
            and not operation.stored
        ]
        operation_log.mark_machines_gone(request.names, now)
        await self._remove_machines(request.names, now)
        if unrecorded:
            await self._announce_released(unrecorded)

    async def released_by_peer(self, names: list[str], now: float) -> None:
        """Remove machines whose release by another controller was confirmed."""
        self._executor.operation_log.mark_machines_gone(names, now)
        known = [name for name in names if name in self._context.scheduler.machines]
        for name in names:
            self._context.scheduler.remove_machine(name, now)
        if known:
            log.info("%d machines were released by another controller", len(known))
            await self._context.request_plan()

    async def _remove_machines(self, names: list[str], now: float) -> None:
        """Remove machines that are gone, with their tasks and intents."""
        stale: set[IntentShard] = set()
        for name in names:
            self._context.scheduler.remove_machine(name, now)
            shard = self._context.shards.forget_machine(name)
            if shard is not None and shard.revision:
                stale.add(shard)
        await self._context.request_plan()
        await self._intents.prune(stale)
