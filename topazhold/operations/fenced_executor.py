"""Says whether a term's cloud operations may be recorded and sent just now.

Their records are written on the precondition that the leadership holds; and a successor reads
all records before it decides anything.
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

#: A longer time between two checks of the clocks is taken for a pause; checks are due after a
#: fifth of it. In leases of a controller.
PAUSE_CONTROLLER_LEASES = 0.5
CLOCK_CHECK_CONTROLLER_LEASES = 0.1
#: What must be left of the lease when an operation is decided or sent, in leases.
MARGIN_CONTROLLER_LEASES = 0.05
#: Heartbeat intervals after a pause before a machine may be released without a record: what was
#: known of the machines is old.
STALE_STATE_HEARTBEATS = 2.5
#: Heartbeat intervals between two removals of records.
REMOVAL_HEARTBEATS = 1.0


class FencedExecutor:
    """Fences the operations of a term: records first, and no request in doubt of the lease.

    `controller_lease_s` is the duration of a controller's lease in seconds. Methods that reach
    the key-value store raise `LeadershipLostError` where another leader shows.
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
        """The term is loaded; from here on the clocks are checked."""
        self.lease_confidence.begin(now, time.time())

    async def lease_confirmed(self) -> bool:
        """Check the clocks; whether operations may be decided and sent just now."""
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
        """Whether the lease holds; where in doubt, the leadership is looked up."""
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
            raise LeadershipLostError("another leader was found")
        self.lease_confidence.confirm(requested_at)
        return await self.lease_confirmed()

    def may_bypass_records(self, now: float) -> bool:
        """Whether what is known of the machines is fresh enough for an unrecorded release."""
        since_pause_s = now - self.lease_confidence.paused_at
        return since_pause_s > STALE_STATE_HEARTBEATS * self._context.heartbeat_interval_s

    async def watch_clocks(self) -> None:
        """Check often, so that a pause shows before the next operation."""
        while True:
            await curio.sleep(CLOCK_CHECK_CONTROLLER_LEASES * self._controller_lease_s)
            await self.lease_confirmed()

    # -- records ---------------------------------------------------------------

    async def write_records(self) -> None:
        """Write the records that are due; those that can't be written now stay due."""
        try:
            await self._record_writer.write_due()
        except LeadershipLostError:
            self.lease_confidence.mark_lost()
            raise

    async def removal_loop(self) -> None:
        """Remove the records of operations that are over, once every heartbeat interval."""
        while True:
            await curio.sleep(REMOVAL_HEARTBEATS * self._context.heartbeat_interval_s)
            await self._record_writer.remove_due()
