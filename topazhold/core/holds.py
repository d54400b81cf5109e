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

HOLD_PREFIX = "hold/"
LEVELS = len(wire.URGENCIES)

#: Whose turn it is: outside its guarantee, urgency, then time of submission of those
#: that press, or LATER and the wait that its class aims at; smaller goes first.
Turn = tuple[int, int, float]
LATER = 1e12


class Hold:
    """Room for all tasks of one gang: machines with a number of tasks each."""

    __slots__ = ("job", "slots", "need", "score", "serial", "made", "free_now", "turn")

    def __init__(
        self,
        job: str,
        slots: dict[str, int],
        need: Resources,
        score: float,
        serial: int,
        made: float,
        free_now: bool,
        turn: Turn,
    ) -> None:
        self.job = job
        self.slots = slots
        self.need = need
        self.score = score
        self.serial = serial  # told apart from an earlier, used hold of the job
        self.made = made  # time of day
        self.free_now = free_now
        self.turn = turn

    def pack(self) -> list[Any]:
        slots = [[machine, count] for machine, count in sorted(self.slots.items())]
        return [
            self.job,
            slots,
            list(self.need),
            round(self.score, 2),
            self.serial,
            round(self.made, 1),
            self.free_now,
            list(self.turn),
        ]


def unpack(data: Any) -> Hold:
    """Read a hold; ValueError if it is none."""
    try:
        job, slots, need, score, serial, made, free_now, turn = data
        return Hold(
            str(job),
            {str(name): int(count) for name, count in slots},
            (float(need[0]), float(need[1]), float(need[2])),
            float(score),
            int(serial),
            float(made),
            bool(free_now),
            (int(turn[0]), int(turn[1]), float(turn[2])),
        )
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


class HoldTable:
    """All controllers' holds, as far as this one has read them."""

    def __init__(self, node: str) -> None:
        self.node = node
        self.revisions: dict[str, int] = {}
        self.holds: dict[str, dict[str, Hold]] = {}

    def read(self, node: str, data: Any, revision: int) -> None:
        """A controller's value was read, or seen to change."""
        if revision < self.revisions.get(node, 0):
            return
        self.revisions[node] = revision
        self.holds[node] = {hold.job: hold for hold in unpack_value(data)}

    def lapse(self, node: str, revision: int) -> None:
        """A controller's value is gone with its lease."""
        if revision >= self.revisions.get(node, 0):
            self.revisions.pop(node, None)
            self.holds.pop(node, None)

    def replace(self, entries: dict[str, tuple[Any, int]]) -> None:
        """The whole book was read anew."""
        for node in list(self.revisions):
            if node not in entries:
                del self.revisions[node]
                self.holds.pop(node, None)
        for node, (data, revision) in entries.items():
            self.read(node, data, revision)

    def of_job(self, job: str) -> Hold | None:
        """The newest hold of a job, whoever made it."""
        found = [part[job] for part in self.holds.values() if job in part]
        return max(found, key=lambda hold: (hold.serial, hold.made), default=None)

    def all(self) -> Iterable[Hold]:
        for part in self.holds.values():
            yield from part.values()

    def taken(
        self, skip_job: str, turn: Turn, binding: Callable[[Hold], bool]
    ) -> dict[str, Resources]:
        """Held room per machine that a job must leave alone when its turn has come.

        Only holds of those whose turn comes before bind. Without that exception a
        swarm of guest gangs that books far ahead starves work that goes first,
        and a stream of small gangs starves a large one that came before them.
        """
        by_machine: dict[str, Resources] = {}
        for hold in self.all():
            if hold.job == skip_job or hold.turn > turn or not binding(hold):
                continue
            add_hold(by_machine, hold)
        return by_machine

    def conditions(self) -> list[tuple[str, int]]:
        """Marks that a booking depends on, its own value's included."""
        revisions = {node: revision for node, revision in self.revisions.items()}
        revisions.setdefault(self.node, 0)
        return [(HOLD_PREFIX + node, revision) for node, revision in sorted(revisions.items())]


class ReservedResources:
    """What holds keep, added up as the turns of a round of planning go by."""

    def __init__(
        self,
        hold_table: HoldTable,
        turn_of: Callable[[Hold], Turn | None],
        gathers: Callable[[Hold], bool],
    ) -> None:
        """`turn_of` gives the present turn of a hold's job; None if it binds nobody.

        `gathers` tells whether the job is getting its room just now.
        """
        self._gathers = gathers
        turns = [(turn_of(hold), hold) for hold in hold_table.all()]
        self._waiting = sorted(
            ((turn, hold.serial, hold) for turn, hold in turns if turn is not None),
            key=lambda item: item[:2],
            reverse=True,
        )
        self._own: dict[str, list[tuple[Turn, Hold]]] = {}
        self._by_machine: dict[int, dict[str, Resources]] = {}

    def _add(self, turn: Turn, hold: Hold, sign: int = 1) -> None:
        gathers = self._gathers(hold)
        for level in range(-1, LEVELS):
            if level <= turn[1] or gathers:
                add_hold(self._by_machine.setdefault(level, {}), hold, sign)

    def release(self, job: str) -> None:
        """The job begins: its holds keep nothing any more."""
        for turn, hold in self._own.pop(job, ()):
            self._add(turn, hold, -1)
        self._waiting = [item for item in self._waiting if item[2].job != job]

    def taken(self, skip_job: str, turn: Turn, yields: bool = False) -> Mapping[str, Resources]:
        """As `HoldBook.taken`; turns must come in order.

        Work that `yields` may use the room of more urgent gangs that still wait
        for other machines: it can be stopped once they have them. Else a gang
        that waits for its last machine keeps all its others idle.
        """
        while self._waiting and self._waiting[-1][0] <= turn:
            of_turn, _, hold = self._waiting.pop()
            self._own.setdefault(hold.job, []).append((of_turn, hold))
            self._add(of_turn, hold)
        level = turn[1] if yields else -1
        by_machine = self._by_machine.setdefault(level, {})
        own = [hold for of, hold in self._own.get(skip_job, ()) if level <= of[1]]
        if not own:
            return by_machine
        by_machine = dict(by_machine)
        for hold in own:
            add_hold(by_machine, hold, -1)
        return by_machine


def add_hold(by_machine: dict[str, Resources], hold: Hold, sign: int = 1) -> None:
    """Add a hold's room, machine by machine."""
    need = hold.need
    for machine, count in hold.slots.items():
        available = by_machine.get(machine, (0.0, 0.0, 0.0))
        times = count * sign
        by_machine[machine] = (
            available[0] + need[0] * times,
            available[1] + need[1] * times,
            available[2] + need[2] * times,
        )
