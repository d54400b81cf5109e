"""Progress of jobs: done marks, and the move to `over`."""

from __future__ import annotations

import logging
import time

import curio

from topazhold.control.key_value_store import (
    DECISION_PRIORITY,
    LEASE_PRIORITY,
    STORE_ERRORS,
    PreconditionFailedError,
)
from topazhold.control.term_context import TermContext
from topazhold.core import records
from topazhold.core.jobs import Job, JobState
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)


#: Jobs moved to `over` at the same time.
MAX_MOVED_JOBS = 8


class JobPersistence:
    """Writes what workers have reported as done."""

    def __init__(self, context: TermContext) -> None:
        self._context = context

    async def loop(self) -> None:
        while True:
            await curio.sleep(min(0.25, self._context.retry_s))
            scheduler = self._context.scheduler
            while scheduler.finished:
                # Several at a time: users expect `done` within seconds, and one slow
                # answer of the state service kept all others waiting.
                batch = scheduler.finished[:MAX_MOVED_JOBS]
                async with curio.TaskGroup() as group:
                    for job in batch:
                        await group.spawn(self.finish, job)
                if group.exception is not None:
                    raise group.exception
                del scheduler.finished[: len(batch)]
            now = await curio.clock()
            for job in list(scheduler.jobs.values()):
                if job.unsaved_parts and job.state is JobState.LIVE and not job.complete:
                    if now - job.saved_at > self._context.block_s:
                        await self.save(job, now)

    async def finish(self, job: Job) -> None:
        """Move a complete job to `over`; only then may anybody be told."""
        live, over = records.live_key(job.id), records.over_key(job.id)
        while job.state is JobState.LIVE:
            token = self._context.token()
            spec = records.live_value(job, token)["spec"]
            value = records.over_value(spec, wire.DONE, time.time(), token)
            try:
                await self._context.store.commit(
                    [*self._context.conditions(), (live, job.revision), (over, 0)],
                    [wire.drop(live), wire.put(over, value)],
                    LEASE_PRIORITY,
                    over,
                    token,
                    give_up_s=self._context.block_s,
                )
            except PreconditionFailedError as exc:
                await self._context.repair(exc.keys)
                if over in exc.keys:
                    await self._context.on_job_ended(job.id)
                if job.state is JobState.LIVE:
                    await curio.sleep(self._context.retry_s)  # how it ended can't be read yet
                continue
            except STORE_ERRORS as exc:
                log.debug("job %s not moved yet: %s", job.id, exc)
                await curio.sleep(self._context.retry_s)
                continue
            now = await curio.clock()
            self._context.scheduler.on_job_ended(job.id, True, now, now)
            self._context.clean_up(job)

    async def save(self, job: Job, now: float) -> None:
        """Save done marks; the workers' own record is cleared only after."""
        token = self._context.token()
        live = records.live_key(job.id)
        parts = sorted(job.unsaved_parts)[: self._context.txn_ops - 1]
        operations = [wire.put(live, records.live_value(job, token))]
        for part in parts:
            if part > 0:
                data = {"by": token, "done": job.part_text(part)}
                operations.append(wire.put(records.part_key(job.id, part), data))
        counts = {part: job.part_text(part) for part in parts}
        try:
            job.revision = await self._context.store.commit(
                [*self._context.conditions(), (live, job.revision)],
                operations,
                DECISION_PRIORITY,
                live,
                token,
                give_up_s=self._context.block_s,
            )
        except PreconditionFailedError as exc:
            await self._context.repair(exc.keys)
            return
        except STORE_ERRORS as exc:
            log.debug("job %s not saved: %s", job.id, exc)
            return
        job.saved_at = now
        for part, text in counts.items():
            if job.part_text(part) == text:
                job.unsaved_parts.discard(part)
