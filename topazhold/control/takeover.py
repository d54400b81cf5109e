"""A take-over: what a new leader reads before any decision."""

from __future__ import annotations

import logging
import time

import curio

from topazhold.control.office import Office
from topazhold.control.store import LEASES
from topazhold.core import records, recovery
from topazhold.core.holds import HOLD_PREFIX
from topazhold.core.jobs import Job, JobState
from topazhold.core.shelves import Shelves
from topazhold.wire.codec import BadMessage
from topazhold.wire.messages import Breed

log = logging.getLogger(__name__)


async def load(office: Office, breeds: dict[str, Breed]) -> dict[str, int]:
    """Read holds, jobs and intents before any decision; the revisions to watch from."""
    harvest: dict[str, int] = {}
    while not breeds:
        await curio.sleep(0.1 * office.retry_s)
    realm = office.realm
    entries, harvest[HOLD_PREFIX] = await office.store.entries(HOLD_PREFIX, LEASES)
    realm.book.replace(
        {entry.key[len(HOLD_PREFIX) :]: (entry.data, entry.mark) for entry in entries}
    )
    live, harvest[records.LIVE_PREFIX] = await office.store.entries(records.LIVE_PREFIX, LEASES)
    harvest[records.RELAY_PREFIX] = harvest[records.LIVE_PREFIX]
    clock, wall = await curio.clock(), time.time()
    jobs = []
    for entry in live:
        # One odd record must not keep all others from being seen.
        try:
            job = records.read_live(entry.data, entry.mark, wall, clock)
        except (BadMessage, ValueError, TypeError) as exc:
            log.error("%s unreadable: %s", entry.key, exc)
            continue
        if records.parts_of(job) > 1:
            await load_parts(office, job)
        jobs.append(job)
    ons, _ = await office.store.entries(records.ON_PREFIX, LEASES)
    # A take-over that was interrupted is begun anew, this with it: two shelves
    # of one name would overwrite each other's intents.
    office.shelves = Shelves(office.value_limit)
    intents: list[records.Intents] = []
    unreadable: list[str] = []
    for entry in ons:
        found, odd = records.read_on(entry.data)
        intents += found
        unreadable += odd
        names = [each.machine for each in found]
        office.shelves.found(entry.key[len(records.ON_PREFIX) :], entry.mark, names)
    for job_id in recovery.missing_jobs([job.id for job in jobs], intents):
        over = await office.store.get(records.over_key(job_id), LEASES)
        if over is not None:
            try:
                job = records.read_over(over.data, wall, clock)
                jobs.append(job)
                if job.state is JobState.ABORTED:
                    office.cancellations.add(job.id, job.submitted, wall)
            except (BadMessage, ValueError, TypeError) as exc:
                log.error("%s unreadable: %s", over.key, exc)
    recovery.take_over(realm, jobs, intents, await curio.clock())
    for name in unreadable:
        # Anything may be on it: only its release proves otherwise.
        machine = realm.add_machine(name, "", False, "", await curio.clock())
        realm.release(machine, "its intents are unreadable", await curio.clock())
    return harvest


async def load_parts(office: Office, job: Job) -> None:
    prefix = f"{records.PART_PREFIX}{job.id}/"
    parts, _ = await office.store.entries(prefix, LEASES)
    for entry in parts:
        job.load_part(int(entry.key[len(prefix) :]), str(entry.data.get("done", "")))
