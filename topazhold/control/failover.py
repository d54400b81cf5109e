"""Failover: what a new leader reads of the store before any decision."""

from __future__ import annotations

import logging
import time
from typing import NamedTuple

import curio

from topazhold.control.term_context import TermContext
from topazhold.core import failover, records
from topazhold.core.intent_shards import IntentShards
from topazhold.core.jobs import Job, JobState
from topazhold.core.reservations import RESERVATION_PREFIX
from topazhold.interfaces.store import LEASE_PRIORITY
from topazhold.wire.cloud import MachineType
from topazhold.wire.codec import InvalidMessageError

log = logging.getLogger(__name__)

#: Time between two looks for the catalog, as a share of the time between tries.
CATALOG_POLL_RETRY_SHARE = 0.1


class _ReadTime(NamedTuple):
    """When the state was read, in seconds."""

    monotonic: float  # steady clock
    wall: float  # time of day


async def load_state(context: TermContext, machine_types: dict[str, MachineType]) -> dict[str, int]:
    """Build the term's state from the store; the revisions to watch from, by prefix.

    Waits until the machine types are known. Raises KeyValueStoreError; then all of it is to be
    begun anew.
    """
    while not machine_types:
        await curio.sleep(CATALOG_POLL_RETRY_SHARE * context.retry_s)
    reservations_revision = await _load_reservations(context)
    live_entries, live_revision = await context.store.entries(records.LIVE_PREFIX, LEASE_PRIORITY)
    read_time = _ReadTime(await curio.clock(), time.time())
    jobs = []
    for entry in live_entries:
        # One odd record must not keep all others from being seen.
        try:
            job = records.read_live(entry.data, entry.revision, read_time.wall, read_time.monotonic)
        except (InvalidMessageError, ValueError, TypeError) as exc:
            log.error("%s unreadable: %s", entry.key, exc)
            continue
        if records.parts_of(job) > 1:
            await load_completion_bitmaps(context, job)
        jobs.append(job)
    intents, unreadable = await _load_intents(context)
    for job_id in failover.missing_jobs([job.id for job in jobs], intents):
        ended = await _read_ended_job(context, job_id, read_time)
        if ended is not None:
            jobs.append(ended)
    failover.rebuild(context.scheduler, jobs, intents, await curio.clock())
    for machine_name in unreadable:
        await _release_unreadable(context, machine_name)
    return {
        RESERVATION_PREFIX: reservations_revision,
        records.LIVE_PREFIX: live_revision,
        records.RELAY_PREFIX: live_revision,
    }


async def _load_reservations(context: TermContext) -> int:
    """All controllers' reservations; the revision that they were read at."""
    entries, revision = await context.store.entries(RESERVATION_PREFIX, LEASE_PRIORITY)
    context.scheduler.reservation_table.replace(
        {entry.key[len(RESERVATION_PREFIX) :]: (entry.data, entry.revision) for entry in entries}
    )
    return revision


async def load_completion_bitmaps(context: TermContext, job: Job) -> None:
    """Read which tasks of a large job are done; raises KeyValueStoreError.

    Tasks of a part that can't be read are taken for unfinished: their workers know better.
    """
    prefix = f"{records.PART_PREFIX}{job.id}/"
    parts, _ = await context.store.entries(prefix, LEASE_PRIORITY)
    for entry in parts:
        try:
            job.load_part(int(entry.key[len(prefix) :]), str(entry.data["done"]))
        except (ValueError, TypeError, KeyError) as exc:
            log.error("%s unreadable: %s", entry.key, exc)


async def _load_intents(context: TermContext) -> tuple[list[records.Intents], list[str]]:
    """What may be on each machine, and the machines whose intents can't be read."""
    entries, _ = await context.store.entries(records.ON_PREFIX, LEASE_PRIORITY)
    # A failover that was interrupted is begun anew, this with it: two shards
    # of one name would overwrite each other's intents.
    context.shards = IntentShards(context.value_limit)
    intents: list[records.Intents] = []
    unreadable: list[str] = []
    for entry in entries:
        shard_intents, unreadable_names = records.read_on(entry.data)
        intents += shard_intents
        unreadable += unreadable_names
        names = [each.machine for each in shard_intents]
        context.shards.found(entry.key[len(records.ON_PREFIX) :], entry.revision, names)
    return intents, unreadable


async def _read_ended_job(context: TermContext, job_id: str, read_time: _ReadTime) -> Job | None:
    """A job that intents name though it is over; None if it can't be read."""
    entry = await context.store.get(records.over_key(job_id), LEASE_PRIORITY)
    if entry is None:
        return None
    try:
        job = records.read_over(entry.data, read_time.wall, read_time.monotonic)
    except (InvalidMessageError, ValueError, TypeError) as exc:
        log.error("%s unreadable: %s", entry.key, exc)
        return None
    if job.state is JobState.ABORTED:
        context.cancellations.add(job.id, job.submitted, read_time.wall)
    return job


async def _release_unreadable(context: TermContext, machine_name: str) -> None:
    """Anything may be on such a machine: only its release proves otherwise."""
    machine = context.scheduler.add_machine(machine_name, "", False, "", await curio.clock())
    context.scheduler.release(machine, "its intents are unreadable", await curio.clock())
