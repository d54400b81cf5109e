"""Reservations: resources set aside for a gang by the controller that searches for it.

Each controller stores its reservations in one value of the key-value store. It writes the value
with a compare-and-swap that also checks the revisions of the other controllers' values, so when
two controllers reserve the same resources concurrently, only one succeeds. Keys and fields of
the value keep the names of the first version.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from topazhold.core.jobs import Resources
from topazhold.wire import messages as wire

RESERVATION_PREFIX = "hold/"
#: Number of urgency levels; level 0 is the most urgent.
URGENCY_LEVELS = len(wire.URGENCIES)
#: Used in place of an urgency level for work that reservations of all levels bind.
ALL_URGENCY_LEVELS = -1

#: A job's sort key in the queue, smallest first: (1 if beyond the guaranteed quota, else 0;
#: urgency level; a time in seconds). The time is the submission time of an aged gang, or
#: NOT_AGED plus the wait objective of the class of any other job.
QueueKey = tuple[int, int, float]
#: Seconds; greater than any submission time, so that aged gangs sort first.
NOT_AGED = 1e12


@dataclass(slots=True, eq=False)
class Reservation:
    """Resources for all tasks of one gang: a number of tasks on each of some machines."""

    job: str
    slots: dict[str, int]  # machine -> tasks
    need: Resources  # per task
    score: float  # of the group found by the search, in seconds
    serial: int  # distinguishes it from earlier reservations of the job
    made_at: float  # wall-clock time, in seconds
    free_now: bool  # all resources were free within a heartbeat interval when it was made
    queue_key: QueueKey

    def pack(self) -> list[Any]:
        """Return the stored form."""
        slots = [[machine, count] for machine, count in sorted(self.slots.items())]
        return [
            self.job,
            slots,
            list(self.need),
            round(self.score, 2),
            self.serial,
            round(self.made_at, 1),
            self.free_now,
            list(self.queue_key),
        ]


def unpack_reservation(data: Any) -> Reservation:
    """Decode the output of `Reservation.pack`; raises ValueError if it is malformed."""
    try:
        job, slots, need, score, serial, made_at, free_now, queue_key = data
        return Reservation(
            str(job),
            {str(name): int(count) for name, count in slots},
            (float(need[0]), float(need[1]), float(need[2])),
            float(score),
            int(serial),
            float(made_at),
            bool(free_now),
            (int(queue_key[0]), int(queue_key[1]), float(queue_key[2])),
        )
    except (TypeError, IndexError) as exc:
        raise ValueError(f"not a reservation: {exc}") from None


def pack_value(reservations: Iterable[Reservation], token: str) -> dict[str, Any]:
    """Return one controller's value; `token` identifies the write when it is read back."""
    return {"by": token, "holds": [reservation.pack() for reservation in reservations]}


def unpack_value(data: Any) -> list[Reservation]:
    """Decode the reservations of one controller's value, skipping malformed ones."""
    reservations = []
    for item in data.get("holds", ()) if isinstance(data, dict) else ():
        try:
            reservations.append(unpack_reservation(item))
        except ValueError:
            continue
    return reservations


class ReservationTable:
    """This controller's view of the reservations of all controllers."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.revisions: dict[str, int] = {}  # by controller
        self.reservations: dict[str, dict[str, Reservation]] = {}  # by controller, then job

    def update(self, node: str, data: Any, revision: int) -> None:
        """Apply a controller's value as read or watched, unless a newer one is known."""
        if revision < self.revisions.get(node, 0):
            return
        self.revisions[node] = revision
        self.reservations[node] = {
            reservation.job: reservation for reservation in unpack_value(data)
        }

    def expire(self, node: str, revision: int) -> None:
        """Remove the reservations of a controller whose value expired with its lease."""
        if revision >= self.revisions.get(node, 0):
            self.revisions.pop(node, None)
            self.reservations.pop(node, None)

    def replace(self, entries: dict[str, tuple[Any, int]]) -> None:
        """Replace the table after a full read; `entries` maps controllers to (data, revision)."""
        for node in list(self.revisions):
            if node not in entries:
                del self.revisions[node]
                self.reservations.pop(node, None)
        for node, (data, revision) in entries.items():
            self.update(node, data, revision)

    def of_job(self, job: str) -> Reservation | None:
        """Return the newest reservation of a job, from any controller."""
        reservations = [by_job[job] for by_job in self.reservations.values() if job in by_job]
        return max(
            reservations,
            key=lambda reservation: (reservation.serial, reservation.made_at),
            default=None,
        )

    def all(self) -> Iterable[Reservation]:
        """Iterate over the reservations of all controllers."""
        for by_job in self.reservations.values():
            yield from by_job.values()

    def reserved_for_others(
        self, skip_job: str, queue_key: QueueKey, is_binding: Callable[[Reservation], bool]
    ) -> dict[str, Resources]:
        """Return the resources, by machine, that a job with this queue key must not use.

        Only reservations of jobs ahead of it in the queue bind it. Otherwise gangs beyond their
        guaranteed quota that reserve far ahead would starve work of higher priority, and a
        stream of small gangs would starve a large gang submitted before them.
        """
        by_machine: dict[str, Resources] = {}
        for reservation in self.all():
            if (
                reservation.job == skip_job
                or reservation.queue_key > queue_key
                or not is_binding(reservation)
            ):
                continue
            add_reservation(by_machine, reservation)
        return by_machine

    def preconditions(self) -> list[tuple[str, int]]:
        """Return (key, revision) of every value that a write depends on, including its own."""
        revisions = dict(self.revisions)
        revisions.setdefault(self.node, 0)
        return [
            (RESERVATION_PREFIX + node, revision) for node, revision in sorted(revisions.items())
        ]


class _QueuedReservation(NamedTuple):
    """A reservation with its job's current queue key."""

    queue_key: QueueKey
    serial: int
    reservation: Reservation


class ReservedResources:
    """Reserved resources by machine, accumulated as a scheduling round walks the queue."""

    def __init__(
        self,
        reservation_table: ReservationTable,
        queue_key_of: Callable[[Reservation], QueueKey | None],
        binds_preemptible: Callable[[Reservation], bool],
    ) -> None:
        """Take all binding reservations of the table.

        `queue_key_of` returns the current queue key of a reservation's job, or None if the
        reservation binds no other job. `binds_preemptible` returns whether the job's resources are
        being freed or will be available soon.
        """
        self._binds_preemptible = binds_preemptible
        queued = [
            _QueuedReservation(queue_key, reservation.serial, reservation)
            for reservation in reservation_table.all()
            if (queue_key := queue_key_of(reservation)) is not None
        ]
        #: Reservations not yet reached in the queue, the next one last.
        self._remaining = sorted(queued, key=lambda item: item[:2], reverse=True)
        self._added: dict[str, list[_QueuedReservation]] = {}  # by job
        #: By the urgency level that they bind, then by machine.
        self._by_machine: dict[int, dict[str, Resources]] = {}

    def _add(self, queued: _QueuedReservation, sign: int = 1) -> None:
        binds_preemptible = self._binds_preemptible(queued.reservation)
        for urgency_level in range(ALL_URGENCY_LEVELS, URGENCY_LEVELS):
            if urgency_level <= queued.queue_key[1] or binds_preemptible:
                by_machine = self._by_machine.setdefault(urgency_level, {})
                add_reservation(by_machine, queued.reservation, sign)

    def release(self, job: str) -> None:
        """Drop the reservations of a job that starts."""
        for queued in self._added.pop(job, ()):
            self._add(queued, -1)
        self._remaining = [queued for queued in self._remaining if queued.reservation.job != job]

    def reserved_for_others(
        self, skip_job: str, queue_key: QueueKey, preemptible: bool = False
    ) -> Mapping[str, Resources]:
        """Like `ReservationTable.reserved_for_others`; calls must be in queue key order.

        `preemptible` work may use resources reserved for more urgent gangs that still wait for
        other machines, since it can be preempted once those are available. Otherwise a gang
        waiting for its last machine would keep all its other machines idle.
        """
        while self._remaining and self._remaining[-1].queue_key <= queue_key:
            queued = self._remaining.pop()
            self._added.setdefault(queued.reservation.job, []).append(queued)
            self._add(queued)
        urgency_level = queue_key[1] if preemptible else ALL_URGENCY_LEVELS
        by_machine = self._by_machine.setdefault(urgency_level, {})
        own = [
            queued.reservation
            for queued in self._added.get(skip_job, ())
            if urgency_level <= queued.queue_key[1]
        ]
        if not own:
            return by_machine
        by_machine = dict(by_machine)
        for reservation in own:
            add_reservation(by_machine, reservation, -1)
        return by_machine


def add_reservation(
    by_machine: dict[str, Resources], reservation: Reservation, sign: int = 1
) -> None:
    """Add a reservation's resources to `by_machine`, or subtract them if `sign` is -1."""
    need = reservation.need
    for machine, count in reservation.slots.items():
        reserved = by_machine.get(machine, (0.0, 0.0, 0.0))
        signed_count = count * sign
        by_machine[machine] = (
            reserved[0] + need[0] * signed_count,
            reserved[1] + need[1] * signed_count,
            reserved[2] + need[2] * signed_count,
        )
