"""Failover: loads the state that a new leader needs before any decision."""

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

#: Interval between checks for the catalog, as a share of the retry pause.
CATALOG_POLL_RETRY_SHARE = 0.1


class _ReadTime(NamedTuple):
    """When the state was read, in seconds by two clocks."""

    monotonic: float  # monotonic clock
    wall: float  # wall-clock time


async def load_state(context: TermContext, machine_types: dict[str, MachineType]) -> dict[str, int]:
    """Build the term's state from the store; return the revisions to watch from, by prefix.

    Waits until the machine types are known. After a KeyValueStoreError the caller starts over.
    """
    while not machine_types:
        await curio.sleep(CATALOG_POLL_RETRY_SHARE * context.retry_s)
    reservations_revision = await _load_reservations(context)
    requested_at = time.time()
    live_entries, live_revision = await context.store.entries(records.LIVE_PREFIX, LEASE_PRIORITY)
    read_time = _ReadTime(await curio.clock(), time.time())
    jobs = []
    for entry in live_entries:
        # An invalid record must not hide the others.
        try:
            job = records.read_live_job(
                entry.data, entry.revision, read_time.wall, read_time.monotonic
            )
        except (InvalidMessageError, ValueError, TypeError) as exc:
            log.error("%s unreadable: %s", entry.key, exc)
            continue
        if records.part_count(job) > 1:
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
    # A job that ended before `live/` was read is either named by intents or has no tasks left.
    context.cancellations.knowledge.advance(requested_at)
    return {
        RESERVATION_PREFIX: reservations_revision,
        records.LIVE_PREFIX: live_revision,
        records.RELAY_PREFIX: live_revision,
    }


async def _load_reservations(context: TermContext) -> int:
    """Load all controllers' reservations; return the revision at which they were read."""
    entries, revision = await context.store.entries(RESERVATION_PREFIX, LEASE_PRIORITY)
    context.scheduler.reservation_table.replace(
        {entry.key[len(RESERVATION_PREFIX) :]: (entry.data, entry.revision) for entry in entries}
    )
    return revision


async def load_completion_bitmaps(context: TermContext, job: Job) -> None:
    """Load which tasks of a large job are done; raises KeyValueStoreError.

    Tasks in an invalid part count as unfinished; their workers report those that are done.
    """
    prefix = f"{records.PART_PREFIX}{job.id}/"
    parts, _ = await context.store.entries(prefix, LEASE_PRIORITY)
    for entry in parts:
        try:
            job.load_part(int(entry.key[len(prefix) :]), str(entry.data["done"]))
        except (ValueError, TypeError, KeyError) as exc:
            log.error("%s unreadable: %s", entry.key, exc)


async def _load_intents(context: TermContext) -> tuple[list[records.Intents], list[str]]:
    """Load the intents of all machines; return them and the machines with invalid intents."""
    entries, _ = await context.store.entries(records.INTENTS_PREFIX, LEASE_PRIORITY)
    # An interrupted failover is restarted, so the shards are created again here: two shards of
    # one name would overwrite each other's intents.
    context.shards = IntentShards(context.max_value_bytes)
    intents: list[records.Intents] = []
    unreadable: list[str] = []
    for entry in entries:
        shard_intents, unreadable_names = records.read_intents(entry.data)
        intents += shard_intents
        unreadable += unreadable_names
        names = [each.machine for each in shard_intents]
        context.shards.adopt(entry.key[len(records.INTENTS_PREFIX) :], entry.revision, names)
    return intents, unreadable


async def _read_ended_job(context: TermContext, job_id: str, read_time: _ReadTime) -> Job | None:
    """Read a job that has ended but is named by intents; None if it is missing or invalid."""
    entry = await context.store.get(records.ended_key(job_id), LEASE_PRIORITY)
    if entry is None:
        return None
    try:
        job = records.read_ended_job(entry.data, read_time.wall, read_time.monotonic)
    except (InvalidMessageError, ValueError, TypeError) as exc:
        log.error("%s unreadable: %s", entry.key, exc)
        return None
    if job.state is JobState.ABORTED:
        context.cancellations.add(job.id, job.submitted, read_time.wall)
    return job


async def _release_unreadable(context: TermContext, machine_name: str) -> None:
    """Release a machine with invalid intents.

    Any task may run on it; only its release proves that none does.
    """
    machine = context.scheduler.add_machine(machine_name, "", False, "", await curio.clock())
    context.scheduler.release(machine, "its intents are unreadable", await curio.clock())
