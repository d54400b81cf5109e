"""Tells the other controllers of confirmed cancellations, and hears of theirs."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Mapping

import curio

from topazhold.control.peer_messages import CANCELLED, RECEIPT, Cancelled, Receipt
from topazhold.core.cancellations import Cancellations
from topazhold.io.peer_transport import PeerConnection, encode

#: How long a cancellation's answer waits for the first peer to have it.
RECEIPT_HEARTBEATS = 0.1

#: Tells whoever leads here of a cancelled job and the time of day of its confirmation.
TellCancelled = Callable[[str, float], Awaitable[None]]


class CancellationExchange:
    """Keeps the peers' records of cancellations level with this controller's.

    `cancelled` is called for each cancellation that is news here, and `reaches_peers`
    says whether any peer was heard just now.
    """

    def __init__(
        self,
        node: str,
        heartbeat_interval_s: float,
        cancellations: Cancellations,
        peer_connections: Mapping[str, PeerConnection],
        reaches_peers: Callable[[float], bool],
        cancelled: TellCancelled,
    ) -> None:
        self._node = node
        self._heartbeat_interval_s = heartbeat_interval_s
        self._cancellations = cancellations
        self._peer_connections = peer_connections
        self._reaches_peers = reaches_peers
        self._cancelled = cancelled
        self._receipt = curio.Event()  # set, and replaced, when a peer acknowledges

    async def confirm(self, job: str, at: float) -> None:
        """A user is about to be told that the job is cancelled.

        Before that, one peer at least is to have it, if one is to be heard: this
        controller may end just after its answer, and the state service with it.
        """
        if not self._cancellations.add(job, at, time.time()):
            return
        await self._cancelled(job, at)
        for peer in self._peer_connections:
            await self._broadcast(peer)
        now = await curio.clock()
        end = now + RECEIPT_HEARTBEATS * self._heartbeat_interval_s
        while now < end and self._reaches_peers(now):
            if any(self._cancellations.peer_has(peer, job) for peer in self._peer_connections):
                return
            await curio.ignore_after(end - now, self._receipt.wait)
            now = await curio.clock()

    async def _broadcast(self, peer: str) -> None:
        """Send a peer what it lacks; it acknowledges, or is told again by the next ping."""
        news = self._cancellations.news(peer)
        connection = self._peer_connections.get(peer)
        if news is not None and connection is not None:
            message = Cancelled(CANCELLED, self._node, self._cancellations.incarnation, *news)
            await connection.send(encode(message))

    async def on_cancellations(self, news: Cancelled) -> None:
        """A peer's message with cancellations; it is acknowledged."""
        peer = str(news.node)
        fresh = self._cancellations.receive(
            peer, str(news.incarnation), int(news.after), int(news.upto), news.entries, time.time()
        )
        for job, at in fresh:
            await self._cancelled(job, at)
        connection = self._peer_connections.get(peer)
        if connection is not None:
            incarnation, upto = self._cancellations.receipts()[peer]
            await connection.send(encode(Receipt(RECEIPT, self._node, incarnation, upto)))

    async def on_receipt(self, peer: str, incarnation: str, upto: int) -> None:
        """A peer acknowledges all up to a number; what it still lacks is sent."""
        lacks = self._cancellations.acknowledged(peer, incarnation, upto)
        passed, self._receipt = self._receipt, curio.Event()
        await passed.set()
        if lacks:
            await self._broadcast(peer)
