"""Clean-up: removes the completion bitmaps of large jobs that are over.

Their parts may take several transactions to remove. Then the job and its parts are recorded
first, so that a successor goes on where this leader ended. What a user's cancellation left
behind while nobody led is found by a read of all parts when a term begins.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable

import curio

from topazhold.core import records
from topazhold.core.jobs import Job
from topazhold.core.leadership import LEADER_KEY
from topazhold.interfaces.store import USER_PRIORITY, Precondition
from topazhold.interfaces.store_errors import KeyValueStoreError, PreconditionFailedError
from topazhold.interfaces.term import LeadershipLostError, Term
from topazhold.operations.cloud_operations import CleanupOperation, OperationState
from topazhold.operations.fenced_executor import FencedExecutor
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: States of an operation that is not carried out yet.
UNFINISHED_STATES = (OperationState.DECIDED, OperationState.RECORDED, OperationState.SENT)


class CleanupExecutor:
    """Removes what jobs that are over have left in the key-value store."""

    def __init__(self, context: Term, executor: FencedExecutor) -> None:
        self._context = context
        self._executor = executor
        self._swept = False

    def on_job_ended(self, job: Job) -> None:
        """A job is over: decide to remove its parts, if it has any."""
        self._decide(job.id, range(1, records.part_count(job)))

    def _decide(self, job_id: str, parts: range | list[int]) -> None:
        if not parts or any(
            operation.record.job == job_id
            for operation in self._executor.operation_log.of_kind(
                CleanupOperation, *UNFINISHED_STATES
            )
        ):
            return
        operation = self._executor.operation_log.decide_cleanup(job_id, parts, time.time())
        if len(parts) < self._context.max_txn_ops and operation.state is OperationState.DECIDED:
            operation.waive_record()  # a single transaction is atomic

    async def loop(self) -> None:
        """Clean up once every heartbeat interval for as long as the term lasts."""
        while True:
            await curio.sleep(self._context.heartbeat_interval_s)
            if not self._swept:
                self._swept = await self._attempt(self._sweep)
            if (
                self._executor.operation_log.of_kind(CleanupOperation, *UNFINISHED_STATES)
                and await self._executor.verify_leadership()
            ):
                await self._executor.write_records()
                await self._attempt(self._remove_all)

    async def _attempt(self, action: Callable[[], Awaitable[None]]) -> bool:
        """Whether the key-value store let the work be done."""
        try:
            await action()
        except KeyValueStoreError as exc:
            log.debug("clean-up waits: %s", exc)
            return False
        return True

    async def _sweep(self) -> None:
        """Decide to remove the parts of jobs that are not live; one read of all parts."""
        store = self._context.store
        entries, _ = await store.entries(records.PART_PREFIX, USER_PRIORITY)
        parts: dict[str, list[int]] = {}
        for entry in entries:
            job_id, _, number = entry.key[len(records.PART_PREFIX) :].rpartition("/")
            if job_id and number.isdecimal() and job_id not in self._context.scheduler.jobs:
                parts.setdefault(job_id, []).append(int(number))
        for job_id, numbers in parts.items():
            if await store.get(records.live_key(job_id), USER_PRIORITY) is None:
                log.info("%d parts of %s were left behind", len(numbers), job_id)
                self._decide(job_id, numbers)

    async def _remove_all(self) -> None:
        operation_log = self._executor.operation_log
        for operation in operation_log.of_kind(
            CleanupOperation, OperationState.RECORDED, OperationState.SENT
        ):
            if not await self._executor.lease_confirmed():
                return
            operation_log.start_request(operation)
            try:
                await self._remove(operation.record.job, operation.record.parts)
            except PreconditionFailedError as exc:
                if LEADER_KEY in exc.keys:
                    raise LeadershipLostError("the leadership mark has changed") from None
                # Its parts are in use: there is nothing to remove, now or later.
                log.error("clean-up %s met a live job: %s", operation.key, exc)
            operation_log.mark_confirmed(operation, await curio.clock())

    async def _remove(self, job_id: str, parts: list[int]) -> None:
        """Remove parts, as many at a time as a transaction takes; never a live job's."""
        context = self._context
        conditions = [*context.preconditions(), Precondition(records.live_key(job_id), 0)]
        for start in range(0, len(parts), context.max_txn_ops):
            batch = parts[start : start + context.max_txn_ops]
            drops = [wire.delete(records.part_key(job_id, part)) for part in batch]
            await context.store.compare_and_swap(conditions, drops, USER_PRIORITY)
