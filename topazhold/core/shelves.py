"""Which machines' intents share a value of the state service.

A value per machine made a launch on each of seventy machines cost seventy of
the twenty changes that the state service takes in a second. Machines of a zone
share a shelf, so a gang or a burst costs a few.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from topazhold.core import records
from topazhold.core.machines import Machine
from topazhold.wire.codec import json_size

#: Machines that share a value; fewer if their intents don't fit.
MOST_ON_SHELF = 16


class Shelf:
    """One value: its mark, and the machines whose intents it holds."""

    __slots__ = ("name", "mark", "machines")

    def __init__(self, name: str, mark: int = 0) -> None:
        self.name = name
        self.mark = mark
        self.machines: set[str] = set()


class Shelves:
    """All shelves of a term."""

    def __init__(self, limit: int) -> None:
        self._limit = limit  # size of a value
        self._shelves: dict[str, Shelf] = {}
        self._of: dict[str, Shelf] = {}
        self._unwritten: set[Shelf] = set()  # took machines over, not written since
        self._last = 0

    def found(self, name: str, mark: int, machines: Iterable[str]) -> None:
        """A shelf that an earlier term has left."""
        assert name not in self._shelves
        shelf = self._shelves[name] = Shelf(name, mark)
        if name.isdecimal():
            self._last = max(self._last, int(name))
        for machine in machines:
            old = self._of.get(machine)
            if old is None or old.mark < mark:
                self._put(machine, shelf)

    def _put(self, machine: str, shelf: Shelf) -> None:
        old = self._of.get(machine)
        if old is not None:
            old.machines.discard(machine)
        shelf.machines.add(machine)
        self._of[machine] = shelf

    def _new(self) -> Shelf:
        self._last += 1
        name = f"{self._last:04d}"
        shelf = self._shelves[name] = Shelf(name)
        return shelf

    def of(self, machine: Machine, machines: Mapping[str, Machine]) -> Shelf:
        """The machine's shelf; it gets one of its zone's with a free place."""
        shelf = self._of.get(machine.name)
        if shelf is None:
            for other in self._shelves.values():
                zones = {machines[name].zone for name in other.machines if name in machines}
                if len(other.machines) < MOST_ON_SHELF and zones <= {machine.zone}:
                    shelf = other
                    break
            else:
                shelf = self._new()
            self._put(machine.name, shelf)
        return shelf

    def gone(self, machine: str) -> Shelf | None:
        """A machine is gone; the shelf that still holds its intents, if any does."""
        shelf = self._of.pop(machine, None)
        if shelf is not None:
            shelf.machines.discard(machine)
        return shelf

    def marked(self, name: str, mark: int) -> None:
        """A shelf was written, or read again after its guard failed."""
        shelf = self._shelves.get(name)
        if shelf is not None:
            shelf.mark = mark
            if mark:
                self._unwritten.discard(shelf)

    def unwritten(self) -> list[Shelf]:
        """Shelves that took machines over and have not been written since."""
        return sorted(self._unwritten, key=lambda shelf: shelf.name)

    @staticmethod
    def value(shelf: Shelf, machines: Mapping[str, Machine], token: str) -> Any:
        """What the shelf's value is to be."""
        present = sorted(name for name in shelf.machines if name in machines)
        return records.on_value([machines[name] for name in present], token)

    def values(
        self, shelves: Iterable[Shelf], machines: Mapping[str, Machine], token: str
    ) -> dict[str, tuple[int, Any]]:
        """Mark and new value of each shelf; one that is too full gives machines away.

        A shelf that took machines over goes along until it is written: if a
        transaction with both failed and the next one had the old shelf alone,
        the intents of the machines that left it would be nowhere.
        """
        found: dict[str, tuple[int, Any]] = {}
        waiting = sorted({*shelves, *self._unwritten}, key=lambda shelf: shelf.name)
        while waiting:
            shelf = waiting.pop(0)
            present = sorted(name for name in shelf.machines if name in machines)
            value = self.value(shelf, machines, token)
            if json_size(value) > self._limit and len(present) > 1:
                # Its old value still names them: a new leader takes both as they are.
                other = self._new()
                for name in present[len(present) // 2 :]:
                    self._put(name, other)
                self._unwritten.add(other)
                waiting += [shelf, other]
                continue
            found[shelf.name] = (shelf.mark, value)
        return found
