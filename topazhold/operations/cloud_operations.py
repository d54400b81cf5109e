"""One order of a holder of duties, from its decision to its end.

    DECIDED -> RECORDED -> SENT -> CONFIRMED -> CLOSED

Each change of state is one method; a change that is out of order raises `OperationStateError`.
"""

from __future__ import annotations

from enum import Enum
from typing import Generic, TypeVar

from topazhold.operations.records import (
    CleanupRecord,
    OperationRecord,
    ScaleInRecord,
    ScaleOutRecord,
    key_of,
)


class OperationState(Enum):
    """Where an order stands."""

    DECIDED = "decided"  # not known to be recorded, and not sent
    RECORDED = "recorded"  # its record is committed; it may be sent
    SENT = "sent"  # asked for at least once; asked again until it is answered
    CONFIRMED = "confirmed"  # carried out, or refused for good
    CLOSED = "closed"  # its record is removed


class OperationStateError(RuntimeError):
    """A change of state that is out of order: a fault of the program."""


Record = TypeVar("Record", bound=OperationRecord, covariant=True)


class CloudOperation(Generic[Record]):
    """One decision, and what has become of it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.key = key_of(record)
        self.state = OperationState.DECIDED
        self.stored = False  # whether its record is known to be in the state service
        self.forced = False  # sent without a record, as the rules force
        self.adopted = False  # decided in an earlier term
        self.sends = 0
        self.confirmed_at = 0.0

    def _leave(self, *states: OperationState) -> None:
        if self.state not in states:
            raise OperationStateError(f"{self.key} is {self.state.value}")

    def record_committed(self) -> None:
        """The record is in the state service."""
        if self.stored or (self.state is not OperationState.DECIDED and not self.forced):
            raise OperationStateError(f"{self.key} is recorded twice")
        self.stored = True
        if self.state is OperationState.DECIDED:
            self.state = OperationState.RECORDED

    def waive_record(self) -> None:
        """Orders are not recorded at all: the operators have switched that off."""
        self._leave(OperationState.DECIDED)
        self.state = OperationState.RECORDED

    def force(self) -> None:
        """It has to be sent though it can't be recorded now."""
        self._leave(OperationState.DECIDED)
        self.forced = True
        self.state = OperationState.RECORDED

    def sent(self) -> bool:
        """It is about to be sent; whether it was sent before in this term."""
        self._leave(OperationState.RECORDED, OperationState.SENT)
        self.state = OperationState.SENT
        self.sends += 1
        return self.sends > 1

    def confirm(self, now: float) -> None:
        """It was carried out, or refused for good."""
        self._leave(OperationState.SENT)
        self.state = OperationState.CONFIRMED
        self.confirmed_at = now

    def settle_unsent(self, now: float) -> None:
        """Nothing is left of it to be sent: others saw to it, or decided otherwise."""
        self._leave(OperationState.RECORDED)
        self.state = OperationState.CONFIRMED
        self.confirmed_at = now

    def close(self) -> None:
        """Its record is gone, or there never was one."""
        self._leave(OperationState.CONFIRMED)
        self.state = OperationState.CLOSED


class ScaleInOperation(CloudOperation[ScaleInRecord]):
    """Hands machines back."""

    def __init__(self, record: ScaleInRecord) -> None:
        super().__init__(record)
        self.left = dict.fromkeys(record.machines)  # those not yet proven to be gone


class ScaleOutOperation(CloudOperation[ScaleOutRecord]):
    """Rents machines."""

    def __init__(self, record: ScaleOutRecord) -> None:
        super().__init__(record)
        self.machines: list[str] = []  # what the cloud gave


class CleanupOperation(CloudOperation[CleanupRecord]):
    """Removes the done marks of a job that is over."""
