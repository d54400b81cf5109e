"""One cloud operation of a leader, from the decision to the removal of its record.

    DECIDED -> RECORDED -> SENT -> CONFIRMED -> CLOSED
    DECIDED -> REFUSED

Each transition is one method; one that is out of order raises `OperationStateError`.
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
    """How far an operation has got."""

    DECIDED = "decided"  # not known to be recorded, and not sent
    RECORDED = "recorded"  # its record is committed; it may be sent
    SENT = "sent"  # requested at least once; repeated until it is answered
    CONFIRMED = "confirmed"  # carried out, or refused for good
    CLOSED = "closed"  # its record is removed
    REFUSED = "refused"  # its record can't be stored; it is never sent


class OperationStateError(RuntimeError):
    """A transition that is out of order: a fault of the program."""


Record = TypeVar("Record", bound=OperationRecord, covariant=True)


class CloudOperation(Generic[Record]):
    """One operation: its record, its state, and what its removal depends on."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.key = key_of(record)
        self.state = OperationState.DECIDED
        self.stored = False  # whether its record is known to be in the key-value store
        self.bypasses_record = False  # sent though its record could not be written
        self.record_refused = False  # whether its record can't be stored, ever
        self.adopted = False  # left open by an earlier term, which may have sent it
        self.request_count = 0  # requests of this term
        self.confirmed_at = 0.0  # by the monotonic clock, in seconds

    def _require(self, *states: OperationState) -> None:
        if self.state not in states:
            raise OperationStateError(f"{self.key} is {self.state.value}")

    def record_committed(self) -> None:
        """The record is in the key-value store."""
        if self.stored or (self.state is not OperationState.DECIDED and not self.bypasses_record):
            raise OperationStateError(f"{self.key} is recorded twice")
        self.stored = True
        if self.state is OperationState.DECIDED:
            self.state = OperationState.RECORDED

    def waive_record(self) -> None:
        """No record is needed: the operators have switched records off, or it is atomic."""
        self._require(OperationState.DECIDED)
        self.state = OperationState.RECORDED

    def bypass_record(self) -> None:
        """It has to be sent before its record can be written; the record follows."""
        self._require(OperationState.DECIDED)
        self.bypasses_record = True
        self.state = OperationState.RECORDED

    def refuse_record(self) -> None:
        """Its record can't be stored, ever; what was to wait for the record is never sent."""
        if not self.bypasses_record:
            self._require(OperationState.DECIDED)
            self.state = OperationState.REFUSED
        self.record_refused = True

    def mark_sent(self) -> bool:
        """It is about to be sent; whether it was sent before in this term."""
        self._require(OperationState.RECORDED, OperationState.SENT)
        self.state = OperationState.SENT
        self.request_count += 1
        return self.request_count > 1

    def confirm(self, now: float) -> None:
        """It was carried out, or refused for good."""
        self._require(OperationState.SENT)
        self._set_confirmed(now)

    def confirm_unsent(self, now: float) -> None:
        """Nothing of it remains to be sent: it was done by others, or superseded."""
        self._require(OperationState.RECORDED)
        self._set_confirmed(now)

    def confirm_if_empty(self, now: float) -> None:
        """Confirm it unsent if it is recorded, and nothing of it is left to send."""

    def _set_confirmed(self, now: float) -> None:
        self.state = OperationState.CONFIRMED
        self.confirmed_at = now

    def close(self) -> None:
        """Its record is removed, or there never was one."""
        self._require(OperationState.CONFIRMED)
        self.state = OperationState.CLOSED


class ScaleInOperation(CloudOperation[ScaleInRecord]):
    """Releases machines."""

    def __init__(self, record: ScaleInRecord) -> None:
        super().__init__(record)
        self.remaining_machines = dict.fromkeys(record.machines)  # not yet proven to be gone

    def confirm_if_empty(self, now: float) -> None:
        """Confirm it unsent if it is recorded, and no machine is left to name."""
        if not self.remaining_machines and self.state is OperationState.RECORDED:
            self.confirm_unsent(now)


class ScaleOutOperation(CloudOperation[ScaleOutRecord]):
    """Requests new machines."""

    def __init__(self, record: ScaleOutRecord) -> None:
        super().__init__(record)
        self.machines: list[str] = []  # names that the cloud has answered with


class CleanupOperation(CloudOperation[CleanupRecord]):
    """Removes the completion bitmaps of an ended job."""


AnyOperation = CloudOperation[Any]


def operation_for(record: OperationRecord) -> AnyOperation:
    """The operation that a stored record describes.

    Raises:
        TypeError: there is no operation for this type of record.
    """
    if isinstance(record, ScaleInRecord):
        return ScaleInOperation(record)
    if isinstance(record, ScaleOutRecord):
        return ScaleOutOperation(record)
    if isinstance(record, CleanupRecord):
        return CleanupOperation(record)
    raise TypeError(f"no operation for a {type(record).__name__}")
