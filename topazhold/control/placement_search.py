"""The loop that selects the gangs to search for and the view of the cluster to search in."""

from __future__ import annotations

import logging
import time
from typing import Any

import curio

from topazhold.control.cluster_view import ClusterView
from topazhold.control.election import ControllerLease
from topazhold.control.gang_reservations import MIN_WRITE_INTERVAL_S
from topazhold.control.key_value_store import KeyValueStore
from topazhold.control.leader_term import CurrentTerm, LeaderTerm
from topazhold.control.pending_gangs import (
    MAX_SEARCHES,
    PendingGang,
    PendingGangs,
    max_follower_searches,
)
from topazhold.core import records
from topazhold.core.jobs import DISTANT_PAST, Job
from topazhold.core.preemption import queue_key
from topazhold.interfaces.store import DECISION_PRIORITY
from topazhold.interfaces.store_errors import KeyValueStoreError
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings
from topazhold.wire.codec import InvalidMessageError
from topazhold.wire.jobs import JobSpec

log = logging.getLogger(__name__)

#: Approximate seconds between two summaries that the leader sends to its peers.
PEER_SUMMARY_S = 1.0
#: Intervals between those summaries after which a gang that a summary omits is no longer
#: searched for.
REMOVAL_SUMMARIES = 2
#: Intervals between stored summaries after which the leader searches for another controller's
#: gang that still has no reservation.
TAKEOVER_SUMMARIES = 2
#: Pause after a round of searches, which leaves time to heartbeats and users, as a multiple of
#: the round's duration.
SEARCH_PAUSE_FACTOR = 4.0


class PlacementSearch:
    """Searches for the gangs that this controller accepted; a leader also takes over others'.

    The stored reservations are attached to `lease` and expire with it.
    """

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        store: KeyValueStore,
        pending_gangs: PendingGangs,
        current: CurrentTerm,
        lease: ControllerLease,
    ) -> None:
        self._node = settings.node_name
        self._summary_s = operator.summary_s
        self._store = store
        self._pending_gangs = pending_gangs
        self._reservations = pending_gangs.reservations
        self.cluster_view = ClusterView()  # from the last summary
        self._current = current
        self._lease = lease
        self._fetched_at = DISTANT_PAST
        self._max_searches = max_follower_searches(settings.cluster.limits.cpu_share)

    def read_summary(self, values: dict[str, Any], now: float) -> None:
        """Apply a summary unless it is outdated, with the age that it has already.

        A transaction may be executed late, after newer ones, and a message may be delayed.
        """
        jobs = values.get("")
        if not isinstance(jobs, dict) or self.cluster_view.is_outdated(jobs):
            return
        for zone, data in values.items():
            if zone:
                self.cluster_view.read_zone(zone, data)
            else:
                self.cluster_view.read_jobs(data)
        self.cluster_view.observed_at = now - max(0.0, time.time() - self.cluster_view.made_at)

    async def _fetch_summary(self, now: float) -> None:
        entries, _ = await self._store.entries(records.SUMMARY_PREFIX)
        values = {
            entry.key[len(records.SUMMARY_PREFIX) :].replace("*", ""): entry.data
            for entry in entries
        }
        self.read_summary(values, now)

    async def loop(self) -> None:
        """Search for gangs, and write reservations at most once per `MIN_WRITE_INTERVAL_S`."""
        reservations = self._reservations
        while True:
            await curio.ignore_after(MIN_WRITE_INTERVAL_S, reservations.search_due.wait)
            now = await curio.clock()
            if now - reservations.wrote_at < MIN_WRITE_INTERVAL_S:
                await curio.sleep(MIN_WRITE_INTERVAL_S - (now - reservations.wrote_at))
            reservations.search_due.clear()
            lease_id = self._lease.id
            if lease_id is None:
                continue
            try:
                busy_s = await self._search_and_write(lease_id, await curio.clock())
            except KeyValueStoreError as exc:
                log.debug("search for gangs interrupted: %s", exc)
            else:
                await curio.sleep(busy_s * SEARCH_PAUSE_FACTOR)

    async def _search_and_write(self, lease_id: int, now: float) -> float:
        """Run a round of searches; return the seconds for which it kept this process busy."""
        leader_term = self._current.leader_term
        if leader_term is not None and not leader_term.loaded:
            return 0.0
        if leader_term is not None:
            cluster_view, limit = self._prepare_as_leader(leader_term, now), MAX_SEARCHES
        else:
            await self._prepare_as_follower(now)
            cluster_view, limit = self.cluster_view, self._max_searches
        began = time.monotonic()
        self._pending_gangs.search_round(cluster_view, now, limit)
        busy_s = time.monotonic() - began
        if await self._reservations.write(lease_id, now) and leader_term is not None:
            await leader_term.request_plan()
        return busy_s

    def _prepare_as_leader(self, leader_term: LeaderTerm, now: float) -> ClusterView:
        self._update_pending_as_leader(leader_term, now)
        return leader_term.cluster_view(now) if self._pending_gangs.by_id else self.cluster_view

    async def _prepare_as_follower(self, now: float) -> None:
        if now - max(self.cluster_view.observed_at, self._fetched_at) > self._summary_s:
            self._fetched_at = now
            await self._fetch_summary(now)
        await self._update_pending_as_follower(now)
        if self._pending_gangs.by_id:
            await self._reservations.read_all()

    def _update_pending_as_leader(self, leader_term: LeaderTerm, now: float) -> None:
        """Select the leader's own gangs, and those whose controller is gone or finds no group."""
        pending_gangs, own = self._pending_gangs, self._reservations.own
        waiting = {job.id: job for job in leader_term.scheduler.waiting_gangs(now)}
        for job_id in list(pending_gangs.by_id):
            if job_id not in waiting:
                pending_gangs.remove(job_id)
        for job in waiting.values():
            # The controller that accepted the gang searches first: two that search at once would
            # replace each other's reservations. The leader takes over if it finds no group.
            if self._is_searched_elsewhere(leader_term, job, now) and job.id not in own:
                pending_gangs.remove(job.id)
                continue
            pending = pending_gangs.by_id.get(job.id)
            if pending is None:
                pending_gangs.by_id[job.id] = PendingGang(job.spec, queue_key(job), job.arrived)
            else:
                pending.queue_key = queue_key(job)
            reservation = own.get(job.id)
            if reservation is not None and leader_term.scheduler.is_consumed_or_rejected(
                job, reservation
            ):
                del own[job.id]

    def _is_searched_elsewhere(self, leader_term: LeaderTerm, job: Job, now: float) -> bool:
        """Return whether another controller, which accepted the gang, still has time to search."""
        if job.node == self._node or job.node not in self._reservations.table.revisions:
            return False
        return leader_term.scheduler.unreserved_s(job, now) < TAKEOVER_SUMMARIES * self._summary_s

    async def _update_pending_as_follower(self, now: float) -> None:
        """Select the gangs accepted here that the leader still lists as waiting."""
        pending_gangs, waiting = self._pending_gangs, self.cluster_view.waiting
        for job_id, pending in list(pending_gangs.by_id.items()):
            listed = waiting.get(job_id)
            if listed is None:
                # It has started or ended. If the leader does not know it yet, a later summary
                # will list it with this controller.
                if (
                    self.cluster_view.observed_at - pending.pending_since
                    > REMOVAL_SUMMARIES * PEER_SUMMARY_S
                    and self.cluster_view.lists_all_waiting
                ):
                    pending_gangs.remove(job_id)
                continue
            _, pending.queue_key, needs_reservation = listed
            if needs_reservation:
                self._drop_stale_reservation(job_id)
        for job_id, (node, gang_queue_key, _) in waiting.items():
            if node == self._node and job_id not in pending_gangs.by_id:
                spec = await self._read_spec(job_id)
                if spec is not None:
                    pending_gangs.by_id[job_id] = PendingGang(spec, gang_queue_key, now)

    def _drop_stale_reservation(self, job_id: str) -> None:
        """Drop a reservation that the leader has had time to see but does not accept."""
        reservation = self._reservations.own.get(job_id)
        if reservation is not None and time.time() - reservation.made_at > self._summary_s:
            del self._reservations.own[job_id]

    async def _read_spec(self, job_id: str) -> JobSpec | None:
        """Return a live job's specification, if readable; raises KeyValueStoreError."""
        entry = await self._store.get(records.live_key(job_id), DECISION_PRIORITY)
        if entry is None:
            return None
        try:
            return records.read_live_job(entry.data, entry.revision, time.time(), 0.0).spec
        except (InvalidMessageError, ValueError):
            return None
