"""Replicates confirmed cancellations between controllers."""

from __future__ import annotations

import time
from typing import Protocol

import curio

from topazhold.control.peer_group import PeerGroup
from topazhold.control.peer_messages import CANCELLED, RECEIPT, Cancelled, Receipt
from topazhold.core.cancellations import Cancellations

#: Maximum wait of a cancellation's response for a first receipt, in heartbeat intervals.
RECEIPT_TIMEOUT_HEARTBEATS = 0.1


class OnCancelled(Protocol):
    """Notifies the term led here of a cancelled job and the wall-clock time of the confirmation."""

    async def __call__(self, job_id: str, at: float, /) -> None: ...


class ReachesPeers(Protocol):
    """Returns whether any peer has pinged shortly before `now`, on the monotonic clock."""

    def __call__(self, now: float, /) -> bool: ...


class CancellationExchange:
    """Sends cancellations to the peers until they acknowledge them, and receives theirs.

    `on_cancelled` is called for each cancellation that is new to this controller.
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
        self._receipt_arrived = curio.Event()  # set and replaced at each receipt

    async def confirm(self, job: str, at: float) -> None:
        """Record and replicate a cancellation before its user gets the response.

        Waits until at least one peer has acknowledged it, if any is reachable: this controller
        may fail just after its response, and the store with it.
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
        """Send a peer the cancellations it lacks; without a receipt, its next ping repeats this."""
        changes = self._cancellations.changes_for(peer)
        if changes is not None:
            message = Cancelled(CANCELLED, self._node, self._cancellations.incarnation, *changes)
            await self._peers.send(peer, message)

    async def on_cancellations(self, cancelled: Cancelled) -> None:
        """Add a peer's cancellations, and acknowledge them."""
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
        """Record that a peer has all entries up to a number, and send it those it still lacks."""
        lacks_entries = self._cancellations.record_acknowledgement(peer, incarnation, upto)
        arrived, self._receipt_arrived = self._receipt_arrived, curio.Event()
        await arrived.set()
        if lacks_entries:
            await self._send_missing(peer)
