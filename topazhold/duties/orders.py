"""One order of a holder of duties, from its decision to its end.

    DECIDED -> RECORDED -> SENT -> CONFIRMED -> CLOSED

Each change of state is one method; a change that is out of order raises `OrderError`.
"""

from __future__ import annotations

from enum import Enum
from typing import Generic, TypeVar

from topazhold.duties.records import (
    CleanupRecord,
    OrderRecord,
    RentalRecord,
    ReturnRecord,
    key_of,
)


class OrderState(Enum):
    """Where an order stands."""

    DECIDED = "decided"  # not known to be recorded, and not sent
    RECORDED = "recorded"  # its record is committed; it may be sent
    SENT = "sent"  # asked for at least once; asked again until it is answered
    CONFIRMED = "confirmed"  # carried out, or refused for good
    CLOSED = "closed"  # its record is removed


class OrderError(RuntimeError):
    """A change of state that is out of order: a fault of the program."""


Record = TypeVar("Record", bound=OrderRecord, covariant=True)


class Order(Generic[Record]):
    """One decision, and what has become of it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.key = key_of(record)
        self.state = OrderState.DECIDED
        self.stored = False  # whether its record is known to be in the state service
        self.forced = False  # sent without a record, as the rules force
        self.inherited = False  # decided in an earlier term
        self.sends = 0
        self.confirmed_at = 0.0

    def _leave(self, *states: OrderState) -> None:
        if self.state not in states:
            raise OrderError(f"{self.key} is {self.state.value}")

    def record_committed(self) -> None:
        """The record is in the state service."""
        if self.stored or (self.state is not OrderState.DECIDED and not self.forced):
            raise OrderError(f"{self.key} is recorded twice")
        self.stored = True
        if self.state is OrderState.DECIDED:
            self.state = OrderState.RECORDED

    def waive_record(self) -> None:
        """Orders are not recorded at all: the operators have switched that off."""
        self._leave(OrderState.DECIDED)
        self.state = OrderState.RECORDED

    def force(self) -> None:
        """It has to be sent though it can't be recorded now."""
        self._leave(OrderState.DECIDED)
        self.forced = True
        self.state = OrderState.RECORDED

    def sent(self) -> bool:
        """It is about to be sent; whether it was sent before in this term."""
        self._leave(OrderState.RECORDED, OrderState.SENT)
        self.state = OrderState.SENT
        self.sends += 1
        return self.sends > 1

    def confirm(self, now: float) -> None:
        """It was carried out, or refused for good."""
        self._leave(OrderState.SENT)
        self.state = OrderState.CONFIRMED
        self.confirmed_at = now

    def settle_unsent(self, now: float) -> None:
        """Nothing is left of it to be sent: others saw to it, or decided otherwise."""
        self._leave(OrderState.RECORDED)
        self.state = OrderState.CONFIRMED
        self.confirmed_at = now

    def close(self) -> None:
        """Its record is gone, or there never was one."""
        self._leave(OrderState.CONFIRMED)
        self.state = OrderState.CLOSED


class ReturnOrder(Order[ReturnRecord]):
    """Hands machines back."""

    def __init__(self, record: ReturnRecord) -> None:
        super().__init__(record)
        self.left = dict.fromkeys(record.machines)  # those not yet proven to be gone


class RentalOrder(Order[RentalRecord]):
    """Rents machines."""

    def __init__(self, record: RentalRecord) -> None:
        super().__init__(record)
        self.machines: list[str] = []  # what the cloud gave


class CleanupOrder(Order[CleanupRecord]):
    """Removes the done marks of a job that is over."""
