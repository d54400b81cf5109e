"""A fake of the key-value store that holds the controllers' shared state."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import curio

from tests.fakes.virtual_time import VirtualTime
from topazhold.settings import LaterLimits
from topazhold.wire.codec import json_size

Response = tuple[int, Any]

#: Most keys in a page of a list, whatever page size is requested.
MAX_PAGE_KEYS = 7
DEFAULT_PAGE_KEYS = 1000
#: While responses are slow, each takes at least this share of `max_delay_s`; those at every
#: `SLOWEST_REVISION_STEP`-th revision take the remaining share on top.
MIN_DELAY_SHARE = 0.1
EXTRA_DELAY_SHARE = 0.9
SLOWEST_REVISION_STEP = 7
#: Seconds between checks of a blocked watch for expired leases and its own timeout.
WATCH_CHECK_INTERVAL_S = 0.1


class FakeKeyValueStore:
    """Stores keys with revisions, leases, conditional transactions and watches."""

    HOST = "state:1"

    def __init__(self, clock: VirtualTime) -> None:
        self.clock = clock
        self.data: dict[str, tuple[Any, int, int | None]] = {}  # value, revision, lease
        self.revision = 100
        self.leases: dict[int, tuple[float, float]] = {}  # time to live and expiry, in seconds
        self._next_lease_id = 1
        self.changes: list[tuple[int, str, Any]] = []  # revision, key, value or None if deleted
        self.down = False
        self.refused_controllers: set[str] = set()  # answered with 503
        self.max_delay_s = 0.0  # longest delay of a response, other than a watch's
        self.value_bytes = 8 * 1024
        self.txn_ops = 8
        self.write_rps: float | None = None
        # Keys of too large values, and numbers of changes of too large transactions.
        self.size_refusals: list[str] = []
        self.rate_refusals = 0  # transactions refused because of the write rate
        self.on_change: Callable[[str, Any], None] = lambda key, data: None
        # Token bucket of the write rate: the tokens, and when they were counted.
        self._tokens = (0.0, 0.0)
        self._changed = curio.Event()

    async def handle(self, source: str, method: str, path: str, body: Any) -> Response:
        """Handle a request of a controller."""
        if self.max_delay_s and not path.startswith("/watch"):
            await curio.sleep(
                self.max_delay_s
                * (
                    MIN_DELAY_SHARE
                    + EXTRA_DELAY_SHARE * (self.revision % SLOWEST_REVISION_STEP == 0)
                )
            )
        await self._expire_leases()
        path, _, query = path.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/watch":
            return await self._watch(source, args)
        if self.down or source in self.refused_controllers:
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        if path == "/store":
            return self._list(args)
        if path.startswith("/store/"):
            return self._get(path[len("/store/") :])
        if path == "/multi":
            return await self._compare_and_swap(body)
        if path == "/grants":
            return self._grant_lease(body["ttl_ms"] / 1000)
        return await self._change_lease(int(path.split("/")[2]), method == "DELETE")

    # -- leases ------------------------------------------------------------------

    def set_down(self, down: bool) -> None:
        """Refuse all requests, or serve again. No lease expires during an outage."""
        if self.down and not down:
            for lease_id in list(self.leases):
                self._renew_lease(lease_id)
        self.down = down

    async def _expire_leases(self) -> None:
        if self.down:
            return
        for lease_id, (_, end) in list(self.leases.items()):
            if end < self.clock.now:
                await self._end_lease(lease_id)

    async def _end_lease(self, lease_id: int) -> None:
        """Remove a lease and delete all keys attached to it."""
        self.leases.pop(lease_id, None)
        for key in [
            key for key, (_, _, key_lease_id) in self.data.items() if key_lease_id == lease_id
        ]:
            self.revision += 1
            del self.data[key]
            self.changes.append((self.revision, key, None))
        await self._wake_watches()

    def _grant_lease(self, ttl_s: float) -> Response:
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self.leases[lease_id] = (ttl_s, self.clock.now + ttl_s)
        return HTTPStatus.OK, {"permit": lease_id}

    async def _change_lease(self, lease_id: int, revoke: bool) -> Response:
        """Revoke or renew a lease."""
        if lease_id not in self.leases:
            return HTTPStatus.NOT_FOUND, {}
        if revoke:
            await self._end_lease(lease_id)
        else:
            self._renew_lease(lease_id)
        return HTTPStatus.OK, {}

    def _renew_lease(self, lease_id: int) -> None:
        ttl_s, _ = self.leases[lease_id]
        self.leases[lease_id] = (ttl_s, self.clock.now + ttl_s)

    # -- limits ------------------------------------------------------------------

    def lower_limits(self, limits: LaterLimits) -> None:
        """Apply lower limits on value size, transaction size and write rate, without notice."""
        if limits.value_kb is not None:
            self.value_bytes = int(limits.value_kb * 1024)
        if limits.txn_ops is not None:
            self.txn_ops = limits.txn_ops
        self.write_rps = limits.write_rps
        self._tokens = (limits.write_rps or 0.0, self.clock.now)

    def _exceeds_size_limits(self, changes: list[dict[str, Any]]) -> bool:
        """Return whether a transaction or one of its values is too large."""
        oversized = [
            change["put"]
            for change in changes
            if "put" in change and json_size(change["data"]) > self.value_bytes
        ]
        if len(changes) > self.txn_ops:
            oversized.append(f"{len(changes)} changes")
        self.size_refusals += oversized
        return bool(oversized)

    def _exceeds_write_rate(self, changes: int) -> bool:
        """Return whether more changes would exceed the write rate; bursts of 1 s are allowed."""
        if self.write_rps is None:
            return False
        tokens, at = self._tokens
        tokens = min(self.write_rps, tokens + (self.clock.now - at) * self.write_rps)
        exceeded = changes > tokens
        self._tokens = (tokens - (0 if exceeded else changes), self.clock.now)
        self.rate_refusals += exceeded
        return exceeded

    # -- keys --------------------------------------------------------------------

    async def _wake_watches(self) -> None:
        await self._changed.set()
        self._changed.clear()

    def _get(self, key: str) -> Response:
        if key not in self.data:
            return HTTPStatus.NOT_FOUND, {"harvest": self.revision}
        data, revision, lease_id = self.data[key]
        return HTTPStatus.OK, {"key": key, "data": data, "mark": revision, "permit": lease_id}

    def _list(self, args: dict[str, str]) -> Response:
        keys = sorted(
            key for key in self.data if key.startswith(args["under"]) and key > args.get("from", "")
        )
        limit = min(int(args.get("most", DEFAULT_PAGE_KEYS)), MAX_PAGE_KEYS)
        page = [{"key": k, "data": self.data[k][0], "mark": self.data[k][1]} for k in keys[:limit]]
        return HTTPStatus.OK, {
            "entries": page,
            "truncated": len(keys) > limit,
            "harvest": self.revision,
        }

    async def _compare_and_swap(self, body: Any) -> Response:
        if self._exceeds_size_limits(body["then"]):
            return HTTPStatus.BAD_REQUEST, {"error": "too large"}
        if self._exceeds_write_rate(len(body["then"])):
            return HTTPStatus.TOO_MANY_REQUESTS, {}
        stale = [
            condition["key"]
            for condition in body["guards"]
            if self.data.get(condition["key"], (None, 0, None))[1] != condition["mark"]
        ]
        if stale:
            return HTTPStatus.CONFLICT, {"failed": stale, "harvest": self.revision}
        for change in body["then"]:
            lease_id = change.get("permit")
            if lease_id is not None and lease_id not in self.leases:
                return HTTPStatus.BAD_REQUEST, {"error": "no such lease"}
        if body["then"]:
            self.revision += 1
        for change in body["then"]:
            if "put" in change:
                self.data[change["put"]] = (change["data"], self.revision, change.get("permit"))
                self.changes.append((self.revision, change["put"], change["data"]))
                self.on_change(change["put"], change["data"])
            elif self.data.pop(change["drop"], None) is not None:
                self.changes.append((self.revision, change["drop"], None))
        await self._wake_watches()
        return HTTPStatus.OK, {"harvest": self.revision}

    async def _watch(self, source: str, args: dict[str, str]) -> Response:
        since = int(args["from"])
        end = self.clock.now + int(args.get("block_ms", 0)) / 1000
        while True:
            await self._expire_leases()
            hidden = self.down or source in self.refused_controllers
            events = [] if hidden else self._events_since(since, args["under"])
            if events or self.clock.now >= end:
                return HTTPStatus.OK, {
                    "harvest": since if hidden else self.revision,
                    "events": events,
                }
            await curio.ignore_after(WATCH_CHECK_INTERVAL_S, self._changed.wait)

    def _events_since(self, revision: int, prefix: str) -> list[dict[str, Any]]:
        return [
            {"put": key, "data": data, "mark": at}
            if data is not None
            else {"drop": key, "mark": at}
            for at, key, data in self.changes
            if at > revision and key.startswith(prefix)
        ]
