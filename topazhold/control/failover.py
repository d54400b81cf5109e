"""A take-over: what a new leader reads before any decision."""

from __future__ import annotations

import logging
import time

import curio

from topazhold.control.key_value_store import LEASE_PRIORITY
from topazhold.control.term_context import TermContext
from topazhold.core import failover, records
from topazhold.core.intent_shards import IntentShards
from topazhold.core.jobs import Job, JobState
from topazhold.core.reservations import RESERVATION_PREFIX
from topazhold.wire.cloud import MachineType
from topazhold.wire.codec import InvalidMessageError

log = logging.getLogger(__name__)


async def load(context: TermContext, machine_types: dict[str, MachineType]) -> dict[str, int]:
    """Read holds, jobs and intents before any decision; the revisions to watch from."""
    seen_revision: dict[str, int] = {}
    while not machine_types:
        await curio.sleep(0.1 * context.retry_s)
    scheduler = context.scheduler
    entries, seen_revision[RESERVATION_PREFIX] = await context.store.entries(
        RESERVATION_PREFIX, LEASE_PRIORITY
    )
    scheduler.reservation_table.replace(
        {entry.key[len(RESERVATION_PREFIX) :]: (entry.data, entry.revision) for entry in entries}
    )
    live, seen_revision[records.LIVE_PREFIX] = await context.store.entries(
        records.LIVE_PREFIX, LEASE_PRIORITY
    )
    seen_revision[records.RELAY_PREFIX] = seen_revision[records.LIVE_PREFIX]
    clock, wall = await curio.clock(), time.time()
    jobs = []
    for entry in live:
        # One odd record must not keep all others from being seen.
        try:
            job = records.read_live(entry.data, entry.revision, wall, clock)
        except (InvalidMessageError, ValueError, TypeError) as exc:
            log.error("%s unreadable: %s", entry.key, exc)
            continue
        if records.parts_of(job) > 1:
            await load_completion_bitmaps(context, job)
        jobs.append(job)
    ons, _ = await context.store.entries(records.ON_PREFIX, LEASE_PRIORITY)
    # A take-over that was interrupted is begun anew, this with it: two shards
    # of one name would overwrite each other's intents.
    context.shards = IntentShards(context.value_limit)
    intents: list[records.Intents] = []
    unreadable: list[str] = []
    for entry in ons:
        found, odd = records.read_on(entry.data)
        intents += found
        unreadable += odd
        names = [each.machine for each in found]
        context.shards.found(entry.key[len(records.ON_PREFIX) :], entry.revision, names)
    for job_id in failover.missing_jobs([job.id for job in jobs], intents):
        over = await context.store.get(records.over_key(job_id), LEASE_PRIORITY)
        if over is not None:
            try:
                job = records.read_over(over.data, wall, clock)
                jobs.append(job)
                if job.state is JobState.ABORTED:
                    context.cancellations.add(job.id, job.submitted, wall)
            except (InvalidMessageError, ValueError, TypeError) as exc:
                log.error("%s unreadable: %s", over.key, exc)
    failover.rebuild(scheduler, jobs, intents, await curio.clock())
    for name in unreadable:
        # Anything may be on it: only its release proves otherwise.
        machine = scheduler.add_machine(name, "", False, "", await curio.clock())
        scheduler.release(machine, "its intents are unreadable", await curio.clock())
    return seen_revision


async def load_completion_bitmaps(context: TermContext, job: Job) -> None:
    prefix = f"{records.PART_PREFIX}{job.id}/"
    parts, _ = await context.store.entries(prefix, LEASE_PRIORITY)
    for entry in parts:
        job.load_part(int(entry.key[len(prefix) :]), str(entry.data.get("done", "")))
