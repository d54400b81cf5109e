"""The command `topazhold duties`, which shows the leader and the open operations.

It only reads the key-value store. The output keeps the names of the first version: a duty is a
kind of operation, its holder is the leader, and an order is an operation.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import curio
import msgspec

from topazhold.core.leadership import LEADER_KEY, read_leader_value
from topazhold.core.records import SUMMARY_KEY
from topazhold.interfaces.store import LEASE_PRIORITY, Store
from topazhold.interfaces.store_errors import KeyValueStoreError
from topazhold.io.client import Client
from topazhold.operations.descriptions import describe
from topazhold.operations.records import OPERATION_PREFIX, InvalidRecordError, decode_record
from topazhold.operations.refused_operations import RefusedOperation, unpack_refused
from topazhold.settings import Settings, parse_address
from topazhold.wire.key_value_store import Entry

#: Timeout of a request, in seconds.
TIMEOUT_S = 5.0
#: The kinds of operations: the name that is shown and a description.
OPERATION_KINDS = {
    "renting": "scale-out: requests for machines",
    "returning": "scale-in: releases of machines",
    "cleaning up": "clean-up: what jobs that are over have left in the key-value store",
}


class StoreUnreachableError(Exception):
    """The key-value store gave no usable response."""


class OperationKindState(msgspec.Struct):
    """A kind of operation, and the leader that decides on it with its term, if there is one."""

    duty: str
    holder: str | None
    term: int | None


class OpenOperation(msgspec.Struct):
    """A stored operation; `term` and `age_s` are None if its record cannot be decoded."""

    key: str
    kind: str
    term: int | None
    age_s: float | None
    of_present_term: bool
    text: str


class OperationsReport(msgspec.Struct):
    """The output of `topazhold duties`.

    `refused` are the operations of the current term whose records cannot be stored, as named in
    the leader's last summary.
    """

    duties: list[OperationKindState]
    orders: list[OpenOperation]
    refused: list[RefusedOperation]


#: Opens a key-value store over a client, with the timeout of a request in seconds.
OpenStore = Callable[[Client, float], Store]


async def inspect(settings: Settings, open_store: OpenStore) -> OperationsReport:
    """Read the leader, all stored operations and the refused operations.

    Raises:
        StoreUnreachableError: the key-value store gave no usable response.
    """
    client = Client(parse_address(settings.external.key_value_store), 1)
    store = open_store(client, TIMEOUT_S)
    try:
        leader = await store.get(LEADER_KEY, LEASE_PRIORITY)
        entries, _ = await store.entries(OPERATION_PREFIX, LEASE_PRIORITY)
        summary = await store.get(SUMMARY_KEY, LEASE_PRIORITY)
    except KeyValueStoreError as exc:
        raise StoreUnreachableError(str(exc)) from None
    finally:
        await client.close()
    leader_value = read_leader_value(leader.data) if leader is not None else None
    leader_name, term = leader_value if leader_value is not None else (None, None)
    now = time.time()
    return OperationsReport(
        [OperationKindState(duty, leader_name, term) for duty in OPERATION_KINDS],
        [_open_operation(entry.key, entry.data, term, now) for entry in entries],
        _refused_of(summary, term),
    )


def _refused_of(summary: Entry | None, term: int | None) -> list[RefusedOperation]:
    """Return the refused operations named in a summary of this term."""
    data = summary.data if summary is not None else None
    if not isinstance(data, dict) or data.get("crown") != term:
        return []
    return unpack_refused(data.get("refused"))


def read_report(settings: Settings, open_store: OpenStore) -> OperationsReport:
    """Run `inspect` in an event loop of its own. Raises StoreUnreachableError."""
    report: OperationsReport = curio.run(inspect, settings, open_store)
    return report


def _open_operation(key: str, data: Any, term: int | None, now: float) -> OpenOperation:
    try:
        record = decode_record(key, data)
    except InvalidRecordError as exc:
        return OpenOperation(key, "unreadable", None, None, False, str(exc))
    kind, text = describe(record)
    return OpenOperation(
        key, kind, record.term, max(0.0, now - record.at), record.term == term, text
    )


def as_text(report: OperationsReport) -> str:
    """Format the report for a terminal."""
    lines = []
    for duty in report.duties:
        holder = f"{duty.holder}, term {duty.term}" if duty.holder else "nobody"
        lines.append(f"{duty.duty:12} {holder}")
    lines.append(f"orders recorded: {len(report.orders)}")
    for order in report.orders:
        age = f"{order.age_s:.0f} s" if order.age_s is not None else "?"
        term = "?" if order.term is None else str(order.term)
        lines.append(f"  {order.kind:10} term {term:>4}  {age:>7}  {order.text}")
    if report.refused:
        lines.append(f"orders refused in this term, the last ones: {len(report.refused)}")
    for refused in report.refused:
        lines.append(f"  {refused.kind:10} {refused.key}: {refused.reason}")
    return "\n".join(lines)
