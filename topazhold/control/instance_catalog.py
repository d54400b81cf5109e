"""The machine types that the cloud rents out, with their present prices."""

from __future__ import annotations

import logging

import curio

from topazhold.control.cloud import Cloud
from topazhold.interfaces.cloud import CloudUnavailableError
from topazhold.wire.cloud import MachineType

log = logging.getLogger(__name__)

#: Heartbeat intervals between two reads of the catalog; prices move slowly.
REFRESH_INTERVAL_HEARTBEATS = 60
#: Heartbeat intervals, and seconds at the least, before a read that failed is tried again.
RETRY_HEARTBEATS = 0.5
MIN_RETRY_S = 1.0


class InstanceCatalog:
    """Keeps `machine_types` as the cloud has them, by name.

    The mapping is empty until the cloud has answered once; a type that is not listed any
    more stays known, since machines of it may still run.
    """

    def __init__(self, cloud: Cloud, heartbeat_interval_s: float) -> None:
        self._cloud = cloud
        self._heartbeat_interval_s = heartbeat_interval_s
        self.machine_types: dict[str, MachineType] = {}

    async def loop(self) -> None:
        """Read the catalog again and again; what the cloud can't answer is tried again."""
        while True:
            try:
                listed = await self._cloud.catalog()
            except CloudUnavailableError as exc:
                log.debug("catalog: %s", exc)
                await curio.sleep(max(MIN_RETRY_S, RETRY_HEARTBEATS * self._heartbeat_interval_s))
            else:
                self.machine_types.update({each.name: each for each in listed})
                await curio.sleep(REFRESH_INTERVAL_HEARTBEATS * self._heartbeat_interval_s)
