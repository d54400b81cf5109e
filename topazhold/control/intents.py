"""Intents: the tasks that may run on a machine, written to the store before any launch."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from typing import Any

import curio

from topazhold.control.term_context import TermContext
from topazhold.core import records
from topazhold.core.intent_shards import IntentShard
from topazhold.core.task_attempts import TaskAttempt
from topazhold.interfaces.store import DECISION_PRIORITY, Precondition
from topazhold.interfaces.store_errors import (
    KeyValueStoreError,
    OutcomeUnknownError,
    PreconditionFailedError,
    StoreUnavailableError,
    UnreadableAnswerError,
)
from topazhold.interfaces.term import MAX_TXN_VALUE_BYTES
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: Maximum number of preconditions of a transaction, per put or delete that it may have.
MAX_PRECONDITIONS_PER_OPERATION = 4
#: Bytes that all preconditions of a transaction may take beside `MAX_TXN_VALUE_BYTES` of values,
#: and the maximum size of one precondition.
MAX_PRECONDITIONS_BYTES = 15 * 1024
MAX_PRECONDITION_BYTES = 80

#: Shard values to write, by shard name: the expected revision and the new value.
ShardValues = dict[str, tuple[int, dict[str, Any]]]


class Intents:
    """Writes the intents of plans and removes those of machines that no longer exist."""

    def __init__(self, context: TermContext) -> None:
        self._context = context
        # Values that fit a transaction, and values planned for one: fewer than
        # `max_txn_ops`, since a shard may be split.
        self._max_values = max(
            1, min(context.max_txn_ops, MAX_TXN_VALUE_BYTES // context.max_value_bytes)
        )
        self._planned_values = max(1, min(context.max_txn_ops - 1, self._max_values))

    async def write(self, attempts: list[TaskAttempt]) -> None:
        """Commit the intents of a plan, a few machines at a time, before any launch."""
        for batch in self._batches(attempts):
            await self._write_batch(batch)

    def _batches(self, attempts: list[TaskAttempt]) -> Iterator[list[TaskAttempt]]:
        """Split a plan into batches whose puts and preconditions fit a transaction.

        No precondition is left out: without the one on its `live/` key, a job cancelled in the
        meantime would be launched. A plan of many small jobs therefore needs more transactions.
        """
        max_jobs = self._max_jobs()
        batch: list[TaskAttempt] = []
        shards: set[str] = set()
        jobs: set[str] = set()
        for shard, shard_attempts in self._by_shard(attempts).items():
            for attempt in shard_attempts:
                too_many_jobs = attempt.job.id not in jobs and len(jobs) >= max_jobs
                if too_many_jobs or (shard not in shards and len(shards) >= self._planned_values):
                    yield batch
                    batch, shards, jobs = [], set(), set()
                batch.append(attempt)
                shards.add(shard)
                jobs.add(attempt.job.id)
        if batch:
            yield batch

    def _by_shard(self, attempts: list[TaskAttempt]) -> dict[str, list[TaskAttempt]]:
        """Group attempts by the shard name of their machine; skip those of unknown machines."""
        context = self._context
        machines = context.scheduler.machines
        by_shard: dict[str, list[TaskAttempt]] = {}
        for attempt in attempts:
            machine = machines.get(attempt.machine)
            if machine is not None:
                by_shard.setdefault(context.shards.shard_of(machine, machines).name, []).append(
                    attempt
                )
        return by_shard

    def _max_jobs(self) -> int:
        """Return how many jobs' preconditions fit beside those of the term and of all values."""
        context = self._context
        term_preconditions = len(context.preconditions())
        max_by_count = (
            MAX_PRECONDITIONS_PER_OPERATION * context.max_txn_ops
            - term_preconditions
            - context.max_txn_ops
        )
        max_by_size = (
            MAX_PRECONDITIONS_BYTES // MAX_PRECONDITION_BYTES
            - term_preconditions
            - self._max_values
        )
        return min(max_by_count, max_by_size)

    async def _write_batch(self, batch: list[TaskAttempt], retried: bool = False) -> None:
        """Commit the intents of a batch; `retried` if the same batch was too large before."""
        context = self._context
        scheduler = context.scheduler
        token = context.token()
        shards = {
            context.shards.shard_of(scheduler.machines[attempt.machine], scheduler.machines)
            for attempt in batch
            if attempt.machine in scheduler.machines
        }
        values = context.shards.values(shards, scheduler.machines, token)
        if not values or any(shard.name not in values for shard in shards):
            scheduler.intents_failed(batch, await curio.clock())
            return
        if len(values) > self._max_values:
            await self._write_in_halves(batch, retried)
            return
        revision = await self._commit(batch, values, token)
        if revision is None:
            return
        for name in values:
            context.shards.set_revision(name, revision)
        scheduler.intents_written(batch, await curio.clock())
        await context.commands_due.set()

    async def _write_in_halves(self, batch: list[TaskAttempt], retried: bool) -> None:
        """Write a batch in halves after too many of its shards were split.

        The new shards are written first, in transactions of their own.
        """
        if not await self._write_split_shards() or (len(batch) == 1 and retried):
            self._context.scheduler.intents_failed(batch, await curio.clock())
            await curio.sleep(self._context.retry_s)
            return
        half = (len(batch) + 1) // 2
        for part in (batch[:half], batch[half:]):
            if part:
                await self._write_batch(part, retried=len(part) == len(batch))

    def _preconditions(
        self, batch: Iterable[TaskAttempt], values: ShardValues
    ) -> list[Precondition]:
        """Return preconditions that fail if the term, a shard or a job has changed.

        A job that was cancelled or has finished in the meantime thus launches nothing.
        """
        preconditions = self._context.preconditions()
        for name, (revision, _) in values.items():
            preconditions.append(Precondition(records.intents_key(name), revision))
        for job in {attempt.job.id: attempt.job for attempt in batch}.values():
            preconditions.append(Precondition(records.live_key(job.id), job.revision))
        return preconditions

    async def _commit(
        self, batch: list[TaskAttempt], values: ShardValues, token: str
    ) -> int | None:
        """Write the values; return the revision, or None if nothing was written.

        The call repeats the commit while its outcome is unknown: until then nothing else may be
        planned for these tasks.
        """
        context = self._context
        preconditions = self._preconditions(batch, values)
        operations = [
            wire.put(records.intents_key(name), value) for name, (_, value) in values.items()
        ]
        probe = records.intents_key(next(iter(values)))
        while True:
            try:
                return await context.store.commit(
                    preconditions,
                    operations,
                    DECISION_PRIORITY,
                    probe,
                    token,
                    context.worker_lease_s,
                )
            except PreconditionFailedError as exc:
                log.debug("intents not written, precondition failed: %s", exc)
                context.scheduler.intents_failed(batch, await curio.clock())
                await context.refresh_after_conflict(exc.keys)
                return None
            except StoreUnavailableError as exc:
                log.debug("intents not written: %s", exc)
                context.scheduler.intents_failed(batch, await curio.clock())
                await curio.sleep(context.retry_s)
                return None
            except (OutcomeUnknownError, UnreadableAnswerError):
                continue

    async def _write_split_shards(self) -> bool:
        """Write each shard that took over machines in a transaction of its own.

        The shards that the machines came from still name them. Returns False if the store does
        not accept a write now.
        """
        context = self._context
        for shard in context.shards.unwritten_splits():
            key = records.intents_key(shard.name)
            value = context.shards.value(shard, context.scheduler.machines, context.token())
            preconditions = [*context.preconditions(), Precondition(key, shard.revision)]
            try:
                revision = await context.store.compare_and_swap(
                    preconditions, [wire.put(key, value)], DECISION_PRIORITY
                )
            except PreconditionFailedError as exc:
                await context.refresh_after_conflict(exc.keys)
            except KeyValueStoreError as exc:
                log.debug("split shard %s not written: %s", shard.name, exc)
                return False
            else:
                context.shards.set_revision(shard.name, revision)
        return True

    async def prune(self, shards: set[IntentShard]) -> None:
        """Remove the intents of machines that no longer exist.

        If that fails, a new leader detects that these machines are gone.
        """
        context = self._context
        machines = context.scheduler.machines
        values = context.shards.values(shards, machines, context.token())
        if context.shards.unwritten_splits():
            # Write the new shards first: machines that moved to them would otherwise be missing
            # from every stored value for a moment.
            if not await self._write_split_shards():
                return
            values = context.shards.values(shards, machines, context.token())
        for name, (revision, value) in values.items():
            await self._write_remaining(name, revision, value)

    async def _write_remaining(self, name: str, revision: int, value: dict[str, Any]) -> None:
        """Write the remaining intents of a shard, or delete it if empty.

        After a failure the stale intents stay until a later call.
        """
        context = self._context
        key = records.intents_key(name)
        operation = wire.put(key, value) if value["boxes"] else wire.delete(key)
        preconditions = [*context.preconditions(), Precondition(key, revision)]
        try:
            new_revision = await context.store.compare_and_swap(
                preconditions, [operation], DECISION_PRIORITY
            )
        except KeyValueStoreError as exc:
            log.debug("stale intents of shard %s not removed: %s", name, exc)
        else:
            context.shards.set_revision(name, new_revision if value["boxes"] else 0)
