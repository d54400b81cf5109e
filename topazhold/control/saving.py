"""Progress of jobs: done marks, and the move to `over`."""

from __future__ import annotations

import logging
import time

import curio

from topazhold.control.office import Office
from topazhold.control.store import DECISIONS, LEASES, TROUBLE, Conflict
from topazhold.core import records
from topazhold.core.jobs import Job, JobState
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)


#: Jobs moved to `over` at the same time.
MOST_MOVED = 8


class Saving:
    """Writes what workers have reported as done."""

    def __init__(self, office: Office) -> None:
        self._office = office

    async def loop(self) -> None:
        while True:
            await curio.sleep(min(0.25, self._office.retry_s))
            realm = self._office.realm
            while realm.finished:
                # Several at a time: users expect `done` within seconds, and one slow
                # answer of the state service kept all others waiting.
                batch = realm.finished[:MOST_MOVED]
                async with curio.TaskGroup() as group:
                    for job in batch:
                        await group.spawn(self.finish, job)
                if group.exception is not None:
                    raise group.exception
                del realm.finished[: len(batch)]
            now = await curio.clock()
            for job in list(realm.jobs.values()):
                if job.unsaved and job.state is JobState.LIVE and not job.complete:
                    if now - job.saved_at > self._office.block_s:
                        await self.save(job, now)

    async def finish(self, job: Job) -> None:
        """Move a complete job to `over`; only then may anybody be told."""
        live, over = records.live_key(job.id), records.over_key(job.id)
        while job.state is JobState.LIVE:
            token = self._office.token()
            spec = records.live_value(job, token)["spec"]
            value = records.over_value(spec, wire.DONE, time.time(), token)
            try:
                await self._office.store.commit(
                    [*self._office.guards(), (live, job.mark), (over, 0)],
                    [wire.drop(live), wire.put(over, value)],
                    LEASES,
                    over,
                    token,
                    give_up_s=self._office.block_s,
                )
            except Conflict as exc:
                await self._office.repair(exc.keys)
                if over in exc.keys:
                    await self._office.job_over(job.id)
                if job.state is JobState.LIVE:
                    await curio.sleep(self._office.retry_s)  # how it ended can't be read yet
                continue
            except TROUBLE as exc:
                log.debug("job %s not moved yet: %s", job.id, exc)
                await curio.sleep(self._office.retry_s)
                continue
            now = await curio.clock()
            self._office.realm.job_over(job.id, True, now, now)
            await self._office.drop_parts(job)

    async def save(self, job: Job, now: float) -> None:
        """Save done marks; the workers' own record is cleared only after."""
        token = self._office.token()
        live = records.live_key(job.id)
        parts = sorted(job.unsaved)[: self._office.txn_ops - 1]
        then = [wire.put(live, records.live_value(job, token))]
        for part in parts:
            if part > 0:
                data = {"by": token, "done": job.part_text(part)}
                then.append(wire.put(records.part_key(job.id, part), data))
        counts = {part: job.part_text(part) for part in parts}
        try:
            job.mark = await self._office.store.commit(
                [*self._office.guards(), (live, job.mark)],
                then,
                DECISIONS,
                live,
                token,
                give_up_s=self._office.block_s,
            )
        except Conflict as exc:
            await self._office.repair(exc.keys)
            return
        except TROUBLE as exc:
            log.debug("job %s not saved: %s", job.id, exc)
            return
        job.saved_at = now
        for part, text in counts.items():
            if job.part_text(part) == text:
                job.unsaved.discard(part)
