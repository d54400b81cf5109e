"""Handles messages of the other controllers: hints, on none of which correctness depends."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio

from topazhold.control.cancellation_exchange import CancellationExchange
from topazhold.control.controller_services import ControllerState
from topazhold.control.follower_heartbeats import FollowerHeartbeats, peer_expiry_s
from topazhold.control.leadership_service import LeadershipService
from topazhold.control.peer_announcer import PeerAnnouncer
from topazhold.control.peer_messages import (
    CANCELLED,
    KNOWN,
    PING,
    PLACED,
    RECEIPT,
    RELAY,
    RELEASED,
    SUMMARY,
    Cancelled,
    Known,
    Ping,
    Placed,
    Receipt,
    Relay,
    Released,
    Summary,
)
from topazhold.control.placement_search import PlacementSearch
from topazhold.control.store_health import StoreHealth
from topazhold.core.cancellation_knowledge import StoreRefusals
from topazhold.core.jobs import DISTANT_PAST
from topazhold.core.zone_summary import unpack_names


@dataclass(frozen=True)
class PeerMessageRecipients:
    """The components of a controller that receive peers' messages."""

    cancellation_exchange: CancellationExchange
    follower_heartbeats: FollowerHeartbeats
    placement_search: PlacementSearch
    announcer: PeerAnnouncer


class PeerService:
    """Dispatches each message to its recipient; unknown kinds are dropped."""

    def __init__(
        self,
        state: ControllerState,
        leadership_service: LeadershipService,
        recipients: PeerMessageRecipients,
        store_health: StoreHealth,
        controller_lease_s: float,
    ) -> None:
        self._state = state
        self._store_health = store_health
        self._leadership_service = leadership_service
        self._current = leadership_service.current
        self._recipients = recipients
        self._controller_lease_s = controller_lease_s
        self._peer_expiry_s = peer_expiry_s(controller_lease_s)
        self._loaded_leader = ""  # the last to ping as leader of a loaded term
        self._loaded_leader_at = DISTANT_PAST
        self._peer_incarnations: dict[str, str] = {}
        self._known_senders: dict[str, str] = {}  # incarnation, of peers that send `Known`
        self._handlers: dict[str, Callable[[tuple[Any, ...]], Awaitable[None]]] = {
            PING: self._on_ping,
            CANCELLED: self._on_cancelled,
            KNOWN: self._on_known,
            RECEIPT: self._on_receipt,
            RELEASED: self._on_released,
            PLACED: self._on_placed,
            RELAY: self._on_forwarded,
            SUMMARY: self._on_summary,
        }

    async def handle(self, message: tuple[Any, ...]) -> None:
        """Handle a message of another controller.

        Raises ValueError, TypeError, IndexError or KeyError for a malformed one; the listener
        drops it.
        """
        handler = self._handlers.get(message[0])
        if handler is not None:
            await handler(message)

    def is_handled_by_leader(self, job: str, now: float) -> bool:
        """Return whether the leader of a loaded term, here or a peer, knows the cancellation."""
        if self._current.loaded_term is not None:
            return True
        if now - self._loaded_leader_at > self._peer_expiry_s:
            return False
        return self._state.cancellations.peer_has(self._loaded_leader, job)

    async def _on_ping(self, message: tuple[Any, ...]) -> None:
        """Record that a peer is alive, and what it knows of the leader and of cancellations."""
        ping = Ping(*message)
        peer = str(ping.node)
        from_leader = ping.silent_machines is not None and ping.node == ping.leader
        now = await curio.clock()
        self._recipients.follower_heartbeats.on_ping(
            peer,
            bool(ping.store_available),
            unpack_names(ping.silent_machines) if from_leader else None,
            now,
        )
        if from_leader:
            self._loaded_leader, self._loaded_leader_at = peer, now
        has_store_as_leader = from_leader and bool(ping.store_available)
        self._infer_knowledge(peer, ping.cancellation_record, has_store_as_leader)
        await self._compare_records(peer, ping.cancellation_record, ping.receipts)
        leadership = self._state.leadership
        if ping.leader and int(ping.term) >= leadership.term:
            if leadership.observe_term(str(ping.leader), int(ping.term)):
                await self._leadership_service.end_term("a peer follows a later leader")

    async def _compare_records(self, peer: str, record: Any, receipts: Any) -> None:
        """Compare the records of cancellations with a peer's, and send it what it lacks."""
        incarnation, last, informed = record
        cancellations = self._state.cancellations
        if informed and cancellations.has_all_of(peer, str(incarnation), int(last)):
            cancellations.informed = True
        if self._peer_incarnations.get(peer) != incarnation:
            self._peer_incarnations[peer] = str(incarnation)
            if self._current.leader_term is not None:
                self._current.leader_term.resend_placements()
        receipt_incarnation, upto = receipts.get(self._state.leadership.node, ("", -1))
        await self._recipients.cancellation_exchange.on_receipt(
            peer, str(receipt_incarnation), int(upto)
        )

    async def _on_known(self, message: tuple[Any, ...]) -> None:
        """Learn until when a peer knows all cancellations, if its record has arrived here."""
        known = Known(*message)
        peer, incarnation = str(known.node), str(known.incarnation)
        self._known_senders[peer] = incarnation
        cancellations = self._state.cancellations
        if cancellations.has_all_of(peer, incarnation, int(known.last)):
            cancellations.knowledge.on_peer_record(
                peer, incarnation, float(known.sent_at), float(known.known_until)
            )
        own_refusals = self._store_health.refusals
        if own_refusals is not None and known.store_refusals is not None:
            since, until = known.store_refusals
            cancellations.knowledge.on_shared_refusals(
                own_refusals, StoreRefusals(float(since), float(until))
            )

    def _infer_knowledge(self, peer: str, record: Any, has_store_as_leader: bool) -> None:
        """Infer from a ping what a peer of a version without `Known` knows.

        Such a leader notices within a controller's lease that it has lost the store.
        """
        incarnation, last, informed = record
        cancellations = self._state.cancellations
        if self._known_senders.get(peer) == incarnation or not cancellations.has_all_of(
            peer, str(incarnation), int(last)
        ):
            return
        sent_at = time.time() - self._controller_lease_s
        knows_all = bool(informed) and has_store_as_leader
        cancellations.knowledge.on_peer_record(
            peer, str(incarnation), sent_at, sent_at if knows_all else DISTANT_PAST
        )

    async def _on_cancelled(self, message: tuple[Any, ...]) -> None:
        await self._recipients.cancellation_exchange.on_cancellations(Cancelled(*message))

    async def _on_receipt(self, message: tuple[Any, ...]) -> None:
        receipt = Receipt(*message)
        await self._recipients.cancellation_exchange.on_receipt(
            str(receipt.node), str(receipt.incarnation), int(receipt.upto)
        )

    async def _on_released(self, message: tuple[Any, ...]) -> None:
        await self._recipients.announcer.mark_released(Released(*message).machines)

    async def _on_placed(self, message: tuple[Any, ...]) -> None:
        placed = Placed(*message)
        if self._current.loaded_term is None:
            self._state.placement_hints.update_from_leader(int(placed.term), placed.items)

    async def _on_forwarded(self, message: tuple[Any, ...]) -> None:
        relay = Relay(*message)
        leader_term = self._current.leader_term
        if leader_term is not None and leader_term.term == int(relay.term):
            await leader_term.on_forwarded_heartbeats(relay.heartbeats)

    async def _on_summary(self, message: tuple[Any, ...]) -> None:
        summary = Summary(*message)
        if int(summary.term) >= self._state.leadership.term and self._current.leader_term is None:
            self._recipients.placement_search.read_summary(summary.values, await curio.clock())
