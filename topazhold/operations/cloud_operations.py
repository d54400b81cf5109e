"""The states of a cloud operation, from the decision to the removal of its record.

    DECIDED -> RECORDED -> SENT -> CONFIRMED -> CLOSED
    DECIDED -> REFUSED

Each transition is a method, which raises `OperationStateError` in any other state. An operation
of which nothing is left to send goes from RECORDED to CONFIRMED.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, Generic, TypeVar

from topazhold.operations.records import (
    CleanupRecord,
    OperationRecord,
    ScaleInRecord,
    ScaleOutRecord,
    key_of,
)


class OperationState(Enum):
    """The progress of an operation."""

    DECIDED = "decided"  # neither known to be recorded nor sent
    RECORDED = "recorded"  # may be sent: its record is committed, waived or bypassed
    SENT = "sent"  # requested at least once; the request is repeated until it is answered
    CONFIRMED = "confirmed"  # carried out, or permanently refused
    CLOSED = "closed"  # its record is removed
    REFUSED = "refused"  # its record cannot be stored; it is never sent


class OperationStateError(RuntimeError):
    """A transition is not allowed in the operation's state: a programming error."""


Record = TypeVar("Record", bound=OperationRecord, covariant=True)


class CloudOperation(Generic[Record]):
    """A cloud operation: its record, its state and the data that its transitions depend on."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.key = key_of(record)
        self.state = OperationState.DECIDED
        self.stored = False  # its record is known to be in the key-value store
        self.bypasses_record = False  # may be sent before its record is written
        self.record_refused = False  # its record cannot be stored, now or later
        self.adopted = False  # left open by an earlier term, which may have sent it
        self.request_count = 0  # requests sent in this term
        self.confirmed_at = 0.0  # in seconds of the monotonic clock

    def _require(self, *states: OperationState) -> None:
        if self.state not in states:
            raise OperationStateError(
                f"operation {self.key}: transition not allowed in state {self.state.value}"
            )

    def record_committed(self) -> None:
        """Note that the record is in the key-value store."""
        if self.stored or (self.state is not OperationState.DECIDED and not self.bypasses_record):
            raise OperationStateError(
                f"operation {self.key}: recorded twice or in state {self.state.value}"
            )
        self.stored = True
        if self.state is OperationState.DECIDED:
            self.state = OperationState.RECORDED

    def waive_record(self) -> None:
        """Skip the record: operators have disabled records, or the operation is atomic."""
        self._require(OperationState.DECIDED)
        self.state = OperationState.RECORDED

    def bypass_record(self) -> None:
        """Allow sending before the record is written; the record follows later."""
        self._require(OperationState.DECIDED)
        self.bypasses_record = True
        self.state = OperationState.RECORDED

    def refuse_record(self) -> None:
        """Note that the record cannot be stored.

        The operation is refused and never sent, unless it has bypassed its record.
        """
        if not self.bypasses_record:
            self._require(OperationState.DECIDED)
            self.state = OperationState.REFUSED
        self.record_refused = True

    def mark_sent(self) -> bool:
        """Mark the operation as sent before each request; return whether it was sent before."""
        self._require(OperationState.RECORDED, OperationState.SENT)
        self.state = OperationState.SENT
        self.request_count += 1
        return self.request_count > 1

    def confirm(self, now: float) -> None:
        """Confirm a sent operation that was carried out or permanently refused."""
        self._require(OperationState.SENT)
        self._set_confirmed(now)

    def confirm_unsent(self, now: float) -> None:
        """Confirm an operation that needs no request: others did it, or it is obsolete."""
        self._require(OperationState.RECORDED)
        self._set_confirmed(now)

    def confirm_if_empty(self, now: float) -> None:
        """Confirm a recorded, unsent operation of which nothing is left to send."""

    def _set_confirmed(self, now: float) -> None:
        self.state = OperationState.CONFIRMED
        self.confirmed_at = now

    def close(self) -> None:
        """Close a confirmed operation whose record is removed or was never written."""
        self._require(OperationState.CONFIRMED)
        self.state = OperationState.CLOSED


class ScaleInOperation(CloudOperation[ScaleInRecord]):
    """Releases machines."""

    def __init__(self, record: ScaleInRecord) -> None:
        super().__init__(record)
        self.remaining_machines = dict.fromkeys(record.machines)  # not proven to be gone yet

    def confirm_if_empty(self, now: float) -> None:
        """Confirm a recorded, unsent scale-in of which no machine is left."""
        if not self.remaining_machines and self.state is OperationState.RECORDED:
            self.confirm_unsent(now)


class ScaleOutOperation(CloudOperation[ScaleOutRecord]):
    """Requests new machines."""

    def __init__(self, record: ScaleOutRecord) -> None:
        super().__init__(record)
        self.machines: list[str] = []  # names in the cloud's response


class CleanupOperation(CloudOperation[CleanupRecord]):
    """Removes the completion bitmaps of an ended job."""


AnyOperation = CloudOperation[Any]


def operation_for(record: OperationRecord) -> AnyOperation:
    """Return an operation in its initial state for a stored record.

    Raises:
        TypeError: records of this type have no operation.
    """
    if isinstance(record, ScaleInRecord):
        return ScaleInOperation(record)
    if isinstance(record, ScaleOutRecord):
        return ScaleOutOperation(record)
    if isinstance(record, CleanupRecord):
        return CleanupOperation(record)
    raise TypeError(f"no operation type for {type(record).__name__}")
