"""Which machines' intents share a value of the key-value store.

With a value per machine, launches on many machines would cost as many changes, of which the
store takes few in a second. Machines of a zone share a shard, so a gang or a burst costs a few.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from topazhold.core import records
from topazhold.core.machines import Machine
from topazhold.wire.codec import json_size

#: Machines that share a value; fewer if their intents don't fit.
MAX_MACHINES_PER_SHARD = 16


class IntentShard:
    """One value: its revision, and the machines whose intents it has."""

    __slots__ = ("name", "revision", "machines")

    def __init__(self, name: str, revision: int = 0) -> None:
        self.name = name
        self.revision = revision  # 0 if the value was never written
        self.machines: set[str] = set()


class IntentShards:
    """All shards of a term."""

    def __init__(self, max_value_bytes: int) -> None:
        self._max_value_bytes = max_value_bytes  # bytes of a value
        self._shards: dict[str, IntentShard] = {}
        self._by_machine: dict[str, IntentShard] = {}
        self._unwritten_splits: set[IntentShard] = set()  # got machines of others since
        self._last_number = 0  # names of shards are numbers

    def adopt(self, name: str, revision: int, machines: Iterable[str]) -> None:
        """A shard that an earlier term has left."""
        assert name not in self._shards
        shard = self._shards[name] = IntentShard(name, revision)
        if name.isdecimal():
            self._last_number = max(self._last_number, int(name))
        for machine in machines:
            old = self._by_machine.get(machine)
            if old is None or old.revision < revision:
                self._assign(machine, shard)

    def _assign(self, machine: str, shard: IntentShard) -> None:
        old = self._by_machine.get(machine)
        if old is not None:
            old.machines.discard(machine)
        shard.machines.add(machine)
        self._by_machine[machine] = shard

    def _create_shard(self) -> IntentShard:
        self._last_number += 1
        name = f"{self._last_number:04d}"
        shard = self._shards[name] = IntentShard(name)
        return shard

    def shard_of(self, machine: Machine, machines: Mapping[str, Machine]) -> IntentShard:
        """The machine's shard; it gets one of its zone's with a free place."""
        shard = self._by_machine.get(machine.name)
        if shard is None:
            for other in self._shards.values():
                if len(other.machines) >= MAX_MACHINES_PER_SHARD:
                    continue
                zones = {machines[name].zone for name in other.machines if name in machines}
                if zones <= {machine.zone}:
                    shard = other
                    break
            else:
                shard = self._create_shard()
            self._assign(machine.name, shard)
        return shard

    def forget_machine(self, machine: str) -> IntentShard | None:
        """A machine is gone; the shard that still has its intents, if any does."""
        shard = self._by_machine.pop(machine, None)
        if shard is not None:
            shard.machines.discard(machine)
        return shard

    def set_revision(self, name: str, revision: int) -> None:
        """A shard was written, or read again after its precondition failed."""
        shard = self._shards.get(name)
        if shard is not None:
            shard.revision = revision
            if revision:
                self._unwritten_splits.discard(shard)

    def unwritten_splits(self) -> list[IntentShard]:
        """Shards that have got machines of others and were not written since, by name."""
        return sorted(self._unwritten_splits, key=lambda shard: shard.name)

    @staticmethod
    def value(shard: IntentShard, machines: Mapping[str, Machine], token: str) -> Any:
        """What the shard's value is to be."""
        present = sorted(name for name in shard.machines if name in machines)
        return records.intents_value([machines[name] for name in present], token)

    def values(
        self, shards: Iterable[IntentShard], machines: Mapping[str, Machine], token: str
    ) -> dict[str, tuple[int, Any]]:
        """Revision and new value of each shard; one that is too full gives machines away.

        A shard whose only machine is too large for a value has none here: it can't be
        written, and what the key-value store has of it stays.

        A shard that has got machines of another goes along until it is written: if a
        transaction with both failed and the next one had the old shard alone, the intents
        of the machines that left it would be nowhere.
        """
        values: dict[str, tuple[int, Any]] = {}
        pending = sorted({*shards, *self._unwritten_splits}, key=lambda shard: shard.name)
        while pending:
            shard = pending.pop(0)
            value = self.value(shard, machines, token)
            if json_size(value) <= self._max_value_bytes:
                values[shard.name] = (shard.revision, value)
                continue
            other = self._split(shard, machines)
            if other is not None:
                pending += [shard, other]
        return values

    def _split(self, shard: IntentShard, machines: Mapping[str, Machine]) -> IntentShard | None:
        """Give half of a shard's machines to a new one; None if that is no help.

        The old value still names them: a new leader reads both as they are. A machine
        whose intents alone are too large, as an earlier version left them under larger
        limits, stays: that value names it already, and no other could.
        """
        present = sorted(name for name in shard.machines if name in machines)
        movable = [name for name in present if self._fits_alone(machines[name])]
        if len(movable) == len(present):
            movable = movable[len(movable) // 2 :] if len(movable) > 1 else []
        if not movable:
            return None
        other = self._create_shard()
        for name in movable:
            self._assign(name, other)
        self._unwritten_splits.add(other)
        return other

    def _fits_alone(self, machine: Machine) -> bool:
        return json_size(records.intents_value([machine], "")) <= self._max_value_bytes
