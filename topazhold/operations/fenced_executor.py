"""Fencing of a term's cloud operations: checks whether they may be recorded and sent.

Records are written on the precondition that the term still lasts, and a successor reads all
records before it decides anything.
"""

from __future__ import annotations

import logging
import time

import curio

from topazhold.core.leadership import LEADER_KEY
from topazhold.interfaces.store import LEASE_PRIORITY
from topazhold.interfaces.store_errors import KeyValueStoreError
from topazhold.interfaces.term import LeadershipLostError, Term
from topazhold.operations.lease_confidence import LeaseConfidence, LeaseConfidenceTracker
from topazhold.operations.operation_log import OperationLog
from topazhold.operations.record_writer import RecordWriter

log = logging.getLogger(__name__)

#: Time between two clock checks above which the process counts as paused, and the interval of the
#: checks, which is a fifth of it; both in controller leases.
PAUSE_CONTROLLER_LEASES = 0.5
CLOCK_CHECK_CONTROLLER_LEASES = 0.1
#: Minimum remaining lease when an operation is decided or sent, in controller leases.
MARGIN_CONTROLLER_LEASES = 0.05
#: Time after a pause before a machine may be released without a record, in heartbeat intervals:
#: until then, the known state of the machines may be stale.
STALE_STATE_HEARTBEATS = 2.5
#: Interval between two removals of records, in heartbeat intervals.
REMOVAL_HEARTBEATS = 1.0


class FencedExecutor:
    """Ensures that operations are recorded before they are sent, and only with a valid lease.

    `controller_lease_s` is the duration of a controller's lease in seconds. Methods that access
    the key-value store raise `LeadershipLostError` if it shows that the term is over.
    """

    def __init__(
        self,
        context: Term,
        operation_log: OperationLog,
        controller_lease_s: float,
        now: float,
    ) -> None:
        self._context = context
        self._controller_lease_s = controller_lease_s
        self.operation_log = operation_log
        self.lease_confidence = LeaseConfidenceTracker(
            PAUSE_CONTROLLER_LEASES * controller_lease_s, now, time.time()
        )
        self._record_writer = RecordWriter(context, operation_log)

    # -- lease -----------------------------------------------------------------

    def begin(self, now: float) -> None:
        """Start the clock checks once the term is loaded."""
        self.lease_confidence.begin(now, time.time())

    async def lease_confirmed(self) -> bool:
        """Check the clocks and the lease; return whether operations may be decided and sent."""
        now = await curio.clock()
        lease_is_valid = self._context.lease_is_valid(
            now + MARGIN_CONTROLLER_LEASES * self._controller_lease_s
        )
        pauses = self.lease_confidence.pauses
        confidence = self.lease_confidence.check(now, time.time(), lease_is_valid)
        if self.lease_confidence.pauses != pauses:
            log.info(
                "leader of term %d was paused: no operations until its lease is confirmed",
                self._context.term,
            )
        return confidence is LeaseConfidence.CONFIRMED

    async def verify_leadership(self) -> bool:
        """Return whether operations may be decided and sent; if in doubt, read the leader key."""
        if await self.lease_confirmed():
            return True
        requested_at = await curio.clock()
        try:
            entry = await self._context.store.get(LEADER_KEY, LEASE_PRIORITY)
        except KeyValueStoreError as exc:
            log.debug("leadership not confirmed: %s", exc)
            return False
        if entry is None or entry.revision != self._context.revision:
            self.lease_confidence.mark_lost()
            # Also raised if the key is absent: the lease ended, with or without a successor.
            raise LeadershipLostError("another leader was found")
        self.lease_confidence.confirm(requested_at)
        return await self.lease_confirmed()

    def may_bypass_records(self, now: float) -> bool:
        """Return whether the state of the machines is fresh enough for unrecorded releases."""
        since_pause_s = now - self.lease_confidence.paused_at
        return since_pause_s > STALE_STATE_HEARTBEATS * self._context.heartbeat_interval_s

    async def watch_clocks(self) -> None:
        """Check the clocks often enough to detect a pause before the next operation."""
        while True:
            await curio.sleep(CLOCK_CHECK_CONTROLLER_LEASES * self._controller_lease_s)
            await self.lease_confirmed()

    # -- records ---------------------------------------------------------------

    async def write_records(self) -> None:
        """Write the records that are due; those that cannot be written now stay due."""
        try:
            await self._record_writer.write_due()
        except LeadershipLostError:
            self.lease_confidence.mark_lost()
            raise

    async def removal_loop(self) -> None:
        """Remove the records of ended operations once every heartbeat interval."""
        while True:
            await curio.sleep(REMOVAL_HEARTBEATS * self._context.heartbeat_interval_s)
            await self._record_writer.remove_due()
