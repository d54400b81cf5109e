"""Operations of a term whose records cannot be stored, and their effect on later decisions."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple

from topazhold.operations.cloud_operations import AnyOperation, ScaleInOperation, ScaleOutOperation
from topazhold.operations.descriptions import describe
from topazhold.operations.records import ScaleOutRecord, split_machines

#: Maximum refused operations kept for `topazhold duties`; the oldest are dropped.
MAX_SHOWN_OPERATIONS = 8
#: Maximum characters of a reason that is shown.
MAX_SHOWN_REASON_LENGTH = 120


class RefusalCause(Enum):
    """The cause for which a record cannot be stored."""

    UNSTORABLE = "the record is invalid, too large, or refused by the store"
    KEY_TAKEN = "another record stands under its key"


class RefusedOperation(NamedTuple):
    """A refused operation as reported to operators."""

    key: str
    kind: str
    reason: str

    def pack(self) -> list[str]:
        """Return the encoding used in the leader's summary in the key-value store."""
        return [self.key, self.kind, self.reason[:MAX_SHOWN_REASON_LENGTH]]


def unpack_refused(data: Any) -> list[RefusedOperation]:
    """Decode the refused operations of a summary; malformed ones are skipped."""
    operations = []
    for item in data if isinstance(data, list) else ():
        if isinstance(item, list) and len(item) == len(RefusedOperation._fields):
            operations.append(RefusedOperation(*map(str, item)))
    return operations


class RefusedOperations:
    """Remembers refused operations, so that they are not decided again in every round.

    After the refusal of a scale-in of several machines, each machine gets a scale-in of its own,
    so that a name that cannot be recorded does not hold up the others. A machine whose own
    scale-in is refused gets no further one.
    """

    def __init__(self) -> None:
        self.recent: deque[RefusedOperation] = deque(maxlen=MAX_SHOWN_OPERATIONS)
        self._scale_outs: list[ScaleOutRecord] = []
        self._released_individually: set[str] = set()  # machines that get a scale-in of their own
        self._unrecordable: set[str] = set()  # machines whose own scale-in was refused

    def add(self, operation: AnyOperation, cause: RefusalCause, reason: str) -> None:
        """Remember a refused operation."""
        kind, _ = describe(operation.record)
        self.recent.append(RefusedOperation(operation.key, kind, reason))
        if cause is RefusalCause.KEY_TAKEN:
            return  # the next decision uses another key
        if isinstance(operation, ScaleInOperation):
            names = operation.record.machines
            (self._released_individually if len(names) > 1 else self._unrecordable).update(names)
        elif isinstance(operation, ScaleOutOperation):
            self._scale_outs.append(operation.record)

    def take_scale_outs(self) -> list[ScaleOutRecord]:
        """Return the scale-outs refused since the last call."""
        scale_outs, self._scale_outs = self._scale_outs, []
        return scale_outs

    def is_recordable(self, name: str) -> bool:
        """Return whether a scale-in of the machine may be decided."""
        return name not in self._unrecordable

    def batches(self, reasons: Mapping[str, str], max_value_bytes: int) -> Iterator[dict[str, str]]:
        """Split machines, mapped to their reasons, into one batch per record."""
        together = {
            name: why for name, why in reasons.items() if name not in self._released_individually
        }
        yield from split_machines(together, max_value_bytes)
        for name, why in reasons.items():
            if name in self._released_individually:
                yield from split_machines({name: why}, max_value_bytes)

    def forget_machine(self, name: str) -> None:
        """Drop all state about a machine that is gone."""
        self._released_individually.discard(name)
        self._unrecordable.discard(name)
