"""State shared by all parts of a term.

The term's number, its scheduler, and the refresh of state after a failed precondition.
"""

from __future__ import annotations

import logging
import time

import curio

from topazhold.control.election import ElectionResult
from topazhold.control.key_value_store import KeyValueStore
from topazhold.core import records
from topazhold.core.cancellations import Cancellations
from topazhold.core.intent_shards import IntentShards
from topazhold.core.jobs import JobState
from topazhold.core.leadership import LEADER_KEY
from topazhold.core.scheduler import Scheduler
from topazhold.interfaces.store import DECISION_PRIORITY, Precondition
from topazhold.interfaces.store_errors import KeyValueStoreError
from topazhold.interfaces.term import JobCleanup, LeadershipLostError, LeaseIsValid
from topazhold.settings import Settings
from topazhold.wire import messages as wire

log = logging.getLogger(__name__)

#: Pause before a failed operation is retried, in heartbeat intervals.
RETRY_HEARTBEATS = 0.25


class TermContext:
    """The number, scheduler and store access of a term, shared by its parts."""

    def __init__(
        self,
        settings: Settings,
        store: KeyValueStore,
        scheduler: Scheduler,
        election: ElectionResult,
        lease_is_valid: LeaseIsValid,
        cancellations: Cancellations | None = None,
    ) -> None:
        cluster = settings.cluster
        self.node = settings.node_name
        self.zones = cluster.zones
        self.store = store
        self.scheduler = scheduler
        self.term = election.term
        self.revision = election.revision
        if cancellations is None:
            workers = cluster.workers
            cancellations = Cancellations(self.node, workers.cancel_s, workers.lease_s)
        self.cancellations = cancellations
        self.lease_is_valid = lease_is_valid
        self.heartbeat_interval_s = cluster.workers.heartbeat_interval_s
        self.retry_s = RETRY_HEARTBEATS * self.heartbeat_interval_s
        self.worker_lease_s = cluster.workers.lease_s
        self.max_value_bytes = int(
            cluster.key_value_store.lasting_value_bytes * records.MAX_VALUE_SHARE
        )
        self.max_txn_ops = cluster.key_value_store.lasting_txn_ops
        self.shards = IntentShards(self.max_value_bytes)
        self.plan_requested = curio.Event()
        self.commands_due = curio.Event()  # set to send direct commands at once
        #: Removes the stored records of an ended job; set by the component that does it.
        self.clean_up: JobCleanup = lambda job: None
        self._sequence = 0

    def token(self) -> str:
        """Return a token that is unique among the transactions of all terms."""
        self._sequence += 1
        return f"q{self.term}-{self._sequence}"

    def preconditions(self) -> list[Precondition]:
        """Return the preconditions of every transaction of the term; they fail once it is over."""
        return [Precondition(LEADER_KEY, self.revision)]

    async def request_plan(self) -> None:
        """Request a planning round after a change."""
        await self.plan_requested.set()

    async def refresh_after_conflict(self, keys: list[str]) -> None:
        """Reread the state behind keys whose preconditions failed.

        Raises LeadershipLostError if the leader key is among them. State that cannot be read
        now stays as it was, and the next transaction fails in the same way.
        """
        if LEADER_KEY in keys:
            # The "mark" is the revision of the leader key.
            raise LeadershipLostError("the leadership mark has changed")
        for key in keys:
            try:
                if key.startswith(records.LIVE_PREFIX):
                    await self._reread_job(key[len(records.LIVE_PREFIX) :])
                elif key.startswith(records.INTENTS_PREFIX):
                    entry = await self.store.get(key, DECISION_PRIORITY)
                    revision = entry.revision if entry is not None else 0
                    self.shards.set_revision(key[len(records.INTENTS_PREFIX) :], revision)
            except KeyValueStoreError as exc:
                log.debug("%s not reread after a conflict: %s", key, exc)

    async def _reread_job(self, job_id: str) -> None:
        entry = await self.store.get(records.live_key(job_id), DECISION_PRIORITY)
        if entry is None:
            await self.on_job_ended(job_id)
        else:
            job = self.scheduler.jobs.get(job_id)
            if job is not None:
                job.revision = entry.revision

    async def on_job_cancelled(self, job_id: str, at: float) -> None:
        """Apply the committed cancellation of a job; `at` is its wall-clock time.

        This does not wait for the store: an outage must not delay the kills of cancelled jobs.
        """
        wall_time, now = time.time(), await curio.clock()
        self.cancellations.add(job_id, at, wall_time)
        self.scheduler.on_job_ended(job_id, False, now - max(0.0, wall_time - at), now)
        await self.request_plan()

    async def apply_known_cancellations(self) -> None:
        """Apply all recorded cancellations; the state loaded by the failover may be older."""
        for job_id, at in self.cancellations.cancelled_since(0.0):
            await self.on_job_cancelled(job_id, at)

    async def on_job_ended(self, job_id: str) -> None:
        """Find out how a job ended whose `live/` key was deleted, and apply it.

        Only users and the leader end jobs. A job that is not complete here can therefore only
        have been cancelled, and its tasks are stopped without a read. If the read fails, it is
        repeated when the job is next moved to `over/`.
        """
        job = self.scheduler.jobs.get(job_id)
        if job is not None and job.state is JobState.LIVE and not job.is_complete:
            at = self.cancellations.cancelled_at(job_id)
            await self.on_job_cancelled(job_id, time.time() if at is None else at)
            self.clean_up(job)
            return
        try:
            entry = await self.store.get(records.ended_key(job_id), DECISION_PRIORITY)
        except KeyValueStoreError as exc:
            log.debug("end of job %s not read: %s", job_id, exc)
            return
        now = await curio.clock()
        done = entry is not None and records.ended_stage(entry.data) == wire.DONE
        at = now
        if entry is not None:
            at = now - max(0.0, time.time() - float(entry.data.get("at", time.time())))
        self.scheduler.on_job_ended(job_id, done, at, now)
        if job is not None:
            self.clean_up(job)
