"""A controller's lease in the store, and its part in the election of the leader."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple, Protocol

import curio

from topazhold.control.key_value_store import KeyValueStore
from topazhold.core.leadership import LEADER_KEY, TERM_KEY, Leadership, Role, read_value
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

#: A lease's time, as a share of the workers' lease, and its bounds in seconds.
WORKER_LEASE_SHARE = 0.15
CONTROLLER_LEASE_BOUNDS_S = (1.5, 3.5)
#: Seconds of a whole core that a lease outlasts at the least: a few pieces of work may come
#: before its renewal, and a leader whose lease ends for that is followed by one that fares no
#: better.
MIN_LEASE_CPU_S = 0.2
#: Steady clocks drift; a lease is taken to end this much earlier.
MAX_CLOCK_DRIFT = 0.002
#: Shares of a lease's time: between renewals, between tries of what failed, and between
#: looks at a leadership that is vacant while this controller may be no candidate.
RENEWAL_LEASE_SHARE = 0.25
RETRY_LEASE_SHARE = 0.1
VACANCY_POLL_LEASE_SHARE = 0.05
#: So many requests in a row without any answer are silence.
UNANSWERED_THRESHOLD = 2
#: Lease times that a watch of the leadership key waits.
WATCH_TIMEOUT_LEASES = 4


def controller_lease_duration_s(settings: Settings) -> float:
    """How long a controller's lease lasts; the leadership and the reservations hang on it."""
    shortest_s, longest_s = CONTROLLER_LEASE_BOUNDS_S
    cluster = settings.cluster
    from_worker_lease_s = WORKER_LEASE_SHARE * cluster.workers.lease_s
    from_cpu_share_s = MIN_LEASE_CPU_S / max(cluster.limits.cpu_share, MIN_LEASE_CPU_S / longest_s)
    return min(longest_s, max(shortest_s, from_worker_lease_s, from_cpu_share_s))


class ElectionResult(NamedTuple):
    """An election that this controller has won."""

    term: int
    revision: int  # of the leadership key; while it stands, the term goes on
    elected_at: float  # seconds, by this controller's steady clock


class OnElected(Protocol):
    """Called once this controller has won an election."""

    async def __call__(self, result: ElectionResult, /) -> None: ...


class OnTermEnded(Protocol):
    """Called, with the reason, when this controller can be leader no more, if it was."""

    async def __call__(self, reason: str, /) -> None: ...


class OnLeaseGranted(Protocol):
    """Called with each new lease of this controller: what hung on the last one is gone."""

    def __call__(self) -> None: ...


class OnLeaseRenewed(Protocol):
    """Called after each renewal of this controller's lease."""

    async def __call__(self) -> None: ...


class ControllerLease:
    """One lease at a time, renewed for as long as the store allows.

    `on_granted` is called for each new lease, `on_ended` when one was not renewed in time, and
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
        self.valid_until = 0.0  # steady clock, seconds: it can't have ended before

    def is_valid(self, now: float) -> bool:
        """Whether the lease can't have ended yet, so that nobody else can be leader."""
        return now < self.valid_until

    async def loop(self) -> None:
        """Keep a lease; the leadership and the reservations hang on it."""
        while True:
            sent_at = await curio.clock()
            try:
                if self._needs_confirmation(sent_at):
                    # Our requests may arrive though no answer does. Renewed blindly, the
                    # lease would keep the leadership from everybody for good.
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
                self.valid_until = sent_at + self._controller_lease_s * (1 - MAX_CLOCK_DRIFT)
            except KeyValueStoreError as exc:
                log.debug("lease: %s", exc)
                await curio.sleep(RETRY_LEASE_SHARE * self._controller_lease_s)
                continue
            await self._on_renewed()
            await curio.sleep(RENEWAL_LEASE_SHARE * self._controller_lease_s)

    def _needs_confirmation(self, now: float) -> bool:
        """Whether the lease may have ended, and nothing but silence has come since.

        In an outage refusals come, and the lease keeps its time.
        """
        if self.id is None or self.is_valid(now):
            return False
        return self._store.unanswered_requests >= UNANSWERED_THRESHOLD

    async def revoke(self) -> None:
        """End the lease, so that others need not wait for it to expire."""
        lease_id, self.id = self.id, None
        if lease_id is not None:
            try:
                await self._store.revoke_lease(lease_id)
            except KeyValueStoreError as exc:
                log.debug("lease not dropped: %s", exc)


class Election:
    """Follows the leadership key, and is a candidate when it is free.

    `on_elected` is called once this controller has won, `on_superseded` with the reason when
    another leader is seen.
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
        """Be no candidate before `until`, by the steady clock in seconds."""
        self._suspended_until = until

    async def loop(self) -> None:
        """Follow the leadership key; be a candidate when it is free."""
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
                log.debug("leadership: %s", exc)
                await curio.sleep(RETRY_LEASE_SHARE * self._controller_lease_s)

    async def _on_vacancy(self) -> None:
        self._leadership.vacant()
        is_follower = self._leadership.role is Role.FOLLOWER
        suspended = await curio.clock() < self._suspended_until
        if self._lease.id is not None and is_follower and not suspended:
            await self._run_for_leader(self._lease.id)
        else:
            await curio.sleep(VACANCY_POLL_LEASE_SHARE * self._controller_lease_s)

    async def _revoke_former_lease(self, entry: Entry) -> bool:
        """End a term left over from an earlier process of this controller.

        That process is dead and nobody commands in its name, so there is no
        need to wait for its lease to expire. The same goes for an election won
        without an answer.
        """
        value = read_value(entry.data)
        if value is None or value[0] != self._leadership.node or self._leadership.is_leader:
            return False
        if entry.lease_id is None:
            return False
        log.info("ending the lease %d of an earlier process", entry.lease_id)
        await self._store.revoke_lease(entry.lease_id)
        if entry.lease_id == self._lease.id:
            self._lease.id = None
        return True

    async def _watch_until_vacant(self, seen_revision: int) -> None:
        """Wait until the leadership key is free."""
        while True:
            page = await self._store.watch(
                LEADER_KEY, seen_revision, WATCH_TIMEOUT_LEASES * self._controller_lease_s
            )
            seen_revision = max(seen_revision, page.revision)
            for event in page.events:
                key, data, _ = wire.event_key(event)
                if key != LEADER_KEY:
                    continue
                if data is None:
                    log.info("the leadership is vacant")
                    return
                await self._on_leader_value(data)

    async def _on_leader_value(self, data: Any) -> None:
        value = read_value(data)
        if value is None:
            return
        leader, term = value
        if leader == self._leadership.node:
            return
        if self._leadership.learn(leader, term):
            await self._on_superseded("another leader was elected")

    async def _run_for_leader(self, lease_id: int) -> None:
        """Try for the key with the next term."""
        leadership = self._leadership
        leadership.become_candidate()
        try:
            last = await self._store.get(TERM_KEY, LEASE_PRIORITY)
            term = max(leadership.term, int(last.data["crown"]) if last is not None else 0) + 1
            token = f"{leadership.node}-{lease_id}-{term}"
            value = {**leadership.value(term), "by": token}
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
