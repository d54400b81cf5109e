"""The cloud's machine list, read again and again while a term lasts."""

from __future__ import annotations

import logging

import curio

from topazhold.control.cloud import Cloud
from topazhold.control.term_context import TermContext
from topazhold.control.waiting_loops import work_then_wait
from topazhold.interfaces.cloud import CloudUnavailableError

log = logging.getLogger(__name__)

#: Pause between two lists, as a share of how late a list may be.
LIST_INTERVAL_LAGS = 0.5


class MachineList:
    """Tells the scheduler what the cloud lists."""

    def __init__(self, context: TermContext, cloud: Cloud) -> None:
        self._context = context
        self._cloud = cloud
        self.list_received = curio.Event()  # a list has come in this term

    async def loop(self) -> None:
        """Read the list, again and again; what the cloud can't answer is tried again."""
        pause_s = max(
            self._context.heartbeat_interval_s, LIST_INTERVAL_LAGS * self._context.scheduler.lag_s
        )
        await work_then_wait(pause_s, self._read)

    async def _read(self) -> None:
        scheduler = self._context.scheduler
        requested_at = await curio.clock()
        try:
            listed = await self._cloud.machines()
        except CloudUnavailableError as exc:
            log.debug("machine list: %s", exc)
        else:
            scheduler.on_machine_list(listed, requested_at, await curio.clock())
            await self.list_received.set()
