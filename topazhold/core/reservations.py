"""Reservations: resources kept for a gang by the controller that searches for it.

Each controller keeps its reservations in one value of the key-value store and writes it with
a compare-and-swap that also guards the revisions of the other controllers' values, so of two
that reserve the same resources at once only one succeeds. Keys and fields of the value keep
the names of the first version.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from topazhold.core.jobs import Resources
from topazhold.wire import messages as wire

RESERVATION_PREFIX = "hold/"
#: Urgency levels, 0 the most urgent.
URGENCY_LEVELS = len(wire.URGENCIES)
#: In place of an urgency level: reservations of all levels bind.
ALL_URGENCY_LEVELS = -1

#: The order of the queue: (outside its guaranteed quota, urgency level, a time in seconds),
#: smaller first. The time is that of submission for aged gangs, for others NOT_AGED and the
#: wait objective of their class.
QueueKey = tuple[int, int, float]
#: Seconds; later than any time of day.
NOT_AGED = 1e12


@dataclass(slots=True, eq=False)
class Reservation:
    """Resources for all tasks of one gang: machines with a number of tasks each."""

    job: str
    slots: dict[str, int]  # machine -> tasks
    need: Resources  # of one task
    score: float  # of the search, in seconds
    serial: int  # tells it from an earlier, used reservation of the job
    made_at: float  # time of day
    free_now: bool
    queue_key: QueueKey

    def pack(self) -> list[Any]:
        """The form in which it is stored."""
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
    """Read what `Reservation.pack` has made; ValueError if it is none."""
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
    """One controller's value; `token` tells its write from others when it is read back."""
    return {"by": token, "holds": [reservation.pack() for reservation in reservations]}


def unpack_value(data: Any) -> list[Reservation]:
    """Reservations of one controller's value; unreadable ones are left out."""
    reservations = []
    for item in data.get("holds", ()) if isinstance(data, dict) else ():
        try:
            reservations.append(unpack_reservation(item))
        except ValueError:
            continue
    return reservations


class ReservationTable:
    """All controllers' reservations, as far as this one has read them."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.revisions: dict[str, int] = {}  # by controller
        self.reservations: dict[str, dict[str, Reservation]] = {}  # by controller, then job

    def update(self, node: str, data: Any, revision: int) -> None:
        """A controller's value was read, or seen to change."""
        if revision < self.revisions.get(node, 0):
            return
        self.revisions[node] = revision
        self.reservations[node] = {
            reservation.job: reservation for reservation in unpack_value(data)
        }

    def expire(self, node: str, revision: int) -> None:
        """A controller's value is gone with its lease."""
        if revision >= self.revisions.get(node, 0):
            self.revisions.pop(node, None)
            self.reservations.pop(node, None)

    def replace(self, entries: dict[str, tuple[Any, int]]) -> None:
        """All values were read again: (data, revision) by controller."""
        for node in list(self.revisions):
            if node not in entries:
                del self.revisions[node]
                self.reservations.pop(node, None)
        for node, (data, revision) in entries.items():
            self.update(node, data, revision)

    def of_job(self, job: str) -> Reservation | None:
        """The newest reservation of a job, whoever made it."""
        reservations = [by_job[job] for by_job in self.reservations.values() if job in by_job]
        return max(
            reservations,
            key=lambda reservation: (reservation.serial, reservation.made_at),
            default=None,
        )

    def all(self) -> Iterable[Reservation]:
        """Every controller's reservations."""
        for by_job in self.reservations.values():
            yield from by_job.values()

    def reserved_for_others(
        self, skip_job: str, queue_key: QueueKey, is_binding: Callable[[Reservation], bool]
    ) -> dict[str, Resources]:
        """Reserved resources per machine that a job with this queue key must leave alone.

        Only reservations of jobs that come before it in the queue bind it. Else many gangs
        beyond their guaranteed quota that reserve far ahead would starve work that goes first,
        and a stream of small gangs a large one that came before them.
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
        """Keys and revisions that a reservation depends on, its own value's included."""
        revisions = dict(self.revisions)
        revisions.setdefault(self.node, 0)
        return [
            (RESERVATION_PREFIX + node, revision) for node, revision in sorted(revisions.items())
        ]


class _QueuedReservation(NamedTuple):
    """A reservation at the present place of its job in the queue."""

    queue_key: QueueKey
    serial: int
    reservation: Reservation


class ReservedResources:
    """What reservations keep, added up as a scheduling round goes through the queue."""

    def __init__(
        self,
        reservation_table: ReservationTable,
        queue_key_of: Callable[[Reservation], QueueKey | None],
        is_gathering: Callable[[Reservation], bool],
    ) -> None:
        """`queue_key_of` gives the present queue key of a reservation's job; None if it binds
        nobody. `is_gathering` tells whether the job is getting its resources just now.
        """
        self._is_gathering = is_gathering
        queued = [
            _QueuedReservation(queue_key, reservation.serial, reservation)
            for reservation in reservation_table.all()
            if (queue_key := queue_key_of(reservation)) is not None
        ]
        #: Those that are still behind in the queue, the next one last.
        self._remaining = sorted(queued, key=lambda item: item[:2], reverse=True)
        self._added: dict[str, list[_QueuedReservation]] = {}  # by job
        #: By the urgency level that must leave them alone, then by machine.
        self._by_machine: dict[int, dict[str, Resources]] = {}

    def _add(self, queued: _QueuedReservation, sign: int = 1) -> None:
        is_gathering = self._is_gathering(queued.reservation)
        for urgency_level in range(ALL_URGENCY_LEVELS, URGENCY_LEVELS):
            if urgency_level <= queued.queue_key[1] or is_gathering:
                by_machine = self._by_machine.setdefault(urgency_level, {})
                add_reservation(by_machine, queued.reservation, sign)

    def release(self, job: str) -> None:
        """The job begins: its reservations keep nothing any more."""
        for queued in self._added.pop(job, ()):
            self._add(queued, -1)
        self._remaining = [queued for queued in self._remaining if queued.reservation.job != job]

    def reserved_for_others(
        self, skip_job: str, queue_key: QueueKey, preemptible: bool = False
    ) -> Mapping[str, Resources]:
        """As `ReservationTable.reserved_for_others`; queue keys must come in order.

        `preemptible` work may use the resources of more urgent gangs that still wait for
        other machines: it can be preempted once they have them. Else a gang that waits for
        its last machine would keep all its others idle.
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
    """Add a reservation's resources machine by machine, or take them off with sign -1."""
    need = reservation.need
    for machine, count in reservation.slots.items():
        reserved = by_machine.get(machine, (0.0, 0.0, 0.0))
        signed_count = count * sign
        by_machine[machine] = (
            reserved[0] + need[0] * signed_count,
            reserved[1] + need[1] * signed_count,
            reserved[2] + need[2] * signed_count,
        )
