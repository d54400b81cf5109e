"""The open cloud operations of one term, and what is due for each of them.

No I/O and no clock: the executors ask for what is due, do it, and report the outcome. Every
release of a machine goes through here, so that a machine is released by one operation.

Times named `now` are of the monotonic clock, `wall` of the time of day, both in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TypeVar

from topazhold.core.autoscaling import ScaleOutRequest
from topazhold.operations.cloud_operations import (
    AnyOperation,
    CleanupOperation,
    OperationState,
    ScaleInOperation,
    ScaleOutOperation,
    operation_for,
)
from topazhold.operations.counters import OperationCounters
from topazhold.operations.record_factory import RecordFactory
from topazhold.operations.records import OperationRecord
from topazhold.operations.refused_operations import RefusalCause, RefusedOperations
from topazhold.operations.requests import ReleaseRequest, due_releases, may_scale_out
from topazhold.operations.retention import removable

Kind = TypeVar("Kind", bound=AnyOperation)


class OperationLog:
    """The operations of one term: those that it decided and those that it adopted.

    `max_value_bytes` is the maximum size of a stored value. The record of a scale-in is kept for
    `retention_s` seconds after its end. Without `record_operations` nothing is recorded.
    """

    def __init__(
        self,
        node: str,
        term: int,
        max_value_bytes: int,
        retention_s: float,
        record_operations: bool = True,
    ) -> None:
        self._record_factory = RecordFactory(node, term)
        self._max_value_bytes = max_value_bytes
        self._retention_s = retention_s
        self._record_operations = record_operations
        self._operations: dict[str, AnyOperation] = {}
        self._scale_in_of: dict[str, ScaleInOperation] = {}
        self.counters = OperationCounters()
        self.refused = RefusedOperations()

    # -- decisions -------------------------------------------------------------

    def _add(self, operation: Kind) -> Kind:
        self._operations[operation.key] = operation
        self.counters.decided += 1
        if not self._record_operations:
            operation.waive_record()
        return operation

    def _add_scale_ins(self, reasons: Mapping[str, str], wall: float) -> list[ScaleInOperation]:
        operations = []
        for machines in self.refused.batches(reasons, self._max_value_bytes):
            operation = self._add(ScaleInOperation(self._record_factory.scale_in(machines, wall)))
            self._scale_in_of.update(dict.fromkeys(machines, operation))
            operations.append(operation)
        return operations

    def decide_scale_in(self, reasons: Mapping[str, str], wall: float) -> list[ScaleInOperation]:
        """Release machines, given with their reasons; those of other operations are left out."""
        unreleasable = self.machines_of_open_scale_outs()
        new = {
            name: reason
            for name, reason in reasons.items()
            if name not in self._scale_in_of
            and name not in unreleasable
            and self.refused.is_recordable(name)
        }
        return self._add_scale_ins(new, wall)

    def decide_scale_out(self, request: ScaleOutRequest, wall: float) -> ScaleOutOperation:
        """Request machines, under a request name that is this operation's own."""
        return self._add(ScaleOutOperation(self._record_factory.scale_out(request, wall)))

    def decide_cleanup(self, job: str, parts: Iterable[int], wall: float) -> CleanupOperation:
        """Remove parts of an ended job's completion bitmap."""
        return self._add(CleanupOperation(self._record_factory.cleanup(job, parts, wall)))

    def adopt(self, record: OperationRecord, now: float) -> AnyOperation:
        """An operation that an earlier term left open: it is recorded, and completed here."""
        operation = operation_for(record)
        if isinstance(operation, ScaleInOperation):
            for name in operation.record.machines:
                # Two terms can only have decided on one machine where a controller that
                # knows no records led in between; the first decision stands.
                self._scale_in_of.setdefault(name, operation)
            operation.remaining_machines = {
                name: None
                for name in operation.remaining_machines
                if self._scale_in_of[name] is operation
            }
        operation.adopted = True
        operation.record_committed()
        self._operations[operation.key] = operation
        self.counters.adopted += 1
        operation.confirm_if_empty(now)
        return operation

    def supersede_scale_in(self, name: str, now: float) -> None:
        """A later term than the operation's has used the machine: it is not released by it."""
        operation = self._scale_in_of.pop(name)
        operation.remaining_machines.pop(name, None)
        self.counters.superseded += 1
        operation.confirm_if_empty(now)

    # -- lookup ----------------------------------------------------------------

    def open_operations(self) -> list[AnyOperation]:
        """All operations that are not closed, the oldest first."""
        return list(self._operations.values())

    def of_kind(self, kind: type[Kind], *states: OperationState) -> list[Kind]:
        """Operations of a kind in the given states, the oldest first."""
        return [
            operation
            for operation in self._operations.values()
            if isinstance(operation, kind) and operation.state in states
        ]

    def scale_in_of(self, name: str) -> ScaleInOperation | None:
        """The one operation that releases a machine."""
        return self._scale_in_of.get(name)

    def machines_of_open_scale_outs(self) -> set[str]:
        """Machines that a successor could find through an open scale-out.

        They are not released before its record is gone: a successor that repeated the request
        would take them for new ones.
        """
        return {
            name
            for operation in self._operations.values()
            if isinstance(operation, ScaleOutOperation)
            for name in operation.machines
        }

    # -- records ---------------------------------------------------------------

    def operations_to_record(self, limit: int) -> list[AnyOperation]:
        """Operations whose records are to be written, at most `limit`.

        One that was sent without a record gets it later, so that a successor learns of it.
        """
        if not self._record_operations:
            return []
        due = [
            operation
            for operation in self._operations.values()
            if not (operation.stored or operation.record_refused)
            and (operation.state is OperationState.DECIDED or operation.bypasses_record)
        ]
        due.sort(key=lambda operation: operation.bypasses_record)
        return due[:limit]

    def mark_recorded(self, operations: Iterable[AnyOperation], now: float) -> None:
        """The records are committed."""
        for operation in operations:
            operation.record_committed()
            operation.confirm_if_empty(now)

    def refuse(self, operation: AnyOperation, cause: RefusalCause, reason: str) -> None:
        """The record can't be stored: the operation ends unsent, and lets go what it held.

        One that was sent without its record is completed all the same.
        """
        operation.refuse_record()
        self.counters.refused += 1
        self.refused.add(operation, cause, reason)
        if operation.state is OperationState.REFUSED:
            self._forget(operation)

    # -- requests --------------------------------------------------------------

    def bypass_records(self, reasons: Mapping[str, str], wall: float) -> None:
        """Release machines, given with their reasons, before it can be recorded."""
        missing = {
            name: reason for name, reason in reasons.items() if name not in self._scale_in_of
        }
        self._add_scale_ins(missing, wall)
        for name in reasons:
            operation = self._scale_in_of[name]
            if operation.state is OperationState.DECIDED:
                operation.bypass_record()
                self.counters.bypassed += 1

    def release_request(
        self, must_be_released: Callable[[str], bool], only_required: bool
    ) -> ReleaseRequest | None:
        """Machines to release now, those that must go first.

        `only_required`: a leader in doubt of its lease requests these alone.
        """
        sendable = self.of_kind(ScaleInOperation, OperationState.RECORDED, OperationState.SENT)
        due = due_releases(sendable, must_be_released, only_required)
        if not due:
            return None
        operations = {release.operation.key: release.operation for release in due}
        repeated = any([operation.mark_sent() for operation in operations.values()])
        self.counters.count_request(repeated)
        return ReleaseRequest([release.name for release in due], repeated)

    def start_request(self, operation: AnyOperation) -> bool:
        """A scale-out or clean-up is about to be sent; whether it is a repetition."""
        repeated = operation.mark_sent()
        self.counters.count_request(repeated)
        return repeated

    def scale_outs_due(self) -> list[ScaleOutOperation]:
        """Scale-outs to request, for the first time or once more."""
        return self.of_kind(ScaleOutOperation, OperationState.RECORDED, OperationState.SENT)

    def unanswered_scale_outs(self) -> list[ScaleOutOperation]:
        """Scale-outs that are decided, and of which no outcome is known."""
        return self.of_kind(
            ScaleOutOperation,
            OperationState.DECIDED,
            OperationState.RECORDED,
            OperationState.SENT,
        )

    def may_scale_out(self) -> bool:
        """Whether another scale-out may be decided."""
        return may_scale_out(self.unanswered_scale_outs())

    # -- outcomes --------------------------------------------------------------

    def mark_machines_gone(self, names: Iterable[str], now: float) -> None:
        """Machines are proven to be gone."""
        for name in names:
            self.refused.forget_machine(name)
            operation = self._scale_in_of.get(name)
            if operation is None:
                continue
            operation.remaining_machines.pop(name, None)
            if not operation.remaining_machines and operation.state is OperationState.SENT:
                self.mark_confirmed(operation, now)
            operation.confirm_if_empty(now)

    def complete_scale_out(
        self, operation: ScaleOutOperation, machines: list[str], now: float
    ) -> None:
        """The cloud has answered a scale-out: with machines, or with none for good."""
        operation.machines = list(machines)
        self.mark_confirmed(operation, now)

    def withdraw_unsent(self, refused: ScaleOutOperation, now: float) -> None:
        """The cloud has no more of what this one requested: others for the same are over unsent.

        Not so those of earlier terms, which may have been sent.
        """
        for operation in self.of_kind(ScaleOutOperation, OperationState.RECORDED):
            if operation.record.kind == refused.record.kind and not operation.adopted:
                operation.confirm_unsent(now)
                self.counters.withdrawn += 1

    def mark_confirmed(self, operation: AnyOperation, now: float) -> None:
        """An operation that was sent is carried out, or refused for good."""
        operation.confirm(now)
        self.counters.confirmed += 1

    # -- removal of records ----------------------------------------------------

    def operations_to_close(self, now: float, limit: int) -> list[AnyOperation]:
        """Operations whose records are to be removed now, at most `limit`."""
        confirmed = [
            operation
            for operation in self._operations.values()
            if operation.state is OperationState.CONFIRMED
        ]
        return removable(confirmed, self._retention_s, now)[:limit]

    def mark_closed(self, operations: Iterable[AnyOperation]) -> None:
        """The records are removed."""
        for operation in operations:
            operation.close()
            self.counters.closed += 1
            self._forget(operation)

    def _forget(self, operation: AnyOperation) -> None:
        self._operations.pop(operation.key, None)
        if isinstance(operation, ScaleInOperation):
            for name in operation.record.machines:
                if self._scale_in_of.get(name) is operation:
                    del self._scale_in_of[name]
