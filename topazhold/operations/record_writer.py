"""Writes the records of a term's operations to the key-value store, and removes them.

A record is written on the precondition that the leadership holds, so that none of a term can
be written once its successor is elected. One that can't be stored is refused by itself, and
the others go on.
"""

from __future__ import annotations

import logging
from typing import Any, NamedTuple

import curio

from topazhold.interfaces.store import DECISION_PRIORITY, USER_PRIORITY, Precondition
from topazhold.interfaces.store_errors import (
    KeyValueStoreError,
    OutcomeUnknownError,
    PreconditionFailedError,
    StoreUnavailableError,
)
from topazhold.interfaces.term import MAX_TXN_VALUE_BYTES, LeadershipLostError, Term
from topazhold.operations.cloud_operations import AnyOperation
from topazhold.operations.descriptions import describe
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.records import InvalidRecordError, storable_value
from topazhold.operations.refused_operations import RefusalCause
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)


class PendingRecord(NamedTuple):
    """A record that is to be written, as it is stored."""

    operation: AnyOperation
    value: dict[str, Any]


class RecordWriter:
    """Keeps the stored records of a term in step with its operation log.

    Every method raises `LeadershipLostError` where another leader shows.
    """

    def __init__(self, context: Term, operation_log: OperationLog) -> None:
        self._context = context
        self._operation_log = operation_log
        self._write_lock = curio.Lock()  # so that a record is put once at a time
        self._unconfirmed: dict[str, AnyOperation] = {}  # whose records may have been written

    # -- writing ---------------------------------------------------------------

    async def write_due(self) -> None:
        """Write the records that are due.

        What the store does not take now stays due; what it can't take ever is refused.
        """
        context = self._context
        limit = min(context.max_txn_ops, max(1, MAX_TXN_VALUE_BYTES // context.max_value_bytes))
        async with self._write_lock:
            while operations := self._operation_log.operations_to_record(limit):
                pending = self._storable(operations)
                if pending and not await self._write(pending):
                    return

    def _storable(self, operations: list[AnyOperation]) -> list[PendingRecord]:
        """The records that can be stored; the operations of the others are refused."""
        pending = []
        for operation in operations:
            try:
                value = storable_value(operation.record, self._context.max_value_bytes)
            except InvalidRecordError as exc:
                self._refuse(operation, RefusalCause.UNSTORABLE, str(exc))
            else:
                pending.append(PendingRecord(operation, value))
        return pending

    async def _write(self, pending: list[PendingRecord]) -> bool:
        """One transaction; whether one more may settle what it left."""
        context = self._context
        operations = [record.operation for record in pending]
        conditions = context.preconditions() + [
            Precondition(operation.key, 0) for operation in operations
        ]
        puts = [wire.put(record.operation.key, record.value) for record in pending]
        try:
            await context.store.compare_and_swap(conditions, puts, DECISION_PRIORITY)
        except PreconditionFailedError as exc:
            self._require_leadership(exc)
            return await self._resolve_conflicts(
                [each for each in operations if each.key in exc.keys]
            )
        except OutcomeUnknownError as exc:
            # It may yet be carried out: the operation is recorded under the same key again.
            self._unconfirmed.update({operation.key: operation for operation in operations})
            log.debug("operations perhaps not recorded: %s", exc)
            return False
        except StoreUnavailableError as exc:
            if exc.malformed:
                return await self._write_individually(pending, str(exc))
            log.debug("operations not recorded: %s", exc)
            return False
        except KeyValueStoreError as exc:
            log.debug("operations not recorded: %s", exc)
            return False
        self._mark_recorded(operations, await curio.clock())
        return True

    async def _write_individually(self, pending: list[PendingRecord], reason: str) -> bool:
        """The store takes a transaction in no case: each record goes alone, to find which."""
        if len(pending) == 1:
            operation = pending[0].operation
            self._refuse(operation, RefusalCause.UNSTORABLE, f"refused by the store: {reason}")
            return True
        resolved = [await self._write([record]) for record in pending]
        return all(resolved)

    async def _resolve_conflicts(self, operations: list[AnyOperation]) -> bool:
        """Keys that exist already: an earlier try without an answer wrote them, or somebody else.

        Whether all of them could be settled.
        """
        resolved = [await self._resolve_conflict(operation) for operation in operations]
        return bool(resolved) and all(resolved)

    async def _resolve_conflict(self, operation: AnyOperation) -> bool:
        try:
            entry = await self._context.store.get(operation.key, DECISION_PRIORITY)
        except KeyValueStoreError as exc:
            log.debug("record %s not read: %s", operation.key, exc)
            return False
        if entry is None:
            return False  # removed since: it is put again
        if _token(entry.data) == operation.record.by:
            self._mark_recorded([operation], await curio.clock())
        else:
            self._refuse(operation, RefusalCause.KEY_TAKEN, "its key is taken by another record")
        return True

    def _mark_recorded(self, operations: list[AnyOperation], now: float) -> None:
        self._operation_log.mark_recorded(operations, now)
        for operation in operations:
            self._unconfirmed.pop(operation.key, None)

    def _refuse(self, operation: AnyOperation, cause: RefusalCause, reason: str) -> None:
        self._operation_log.refuse(operation, cause, reason)
        self._unconfirmed.pop(operation.key, None)
        kind, _ = describe(operation.record)
        log.error("operation %s refused (%s): %s", operation.key, kind, reason)

    def _require_leadership(self, exc: PreconditionFailedError) -> None:
        if any(condition.key in exc.keys for condition in self._context.preconditions()):
            raise LeadershipLostError("the leadership mark has changed") from None

    # -- removal ---------------------------------------------------------------

    async def remove_due(self) -> None:
        """Remove the records of operations that are over, in one transaction."""
        now = await curio.clock()
        due = self._operation_log.operations_to_close(now, self._context.max_txn_ops)
        stored = [
            operation for operation in due if operation.stored or operation.key in self._unconfirmed
        ]
        if stored:
            drops = [wire.delete(operation.key) for operation in stored]
            try:
                await self._context.store.compare_and_swap(
                    self._context.preconditions(), drops, USER_PRIORITY
                )
            except PreconditionFailedError:
                raise LeadershipLostError("the leadership mark has changed") from None
            except KeyValueStoreError as exc:
                log.debug("%d records stay: %s", len(stored), exc)
                return
        for operation in stored:
            self._unconfirmed.pop(operation.key, None)
        self._operation_log.mark_closed(due)


def _token(data: Any) -> Any:
    return data.get("by") if isinstance(data, dict) else None
