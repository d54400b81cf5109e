"""Progress of jobs in the store: which tasks are done, and which jobs have ended."""

from __future__ import annotations

import logging
import time

import curio

from topazhold.control.term_context import TermContext
from topazhold.control.waiting_loops import wait_then_work
from topazhold.core import records
from topazhold.core.jobs import Job, JobState
from topazhold.interfaces.store import DECISION_PRIORITY, LEASE_PRIORITY, Precondition
from topazhold.interfaces.store_errors import KeyValueStoreError, PreconditionFailedError
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: Jobs moved to `over/` concurrently.
MAX_CONCURRENT_MOVES = 8
#: Attempts to move a job in a row; the second uses the revision found by the first.
MAX_MOVE_ATTEMPTS = 2
#: Maximum seconds between two checks for progress to write.
MAX_SAVE_INTERVAL_S = 0.25


class JobPersistence:
    """Writes the progress that workers have reported."""

    def __init__(self, context: TermContext) -> None:
        self._context = context

    async def loop(self) -> None:
        """Move complete jobs and save the progress of the others, periodically."""
        await wait_then_work(min(MAX_SAVE_INTERVAL_S, self._context.retry_s), self._save_all)

    async def _save_all(self) -> None:
        await self._finish_all()
        now = await curio.clock()
        for job in list(self._context.scheduler.jobs.values()):
            if job.unsaved_parts and job.state is JobState.LIVE and not job.is_complete:
                if now - job.saved_at > self._context.worker_lease_s:
                    await self.save(job, now)

    async def _finish_all(self) -> None:
        """Move complete jobs until all are moved or a move fails."""
        finished = self._context.scheduler.finished
        while finished:
            # Move several at a time: users expect `done` within seconds, and one slow response of
            # the store must not delay all other jobs.
            batch = finished[:MAX_CONCURRENT_MOVES]
            async with curio.TaskGroup() as group:
                for job in batch:
                    await group.spawn(self.finish, job)
            if group.exception is not None:
                raise group.exception
            del finished[: len(batch)]
            unmoved = [job for job in batch if job.state is JobState.LIVE]
            if unmoved:
                finished += unmoved  # last in the queue, so that they do not block the others
                await curio.sleep(self._context.retry_s)
                return

    async def finish(self, job: Job) -> None:
        """Try to move a complete job to `over/`; users see it as done only afterwards.

        Raises LeadershipLostError if the term is over.
        """
        attempts = 0
        while job.state is JobState.LIVE and attempts < MAX_MOVE_ATTEMPTS:
            attempts += 1
            try:
                moved = await self._move(job)
            except KeyValueStoreError as exc:
                log.debug("job %s not moved yet: %s", job.id, exc)
                return
            if moved:
                now = await curio.clock()
                self._context.scheduler.on_job_ended(job.id, True, now, now)
                self._context.clean_up(job)

    async def _move(self, job: Job) -> bool:
        """Try to move a job to `over/`; return False if either of its records has changed."""
        context = self._context
        live_key, over_key = records.live_key(job.id), records.ended_key(job.id)
        token = context.token()
        spec = records.live_value(job, token)["spec"]
        value = records.ended_value(spec, wire.DONE, time.time(), token)
        try:
            await context.store.commit(
                [
                    *context.preconditions(),
                    Precondition(live_key, job.revision),
                    Precondition(over_key, 0),
                ],
                [wire.delete(live_key), wire.put(over_key, value)],
                LEASE_PRIORITY,
                over_key,
                token,
                give_up_s=context.worker_lease_s,
            )
        except PreconditionFailedError as exc:
            await context.refresh_after_conflict(exc.keys)
            if over_key in exc.keys:
                await context.on_job_ended(job.id)
            return False
        return True

    async def save(self, job: Job, now: float) -> None:
        """Save which tasks are done; workers clear their own records only afterwards.

        Parts that the store does not accept stay marked as unsaved.
        Raises LeadershipLostError if the term is over.
        """
        context = self._context
        token = context.token()
        live_key = records.live_key(job.id)
        parts = sorted(job.unsaved_parts)[: context.max_txn_ops - 1]
        operations = [wire.put(live_key, records.live_value(job, token))]
        for part in parts:
            if part > 0:
                data = {"by": token, "done": job.part_text(part)}
                operations.append(wire.put(records.part_key(job.id, part), data))
        saved = {part: job.part_text(part) for part in parts}
        preconditions = [*context.preconditions(), Precondition(live_key, job.revision)]
        try:
            job.revision = await context.store.commit(
                preconditions,
                operations,
                DECISION_PRIORITY,
                live_key,
                token,
                give_up_s=context.worker_lease_s,
            )
        except PreconditionFailedError as exc:
            await context.refresh_after_conflict(exc.keys)
            return
        except KeyValueStoreError as exc:
            log.debug("job %s not saved: %s", job.id, exc)
            return
        job.saved_at = now
        for part, text in saved.items():
            if job.part_text(part) == text:  # no task of the part was completed since
                job.unsaved_parts.discard(part)
