"""Searches groups of machines for pending gangs, and reserves each better group it finds."""

from __future__ import annotations

import math
import time
from random import Random

from topazhold.control.cluster_view import ClusterView
from topazhold.control.gang_reservations import GangReservations
from topazhold.core import records
from topazhold.core.candidate_slots import SearchContext, SearchRules
from topazhold.core.group_search import Group, find_group, score_reservation
from topazhold.core.jobs import DISTANT_PAST, Job
from topazhold.core.preemption import queue_key
from topazhold.core.reservations import NOT_AGED, QueueKey, Reservation, ReservationTable
from topazhold.core.resource_offer import AGED, Priority
from topazhold.operator_settings import OperatorSettings
from topazhold.settings import Settings
from topazhold.wire.jobs import JobSpec

#: Maximum searches in one round of a leader; the remaining gangs come first in the next rounds.
MAX_SEARCHES = 16
#: Maximum searches in one round of a follower, which has more time for them. Its share of a core
#: may allow fewer: a round longer than `FOLLOWER_ROUND_S` would delay lease renewals and responses.
MAX_FOLLOWER_SEARCHES = 64
#: Approximate seconds that a search takes on a whole core.
SEARCH_CPU_S = 0.003
#: Maximum seconds of a follower's round.
FOLLOWER_ROUND_S = 0.25
#: A new group replaces a reserved one only if its score is lower by this many heartbeat intervals
#: and by this share of the reserved group's score.
MIN_IMPROVEMENT_HEARTBEATS = 1.0
MIN_IMPROVEMENT_SHARE = 0.25
#: Age, in expiry times, at which a reservation that was not renewed is dropped.
MAX_RESERVATION_EXPIRIES = 2
#: Cost of a placement preference that is not met, in heartbeat intervals.
PREFERENCE_HEARTBEATS = 1.0
#: Random starting points of a search, per zone.
TRIES_PER_ZONE = 2


def max_follower_searches(cpu_share: float) -> int:
    """Return the maximum searches in a follower's round on this share of a core."""
    return max(
        MAX_SEARCHES, min(MAX_FOLLOWER_SEARCHES, int(cpu_share * FOLLOWER_ROUND_S / SEARCH_CPU_S))
    )


class PendingGang:
    """A gang that this controller searches for."""

    __slots__ = ("spec", "queue_key", "pending_since", "searched_at")

    def __init__(self, spec: JobSpec, queue_key: QueueKey, pending_since: float) -> None:
        self.spec = spec
        self.queue_key = queue_key
        self.pending_since = pending_since
        self.searched_at = DISTANT_PAST  # monotonic clock, seconds

    @property
    def priority(self) -> Priority:
        """The priority that decides which running tasks the gang may preempt."""
        if self.queue_key[2] < NOT_AGED:
            return (AGED, self.queue_key[1])
        return self.queue_key[:2]


class PendingGangs:
    """Searches for pending gangs, and reserves each better group in `reservations`."""

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        reservations: GangReservations,
        rng: Random,
        max_round_s: float = math.inf,
    ) -> None:
        workers = settings.cluster.workers
        self.reservations = reservations
        self._rng = rng
        self._expiry_s = operator.reservation_expiry_s
        self._start_grace_s = operator.summary_s
        self._heartbeat_interval_s = workers.heartbeat_interval_s
        self._tries = TRIES_PER_ZONE * len(settings.cluster.zones)
        self.rules = SearchRules(
            operator.candidates_per_task,
            operator.search_groups,
            operator.search_rounds,
            distance_s=workers.heartbeat_interval_s,
            preference_s=PREFERENCE_HEARTBEATS * workers.heartbeat_interval_s,
            max_machine_tasks=records.max_machine_attempts(
                settings.cluster.key_value_store.lasting_value_bytes
            ),
        )
        self.by_id: dict[str, PendingGang] = {}
        self._max_round_s = max_round_s

    async def add(self, job: Job, now: float) -> None:
        """Add a gang that this controller has accepted, and start a search soon."""
        self.by_id[job.id] = PendingGang(job.spec, queue_key(job), now)
        await self.reservations.search_due.set()

    def remove(self, job: str) -> None:
        """Stop searching for a gang, and drop its reservation."""
        self.by_id.pop(job, None)
        self.reservations.own.pop(job, None)

    def search_round(
        self, cluster_view: ClusterView, now: float, limit: int = MAX_SEARCHES
    ) -> None:
        """Run one round of searches; put each better group into `reservations.own`."""
        wall = time.time()
        self._drop_expired(wall)
        planned = self.reservations.planned_table()
        # The gang searched for least recently comes first. If gangs without a reservation always
        # did, reservations of machines that become free late would never be improved.
        order = sorted(
            self.by_id.values(),
            key=lambda gang: (gang.searched_at, gang.queue_key, gang.pending_since),
        )
        began = time.monotonic()
        for number, pending in enumerate(order[:limit]):
            if number and time.monotonic() - began > self._max_round_s:
                break  # the remaining gangs come first in the next round
            pending.searched_at = now
            group = self._better_group(pending, cluster_view, planned, wall)
            if group is not None:
                self.reservations.reserve(pending.spec, pending.queue_key, group, wall)

    def _drop_expired(self, wall: float) -> None:
        own = self.reservations.own
        for job, reservation in list(own.items()):
            if (
                job not in self.by_id
                or wall - reservation.made_at > MAX_RESERVATION_EXPIRIES * self._expiry_s
            ):
                del own[job]

    def _better_group(
        self,
        pending: PendingGang,
        cluster_view: ClusterView,
        planned: ReservationTable,
        wall: float,
    ) -> Group | None:
        """Return the group to reserve for a gang now, if any."""
        reservation = self.reservations.own.get(pending.spec.id)
        if reservation is None:
            if self.reservations.is_full():
                return None
            return self._search(pending, cluster_view, planned)
        if reservation.free_now and wall - reservation.made_at < self._start_grace_s:
            return None  # the leader is about to start the gang there
        group = self._search(pending, cluster_view, planned)
        return self._replacement_group(pending, reservation, group, cluster_view, planned, wall)

    def _search(
        self, pending: PendingGang, cluster_view: ClusterView, planned: ReservationTable
    ) -> Group | None:
        reserved = planned.reserved_for_others(pending.spec.id, pending.queue_key, lambda _: True)
        return find_group(
            self._rng,
            cluster_view.directory,
            cluster_view.caches,
            SearchContext(pending.spec, pending.priority, reserved, self.rules),
            self._tries,
        )

    def _replacement_group(
        self,
        pending: PendingGang,
        reservation: Reservation,
        group: Group | None,
        cluster_view: ClusterView,
        planned: ReservationTable,
        wall: float,
    ) -> Group | None:
        """Return the group to reserve instead of the reserved one, if any.

        The reserved group is scored with current data, since the estimates made at its
        reservation are often wrong. A new group must be clearly better: a large gang that
        switches machines for a gain of a few seconds repeatedly loses those that have become
        free for it.
        """
        reserved = planned.reserved_for_others(reservation.job, pending.queue_key, lambda _: True)
        score = score_reservation(
            reservation.slots,
            cluster_view.caches,
            pending.spec,
            pending.priority,
            reserved,
            self.rules,
        )
        expired = wall - reservation.made_at > self._expiry_s
        if math.isinf(score):
            if expired:
                del self.reservations.own[reservation.job]
            return group
        margin = max(
            MIN_IMPROVEMENT_HEARTBEATS * self._heartbeat_interval_s,
            MIN_IMPROVEMENT_SHARE * score,
        )
        if group is not None and group.score < score - margin:
            return group
        # Renew an expired reservation that is still the best.
        return Group(score, score, score, reservation.slots) if expired else None
