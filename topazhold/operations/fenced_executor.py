"""The holder of the duties: doubts itself, records its orders, closes them.

A record goes out under the leadership guard, so that no record of a term can be written once
its successor is elected; and the successor reads all records before it decides anything.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from typing import Any

import curio

from topazhold.control.key_value_store import (
    DECISION_PRIORITY,
    LEASE_PRIORITY,
    USER_PRIORITY,
    Precondition,
)
from topazhold.control.store_errors import (
    KeyValueStoreError,
    OutcomeUnknownError,
    PreconditionFailedError,
)
from topazhold.control.term_context import TXN_BYTES, LeadershipLostError, TermContext
from topazhold.core.leadership import LEADER_KEY
from topazhold.operations.lease_confidence import LeaseConfidence, LeaseConfidenceTracker
from topazhold.operations.operation_log import AnyOperation, OperationLog
from topazhold.operations.records import InvalidRecordError, write_record
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: A longer time between two looks at the clocks is taken for a pause; looks are due after a
#: fifth of it. Shares of a lease's time.
GAP_CONTROLLER_LEASES = 0.5
LOOK_CONTROLLER_LEASES = 0.1
#: The lease must have so much of its time left when an order is decided or sent.
MARGIN_CONTROLLER_LEASES = 0.05
#: After a pause, machines are heard for so many heartbeat intervals before one is released
#: without a record: what was known of them is old.
HEARING_HEARTBEATS = 2.5
#: Report periods between two looks for records to remove.
CLOSING_HEARTBEATS = 1.0


class FencedExecutor:
    """What all duties of a term need of the state service."""

    def __init__(
        self,
        context: TermContext,
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
        self._recording = curio.Lock()  # several duties record; each order is put once at a time
        self._unconfirmed: dict[str, AnyOperation] = {}  # whose records may have been written

    # -- doubt -----------------------------------------------------------------

    def begin(self, now: float) -> None:
        """The term is loaded; from here on the clocks are looked at."""
        self.lease_confidence.begin(now, time.time())

    async def look(self) -> bool:
        """Look at the clocks; whether orders may be decided and sent just now."""
        now = await curio.clock()
        lease_is_valid = self._context.lease_is_valid(
            now + MARGIN_CONTROLLER_LEASES * self._controller_lease_s
        )
        pauses = self.lease_confidence.pauses
        lease_confidence = self.lease_confidence.look(now, time.time(), lease_is_valid)
        if self.lease_confidence.pauses != pauses:
            log.info("holder of term %d was paused: no orders until confirmed", self._context.term)
        return lease_confidence is LeaseConfidence.CONFIRMED

    async def may_act(self) -> bool:
        """Whether this is the holder; where in doubt, the leadership is looked up."""
        if await self.look():
            return True
        asked_at = await curio.clock()
        try:
            entry = await self._context.store.get(LEADER_KEY, LEASE_PRIORITY)
        except KeyValueStoreError as exc:
            log.debug("leadership not confirmed: %s", exc)
            return False
        if entry is None or entry.revision != self._context.revision:
            self.lease_confidence.lose()
            raise LeadershipLostError("another holder of the duties was found")
        self.lease_confidence.confirm(asked_at)
        return await self.look()

    def may_force(self, now: float) -> bool:
        """Whether what is known of the machines is fresh enough for a forced release."""
        heard_s = now - self.lease_confidence.paused_at
        return heard_s > HEARING_HEARTBEATS * self._context.heartbeat_interval_s

    async def watch_clocks(self) -> None:
        """Look often, so that a pause shows before the next order."""
        while True:
            await curio.sleep(LOOK_CONTROLLER_LEASES * self._controller_lease_s)
            await self.look()

    # -- records ---------------------------------------------------------------

    async def record(self) -> None:
        """Write the records that are due; orders that fail stay as they are."""
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
            log.error("order not recorded: %s", exc)
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
            # It may yet be carried out: the order stays, and is recorded under the same key.
            self._unconfirmed.update({operation.key: operation for operation in operations})
            log.debug("orders perhaps not recorded: %s", exc)
            return False
        except KeyValueStoreError as exc:
            log.debug("orders not recorded: %s", exc)
            return False
        self._known(operations, await curio.clock())
        return True

    def _known(self, operations: Iterable[AnyOperation], now: float) -> None:
        operations = list(operations)
        self.operation_log.recorded(operations, now)
        for operation in operations:
            self._unconfirmed.pop(operation.key, None)

    async def _read_back(self, operations: Iterable[AnyOperation]) -> None:
        """Keys that are there already: an earlier try without an answer wrote them."""
        for operation in operations:
            try:
                entry = await self._context.store.get(operation.key, DECISION_PRIORITY)
            except KeyValueStoreError as exc:
                log.debug("record %s not read: %s", operation.key, exc)
                continue
            if entry is not None and _token(entry.data) == operation.record.by:
                self._known([operation], await curio.clock())
            else:
                log.error("key %s is taken by another record", operation.key)

    async def close_loop(self) -> None:
        """Remove the records of orders that are over."""
        while True:
            await curio.sleep(CLOSING_HEARTBEATS * self._context.heartbeat_interval_s)
            await self.close()

    async def close(self) -> None:
        """Remove records that are due, in one transaction."""
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
