"""The loop that searches for gangs: which ones, in which view of the fleet."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable
from typing import Any

import curio

from topazhold.control.gang_reservations import (
    MAX_SEARCHES,
    ClusterView,
    GangReservations,
    PendingGang,
    max_follower_searches,
)
from topazhold.control.key_value_store import DECISION_PRIORITY, STORE_ERRORS, KeyValueStore
from topazhold.control.leader_term import LeaderTerm
from topazhold.core import records
from topazhold.core.preemption import queue_key
from topazhold.operator_settings import Operator
from topazhold.settings import Settings
from topazhold.wire.codec import InvalidMessageError
from topazhold.wire.jobs import JobSpec

log = logging.getLogger(__name__)

#: How often the leader tells its peers the summary, about.
PEER_SUMMARY_S = 1.0
#: Time left to reports and users after a round of searches, as a multiple of its own.
SEARCH_PAUSE = 4.0


class PlacementSearch:
    """Searches for the gangs that this controller accepted, as leader also for others.

    `leading` gives the term that this controller leads, if it does, and `lease_id` the
    lease that its holds hang on.
    """

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        store: KeyValueStore,
        gang_reservations: GangReservations,
        cluster_view: ClusterView,
        leader_term: Callable[[], LeaderTerm | None],
        lease_id: Callable[[], int | None],
    ) -> None:
        self._node = settings.node_name
        self._summary_s = operator.summary_s
        self._store = store
        self._gang_reservations = gang_reservations
        self._cluster_view = cluster_view
        self._leader_term = leader_term
        self._lease_id = lease_id
        self._fetched_at = -1e9
        self._searches = max_follower_searches(settings.cluster.limits.cpu_share)

    def read_summary(self, values: dict[str, Any], now: float) -> None:
        """A summary, as old as it is: a transaction may be carried out late, after newer
        ones, and a message may be held up on its way."""
        jobs = values.get("")
        if not isinstance(jobs, dict) or self._cluster_view.older(jobs):
            return
        for zone, data in values.items():
            if zone:
                self._cluster_view.read_zone(zone, data)
            else:
                self._cluster_view.read_jobs(data)
        self._cluster_view.at = now - max(0.0, time.time() - self._cluster_view.written)

    async def _fetch_summary(self, now: float) -> None:
        entries, _ = await self._store.entries(records.SUMMARY_PREFIX)
        values = {
            entry.key[len(records.SUMMARY_PREFIX) :].replace("*", ""): entry.data
            for entry in entries
        }
        self.read_summary(values, now)

    async def loop(self) -> None:
        """At most one write of holds a second."""
        gang_reservations = self._gang_reservations
        while True:
            await curio.ignore_after(1.0, gang_reservations.wake.wait)
            now = await curio.clock()
            if now - gang_reservations.wrote_at < 1.0:
                await curio.sleep(1.0 - (now - gang_reservations.wrote_at))
            gang_reservations.wake.clear()
            lease_id = self._lease_id()
            if lease_id is None:
                continue
            try:
                busy = await self._operation_log(lease_id, await curio.clock())
            except STORE_ERRORS as exc:
                log.debug("booking: %s", exc)
            else:
                await curio.sleep(busy * SEARCH_PAUSE)

    async def _operation_log(self, lease_id: int, now: float) -> float:
        """One round of searches; the time that it kept this process busy."""
        leader_term = self._leader_term()
        gang_reservations = self._gang_reservations
        if leader_term is not None:
            if not leader_term.loaded:
                return 0.0
            self._pending_of_leader(leader_term, now)
            cluster_view = (
                leader_term.cluster_view(now) if gang_reservations.pending else self._cluster_view
            )
        else:
            cluster_view = self._cluster_view
            if now - max(cluster_view.at, self._fetched_at) > self._summary_s:
                self._fetched_at = now
                await self._fetch_summary(now)
            await self._pending_of_follower(now)
            if gang_reservations.pending:
                await gang_reservations.read_reservations()
        began = time.monotonic()
        gang_reservations.round(
            cluster_view, now, MAX_SEARCHES if leader_term is not None else self._searches
        )
        busy = time.monotonic() - began
        if await gang_reservations.write(lease_id, now) and leader_term is not None:
            await leader_term.request_plan()
        return busy

    def _pending_of_leader(self, leader_term: LeaderTerm, now: float) -> None:
        """Its own gangs, and those whose controller is gone or finds nothing."""
        pending = self._gang_reservations.pending
        waiting = {job.id: job for job in leader_term.scheduler.waiting_gangs(now)}
        for job_id in list(pending):
            if job_id not in waiting:
                self._gang_reservations.forget(job_id)
        for job in waiting.values():
            others = (
                job.node != self._node
                and job.node in self._gang_reservations.reservation_table.revisions
            )
            # Its own controller searches; two at once would only replace each
            # other's holds. The leader steps in where nothing comes of it.
            if others and leader_term.scheduler.wanting_s(job, now) < 2 * self._summary_s:
                if job.id not in self._gang_reservations.mine:
                    self._gang_reservations.forget(job.id)
                    continue
            known = pending.get(job.id)
            if known is None:
                pending[job.id] = PendingGang(job.spec, queue_key(job), job.arrived)
            else:
                known.queue_key = queue_key(job)
            reservation = self._gang_reservations.mine.get(job.id)
            if reservation is not None and leader_term.scheduler.spent(job, reservation):
                del self._gang_reservations.mine[job.id]

    async def _pending_of_follower(self, now: float) -> None:
        """Gangs accepted here that the leader still lists as waiting."""
        gang_reservations = self._gang_reservations
        waiting = self._cluster_view.waiting
        for job_id, pending in list(gang_reservations.pending.items()):
            told = waiting.get(job_id)
            if told is None:
                # Started, or over; if the leader has only not heard of it yet,
                # it will name this node as its searcher.
                if (
                    self._cluster_view.at - pending.since > 2 * PEER_SUMMARY_S
                    and self._cluster_view.all_waiting
                ):
                    gang_reservations.forget(job_id)
            else:
                pending.queue_key = told[1]
                if told[2]:
                    reservation = gang_reservations.mine.get(job_id)
                    if (
                        reservation is not None
                        and time.time() - reservation.made_at > self._summary_s
                    ):
                        del gang_reservations.mine[job_id]  # refused, or used up
        for job_id, (node, its_turn, _) in waiting.items():
            if node == self._node and job_id not in gang_reservations.pending:
                spec = await self._read_spec(job_id)
                if spec is not None:
                    gang_reservations.pending[job_id] = PendingGang(spec, its_turn, now)

    async def _read_spec(self, job_id: str) -> JobSpec | None:
        entry = await self._store.get(records.live_key(job_id), DECISION_PRIORITY)
        if entry is None:
            return None
        try:
            return records.read_live(entry.data, entry.revision, time.time(), 0.0).spec
        except (InvalidMessageError, ValueError):
            return None
