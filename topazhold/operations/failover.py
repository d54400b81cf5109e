"""Failover: a new leader adopts and completes the operations that earlier terms left open.

They are read before any new decision. A machine of an open scale-in is released even if it
still sends heartbeats. An open scale-out is requested again under the same request name.
"""

from __future__ import annotations

import logging

from topazhold.core.cluster_state import ATTEMPTS_PER_TERM
from topazhold.core.scheduler import Scheduler
from topazhold.interfaces.store import LEASE_PRIORITY
from topazhold.interfaces.term import Term
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.records import (
    OPERATION_PREFIX,
    InvalidRecordError,
    OperationRecord,
    ScaleInRecord,
    decode_record,
)
from topazhold.wire.key_value_store import Entry

log = logging.getLogger(__name__)


async def load_operations(context: Term) -> list[Entry]:
    """Read all stored operations. Raises KeyValueStoreError."""
    entries, _ = await context.store.entries(OPERATION_PREFIX, LEASE_PRIORITY)
    return entries


def rebuild_operations(
    scheduler: Scheduler, operation_log: OperationLog, entries: list[Entry], now: float
) -> None:
    """Adopt all stored operations; call after the scheduler's jobs and intents are rebuilt."""
    for record in _decode_entries(entries, operation_log):
        operation = operation_log.adopt(record, now)
        log.info("adopted operation %s of term %d", operation.key, record.term)
        if isinstance(record, ScaleInRecord):
            _adopt_scale_in(scheduler, operation_log, record, now)


def _decode_entries(entries: list[Entry], operation_log: OperationLog) -> list[OperationRecord]:
    """Decode the records of the entries; malformed ones are logged and stay in the store."""
    decoded = []
    for entry in entries:
        try:
            decoded.append(decode_record(entry.key, entry.data))
        except InvalidRecordError as exc:
            operation_log.counters.unreadable += 1
            log.error("%s unreadable: %s", entry.key, exc)
    return decoded


def _adopt_scale_in(
    scheduler: Scheduler, operation_log: OperationLog, record: ScaleInRecord, now: float
) -> None:
    """Release the machines of a scale-in, except those that a later term has used."""
    for name in record.machines:
        if operation_log.scale_in_of(name) is None:
            continue
        if _used_since(scheduler, name, record.term):
            # Only a leader of a version without records can have placed tasks there. They must
            # not be lost to a release that it could not know of.
            log.info("release of %s superseded: a later term has placed tasks on it", name)
            operation_log.supersede_scale_in(name, now)
            continue
        machine = scheduler.add_machine(name, "", False, "", now)
        scheduler.release(machine, f"return of term {record.term}", now)


def _used_since(scheduler: Scheduler, name: str, term: int) -> bool:
    """Return whether a term later than `term` has placed tasks on the machine."""
    machine = scheduler.machines.get(name)
    return machine is not None and any(
        attempt.attempt_number // ATTEMPTS_PER_TERM > term for attempt in machine.attempts.values()
    )
