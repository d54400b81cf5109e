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
#: has time for more, as its share of a core allows: a search lasts about `SEARCH_S` on a whole
#: one, and a round must not keep a lease or an answer waiting.
MAX_SEARCHES = 16
MAX_FOLLOWER_SEARCHES = 64
SEARCH_S = 0.003
ROUND_S = 0.25
#: A new group must be better by this many heartbeat intervals, and by this share of the
#: reserved group's score, to replace a reservation.
BETTER_HEARTBEATS = 1.0
BETTER_SHARE = 0.25
#: Expiry times after which a reservation that was not booked anew is dropped.
DROP_EXPIRIES = 2
#: Random starting points of a search, per zone.
TRIES_PER_ZONE = 2


def max_follower_searches(cpu_share: float) -> int:
    """Searches a round of a controller that is not leader, on this share of a core."""
    return max(MAX_SEARCHES, min(MAX_FOLLOWER_SEARCHES, int(cpu_share * ROUND_S / SEARCH_S)))


class PendingGang:
    """A gang that this controller searches for."""

    __slots__ = ("spec", "queue_key", "since", "searched")

    def __init__(self, spec: JobSpec, queue_key: QueueKey, since: float) -> None:
        self.spec = spec
        self.queue_key = queue_key
        self.since = since
        self.searched = -1e9  # steady clock, seconds

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
        self._settle_s = operator.summary_s
        self._heartbeat_interval_s = workers.heartbeat_interval_s
        self._tries = TRIES_PER_ZONE * len(settings.cluster.zones)
        self.rules = SearchRules(
            operator.alpha,
            operator.search_groups,
            operator.search_rounds,
            distance_s=workers.heartbeat_interval_s,
            preference_s=1.0 * workers.heartbeat_interval_s,
        )
        self.by_id: dict[str, PendingGang] = {}
        self._max_round_s = max_round_s

    async def accepted(self, job: Job, now: float) -> None:
        """This controller has accepted a gang: search for it now."""
        self.by_id[job.id] = PendingGang(job.spec, queue_key(job), now)
        await self.reservations.search_due.set()

    def forget(self, job: str) -> None:
        """Search for a gang no more, and drop its reservation."""
        self.by_id.pop(job, None)
        self.reservations.mine.pop(job, None)

    def search_round(
        self, cluster_view: ClusterView, now: float, limit: int = MAX_SEARCHES
    ) -> None:
        """One round of searches; changes `reservations.mine` where a better group turns up."""
        wall = time.time()
        self._drop_old(wall)
        draft = self.reservations.draft()
        # In turns: if those without a reservation always came first, reservations of machines
        # that free late would be kept while others come up.
        order = sorted(
            self.by_id.values(), key=lambda gang: (gang.searched, gang.queue_key, gang.since)
        )
        began = time.monotonic()
        for number, pending in enumerate(order[:limit]):
            if number and time.monotonic() - began > self._max_round_s:
                break  # the others come first in the next round
            pending.searched = now
            group = self._better_group(pending, cluster_view, draft, wall)
            if group is not None:
                self.reservations.reserve(pending.spec, pending.queue_key, group, wall)

    def _drop_old(self, wall: float) -> None:
        mine = self.reservations.mine
        for job, reservation in list(mine.items()):
            if job not in self.by_id or wall - reservation.made_at > DROP_EXPIRIES * self._expiry_s:
                del mine[job]

    def _better_group(
        self, pending: PendingGang, cluster_view: ClusterView, draft: ReservationTable, wall: float
    ) -> Group | None:
        """The group to book for a gang now, if any."""
        old = self.reservations.mine.get(pending.spec.id)
        if old is None:
            if self.reservations.is_full():
                return None
            return self._search(pending, cluster_view, draft)
        if old.free_now and wall - old.made_at < self._settle_s:
            return None  # about to be used
        group = self._search(pending, cluster_view, draft)
        return self._compare(pending, old, group, cluster_view, draft, wall)

    def _search(
        self, pending: PendingGang, cluster_view: ClusterView, draft: ReservationTable
    ) -> Group | None:
        taken = draft.reserved_for_others(
            pending.spec.id, pending.queue_key, lambda reservation: True
        )
        return find_group(
            self._rng,
            cluster_view.directory,
            cluster_view.caches,
            SearchContext(pending.spec, pending.priority, taken, self.rules),
            self._tries,
        )

    def _compare(
        self,
        pending: PendingGang,
        old: Reservation,
        group: Group | None,
        cluster_view: ClusterView,
        draft: ReservationTable,
        wall: float,
    ) -> Group | None:
        """The group to book instead of the reserved one, if any.

        Estimates are often wrong: the reserved group is judged by what is known now,
        not by what was hoped when it was booked. A new one must be clearly
        better: a large gang that changes all its machines for a few seconds loses
        those that have come free for it, again and again.
        """
        taken = draft.reserved_for_others(old.job, pending.queue_key, lambda reservation: True)
        present = score_reservation(
            old.slots, cluster_view.caches, pending.spec, pending.priority, taken, self.rules
        )
        late = wall - old.made_at > self._expiry_s
        if math.isinf(present):
            if late:
                del self.reservations.mine[old.job]
            return group
        margin = max(BETTER_HEARTBEATS * self._heartbeat_interval_s, BETTER_SHARE * present)
        if group is not None and group.score < present - margin:
            return group
        # Expired, and found to be the best all the same: booked anew.
        return Group(present, present, present, old.slots) if late else None
