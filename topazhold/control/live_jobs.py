"""Reads from the store which jobs are live, while no peer tells what has been cancelled.

A controller that hears no informed peer but reaches the store, as when two zones can't reach each
other, need not give up its workers: a job that is live has not been cancelled.
"""

from __future__ import annotations

import logging
import time
from typing import Protocol

from topazhold.control.key_value_store import KeyValueStore
from topazhold.control.lease_renewals import LeaseRenewals
from topazhold.control.waiting_loops import wait_then_work
from topazhold.core import records
from topazhold.core.cancellations import Cancellations
from topazhold.core.jobs import DISTANT_PAST
from topazhold.interfaces.store import DECISION_PRIORITY
from topazhold.interfaces.store_errors import KeyValueStoreError
from topazhold.wire import messages as wire
from topazhold.wire.workers import Heartbeat

log = logging.getLogger(__name__)

#: Age of the knowledge of cancellations, as a share of the limit of renewals, from which on the
#: live jobs are read, and the age at which they are read again.
START_SHARE = 0.5
REFRESH_SHARE = 0.25
#: Maximum jobs on workers' machines whose end is looked up after one read.
MAX_LOOKUPS = 50


class OnCancelledJob(Protocol):
    """Called with a cancelled job that was found, and the wall-clock time of its end."""

    async def __call__(self, job_id: str, at: float, /) -> None: ...


class LiveJobs:
    """The jobs that were live at the last read, for renewals that peers don't allow."""

    def __init__(
        self,
        store: KeyValueStore,
        cancellations: Cancellations,
        lease_renewals: LeaseRenewals,
        on_cancelled_job: OnCancelledJob,
        heartbeat_interval_s: float,
    ) -> None:
        self._store = store
        self._cancellations = cancellations
        self._lease_renewals = lease_renewals
        self._on_cancelled_job = on_cancelled_job
        self._heartbeat_interval_s = heartbeat_interval_s
        self._jobs: frozenset[str] = frozenset()
        self._read_at = DISTANT_PAST  # wall-clock time of the last read's request
        self._completed: set[str] = set()  # found to have ended without a cancellation
        self._unknown: set[str] = set()  # seen in heartbeats, in none of the other sets

    def covers(self, heartbeat: Heartbeat) -> bool:
        """Return whether all cancelled jobs among those of a heartbeat's tasks are recorded.

        A 200 may renew the lease then, and kill the tasks of the recorded ones.
        """
        if time.time() - self._read_at > self._lease_renewals.limit_s:
            return False
        unknown = {
            job
            for task in heartbeat.tasks
            if task.state != wire.ENDED and not self._is_known(job := task.job)
        }
        self._unknown |= unknown
        return not unknown

    def _is_known(self, job: str) -> bool:
        return job in self._jobs or job in self._cancellations or job in self._completed

    async def loop(self) -> None:
        """Read the live jobs for as long as the peers' word is getting old."""
        await wait_then_work(self._heartbeat_interval_s, self._refresh)

    async def _refresh(self) -> None:
        limit_s = self._lease_renewals.limit_s
        if self._lease_renewals.knowledge_age_s() < START_SHARE * limit_s:
            self._unknown.clear()
            return
        requested_at = time.time()
        if not self._unknown and requested_at - self._read_at < REFRESH_SHARE * limit_s:
            return
        try:
            entries, _ = await self._store.entries(records.LIVE_PREFIX, DECISION_PRIORITY)
            self._jobs = frozenset(entry.key[len(records.LIVE_PREFIX) :] for entry in entries)
            self._read_at = requested_at
            self._completed &= self._unknown
            log.info("no informed peer is heard: read %d live jobs from the store", len(entries))
            await self._look_up_unknown()
        except KeyValueStoreError as exc:
            log.debug("live jobs not read: %s", exc)

    async def _look_up_unknown(self) -> None:
        """Find out how the jobs ended that workers have but that are not live."""
        unknown, self._unknown = self._unknown - self._jobs, set()
        for job in sorted(unknown)[:MAX_LOOKUPS]:
            entry = await self._store.get(records.ended_key(job), DECISION_PRIORITY)
            if entry is None:
                continue
            if records.ended_stage(entry.data) == wire.DONE:
                self._completed.add(job)
            else:
                await self._on_cancelled_job(job, records.ended_at(entry.data, time.time()))
