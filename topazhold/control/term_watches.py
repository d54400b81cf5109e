"""Watches of a term on the store: jobs, reservations and forwarded heartbeats."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import curio

from topazhold.control.term_context import TermContext
from topazhold.core import records
from topazhold.core.jobs import JobState
from topazhold.core.reservations import RESERVATION_PREFIX
from topazhold.interfaces.store_errors import KeyValueStoreError, WatchCompactedError
from topazhold.interfaces.term import LeadershipLostError
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError
from topazhold.wire.key_value_store import WatchPage

log = logging.getLogger(__name__)

#: Applies one change, given the key without its prefix, the value (None if the key was deleted)
#: and the revision of the change.
ApplyChange = Callable[[str, Any, int], Awaitable[None]]


class OnRead(Protocol):
    """Notes that all changes before a wall-clock time have been applied."""

    def __call__(self, requested_at: float, /) -> None: ...


class OnForwarded(Protocol):
    """Processes packed heartbeats that a follower has answered and written to the store."""

    async def __call__(self, heartbeats: Any, /) -> None: ...


class TermWatches:
    """Watches the store from the revisions at which the term's state was loaded.

    Every loop raises LeadershipLostError if the store has compacted changes not yet seen.
    """

    def __init__(self, context: TermContext, on_forwarded: OnForwarded) -> None:
        self._context = context
        self._on_forwarded = on_forwarded
        self._seen_revisions: dict[str, int] = {}

    def start_from(self, revisions: dict[str, int]) -> None:
        """Set the revision after which to watch each prefix."""
        self._seen_revisions = revisions

    async def jobs_loop(self) -> None:
        """Watch for jobs submitted or cancelled on any controller.

        The watch returns often, as each return shows until when all cancellations are known.
        """
        await self._watch(
            records.LIVE_PREFIX,
            self._on_job_changed,
            self._context.heartbeat_interval_s,
            self._context.cancellations.knowledge.advance,
        )

    async def reservations_loop(self) -> None:
        """Watch the reservations of all controllers."""
        await self._watch(
            RESERVATION_PREFIX, self._on_reservations_changed, self._context.worker_lease_s
        )

    async def forwarded_loop(self) -> None:
        """Watch for heartbeats that followers forward by the store while no peer link works."""
        await self._watch(
            records.RELAY_PREFIX, self._on_forwarded_changed, self._context.worker_lease_s
        )

    async def _watch(
        self,
        prefix: str,
        apply_change: ApplyChange,
        block_s: float,
        on_read: OnRead | None = None,
    ) -> None:
        """Apply all changes under a prefix; `on_read` is told until when they are applied."""
        while True:
            requested_at = time.time()
            page = await self._next_page(prefix, block_s)
            if page is None:
                await curio.sleep(self._context.retry_s)
                continue
            for event in page.events:
                key, data, revision = wire.parse_event(event)
                await apply_change(key[len(prefix) :], data, revision)
            self._seen_revisions[prefix] = max(self._seen_revisions[prefix], page.revision)
            if on_read is not None:
                # A watch may return nothing while the store refuses this controller.
                on_read(min(requested_at, self._context.store.health.served_at))
            if page.events:
                await self._context.request_plan()

    async def _next_page(self, prefix: str, block_s: float) -> WatchPage | None:
        """Return the next changes under a prefix, or None if the request failed."""
        since = self._seen_revisions[prefix]
        try:
            return await self._context.store.watch(prefix, since, block_s)
        except WatchCompactedError:
            raise LeadershipLostError("changes were missed") from None
        except KeyValueStoreError as exc:
            log.debug("watch %s: %s", prefix, exc)
            return None

    async def _on_reservations_changed(self, node: str, data: Any, revision: int) -> None:
        reservation_table = self._context.scheduler.reservation_table
        if data is None:
            reservation_table.expire(node, revision)
        else:
            reservation_table.update(node, data, revision)

    async def _on_forwarded_changed(self, node: str, data: Any, revision: int) -> None:
        if isinstance(data, dict) and data.get("crown") == self._context.term:
            await self._on_forwarded(data.get("reports", []))

    async def _on_job_changed(self, job_id: str, data: Any, revision: int) -> None:
        scheduler = self._context.scheduler
        job = scheduler.jobs.get(job_id)
        if data is None:
            # For a job that is complete here, moving it to `over/` finds out how it ended.
            if job is not None and job.state is JobState.LIVE and not job.is_complete:
                await self._context.on_job_ended(job_id)
        elif job is None:
            try:
                new_job = records.read_live_job(data, revision, time.time(), await curio.clock())
            except (InvalidMessageError, ValueError, TypeError) as exc:
                log.error("job %s unreadable: %s", job_id, exc)
                return
            scheduler.add_job(new_job)
        else:
            job.revision = max(job.revision, revision)
