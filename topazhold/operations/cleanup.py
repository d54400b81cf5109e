"""Clean-up: removes the completion bitmaps of large jobs that have ended.

If the parts of a bitmap do not fit one transaction, the job and its parts are recorded first, so
that a successor can complete the removal. Parts of jobs that users cancelled while there was no
leader are found by reading all parts when a term begins.
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

#: States of an operation that is not yet carried out.
UNFINISHED_STATES = (OperationState.DECIDED, OperationState.RECORDED, OperationState.SENT)


class CleanupExecutor:
    """Removes leftover data of ended jobs from the key-value store."""

    def __init__(self, context: Term, executor: FencedExecutor) -> None:
        self._context = context
        self._executor = executor
        self._swept = False

    def on_job_ended(self, job: Job) -> None:
        """Decide to remove the bitmap parts of an ended job, if it has any."""
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
        """Run an action; return false if a request to the key-value store failed."""
        try:
            await action()
        except KeyValueStoreError as exc:
            log.debug("clean-up deferred: %s", exc)
            return False
        return True

    async def _sweep(self) -> None:
        """Read all parts and decide to remove those of jobs that are not live."""
        store = self._context.store
        entries, _ = await store.entries(records.PART_PREFIX, USER_PRIORITY)
        parts: dict[str, list[int]] = {}
        for entry in entries:
            job_id, _, number = entry.key[len(records.PART_PREFIX) :].rpartition("/")
            if job_id and number.isdecimal() and job_id not in self._context.scheduler.jobs:
                parts.setdefault(job_id, []).append(int(number))
        for job_id, numbers in parts.items():
            if await store.get(records.live_key(job_id), USER_PRIORITY) is None:
                log.info("found %d leftover parts of ended job %s", len(numbers), job_id)
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
                # A live job uses the parts: this clean-up has nothing to remove, now or later.
                log.error("clean-up %s abandoned, its job is live: %s", operation.key, exc)
            operation_log.mark_confirmed(operation, await curio.clock())

    async def _remove(self, job_id: str, parts: list[int]) -> None:
        """Remove parts in batches that fit a transaction, on condition that the job is not live."""
        context = self._context
        conditions = [*context.preconditions(), Precondition(records.live_key(job_id), 0)]
        for start in range(0, len(parts), context.max_txn_ops):
            batch = parts[start : start + context.max_txn_ops]
            drops = [wire.delete(records.part_key(job_id, part)) for part in batch]
            await context.store.compare_and_swap(conditions, drops, USER_PRIORITY)
