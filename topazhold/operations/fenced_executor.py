"""Records a term's cloud operations, and says whether they may be sent just now.

A record is written on the precondition that the leadership holds, so that none of a term can
be written once its successor is elected; and the successor reads all records before it decides
anything.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from typing import Any

import curio

from topazhold.core.leadership import LEADER_KEY
from topazhold.interfaces.store import (
    DECISION_PRIORITY,
    LEASE_PRIORITY,
    USER_PRIORITY,
    Precondition,
)
from topazhold.interfaces.store_errors import (
    KeyValueStoreError,
    OutcomeUnknownError,
    PreconditionFailedError,
)
from topazhold.interfaces.term import TXN_BYTES, LeadershipLostError, Term
from topazhold.operations.cloud_operations import AnyOperation
from topazhold.operations.lease_confidence import LeaseConfidence, LeaseConfidenceTracker
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.records import InvalidRecordError, write_record
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: A longer time between two checks of the clocks is taken for a pause; checks are due after a
#: fifth of it. In leases of a controller.
GAP_CONTROLLER_LEASES = 0.5
CHECK_CONTROLLER_LEASES = 0.1
#: What must be left of the lease when an operation is decided or sent, in leases.
MARGIN_CONTROLLER_LEASES = 0.05
#: Heartbeat intervals after a pause before a machine may be released without a record: what was
#: known of the machines is old.
STALE_HEARTBEATS = 2.5
#: Heartbeat intervals between two removals of records.
CLOSING_HEARTBEATS = 1.0


class FencedExecutor:
    """Fences the operations of a term: records first, and no request in doubt of the lease.

    `controller_lease_s` is the duration of a controller's lease in seconds. Methods that reach
    the key-value store raise `LeadershipLostError` where another leader shows.
    """

    def __init__(
        self,
        context: Term,
        operation_log: OperationLog,
        controller_lease_s: float,
        now: float,
    ) -> None:
        self._context = context
        self._controller_lease_s = controller_lease_s
        self.operation_log = operation_log
        self.lease_confidence = LeaseConfidenceTracker(
            GAP_CONTROLLER_LEASES * controller_lease_s, now, time.time()
        )
        self._recording = curio.Lock()  # so that a record is put once at a time
        self._unconfirmed: dict[str, AnyOperation] = {}  # whose records may have been written

    # -- lease -----------------------------------------------------------------

    def begin(self, now: float) -> None:
        """The term is loaded; from here on the clocks are checked."""
        self.lease_confidence.begin(now, time.time())

    async def lease_confirmed(self) -> bool:
        """Check the clocks; whether operations may be decided and sent just now."""
        now = await curio.clock()
        lease_is_valid = self._context.lease_is_valid(
            now + MARGIN_CONTROLLER_LEASES * self._controller_lease_s
        )
        pauses = self.lease_confidence.pauses
        confidence = self.lease_confidence.check(now, time.time(), lease_is_valid)
        if self.lease_confidence.pauses != pauses:
            log.info(
                "leader of term %d was paused: no operations until its lease is confirmed",
                self._context.term,
            )
        return confidence is LeaseConfidence.CONFIRMED

    async def may_act(self) -> bool:
        """Whether the lease holds; where in doubt, the leadership is looked up."""
        if await self.lease_confirmed():
            return True
        asked_at = await curio.clock()
        try:
            entry = await self._context.store.get(LEADER_KEY, LEASE_PRIORITY)
        except KeyValueStoreError as exc:
            log.debug("leadership not confirmed: %s", exc)
            return False
        if entry is None or entry.revision != self._context.revision:
            self.lease_confidence.lose()
            raise LeadershipLostError("another leader was found")
        self.lease_confidence.confirm(asked_at)
        return await self.lease_confirmed()

    def may_bypass_records(self, now: float) -> bool:
        """Whether what is known of the machines is fresh enough for an unrecorded release."""
        since_pause_s = now - self.lease_confidence.paused_at
        return since_pause_s > STALE_HEARTBEATS * self._context.heartbeat_interval_s

    async def watch_clocks(self) -> None:
        """Check often, so that a pause shows before the next operation."""
        while True:
            await curio.sleep(CHECK_CONTROLLER_LEASES * self._controller_lease_s)
            await self.lease_confirmed()

    # -- records ---------------------------------------------------------------

    async def record(self) -> None:
        """Write the records that are due; those that can't be written stay due."""
        context = self._context
        limit = min(context.txn_ops, max(1, TXN_BYTES // context.value_limit))
        async with self._recording:
            while operations := self.operation_log.to_record(limit):
                if not await self._record(operations):
                    return

    async def _record(self, operations: list[AnyOperation]) -> bool:
        """One transaction; whether the records are known to be there."""
        conditions = self._context.preconditions() + [
            Precondition(operation.key, 0) for operation in operations
        ]
        try:
            puts = [
                wire.put(operation.key, write_record(operation.record)) for operation in operations
            ]
            await self._context.store.compare_and_swap(conditions, puts, DECISION_PRIORITY)
        except InvalidRecordError as exc:
            log.error("operation not recorded: %s", exc)
            return False
        except PreconditionFailedError as exc:
            if LEADER_KEY in exc.keys:
                self.lease_confidence.lose()
                raise LeadershipLostError("the leadership mark has changed") from None
            await self._read_back(
                operation for operation in operations if operation.key in exc.keys
            )
            return False
        except OutcomeUnknownError as exc:
            # It may yet be carried out: the operation is recorded under the same key again.
            self._unconfirmed.update({operation.key: operation for operation in operations})
            log.debug("operations perhaps not recorded: %s", exc)
            return False
        except KeyValueStoreError as exc:
            log.debug("operations not recorded: %s", exc)
            return False
        self._recorded(operations, await curio.clock())
        return True

    def _recorded(self, operations: list[AnyOperation], now: float) -> None:
        self.operation_log.recorded(operations, now)
        for operation in operations:
            self._unconfirmed.pop(operation.key, None)

    async def _read_back(self, operations: Iterable[AnyOperation]) -> None:
        """Keys that exist already: an earlier try without an answer wrote them."""
        for operation in operations:
            try:
                entry = await self._context.store.get(operation.key, DECISION_PRIORITY)
            except KeyValueStoreError as exc:
                log.debug("record %s not read: %s", operation.key, exc)
                continue
            if entry is not None and _token(entry.data) == operation.record.by:
                self._recorded([operation], await curio.clock())
            else:
                log.error("key %s is taken by another record", operation.key)

    async def close_loop(self) -> None:
        """Remove the records of operations that are over, once every heartbeat interval."""
        while True:
            await curio.sleep(CLOSING_HEARTBEATS * self._context.heartbeat_interval_s)
            await self.close()

    async def close(self) -> None:
        """Remove the records that are due, in one transaction."""
        now = await curio.clock()
        due = self.operation_log.to_close(now, self._context.txn_ops)
        stored = [
            operation for operation in due if operation.stored or operation.key in self._unconfirmed
        ]
        if stored:
            drops = [wire.drop(operation.key) for operation in stored]
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
        self.operation_log.closed(due)


def _token(data: Any) -> Any:
    return data.get("by") if isinstance(data, dict) else None
