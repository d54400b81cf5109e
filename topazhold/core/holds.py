"""Holds: room booked for a gang by the controller that searches for it.

Each controller keeps its holds in one value of the state service and writes it
in one transaction that also guards the marks of the other controllers'
values, so of two that book the same room at once only one succeeds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from topazhold.core.jobs import Room

HOLD_PREFIX = "hold/"


class Hold:
    """Room for all tasks of one gang: machines with a number of tasks each."""

    __slots__ = ("job", "slots", "need", "score", "serial", "made", "free_now", "rank")

    def __init__(
        self, job: str, slots: dict[str, int], need: Room, score: float, serial: int,
        made: float, free_now: bool, rank: tuple[int, int],
    ) -> None:  # fmt: skip
        self.job = job
        self.slots = slots
        self.need = need
        self.score = score
        self.serial = serial  # told apart from an earlier, used hold of the job
        self.made = made  # time of day
        self.free_now = free_now
        self.rank = rank  # (outside guarantee, urgency): smaller goes first

    def pack(self) -> list[Any]:
        slots = [[machine, count] for machine, count in sorted(self.slots.items())]
        return [
            self.job, slots, list(self.need), round(self.score, 2), self.serial,
            round(self.made, 1), self.free_now, list(self.rank),
        ]  # fmt: skip


def unpack(data: Any) -> Hold:
    """Read a hold; ValueError if it is none."""
    try:
        job, slots, need, score, serial, made, free_now, rank = data
        return Hold(
            str(job), {str(name): int(count) for name, count in slots},
            (float(need[0]), float(need[1]), float(need[2])), float(score), int(serial),
            float(made), bool(free_now), (int(rank[0]), int(rank[1])),
        )  # fmt: skip
    except (TypeError, IndexError) as exc:
        raise ValueError(f"not a hold: {exc}") from None


def pack_value(holds: Iterable[Hold], token: str) -> dict[str, Any]:
    return {"by": token, "holds": [hold.pack() for hold in holds]}


def unpack_value(data: Any) -> list[Hold]:
    """Holds of one controller's value; unreadable ones are left out."""
    found = []
    for item in data.get("holds", ()) if isinstance(data, dict) else ():
        try:
            found.append(unpack(item))
        except ValueError:
            continue
    return found


class HoldBook:
    """All controllers' holds, as far as this one has read them."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.marks: dict[str, int] = {}
        self.holds: dict[str, dict[str, Hold]] = {}

    def read(self, node: str, data: Any, mark: int) -> None:
        """A controller's value was read, or seen to change."""
        if mark < self.marks.get(node, 0):
            return
        self.marks[node] = mark
        self.holds[node] = {hold.job: hold for hold in unpack_value(data)}

    def lapse(self, node: str, mark: int) -> None:
        """A controller's value is gone with its lease."""
        if mark >= self.marks.get(node, 0):
            self.marks.pop(node, None)
            self.holds.pop(node, None)

    def replace(self, entries: dict[str, tuple[Any, int]]) -> None:
        """The whole book was read anew."""
        for node in list(self.marks):
            if node not in entries:
                del self.marks[node]
                self.holds.pop(node, None)
        for node, (data, mark) in entries.items():
            self.read(node, data, mark)

    def of_job(self, job: str) -> Hold | None:
        """The newest hold of a job, whoever made it."""
        found = [part[job] for part in self.holds.values() if job in part]
        return max(found, key=lambda hold: (hold.serial, hold.made), default=None)

    def all(self) -> Iterable[Hold]:
        for part in self.holds.values():
            yield from part.values()

    def taken(
        self, skip_job: str, rank: tuple[int, int], binding: Callable[[Hold], bool]
    ) -> dict[str, Room]:
        """Held room per machine that a job of this rank must leave alone.

        Only holds of the same or a better rank bind. Without that exception a
        swarm of guest gangs that books far ahead starves work that goes first.
        """
        rooms: dict[str, Room] = {}
        for hold in self.all():
            if hold.job == skip_job or hold.rank > rank or not binding(hold):
                continue
            add_hold(rooms, hold)
        return rooms

    def guards(self) -> list[tuple[str, int]]:
        """Marks that a booking depends on, its own value's included."""
        marks = {node: mark for node, mark in self.marks.items()}
        marks.setdefault(self.node, 0)
        return [(HOLD_PREFIX + node, mark) for node, mark in sorted(marks.items())]


class HeldRooms:
    """What binding holds keep, added up once per rank for a round of planning."""

    def __init__(self, book: HoldBook, binding: Callable[[Hold], bool]) -> None:
        self._holds = [hold for hold in book.all() if binding(hold)]
        self._own: dict[str, list[Hold]] = {}
        for hold in self._holds:
            self._own.setdefault(hold.job, []).append(hold)
        self._sums: dict[tuple[int, int], dict[str, Room]] = {}

    def release(self, job: str) -> None:
        """The job begins: its holds keep nothing any more."""
        for hold in self._own.pop(job, ()):
            self._holds.remove(hold)
            for rank, rooms in self._sums.items():
                if hold.rank <= rank:
                    add_hold(rooms, hold, -1)

    def taken(self, skip_job: str, rank: tuple[int, int]) -> Mapping[str, Room]:
        """As `HoldBook.taken`."""
        rooms = self._sums.get(rank)
        if rooms is None:
            rooms = self._sums[rank] = {}
            for hold in self._holds:
                if hold.rank <= rank:
                    add_hold(rooms, hold)
        own = [hold for hold in self._own.get(skip_job, ()) if hold.rank <= rank]
        if own:
            rooms = dict(rooms)
            for hold in own:
                add_hold(rooms, hold, -1)
        return rooms


def add_hold(rooms: dict[str, Room], hold: Hold, sign: int = 1) -> None:
    """Add a hold's room, machine by machine."""
    need = hold.need
    for machine, count in hold.slots.items():
        room = rooms.get(machine, (0.0, 0.0, 0.0))
        times = count * sign
        rooms[machine] = (
            room[0] + need[0] * times, room[1] + need[1] * times, room[2] + need[2] * times
        )  # fmt: skip
