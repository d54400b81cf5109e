"""Operations of a term whose records can't be stored, and what follows for later decisions."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple

from topazhold.operations.cloud_operations import AnyOperation, ScaleInOperation, ScaleOutOperation
from topazhold.operations.descriptions import describe
from topazhold.operations.records import ScaleOutRecord, split_machines

#: Refused operations kept to be shown; the oldest are forgotten.
MAX_SHOWN_OPERATIONS = 8
#: Characters of a reason that are shown.
MAX_SHOWN_REASON_LENGTH = 120


class RefusalCause(Enum):
    """Why a record can't be stored."""

    UNSTORABLE = "the record is invalid, too large, or refused by the store"
    KEY_TAKEN = "another record stands under its key"


class RefusedOperation(NamedTuple):
    """What is told of a refused operation."""

    key: str
    kind: str
    reason: str

    def pack(self) -> list[str]:
        """The form that the leader's summary in the key-value store carries."""
        return [self.key, self.kind, self.reason[:MAX_SHOWN_REASON_LENGTH]]


def unpack_refused(data: Any) -> list[RefusedOperation]:
    """Refused operations as a summary carries them; what can't be read is left out."""
    operations = []
    for item in data if isinstance(data, list) else ():
        if isinstance(item, list) and len(item) == len(RefusedOperation._fields):
            operations.append(RefusedOperation(*map(str, item)))
    return operations


class RefusedOperations:
    """Remembers what was refused, so that the same is not decided again in each round.

    A scale-in of several machines is decided anew machine by machine, so that one name that
    can't be recorded holds up no other; a single machine is not decided on again.
    """

    def __init__(self) -> None:
        self.recent: deque[RefusedOperation] = deque(maxlen=MAX_SHOWN_OPERATIONS)
        self._scale_outs: list[ScaleOutRecord] = []
        self._individually: set[str] = set()  # machines that get a scale-in each
        self._unrecordable: set[str] = set()  # machines whose own scale-in was refused

    def add(self, operation: AnyOperation, cause: RefusalCause, reason: str) -> None:
        """An operation is refused."""
        kind, _ = describe(operation.record)
        self.recent.append(RefusedOperation(operation.key, kind, reason))
        if cause is RefusalCause.KEY_TAKEN:
            return  # decided anew, it gets another key
        if isinstance(operation, ScaleInOperation):
            names = operation.record.machines
            (self._individually if len(names) > 1 else self._unrecordable).update(names)
        elif isinstance(operation, ScaleOutOperation):
            self._scale_outs.append(operation.record)

    def take_scale_outs(self) -> list[ScaleOutRecord]:
        """Scale-outs that were refused since this was last called."""
        scale_outs, self._scale_outs = self._scale_outs, []
        return scale_outs

    def is_recordable(self, name: str) -> bool:
        """Whether a scale-in of the machine may be decided."""
        return name not in self._unrecordable

    def batches(self, reasons: Mapping[str, str], max_value_bytes: int) -> Iterator[dict[str, str]]:
        """Machines with their reasons, in portions for one record each."""
        together = {name: why for name, why in reasons.items() if name not in self._individually}
        yield from split_machines(together, max_value_bytes)
        for name, why in reasons.items():
            if name in self._individually:
                yield from split_machines({name: why}, max_value_bytes)

    def forget_machine(self, name: str) -> None:
        """A machine is gone."""
        self._individually.discard(name)
        self._unrecordable.discard(name)
