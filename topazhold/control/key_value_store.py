"""The consensus-backed key-value store: reads, compare-and-swap, leases, watches.

Requests are limited to this controller's share of the store's limits. When these are nearly
exhausted, requests with `LEASE_PRIORITY` go first, then `DECISION_PRIORITY`, then `USER_PRIORITY`.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Sequence
from http import HTTPStatus
from typing import Any, NamedTuple, TypeVar

import curio

from topazhold.control.store_health import StoreHealth
from topazhold.control.store_limits import StoreLimits
from topazhold.interfaces.store import (
    DECISION_PRIORITY,
    LEASE_PRIORITY,
    USER_PRIORITY,
    Precondition,
)
from topazhold.interfaces.store_errors import (
    OutcomeUnknownError,
    PreconditionFailedError,
    StoreUnavailableError,
    UnreadableAnswerError,
    WatchCompactedError,
)
from topazhold.io.client import Client
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.settings import KeyValueStoreLimits
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, decode, json_size
from topazhold.wire.key_value_store import Entry

log = logging.getLogger(__name__)

T = TypeVar("T")

#: Maximum entries in a page of a listing.
PAGE_ENTRIES = 500
#: Maximum seconds that a request waits for the limits.
MAX_LIMIT_WAIT_S = 1.0
#: Seconds before retrying a transaction of unknown outcome (at most) or a read of its probe key.
MAX_COMMIT_RETRY_S = 0.25
PROBE_RETRY_S = 0.1
#: Minimum attempts at a transaction before its outcome is given up as unknown.
MIN_COMMIT_ATTEMPTS = 8
#: Maximum bytes of a response that are logged.
MAX_LOGGED_BYTES = 200

MS_PER_S = 1000


class _Request(NamedTuple):
    """One request and its cost against the limits."""

    method: str
    target: str
    priority: float
    message: Any = None
    writes: int = 0
    block_s: float | None = None  # for a watch: how long the store may delay the response


class KeyValueStore:
    """Client for one controller, limited to its share of the store's limits.

    Every request may raise a subclass of KeyValueStoreError.
    """

    def __init__(
        self, client: Client, watch_client: Client, limits: KeyValueStoreLimits, timeout_s: float
    ) -> None:
        self._client = client
        self._watch_client = watch_client
        self._limits = StoreLimits(limits)
        self._timeout_s = timeout_s
        self.health = StoreHealth(timeout_s)

    def set_share(self, share: float) -> None:
        """Set this controller's share of the store's limits."""
        self._limits.set_share(share)

    async def wait_for_limits(self, priority: float, writes: int) -> None:
        """Wait until the limits allow a request, for at most `MAX_LIMIT_WAIT_S` seconds."""
        await curio.sleep(min(MAX_LIMIT_WAIT_S, await self.wait_s(priority, writes)))

    async def wait_s(self, priority: float, writes: int) -> float:
        """Return the seconds until the limits allow a request with `writes` puts and deletes."""
        return self._limits.wait_s(await curio.clock(), priority, writes)

    async def _acquire_limits(self, request: _Request) -> float:
        """Wait until the limits allow a request; return the time at which it may be sent.

        Raises StoreUnavailableError if they do not allow it in time.
        """
        now = await curio.clock()
        if request.priority < USER_PRIORITY:
            # Decisions wait for the limits; users get an immediate refusal and retry later.
            wait_s = min(MAX_LIMIT_WAIT_S, await self.wait_s(request.priority, request.writes))
            if wait_s > 0:
                await curio.sleep(wait_s)
                now = await curio.clock()
        exceeded_limit = self._limits.take(now, request.priority, request.writes)
        if exceeded_limit is not None:
            raise StoreUnavailableError(exceeded_limit)
        return now

    async def _send(self, request: _Request) -> tuple[int, bytes]:
        """Send a request; return the status and body of the response.

        Raises StoreUnavailableError or OutcomeUnknownError.
        """
        sent_at, sent_at_wall = await self._acquire_limits(request), time.time()
        is_watch = request.block_s is not None
        client, timeout_s = self._client, self._timeout_s
        if request.block_s is not None:
            client, timeout_s = self._watch_client, request.block_s + self._timeout_s
        try:
            status, body = await client.request(
                request.method, request.target, request.message, timeout_s
            )
        except (RequestNotSentError, NoResponseError) as exc:
            self.health.on_no_response(sent_at, is_watch)
            if isinstance(exc, RequestNotSentError):
                raise StoreUnavailableError(str(exc)) from None
            raise OutcomeUnknownError(str(exc)) from None
        self.health.on_response(status, sent_at, sent_at_wall, is_watch)
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            self._limits.on_rate_limited()
        elif status != HTTPStatus.SERVICE_UNAVAILABLE:
            return status, body
        raise StoreUnavailableError(f"status {status}")

    async def get(self, key: str, priority: float = USER_PRIORITY) -> Entry | None:
        """Return a key's entry, or None if the key does not exist."""
        status, body = await self._send(_Request("GET", f"{wire.STORE_PATH}/{key}", priority))
        if status == HTTPStatus.NOT_FOUND:
            return None
        _expect_success(status)
        return _read(body, Entry)

    async def entries(
        self, prefix: str, priority: float = DECISION_PRIORITY
    ) -> tuple[list[Entry], int]:
        """Return all entries under a prefix and the revision of the first page."""
        entries: list[Entry] = []
        last_key: str | None = None
        seen_revision: int | None = None
        while True:
            target = wire.entry_list_target(prefix, last_key, PAGE_ENTRIES)
            status, body = await self._send(_Request("GET", target, priority))
            _expect_success(status)
            page = _read(body, wire.EntryPage)
            seen_revision = page.revision if seen_revision is None else seen_revision
            entries += page.entries
            if not page.truncated or not page.entries:
                return entries, seen_revision
            last_key = page.entries[-1].key

    async def watch(self, prefix: str, since: int, block_s: float) -> wire.WatchPage:
        """Return the changes under a prefix since a revision; wait up to `block_s` seconds for one.

        Raises WatchCompactedError if the store no longer has all changes since that revision.
        """
        target = wire.watch_target(prefix, since, int(block_s * MS_PER_S))
        status, body = await self._send(_Request("GET", target, LEASE_PRIORITY, block_s=block_s))
        if status == HTTPStatus.GONE:
            raise WatchCompactedError(prefix)
        _expect_success(status)
        return _read(body, wire.WatchPage)

    async def compare_and_swap(
        self,
        preconditions: Sequence[Precondition],
        operations: Sequence[dict[str, Any]],
        priority: float,
    ) -> int:
        """Apply all operations if all preconditions hold; return the new revision.

        Raises PreconditionFailedError if any does not hold.
        """
        conditions = [wire.condition(key, revision) for key, revision in preconditions]
        body = wire.transaction_body(conditions, list(operations))
        request = _Request("POST", wire.TRANSACTION_PATH, priority, body, writes=len(operations))
        status, answer = await self._send(request)
        if status == HTTPStatus.OK:
            first = wire.changed_key(operations[0]) if operations else "nothing"
            log.debug("%d changes written, the first to %s", len(operations), first)
            return _read(answer, wire.TransactionResult).revision
        if status == HTTPStatus.CONFLICT:
            raise PreconditionFailedError(_read(answer, wire.TransactionResult).failed)
        # Status 400: a lease ended before this arrived, or a value or the transaction is too large.
        log.info(
            "store answered %d to a transaction: %r; changes: %s",
            status,
            answer[:MAX_LOGGED_BYTES],
            ", ".join(f"{wire.changed_key(each)} ({json_size(each)})" for each in operations),
        )
        raise StoreUnavailableError(f"status {status}", malformed=status == HTTPStatus.BAD_REQUEST)

    async def commit(
        self,
        preconditions: Sequence[Precondition],
        operations: Sequence[dict[str, Any]],
        priority: float,
        probe: str,
        token: str,
        give_up_s: float,
    ) -> int:
        """Carry out a compare-and-swap and determine its outcome; return the new revision.

        The transaction puts `token` in the value of the key `probe`. It must have preconditions
        on all keys that it changes, `probe` included, so that at most one of two copies is
        applied. Raises PreconditionFailedError, StoreUnavailableError (nothing was applied), or
        OutcomeUnknownError if the outcome is still unknown after `give_up_s` seconds.
        """
        outcome_unknown = False
        start = await curio.clock()
        while True:
            try:
                return await self.compare_and_swap(preconditions, operations, priority)
            except PreconditionFailedError:
                if not outcome_unknown:
                    raise
                entry = await self._read_probe(probe, start, give_up_s)
                if entry is not None and _token(entry) == token:
                    return entry.revision
                raise
            except OutcomeUnknownError:
                outcome_unknown = True
            except StoreUnavailableError:
                if not outcome_unknown:
                    raise
            if await curio.clock() - start > give_up_s:
                raise OutcomeUnknownError("outcome of the transaction is unknown")
            await curio.sleep(min(MAX_COMMIT_RETRY_S, give_up_s / MIN_COMMIT_ATTEMPTS))

    async def _read_probe(self, key: str, start: float, give_up_s: float) -> Entry | None:
        while True:
            try:
                return await self.get(key, LEASE_PRIORITY)
            except (StoreUnavailableError, OutcomeUnknownError):
                if await curio.clock() - start > give_up_s:
                    raise OutcomeUnknownError("outcome of the transaction is unknown") from None
                await curio.sleep(PROBE_RETRY_S)

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease that ends `ttl_s` seconds after its last renewal; return its id."""
        body = wire.lease_body(int(ttl_s * MS_PER_S))
        status, answer = await self._send(_Request("POST", wire.LEASES_PATH, LEASE_PRIORITY, body))
        _expect_success(status)
        return _read(answer, wire.LeaseGranted).lease_id

    async def renew_lease(self, lease_id: int) -> bool:
        """Renew a lease; return False if it has ended."""
        target = f"{wire.LEASES_PATH}/{lease_id}{wire.RENEW_SUFFIX}"
        status, _ = await self._send(_Request("POST", target, LEASE_PRIORITY, {}))
        if status == HTTPStatus.NOT_FOUND:
            return False
        _expect_success(status)
        return True

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease at once, which deletes the keys attached to it."""
        await self._send(_Request("DELETE", f"{wire.LEASES_PATH}/{lease_id}", LEASE_PRIORITY))


def _expect_success(status: int) -> None:
    """Raise StoreUnavailableError for any status but 200."""
    if status != HTTPStatus.OK:
        raise StoreUnavailableError(f"status {status}")


def _read(body: bytes, message_type: type[T]) -> T:
    try:
        return decode(body, message_type)
    except InvalidMessageError as exc:
        raise UnreadableAnswerError(str(exc)) from None


def _token(entry: Entry) -> Any:
    return entry.data.get("by") if isinstance(entry.data, dict) else None
