"""This controller's search for its gangs, and its holds."""

from __future__ import annotations

import logging
import math
import time
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

import curio

from topazhold.control.key_value_store import (
    DECISION_PRIORITY,
    STORE_ERRORS,
    KeyValueStore,
    PreconditionFailedError,
)
from topazhold.core import records
from topazhold.core.candidate_slots import SearchRules
from topazhold.core.group_search import Group, score_reserved, search
from topazhold.core.jobs import Job
from topazhold.core.preemption import queue_key
from topazhold.core.reservations import (
    NOT_AGED,
    RESERVATION_PREFIX,
    QueueKey,
    Reservation,
    ReservationTable,
    pack_value,
)
from topazhold.core.resource_offer import AGED, Priority, ResourceOffer, unpack_offer
from topazhold.core.zone_summary import unpack_names
from topazhold.operator_settings import Operator
from topazhold.settings import Settings
from topazhold.wire import messages as wire
from topazhold.wire.codec import json_size
from topazhold.wire.jobs import JobSpec

log = logging.getLogger(__name__)

#: Gangs searched for in one round; the rest wait their turn. A node that is not leader
#: has time for more, as its share of a core allows: a search takes about so long on a
#: whole one, and a round must not keep a lease or an answer waiting.
MAX_SEARCHES = 16
MAX_FOLLOWER_SEARCHES = 64
SEARCH_S = 0.003
ROUND_S = 0.25
#: Size of a small gang's hold; a value takes so many at the most.
RESERVATION_BYTES = 96
#: Seconds, as a share of the least time between two writes, after which a booking that
#: another one came before is tried again.
CONFLICT_PAUSE_S = 0.25
#: A new group must be better by this many heartbeat intervals, and by this share of the
#: held group's score, to replace a hold.
BETTER_HEARTBEATS = 1.0
BETTER_SHARE = 0.25


def max_follower_searches(cpu_share: float) -> int:
    """Searches a round of a node that is not leader."""
    return max(MAX_SEARCHES, min(MAX_FOLLOWER_SEARCHES, int(cpu_share * ROUND_S / SEARCH_S)))


class PendingGang:
    """A gang that this controller searches for."""

    __slots__ = ("spec", "queue_key", "since", "searched")

    def __init__(self, spec: JobSpec, queue_key: QueueKey, since: float) -> None:
        self.spec = spec
        self.queue_key = queue_key
        self.since = since
        self.searched = -1e9

    @property
    def priority(self) -> Priority:
        """By which others' work may be counted on to give way."""
        if self.queue_key[2] < NOT_AGED:
            return (AGED, self.queue_key[1])
        return self.queue_key[:2]


class ClusterView:
    """The fleet as the summaries show it."""

    def __init__(self) -> None:
        self.at = -1e9
        self.term = 0
        self.written = 0.0  # time of day at which the leader made it
        self.directory: list[tuple[str, str]] = []
        self.caches: dict[str, Sequence[ResourceOffer]] = {}
        self.waiting: dict[str, tuple[str, QueueKey, bool]] = {}
        self.all_waiting = True  # whether `waiting` names every gang that waits
        self.running: dict[str, int] = {}

    def read_zone(self, zone: str, data: Any) -> None:
        offers = []
        for item in data.get("cache", ()):
            try:
                offers.append(unpack_offer(zone, item))
            except ValueError:
                continue
        self.caches[zone] = offers
        self.directory = [pair for pair in self.directory if pair[1] != zone]
        self.directory += [(name, zone) for name in unpack_names(data.get("all", ("", "")))]

    def older(self, data: Any) -> bool:
        """Whether a jobs' value is a late copy of one made before what is known."""
        made = (int(data.get("crown", 0)), float(data.get("at", 0.0)))
        return made < (self.term, self.written)

    def read_jobs(self, data: Any) -> None:
        self.term = int(data.get("crown", 0))
        self.written = float(data.get("at", 0.0))
        self.waiting = {
            str(job): (str(node), (int(outside), int(urgency_level), float(submitted)), bool(wants))
            for job, node, outside, urgency_level, submitted, wants in data.get("waiting", ())
        }
        self.all_waiting = not data.get("cut", False)
        self.running = {str(job): int(count) for job, count in data.get("running", {}).items()}


class GangReservations:
    """Searches for waiting gangs and books each better group at once."""

    def __init__(
        self,
        settings: Settings,
        operator: Operator,
        store: KeyValueStore,
        reservation_table: ReservationTable,
        rng: Random,
        max_round_s: float = math.inf,
    ) -> None:
        workers = settings.cluster.workers
        self.node = settings.node_name
        self._store = store
        self.reservation_table = reservation_table
        self._rng = rng
        self._expiry_s = operator.reservation_expiry_s
        self._settle_s = operator.summary_s
        self._heartbeat_interval_s = workers.heartbeat_interval_s
        self._tries = 2 * len(settings.cluster.zones)
        self._limit = int(settings.cluster.state.lasting_value_bytes * records.VALUE_SHARE)
        self._max_reservations = self._limit // RESERVATION_BYTES
        self._zones = settings.cluster.zones
        self.rules = SearchRules(
            operator.alpha,
            operator.search_groups,
            operator.search_rounds,
            distance_s=workers.heartbeat_interval_s,
            preference_s=1.0 * workers.heartbeat_interval_s,
        )
        self.pending: dict[str, PendingGang] = {}
        self.mine: dict[str, Reservation] = {}
        self._written: list[Any] | None = None
        self._serial = 0
        self._sequence = 0
        self.wrote_at = -1e9
        self.wake = curio.Event()
        self._max_round_s = max_round_s

    async def accepted(self, job: Job, now: float) -> None:
        """This node has accepted a gang: search for it now."""
        self.pending[job.id] = PendingGang(job.spec, queue_key(job), now)
        await self.wake.set()

    def forget(self, job: str) -> None:
        self.pending.pop(job, None)
        self.mine.pop(job, None)

    def reset(self) -> None:
        """The holds lapsed with the lease."""
        self.mine.clear()
        self._written = None

    def _search(
        self, pending: PendingGang, cluster_view: ClusterView, draft: ReservationTable
    ) -> Group | None:
        taken = draft.taken(pending.spec.id, pending.queue_key, lambda reservation: True)
        return search(
            self._rng,
            cluster_view.directory,
            cluster_view.caches,
            pending.spec,
            pending.priority,
            taken,
            self.rules,
            self._tries,
        )

    def round(self, cluster_view: ClusterView, now: float, limit: int = MAX_SEARCHES) -> None:
        """One round of searches; changes `mine` where a better group turned up."""
        wall = time.time()
        for job, reservation in list(self.mine.items()):
            if job not in self.pending or wall - reservation.made_at > 2 * self._expiry_s:
                del self.mine[job]
        # Others' holds as they were read, our own as they are to be written.
        draft = ReservationTable(self.node)
        draft.reservations = {**self.reservation_table.reservations, self.node: self.mine}
        # In turns: when those without a hold always came first, holds on machines
        # that free late were kept while others came up.
        order = sorted(self.pending.values(), key=lambda w: (w.searched, w.queue_key, w.since))
        began = time.monotonic()
        for number, pending in enumerate(order[:limit]):
            if number and time.monotonic() - began > self._max_round_s:
                break  # the others come first in the next round
            pending.searched = now
            job = pending.spec.id
            old = self.mine.get(job)
            if old is not None and old.free_now and wall - old.made_at < self._settle_s:
                continue  # about to be used
            if old is None and len(self.mine) >= self._max_reservations:
                continue
            group = self._search(pending, cluster_view, draft)
            if old is not None:
                group = self._better(pending, old, group, cluster_view, draft, wall)
            if group is not None:
                self._reserve(pending, group, wall)

    def _better(
        self,
        pending: PendingGang,
        old: Reservation,
        group: Group | None,
        cluster_view: ClusterView,
        draft: ReservationTable,
        wall: float,
    ) -> Group | None:
        """The group to book instead of the held one, if any.

        Estimates are often wrong: the held group is judged by what is known now,
        not by what was hoped when it was booked. A new one must be clearly
        better: a large gang that changed all its machines for a few seconds lost
        those that had come free for it, again and again.
        """
        taken = draft.taken(old.job, pending.queue_key, lambda reservation: True)
        present = score_reserved(
            old.slots, cluster_view.caches, pending.spec, pending.priority, taken, self.rules
        )
        late = wall - old.made_at > self._expiry_s
        if math.isinf(present):
            if late:
                del self.mine[old.job]
            return group
        margin = max(BETTER_HEARTBEATS * self._heartbeat_interval_s, BETTER_SHARE * present)
        if group is not None and group.score < present - margin:
            return group
        # Lapsed, and found to be the best all the same: booked anew.
        return Group(present, present, present, old.slots) if late else None

    def _reserve(self, pending: PendingGang, group: Group, wall: float) -> None:
        spec = pending.spec
        self._serial = max(self._serial + 1, int(wall * 1000))
        self.mine[spec.id] = Reservation(
            spec.id,
            group.slots,
            (spec.cpus, spec.gpus, spec.memory_gb),
            group.score,
            self._serial,
            wall,
            group.capacity_wait <= self._heartbeat_interval_s,
            pending.queue_key,
        )
        log.info(
            "reservation %s on %s, wait %.1f s, score %.1f",
            spec.id,
            ",".join(group.slots),
            group.wait,
            group.score,
        )

    async def write(self, lease_id: int, now: float) -> bool:
        """Write the holds if they changed; False if another's booking came between."""
        self._cut_to_size()
        packed = [reservation.pack() for reservation in self.mine.values()]
        if packed == self._written:
            return True
        self.wrote_at = now
        self._sequence += 1
        token = f"{self.node}-{lease_id}-{self._sequence}"
        value = pack_value(self.mine.values(), token)
        key = RESERVATION_PREFIX + self.node
        try:
            revision = await self._store.commit(
                self.reservation_table.conditions(),
                [wire.put(key, value, lease_id)],
                DECISION_PRIORITY,
                key,
                token,
                give_up_s=2.0,
            )
        except PreconditionFailedError:
            # Two controllers booked at once, and the other one won.
            self._written = None
            self.wrote_at = now - 1.0 + CONFLICT_PAUSE_S * (1.0 + self._rng.random())
            before = dict(self.reservation_table.revisions)
            await self.read_reservations()
            self.yield_contested(before)
            await self.wake.set()
            return False
        except STORE_ERRORS as exc:
            log.debug("reservations not written: %s", exc)
            return False
        self._written = packed
        self.reservation_table.read(self.node, value, revision)
        return True

    def yield_contested(self, before: Mapping[str, int]) -> None:
        """Drop new holds that touch what others have booked in between.

        All that stood before, and all that nobody else touched, stays: thrown away
        with its round, a hold that a gang had waited for was lost at every conflict,
        and with five controllers there is one every other second.
        """
        written = self.reservation_table.reservations.get(self.node, {})
        touched = {
            name
            for node, part in self.reservation_table.reservations.items()
            if node != self.node and self.reservation_table.revisions.get(node) != before.get(node)
            for reservation in part.values()
            for name in reservation.slots
        }
        for job, reservation in list(self.mine.items()):
            known = written.get(job)
            if known is not None and known.serial == reservation.serial:
                continue
            if touched & reservation.slots.keys():
                if known is not None:
                    self.mine[job] = known
                else:
                    del self.mine[job]

    def _cut_to_size(self) -> None:
        """The value has a limit: holds whose turn comes last give way."""
        order = sorted(
            self.mine.values(), key=lambda reservation: (reservation.queue_key, reservation.made_at)
        )
        size = 200
        for reservation in order:
            size += json_size(reservation.pack()) + 1
            if size > self._limit:
                del self.mine[reservation.job]

    async def read_reservations(self) -> None:
        """All controllers' holds, as the state service has them."""
        entries, _ = await self._store.entries(RESERVATION_PREFIX)
        self.reservation_table.replace(
            {
                entry.key[len(RESERVATION_PREFIX) :]: (entry.data, entry.revision)
                for entry in entries
            }
        )
