"""Messages exchanged with the key-value store: reads, compare-and-swap, leases, watches.

A compare-and-swap is one of the protocol's transactions: its operations are applied atomically
if all its preconditions hold, and none of them otherwise.
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
    """A key with its value, the revision of its last change, and the lease it is attached to."""

    key: str
    data: Any
    revision: int = field(name="mark")
    lease_id: int | None = field(name="permit", default=None)


class EntryPage(msgspec.Struct):
    """One page of the entries under a prefix at a revision; `truncated`: more pages follow."""

    entries: list[Entry]
    revision: int = field(name="harvest")
    truncated: bool = False


class WatchPage(msgspec.Struct):
    """The changes under a prefix up to a revision of the store."""

    revision: int = field(name="harvest")
    events: list[dict[str, Any]]


class WatchEvent(NamedTuple):
    """A change of one key: its new value (None: deleted) and the revision of the change."""

    key: str
    data: Any
    revision: int


class LeaseGranted(msgspec.Struct):
    """The response to a lease request."""

    lease_id: int = field(name="permit")


class TransactionResult(msgspec.Struct):
    """The result of a transaction: its revision, and the keys whose preconditions failed."""

    revision: int = field(name="harvest")
    failed: list[str] = []


def entry_list_target(prefix: str, after: str | None, limit: int) -> str:
    """Return the request target that lists up to `limit` entries, starting behind `after`."""
    return f"{STORE_PATH}?under={prefix}&most={limit}" + (f"&from={after}" if after else "")


def watch_target(prefix: str, since: int, block_ms: int) -> str:
    """Return the request target that waits up to `block_ms` for changes after revision `since`."""
    return f"{WATCH_PATH}?under={prefix}&from={since}&block_ms={block_ms}"


def condition(key: str, revision: int) -> dict[str, Any]:
    """Build a precondition: the key is at this revision (0: it does not exist)."""
    return {"key": key, "mark": revision}


def put(key: str, data: Any, lease_id: int | None = None) -> dict[str, Any]:
    """Build an operation that writes a value, attached to a lease if one is given."""
    operation = {"put": key, "data": data}
    if lease_id is not None:
        operation["permit"] = lease_id
    return operation


def delete(key: str) -> dict[str, Any]:
    """Build an operation that deletes a key."""
    return {"drop": key}


def changed_key(operation: dict[str, Any]) -> str:
    """Return the key that an operation writes or deletes."""
    return str(operation.get("put") or operation["drop"])


def transaction_body(
    conditions: list[dict[str, Any]], operations: list[dict[str, Any]]
) -> dict[str, Any]:
    """Build a compare-and-swap request."""
    return {"guards": conditions, "then": operations}


def parse_event(event: dict[str, Any]) -> WatchEvent:
    """Parse an event of a `WatchPage`."""
    if "put" in event:
        return WatchEvent(event["put"], event.get("data"), event.get("mark", 0))
    return WatchEvent(event["drop"], None, event.get("mark", 0))


def lease_body(ttl_ms: int) -> dict[str, Any]:
    """Build a request for a lease that expires after `ttl_ms` unless it is renewed."""
    return {"ttl_ms": ttl_ms}
