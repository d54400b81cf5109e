"""The state service: reads, conditional transactions, grants, watches."""

from __future__ import annotations

import logging
from typing import Any

import curio

from topazhold.io.client import Client
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.io.rate_limit import TokenBucket
from topazhold.settings import State as StateLimits
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, json_size, read
from topazhold.wire.key_value_store import Entry

log = logging.getLogger(__name__)

#: Shares of the request limit that lower ranks must leave to higher ones.
LEASE_PRIORITY = 0.0
DECISION_PRIORITY = 0.1
USER_PRIORITY = 0.3

PAGE = 500
#: Trouble shorter than this share of a request's time limit is taken for a hiccup.
HICCUP_TIMEOUTS = 0.75
#: Longest wait of a decision for the limits.
PATIENCE_S = 1.0


class StoreUnavailableError(Exception):
    """Not carried out: refused, over the limit, or out of reach."""


class OutcomeUnknownError(Exception):
    """No answer: the change may have been, or may yet be, carried out."""


class PreconditionFailedError(Exception):
    """A guard failed; `keys` are the guarded keys that had changed."""

    def __init__(self, keys: list[str]) -> None:
        super().__init__(", ".join(keys))
        self.keys = keys


class WatchCompactedError(Exception):
    """The history does not go back that far; read the keys again."""


class KeyValueStore:
    """One controller's access, within its share of the service's limits."""

    def __init__(
        self, client: Client, watching: Client, limits: StateLimits, timeout_s: float
    ) -> None:
        self._client = client
        self._watching = watching
        self._limits = limits
        self._lowered = False  # whether the service has shown that its limits may be lower
        self._share = 1.0
        self._reads = TokenBucket(limits.rps)
        self._writes = TokenBucket(limits.write_rps)
        self._timeout_s = timeout_s
        self.failing_since: float | None = None
        self.unanswered_requests = (
            0  # requests in a row of which nothing has come, not even a refusal
        )

    def answers(self, now: float) -> bool:
        """Whether the service answers this controller, a hiccup aside."""
        return self.failing_since is None or now - self.failing_since < (
            HICCUP_TIMEOUTS * self._timeout_s
        )

    def set_share(self, share: float) -> None:
        """This node's share of the limits."""
        self._share = share
        limits = self._limits
        rps = limits.lasting_rps if self._lowered else limits.rps
        write_rps = limits.lasting_write_rps if self._lowered else limits.write_rps
        self._reads.set_rate(rps * share)
        self._writes.set_rate(write_rps * share)

    def _over_limit(self) -> None:
        """The service refused a request that the present limits allow: they may have fallen.

        They fall without notice and for good, so from now on this node keeps to the
        lower ones. Where the refusal had another reason, that costs little.
        """
        if not self._lowered:
            self._lowered = True
            self.set_share(self._share)
            log.info("state service refuses for its rate: keeping to the lower limits")

    async def wait_for_limits(self, priority: float, writes: int) -> None:
        """Let time pass until the limits allow a request, within bounds."""
        await curio.sleep(min(PATIENCE_S, await self.wait_s(priority, writes)))

    async def wait_s(self, priority: float, writes: int) -> float:
        """How long until the limits allow a request."""
        now = await curio.clock()
        return max(self._reads.wait_s(now, 1, priority), self._writes.wait_s(now, writes, priority))

    async def _ask(
        self,
        method: str,
        target: str,
        message: Any,
        priority: float,
        writes: int = 0,
        timeout_s: float | None = None,
        client: Client | None = None,
    ) -> tuple[int, bytes]:
        now = await curio.clock()
        if priority < USER_PRIORITY:
            # Decisions wait for their turn; users are told at once to come again.
            wait = min(PATIENCE_S, await self.wait_s(priority, writes))
            if wait > 0:
                await curio.sleep(wait)
                now = await curio.clock()
        if not self._reads.take(now, 1, priority):
            raise StoreUnavailableError("request limit")
        if writes and not self._writes.take(now, writes, priority):
            raise StoreUnavailableError("write limit")
        try:
            status, body = await (client or self._client).ask(
                method, target, message, timeout_s or self._timeout_s
            )
        except RequestNotSentError as exc:
            self.unanswered_requests += 1
            self._failed(now)
            raise StoreUnavailableError(str(exc)) from None
        except NoResponseError as exc:
            self.unanswered_requests += 1
            self._failed(now)
            raise OutcomeUnknownError(str(exc)) from None
        self.unanswered_requests = 0
        if status in (429, 503):
            if status == 503:
                self._failed(now)
            else:
                self._over_limit()
            raise StoreUnavailableError(f"status {status}")
        self.failing_since = None
        return status, body

    def _failed(self, now: float) -> None:
        if self.failing_since is None:
            self.failing_since = now

    async def get(self, key: str, priority: float = USER_PRIORITY) -> Entry | None:
        status, body = await self._ask("GET", f"{wire.STORE_PATH}/{key}", None, priority)
        if status == 404:
            return None
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return read(body, Entry)

    async def entries(
        self, prefix: str, priority: float = DECISION_PRIORITY
    ) -> tuple[list[Entry], int]:
        """All entries under a prefix, and the revision of the first page."""
        entries: list[Entry] = []
        after: str | None = None
        seen_revision: int | None = None
        while True:
            target = wire.store_query(prefix, after, PAGE)
            status, body = await self._ask("GET", target, None, priority)
            if status != 200:
                raise StoreUnavailableError(f"status {status}")
            page = read(body, wire.EntryPage)
            seen_revision = page.revision if seen_revision is None else seen_revision
            entries += page.entries
            if not page.truncated or not page.entries:
                return entries, seen_revision
            after = page.entries[-1].key

    async def compare_and_swap(
        self, conditions: list[tuple[str, int]], operations: list[dict[str, Any]], priority: float
    ) -> int:
        """One transaction; the new revision. Raises Conflict."""
        body = wire.transaction_body(
            [wire.condition(key, revision) for key, revision in conditions], operations
        )
        status, answer = await self._ask(
            "POST", wire.TRANSACTION_PATH, body, priority, writes=len(operations)
        )
        if status == 200:
            log.debug(
                "%d changes written, the first to %s", len(operations), _first_key(operations)
            )
            return read(answer, wire.Committed).revision
        if status == 409:
            raise PreconditionFailedError(read(answer, wire.Committed).failed)
        # 400 comes where a lease ended while the transaction was on its way, and for a
        # value or a transaction that is too large.
        log.info(
            "state service answered %d to a transaction: %r; changes: %s",
            status,
            answer[:200],
            ", ".join(f"{wire.changed_key(each)} ({json_size(each)})" for each in operations),
        )
        raise StoreUnavailableError(f"status {status}")

    async def commit(
        self,
        conditions: list[tuple[str, int]],
        operations: list[dict[str, Any]],
        priority: float,
        probe: str,
        token: str,
        give_up_s: float,
    ) -> int:
        """A transaction whose outcome is found out.

        `probe` is a key that it puts with `token` in its value, guarded like
        all keys it changes, so that of two copies at most one is carried out.
        Raises Conflict, StoreDown (nothing was done), or StoreUnknown when the
        outcome stays open for `give_up_s`.
        """
        unknown = False
        start = await curio.clock()
        while True:
            try:
                return await self.compare_and_swap(conditions, operations, priority)
            except PreconditionFailedError:
                if not unknown:
                    raise
                entry = await self._probe(probe, start, give_up_s)
                if entry is not None and _token(entry) == token:
                    return entry.revision
                raise
            except OutcomeUnknownError:
                unknown = True
            except StoreUnavailableError:
                if not unknown:
                    raise
            if await curio.clock() - start > give_up_s:
                raise OutcomeUnknownError("outcome open")
            await curio.sleep(min(0.25, give_up_s / 8))

    async def _probe(self, key: str, start: float, give_up_s: float) -> Entry | None:
        while True:
            try:
                return await self.get(key, LEASE_PRIORITY)
            except (StoreUnavailableError, OutcomeUnknownError):
                if await curio.clock() - start > give_up_s:
                    raise OutcomeUnknownError("outcome open") from None
                await curio.sleep(0.1)

    async def grant_lease(self, ttl_s: float) -> int:
        body = wire.lease_body(int(ttl_s * 1000))
        status, answer = await self._ask("POST", wire.LEASES_PATH, body, LEASE_PRIORITY)
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return read(answer, wire.LeaseGranted).lease_id

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a grant; False if it has ended."""
        target = f"{wire.LEASES_PATH}/{lease_id}{wire.RENEW_END}"
        status, _ = await self._ask("POST", target, {}, LEASE_PRIORITY)
        if status == 404:
            return False
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return True

    async def revoke_lease(self, lease_id: int) -> None:
        await self._ask("DELETE", f"{wire.LEASES_PATH}/{lease_id}", None, LEASE_PRIORITY)

    async def watch(self, prefix: str, since: int, block_s: float) -> wire.WatchPage:
        """Changes under a prefix after a revision; waits for one."""
        target = wire.watch_query(prefix, since, int(block_s * 1000))
        status, body = await self._ask(
            "GET",
            target,
            None,
            LEASE_PRIORITY,
            timeout_s=block_s + self._timeout_s,
            client=self._watching,
        )
        if status == 410:
            raise WatchCompactedError(prefix)
        if status != 200:
            raise StoreUnavailableError(f"status {status}")
        return read(body, wire.WatchPage)


def _first_key(operations: list[dict[str, Any]]) -> str:
    return wire.changed_key(operations[0]) if operations else "nothing"


def _token(entry: Entry) -> Any:
    return entry.data.get("by") if isinstance(entry.data, dict) else None


#: What a caller has to expect of any request to the store.
STORE_ERRORS = (StoreUnavailableError, OutcomeUnknownError, InvalidMessageError)
