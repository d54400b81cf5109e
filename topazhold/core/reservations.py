"""Holds: room booked for a gang by the controller that searches for it.

Each controller keeps its holds in one value of the state service and writes it
in one transaction that also guards the marks of the other controllers'
values, so of two that book the same room at once only one succeeds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from topazhold.core.jobs import Resources
from topazhold.wire import messages as wire

RESERVATION_PREFIX = "hold/"
LEVELS = len(wire.URGENCIES)

#: Whose turn it is: outside its guarantee, urgency, then time of submission of those
#: that press, or LATER and the wait that its class aims at; smaller goes first.
QueueKey = tuple[int, int, float]
NOT_AGED = 1e12


class Reservation:
    """Room for all tasks of one gang: machines with a number of tasks each."""

    __slots__ = ("job", "slots", "need", "score", "serial", "made_at", "free_now", "queue_key")

    def __init__(
        self,
        job: str,
        slots: dict[str, int],
        need: Resources,
        score: float,
        serial: int,
        made_at: float,
        free_now: bool,
        queue_key: QueueKey,
    ) -> None:
        self.job = job
        self.slots = slots
        self.need = need
        self.score = score
        self.serial = serial  # told apart from an earlier, used hold of the job
        self.made_at = made_at  # time of day
        self.free_now = free_now
        self.queue_key = queue_key

    def pack(self) -> list[Any]:
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


def unpack(data: Any) -> Reservation:
    """Read a hold; ValueError if it is none."""
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
        raise ValueError(f"not a hold: {exc}") from None


def pack_value(reservations: Iterable[Reservation], token: str) -> dict[str, Any]:
    return {"by": token, "holds": [reservation.pack() for reservation in reservations]}


def unpack_value(data: Any) -> list[Reservation]:
    """Holds of one controller's value; unreadable ones are left out."""
    found = []
    for item in data.get("holds", ()) if isinstance(data, dict) else ():
        try:
            found.append(unpack(item))
        except ValueError:
            continue
    return found


class ReservationTable:
    """All controllers' holds, as far as this one has read them."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.revisions: dict[str, int] = {}
        self.reservations: dict[str, dict[str, Reservation]] = {}

    def read(self, node: str, data: Any, revision: int) -> None:
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
        """The whole book was read anew."""
        for node in list(self.revisions):
            if node not in entries:
                del self.revisions[node]
                self.reservations.pop(node, None)
        for node, (data, revision) in entries.items():
            self.read(node, data, revision)

    def of_job(self, job: str) -> Reservation | None:
        """The newest hold of a job, whoever made it."""
        found = [part[job] for part in self.reservations.values() if job in part]
        return max(
            found, key=lambda reservation: (reservation.serial, reservation.made_at), default=None
        )

    def all(self) -> Iterable[Reservation]:
        for part in self.reservations.values():
            yield from part.values()

    def taken(
        self, skip_job: str, queue_key: QueueKey, binding: Callable[[Reservation], bool]
    ) -> dict[str, Resources]:
        """Held room per machine that a job must leave alone when its turn has come.

        Only holds of those whose turn comes before bind. Without that exception a
        swarm of guest gangs that books far ahead starves work that goes first,
        and a stream of small gangs starves a large one that came before them.
        """
        by_machine: dict[str, Resources] = {}
        for reservation in self.all():
            if (
                reservation.job == skip_job
                or reservation.queue_key > queue_key
                or not binding(reservation)
            ):
                continue
            add_reservation(by_machine, reservation)
        return by_machine

    def conditions(self) -> list[tuple[str, int]]:
        """Marks that a booking depends on, its own value's included."""
        revisions = {node: revision for node, revision in self.revisions.items()}
        revisions.setdefault(self.node, 0)
        return [
            (RESERVATION_PREFIX + node, revision) for node, revision in sorted(revisions.items())
        ]


class ReservedResources:
    """What holds keep, added up as the turns of a round of planning go by."""

    def __init__(
        self,
        reservation_table: ReservationTable,
        queue_key_of: Callable[[Reservation], QueueKey | None],
        is_gathering: Callable[[Reservation], bool],
    ) -> None:
        """`queue_key_of` gives the present turn of a hold's job; None if it binds nobody.

        `gathers` tells whether the job is getting its room just now.
        """
        self._is_gathering = is_gathering
        turns = [
            (queue_key_of(reservation), reservation) for reservation in reservation_table.all()
        ]
        self._waiting = sorted(
            (
                (queue_key, reservation.serial, reservation)
                for queue_key, reservation in turns
                if queue_key is not None
            ),
            key=lambda item: item[:2],
            reverse=True,
        )
        self._own: dict[str, list[tuple[QueueKey, Reservation]]] = {}
        self._by_machine: dict[int, dict[str, Resources]] = {}

    def _add(self, queue_key: QueueKey, reservation: Reservation, sign: int = 1) -> None:
        is_gathering = self._is_gathering(reservation)
        for urgency_level in range(-1, LEVELS):
            if urgency_level <= queue_key[1] or is_gathering:
                add_reservation(self._by_machine.setdefault(urgency_level, {}), reservation, sign)

    def release(self, job: str) -> None:
        """The job begins: its holds keep nothing any more."""
        for queue_key, reservation in self._own.pop(job, ()):
            self._add(queue_key, reservation, -1)
        self._waiting = [item for item in self._waiting if item[2].job != job]

    def taken(
        self, skip_job: str, queue_key: QueueKey, yields: bool = False
    ) -> Mapping[str, Resources]:
        """As `ReservationTable.taken`; turns must come in order.

        Work that `yields` may use the room of more urgent gangs that still wait
        for other machines: it can be stopped once they have them. Else a gang
        that waits for its last machine keeps all its others idle.
        """
        while self._waiting and self._waiting[-1][0] <= queue_key:
            of_queue_key, _, reservation = self._waiting.pop()
            self._own.setdefault(reservation.job, []).append((of_queue_key, reservation))
            self._add(of_queue_key, reservation)
        urgency_level = queue_key[1] if yields else -1
        by_machine = self._by_machine.setdefault(urgency_level, {})
        own = [
            reservation for of, reservation in self._own.get(skip_job, ()) if urgency_level <= of[1]
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
    """Add a hold's room, machine by machine."""
    need = reservation.need
    for machine, count in reservation.slots.items():
        available = by_machine.get(machine, (0.0, 0.0, 0.0))
        times = count * sign
        by_machine[machine] = (
            available[0] + need[0] * times,
            available[1] + need[1] * times,
            available[2] + need[2] * times,
        )
