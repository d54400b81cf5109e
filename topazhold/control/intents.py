"""Intents: what may come to be on a machine is written before any launch."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import curio

from topazhold.control.key_value_store import (
    DECISION_PRIORITY,
    STORE_ERRORS,
    OutcomeUnknownError,
    PreconditionFailedError,
    StoreUnavailableError,
)
from topazhold.control.term_context import TXN_BYTES, TermContext
from topazhold.core import records
from topazhold.core.intent_shards import IntentShard
from topazhold.core.task_attempts import TaskAttempt
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError

log = logging.getLogger(__name__)

#: Guards that a transaction takes, per change.
CONDITIONS_PER_OPERATION = 4


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
        """The plan in parts, each with no more puts and guards than a transaction takes.

        A guard is never left out: without its `live/` mark a job that was cancelled
        in between would be launched. So many small jobs make more transactions.
        """
        context = self._context
        machines = context.scheduler.machines
        by_shard: dict[str, list[TaskAttempt]] = {}
        for attempt in attempts:
            machine = machines.get(attempt.machine)
            if machine is not None:
                by_shard.setdefault(context.shards.of(machine, machines).name, []).append(attempt)
        # The leader's own mark, and one for every value that may be put.
        max_jobs = (
            CONDITIONS_PER_OPERATION * context.txn_ops - len(context.conditions()) - context.txn_ops
        )
        batch: list[TaskAttempt] = []
        shards: set[str] = set()
        jobs: set[str] = set()
        for shard, of_shard in by_shard.items():
            for attempt in of_shard:
                full = attempt.job.id not in jobs and len(jobs) >= max_jobs
                if full or (shard not in shards and len(shards) >= self._planned_values):
                    yield batch
                    batch, shards, jobs = [], set(), set()
                batch.append(attempt)
                shards.add(shard)
                jobs.add(attempt.job.id)
        if batch:
            yield batch

    async def _write_batch(self, batch: list[TaskAttempt], retried: bool = False) -> None:
        """Commit the intents of some runs; `retried`: all that was too much is written apart."""
        scheduler = self._context.scheduler
        token = self._context.token()
        shards = {
            self._context.shards.of(scheduler.machines[attempt.machine], scheduler.machines)
            for attempt in batch
            if attempt.machine in scheduler.machines
        }
        values = self._context.shards.values(shards, scheduler.machines, token)
        if not values or any(shard.name not in values for shard in shards):
            scheduler.intents_failed(batch, await curio.clock())
            return
        if len(values) > self._max_values:
            # Shards that were too full have given machines to new ones.
            if not await self._write_apart() or (len(batch) == 1 and retried):
                scheduler.intents_failed(batch, await curio.clock())
                await curio.sleep(self._context.retry_s)
                return
            half = (len(batch) + 1) // 2
            for part in (batch[:half], batch[half:]):
                if part:
                    await self._write_batch(part, retried=len(part) == len(batch))
            return
        conditions = self._context.conditions()
        operations = []
        for name, (revision, value) in values.items():
            conditions.append((records.on_key(name), revision))
            operations.append(wire.put(records.on_key(name), value))
        for job in {attempt.job.id: attempt.job for attempt in batch}.values():
            # A job that was cancelled or finished in between launches nothing.
            conditions.append((records.live_key(job.id), job.revision))
        while True:
            try:
                revision = await self._context.store.commit(
                    conditions,
                    operations,
                    DECISION_PRIORITY,
                    records.on_key(next(iter(values))),
                    token,
                    give_up_s=self._context.block_s,
                )
                break
            except PreconditionFailedError as exc:
                log.debug("intents not written, changed: %s", exc)
                scheduler.intents_failed(batch, await curio.clock())
                await self._context.repair(exc.keys)
                return
            except StoreUnavailableError as exc:
                log.debug("intents not written: %s", exc)
                scheduler.intents_failed(batch, await curio.clock())
                await curio.sleep(self._context.retry_s)
                return
            except (OutcomeUnknownError, InvalidMessageError):
                # Still open: nothing else may be planned for these tasks.
                continue
        for name in values:
            self._context.shards.marked(name, revision)
        scheduler.intents_written(batch, await curio.clock())
        await self._context.commands_due.set()

    async def _write_apart(self) -> bool:
        """Shards that took machines over, by themselves; their old shards still name them.

        False if the state service does not take them now.
        """
        context = self._context
        for shard in context.shards.unwritten():
            value = context.shards.value(shard, context.scheduler.machines, context.token())
            try:
                revision = await context.store.compare_and_swap(
                    [*context.conditions(), (records.on_key(shard.name), shard.revision)],
                    [wire.put(records.on_key(shard.name), value)],
                    DECISION_PRIORITY,
                )
            except PreconditionFailedError as exc:
                await context.repair(exc.keys)
            except STORE_ERRORS as exc:
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
            if not await self._write_apart():
                return
            values = context.shards.values(shards, machines, context.token())
        for name, (revision, value) in values.items():
            key = records.on_key(name)
            change = wire.put(key, value) if value["boxes"] else wire.drop(key)
            try:
                done = await self._context.store.compare_and_swap(
                    [*self._context.conditions(), (key, revision)], [change], DECISION_PRIORITY
                )
            except (*STORE_ERRORS, PreconditionFailedError) as exc:
                log.debug("intents on %s stay: %s", name, exc)
            else:
                self._context.shards.marked(name, done if value["boxes"] else 0)
