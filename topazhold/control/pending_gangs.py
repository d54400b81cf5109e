"""The search for groups of machines for pending gangs; each better group is booked at once."""

from __future__ import annotations

import math
import time
from random import Random

from topazhold.control.cluster_view import ClusterView
from topazhold.control.gang_reservations import GangReservations
from topazhold.core.candidate_slots import SearchContext, SearchRules
from topazhold.core.group_search import Group, find_group, score_reservation
from topazhold.core.jobs import Job
from topazhold.core.preemption import queue_key
from topazhold.core.reservations import NOT_AGED, QueueKey, Reservation, ReservationTable
from topazhold.core.resource_offer import AGED, Priority
from topazhold.operator_settings import Operator
from topazhold.settings import Settings
from topazhold.wire.jobs import JobSpec

#: Gangs searched for in one round; the rest wait their turn. A controller that is not leader
#: has time for more, as its share of a core allows: a search lasts about `SEARCH_CPU_S` on a whole
#: one, and a round must not keep a lease or an answer waiting.
MAX_SEARCHES = 16
MAX_FOLLOWER_SEARCHES = 64
SEARCH_CPU_S = 0.003
FOLLOWER_ROUND_S = 0.25
#: A new group must be better by this many heartbeat intervals, and by this share of the
#: reserved group's score, to replace a reservation.
MIN_IMPROVEMENT_HEARTBEATS = 1.0
MIN_IMPROVEMENT_SHARE = 0.25
#: Expiry times after which a reservation that was not booked anew is dropped.
MAX_RESERVATION_EXPIRIES = 2
#: Cost of a placement preference that is not met, in heartbeat intervals.
PREFERENCE_HEARTBEATS = 1.0
#: Random starting points of a search, per zone.
TRIES_PER_ZONE = 2


def max_follower_searches(cpu_share: float) -> int:
    """Searches a round of a controller that is not leader, on this share of a core."""
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
        self.searched_at = -1e9  # steady clock, seconds

    @property
    def priority(self) -> Priority:
        """By which others' work may be counted on to give way."""
        if self.queue_key[2] < NOT_AGED:
            return (AGED, self.queue_key[1])
        return self.queue_key[:2]


class PendingGangs:
    """Searches for pending gangs, and books each better group in `reservations`."""

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
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
            operator.alpha,
            operator.search_groups,
            operator.search_rounds,
            distance_s=workers.heartbeat_interval_s,
            preference_s=PREFERENCE_HEARTBEATS * workers.heartbeat_interval_s,
        )
        self.by_id: dict[str, PendingGang] = {}
        self._max_round_s = max_round_s

    async def add(self, job: Job, now: float) -> None:
        """This controller has accepted a gang: search for it now."""
        self.by_id[job.id] = PendingGang(job.spec, queue_key(job), now)
        await self.reservations.search_due.set()

    def remove(self, job: str) -> None:
        """Search for a gang no more, and drop its reservation."""
        self.by_id.pop(job, None)
        self.reservations.own.pop(job, None)

    def search_round(
        self, cluster_view: ClusterView, now: float, limit: int = MAX_SEARCHES
    ) -> None:
        """One round of searches; changes `reservations.own` where a better group turns up."""
        wall = time.time()
        self._drop_expired(wall)
        planned = self.reservations.planned_table()
        # In turns: if those without a reservation always came first, reservations of machines
        # that free late would be kept while others come up.
        order = sorted(
            self.by_id.values(),
            key=lambda gang: (gang.searched_at, gang.queue_key, gang.pending_since),
        )
        began = time.monotonic()
        for number, pending in enumerate(order[:limit]):
            if number and time.monotonic() - began > self._max_round_s:
                break  # the others come first in the next round
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
        """The group to book for a gang now, if any."""
        reservation = self.reservations.own.get(pending.spec.id)
        if reservation is None:
            if self.reservations.is_full():
                return None
            return self._search(pending, cluster_view, planned)
        if reservation.free_now and wall - reservation.made_at < self._start_grace_s:
            return None  # about to be used
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
        """The group to book instead of the reserved one, if any.

        Estimates are often wrong: the reserved group is judged by what is known now,
        not by what was hoped when it was booked. A new one must be clearly
        better: a large gang that changes all its machines for a few seconds loses
        those that have come free for it, again and again.
        """
        reserved = planned.reserved_for_others(reservation.job, pending.queue_key, lambda _: True)
        current_score = score_reservation(
            reservation.slots,
            cluster_view.caches,
            pending.spec,
            pending.priority,
            reserved,
            self.rules,
        )
        expired = wall - reservation.made_at > self._expiry_s
        if math.isinf(current_score):
            if expired:
                del self.reservations.own[reservation.job]
            return group
        margin = max(
            MIN_IMPROVEMENT_HEARTBEATS * self._heartbeat_interval_s,
            MIN_IMPROVEMENT_SHARE * current_score,
        )
        if group is not None and group.score < current_score - margin:
            return group
        # Expired, and found to be the best all the same: booked anew.
        return (
            Group(current_score, current_score, current_score, reservation.slots)
            if expired
            else None
        )
