"""Broadcasts a controller's state and the machines it has released to its peers."""

from __future__ import annotations

import time
from collections.abc import Iterable

import curio

from topazhold.control.controller_services import ControllerServices, ControllerState
from topazhold.control.leader_term import CurrentTerm
from topazhold.control.peer_group import PeerGroup
from topazhold.control.peer_messages import KNOWN, PING, RELEASED, Known, Ping, Released
from topazhold.control.waiting_loops import work_then_wait
from topazhold.core.zone_summary import pack_names

#: Interval between two pings, as a share of a controller's lease.
PING_LEASE_SHARE = 0.25


class PeerAnnouncer:
    """Pings the peers, and announces machines released without a stored record."""

    def __init__(
        self,
        services: ControllerServices,
        state: ControllerState,
        peers: PeerGroup,
        current: CurrentTerm,
    ) -> None:
        self._node = services.settings.node_name
        self._services = services
        self._state = state
        self._peers = peers
        self._current = current

    async def loop(self) -> None:
        """Ping several times per lease of a controller."""
        await work_then_wait(PING_LEASE_SHARE * self._services.controller_lease_s, self.ping)

    async def ping(self) -> None:
        """Send all peers the leader this controller follows and its record of cancellations.

        The leader adds the machines whose heartbeats don't reach it.
        """
        state = self._state
        silent_machines: list[str] | None = None
        leader_term = self._current.loaded_term
        if leader_term is not None:
            silent_machines = pack_names(
                leader_term.scheduler.machines_without_heartbeat(await curio.clock())
            )
        cancellations = state.cancellations
        await self._peers.broadcast(self._known_cancellations())
        await self._peers.broadcast(
            Ping(
                PING,
                self._node,
                state.leadership.term,
                state.leadership.leader or "",
                silent_machines,
                store_available=self._services.store.health.failing_since is None,
                can_enforce=False,
                cancellation_record=[
                    cancellations.incarnation,
                    cancellations.last_number,
                    cancellations.informed,
                ],
                receipts=cancellations.receipts(),
            )
        )

    def _known_cancellations(self) -> Known:
        cancellations, now = self._state.cancellations, time.time()
        refusals = self._services.store.health.refusals
        return Known(
            KNOWN,
            self._node,
            cancellations.incarnation,
            cancellations.last_number,
            known_until=cancellations.knowledge.known_until(now),
            sent_at=now,
            store_refusals=list(refusals) if refusals is not None else None,
        )

    async def announce_released(self, machines: list[str]) -> None:
        """Announce a release that the cloud has confirmed and that has no stored record."""
        await self._peers.broadcast(Released(RELEASED, self._node, machines))
        await self.mark_released(machines)

    async def mark_released(self, machines: Iterable[object]) -> None:
        """Mark machines as gone whose release the cloud confirmed to this controller or a peer."""
        names = [str(name) for name in machines]
        self._state.released.add(names)
        for name in names:
            self._state.placement_hints.remove(name)
        if self._current.leader_term is not None:
            await self._current.leader_term.on_peer_release(names)
