"""Forwards heartbeats that a follower has answered itself to the leader."""

from __future__ import annotations

import logging

import curio

from topazhold.control.election import ControllerLease
from topazhold.control.follower_heartbeats import FollowerHeartbeats
from topazhold.control.key_value_store import KeyValueStore
from topazhold.control.peer_group import PeerGroup
from topazhold.control.peer_messages import RELAY, Relay
from topazhold.control.waiting_loops import wait_then_work
from topazhold.core import records
from topazhold.core.leadership import Leadership
from topazhold.interfaces.store import DECISION_PRIORITY
from topazhold.interfaces.store_errors import KeyValueStoreError
from topazhold.interfaces.term import MAX_TXN_VALUE_BYTES
from topazhold.io.peer_transport import MAX_MESSAGE_BYTES
from topazhold.settings import Settings
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: Maximum messages to the leader per heartbeat interval.
MAX_FORWARD_MESSAGES = 8
#: Maximum bytes of heartbeats in one message.
FORWARD_MESSAGE_BYTES = MAX_MESSAGE_BYTES // 4
#: Share of the store's write rate that forwarding through the store may use.
FORWARD_WRITE_SHARE = 0.2


class HeartbeatForwarding:
    """Sends queued heartbeats to the leader directly, or through the store if it is silent."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        leadership: Leadership,
        follower_heartbeats: FollowerHeartbeats,
        peers: PeerGroup,
        lease: ControllerLease,
    ) -> None:
        self._node = settings.node_name
        self._heartbeat_interval_s = settings.cluster.workers.heartbeat_interval_s
        limits = settings.cluster.key_value_store
        self._value_limit = int(limits.lasting_value_bytes * records.MAX_VALUE_SHARE)
        # Values per interval: limited by the write rate and by the size of a transaction.
        max_by_rate = FORWARD_WRITE_SHARE * limits.lasting_write_rps * self._heartbeat_interval_s
        max_by_size = MAX_TXN_VALUE_BYTES // self._value_limit
        self._max_values = max(1, int(min(max_by_rate, limits.lasting_txn_ops, max_by_size)))
        self._store = store
        self._leadership = leadership
        self._follower_heartbeats = follower_heartbeats
        self._peers = peers
        self._lease = lease

    async def loop(self) -> None:
        """Forward queued heartbeats once per heartbeat interval."""
        await wait_then_work(self._heartbeat_interval_s, self._forward)

    async def _forward(self) -> None:
        leader = self._leadership.leader or ""
        if not self._peers.is_known(leader):
            return
        if self._follower_heartbeats.is_leader_silent(await curio.clock()):
            await self._forward_through_store()
        else:
            await self._forward_to_leader(leader)

    async def _forward_to_leader(self, leader: str) -> None:
        for _ in range(MAX_FORWARD_MESSAGES):
            heartbeats = self._follower_heartbeats.take_for_forwarding(FORWARD_MESSAGE_BYTES)
            if not heartbeats:
                break
            await self._peers.send(leader, Relay(RELAY, self._leadership.term, heartbeats))

    async def _forward_through_store(self) -> None:
        """Write the heartbeats to several values at once: a zone's do not fit into one."""
        changes = []
        for number in range(self._max_values):
            heartbeats = self._follower_heartbeats.take_for_forwarding(self._value_limit)
            if not heartbeats:
                break
            key = f"{records.RELAY_PREFIX}{self._node}/{number}"
            value = {"crown": self._leadership.term, "reports": heartbeats}
            changes.append(wire.put(key, value, self._lease.id))
        if not changes:
            return
        try:
            await self._store.compare_and_swap([], changes, DECISION_PRIORITY)
        except KeyValueStoreError as exc:
            log.debug("heartbeats not forwarded through the store: %s", exc)
