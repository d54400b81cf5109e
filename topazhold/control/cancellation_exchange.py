"""Tells the other controllers of confirmed cancellations, and learns of theirs."""

from __future__ import annotations

import time
from typing import Protocol

import curio

from topazhold.control.peer_group import PeerGroup
from topazhold.control.peer_messages import CANCELLED, RECEIPT, Cancelled, Receipt
from topazhold.core.cancellations import Cancellations

#: How long a cancellation's answer waits for the first peer to have it.
RECEIPT_TIMEOUT_HEARTBEATS = 0.1


class OnCancelled(Protocol):
    """Tells whoever leads here of a cancelled job and the time of day of its confirmation."""

    async def __call__(self, job_id: str, at: float, /) -> None: ...


class ReachesPeers(Protocol):
    """Whether any peer has pinged just before `now`, by the steady clock in seconds."""

    def __call__(self, now: float, /) -> bool: ...


class CancellationExchange:
    """Keeps the peers' records of cancellations level with this controller's.

    `on_cancelled` is called for each cancellation that is news here, and `reaches_peers`
    says whether any peer has pinged just now.
    """

    def __init__(
        self,
        node: str,
        heartbeat_interval_s: float,
        cancellations: Cancellations,
        peers: PeerGroup,
        reaches_peers: ReachesPeers,
        on_cancelled: OnCancelled,
    ) -> None:
        self._node = node
        self._heartbeat_interval_s = heartbeat_interval_s
        self._cancellations = cancellations
        self._peers = peers
        self._reaches_peers = reaches_peers
        self._on_cancelled = on_cancelled
        self._receipt_arrived = curio.Event()  # set, and replaced, when a peer acknowledges

    async def confirm(self, job: str, at: float) -> None:
        """A user is about to be told that the job is cancelled.

        Before that, one peer at least is to have it, if one can be reached: this
        controller may end just after its answer, and the store with it.
        """
        if not self._cancellations.add(job, at, time.time()):
            return
        await self._on_cancelled(job, at)
        for peer in self._peers.names():
            await self._send_missing(peer)
        now = await curio.clock()
        deadline = now + RECEIPT_TIMEOUT_HEARTBEATS * self._heartbeat_interval_s
        while now < deadline and self._reaches_peers(now):
            if any(self._cancellations.peer_has(peer, job) for peer in self._peers.names()):
                return
            await curio.ignore_after(deadline - now, self._receipt_arrived.wait)
            now = await curio.clock()

    async def _send_missing(self, peer: str) -> None:
        """Send a peer what it lacks; it acknowledges, or gets it again after the next ping."""
        changes = self._cancellations.changes_for(peer)
        if changes is not None:
            message = Cancelled(CANCELLED, self._node, self._cancellations.incarnation, *changes)
            await self._peers.send(peer, message)

    async def on_cancellations(self, cancelled: Cancelled) -> None:
        """A peer's message with cancellations; it is acknowledged."""
        peer = str(cancelled.node)
        added = self._cancellations.receive(
            peer,
            str(cancelled.incarnation),
            int(cancelled.after),
            int(cancelled.upto),
            cancelled.entries,
            time.time(),
        )
        for job, at in added:
            await self._on_cancelled(job, at)
        if self._peers.is_known(peer):
            incarnation, upto = self._cancellations.receipts()[peer]
            await self._peers.send(peer, Receipt(RECEIPT, self._node, incarnation, upto))

    async def on_receipt(self, peer: str, incarnation: str, upto: int) -> None:
        """A peer acknowledges all up to a number; what it still lacks is sent."""
        lacks_entries = self._cancellations.record_acknowledgement(peer, incarnation, upto)
        arrived, self._receipt_arrived = self._receipt_arrived, curio.Event()
        await arrived.set()
        if lacks_entries:
            await self._send_missing(peer)
