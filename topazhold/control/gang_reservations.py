"""The reservations that this controller makes for gangs and writes to the store."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from random import Random
from typing import Any

import curio

from topazhold.control.key_value_store import MS_PER_S, KeyValueStore
from topazhold.core import records
from topazhold.core.group_search import Group
from topazhold.core.jobs import DISTANT_PAST
from topazhold.core.reservations import (
    RESERVATION_PREFIX,
    QueueKey,
    Reservation,
    ReservationTable,
    pack_value,
)
from topazhold.interfaces.store import DECISION_PRIORITY, Precondition
from topazhold.interfaces.store_errors import KeyValueStoreError, PreconditionFailedError
from topazhold.settings import Settings
from topazhold.wire import messages as wire
from topazhold.wire.codec import json_size
from topazhold.wire.jobs import JobSpec

log = logging.getLogger(__name__)

#: Encoded bytes of a small gang's reservation.
MIN_RESERVATION_BYTES = 96
#: Encoded bytes of a value besides its reservations.
VALUE_OVERHEAD_BYTES = 200
#: Minimum seconds between two writes.
MIN_WRITE_INTERVAL_S = 1.0
#: Minimum seconds before a write that lost to another controller's is retried; a random backoff
#: takes up to twice as long.
CONFLICT_BACKOFF_S = 0.25
#: Maximum seconds to find out the outcome of a write.
OUTCOME_TIMEOUT_S = 2.0


class GangReservations:
    """This controller's planned reservations (`own`), and those of all controllers as stored.

    `table` holds what was last read or written; `own` may differ from it until the next write.
    """

    def __init__(
        self, settings: Settings, store: KeyValueStore, table: ReservationTable, rng: Random
    ) -> None:
        self.node = settings.node_name
        self._heartbeat_interval_s = settings.cluster.workers.heartbeat_interval_s
        self._store = store
        self._rng = rng
        self._max_bytes = int(
            settings.cluster.key_value_store.lasting_value_bytes * records.MAX_VALUE_SHARE
        )
        self.table = table
        self.own: dict[str, Reservation] = {}
        self.search_due = curio.Event()
        self.wrote_at = DISTANT_PAST  # monotonic clock, seconds
        self._last_written: list[Any] | None = None
        self._serial = 0
        self._sequence = 0

    def reset(self) -> None:
        """Drop all reservations: the lease ended, and with it the stored value."""
        self.own.clear()
        self._last_written = None

    def is_full(self) -> bool:
        """Return whether the value has no space for another gang's reservation."""
        return len(self.own) >= self._max_bytes // MIN_RESERVATION_BYTES

    def planned_table(self) -> ReservationTable:
        """Return the others' reservations as last read, and our own as planned."""
        planned = ReservationTable(self.node)
        planned.reservations = {**self.table.reservations, self.node: self.own}
        return planned

    def reserve(self, spec: JobSpec, queue_key: QueueKey, group: Group, wall: float) -> None:
        """Reserve a group for a gang in place of its former one; `wall` is a wall-clock time."""
        self._serial = max(self._serial + 1, int(wall * MS_PER_S))
        self.own[spec.id] = Reservation(
            spec.id,
            group.slots,
            (spec.cpus, spec.gpus, spec.memory_gb),
            group.score,
            self._serial,
            wall,
            group.capacity_wait_s <= self._heartbeat_interval_s,
            queue_key,
        )
        log.info(
            "reservation for gang %s on %s, wait %.1f s, score %.1f",
            spec.id,
            ",".join(group.slots),
            group.wait_s,
            group.score,
        )

    async def write(self, lease_id: int, now: float) -> bool:
        """Write changes; False if another controller wrote in between, or the store failed."""
        self._trim_to_size()
        packed = [reservation.pack() for reservation in self.own.values()]
        if packed == self._last_written:
            return True
        self.wrote_at = now
        self._sequence += 1
        token = f"{self.node}-{lease_id}-{self._sequence}"
        value = pack_value(self.own.values(), token)
        key = RESERVATION_PREFIX + self.node
        preconditions = [Precondition(*each) for each in self.table.preconditions()]
        try:
            revision = await self._store.commit(
                preconditions,
                [wire.put(key, value, lease_id)],
                DECISION_PRIORITY,
                key,
                token,
                OUTCOME_TIMEOUT_S,
            )
        except PreconditionFailedError:
            await self._on_conflict(now)
            return False
        except KeyValueStoreError as exc:
            log.debug("reservations not written: %s", exc)
            return False
        self._last_written = packed
        self.table.update(self.node, value, revision)
        return True

    async def _on_conflict(self, now: float) -> None:
        """Reread after another controller's concurrent write, and search again soon."""
        self._last_written = None
        backoff_s = CONFLICT_BACKOFF_S * (1.0 + self._rng.random())
        self.wrote_at = now - MIN_WRITE_INTERVAL_S + backoff_s
        previous_revisions = dict(self.table.revisions)
        await self.read_all()
        self.drop_contested(previous_revisions)
        await self.search_due.set()

    def drop_contested(self, previous_revisions: Mapping[str, int]) -> None:
        """Drop new reservations of machines that others have reserved since `previous_revisions`.

        Reservations that were stored already or that no other controller contests are kept:
        with several controllers conflicts are frequent, and a gang must not lose the machines
        it waits for at each one.
        """
        written = self.table.reservations.get(self.node, {})
        newly_reserved = {
            name
            for node, reservations in self.table.reservations.items()
            if node != self.node and self.table.revisions.get(node) != previous_revisions.get(node)
            for reservation in reservations.values()
            for name in reservation.slots
        }
        for job, reservation in list(self.own.items()):
            written_reservation = written.get(job)
            if written_reservation is not None and written_reservation.serial == reservation.serial:
                continue
            if newly_reserved & reservation.slots.keys():
                if written_reservation is not None:
                    self.own[job] = written_reservation
                else:
                    del self.own[job]

    def _trim_to_size(self) -> None:
        """Drop reservations from the end of the queue until the value fits its size limit."""
        order = sorted(
            self.own.values(), key=lambda reservation: (reservation.queue_key, reservation.made_at)
        )
        size = VALUE_OVERHEAD_BYTES
        for reservation in order:
            size += json_size(reservation.pack()) + 1
            if size > self._max_bytes:
                del self.own[reservation.job]

    async def read_all(self) -> None:
        """Read all controllers' reservations from the store; raises KeyValueStoreError."""
        entries, _ = await self._store.entries(RESERVATION_PREFIX)
        self.table.replace(
            {
                entry.key[len(RESERVATION_PREFIX) :]: (entry.data, entry.revision)
                for entry in entries
            }
        )
