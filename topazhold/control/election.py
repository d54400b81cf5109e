"""Leader election: a controller's lease in the store and its candidacy for leadership."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple, Protocol

import curio

from topazhold.control.key_value_store import KeyValueStore
from topazhold.core.leadership import LEADER_KEY, TERM_KEY, Leadership, Role, read_leader_value
from topazhold.interfaces.store import LEASE_PRIORITY, Precondition
from topazhold.interfaces.store_errors import (
    KeyValueStoreError,
    PreconditionFailedError,
    WatchCompactedError,
)
from topazhold.settings import Settings
from topazhold.wire import messages as wire
from topazhold.wire.key_value_store import Entry

log = logging.getLogger(__name__)

#: Duration of a controller's lease as a share of the workers' lease, and its bounds in seconds.
WORKER_LEASE_SHARE = 0.15
CONTROLLER_LEASE_BOUNDS_S = (1.5, 3.5)
#: Minimum lease duration in seconds of processor time at the controller's processor share. A
#: renewal may have to wait for a few other pieces of work; a leader that lost its lease to that
#: delay would be replaced by one with the same delay.
MIN_LEASE_CPU_S = 0.2
#: Maximum drift between two monotonic clocks, as a share of the elapsed time. A lease is assumed
#: to end earlier by this share.
MAX_CLOCK_DRIFT_SHARE = 0.002
#: Intervals as shares of the lease duration: between renewals, before a retry after an error,
#: and between checks of a vacant leadership while this controller may not be a candidate.
RENEWAL_LEASE_SHARE = 0.25
RETRY_LEASE_SHARE = 0.1
VACANCY_POLL_LEASE_SHARE = 0.05
#: Consecutive unanswered requests after which the store counts as unreachable.
UNANSWERED_THRESHOLD = 2
#: Timeout of a watch of the leader key, in lease durations.
WATCH_TIMEOUT_LEASES = 4


def controller_lease_duration_s(settings: Settings) -> float:
    """Return the duration of a controller's lease in seconds.

    The leader key and the controller's reservations are attached to this lease.
    """
    shortest_s, longest_s = CONTROLLER_LEASE_BOUNDS_S
    cluster = settings.cluster
    from_worker_lease_s = WORKER_LEASE_SHARE * cluster.workers.lease_s
    from_cpu_share_s = MIN_LEASE_CPU_S / max(cluster.limits.cpu_share, MIN_LEASE_CPU_S / longest_s)
    return min(longest_s, max(shortest_s, from_worker_lease_s, from_cpu_share_s))


class ElectionResult(NamedTuple):
    """An election won by this controller."""

    term: int
    revision: int  # of the leader key; the term lasts until this revision changes
    elected_at: float  # seconds, by this controller's monotonic clock


class OnElected(Protocol):
    """Called after this controller has won an election."""

    async def __call__(self, result: ElectionResult, /) -> None: ...


class OnTermEnded(Protocol):
    """Called with the reason when this controller can no longer be leader.

    It is called whether or not the controller was leader.
    """

    async def __call__(self, reason: str, /) -> None: ...


class OnLeaseGranted(Protocol):
    """Called after each grant of a lease; the keys of the previous lease no longer exist."""

    def __call__(self) -> None: ...


class OnLeaseRenewed(Protocol):
    """Called after each renewal of this controller's lease."""

    async def __call__(self) -> None: ...


class ControllerLease:
    """Keeps one lease at a time and renews it for as long as the store allows.

    `on_granted` is called for each new lease, `on_ended` when a lease has ended, and
    `on_renewed` after each renewal.
    """

    def __init__(
        self,
        store: KeyValueStore,
        controller_lease_s: float,
        on_granted: OnLeaseGranted,
        on_ended: OnTermEnded,
        on_renewed: OnLeaseRenewed,
    ) -> None:
        self._store = store
        self._controller_lease_s = controller_lease_s
        self._on_granted = on_granted
        self._on_ended = on_ended
        self._on_renewed = on_renewed
        self.id: int | None = None
        self.valid_until = 0.0  # monotonic clock, seconds: the lease cannot end earlier

    def is_valid(self, now: float) -> bool:
        """Return whether the lease cannot have ended yet, so that no other controller can lead."""
        return now < self.valid_until

    async def loop(self) -> None:
        """Acquire a lease and renew it; acquire a new one after it ends."""
        while True:
            sent_at = await curio.clock()
            try:
                if self._needs_confirmation(sent_at):
                    # Requests may reach the store while its responses are lost. Renewing the
                    # lease blindly would then block every other candidate forever.
                    await self._store.get(LEADER_KEY, LEASE_PRIORITY)
                if self.id is None:
                    self.id = await self._store.grant_lease(self._controller_lease_s)
                    self._on_granted()
                    log.info("lease %d granted", self.id)
                elif not await self._store.renew_lease(self.id):
                    log.info("lease %d ended", self.id)
                    self.id = None
                    await self._on_ended("the lease ended")
                    continue
                self.valid_until = sent_at + self._controller_lease_s * (1 - MAX_CLOCK_DRIFT_SHARE)
            except KeyValueStoreError as exc:
                log.debug("lease request failed: %s", exc)
                await curio.sleep(RETRY_LEASE_SHARE * self._controller_lease_s)
                continue
            await self._on_renewed()
            await curio.sleep(RENEWAL_LEASE_SHARE * self._controller_lease_s)

    def _needs_confirmation(self, now: float) -> bool:
        """Return whether the lease may have ended and recent requests got no response.

        A refusal counts as a response: during an outage the store refuses requests, but no
        lease expires.
        """
        if self.id is None or self.is_valid(now):
            return False
        return self._store.health.unanswered_requests >= UNANSWERED_THRESHOLD

    async def revoke(self) -> None:
        """Revoke the lease, so that other controllers need not wait for it to expire."""
        lease_id, self.id = self.id, None
        if lease_id is not None:
            try:
                await self._store.revoke_lease(lease_id)
            except KeyValueStoreError as exc:
                log.debug("lease not revoked: %s", exc)


class Election:
    """Watches the leader key and runs for leadership when the key is vacant.

    `on_elected` is called after this controller has won, `on_superseded` with the reason when
    a later leader is seen.
    """

    def __init__(
        self,
        store: KeyValueStore,
        leadership: Leadership,
        lease: ControllerLease,
        controller_lease_s: float,
        on_elected: OnElected,
        on_superseded: OnTermEnded,
    ) -> None:
        self._store = store
        self._leadership = leadership
        self._lease = lease
        self._controller_lease_s = controller_lease_s
        self._on_elected = on_elected
        self._on_superseded = on_superseded
        self._suspended_until = 0.0

    def suspend_candidacy(self, until: float) -> None:
        """Do not run for leadership before `until` (monotonic clock, seconds)."""
        self._suspended_until = until

    async def loop(self) -> None:
        """Watch the leader key; run for leadership when it is vacant."""
        while True:
            try:
                entry = await self._store.get(LEADER_KEY, LEASE_PRIORITY)
                if entry is None:
                    await self._on_vacancy()
                elif not await self._revoke_former_lease(entry):
                    await self._on_leader_value(entry.data)
                    await self._watch_until_vacant(entry.revision)
            except WatchCompactedError:
                continue
            except KeyValueStoreError as exc:
                log.debug("election step failed: %s", exc)
                await curio.sleep(RETRY_LEASE_SHARE * self._controller_lease_s)

    async def _on_vacancy(self) -> None:
        self._leadership.mark_vacant()
        is_follower = self._leadership.role is Role.FOLLOWER
        suspended = await curio.clock() < self._suspended_until
        if self._lease.id is not None and is_follower and not suspended:
            await self._run_for_leader(self._lease.id)
        else:
            await curio.sleep(VACANCY_POLL_LEASE_SHARE * self._controller_lease_s)

    async def _revoke_former_lease(self, entry: Entry) -> bool:
        """Revoke the lease of a term that this controller won but does not lead.

        Either an earlier process of this controller won the election: that process is dead and
        issues no more commands, so its lease need not be left to expire. Or this process won
        it, but the store's response was lost. Returns True if a lease was revoked.
        """
        value = read_leader_value(entry.data)
        if value is None or value[0] != self._leadership.node or self._leadership.is_leader:
            return False
        if entry.lease_id is None:
            return False
        log.info("revoking lease %d of an earlier process", entry.lease_id)
        await self._store.revoke_lease(entry.lease_id)
        if entry.lease_id == self._lease.id:
            self._lease.id = None
        return True

    async def _watch_until_vacant(self, seen_revision: int) -> None:
        """Watch the leader key until it is deleted."""
        while True:
            page = await self._store.watch(
                LEADER_KEY, seen_revision, WATCH_TIMEOUT_LEASES * self._controller_lease_s
            )
            seen_revision = max(seen_revision, page.revision)
            for event in page.events:
                key, data, _ = wire.parse_event(event)
                if key != LEADER_KEY:
                    continue
                if data is None:
                    log.info("leadership is vacant")
                    return
                await self._on_leader_value(data)

    async def _on_leader_value(self, data: Any) -> None:
        value = read_leader_value(data)
        if value is None:
            return
        leader, term = value
        if leader == self._leadership.node:
            return
        if self._leadership.observe_term(leader, term):
            await self._on_superseded("another leader was elected")

    async def _run_for_leader(self, lease_id: int) -> None:
        """Try to acquire the leader key for the next term."""
        leadership = self._leadership
        leadership.become_candidate()
        try:
            last = await self._store.get(TERM_KEY, LEASE_PRIORITY)
            term = max(leadership.term, int(last.data["crown"]) if last is not None else 0) + 1
            token = f"{leadership.node}-{lease_id}-{term}"
            value = {**leadership.leader_value(term), "by": token}
            revision = await self._store.commit(
                [
                    Precondition(LEADER_KEY, 0),
                    Precondition(TERM_KEY, last.revision if last is not None else 0),
                ],
                [wire.put(LEADER_KEY, value, lease_id), wire.put(TERM_KEY, value)],
                LEASE_PRIORITY,
                LEADER_KEY,
                token,
                give_up_s=self._controller_lease_s,
            )
        except PreconditionFailedError:
            leadership.become_follower()
            return
        except KeyValueStoreError:
            leadership.become_follower()
            raise
        if self._lease.id != lease_id:
            leadership.become_follower()
            return
        leadership.become_leader(term)
        log.info("node %s elected leader, term %d", leadership.node, term)
        await self._on_elected(ElectionResult(term, revision, await curio.clock()))
