"""Descriptions of operations for operators, in the terms that `topazhold duties` prints."""

from __future__ import annotations

from typing import NamedTuple

from topazhold.operations.records import (
    CleanupRecord,
    OperationRecord,
    ScaleInRecord,
    ScaleOutRecord,
)

#: Maximum machine names in a line of text.
MAX_SHOWN_NAMES = 4


class Description(NamedTuple):
    """An operation's kind and its details."""

    kind: str
    text: str


def describe(record: OperationRecord) -> Description:
    """Return the kind and a one-line description of an operation."""
    if isinstance(record, ScaleInRecord):
        names = list(record.machines)
        shown = ", ".join(f"{name} ({record.machines[name]})" for name in names[:MAX_SHOWN_NAMES])
        more = f" and {len(names) - MAX_SHOWN_NAMES} more" if len(names) > MAX_SHOWN_NAMES else ""
        return Description("return", shown + more)
    if isinstance(record, ScaleOutRecord):
        price = "spot" if record.spot else "ordinary"
        machines = f"{record.count} {price} {record.machine_type} in {record.zone}"
        return Description("rental", f"{record.request}: {machines}")
    assert isinstance(record, CleanupRecord)
    return Description("clean-up", f"{len(record.parts)} parts of {record.job}")
