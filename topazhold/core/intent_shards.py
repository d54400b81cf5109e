"""Assigns machines to shards; the intents of a shard's machines share one stored value.

With one value per machine, launching on many machines would take as many writes, and the store
accepts only a few per second. Machines of a zone share shards, so a gang or a burst of launches
takes only a few writes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from topazhold.core import records
from topazhold.core.machines import Machine
from topazhold.wire.codec import json_size

#: Machines per shard; fewer if their intents exceed the value size limit.
MAX_MACHINES_PER_SHARD = 16


class IntentShard:
    """A stored value's revision, and the machines whose intents it holds."""

    __slots__ = ("name", "revision", "machines")

    def __init__(self, name: str, revision: int = 0) -> None:
        self.name = name
        self.revision = revision  # 0 if the value was never written
        self.machines: set[str] = set()


class IntentShards:
    """The shards of a leader's term."""

    def __init__(self, max_value_bytes: int) -> None:
        self._max_value_bytes = max_value_bytes
        self._shards: dict[str, IntentShard] = {}
        self._by_machine: dict[str, IntentShard] = {}
        self._unwritten_splits: set[IntentShard] = set()  # not written since the split
        self._last_number = 0  # shards are named by number

    def adopt(self, name: str, revision: int, machines: Iterable[str]) -> None:
        """Add a shard of an earlier term; a machine in two shards stays in the newer one."""
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
        """Return the machine's shard, assigning it to one of its zone with room if it has none."""
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
        """Remove a machine; return the shard whose stored value may still name it, if any."""
        shard = self._by_machine.pop(machine, None)
        if shard is not None:
            shard.machines.discard(machine)
        return shard

    def set_revision(self, name: str, revision: int) -> None:
        """Set the revision of a shard that was written, or re-read after a failed precondition."""
        shard = self._shards.get(name)
        if shard is not None:
            shard.revision = revision
            if revision:
                self._unwritten_splits.discard(shard)

    def unwritten_splits(self) -> list[IntentShard]:
        """Return the shards split off from others and not written since, sorted by name."""
        return sorted(self._unwritten_splits, key=lambda shard: shard.name)

    @staticmethod
    def value(shard: IntentShard, machines: Mapping[str, Machine], token: str) -> Any:
        """Return the value to write for a shard."""
        present = sorted(name for name in shard.machines if name in machines)
        return records.intents_value([machines[name] for name in present], token)

    def values(
        self, shards: Iterable[IntentShard], machines: Mapping[str, Machine], token: str
    ) -> dict[str, tuple[int, Any]]:
        """Return the revision and new value of each shard, splitting those that are too large.

        A shard that can't be split to fit is omitted: it can't be written, and its stored value
        stays as it is.

        Split-off shards are included until they are written: if a transaction with both shards
        failed and the next one had only the old shard, the intents of the machines moved out of
        it would be lost.
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
        """Move half of a shard's machines to a new shard; None if no machine can be moved.

        Until the old value is rewritten it names them too; a new leader can read both. A machine
        whose intents alone exceed the limit (an earlier version wrote them under a larger one)
        stays: the stored value holds them already, and no new value could.
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
