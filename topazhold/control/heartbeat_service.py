"""Workers' heartbeats: which are answered here, and which workers go to another controller.

- The leader, once its term is loaded, answers 200 with the machine's commands.
- A leader whose term is still being loaded, and a follower whose leader can't be reached by the
  worker, answer 200 with nothing but kills of cancelled jobs: that keeps the worker's lease.
- Everybody else answers 421, with the leader's name where it is known.
"""

from __future__ import annotations

import logging
from http import HTTPStatus

import curio

from topazhold.control.controller_services import ControllerState
from topazhold.control.follower_heartbeats import FollowerHeartbeats
from topazhold.control.key_value_store import KeyValueStore
from topazhold.control.leader_term import LeaderTerm
from topazhold.control.leadership_service import LeadershipService
from topazhold.io.http import Response
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, read
from topazhold.wire.workers import Commands, Heartbeat

log = logging.getLogger(__name__)


class HeartbeatService:
    """Answers workers' heartbeats on any controller."""

    def __init__(
        self,
        state: ControllerState,
        store: KeyValueStore,
        leadership_service: LeadershipService,
        follower_heartbeats: FollowerHeartbeats,
    ) -> None:
        self._leadership = state.leadership
        self._cancellations = state.cancellations
        self._placement_hints = state.placement_hints
        self._store = store
        self._leadership_service = leadership_service
        self._current = leadership_service.current
        self._follower_heartbeats = follower_heartbeats

    async def handle(self, body: bytes) -> Response:
        """The answer to a heartbeat: 200, 421, or 400 for what is none."""
        try:
            heartbeat = read(body, Heartbeat)
        except InvalidMessageError as exc:
            log.debug("heartbeat refused: %s", exc)
            return Response(HTTPStatus.BAD_REQUEST)
        if heartbeat.fencing_token > self._leadership.term:
            return await self._on_higher_term(heartbeat.fencing_token)
        leader_term = self._current.leader_term
        now = await curio.clock()
        if self._is_partitioned(now) and not self._should_serve_while_partitioned(heartbeat, now):
            return _redirect(None)
        if leader_term is None or not self._leadership.is_leader:
            return self._answer_as_follower(heartbeat, now)
        if not leader_term.loaded:
            if not self._may_extend_leases(now):
                return _redirect(None)
            return self._answer_locally(heartbeat, leader_term.term)
        return await self._answer_as_leader(leader_term, heartbeat)

    async def _on_higher_term(self, term: int) -> Response:
        """A worker knows a term that this controller does not: a leader here is none any more."""
        self._leadership.term = term
        await self._leadership_service.end_term("a worker knows a higher term")
        self._leadership.leader = None
        return _redirect(None)

    def _is_partitioned(self, now: float) -> bool:
        """Whether nothing that arrives at this controller reaches anybody.

        A leader may answer for as long as its lease can't have passed on.
        """
        partitioned = self._follower_heartbeats.is_partitioned(self._store.is_available(now), now)
        return partitioned and not self._leadership_service.lease.is_valid(now)

    def _should_serve_while_partitioned(self, heartbeat: Heartbeat, now: float) -> bool:
        return self._may_extend_leases(
            now
        ) and self._follower_heartbeats.should_serve_while_partitioned(heartbeat, now)

    def _answer_as_follower(self, heartbeat: Heartbeat, now: float) -> Response:
        """Keep the worker here where the leader can't be reached by it; else send it there."""
        leadership = self._leadership
        if self._may_extend_leases(now) and self._follower_heartbeats.should_serve(heartbeat, now):
            self._follower_heartbeats.queue_for_forwarding(heartbeat)
            return self._answer_locally(heartbeat, leadership.term)
        return _redirect(leadership.leader if leadership.leader != leadership.node else None)

    async def _answer_as_leader(self, leader_term: LeaderTerm, heartbeat: Heartbeat) -> Response:
        _, commands = await leader_term.on_heartbeat(heartbeat)
        if self._current.leader_term is not leader_term:
            return _redirect(None)  # the term ended while a plan was waited for
        return Response(HTTPStatus.OK, Commands(leader_term.term, commands))

    def _may_extend_leases(self, now: float) -> bool:
        """Whether a 200 from here keeps no task alive past the end of its `cancel_s`."""
        return self._cancellations.informed and self._follower_heartbeats.can_enforce_cancellations(
            now
        )

    def _answer_locally(self, heartbeat: Heartbeat, term: int) -> Response:
        """A 200 without a scheduler: nothing but the kills that the record asks for."""
        self._placement_hints.update_from_heartbeat(heartbeat)
        commands = self._cancellations.kill_commands(heartbeat)
        if commands:
            log.info(
                "%d tasks of cancelled jobs on %s killed in an answer",
                len(commands),
                heartbeat.machine,
            )
        return Response(HTTPStatus.OK, Commands(term, commands))


def _redirect(leader: str | None) -> Response:
    return Response(HTTPStatus.MISDIRECTED_REQUEST, wire.redirect(leader))
