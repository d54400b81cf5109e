"""This controller's leadership: its lease, its elections, and the terms that it leads."""

from __future__ import annotations

import logging

import curio

from topazhold.control.controller_services import ControllerServices, ControllerState
from topazhold.control.election import ControllerLease, Election, ElectionResult, OnLeaseGranted
from topazhold.control.leader_term import CurrentTerm, LeaderTerm
from topazhold.control.peer_announcer import PeerAnnouncer
from topazhold.control.peer_group import PeerGroup
from topazhold.control.waiting_loops import wait_then_work

log = logging.getLogger(__name__)

#: The leader's share of the store's limits, and the minimum share of a follower. The shares add
#: up to more than 1: controllers are seldom busy at the same time, and the store itself refuses
#: requests beyond its limits.
LEADER_STORE_SHARE = 0.85
MIN_FOLLOWER_STORE_SHARE = 0.35
#: Intervals as shares of the controller's lease: between checks that the term is still current,
#: and between checks that the leader is not partitioned from the workers.
TERM_CHECK_LEASE_SHARE = 0.25
PARTITION_CHECK_LEASE_SHARE = 0.5
#: Time for which a leader that resigned does not run again, in worker leases.
RESIGNATION_BACKOFF_LEASES = 2


class LeadershipService:
    """Begins, runs and ends the terms that this controller leads.

    `begin_term` and `end_term` are the only places that change `current.leader_term`.
    """

    def __init__(
        self,
        services: ControllerServices,
        state: ControllerState,
        peers: PeerGroup,
        announcer: PeerAnnouncer,
        current: CurrentTerm,
        on_lease_granted: OnLeaseGranted,
    ) -> None:
        self._services = services
        self._state = state
        self._peers = peers
        self._announcer = announcer
        self.current = current
        self._changed = curio.Event()  # set when the lease or the leadership changes
        self.lease = ControllerLease(
            services.store,
            services.controller_lease_s,
            on_lease_granted,
            self.end_term,
            self._changed.set,
        )
        self.election = Election(
            services.store,
            state.leadership,
            self.lease,
            services.controller_lease_s,
            self.begin_term,
            self.end_term,
        )
        self._set_store_share(False)

    def _set_store_share(self, is_leader: bool) -> None:
        """Set this controller's share of the store's limits; the leader needs most of them."""
        controllers = self._peers.controller_count
        if controllers == 1:
            share = 1.0
        elif is_leader:
            share = LEADER_STORE_SHARE
        else:
            share = max(MIN_FOLLOWER_STORE_SHARE, 1.0 / controllers)
        self._services.store.set_share(share)

    async def begin_term(self, result: ElectionResult) -> None:
        """Begin the term of an election that this controller has won."""
        self._set_store_share(True)
        self.current.leader_term = LeaderTerm(
            self._services,
            self._state,
            self._announcer.announce_released,
            self._peers.broadcast,
            self.lease,
            result,
        )
        await self._changed.set()
        await self._announcer.ping()

    async def end_term(self, reason: str) -> None:
        """End this controller's term, if it leads one."""
        ended_term = self.current.leader_term
        if ended_term is None:
            return
        log.info("node %s is no longer leader: %s", self._state.leadership.node, reason)
        self._state.leadership.become_follower()
        if ended_term.loaded:
            self._state.placement_hints.update_from_leader(ended_term.term, ended_term.placements())
        self.current.leader_term = None
        self._set_store_share(False)
        await self._changed.set()

    async def term_loop(self) -> None:
        """Run the loops of each term until the term ends."""
        while True:
            await self._changed.wait()
            self._changed.clear()
            leader_term = self.current.leader_term
            if leader_term is not None:
                await self._run_term(leader_term)

    async def _run_term(self, leader_term: LeaderTerm) -> None:
        task = await curio.spawn(leader_term.run)
        while self.current.leader_term is leader_term and not task.terminated:
            pause_s = TERM_CHECK_LEASE_SHARE * self._services.controller_lease_s
            await curio.ignore_after(pause_s, self._changed.wait)
            self._changed.clear()
        await task.cancel()
        if self.current.leader_term is leader_term:
            await self.end_term("its loops ended")
            await self.lease.revoke()

    async def resign_loop(self) -> None:
        """Resign leadership when most heartbeats reach other controllers only."""
        await wait_then_work(
            PARTITION_CHECK_LEASE_SHARE * self._services.controller_lease_s,
            self._resign_if_partitioned,
        )

    async def _resign_if_partitioned(self) -> None:
        leader_term = self.current.loaded_term
        now = await curio.clock()
        if leader_term is None or not leader_term.scheduler.is_partitioned_from_workers(now):
            return
        log.info(
            "node %s receives heartbeats from too few of the workers that reach other controllers",
            self._state.leadership.node,
        )
        worker_lease_s = self._services.settings.cluster.workers.lease_s
        self.election.suspend_candidacy(now + RESIGNATION_BACKOFF_LEASES * worker_lease_s)
        await self.end_term("cut from the workers")
        await self.lease.revoke()
