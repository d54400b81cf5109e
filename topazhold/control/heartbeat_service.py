"""Responses to workers' heartbeats.

- The leader of a loaded term responds 200 with the machine's commands.
- A leader that is still loading its term, and a follower whose leader the worker can't reach,
  respond 200 with kills of cancelled jobs only, which renews the worker's lease.
- A controller that is partitioned from the store and all peers first responds 421 to workers
  that may find another controller; it answers the others as above.
- A controller of any role that may not know all cancellations responds 421 once the tasks
  could otherwise outlast `cancel_s` (`lease_renewals`), unless the store shows that the worker's
  jobs are live (`live_jobs`).
- Otherwise the response is 421, with the leader's name if known.
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
from topazhold.control.lease_renewals import LeaseRenewals
from topazhold.control.live_jobs import LiveJobs
from topazhold.io.http import Response
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, decode
from topazhold.wire.workers import Commands, Heartbeat

log = logging.getLogger(__name__)


class HeartbeatService:
    """Handles workers' heartbeats, on leaders and followers alike."""

    def __init__(
        self,
        state: ControllerState,
        store: KeyValueStore,
        leadership_service: LeadershipService,
        follower_heartbeats: FollowerHeartbeats,
        lease_renewals: LeaseRenewals,
        live_jobs: LiveJobs,
    ) -> None:
        self._leadership = state.leadership
        self._cancellations = state.cancellations
        self._lease_renewals = lease_renewals
        self._live_jobs = live_jobs
        self._placement_hints = state.placement_hints
        self._store = store
        self._leadership_service = leadership_service
        self._current = leadership_service.current
        self._follower_heartbeats = follower_heartbeats

    async def handle(self, body: bytes) -> Response:
        """Return the response to a heartbeat: 200, 421, or 400 if the body is malformed."""
        try:
            heartbeat = decode(body, Heartbeat)
        except InvalidMessageError as exc:
            log.debug("malformed heartbeat: %s", exc)
            return Response(HTTPStatus.BAD_REQUEST)
        if heartbeat.fencing_token > self._leadership.term:
            return await self._on_higher_term(heartbeat.fencing_token)
        leader_term = self._current.leader_term
        now = await curio.clock()
        if not self._lease_renewals.are_allowed() and not self._live_jobs.covers(heartbeat):
            return self._refuse_renewal()
        if self._is_partitioned(
            now
        ) and not self._follower_heartbeats.should_serve_while_partitioned(heartbeat, now):
            return _redirect(None)
        if leader_term is None or not self._leadership.is_leader:
            return self._answer_as_follower(heartbeat, now)
        if not leader_term.loaded:
            return self._answer_locally(heartbeat, leader_term.term)
        return await self._answer_as_leader(leader_term, heartbeat)

    async def _on_higher_term(self, term: int) -> Response:
        """Adopt a higher term that a worker has seen; a leader here steps down."""
        self._leadership.term = term
        await self._leadership_service.end_term("a worker knows a higher term")
        self._leadership.leader = None
        return _redirect(None)

    def _is_partitioned(self, now: float) -> bool:
        """Return whether this controller is partitioned from the store and all peers.

        A leader may respond until its lease may have passed to another controller.
        """
        partitioned = self._follower_heartbeats.is_partitioned(
            self._store.health.is_available(now), now
        )
        return partitioned and not self._leadership_service.lease.is_valid(now)

    def _refuse_renewal(self) -> Response:
        """Redirect the worker, to the leader if it is another controller."""
        leadership = self._leadership
        return _redirect(leadership.leader if leadership.leader != leadership.node else None)

    def _answer_as_follower(self, heartbeat: Heartbeat, now: float) -> Response:
        """Serve the worker here if it can't reach the leader; otherwise redirect it there."""
        if self._follower_heartbeats.should_serve(heartbeat, now):
            self._follower_heartbeats.queue_for_forwarding(heartbeat)
            return self._answer_locally(heartbeat, self._leadership.term)
        return self._refuse_renewal()

    async def _answer_as_leader(self, leader_term: LeaderTerm, heartbeat: Heartbeat) -> Response:
        _, commands = await leader_term.on_heartbeat(heartbeat)
        if self._current.leader_term is not leader_term:
            return _redirect(None)  # the term ended while waiting for a plan
        return Response(HTTPStatus.OK, Commands(leader_term.term, commands))

    def _answer_locally(self, heartbeat: Heartbeat, term: int) -> Response:
        """Return a 200 with kills of cancelled jobs only; this needs no scheduler."""
        self._placement_hints.update_from_heartbeat(heartbeat)
        commands = self._cancellations.kill_commands(heartbeat)
        if commands:
            log.info(
                "killing %d tasks of cancelled jobs on %s in a heartbeat response",
                len(commands),
                heartbeat.machine,
            )
        return Response(HTTPStatus.OK, Commands(term, commands))


def _redirect(leader: str | None) -> Response:
    return Response(HTTPStatus.MISDIRECTED_REQUEST, wire.redirect_body(leader))
