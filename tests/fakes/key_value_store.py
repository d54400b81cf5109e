"""The key-value store: keys with revisions, leases, conditional transactions and watches."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import curio

from tests.fakes.virtual_time import VirtualTime
from topazhold.settings import LaterLimits
from topazhold.wire.codec import json_size


class FakeKeyValueStore:
    """Keys with marks, grants, conditional transactions and watches."""

    HOST = "state:1"

    def __init__(self, clock: VirtualTime) -> None:
        self.clock = clock
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 100
        self.grants: dict[int, tuple[float, float]] = {}  # ttl, end
        self.next_lease_id = 1
        self.changes: list[tuple[int, str, Any]] = []
        self.down = False
        self.refused: set[str] = set()  # nodes that get 503
        self.slow_s = 0.0  # an answer takes up to so long
        self.value_bytes = 8 * 1024
        self.txn_ops = 8
        self.write_rps: float | None = None
        self.refused_sizes: list[str] = []  # what was too large, by the key
        self.refused_rates = 0
        self.on_change: Callable[[str, Any], None] = lambda key, data: None
        self._tokens = (0.0, 0.0)  # changes that may come now, and as of when
        self._changed = curio.Event()

    async def handle(self, source: str, method: str, path: str, body: Any) -> tuple[int, Any]:
        if self.slow_s and not path.startswith("/watch"):
            await curio.sleep(self.slow_s * (0.1 + 0.9 * (self.revision % 7 == 0)))
        await self._expire()
        path, _, query = path.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if part)
        refused = self.down or source in self.refused
        if path == "/watch":
            return await self._watch(source, args)
        if refused:
            return 503, {}
        if path == "/store":
            return self._list(args)
        if path.startswith("/store/"):
            return self._get(path[len("/store/") :])
        if path == "/multi":
            return await self._multi(body)
        if path == "/grants":
            lease_id = self.next_lease_id
            self.next_lease_id += 1
            ttl = body["ttl_ms"] / 1000
            self.grants[lease_id] = (ttl, self.clock.now + ttl)
            return 200, {"permit": lease_id}
        lease_id = int(path.split("/")[2])
        if lease_id not in self.grants:
            return 404, {}
        if method == "DELETE":
            await self._end(lease_id)
        else:
            ttl, _ = self.grants[lease_id]
            self.grants[lease_id] = (ttl, self.clock.now + ttl)
        return 200, {}

    def lower(self, limits: LaterLimits) -> None:
        """From now on, without notice, smaller values and transactions, and fewer changes."""
        if limits.value_kb is not None:
            self.value_bytes = int(limits.value_kb * 1024)
        if limits.txn_ops is not None:
            self.txn_ops = limits.txn_ops
        self.write_rps = limits.write_rps
        self._tokens = (limits.write_rps or 0.0, self.clock.now)

    def _too_large(self, changes: list[dict[str, Any]]) -> bool:
        large = [
            change["put"]
            for change in changes
            if "put" in change and json_size(change["data"]) > self.value_bytes
        ]
        if len(changes) > self.txn_ops:
            large.append(f"{len(changes)} changes")
        self.refused_sizes += large
        return bool(large)

    def _too_many(self, changes: int) -> bool:
        """Whether so many changes more are above the rate; bursts are worth a second."""
        if self.write_rps is None:
            return False
        level, at = self._tokens
        level = min(self.write_rps, level + (self.clock.now - at) * self.write_rps)
        over = changes > level
        self._tokens = (level - (0 if over else changes), self.clock.now)
        self.refused_rates += over
        return over

    def set_down(self, down: bool) -> None:
        if self.down and not down:
            for lease_id, (ttl, _) in list(self.grants.items()):
                self.grants[lease_id] = (ttl, self.clock.now + ttl)
        self.down = down

    async def _expire(self) -> None:
        if self.down:
            return
        for lease_id, (_, end) in list(self.grants.items()):
            if end < self.clock.now:
                await self._end(lease_id)

    async def _end(self, lease_id: int) -> None:
        self.grants.pop(lease_id, None)
        for key in [key for key, (_, _, held) in self.data.items() if held == lease_id]:
            self.revision += 1
            del self.data[key]
            self.changes.append((self.revision, key, None))
        await self._wake()

    async def _wake(self) -> None:
        await self._changed.set()
        self._changed.clear()

    def _get(self, key: str) -> tuple[int, Any]:
        if key not in self.data:
            return 404, {"harvest": self.revision}
        data, revision, lease_id = self.data[key]
        return 200, {"key": key, "data": data, "mark": revision, "permit": lease_id}

    def _list(self, args: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(
            key for key in self.data if key.startswith(args["under"]) and key > args.get("from", "")
        )
        limit = min(int(args.get("most", 1000)), 7)
        page = [{"key": k, "data": self.data[k][0], "mark": self.data[k][1]} for k in keys[:limit]]
        return 200, {"entries": page, "truncated": len(keys) > limit, "harvest": self.revision}

    async def _multi(self, body: Any) -> tuple[int, Any]:
        if self._too_large(body["then"]):
            return 400, {"error": "too large"}
        if self._too_many(len(body["then"])):
            return 429, {}
        failed = [
            condition["key"]
            for condition in body["guards"]
            if self.data.get(condition["key"], (None, 0, None))[1] != condition["mark"]
        ]
        if failed:
            return 409, {"failed": failed, "harvest": self.revision}
        for change in body["then"]:
            lease_id = change.get("permit")
            if lease_id is not None and lease_id not in self.grants:
                return 400, {"error": "no such lease"}
        if body["then"]:
            self.revision += 1
        for change in body["then"]:
            if "put" in change:
                self.data[change["put"]] = (change["data"], self.revision, change.get("permit"))
                self.changes.append((self.revision, change["put"], change["data"]))
                self.on_change(change["put"], change["data"])
            elif self.data.pop(change["drop"], None) is not None:
                self.changes.append((self.revision, change["drop"], None))
        await self._wake()
        return 200, {"harvest": self.revision}

    async def _watch(self, source: str, args: dict[str, str]) -> tuple[int, Any]:
        since = int(args["from"])
        end = self.clock.now + int(args.get("block_ms", 0)) / 1000
        while True:
            await self._expire()
            hidden = self.down or source in self.refused
            events = (
                []
                if hidden
                else [
                    {"put": key, "data": data, "mark": revision}
                    if data is not None
                    else {"drop": key, "mark": revision}
                    for revision, key, data in self.changes
                    if revision > since and key.startswith(args["under"])
                ]
            )
            if events or self.clock.now >= end:
                return 200, {"harvest": since if hidden else self.revision, "events": events}
            await curio.ignore_after(0.1, self._changed.wait)
