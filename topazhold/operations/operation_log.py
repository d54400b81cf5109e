"""All open orders of one term, and what is to be done next about them.

No I/O and no clock: whoever holds the duties asks for what is due, does it, and says what came
of it. Every return of a machine goes through here, so that a machine is returned by one order.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from topazhold.core.autoscaling import MAX_RELEASED_MACHINES, ScaleOutRequest
from topazhold.operations.cloud_operations import (
    CleanupOperation,
    CloudOperation,
    OperationState,
    ScaleInOperation,
    ScaleOutOperation,
)
from topazhold.operations.records import (
    MAX_PARTS,
    CleanupRecord,
    OperationRecord,
    ScaleInRecord,
    ScaleOutRecord,
    split_machines,
)

#: Returns that are kept after their end; the oldest go first.
MAX_CLOSED_SCALE_INS = 256
#: A rental that has been asked for so often without an answer no longer holds up others.
PATIENT_SENDS = 6
#: Rentals without an answer, at the most; beyond, nothing more is rented.
MAX_OPEN_SCALE_OUTS = 8

AnyOperation = CloudOperation[Any]
Kind = TypeVar("Kind", bound=AnyOperation)


@dataclass
class Counters:
    """What has become of the orders of a term."""

    decided: int = 0
    adopted: int = 0
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


class OperationLog:
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
        self._operations: dict[str, AnyOperation] = {}
        self._scale_in_of: dict[str, ScaleInOperation] = {}
        self.counters = Counters()

    # -- decisions -----------------------------------------------------------

    def _header(self, wall: float) -> dict[str, Any]:
        self._number += 1
        token = f"d{self._term}-{self._number}"
        return {"by": token, "term": self._term, "number": self._number, "at": max(0.0, wall)}

    def _add(self, operation: Kind) -> Kind:
        self._operations[operation.key] = operation
        self.counters.decided += 1
        if not self._record_orders:
            operation.waive_record()
        return operation

    def decide_scale_in(self, reasons: Mapping[str, str], wall: float) -> list[ScaleInOperation]:
        """Hand machines back; those that an order names already are left to it."""
        busy = self.machines_of_open_scale_outs()
        new = {
            name: reason
            for name, reason in reasons.items()
            if name not in self._scale_in_of and name not in busy
        }
        operations = []
        for portion in split_machines(new, self._value_limit):
            operation = self._add(
                ScaleInOperation(ScaleInRecord(**self._header(wall), machines=portion))
            )
            self._scale_in_of.update(dict.fromkeys(portion, operation))
            operations.append(operation)
        return operations

    def decide_scale_out(self, ask: ScaleOutRequest, wall: float) -> ScaleOutOperation:
        """Rent machines, under a request name that is this order's own."""
        header = self._header(wall)
        record = ScaleOutRecord(
            **header,
            request=f"{self._node}-{self._term}-{self._number}",
            machine_type=ask.machine_type,
            zone=ask.zone,
            spot=ask.spot,
            count=ask.count,
        )
        return self._add(ScaleOutOperation(record))

    def decide_cleanup(self, job: str, parts: Iterable[int], wall: float) -> CleanupOperation:
        """Remove the done marks of a job that is over."""
        record = CleanupRecord(**self._header(wall), job=job, parts=sorted(parts)[:MAX_PARTS])
        return self._add(CleanupOperation(record))

    def adopt(self, record: OperationRecord, now: float) -> AnyOperation | None:
        """An order that an earlier term left open: it is recorded, and completed here."""
        operation: AnyOperation
        if isinstance(record, ScaleInRecord):
            operation = ScaleInOperation(record)
            for name in record.machines:
                # Two terms can only have decided on one machine where a controller that
                # knows no records led in between; the first decision stands.
                self._scale_in_of.setdefault(name, operation)
            operation.left = {
                name: None for name in operation.left if self._scale_in_of[name] is operation
            }
        elif isinstance(record, ScaleOutRecord):
            operation = ScaleOutOperation(record)
        elif isinstance(record, CleanupRecord):
            operation = CleanupOperation(record)
        else:
            return None
        operation.adopted = True
        operation.record_committed()
        self._operations[operation.key] = operation
        self.counters.adopted += 1
        self._settle_if_empty(operation, now)
        return operation

    def supersede_scale_in(self, name: str, now: float) -> None:
        """A later term than the order's has used the machine: it is not returned by it."""
        operation = self._scale_in_of.pop(name)
        operation.left.pop(name, None)
        self.counters.superseded += 1
        self._settle_if_empty(operation, now)

    @staticmethod
    def _settle_if_empty(operation: AnyOperation, now: float) -> None:
        """A recorded return without a machine left to name is over unsent."""
        if isinstance(operation, ScaleInOperation) and not operation.left:
            if operation.state is OperationState.RECORDED:
                operation.settle_unsent(now)

    # -- what is there ---------------------------------------------------------

    def open_operations(self) -> list[AnyOperation]:
        """All orders that are not closed, the oldest first."""
        return list(self._operations.values())

    def of_kind(self, kind: type[Kind], *states: OperationState) -> list[Kind]:
        """Orders of a kind in the given states, the oldest first."""
        return [
            operation
            for operation in self._operations.values()
            if isinstance(operation, kind) and operation.state in states
        ]

    def scale_in_of(self, name: str) -> ScaleInOperation | None:
        """The one order that returns a machine."""
        return self._scale_in_of.get(name)

    def machines_of_open_scale_outs(self) -> set[str]:
        """Machines that a successor could find through an open rental.

        They are not returned before the rental's record is gone: a successor that asked for
        the rental again would take them for new ones.
        """
        return {
            name
            for operation in self._operations.values()
            if isinstance(operation, ScaleOutOperation)
            for name in operation.machines
        }

    # -- records ---------------------------------------------------------------

    def to_record(self, limit: int) -> list[AnyOperation]:
        """Orders whose records are to be written, within one transaction.

        One that was sent without a record gets it later, so that a successor learns of it.
        """
        if not self._record_orders:
            return []
        due = [
            operation
            for operation in self._operations.values()
            if not operation.stored
            and (operation.state is OperationState.DECIDED or operation.forced)
        ]
        due.sort(key=lambda operation: operation.forced)
        return due[:limit]

    def recorded(self, operations: Iterable[AnyOperation], now: float) -> None:
        """The records are committed."""
        for operation in operations:
            operation.record_committed()
            self._settle_if_empty(operation, now)

    # -- returns -----------------------------------------------------------------

    def force_scale_in(self, reasons: Mapping[str, str], wall: float) -> None:
        """Machines that have to go at any price, recorded or not."""
        missing = {
            name: reason for name, reason in reasons.items() if name not in self._scale_in_of
        }
        for portion in split_machines(missing, self._value_limit):
            operation = self._add(
                ScaleInOperation(ScaleInRecord(**self._header(wall), machines=portion))
            )
            self._scale_in_of.update(dict.fromkeys(portion, operation))
        for name in reasons:
            operation = self._scale_in_of[name]
            if operation.state is OperationState.DECIDED:
                operation.force()
                self.counters.forced += 1

    def release_request(
        self, must_be_released: Callable[[str], bool], only_forced: bool
    ) -> ReleaseRequest | None:
        """Machines to ask the cloud to take back now, those that must go first.

        `only_forced`: whoever is not sure to be the holder asks for these alone.
        """
        due = [
            (not must_be_released(name), name, operation)
            for operation in self.of_kind(
                ScaleInOperation, OperationState.RECORDED, OperationState.SENT
            )
            for name in operation.left
        ]
        if only_forced:
            due = [item for item in due if not item[0]]
        due.sort(key=lambda item: item[:2])
        due = due[:MAX_RELEASED_MACHINES]
        if not due:
            return None
        operations = {operation.key: operation for _, _, operation in due}
        again = any([operation.sent() for operation in operations.values()])
        self.counters.sends += 1
        self.counters.repeats += again
        return ReleaseRequest([name for _, name, _ in due], again)

    def machines_gone(self, names: Iterable[str], now: float) -> None:
        """Machines are proven to be gone."""
        for name in names:
            operation = self._scale_in_of.get(name)
            if operation is None:
                continue
            operation.left.pop(name, None)
            if not operation.left and operation.state is OperationState.SENT:
                operation.confirm(now)
                self.counters.confirmed += 1
            self._settle_if_empty(operation, now)

    # -- rentals -----------------------------------------------------------------

    def scale_outs_due(self) -> list[ScaleOutOperation]:
        """Rentals to ask the cloud for, again or for the first time."""
        return self.of_kind(ScaleOutOperation, OperationState.RECORDED, OperationState.SENT)

    def may_scale_out(self) -> bool:
        """Whether more may be rented: what is under way must first be known, within bounds."""
        open_rentals = self.of_kind(
            ScaleOutOperation, OperationState.DECIDED, OperationState.RECORDED, OperationState.SENT
        )
        waiting = [operation for operation in open_rentals if operation.sends < PATIENT_SENDS]
        return not waiting and len(open_rentals) < MAX_OPEN_SCALE_OUTS

    def sending(self, operation: AnyOperation) -> bool:
        """A rental or clean-up is about to be sent; whether it is a repetition."""
        again: bool = operation.sent()
        self.counters.sends += 1
        self.counters.repeats += again
        return again

    def rented(self, operation: ScaleOutOperation, machines: list[str], now: float) -> None:
        """The cloud has answered: with machines, or with none for good."""
        operation.machines = list(machines)
        self.finished(operation, now)

    def finished(self, operation: AnyOperation, now: float) -> None:
        """A rental or clean-up is carried out, or refused for good."""
        operation.confirm(now)
        self.counters.confirmed += 1

    # -- the end -------------------------------------------------------------------

    def to_close(self, now: float, limit: int) -> list[AnyOperation]:
        """Orders whose records are to be removed now.

        A return is kept for a while: the list is late, and a successor that knew nothing of
        the return would take the machine for one that is there, and return it once more.
        """
        confirmed = [
            operation
            for operation in self._operations.values()
            if operation.state is OperationState.CONFIRMED
        ]
        kept = [operation for operation in confirmed if isinstance(operation, ScaleInOperation)]
        early = {operation.key for operation in kept[: max(0, len(kept) - MAX_CLOSED_SCALE_INS)]}
        return [
            operation
            for operation in confirmed
            if not isinstance(operation, ScaleInOperation)
            or now - operation.confirmed_at > self._keep_s
            or operation.key in early
        ][:limit]

    def closed(self, operations: Iterable[AnyOperation]) -> None:
        """The records are removed."""
        for operation in operations:
            operation.close()
            self._operations.pop(operation.key, None)
            self.counters.closed += 1
            if isinstance(operation, ScaleInOperation):
                for name in operation.record.machines:
                    if self._scale_in_of.get(name) is operation:
                        del self._scale_in_of[name]
