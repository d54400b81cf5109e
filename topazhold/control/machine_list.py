"""Periodic reads of the cloud's machine list during a term."""

from __future__ import annotations

import logging

import curio

from topazhold.control.cloud import Cloud
from topazhold.control.term_context import TermContext
from topazhold.control.waiting_loops import work_then_wait
from topazhold.interfaces.cloud import CloudUnavailableError

log = logging.getLogger(__name__)

#: Interval between two reads, as a share of the maximum lag of the list.
LIST_INTERVAL_LAGS = 0.5


class MachineList:
    """Passes the cloud's machine list to the scheduler."""

    def __init__(self, context: TermContext, cloud: Cloud) -> None:
        self._context = context
        self._cloud = cloud
        self.list_received = curio.Event()  # set once a list was received in this term

    async def loop(self) -> None:
        """Read the list periodically; a read that fails is repeated at the next interval."""
        pause_s = max(
            self._context.heartbeat_interval_s,
            LIST_INTERVAL_LAGS * self._context.scheduler.list_lag_s,
        )
        await work_then_wait(pause_s, self._read)

    async def _read(self) -> None:
        scheduler = self._context.scheduler
        requested_at = await curio.clock()
        try:
            listed = await self._cloud.machines()
        except CloudUnavailableError as exc:
            log.debug("machine list not read: %s", exc)
        else:
            scheduler.on_machine_list(listed, requested_at, await curio.clock())
            await self.list_received.set()
