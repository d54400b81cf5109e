"""Intents: what may come to be on a machine is written before any launch."""

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
from topazhold.interfaces.term import TXN_BYTES
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: Preconditions that a transaction takes, per change.
MAX_PRECONDITIONS_PER_OPERATION = 4
#: Bytes that all preconditions of a transaction may take beside `TXN_BYTES` of values, and one.
MAX_PRECONDITIONS_BYTES = 15 * 1024
MAX_PRECONDITION_BYTES = 80

#: The values of shards that are to be written, by the shard's name: its revision and its value.
ShardValues = dict[str, tuple[int, dict[str, Any]]]


class Intents:
    """Writes plans, and takes what is gone out of the records."""

    def __init__(self, context: TermContext) -> None:
        self._context = context
        # What a transaction takes, and what is planned for it: a shard may be split.
        self._max_values = max(1, min(context.txn_ops, TXN_BYTES // context.value_limit))
        self._planned_values = max(1, min(context.txn_ops - 1, self._max_values))

    async def write(self, attempts: list[TaskAttempt]) -> None:
        """Commit the intents of a plan, a few machines at a time, before any launch."""
        for batch in self._batches(attempts):
            await self._write_batch(batch)

    def _batches(self, attempts: list[TaskAttempt]) -> Iterator[list[TaskAttempt]]:
        """The plan in parts, each with no more puts and preconditions than a transaction takes.

        A precondition is never left out: without the one on its `live/` key a job that was
        cancelled in between would be launched. So many small jobs make more transactions.
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
        """The attempts by the name of their machine's shard; those of unknown machines fall out."""
        context = self._context
        machines = context.scheduler.machines
        by_shard: dict[str, list[TaskAttempt]] = {}
        for attempt in attempts:
            machine = machines.get(attempt.machine)
            if machine is not None:
                by_shard.setdefault(context.shards.of(machine, machines).name, []).append(attempt)
        return by_shard

    def _max_jobs(self) -> int:
        """Jobs whose precondition fits beside the leader's, and those of all values put."""
        context = self._context
        term_preconditions = len(context.preconditions())
        max_by_count = (
            MAX_PRECONDITIONS_PER_OPERATION * context.txn_ops - term_preconditions - context.txn_ops
        )
        max_by_size = (
            MAX_PRECONDITIONS_BYTES // MAX_PRECONDITION_BYTES
            - term_preconditions
            - self._max_values
        )
        return min(max_by_count, max_by_size)

    async def _write_batch(self, batch: list[TaskAttempt], retried: bool = False) -> None:
        """Commit the intents of some attempts; `retried`: what was too much is written apart."""
        context = self._context
        scheduler = context.scheduler
        token = context.token()
        shards = {
            context.shards.of(scheduler.machines[attempt.machine], scheduler.machines)
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
            context.shards.marked(name, revision)
        scheduler.intents_written(batch, await curio.clock())
        await context.commands_due.set()

    async def _write_in_halves(self, batch: list[TaskAttempt], retried: bool) -> None:
        """Shards that were too full have given machines to new ones: write these apart first."""
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
        """A job that was cancelled or finished in between launches nothing."""
        preconditions = self._context.preconditions()
        for name, (revision, _) in values.items():
            preconditions.append(Precondition(records.on_key(name), revision))
        for job in {attempt.job.id: attempt.job for attempt in batch}.values():
            preconditions.append(Precondition(records.live_key(job.id), job.revision))
        return preconditions

    async def _commit(
        self, batch: list[TaskAttempt], values: ShardValues, token: str
    ) -> int | None:
        """Write the values; the revision, or None if nothing was written.

        While the outcome is open, nothing else may be planned for these tasks.
        """
        context = self._context
        preconditions = self._preconditions(batch, values)
        operations = [wire.put(records.on_key(name), value) for name, (_, value) in values.items()]
        probe = records.on_key(next(iter(values)))
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
                log.debug("intents not written, changed: %s", exc)
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
        """Shards that took machines over, by themselves; their old shards still name them.

        False if the store does not take them now.
        """
        context = self._context
        for shard in context.shards.unwritten():
            key = records.on_key(shard.name)
            value = context.shards.value(shard, context.scheduler.machines, context.token())
            preconditions = [*context.preconditions(), Precondition(key, shard.revision)]
            try:
                revision = await context.store.compare_and_swap(
                    preconditions, [wire.put(key, value)], DECISION_PRIORITY
                )
            except PreconditionFailedError as exc:
                await context.refresh_after_conflict(exc.keys)
            except KeyValueStoreError as exc:
                log.debug("shard %s not written apart: %s", shard.name, exc)
                return False
            else:
                context.shards.marked(shard.name, revision)
        return True

    async def tidy(self, shards: set[IntentShard]) -> None:
        """Intents of machines that are gone; a new leader would find that out by itself."""
        context = self._context
        machines = context.scheduler.machines
        values = context.shards.values(shards, machines, context.token())
        if context.shards.unwritten():
            # Written first, and by themselves: machines that a shard has given away would
            # for a moment stand in no value.
            if not await self._write_split_shards():
                return
            values = context.shards.values(shards, machines, context.token())
        for name, (revision, value) in values.items():
            await self._write_remaining(name, revision, value)

    async def _write_remaining(self, name: str, revision: int, value: dict[str, Any]) -> None:
        """Write what is left in a shard, or drop it; what fails is tidied another time."""
        context = self._context
        key = records.on_key(name)
        operation = wire.put(key, value) if value["boxes"] else wire.drop(key)
        preconditions = [*context.preconditions(), Precondition(key, revision)]
        try:
            new_revision = await context.store.compare_and_swap(
                preconditions, [operation], DECISION_PRIORITY
            )
        except KeyValueStoreError as exc:
            log.debug("intents on %s stay: %s", name, exc)
        else:
            context.shards.marked(name, new_revision if value["boxes"] else 0)
