"""All open orders of one term, and what is to be done next about them.

No I/O and no clock: whoever holds the duties asks for what is due, does it, and says what came
of it. Every return of a machine goes through here, so that a machine is returned by one order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from topazhold.core.autoscaling import MAX_RELEASED_MACHINES, ScaleOutRequest
from topazhold.duties.orders import (
    CleanupOrder,
    Order,
    OrderState,
    RentalOrder,
    ReturnOrder,
)
from topazhold.duties.records import (
    MAX_PARTS,
    CleanupRecord,
    OrderRecord,
    RentalRecord,
    ReturnRecord,
    split_machines,
)

#: Returns that are kept after their end; the oldest go first.
MAX_ENTRIES = 256
#: A rental that has been asked for so often without an answer no longer holds up others.
PATIENT_SENDS = 6
#: Rentals without an answer, at the most; beyond, nothing more is rented.
MAX_OPEN_SCALE_OUTS = 8

AnyOrder = Order[Any]
Kind = TypeVar("Kind", bound=AnyOrder)


@dataclass
class Counters:
    """What has become of the orders of a term."""

    decided: int = 0
    inherited: int = 0
    superseded: int = 0  # inherited, but a later term used the machine
    forced: int = 0  # sent without a record, as the rules force
    sends: int = 0
    repeats: int = 0  # of these, the same order again
    confirmed: int = 0
    closed: int = 0
    unreadable: int = 0


@dataclass(frozen=True)
class ReleaseRequest:
    """Machines to name in one request to the cloud."""

    names: list[str]
    repeated: bool  # whether some of it was asked for before in this term


class OrderBook:
    """The orders of one term, its own and those that it found open."""

    def __init__(
        self,
        node: str,
        term: int,
        value_limit: int,
        keep_s: float,
        record_orders: bool = True,
    ) -> None:
        self._node = node
        self._term = term
        self._value_limit = value_limit
        self._keep_s = keep_s
        self._record_orders = record_orders
        self._number = 0
        self._orders: dict[str, AnyOrder] = {}
        self._return_of: dict[str, ReturnOrder] = {}
        self.counters = Counters()

    # -- decisions -----------------------------------------------------------

    def _header(self, wall: float) -> dict[str, Any]:
        self._number += 1
        token = f"d{self._term}-{self._number}"
        return {"by": token, "term": self._term, "number": self._number, "at": max(0.0, wall)}

    def _add(self, order: Kind) -> Kind:
        self._orders[order.key] = order
        self.counters.decided += 1
        if not self._record_orders:
            order.waive_record()
        return order

    def decide_returns(self, reasons: Mapping[str, str], wall: float) -> list[ReturnOrder]:
        """Hand machines back; those that an order names already are left to it."""
        busy = self.rented_unclosed()
        new = {
            name: reason
            for name, reason in reasons.items()
            if name not in self._return_of and name not in busy
        }
        orders = []
        for portion in split_machines(new, self._value_limit):
            order = self._add(ReturnOrder(ReturnRecord(**self._header(wall), machines=portion)))
            self._return_of.update(dict.fromkeys(portion, order))
            orders.append(order)
        return orders

    def decide_rental(self, ask: ScaleOutRequest, wall: float) -> RentalOrder:
        """Rent machines, under a request name that is this order's own."""
        header = self._header(wall)
        record = RentalRecord(
            **header,
            request=f"{self._node}-{self._term}-{self._number}",
            machine_type=ask.machine_type,
            zone=ask.zone,
            spot=ask.spot,
            count=ask.count,
        )
        return self._add(RentalOrder(record))

    def decide_cleanup(self, job: str, parts: Iterable[int], wall: float) -> CleanupOrder:
        """Remove the done marks of a job that is over."""
        record = CleanupRecord(**self._header(wall), job=job, parts=sorted(parts)[:MAX_PARTS])
        return self._add(CleanupOrder(record))

    def inherit(self, record: OrderRecord, now: float) -> AnyOrder | None:
        """An order that an earlier term left open: it is recorded, and completed here."""
        order: AnyOrder
        if isinstance(record, ReturnRecord):
            order = ReturnOrder(record)
            for name in record.machines:
                # Two terms can only have decided on one machine where a controller that
                # knows no records led in between; the first decision stands.
                self._return_of.setdefault(name, order)
            order.left = {name: None for name in order.left if self._return_of[name] is order}
        elif isinstance(record, RentalRecord):
            order = RentalOrder(record)
        elif isinstance(record, CleanupRecord):
            order = CleanupOrder(record)
        else:
            return None
        order.inherited = True
        order.record_committed()
        self._orders[order.key] = order
        self.counters.inherited += 1
        self._settle_if_empty(order, now)
        return order

    def supersede_return(self, name: str, now: float) -> None:
        """A later term than the order's has used the machine: it is not returned by it."""
        order = self._return_of.pop(name)
        order.left.pop(name, None)
        self.counters.superseded += 1
        self._settle_if_empty(order, now)

    @staticmethod
    def _settle_if_empty(order: AnyOrder, now: float) -> None:
        """A recorded return without a machine left to name is over unsent."""
        if isinstance(order, ReturnOrder) and not order.left:
            if order.state is OrderState.RECORDED:
                order.settle_unsent(now)

    # -- what is there ---------------------------------------------------------

    def open_orders(self) -> list[AnyOrder]:
        """All orders that are not closed, the oldest first."""
        return list(self._orders.values())

    def of_kind(self, kind: type[Kind], *states: OrderState) -> list[Kind]:
        """Orders of a kind in the given states, the oldest first."""
        return [
            order
            for order in self._orders.values()
            if isinstance(order, kind) and order.state in states
        ]

    def return_of(self, name: str) -> ReturnOrder | None:
        """The one order that returns a machine."""
        return self._return_of.get(name)

    def rented_unclosed(self) -> set[str]:
        """Machines that a successor could find through an open rental.

        They are not returned before the rental's record is gone: a successor that asked for
        the rental again would take them for new ones.
        """
        return {
            name
            for order in self._orders.values()
            if isinstance(order, RentalOrder)
            for name in order.machines
        }

    # -- records ---------------------------------------------------------------

    def to_record(self, limit: int) -> list[AnyOrder]:
        """Orders whose records are to be written, within one transaction.

        One that was sent without a record gets it later, so that a successor learns of it.
        """
        if not self._record_orders:
            return []
        due = [
            order
            for order in self._orders.values()
            if not order.stored and (order.state is OrderState.DECIDED or order.forced)
        ]
        due.sort(key=lambda order: order.forced)
        return due[:limit]

    def recorded(self, orders: Iterable[AnyOrder], now: float) -> None:
        """The records are committed."""
        for order in orders:
            order.record_committed()
            self._settle_if_empty(order, now)

    # -- returns -----------------------------------------------------------------

    def force_returns(self, reasons: Mapping[str, str], wall: float) -> None:
        """Machines that have to go at any price, recorded or not."""
        missing = {name: reason for name, reason in reasons.items() if name not in self._return_of}
        for portion in split_machines(missing, self._value_limit):
            order = self._add(ReturnOrder(ReturnRecord(**self._header(wall), machines=portion)))
            self._return_of.update(dict.fromkeys(portion, order))
        for name in reasons:
            order = self._return_of[name]
            if order.state is OrderState.DECIDED:
                order.force()
                self.counters.forced += 1

    def release_request(
        self, must_be_released: Callable[[str], bool], only_forced: bool
    ) -> ReleaseRequest | None:
        """Machines to ask the cloud to take back now, those that must go first.

        `only_forced`: whoever is not sure to be the holder asks for these alone.
        """
        due = [
            (not must_be_released(name), name, order)
            for order in self.of_kind(ReturnOrder, OrderState.RECORDED, OrderState.SENT)
            for name in order.left
        ]
        if only_forced:
            due = [item for item in due if not item[0]]
        due.sort(key=lambda item: item[:2])
        due = due[:MAX_RELEASED_MACHINES]
        if not due:
            return None
        orders = {order.key: order for _, _, order in due}
        again = any([order.sent() for order in orders.values()])
        self.counters.sends += 1
        self.counters.repeats += again
        return ReleaseRequest([name for _, name, _ in due], again)

    def machines_gone(self, names: Iterable[str], now: float) -> None:
        """Machines are proven to be gone."""
        for name in names:
            order = self._return_of.get(name)
            if order is None:
                continue
            order.left.pop(name, None)
            if not order.left and order.state is OrderState.SENT:
                order.confirm(now)
                self.counters.confirmed += 1
            self._settle_if_empty(order, now)

    # -- rentals -----------------------------------------------------------------

    def rentals_due(self) -> list[RentalOrder]:
        """Rentals to ask the cloud for, again or for the first time."""
        return self.of_kind(RentalOrder, OrderState.RECORDED, OrderState.SENT)

    def may_rent(self) -> bool:
        """Whether more may be rented: what is under way must first be known, within bounds."""
        open_rentals = self.of_kind(
            RentalOrder, OrderState.DECIDED, OrderState.RECORDED, OrderState.SENT
        )
        waiting = [order for order in open_rentals if order.sends < PATIENT_SENDS]
        return not waiting and len(open_rentals) < MAX_OPEN_SCALE_OUTS

    def sending(self, order: AnyOrder) -> bool:
        """A rental or clean-up is about to be sent; whether it is a repetition."""
        again: bool = order.sent()
        self.counters.sends += 1
        self.counters.repeats += again
        return again

    def rented(self, order: RentalOrder, machines: list[str], now: float) -> None:
        """The cloud has answered: with machines, or with none for good."""
        order.machines = list(machines)
        self.finished(order, now)

    def finished(self, order: AnyOrder, now: float) -> None:
        """A rental or clean-up is carried out, or refused for good."""
        order.confirm(now)
        self.counters.confirmed += 1

    # -- the end -------------------------------------------------------------------

    def to_close(self, now: float, limit: int) -> list[AnyOrder]:
        """Orders whose records are to be removed now.

        A return is kept for a while: the list is late, and a successor that knew nothing of
        the return would take the machine for one that is there, and return it once more.
        """
        confirmed = [
            order for order in self._orders.values() if order.state is OrderState.CONFIRMED
        ]
        kept = [order for order in confirmed if isinstance(order, ReturnOrder)]
        early = {order.key for order in kept[: max(0, len(kept) - MAX_ENTRIES)]}
        return [
            order
            for order in confirmed
            if not isinstance(order, ReturnOrder)
            or now - order.confirmed_at > self._keep_s
            or order.key in early
        ][:limit]

    def closed(self, orders: Iterable[AnyOrder]) -> None:
        """The records are removed."""
        for order in orders:
            order.close()
            self._orders.pop(order.key, None)
            self.counters.closed += 1
            if isinstance(order, ReturnOrder):
                for name in order.record.machines:
                    if self._return_of.get(name) is order:
                        del self._return_of[name]
