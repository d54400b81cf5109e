"""The machine types offered by the cloud, with their current prices."""

from __future__ import annotations

import logging

import curio

from topazhold.control.cloud import Cloud
from topazhold.interfaces.cloud import CloudUnavailableError
from topazhold.wire.cloud import MachineType

log = logging.getLogger(__name__)

#: Heartbeat intervals between two reads of the catalog; prices change slowly.
REFRESH_INTERVAL_HEARTBEATS = 60
#: Pause before a failed read is retried, in heartbeat intervals, and its minimum in seconds.
RETRY_HEARTBEATS = 0.5
MIN_RETRY_S = 1.0


class InstanceCatalog:
    """Keeps the cloud's machine types by name in `machine_types`.

    The mapping is empty until the first read succeeds. A type that is no longer listed stays in
    it, since machines of that type may still run.
    """

    def __init__(self, cloud: Cloud, heartbeat_interval_s: float) -> None:
        self._cloud = cloud
        self._heartbeat_interval_s = heartbeat_interval_s
        self.machine_types: dict[str, MachineType] = {}

    async def loop(self) -> None:
        """Read the catalog periodically; retry a failed read after a shorter pause."""
        while True:
            try:
                listed = await self._cloud.catalog()
            except CloudUnavailableError as exc:
                log.debug("catalog not read: %s", exc)
                await curio.sleep(max(MIN_RETRY_S, RETRY_HEARTBEATS * self._heartbeat_interval_s))
            else:
                self.machine_types.update({each.name: each for each in listed})
                await curio.sleep(REFRESH_INTERVAL_HEARTBEATS * self._heartbeat_interval_s)
