"""Passes reports that a follower has answered on to the leader."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

import curio

from topazhold.control.follower_heartbeats import FollowerHeartbeats
from topazhold.control.key_value_store import (
    DECISION_PRIORITY,
    STORE_ERRORS,
    KeyValueStore,
    PreconditionFailedError,
)
from topazhold.control.peer_messages import RELAY, Relay
from topazhold.control.term_context import TXN_BYTES
from topazhold.core import records
from topazhold.core.leadership import Leadership
from topazhold.io.peer_transport import FRAME_LIMIT, PeerConnection, encode
from topazhold.settings import Settings
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: Messages with kept workers' reports a heartbeat interval, and the size of one; the
#: share of the changes a second for them where only the state service is left.
RELAY_FRAMES = 8
RELAY_FRAME_BYTES = FRAME_LIMIT // 4
RELAY_SHARE = 0.2


class HeartbeatForwarding:
    """Sends kept reports by the link to the leader, or through the state service."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        leadership: Leadership,
        follower_heartbeats: FollowerHeartbeats,
        peer_connections: Mapping[str, PeerConnection],
        lease_id: Callable[[], int | None],
    ) -> None:
        self._node = settings.node_name
        self._heartbeat_interval_s = settings.cluster.workers.heartbeat_interval_s
        self._limits = settings.cluster.state
        self._store = store
        self._leadership = leadership
        self._follower_heartbeats = follower_heartbeats
        self._peer_connections = peer_connections
        self._lease_id = lease_id

    async def loop(self) -> None:
        """Pass kept workers' reports on: by the link, or the state service."""
        state = self._limits
        limit = int(state.lasting_value_bytes * records.VALUE_SHARE)
        # Of the changes a second, as many as a share allows, in a transaction's worth.
        by_rate = RELAY_SHARE * state.lasting_write_rps * self._heartbeat_interval_s
        max_frames = max(1, int(min(by_rate, state.lasting_txn_ops, TXN_BYTES // limit)))
        while True:
            await curio.sleep(self._heartbeat_interval_s)
            lead = self._leadership
            connection = self._peer_connections.get(lead.leader or "")
            if connection is None:
                continue
            if not self._follower_heartbeats.leader_cut(await curio.clock()):
                for _ in range(RELAY_FRAMES):
                    heartbeats = self._follower_heartbeats.take(RELAY_FRAME_BYTES)
                    if not heartbeats:
                        break
                    await connection.send(encode(Relay(RELAY, lead.term, heartbeats)))
                continue
            # A whole zone's reports don't fit one value: several, within a share of
            # what a transaction takes and of the changes a second.
            changes = []
            for number in range(max_frames):
                heartbeats = self._follower_heartbeats.take(limit)
                if not heartbeats:
                    break
                key = f"{records.RELAY_PREFIX}{self._node}/{number}"
                value = {"crown": lead.term, "reports": heartbeats}
                changes.append(wire.put(key, value, self._lease_id()))
            if not changes:
                continue
            try:
                await self._store.compare_and_swap([], changes, DECISION_PRIORITY)
            except (*STORE_ERRORS, PreconditionFailedError) as exc:
                log.debug("reports not relayed: %s", exc)
