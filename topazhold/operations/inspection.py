"""Who holds the duties, and which orders are open: read from the state service, nothing else."""

from __future__ import annotations

import time
from typing import Any

import curio
import msgspec

from topazhold.control.key_value_store import LEASE_PRIORITY, KeyValueStore
from topazhold.control.store_errors import KeyValueStoreError
from topazhold.core.leadership import LEADER_KEY, read_value
from topazhold.io.client import Client
from topazhold.operations.records import (
    OPERATION_PREFIX,
    CleanupRecord,
    InvalidRecordError,
    OperationRecord,
    ScaleInRecord,
    ScaleOutRecord,
    read_record,
)
from topazhold.settings import Settings, address

#: Time limit of one request, in seconds.
TIMEOUT_S = 5.0
#: The duties, and what each is about.
DUTIES = {
    "renting": "rental requests to the cloud",
    "returning": "machines handed back, idle ones or reclaimed ones",
    "cleaning up": "what jobs that are over have left in the state service",
}
#: Names in a line of text, at the most.
NAMES_SHOWN = 4


class ControllersUnreachableError(Exception):
    """The state service gave no answer that can be used."""


class OperationKindState(msgspec.Struct):
    """One duty and its holder."""

    duty: str
    holder: str | None
    term: int | None


class OpenOperation(msgspec.Struct):
    """One stored order."""

    key: str
    kind: str
    term: int | None
    age_s: float | None
    of_present_term: bool
    text: str


class OperationsReport(msgspec.Struct):
    """What `topazhold duties` shows."""

    duties: list[OperationKindState]
    orders: list[OpenOperation]


async def inspect(settings: Settings) -> OperationsReport:
    """Read the holder and all orders; raises Unreachable."""
    client = Client(address(settings.outside.state), 1)
    store = KeyValueStore(client, client, settings.cluster.state, TIMEOUT_S)
    try:
        leader = await store.get(LEADER_KEY, LEASE_PRIORITY)
        entries, _ = await store.entries(OPERATION_PREFIX, LEASE_PRIORITY)
    except KeyValueStoreError as exc:
        raise ControllersUnreachableError(str(exc)) from None
    finally:
        await client.close()
    found = read_value(leader.data) if leader is not None else None
    holder, term = found if found is not None else (None, None)
    now = time.time()
    return OperationsReport(
        [OperationKindState(duty, holder, term) for duty in DUTIES],
        [_open_operation(entry.key, entry.data, term, now) for entry in entries],
    )


def read_report(settings: Settings) -> OperationsReport:
    """The same, for a program that does nothing else."""
    report: OperationsReport = curio.run(inspect, settings)
    return report


def _open_operation(key: str, data: Any, term: int | None, now: float) -> OpenOperation:
    try:
        record = read_record(key, data)
    except InvalidRecordError as exc:
        return OpenOperation(key, "unreadable", None, None, False, str(exc))
    kind, text = _describe(record)
    return OpenOperation(
        key, kind, record.term, max(0.0, now - record.at), record.term == term, text
    )


def _describe(record: OperationRecord) -> tuple[str, str]:
    if isinstance(record, ScaleInRecord):
        names = list(record.machines)
        shown = ", ".join(f"{name} ({record.machines[name]})" for name in names[:NAMES_SHOWN])
        more = f" and {len(names) - NAMES_SHOWN} more" if len(names) > NAMES_SHOWN else ""
        return "return", shown + more
    if isinstance(record, ScaleOutRecord):
        price = "spot" if record.spot else "ordinary"
        what = f"{record.count} {price} {record.machine_type} in {record.zone}"
        return "rental", f"{record.request}: {what}"
    assert isinstance(record, CleanupRecord)
    return "clean-up", f"{len(record.parts)} parts of {record.job}"


def as_text(report: OperationsReport) -> str:
    """The report for a terminal."""
    lines = []
    for duty in report.duties:
        holder = f"{duty.holder}, term {duty.term}" if duty.holder else "nobody"
        lines.append(f"{duty.duty:12} {holder}")
    lines.append(f"orders recorded: {len(report.orders)}")
    for order in report.orders:
        age = f"{order.age_s:.0f} s" if order.age_s is not None else "?"
        term = "?" if order.term is None else str(order.term)
        lines.append(f"  {order.kind:10} term {term:>4}  {age:>7}  {order.text}")
    return "\n".join(lines)
