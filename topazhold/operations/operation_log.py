"""The open cloud operations of one term, and the next step that is due for each.

The log does no I/O and reads no clock: the executors query it for due steps, carry them out and
report the outcome. Every release goes through it, so that only one operation releases a machine.

Times are in seconds: `now` of the monotonic clock, `wall` of the wall clock.
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
    """The open operations of one term, both decided and adopted ones.

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
        """Decide to release machines for the given reasons, except those of open operations."""
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
        """Decide to request machines, under a unique request name."""
        return self._add(ScaleOutOperation(self._record_factory.scale_out(request, wall)))

    def decide_cleanup(self, job: str, parts: Iterable[int], wall: float) -> CleanupOperation:
        """Decide to remove parts of an ended job's completion bitmap."""
        return self._add(CleanupOperation(self._record_factory.cleanup(job, parts, wall)))

    def adopt(self, record: OperationRecord, now: float) -> AnyOperation:
        """Adopt a recorded operation that an earlier term left open, and return it."""
        operation = operation_for(record)
        if isinstance(operation, ScaleInOperation):
            for name in operation.record.machines:
                # Two terms can only have released the same machine if a leader of a version
                # without records came between them; the first decision stands.
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
        """Drop a machine from its scale-in because a later term has placed tasks on it."""
        operation = self._scale_in_of.pop(name)
        operation.remaining_machines.pop(name, None)
        self.counters.superseded += 1
        operation.confirm_if_empty(now)

    # -- lookup ----------------------------------------------------------------

    def open_operations(self) -> list[AnyOperation]:
        """Return all operations that are not closed, the oldest first."""
        return list(self._operations.values())

    def of_kind(self, kind: type[Kind], *states: OperationState) -> list[Kind]:
        """Return the operations of a kind in the given states, the oldest first."""
        return [
            operation
            for operation in self._operations.values()
            if isinstance(operation, kind) and operation.state in states
        ]

    def scale_in_of(self, name: str) -> ScaleInOperation | None:
        """Return the operation that releases a machine, or None."""
        return self._scale_in_of.get(name)

    def machines_of_open_scale_outs(self) -> set[str]:
        """Return the machines that open scale-outs have obtained.

        They are not released before the scale-out's record is removed: a successor would repeat
        the request and take the returned machines for new ones.
        """
        return {
            name
            for operation in self._operations.values()
            if isinstance(operation, ScaleOutOperation)
            for name in operation.machines
        }

    # -- records ---------------------------------------------------------------

    def operations_to_record(self, limit: int) -> list[AnyOperation]:
        """Return at most `limit` operations whose records are to be written.

        An operation that bypassed its record is recorded later, so that a successor finds it.
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
        """Mark operations whose records are committed."""
        for operation in operations:
            operation.record_committed()
            operation.confirm_if_empty(now)

    def refuse(self, operation: AnyOperation, cause: RefusalCause, reason: str) -> None:
        """Refuse an operation whose record cannot be stored; it is dropped without being sent.

        An operation that bypassed its record is still completed.
        """
        operation.refuse_record()
        self.counters.refused += 1
        self.refused.add(operation, cause, reason)
        if operation.state is OperationState.REFUSED:
            self._forget(operation)

    # -- requests --------------------------------------------------------------

    def bypass_records(self, reasons: Mapping[str, str], wall: float) -> None:
        """Decide to release machines for the given reasons without waiting for the records."""
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
        """Return the next release request, or None; required releases come first.

        With `only_required`, for a leader in doubt of its lease, it contains no others.
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
        """Mark an operation as sent before each request; return whether it was sent before."""
        repeated = operation.mark_sent()
        self.counters.count_request(repeated)
        return repeated

    def scale_outs_due(self) -> list[ScaleOutOperation]:
        """Return the scale-outs to request, for the first time or again."""
        return self.of_kind(ScaleOutOperation, OperationState.RECORDED, OperationState.SENT)

    def unanswered_scale_outs(self) -> list[ScaleOutOperation]:
        """Return the scale-outs whose outcome is not known yet."""
        return self.of_kind(
            ScaleOutOperation,
            OperationState.DECIDED,
            OperationState.RECORDED,
            OperationState.SENT,
        )

    def may_scale_out(self) -> bool:
        """Return whether another scale-out may be decided."""
        return may_scale_out(self.unanswered_scale_outs())

    # -- outcomes --------------------------------------------------------------

    def mark_machines_gone(self, names: Iterable[str], now: float) -> None:
        """Remove machines that are proven to be gone from their scale-ins."""
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
        """Confirm a scale-out with the machines it got; none if the cloud refused it."""
        operation.machines = list(machines)
        self.mark_confirmed(operation, now)

    def withdraw_unsent(self, refused: ScaleOutOperation, now: float) -> None:
        """Withdraw the unsent scale-outs for the same kind of machine as a refused one.

        Adopted scale-outs stay open: an earlier term may have sent them.
        """
        for operation in self.of_kind(ScaleOutOperation, OperationState.RECORDED):
            if operation.record.kind == refused.record.kind and not operation.adopted:
                operation.confirm_unsent(now)
                self.counters.withdrawn += 1

    def mark_confirmed(self, operation: AnyOperation, now: float) -> None:
        """Confirm a sent operation that was carried out or permanently refused."""
        operation.confirm(now)
        self.counters.confirmed += 1

    # -- removal of records ----------------------------------------------------

    def operations_to_close(self, now: float, limit: int) -> list[AnyOperation]:
        """Return at most `limit` operations whose records are to be removed now."""
        confirmed = [
            operation
            for operation in self._operations.values()
            if operation.state is OperationState.CONFIRMED
        ]
        return removable(confirmed, self._retention_s, now)[:limit]

    def mark_closed(self, operations: Iterable[AnyOperation]) -> None:
        """Close operations whose records are removed."""
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
