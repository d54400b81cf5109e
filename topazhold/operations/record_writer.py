"""Writes the records of a term's operations to the key-value store and removes them.

Records are written on the precondition that the term still lasts, so that none can be written
after a successor is elected. A record that cannot be stored is refused without holding up the
others.
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
    """An operation whose record is to be written, and the encoded record."""

    operation: AnyOperation
    value: dict[str, Any]


class RecordWriter:
    """Keeps the stored records of a term in sync with its operation log.

    Every method raises `LeadershipLostError` if the store shows that the term is over.
    """

    def __init__(self, context: Term, operation_log: OperationLog) -> None:
        self._context = context
        self._operation_log = operation_log
        self._write_lock = curio.Lock()  # prevents concurrent writes of a record
        self._unconfirmed: dict[str, AnyOperation] = {}  # outcome of the write unknown

    # -- writing ---------------------------------------------------------------

    async def write_due(self) -> None:
        """Write the records that are due.

        Records stay due while the store is unavailable; those it cannot accept are refused.
        """
        context = self._context
        limit = min(context.max_txn_ops, max(1, MAX_TXN_VALUE_BYTES // context.max_value_bytes))
        async with self._write_lock:
            while operations := self._operation_log.operations_to_record(limit):
                pending = self._storable(operations)
                if pending and not await self._write(pending):
                    return

    def _storable(self, operations: list[AnyOperation]) -> list[PendingRecord]:
        """Return the records that can be stored; refuse the operations of the others."""
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
        """Write records in one transaction; return whether a further one may be tried at once."""
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
            # The write may still be applied, so the next attempt uses the same key.
            self._unconfirmed.update({operation.key: operation for operation in operations})
            log.debug("outcome of writing operation records unknown: %s", exc)
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
        """Write each record in its own transaction to find those that the store rejects."""
        if len(pending) == 1:
            operation = pending[0].operation
            self._refuse(operation, RefusalCause.UNSTORABLE, f"refused by the store: {reason}")
            return True
        resolved = [await self._write([record]) for record in pending]
        return all(resolved)

    async def _resolve_conflicts(self, operations: list[AnyOperation]) -> bool:
        """Resolve conflicts on keys that exist already; return whether all were resolved.

        The keys were written by an earlier attempt that got no response, or by another writer.
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
            return False  # removed in the meantime: the record is written again
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
        """Remove the records of ended operations in one transaction."""
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
                log.debug("%d operation records not removed: %s", len(stored), exc)
                return
        for operation in stored:
            self._unconfirmed.pop(operation.key, None)
        self._operation_log.mark_closed(due)


def _token(data: Any) -> Any:
    return data.get("by") if isinstance(data, dict) else None
