"""Messages to and from the key-value store: reads, compare-and-swap, leases, watches.

A compare-and-swap is the protocol's transaction: preconditions, and operations that are all
carried out if the preconditions hold, and none otherwise.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
from msgspec import field

STORE_PATH = "/store"
TRANSACTION_PATH = "/multi"
LEASES_PATH = "/grants"
RENEW_SUFFIX = "/touch"
WATCH_PATH = "/watch"


class Entry(msgspec.Struct):
    """A key, its value, and the revision of its last change."""

    key: str
    data: Any
    revision: int = field(name="mark")
    lease_id: int | None = field(name="permit", default=None)


class EntryPage(msgspec.Struct):
    """A part of the entries under a prefix, as of a revision of the store."""

    entries: list[Entry]
    revision: int = field(name="harvest")
    truncated: bool = False


class WatchPage(msgspec.Struct):
    """Changes under a prefix up to a revision of the store."""

    revision: int = field(name="harvest")
    events: list[dict[str, Any]]


class WatchEvent(NamedTuple):
    """One change: the key, its new value (None: it was removed) and its revision."""

    key: str
    data: Any
    revision: int


class LeaseGranted(msgspec.Struct):
    """The answer to a request for a lease."""

    lease_id: int = field(name="permit")


class TransactionResult(msgspec.Struct):
    """The outcome of a transaction: its revision, or the keys whose preconditions failed."""

    revision: int = field(name="harvest")
    failed: list[str] = []


def entry_list_target(prefix: str, after: str | None, limit: int) -> str:
    """The target that lists at most `limit` entries, from the one behind `after` on."""
    return f"{STORE_PATH}?under={prefix}&most={limit}" + (f"&from={after}" if after else "")


def watch_target(prefix: str, since: int, block_ms: int) -> str:
    """The target that waits up to `block_ms` for changes after the revision `since`."""
    return f"{WATCH_PATH}?under={prefix}&from={since}&block_ms={block_ms}"


def condition(key: str, revision: int) -> dict[str, Any]:
    """A precondition: the key has this revision (0: it does not exist)."""
    return {"key": key, "mark": revision}


def put(key: str, data: Any, lease_id: int | None = None) -> dict[str, Any]:
    """An operation that writes a value, attached to a lease or to none."""
    operation = {"put": key, "data": data}
    if lease_id is not None:
        operation["permit"] = lease_id
    return operation


def delete(key: str) -> dict[str, Any]:
    """An operation that removes a key."""
    return {"drop": key}


def changed_key(operation: dict[str, Any]) -> str:
    """The key that an operation changes."""
    return str(operation.get("put") or operation["drop"])


def transaction_body(
    conditions: list[dict[str, Any]], operations: list[dict[str, Any]]
) -> dict[str, Any]:
    """A compare-and-swap."""
    return {"guards": conditions, "then": operations}


def parse_event(event: dict[str, Any]) -> WatchEvent:
    """An event of a `WatchPage`, read."""
    if "put" in event:
        return WatchEvent(event["put"], event.get("data"), event.get("mark", 0))
    return WatchEvent(event["drop"], None, event.get("mark", 0))


def lease_body(ttl_ms: int) -> dict[str, Any]:
    """A request for a lease that expires after `ttl_ms` unless it is renewed."""
    return {"ttl_ms": ttl_ms}
